//! Requests that wait for a pool in the whole fleet, sorted so that the number of requests ahead of
//! a team is found by binary search.

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::usage::TeamOrOpen;

/// Time for which a backlog is used before it is counted again.
const BACKLOG_PERIOD_MS: u64 = 10;

/// Waiting requests of one team.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamBacklog {
    pub(crate) weight: f64,
    pub(crate) waiting_count: f64,
}

impl TeamBacklog {
    /// Rounds of weighted fair queueing that the team needs until its last request starts.
    fn rounds(&self) -> f64 {
        self.waiting_count / self.weight
    }
}

/// Sums over the teams that need at most `rounds` rounds, and the weight of the remaining teams.
#[derive(Clone, Copy, Debug)]
struct Step {
    rounds: f64,
    waiting_sum: f64,
    weight_beyond: f64,
}

/// The backlog of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    counted_ms: MonoMs,
    urgent_count: f64,
    rounds_of: KeyMap<TeamOrOpen, f64>,
    weight_sum: f64,
    steps: Vec<Step>,
}

impl Backlog {
    /// Sorts the backlog of all teams. `urgent_count` is the number of urgent requests waiting at
    /// this entry.
    pub(crate) fn new(
        now_ms: MonoMs,
        urgent_count: f64,
        teams: &KeyMap<TeamOrOpen, TeamBacklog>,
    ) -> Self {
        let mut sorted: Vec<&TeamBacklog> = teams.values().collect();
        sorted.sort_by(|left, right| left.rounds().total_cmp(&right.rounds()));
        let weight_sum = sorted.iter().map(|team| team.weight).sum();
        let mut step = Step {
            rounds: 0.0,
            waiting_sum: 0.0,
            weight_beyond: weight_sum,
        };
        let steps = sorted
            .iter()
            .map(|team| {
                step.rounds = team.rounds();
                step.waiting_sum += team.waiting_count;
                step.weight_beyond -= team.weight;
                step
            })
            .collect();
        Self {
            counted_ms: now_ms,
            urgent_count,
            rounds_of: teams
                .iter()
                .map(|(team, backlog)| (*team, backlog.rounds()))
                .collect(),
            weight_sum,
            steps,
        }
    }

    pub(crate) fn is_due(&self, now_ms: MonoMs) -> bool {
        self.counted_ms + BACKLOG_PERIOD_MS <= now_ms
    }

    /// Returns how many requests start before the last waiting request of `team`, if nothing more
    /// arrives. Each other team gets ahead only by as many requests as its weight allows in that
    /// time (generalised processor sharing, Parekh and Gallager, 1993). Urgent work waits only for
    /// other urgent work of this entry.
    pub(crate) fn ahead_count(&self, team: TeamOrOpen, is_urgent: bool) -> f64 {
        if is_urgent {
            return self.urgent_count;
        }
        let rounds = self.rounds_of.get(&team).copied().unwrap_or(0.0);
        let index = self.steps.partition_point(|step| step.rounds <= rounds);
        let (waiting_sum, weight_beyond) = match index.checked_sub(1) {
            Some(last) => (self.steps[last].waiting_sum, self.steps[last].weight_beyond),
            None => (0.0, self.weight_sum),
        };
        self.urgent_count + waiting_sum + rounds * weight_beyond.max(0.0)
    }
}
