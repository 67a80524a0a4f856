//! Random interleavings of faults over several engines and one log, from fixed seeds: upper limits,
//! single runs and the truth of `not_run` hold at every step.

use std::collections::{HashMap, HashSet};

use hawthornladder::callers::{CallId, CallerOutcome, CallerRequest};
use hawthornladder::error::RunState;
use hawthornladder::keys::NewKey;
use hawthornladder::ports::WorkerRequest;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engines::{answer_lost, refused_as_busy, succeeded, unix_ms, Engines};
use crate::promises_limits::set_limit;

const LIMIT_REQUESTS: usize = 3;
const STEPS_COUNT: usize = 900;
const JOB_DEADLINE_MS: u64 = 600_000;
const SEEDS: std::ops::Range<u64> = 0..8;

/// Engines under random faults, with the calls made and the attempts that workers saw.
struct Scenario {
    engines: Engines,
    key: NewKey,
    rng: ChaCha8Rng,
    requests: Vec<CallerRequest>,
    calls: Vec<(CallId, usize)>,
    /// Tasks whose answers no engine receives, each with the time at which its lease ends.
    abandoned: Vec<(u64, WorkerRequest)>,
    /// Ids of attempts that workers refused.
    refused: HashSet<String>,
    /// Ids of attempts that were sent to workers, by request id.
    started: HashMap<String, HashSet<String>>,
    done_count: usize,
    jobs_permille: u32,
}

impl Scenario {
    fn open(seed: u64, jobs_permille: u32) -> Self {
        let mut engines = Engines::open_with(
            4,
            |lists| set_limit(lists, LIMIT_REQUESTS as u32),
            |settings| {
                settings.seat_lease_ms = 4_000;
                settings.seat_renew_ms = 500;
            },
        );
        let key = engines.grant("ionosphere-desk");
        Self {
            engines,
            key,
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: Vec::new(),
            calls: Vec::new(),
            abandoned: Vec::new(),
            refused: HashSet::new(),
            started: HashMap::new(),
            done_count: 0,
            jobs_permille,
        }
    }

    fn step(&mut self) {
        for _ in 0..self.rng.random_range(0..3) {
            self.call();
        }
        if self.rng.random_bool(0.5) {
            self.end_random_attempt();
        }
        if self.rng.random_bool(0.05) {
            self.inject_random_fault();
        }
        if self.rng.random_bool(0.002) {
            self.kill_random_engine();
        }
        let step_ms = 20 * self.rng.random_range(1..10);
        self.engines.advance(step_ms);
        self.check();
    }

    fn call(&mut self) {
        let index = self.rng.random_range(0..self.engines.nodes.len());
        if self.engines.nodes[index].is_paused {
            return;
        }
        let is_repeat = !self.requests.is_empty() && self.rng.random_bool(0.3);
        let number = match is_repeat {
            true => {
                let recent = self.requests.len().saturating_sub(20);
                self.rng.random_range(recent..self.requests.len())
            }
            false => {
                let is_idempotent = self.rng.random_bool(0.4);
                let mut request = self.engines.request(&self.key, is_idempotent);
                request.deadline_ms = self.rng.random_range(200..8_000);
                if self.rng.random_range(0..1_000) < self.jobs_permille {
                    request.is_for_later = true;
                    request.deadline_ms = JOB_DEADLINE_MS;
                }
                self.requests.push(request);
                self.requests.len() - 1
            }
        };
        let request = self.requests[number].clone();
        let call = self.engines.call(index, &request);
        self.calls.push((call, number));
    }

    fn end_random_attempt(&mut self) {
        let index = self.rng.random_range(0..self.engines.nodes.len());
        let node = &self.engines.nodes[index];
        let Some((_, request)) = node.attempts.first().filter(|_| !node.is_paused) else {
            return;
        };
        let request = request.clone();
        match self.rng.random_range(0..10) {
            0 => {
                self.refused.insert(request.attempt_id.to_string());
                self.engines.end_attempt(index, refused_as_busy());
            }
            1 => {
                self.abandon(request);
                self.engines.end_attempt(index, answer_lost());
            }
            _ => {
                self.done_count += 1;
                self.engines.end_attempt(index, succeeded());
            }
        }
        self.check();
    }

    fn abandon(&mut self, request: WorkerRequest) {
        let ends_unix_ms = request.start_before_unix_ms + request.lease_ms;
        self.abandoned.push((ends_unix_ms, request));
    }

    fn inject_random_fault(&mut self) {
        let index = self.rng.random_range(0..self.engines.nodes.len());
        let node = &mut self.engines.nodes[index];
        match self.rng.random_range(0..10) {
            0 => node.is_cut_from_log = self.rng.random_bool(0.5),
            1 => node.is_cut_from_peers = self.rng.random_bool(0.5),
            2 => node.is_fetch_failing = self.rng.random_bool(0.5),
            3 => node.is_paused = self.rng.random_bool(0.5),
            4 => self.engines.is_log_down = self.rng.random_bool(0.3),
            5 => self.engines.stale_ms = self.rng.random_range(0..3) * 300,
            6 => self.engines.is_doubling = self.rng.random_bool(0.5),
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        self.engines.is_log_down = false;
        self.engines.stale_ms = 0;
        for node in &mut self.engines.nodes {
            node.is_cut_from_log = false;
            node.is_cut_from_peers = false;
            node.is_fetch_failing = false;
            node.is_paused = false;
        }
    }

    fn kill_random_engine(&mut self) {
        let index = self.rng.random_range(0..self.engines.nodes.len());
        let attempts = std::mem::take(&mut self.engines.nodes[index].attempts);
        for (_, request) in attempts {
            self.record_start(&request);
            self.abandon(request);
        }
        self.engines.kill(index);
        self.engines.add();
    }

    fn record_start(&mut self, request: &WorkerRequest) {
        let attempts = self.started.entry(request.request_id.to_string());
        attempts.or_default().insert(request.attempt_id.to_string());
    }

    fn check(&mut self) {
        let now_unix_ms = unix_ms(self.engines.now_ms);
        self.abandoned.retain(|(ends_ms, _)| *ends_ms > now_unix_ms);
        let nodes = self.engines.nodes.iter();
        let in_flight: Vec<WorkerRequest> = nodes
            .flat_map(|node| node.attempts.iter().map(|(_, request)| request.clone()))
            .collect();
        for request in &in_flight {
            self.record_start(request);
        }
        let is_running = |request: &&WorkerRequest| {
            request.start_before_unix_ms + request.lease_ms > now_unix_ms
        };
        let running_count = in_flight.iter().filter(is_running).count() + self.abandoned.len();
        assert!(running_count <= LIMIT_REQUESTS, "{running_count} tasks run");
    }

    /// Counts the attempts of a request that a worker may have run.
    fn runs_of(&self, request_id: &str) -> usize {
        let attempts = self.started.get(request_id).into_iter().flatten();
        attempts.filter(|id| !self.refused.contains(*id)).count()
    }

    /// Checks that each accepted job has ended and that its outcome agrees with the runs.
    fn check_jobs(&mut self, seed: u64) {
        let mut accepted_count = 0;
        for (call, number) in self.calls.clone() {
            let request = self.requests[number].clone();
            let answer = self.engines.answer(call);
            let is_accepted =
                answer.is_some_and(|answer| answer.outcome == CallerOutcome::Accepted);
            if !is_accepted {
                continue;
            }
            accepted_count += 1;
            let fetched = self.engines.fetch(0, &self.key.clone(), &request);
            let answer = self.engines.answer(fetched).expect("the fetch is answered");
            let runs_count = self.runs_of(&request.request_id);
            let is_reported_correctly = match answer.ran {
                RunState::Ran => runs_count >= 1,
                RunState::NotRun => false,
                RunState::OutcomeUnknown => {
                    answer.outcome != CallerOutcome::Accepted && !request.is_idempotent
                }
            };
            assert!(
                is_reported_correctly,
                "seed {seed}: {answer:?} {request:?} ran {runs_count} times"
            );
            assert!(request.is_idempotent || runs_count <= 1, "{request:?}");
        }
        assert!(accepted_count > 0, "seed {seed}: no job was accepted");
    }

    /// Checks the answers against the attempts that workers may have run.
    fn check_answers(&self) {
        for (number, request) in self.requests.iter().enumerate() {
            let runs_count = self.runs_of(&request.request_id);
            assert!(request.is_idempotent || runs_count <= 1, "{request:?}");
            let calls = self.calls.iter().filter(|(_, of)| *of == number);
            let answers: Vec<_> = calls.map(|(call, _)| self.engines.answer(*call)).collect();
            let is_not_run = answers
                .iter()
                .all(|answer| answer.is_some_and(|answer| answer.ran == RunState::NotRun));
            assert!(!is_not_run || runs_count == 0, "{request:?} {answers:?}");
        }
    }
}

#[test]
fn limits_and_single_runs_hold_under_random_faults() {
    for seed in SEEDS {
        let mut scenario = Scenario::open(seed, 0);
        for _ in 0..STEPS_COUNT {
            scenario.step();
        }
        scenario.check_answers();
        assert!(scenario.done_count > 0, "seed {seed}: no task succeeded");
        // Every engine serves again once all faults have ended.
        scenario.heal();
        scenario.engines.advance(10_000);
        let nodes = &scenario.engines.nodes;
        let is_serving = nodes.iter().all(|node| node.engine.is_serving());
        assert!(is_serving, "seed {seed}");
    }
}

#[test]
fn accepted_jobs_end_although_their_owners_fail() {
    for seed in 0..4 {
        let mut scenario = Scenario::open(seed, 100);
        for _ in 0..STEPS_COUNT / 2 {
            scenario.step();
        }
        scenario.heal();
        // Long enough for the parts and jobs of every lapsed seat to be reclaimed.
        for _ in 0..300 {
            scenario.engines.advance(300);
            scenario.check();
            for index in 0..scenario.engines.nodes.len() {
                while !scenario.engines.nodes[index].attempts.is_empty() {
                    scenario.engines.end_attempt(index, succeeded());
                    scenario.check();
                }
            }
        }
        scenario.check_jobs(seed);
    }
}
