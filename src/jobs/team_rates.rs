//! Rates of teams. Each team buys a number of jobs per second, its weight in the lists, and has a
//! token bucket that refills at this rate. A job that finds a token when it is accepted is within
//! the rate of its team; a job that finds none is over it and takes no token, so that a team has no
//! debt after a peak. The buckets follow from the acceptance times of the jobs alone, so that a new
//! leader rebuilds them from the persisted jobs.

use std::collections::HashMap;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::catalog::Team;
use crate::jobs::engine::Engine;
use crate::jobs::spec::JobSpec;

/// A token, in the unit of the buckets. At this size a rate in thousandths of a job per second is a
/// whole number of units in a millisecond.
const TOKEN: u64 = 1_000_000;
/// Refill of a rate of one job per second, in units per millisecond.
const REFILL_PER_MS: f64 = 1_000.0;
/// Time over which a bucket fills, in milliseconds.
const FILL_MS: u64 = 1_000;

/// Token bucket of one team.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: u64,
    /// Time up to which it is refilled, in Unix milliseconds.
    refilled_unix_ms: u64,
}

/// Token buckets of all teams with a weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRates {
    buckets: HashMap<SmolStr, Bucket>,
}

impl TeamRates {
    /// Returns whether a job of a team with this weight would find a token.
    pub(crate) fn has_token(&self, team: &SmolStr, weight: f64, at_unix_ms: u64) -> bool {
        self.refilled(team, weight, at_unix_ms).tokens >= TOKEN
    }

    /// Takes a token for a job of a team with this weight; returns whether there was one.
    pub(crate) fn take(&mut self, team: &SmolStr, weight: f64, at_unix_ms: u64) -> bool {
        let mut bucket = self.refilled(team, weight, at_unix_ms);
        let is_found = bucket.tokens >= TOKEN;
        if is_found {
            bucket.tokens -= TOKEN;
        }
        self.buckets.insert(team.clone(), bucket);
        is_found
    }

    /// Returns the bucket of a team as it is at `at_unix_ms`. A clock that goes back, as it may with
    /// a new leader, refills nothing until it advances again.
    fn refilled(&self, team: &SmolStr, weight: f64, at_unix_ms: u64) -> Bucket {
        let refill_per_ms = refill_per_ms(weight);
        // A bucket that holds less than a token would never let a slow team have one.
        let most = refill_per_ms.saturating_mul(FILL_MS).max(TOKEN);
        let tokens = self.buckets.get(team).map_or(most, |bucket| {
            let passed_ms = at_unix_ms.saturating_sub(bucket.refilled_unix_ms);
            let refill = refill_per_ms.saturating_mul(passed_ms);
            bucket.tokens.saturating_add(refill).min(most)
        });
        Bucket {
            tokens,
            refilled_unix_ms: at_unix_ms,
        }
    }

    /// Drops the buckets of teams that are no longer listed.
    pub(crate) fn retain_teams(&mut self, teams: &IndexMap<SmolStr, Team>) {
        self.buckets.retain(|team, _| teams.contains_key(team));
    }
}

// Weights are small positive numbers.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn refill_per_ms(weight: f64) -> u64 {
    (weight * REFILL_PER_MS).round() as u64
}

impl Engine {
    /// Returns the weight of a team that bought a rate, or `None` if jobs of the team are always
    /// within the rate.
    pub(crate) fn bought_rate(&self, team: &SmolStr) -> Option<f64> {
        let weight = self.catalog.teams.get(team)?.weight;
        (weight > 0.0).then_some(weight)
    }

    /// Returns the rate that counts for a job, or `None` if the job takes no token: long-running and
    /// recurring jobs are always within the rate.
    pub(crate) fn rate_for(&self, team: &SmolStr, spec: &JobSpec) -> Option<f64> {
        if spec.is_long_running() || spec.recurrence.is_some() {
            return None;
        }
        self.bought_rate(team)
    }

    /// Takes a token for a job that was accepted at `accepted_unix_ms`; returns whether the job is
    /// over the rate of its team.
    pub(crate) fn take_token(
        &mut self,
        team: &SmolStr,
        spec: &JobSpec,
        accepted_unix_ms: u64,
    ) -> bool {
        let rate = self.rate_for(team, spec);
        rate.is_some_and(|rate| !self.team_rates.take(team, rate, accepted_unix_ms))
    }
}
