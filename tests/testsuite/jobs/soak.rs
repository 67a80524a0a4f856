//! Random series of faults against the engine, in virtual time: workers cut off, mute, crashed, reborn,
//! late with what they start, lost by the list or about to leave, the store away, and one leader after
//! the other, alone and overlapping. What must hold is checked after each step by the plant, and at the
//! end everything that was accepted has to be done.
//!
//! `SOAK_SEEDS=100..200 cargo test --test testsuite jobs::soak` plays other seeds than those of the CI.

use std::ops::Range;

use hawthornladder::jobs::{CancelOutcome, JobId, JobSpec, JobState, StepSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation, UNIX_MS};

/// Seeds that every run of the tests plays.
const SEEDS: Range<u64> = 0..12;
/// Seeds that found a fault: 3, members of gangs were copied one by one and waited for nothing; 145 and
/// 211, a gang that the pool could not hold as a whole brought no instance and waited for ever; 1167, 1367
/// and 2306, the room of runs that were being stopped as strays was given away.
const FOUND: &[u64] = &[145, 211, 1167, 1367, 2306];
/// Length of the faults, in milliseconds.
const FAULTS_MS: u64 = 30_000;
/// Time after the last fault by which all accepted work is done, in milliseconds: leases of earlier
/// leaders lapse, then the backlog runs.
const SETTLE_MS: u64 = 60_000;
/// Time after a cancel in which runs at workers within reach have ended, in milliseconds.
const CANCEL_MS: u64 = 4_000;

/// What ends a fault.
#[derive(Clone, Debug)]
enum Heal {
    Cut(SmolStr),
    Mute(SmolStr),
    Late(SmolStr),
    Reborn(SmolStr),
    Drained(SmolStr),
    Store,
    Lists,
}

struct Soak {
    simulation: Simulation,
    rng: ChaCha8Rng,
    fence: u64,
    heals: Vec<(u64, Heal)>,
    cancelled: Vec<(JobId, u64)>,
    jobs: Vec<(JobId, bool)>,
}

impl Soak {
    fn open(seed: u64) -> Self {
        let mut simulation = Simulation::open(&["a", "b"], 5);
        for number in 0..2 {
            simulation.add_instance(&SmolStr::from(format!("spare-{number}")), "standby");
        }
        simulation.list_all();
        Self {
            simulation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fence: 1,
            heals: Vec::new(),
            cancelled: Vec::new(),
            jobs: Vec::new(),
        }
    }

    fn play(&mut self) {
        let end_ms = self.simulation.now_ms + FAULTS_MS;
        let (mut next_job_ms, mut next_fault_ms) = (0, self.simulation.now_ms + 1_000);
        while self.simulation.now_ms < end_ms {
            if self.simulation.now_ms >= next_job_ms {
                self.hand_in();
                next_job_ms = self.simulation.now_ms + self.rng.random_range(100..700);
            }
            if self.simulation.now_ms >= next_fault_ms {
                self.break_something();
                next_fault_ms = self.simulation.now_ms + self.rng.random_range(100..1_500);
            }
            self.heal_due(self.simulation.now_ms);
            self.simulation.advance(10);
        }
        self.heal_due(u64::MAX);
        self.simulation.advance(SETTLE_MS);
        self.check_end();
    }

    fn random_step(&mut self) -> StepSpec {
        let rng = &mut self.rng;
        let tasks_count = rng.random_range(1..10);
        let cpu_millis = rng.random_range(1..12) * 1_000;
        let estimate_ms = rng.random_range(100..1_500);
        StepSpec {
            allows_copies: rng.random_bool(0.2),
            is_gang: rng.random_bool(0.1),
            per_worker_max: u32::from(rng.random_bool(0.1)) * 2,
            ..step(tasks_count, cpu_millis, estimate_ms)
        }
    }

    fn random_job(&mut self) -> JobSpec {
        if self.rng.random_bool(0.1) {
            return job(vec![long_running(self.rng.random_range(1..4), 2_000)]);
        }
        let first = self.random_step();
        if self.rng.random_bool(0.5) {
            return job(vec![first]);
        }
        let second = StepSpec {
            after: vec![0],
            ..self.random_step()
        };
        job(vec![first, second])
    }

    fn hand_in(&mut self) {
        let spec = self.random_job();
        let is_long_running = spec.is_long_running();
        let queue = if self.rng.random_bool(0.5) { "a" } else { "b" };
        let team = if self.rng.random_bool(0.7) {
            "team"
        } else {
            "other"
        };
        let id = self.simulation.submit_for(team, queue, spec);
        self.jobs.push((id, is_long_running));
    }

    /// Chooses a worker that lives.
    fn worker(&mut self) -> Option<SmolStr> {
        let alive = self
            .simulation
            .workers
            .iter()
            .filter(|(_, worker)| !worker.is_dead);
        let alive: Vec<SmolStr> = alive.map(|(id, _)| id.clone()).collect();
        match alive.len() {
            0 => None,
            count => Some(alive[self.rng.random_range(0..count)].clone()),
        }
    }

    fn break_something(&mut self) {
        let for_ms = self.rng.random_range(200..9_000);
        let until_ms = self.simulation.now_ms + for_ms;
        let kind = self.rng.random_range(0..11);
        let Some(id) = self.worker() else {
            return;
        };
        let heal = match kind {
            0 | 1 => {
                self.simulation.workers[&id].is_disconnected = true;
                Heal::Cut(id)
            }
            2 => {
                self.simulation.workers[&id].loses_answers = true;
                Heal::Mute(id)
            }
            3 => {
                self.simulation.workers[&id].start_delay_ms = self.rng.random_range(100..6_000);
                Heal::Late(id)
            }
            4 => {
                self.simulation.workers[&id].is_dead = true;
                self.simulation.workers[&id].running.clear();
                Heal::Reborn(id)
            }
            5 => {
                let now_ms = self.simulation.now_ms;
                self.simulation.engine.worker_unlisted(&id, now_ms);
                Heal::Lists
            }
            6 => {
                self.simulation.workers[&id].info.is_draining = true;
                self.simulation.list_all();
                Heal::Drained(id)
            }
            7 => {
                self.simulation.is_store_unavailable = true;
                Heal::Store
            }
            8 | 9 => {
                self.change_leader();
                Heal::Lists
            }
            _ => {
                self.cancel_one();
                return;
            }
        };
        self.heals.push((until_ms, heal));
    }

    /// Brings a new leader, if the store lets one be; its lists come at once, or later.
    fn change_leader(&mut self) {
        if self.simulation.is_store_unavailable {
            return;
        }
        self.fence += 1;
        match self.rng.random_bool(0.5) {
            true => self.simulation.fail_over(self.fence),
            false => self.simulation.fail_over_without_lists(self.fence),
        }
    }

    fn cancel_one(&mut self) {
        let accepted = &self.simulation.accepted;
        if accepted.is_empty() {
            return;
        }
        let id = accepted[self.rng.random_range(0..accepted.len())];
        if self.simulation.engine.cancel(id) == CancelOutcome::Pending {
            self.cancelled.push((id, self.simulation.now_ms));
        }
    }

    fn heal_due(&mut self, now_ms: u64) {
        let all = std::mem::take(&mut self.heals);
        let (due, later): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|(until_ms, _)| *until_ms <= now_ms);
        self.heals = later;
        for (_, heal) in due {
            self.heal(heal);
        }
    }

    fn heal(&mut self, heal: Heal) {
        let started_unix_ms = UNIX_MS + self.simulation.now_ms;
        match heal {
            Heal::Cut(id) => self.simulation.workers[&id].is_disconnected = false,
            Heal::Mute(id) => self.simulation.workers[&id].loses_answers = false,
            Heal::Late(id) => self.simulation.workers[&id].start_delay_ms = 0,
            Heal::Reborn(id) => {
                // An instance that was moved meanwhile has another worker.
                let has_it =
                    |row: &&hawthornladder::jobs::InstanceInfo| row.worker.as_ref() == Some(&id);
                if self.simulation.instances.values().any(|row| has_it(&row)) {
                    self.simulation.workers[&id].restart(started_unix_ms);
                }
                self.simulation.list_all();
            }
            Heal::Drained(id) => {
                // It leaves, and another life begins in its place.
                let worker = &mut self.simulation.workers[&id];
                worker.is_dead = true;
                worker.info.is_draining = false;
                self.heal(Heal::Reborn(id));
            }
            Heal::Lists => self.simulation.list_all(),
            Heal::Store => self.simulation.is_store_unavailable = false,
        }
    }

    fn check_end(&mut self) {
        let late_ms = self.simulation.now_ms - CANCEL_MS;
        let is_cancelled = |id: &JobId| self.cancelled.iter().any(|(known, _)| known == id);
        for (id, at_ms) in &self.cancelled {
            if self.simulation.state(*id) == Some(JobState::Cancelled) && *at_ms < late_ms {
                assert_eq!(
                    self.simulation.runs_of(*id),
                    Vec::new(),
                    "{id} was cancelled"
                );
            }
        }
        for (id, is_long_running) in &self.jobs {
            if !self.simulation.accepted.contains(id) || is_cancelled(id) {
                continue;
            }
            let state = self.simulation.state(*id);
            match is_long_running {
                true => assert_eq!(state, Some(JobState::Active), "{id}"),
                false => assert_eq!(state, Some(JobState::Complete), "{id}"),
            }
        }
    }
}

/// Returns the seeds to play: those of the variable `SOAK_SEEDS`, written as `FROM..TO`, or the fixed
/// ones.
fn seeds() -> Vec<u64> {
    let asked = std::env::var("SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once(".."));
    let parse = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is FROM..TO");
    match range {
        Some((from, to)) => (parse(from)..parse(to)).collect(),
        None => SEEDS.chain(FOUND.iter().copied()).collect(),
    }
}

#[test]
fn any_series_of_faults_doubles_nothing_and_loses_nothing() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let played = std::panic::catch_unwind(|| Soak::open(seed).play());
        if played.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
