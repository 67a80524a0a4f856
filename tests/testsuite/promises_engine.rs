//! One engine over a log in memory, with the time set by the test: an entry that is cut off from
//! all workers must not propose them as doubtful.

use hawthornladder::config_files::ConfigSource;
use hawthornladder::entry::{Action, Engine, EntrySettings, Event, Now, Source};
use hawthornladder::examples::LAHORE;
use hawthornladder::fleet::{InstanceRow, Standing};
use hawthornladder::ledger::{ListsPatch, OperatorChange, OperatorProposal, Record};
use hawthornladder::lists::{check_texts, Lists};
use hawthornladder::ports::{InstancePage, LogPage, LogRecord};
use hawthornladder::settings;
use uuid::Uuid;

use crate::promises_ledger::row;
use crate::small_cluster::{lists_with_min, MAPS_COUNT};

/// Step of both clocks, in milliseconds.
const STEP_MS: u64 = 50;

struct EngineUnderTest {
    engine: Engine,
    log: Vec<LogRecord>,
    now: Now,
}

impl EngineUnderTest {
    /// Opens an engine that has read the lists and eight instances and drives their maintenance.
    fn open() -> Self {
        let Ok((settings, _)) = settings::check_text("entry", LAHORE.entry) else {
            panic!("the example is valid");
        };
        let settings = EntrySettings::from_settings(&settings, "entry").engine;
        let mut under_test = Self {
            engine: Engine::open(settings, "seat"),
            log: Vec::new(),
            now: Now {
                mono_ms: 1_000,
                unix_ms: 1_000_000,
            },
        };
        under_test.publish();
        under_test.run_for(1_000);
        let page = InstancePage {
            version: 1,
            rows: (0..MAPS_COUNT).map(row).collect(),
        };
        let sent_ms = under_test.now.mono_ms;
        under_test.step(Event::Instances { sent_ms, page });
        under_test.run_for(2_000);
        assert_eq!(
            under_test.doubtful_count(),
            0,
            "a worker is doubtful at the start"
        );
        under_test
    }

    fn publish(&mut self) {
        let [plans, entitlements] = lists_with_min(4);
        let sources = [("plans", &plans), ("entitlements", &entitlements)];
        let sources = sources.map(|(file, text)| ConfigSource { file, text });
        let Ok((lists, _)) = check_texts(&sources) else {
            panic!("the lists are valid");
        };
        let record = Record::Operator(OperatorProposal {
            proposal_id: Uuid::nil(),
            operator: "operator".into(),
            change: OperatorChange::Publish {
                base_version: 0,
                patch: Box::new(ListsPatch::between(&Lists::default(), &lists)),
            },
        });
        let text = serde_json::to_string(&record).expect("records encode");
        self.append(&text);
    }

    fn append(&mut self, text: &str) -> u64 {
        let offset = self.log.len() as u64;
        self.log.push(LogRecord {
            offset,
            at_unix_ms: self.now.unix_ms,
            payload: text.into(),
        });
        offset
    }

    /// Advances the time by `time_ms`; the engine ticks and reads the log at each step.
    fn run_for(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.now.mono_ms += STEP_MS;
            self.now.unix_ms += STEP_MS;
            self.step(Event::Tick);
            let from_offset = self.engine.wanted_offset();
            let records = self.log[from_offset as usize..].to_vec();
            let page = LogPage {
                records,
                head_offset: self.log.len() as u64,
                oldest_offset: 0,
            };
            self.step(Event::LogPage {
                sent_ms: self.now.mono_ms,
                from_offset,
                page,
                source: Source::Log,
            });
        }
    }

    fn step(&mut self, event: Event) {
        for action in self.engine.step(self.now, event) {
            if let Action::Append { seq, payload } = action {
                let result = Ok(self.append(&payload));
                self.step(Event::Appended { seq, result });
            }
        }
    }

    fn probed(&mut self, index: usize, is_reachable: bool) {
        let InstanceRow {
            name, incarnation, ..
        } = row(index);
        self.step(Event::Probed {
            name,
            incarnation,
            is_reachable,
        });
        self.run_for(200);
    }

    fn doubtful_count(&self) -> usize {
        let instances = &self.engine.ledger().instances;
        assert_eq!(
            instances.iter().count(),
            MAPS_COUNT,
            "the ledger does not have all instances"
        );
        let doubtful = instances.iter();
        doubtful
            .filter(|entry| entry.standing == Standing::Doubtful)
            .count()
    }
}

#[test]
fn an_entry_that_reaches_no_worker_proposes_none_as_doubtful() {
    let mut under_test = EngineUnderTest::open();
    for index in (0..MAPS_COUNT).chain(0..MAPS_COUNT) {
        under_test.probed(index, false);
    }
    assert_eq!(
        under_test.doubtful_count(),
        0,
        "a worker is doubtful although no worker answered"
    );
}

#[test]
fn a_single_unresponsive_worker_is_doubtful_until_it_answers() {
    let mut under_test = EngineUnderTest::open();
    under_test.probed(0, false);
    under_test.probed(1, true);
    assert_eq!(
        under_test.doubtful_count(),
        1,
        "after another worker answered"
    );
    under_test.probed(0, true);
    assert_eq!(under_test.doubtful_count(), 0, "after the worker answered");
}
