//! What waits for a pool in the whole fleet, sorted so that the wait of any team is a look-up.

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::usage::TeamOrOpen;

/// Time for which a backlog is used before the next is counted.
const BACKLOG_PERIOD_MS: u64 = 10;

/// What one team has waiting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamBacklog {
    pub(crate) weight: f64,
    pub(crate) waiting_count: f64,
}

impl TeamBacklog {
    fn turns(&self) -> f64 {
        self.waiting_count / self.weight
    }
}

/// Teams up to a number of turns: their requests in sum, and the weight of the teams beyond.
#[derive(Clone, Copy, Debug)]
struct Step {
    turns: f64,
    waiting_sum: f64,
    weight_beyond: f64,
}

/// The backlog of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    counted_ms: MonoMs,
    urgent_count: f64,
    turns_of: KeyMap<TeamOrOpen, f64>,
    weight_sum: f64,
    steps: Vec<Step>,
}

impl Backlog {
    /// Sorts the backlog of all teams; `urgent_count` is the urgent work of this entry.
    pub(crate) fn new(
        now_ms: MonoMs,
        urgent_count: f64,
        teams: &KeyMap<TeamOrOpen, TeamBacklog>,
    ) -> Self {
        let mut sorted: Vec<&TeamBacklog> = teams.values().collect();
        sorted.sort_by(|left, right| left.turns().total_cmp(&right.turns()));
        let weight_sum = sorted.iter().map(|team| team.weight).sum();
        let mut step = Step {
            turns: 0.0,
            waiting_sum: 0.0,
            weight_beyond: weight_sum,
        };
        let steps = sorted
            .iter()
            .map(|team| {
                step.turns = team.turns();
                step.waiting_sum += team.waiting_count;
                step.weight_beyond -= team.weight;
                step
            })
            .collect();
        Self {
            counted_ms: now_ms,
            urgent_count,
            turns_of: teams
                .iter()
                .map(|(team, backlog)| (*team, backlog.turns()))
                .collect(),
            weight_sum,
            steps,
        }
    }

    pub(crate) fn is_due(&self, now_ms: MonoMs) -> bool {
        self.counted_ms + BACKLOG_PERIOD_MS <= now_ms
    }

    /// Returns how many requests start before the team's last one that waits now, if nothing more
    /// arrives: of each other team only as much goes ahead as its weight allows meanwhile
    /// (generalised processor sharing, Parekh and Gallager, 1993). Only urgent work of this entry
    /// goes ahead of urgent work.
    pub(crate) fn ahead_count(&self, team: TeamOrOpen, is_urgent: bool) -> f64 {
        if is_urgent {
            return self.urgent_count;
        }
        let turns = self.turns_of.get(&team).copied().unwrap_or(0.0);
        let index = self.steps.partition_point(|step| step.turns <= turns);
        let (waiting_sum, weight_beyond) = match index.checked_sub(1) {
            Some(last) => (self.steps[last].waiting_sum, self.steps[last].weight_beyond),
            None => (0.0, self.weight_sum),
        };
        self.urgent_count + waiting_sum + turns * weight_beyond.max(0.0)
    }
}
