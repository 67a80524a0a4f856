//! What the leader's process has to do, and how far it is behind: counts and delays of each second,
//! for the log and the metrics.

use crate::logging::Event;
use crate::node::leader::to_f64;
use crate::node::Node;

/// Interval between log lines on the leader's load, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Work of the leader since its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaderLoad {
    pub(crate) starts_count: u64,
    pub(crate) polls_count: u64,
    pub(crate) peer_calls_count: u64,
    pub(crate) steps_count: u64,
    logged_ms: u64,
}

impl Node {
    /// Adds the delay of a task that planned to sleep for `planned_ms` and slept for `slept_ms`.
    pub(crate) fn observe_loop_delay(&self, planned_ms: u64, slept_ms: u64) {
        let mut delay = self.loop_delay.get();
        delay.observe(planned_ms, slept_ms);
        self.loop_delay.set(delay);
        let delay_ms = slept_ms.saturating_sub(planned_ms);
        self.metrics.loop_delay_ms.observe(to_f64(delay_ms));
    }

    /// Counts work of the leader.
    pub(crate) fn count_load(&self, count: impl FnOnce(&mut LeaderLoad)) {
        let mut load = self.leader_load.get();
        count(&mut load);
        self.leader_load.set(load);
    }

    /// Logs the leader's load if a line is due.
    pub(crate) fn log_load(&self) {
        let load = self.leader_load.get();
        let now_ms = self.now_ms();
        if now_ms < load.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        let mut delay = self.loop_delay.get();
        let delay_max_ms = delay.take_max_ms();
        self.loop_delay.set(delay);
        Event::new("leader_load")
            .with("delay_ms", delay.mean_ms())
            .with("delay_max_ms", delay_max_ms)
            .with("steps_count", load.steps_count)
            .with("starts_count", load.starts_count)
            .with("polls_count", load.polls_count)
            .with("peer_calls_count", load.peer_calls_count)
            .info();
        self.leader_load.set(LeaderLoad {
            logged_ms: now_ms,
            ..LeaderLoad::default()
        });
    }
}
