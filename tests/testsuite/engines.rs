//! Several engines over one log in memory. The test controls time, faults and the ends of tasks, so
//! minutes pass at once and every run is the same.

use std::collections::HashMap;
use std::sync::Arc;

use hawthornladder::callers::{CallId, CallerAnswer, CallerOutcome, CallerRequest, Cancel, Fetch};
use hawthornladder::entry::{
    Action, AttemptKey, Engine, EngineSettings, EntrySettings, Event, GossipPacing, Now, Source,
};
use hawthornladder::error::{ErrorKind, RunState};
use hawthornladder::examples;
use hawthornladder::fleet::{InstanceRow, Offset, Resources};
use hawthornladder::keys::{self, NewKey};
use hawthornladder::ledger::{
    KeyRow, Ledger, ListsPatch, OperatorChange, OperatorProposal, Record,
};
use hawthornladder::lists::Lists;
use hawthornladder::ports::{
    InstancePage, LogPage, LogRecord, NotStarted, PortError, TaskStop, WorkerOutcome, WorkerRequest,
};
use hawthornladder::settings;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

const UNIX_START_MS: u64 = 1_800_000_000_000;
const STEP_MS: u64 = 20;
const GOSSIP_EVERY_MS: u64 = 200;
const WORKERS_COUNT: usize = 4;

/// One engine with its connections to the log and to peers.
pub(crate) struct Node {
    pub(crate) engine: Engine,
    /// It gets neither events nor ticks while time passes.
    pub(crate) is_paused: bool,
    /// Its reads and appends of the log fail.
    pub(crate) is_cut_from_log: bool,
    /// It exchanges nothing with peers.
    pub(crate) is_cut_from_peers: bool,
    /// It receives gossip, but its fetches of records and ledgers fail.
    pub(crate) is_fetch_failing: bool,
    /// Attempts in flight.
    pub(crate) attempts: Vec<(AttemptKey, WorkerRequest)>,
    /// Ids of the attempts that the engine cancelled.
    pub(crate) cancelled: Vec<SmolStr>,
    pub(crate) is_drained: bool,
    /// Exchanges with each peer, by its name.
    pacings: HashMap<SmolStr, GossipPacing>,
    config_stale_max_ms: u64,
    name: SmolStr,
}

impl Node {
    fn is_exchange_due(&mut self, now_ms: u64, peer: SmolStr) -> bool {
        let (own, seen_ms) = (self.engine.gossip(), self.engine.log_head_seen_ms());
        let pacing = self.pacings.entry(peer).or_default();
        pacing.is_due(now_ms, &own, seen_ms, self.config_stale_max_ms)
    }
}

/// The engines and their log.
pub(crate) struct Engines {
    pub(crate) now_ms: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) records: Vec<LogRecord>,
    /// Reads show the log as it was this many milliseconds ago.
    pub(crate) stale_ms: u64,
    /// Each batch is appended twice.
    pub(crate) is_doubling: bool,
    /// No engine reaches the log.
    pub(crate) is_log_down: bool,
    /// All answers so far, including those of killed engines.
    answers: HashMap<CallId, CallerAnswer>,
    edit_settings: fn(&mut EngineSettings),
    opened_count: usize,
    calls_count: u64,
    ids_count: u64,
}

impl Engines {
    /// Starts `count` engines with the Lahore lists in force and four workers.
    pub(crate) fn open(count: usize) -> Self {
        Self::open_with(count, |_| {}, |_| {})
    }

    /// Does the same as [`Self::open`] with edited lists and settings.
    pub(crate) fn open_with(
        count: usize,
        edit: impl Fn(&mut Lists),
        edit_settings: fn(&mut EngineSettings),
    ) -> Self {
        let mut engines = Self {
            now_ms: 1_000_000,
            nodes: Vec::new(),
            records: Vec::new(),
            stale_ms: 0,
            is_doubling: false,
            is_log_down: false,
            answers: HashMap::new(),
            edit_settings,
            opened_count: 0,
            calls_count: 0,
            ids_count: 0,
        };
        let ((mut lists, _), _) = examples::LAHORE.load().expect("the example is valid");
        edit(&mut lists);
        let patch = Box::new(ListsPatch::between(&Lists::default(), &lists));
        engines.append_operator_change(OperatorChange::Publish {
            base_version: 0,
            patch,
        });
        for _ in 0..count {
            engines.add();
        }
        engines.advance(1_000);
        assert!(
            engines.nodes.iter().all(|node| node.engine.is_serving()),
            "an engine does not accept work one second after its start"
        );
        engines
    }

    /// Adds a new engine; returns its index.
    pub(crate) fn add(&mut self) -> usize {
        self.nodes
            .push(new_node(self.opened_count, self.edit_settings));
        self.opened_count += 1;
        self.nodes.len() - 1
    }

    /// Removes an engine at once, without a drain.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes.remove(index);
    }

    /// Appends an operator's proposal to the log.
    pub(crate) fn append_operator_change(&mut self, change: OperatorChange) {
        let proposal = OperatorProposal {
            proposal_id: self.next_id(),
            operator: SmolStr::new_static("test"),
            change,
        };
        let payload =
            serde_json::to_string(&Record::Operator(proposal)).expect("the record encodes");
        self.append(&payload);
    }

    /// Grants a key to `team`.
    pub(crate) fn grant(&mut self, team: &str) -> NewKey {
        let key = keys::generate();
        self.append_operator_change(OperatorChange::GrantKey {
            key_id: key.key_id.clone(),
            row: KeyRow {
                team: team.into(),
                digest: key.digest.clone(),
                is_withdrawn: false,
            },
        });
        self.advance(100);
        key
    }

    /// Returns a UUID of version 7 with the present time.
    pub(crate) fn next_id(&mut self) -> Uuid {
        self.ids_count += 1;
        let mut bytes = [0; 10];
        bytes[2..].copy_from_slice(&self.ids_count.to_be_bytes());
        uuid::Builder::from_unix_timestamp_millis(UNIX_START_MS + self.now_ms, &bytes).into_uuid()
    }

    /// Returns a request with a deadline of 10 s.
    pub(crate) fn request(&mut self, key: &NewKey, is_idempotent: bool) -> CallerRequest {
        CallerRequest {
            request_id: SmolStr::new(self.next_id().to_string()),
            key: Some(key.text.clone()),
            queue: SmolStr::new_static("delay-maps"),
            deadline_ms: 10_000,
            is_idempotent,
            size: Resources {
                cores_milli: 1_000,
                memory_mb: 1_000,
                accelerators_count: 0,
            },
            declared_run_ms: 0,
            is_for_later: false,
            body: Arc::default(),
        }
    }

    /// Sends a call to an engine.
    pub(crate) fn call(&mut self, index: usize, request: &CallerRequest) -> CallId {
        self.calls_count += 1;
        let call_id = self.calls_count;
        let request = request.clone();
        self.step(index, Event::Call { call_id, request });
        call_id
    }

    /// Fetches a job from an engine.
    pub(crate) fn fetch(&mut self, index: usize, key: &NewKey, request: &CallerRequest) -> CallId {
        self.calls_count += 1;
        let call_id = self.calls_count;
        let fetch = Fetch {
            request_id: request.request_id.clone(),
            key: Some(key.text.clone()),
        };
        self.step(index, Event::Fetch { call_id, fetch });
        call_id
    }

    /// Cancels a request at an engine, and ends the attempt if the engine cancels one.
    pub(crate) fn cancel(&mut self, index: usize, key: &NewKey, request: &CallerRequest) {
        self.calls_count += 1;
        let call_id = self.calls_count;
        let cancel = Cancel {
            request_id: request.request_id.clone(),
            key: Some(key.text.clone()),
        };
        self.step(index, Event::Cancel { call_id, cancel });
        let node = &mut self.nodes[index];
        let cancelled = std::mem::take(&mut node.cancelled);
        let attempts = std::mem::take(&mut node.attempts);
        let is_cancelled = |row: &(_, WorkerRequest)| cancelled.contains(&row.1.attempt_id);
        let (ended, left): (Vec<_>, Vec<_>) = attempts.into_iter().partition(is_cancelled);
        node.attempts = left;
        for (attempt, _) in ended {
            let outcome = WorkerOutcome::Stopped(TaskStop::Cancelled);
            self.step(index, Event::AttemptEnded { attempt, outcome });
        }
    }

    /// Returns the answer to a call, if there is one yet.
    pub(crate) fn answer(&self, call_id: CallId) -> Option<&CallerAnswer> {
        self.answers.get(&call_id)
    }

    /// Returns the kind of a call's failure and what its answer says about the run.
    pub(crate) fn refusal(&self, call_id: CallId) -> Option<(ErrorKind, RunState)> {
        let answer = self.answer(call_id)?;
        match answer.outcome {
            CallerOutcome::Failed(kind) => Some((kind, answer.ran)),
            CallerOutcome::Done | CallerOutcome::Accepted => None,
        }
    }

    /// Ends the oldest attempt of an engine; returns its request.
    pub(crate) fn end_attempt(&mut self, index: usize, outcome: WorkerOutcome) -> WorkerRequest {
        let (attempt, request) = self.nodes[index].attempts.remove(0);
        self.step(index, Event::AttemptEnded { attempt, outcome });
        request
    }

    /// Gives an event to an engine and carries out the actions that it returns.
    pub(crate) fn step(&mut self, index: usize, event: Event) {
        let now = self.now();
        let actions = self.nodes[index].engine.step(now, event);
        for action in actions {
            self.carry_out(index, action);
        }
    }

    /// Advances the time by `time_ms` in steps; at each, every engine reads the log, exchanges gossip
    /// and ticks.
    pub(crate) fn advance(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].is_paused {
                    self.read_log(index);
                    self.exchange(index);
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    /// Advances the time until `is_met` returns true; returns the time that it took.
    ///
    /// # Panics
    ///
    /// If that takes more than `max_ms`.
    pub(crate) fn advance_until(&mut self, max_ms: u64, is_met: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !is_met(self) {
            assert!(
                self.now_ms < start_ms + max_ms,
                "the condition was not met within {max_ms} ms"
            );
            self.advance(STEP_MS);
        }
        self.now_ms - start_ms
    }

    /// Appends a record to the log; returns its offset.
    pub(crate) fn append(&mut self, payload: &str) -> Offset {
        let offset = self.records.len() as Offset;
        self.records.push(LogRecord {
            offset,
            at_unix_ms: UNIX_START_MS + self.now_ms,
            payload: Arc::from(payload),
        });
        offset
    }

    fn now(&self) -> Now {
        Now {
            mono_ms: self.now_ms,
            unix_ms: UNIX_START_MS + self.now_ms,
        }
    }

    fn is_log_reached(&self, index: usize) -> bool {
        !self.is_log_down && !self.nodes[index].is_cut_from_log
    }

    fn read_log(&mut self, index: usize) {
        if !self.is_log_reached(index) {
            let error = PortError::NotSent(SmolStr::new_static("down"));
            self.step(index, Event::LogFailed { error });
            return;
        }
        let from_offset = self.nodes[index].engine.wanted_offset();
        let visible_until_ms = UNIX_START_MS + self.now_ms - self.stale_ms;
        let is_visible = |record: &&LogRecord| record.at_unix_ms <= visible_until_ms;
        let head_offset = self.records.iter().take_while(is_visible).count() as Offset;
        let first = from_offset.min(head_offset) as usize;
        let page = LogPage {
            records: self.records[first..head_offset as usize].to_vec(),
            head_offset,
            oldest_offset: 0,
        };
        let sent_ms = self.now_ms;
        let source = Source::Log;
        let event = Event::LogPage {
            sent_ms,
            from_offset,
            page,
            source,
        };
        self.step(index, event);
    }

    fn exchange(&mut self, index: usize) {
        if self.now_ms % GOSSIP_EVERY_MS != 0 || self.nodes[index].is_cut_from_peers {
            return;
        }
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let due: Vec<bool> = names
            .into_iter()
            .map(|name| self.nodes[index].is_exchange_due(self.now_ms, name))
            .collect();
        let received: Vec<_> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, node)| *other != index && !node.is_paused && !node.is_cut_from_peers)
            .filter(|(other, _)| due[*other])
            .map(|(_, node)| node.engine.gossip())
            .collect();
        for gossip in received {
            let sent_ms = self.now_ms;
            let gossip = Box::new(gossip);
            self.step(index, Event::Gossip { sent_ms, gossip });
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Append { seq, payload } => {
                let result = match self.is_log_reached(index) {
                    true => Ok(self.append(&payload)),
                    false => Err(PortError::NotSent(SmolStr::new_static("down"))),
                };
                if result.is_ok() && self.is_doubling {
                    self.append(&payload);
                }
                self.step(index, Event::Appended { seq, result });
            }
            Action::AppendSnapshot { payloads } => {
                let is_done = self.is_log_reached(index);
                for payload in payloads.iter().filter(|_| is_done) {
                    self.append(payload);
                }
                self.step(index, Event::SnapshotAppended { is_done });
            }
            Action::Answer { call_id, answer } => {
                let earlier = self.answers.insert(call_id, answer);
                assert!(earlier.is_none(), "call {call_id} was answered twice");
            }
            Action::Run {
                attempt, request, ..
            } => self.nodes[index].attempts.push((attempt, *request)),
            Action::CancelAttempt { attempt_id, .. } => {
                self.nodes[index].cancelled.push(attempt_id);
            }
            Action::PullTail { peers_address, .. } | Action::PullLedger { peers_address } => {
                self.fetch_ledger(index, &peers_address);
            }
            Action::Drained => self.nodes[index].is_drained = true,
            _ => {}
        }
    }

    fn fetch_ledger(&mut self, index: usize, address: &str) {
        if self.nodes[index].is_fetch_failing {
            return;
        }
        let from_offset = self.nodes[index].engine.wanted_offset();
        let peer = self.nodes.iter().find(|node| node.name == address);
        let Some(head_offset) = peer.map(|node| node.engine.ledger().next_offset) else {
            return;
        };
        let first = from_offset.min(head_offset) as usize;
        let page = LogPage {
            records: self.records[first..head_offset as usize].to_vec(),
            head_offset,
            oldest_offset: 0,
        };
        let event = Event::LogPage {
            sent_ms: self.now_ms,
            from_offset,
            page,
            source: Source::Peer,
        };
        self.step(index, event);
    }

    /// Returns the ledger of an engine.
    pub(crate) fn ledger(&self, index: usize) -> &Ledger {
        self.nodes[index].engine.ledger()
    }
}

/// Returns the outcome of a task that succeeded.
pub(crate) fn succeeded() -> WorkerOutcome {
    WorkerOutcome::Ran {
        is_success: true,
        body: Arc::from(&b"done"[..]),
    }
}

/// Returns the outcome of an attempt whose answer was lost.
pub(crate) fn answer_lost() -> WorkerOutcome {
    WorkerOutcome::Unknown(SmolStr::new_static("closed_early"))
}

/// Returns the outcome of an attempt that a worker refused because all its slots were taken.
pub(crate) fn refused_as_busy() -> WorkerOutcome {
    WorkerOutcome::NotStarted(NotStarted::Busy)
}

/// Returns the wall-clock time that belongs to a monotonic time.
pub(crate) fn unix_ms(now_ms: u64) -> u64 {
    UNIX_START_MS + now_ms
}

fn new_node(number: usize, edit_settings: fn(&mut EngineSettings)) -> Node {
    let name = format_smolstr!("engine-{number}");
    let text = examples::LAHORE.entry;
    let (settings, _) = settings::check_text("entry.jsonc", text).expect("the example is valid");
    let mut settings = EntrySettings::from_settings(&settings, &name).engine;
    settings.peers_address = name.clone();
    settings.seed = number as u64;
    edit_settings(&mut settings);
    let config_stale_max_ms = settings.config_stale_max_ms;
    let mut engine = Engine::open(settings, &name);
    let rows = (0..WORKERS_COUNT).map(instance).collect();
    let page = InstancePage { version: 1, rows };
    let sent_ms = 0;
    engine.step(Now::default(), Event::Instances { sent_ms, page });
    Node {
        engine,
        is_paused: false,
        is_cut_from_log: false,
        is_cut_from_peers: false,
        is_fetch_failing: false,
        attempts: Vec::new(),
        cancelled: Vec::new(),
        is_drained: false,
        pacings: HashMap::new(),
        config_stale_max_ms,
        name,
    }
}

fn instance(number: usize) -> InstanceRow {
    InstanceRow {
        name: format_smolstr!("maps-{number}"),
        incarnation: format_smolstr!("boot-{number}"),
        address: format_smolstr!("127.0.0.1:{}", 1_000 + number),
        pool: SmolStr::new_static("maps"),
        zone: SmolStr::new_static("lahore-a"),
        rack: SmolStr::new_static("rack-0"),
        leaving: false,
        capacity: Resources {
            cores_milli: 32_000,
            memory_mb: 128_000,
            accelerators_count: 0,
        },
        slots_count: 8,
    }
}
