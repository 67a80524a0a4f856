//! What the experiments with the job engine have in common: simulated workers that carry out every
//! order at once, the list of one pool, and the settings of the engine, in virtual time.

use indexmap::IndexSet;
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::{
    Catalog, EndKind, EngineSettings, ForecastMethod, PollOrder, PollReply, Pool, Queue, RunEnd,
    RunRow, Size, StartOrder, TaskName, WorkerInfo,
};
use crate::load::RECORD_MAX_BYTES;

/// Name of the pool and of its queue.
pub(crate) const POOL: &str = "pool";
/// Unix time at virtual time 0, in milliseconds.
pub(crate) const UNIX_MS: u64 = 1_700_000_000_000;
/// Progress of a run that has not ended, in percent.
const RUNNING_PERCENT: u64 = 50;

/// A simulated worker.
#[derive(Default)]
pub(crate) struct PlayedWorker {
    running: IndexSet<(TaskName, u64)>,
    ended: Vec<RunEnd>,
    next_number: u64,
    /// Poll that waits for an end, and the time at which it is answered in any case.
    waiting: Option<(PollOrder, u64)>,
}

impl PlayedWorker {
    /// Starts a run.
    pub(crate) fn start(&mut self, order: &StartOrder) {
        self.running.insert((order.name, order.run.run));
    }

    /// Ends a run as done.
    pub(crate) fn end(&mut self, order: &StartOrder) {
        self.running.swap_remove(&(order.name, order.run.run));
        self.next_number += 1;
        self.ended.push(RunEnd {
            number: self.next_number,
            name: order.name,
            run_number: order.run.run,
            kind: EndKind::Done,
            checkpoint: SmolStr::default(),
        });
    }

    /// Receives a poll, which waits until a run ends or its time is over.
    pub(crate) fn poll(&mut self, order: PollOrder, now_ms: u64) {
        let until_ms = now_ms + order.wait_ms;
        let acknowledged = order.acknowledged_through;
        self.ended.retain(|end| end.number > acknowledged);
        self.waiting = Some((order, until_ms));
    }

    /// Returns the waiting poll and its answer, if it is due.
    pub(crate) fn answer_poll(&mut self, now_ms: u64) -> Option<(PollOrder, PollReply)> {
        let has_ends = !self.ended.is_empty();
        let (order, _) = self
            .waiting
            .take_if(|(_, until_ms)| *until_ms <= now_ms || has_ends)?;
        let reply = PollReply {
            has_more_ends: false,
            clock_ms: now_ms,
            started_unix_ms: UNIX_MS,
            running: self.running.iter().map(running_row).collect(),
            ended: self.ended.clone(),
            acknowledged_through: order.acknowledged_through,
        };
        Some((order, reply))
    }
}

fn running_row((name, run_number): &(TaskName, u64)) -> RunRow {
    RunRow {
        name: *name,
        run_number: *run_number,
        checkpoint: SmolStr::default(),
        percent: RUNNING_PERCENT,
        metric: 0,
    }
}

/// Returns the settings of the first leader, where a task takes `remote_factor_permille` as long
/// outside the rack of its data.
pub(crate) fn played_settings(remote_factor_permille: u64) -> EngineSettings {
    EngineSettings {
        fence: 1,
        run_lease_ms: 4_000,
        run_lease_max_ms: 10_000,
        poll_wait_ms: 800,
        starts_per_step_max: usize::MAX,
        stop_ms: 200,
        inherited_runs_max_ms: 0,
        ended_retention_ms: 120_000,
        move_ms: 1_500,
        maintain_ms: 2_000,
        instance_lease_ms: 3_000,
        earlier_orders_wait_ms: 0,
        capacity_age_max_ms: 0,
        forecast: ForecastMethod::default(),
        record_max_bytes: RECORD_MAX_BYTES,
        remote_factor_permille,
    }
}

/// Returns lists with one pool and its queue.
pub(crate) fn played_catalog() -> Catalog {
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    let queue = Queue {
        name: POOL.into(),
        pool: POOL.into(),
        attempts_max: 3,
        target_chain_factor: 1.6,
        target_latency_ms: 600,
        ..Queue::default()
    };
    catalog.queues.insert(POOL.into(), queue);
    catalog.pools.insert(POOL.into(), Pool::default());
    catalog
}

/// Returns the entry of a worker of the pool.
pub(crate) fn played_worker_info(id: SmolStr, rack: SmolStr, capacity: Size) -> WorkerInfo {
    WorkerInfo {
        id,
        started_unix_ms: UNIX_MS,
        address: ([10, 0, 0, 1], 8_000).into(),
        pool: POOL.into(),
        zone: "a".into(),
        labels: vec![rack],
        capacity,
        is_draining: false,
        cold_ms: 0,
        instance: None,
    }
}

/// Returns the name of a rack by its number.
pub(crate) fn rack_name(rack: u32) -> SmolStr {
    format_smolstr!("r-{rack}")
}
