//! A leader whose processor is full: the engine in virtual time, in a process that carries out one
//! task after the other, each at a cost, as an event loop does.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use hawthornladder::jobs::{
    Action, EndKind, Engine, JobId, PollOrder, PollReply, RunEnd, StartOrder, Submission, TaskName,
    WorkerInfo, WorkerKey,
};
use hawthornladder::node::{LoopDelay, STARTS_PER_STEP_MAX, STEP_PAUSE_MS};
use smol_str::{format_smolstr, SmolStr};

use super::builders::{catalog, job, settings_with_factor, size, step};

const UNIX_MS: u64 = 1_700_000_000_000;
/// Cost of a step of the engine, and of sending an order or applying its answer.
const STEP_US: u64 = 200;
const CALL_US: u64 = 60;
/// Time until a call has reached its worker, and until the answer is back.
const NETWORK_US: u64 = 1_000;
/// Time in which records are persisted.
const PERSIST_US: u64 = 16_000;
/// Room for more runs than the processor can start.
const WORKERS_COUNT: u32 = 1_000;
const TASK_MS: u64 = 640;
const TASKS_COUNT: u64 = 8;
/// A run takes four calls, if each end is listed by a poll of its own.
const RUNS_PER_S: u64 = 1_000_000 / (4 * CALL_US);
const PEAK_MS: u64 = 4_000;
/// A task of the leader waits less than this, or renewals of its lease come too late.
const WAIT_MAX_MS: u64 = 250;
/// Share of what is possible that has to be in time, in percent.
const IN_TIME_PERCENT: u64 = 70;

/// What the process does next in its turn.
enum Turn {
    Step { planned_us: u64 },
    SendStart(StartOrder),
    StartAnswered(StartOrder),
    SendPoll(PollOrder),
    PollAnswered(PollOrder, PollReply),
    Persisted,
}

/// What happens outside the process.
enum Event {
    Ready(Turn),
    Arrives(StartOrder),
    RunEnds(WorkerKey, TaskName, u64),
    PollArrives(PollOrder),
    PollExpires(WorkerKey, u64),
    Submit(u64),
}

#[derive(Default)]
struct Worker {
    ended: Vec<RunEnd>,
    next_number: u64,
    running: Vec<(TaskName, u64)>,
    /// The poll that waits for an end, and its number.
    waiting: Option<(u64, PollOrder)>,
}

struct LeaderProcess {
    engine: Engine,
    turns: VecDeque<Turn>,
    events: BTreeMap<u64, Event>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    next_event: u64,
    next_poll: u64,
    now_us: u64,
    delay: LoopDelay,
    longest_wait_ms: u64,
    workers: HashMap<WorkerKey, Worker>,
    targets: HashMap<u64, u64>,
    in_time_count: u64,
}

fn worker_info(number: u32) -> WorkerInfo {
    WorkerInfo {
        id: format_smolstr!("w{number}"),
        started_unix_ms: UNIX_MS,
        address: ([10, 0, 0, 1], 8_000).into(),
        pool: "pool".into(),
        zone: "a".into(),
        labels: Vec::new(),
        capacity: size(32_000, 64_000),
        is_draining: false,
        cold_ms: 0,
        instance: None,
    }
}

impl LeaderProcess {
    fn open() -> Self {
        let settings = hawthornladder::jobs::EngineSettings {
            starts_per_step_max: STARTS_PER_STEP_MAX,
            ..settings_with_factor(1, 1_000)
        };
        let mut engine = Engine::open(settings, catalog(&["pool"]), 0, UNIX_MS);
        for number in 0..WORKERS_COUNT {
            engine.worker_listed(worker_info(number), 0);
        }
        let mut process = Self {
            engine,
            turns: VecDeque::new(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_event: 0,
            next_poll: 0,
            now_us: 0,
            delay: LoopDelay::default(),
            longest_wait_ms: 0,
            workers: HashMap::new(),
            targets: HashMap::new(),
            in_time_count: 0,
        };
        process.turns.push_back(Turn::Step { planned_us: 0 });
        process
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.events.insert(self.next_event, event);
        self.due.push(Reverse((at_us, self.next_event)));
        self.next_event += 1;
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms() < until_ms {
            self.apply_due_events();
            match self.turns.pop_front() {
                Some(turn) => self.take(turn),
                None => {
                    let next = self.due.peek().map(|Reverse((at_us, _))| *at_us);
                    self.now_us = next.unwrap_or(until_ms * 1_000).max(self.now_us);
                }
            }
        }
    }

    fn apply_due_events(&mut self) {
        while let Some(Reverse((at_us, number))) = self.due.peek().copied() {
            if at_us > self.now_us {
                return;
            }
            self.due.pop();
            let event = self.events.remove(&number).expect("it is due once");
            self.apply(event, at_us);
        }
    }

    fn apply(&mut self, event: Event, at_us: u64) {
        match event {
            Event::Ready(turn) => self.turns.push_back(turn),
            Event::Arrives(order) => {
                let (key, name, run) = (order.target.worker, order.name, order.run.run);
                self.workers
                    .entry(key)
                    .or_default()
                    .running
                    .push((name, run));
                self.at(at_us + TASK_MS * 1_000, Event::RunEnds(key, name, run));
                self.at(at_us + NETWORK_US, Event::Ready(Turn::StartAnswered(order)));
            }
            Event::RunEnds(key, name, run_number) => {
                let worker = self.workers.entry(key).or_default();
                worker.running.retain(|known| *known != (name, run_number));
                worker.next_number += 1;
                worker.ended.push(RunEnd {
                    number: worker.next_number,
                    name,
                    run_number,
                    kind: EndKind::Done,
                    checkpoint: SmolStr::default(),
                });
                self.answer_poll(key, at_us);
            }
            Event::PollArrives(order) => {
                let key = order.target.worker;
                let wait_us = order.wait_ms * 1_000;
                self.next_poll += 1;
                let number = self.next_poll;
                let worker = self.workers.entry(key).or_default();
                worker
                    .ended
                    .retain(|end| end.number > order.acknowledged_through);
                let answers_at_once = wait_us == 0 || !worker.ended.is_empty();
                worker.waiting = Some((number, order));
                match answers_at_once {
                    true => self.answer_poll(key, at_us),
                    false => self.at(at_us + wait_us, Event::PollExpires(key, number)),
                }
            }
            Event::PollExpires(key, number) => {
                let waiting = self
                    .workers
                    .get(&key)
                    .and_then(|worker| worker.waiting.as_ref());
                if waiting.is_some_and(|(waiting, _)| *waiting == number) {
                    self.answer_poll(key, at_us);
                }
            }
            Event::Submit(number) => {
                let submission = Submission {
                    id: JobId(number),
                    queue: "pool".into(),
                    team: "team".into(),
                    spec: job(vec![step(8, 4_000, TASK_MS)]),
                };
                // 1.6 times its longest chain, and 600 ms.
                let target_ms = at_us / 1_000 + TASK_MS * 16 / 10 + 600;
                self.targets.insert(number, target_ms);
                self.engine.submit(submission);
            }
        }
    }

    fn answer_poll(&mut self, key: WorkerKey, at_us: u64) {
        let worker = self.workers.entry(key).or_default();
        let Some((_, order)) = worker.waiting.take() else {
            return;
        };
        let running = worker
            .running
            .iter()
            .map(|(name, run)| hawthornladder::jobs::RunRow {
                name: *name,
                run_number: *run,
                checkpoint: SmolStr::default(),
                percent: 0,
                metric: 0,
            });
        let reply = PollReply {
            has_more_ends: false,
            clock_ms: at_us / 1_000,
            started_unix_ms: UNIX_MS,
            running: running.collect(),
            ended: worker.ended.clone(),
            acknowledged_through: order.acknowledged_through,
        };
        self.at(
            at_us + NETWORK_US,
            Event::Ready(Turn::PollAnswered(order, reply)),
        );
    }

    fn take(&mut self, turn: Turn) {
        self.now_us += match turn {
            Turn::Step { .. } => STEP_US,
            _ => CALL_US,
        };
        let now_ms = self.now_ms();
        match turn {
            Turn::Step { planned_us } => self.step(planned_us),
            Turn::SendStart(order) => self.at(self.now_us + NETWORK_US, Event::Arrives(order)),
            Turn::StartAnswered(order) => self.engine.start_accepted(&order, Some(now_ms), now_ms),
            Turn::SendPoll(order) => self.at(self.now_us + NETWORK_US, Event::PollArrives(order)),
            Turn::PollAnswered(order, reply) => self.engine.poll_answered(&order, reply, now_ms),
            Turn::Persisted => {
                self.engine.records_persisted();
            }
        }
    }

    fn step(&mut self, planned_us: u64) {
        let now_ms = self.now_ms();
        let wait_ms = self.now_us.saturating_sub(planned_us) / 1_000;
        self.delay.observe(0, wait_ms);
        self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
        self.engine.set_loop_delay_ms(self.delay.mean_ms());
        self.engine.advance(now_ms, UNIX_MS + now_ms);
        for action in self.engine.take_actions() {
            match action {
                Action::Start(order) => self.turns.push_back(Turn::SendStart(order)),
                Action::Poll(order) => self.turns.push_back(Turn::SendPoll(order)),
                _ => {}
            }
        }
        if self.engine.take_records().is_some() {
            self.at(self.now_us + PERSIST_US, Event::Ready(Turn::Persisted));
        }
        let planned_us = self.now_us + STEP_PAUSE_MS * 1_000;
        self.at(planned_us, Event::Ready(Turn::Step { planned_us }));
        self.count_jobs_in_time();
    }

    fn count_jobs_in_time(&mut self) {
        let now_ms = self.now_ms();
        let engine = &self.engine;
        let mut in_time_count = 0;
        self.targets.retain(|number, target_ms| {
            let is_complete = engine
                .job_state(JobId(*number))
                .is_some_and(|state| state.is_final());
            in_time_count += u64::from(is_complete);
            !is_complete && *target_ms >= now_ms
        });
        self.in_time_count += in_time_count;
    }
}

/// Plays a peak in which `demand_percent` of what the processor can start is asked for.
fn play_peak(demand_percent: u64) -> (LeaderProcess, u64) {
    let mut process = LeaderProcess::open();
    process.run_until(2_000);
    let jobs_count = RUNS_PER_S * demand_percent / 100 * PEAK_MS / 1_000 / TASKS_COUNT;
    for number in 0..jobs_count {
        let at_us = process.now_us + number * PEAK_MS * 1_000 / jobs_count;
        process.at(at_us, Event::Submit(number + 1));
    }
    process.longest_wait_ms = 0;
    process.run_until(2_000 + PEAK_MS + 4_000);
    (process, jobs_count)
}

/// Guards against a leader whose orders wait in its process, where neither their jobs' targets nor the
/// lease count, once there are more of them than the processor can carry out.
#[test]
fn orders_beyond_what_the_processor_can_do_wait_in_the_engine() {
    for demand_percent in [80, 300] {
        let (process, jobs_count) = play_peak(demand_percent);
        let possible_count = jobs_count * 100 / demand_percent.max(100);
        let in_time_count = process.in_time_count;
        println!(
            "{demand_percent} %: {in_time_count} of {possible_count} in time, waits up to {} ms",
            process.longest_wait_ms
        );
        assert!(
            process.longest_wait_ms < WAIT_MAX_MS,
            "{demand_percent} %: a task of the leader waited {} ms",
            process.longest_wait_ms
        );
        assert!(
            in_time_count * 100 >= possible_count * IN_TIME_PERCENT,
            "{demand_percent} %: {in_time_count} of {possible_count} jobs in time"
        );
    }
}

/// Guards against tasks that wait for an event although only the bound of a step held them back.
#[test]
fn what_a_step_leaves_goes_with_the_next_step() {
    let mut process = LeaderProcess::open();
    process.run_until(2_000);
    let tasks_count = u32::try_from(STARTS_PER_STEP_MAX).expect("it is small") * 2 + 2;
    let submission = Submission {
        id: JobId(1),
        queue: "pool".into(),
        team: "team".into(),
        spec: job(vec![step(tasks_count, 1_000, TASK_MS)]),
    };
    process.engine.submit(submission);
    assert!(process.engine.take_records().is_some());
    process.engine.records_persisted();
    let mut counts = Vec::new();
    for now_ms in [2_010, 2_020, 2_030] {
        process.engine.advance(now_ms, UNIX_MS + now_ms);
        let actions = process.engine.take_actions();
        let starts = actions
            .iter()
            .filter(|action| matches!(action, Action::Start(_)));
        counts.push(starts.count());
    }
    assert_eq!(counts, [STARTS_PER_STEP_MAX, STARTS_PER_STEP_MAX, 2]);
}
