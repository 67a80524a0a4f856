//! The teams experiment: the share of late jobs of each team beside one busy team, with and without
//! the rates of teams. Both runs have the same demand.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::{JobId, JobSpec, Size, StepSpec, Submission, SubmitOutcome, Team};
use crate::load::played_pool::{PlayedPool, STEP_MS, WORKER_CPU_MILLIS};
use crate::load::played_worker::POOL;

/// Tasks of a job.
const TASKS_COUNT: u32 = 8;
/// Estimated run time of a task, in milliseconds.
const TASK_MS: u64 = 640;
/// Mean size of a task, in thousandths of a core; sizes are between half and one and a half of it.
const TASK_CPU_MILLIS: u64 = 4_000;
/// Memory of a task, in megabytes.
const TASK_MEMORY_MB: u64 = 512;
/// Time after its first arrival by which a job should be complete, in milliseconds.
const TARGET_MS: u64 = TASK_MS * 16 / 10 + 600;
/// Most retries of a refused caller, and the longest time after the first arrival at which it
/// retries, in milliseconds.
const RETRIES_MAX: (u32, u64) = (4, 3_000);
/// Time after the last arrival in which the pool ends its work, in milliseconds.
const DRAIN_MS: u64 = 30_000;

/// Settings of the teams experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamsConfig {
    /// Seed of the demand and of all random choices.
    pub seed: u64,
    /// Number of workers.
    pub workers_count: u32,
    /// Number of teams, all with the same rate.
    pub teams_count: u32,
    /// Sum of the rates of all teams, relative to what the pool can do.
    pub bought: f64,
    /// Usual load of a team, relative to its rate.
    pub usual_load: f64,
    /// Load of the busy team, as a multiple of its usual load.
    pub busy_factor: f64,
    /// Start and end of the busy time, in milliseconds.
    pub busy_ms: (u64, u64),
    /// Time in which jobs arrive, in milliseconds.
    pub duration_ms: u64,
}

impl Default for TeamsConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            workers_count: 24,
            teams_count: 5,
            bought: 0.9,
            usual_load: 0.75,
            busy_factor: 7.0,
            busy_ms: (6_000, 30_000),
            duration_ms: 40_000,
        }
    }
}

/// Figures of one team in one run, for the jobs that arrived in the busy time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamRow {
    /// Whether the teams have rates.
    pub has_rates: bool,
    /// Team.
    pub team: SmolStr,
    /// Whether it is the busy one.
    pub is_busy: bool,
    /// Jobs.
    pub jobs_count: u64,
    /// Jobs that were refused to the end.
    pub refused_count: u64,
    /// Accepted jobs that were not complete by their targets.
    pub late_count: u64,
    /// Jobs that were complete by their targets.
    pub in_time_count: u64,
    /// Late jobs among the accepted ones, in thousandths.
    pub late_permille: f64,
}

/// Late jobs among those accepted, by the second of their arrival.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LateSeries {
    /// Whether the teams have rates.
    pub has_rates: bool,
    /// Whether these are the jobs of the busy team or those of all others.
    pub is_busy: bool,
    /// Late jobs in thousandths, by second.
    pub late_permille_by_s: Vec<f64>,
}

/// Result of the teams experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamsReport {
    /// Settings.
    pub config: TeamsConfig,
    /// Figures by run and team.
    pub rows: Vec<TeamRow>,
    /// Late jobs over time.
    pub series: Vec<LateSeries>,
}

/// Runs the experiment without rates and with them.
pub fn run_teams_experiment(config: &TeamsConfig) -> TeamsReport {
    let mut report = TeamsReport {
        config: config.clone(),
        rows: Vec::new(),
        series: Vec::new(),
    };
    for has_rates in [false, true] {
        let jobs = Play::open(config, has_rates).run();
        let rows = (0..config.teams_count).map(|team| row(config, has_rates, team, &jobs));
        report.rows.extend(rows);
        let series = [true, false].map(|is_busy| late_series(config, has_rates, is_busy, &jobs));
        report.series.extend(series);
    }
    report
}

/// A job as its caller sees it.
#[derive(Clone, Debug)]
struct PlayedJob {
    team: u32,
    arrived_ms: u64,
    spec: JobSpec,
    is_accepted: bool,
    done_ms: Option<u64>,
    retries_count: u32,
    /// Time of the next submission, in milliseconds; none if there is none.
    next_ms: Option<u64>,
}

impl PlayedJob {
    fn is_in_time(&self) -> bool {
        let done_ms = self.done_ms;
        done_ms.is_some_and(|done_ms| done_ms <= self.arrived_ms + TARGET_MS)
    }
}

/// One run.
struct Play {
    pool: PlayedPool,
    jobs: Vec<PlayedJob>,
    /// Indexes of the jobs that callers still wait for.
    open: Vec<usize>,
    end_ms: u64,
}

impl Play {
    fn open(config: &TeamsConfig, has_rates: bool) -> Self {
        let weight = rate_per_s(config);
        let team = |number: u32| Team {
            name: team_name(number),
            weight: if has_rates { weight } else { 0.0 },
            limit: Size::default(),
        };
        let teams = (0..config.teams_count).map(team).collect();
        let jobs = demand(config);
        Self {
            pool: PlayedPool::open(config.workers_count, teams, config.seed),
            open: (0..jobs.len()).collect(),
            jobs,
            end_ms: config.duration_ms + DRAIN_MS,
        }
    }

    fn run(mut self) -> Vec<PlayedJob> {
        while self.pool.now_ms < self.end_ms {
            self.pool.step();
            for number in std::mem::take(&mut self.open) {
                if self.visit(number) {
                    self.open.push(number);
                }
            }
        }
        self.jobs
    }

    /// Submits a job that is due, or looks at one that is accepted; returns whether its caller
    /// still waits.
    fn visit(&mut self, number: usize) -> bool {
        let now_ms = self.pool.now_ms;
        let id = JobId(u64::try_from(number).unwrap_or(u64::MAX));
        let job = &mut self.jobs[number];
        if job.is_accepted {
            job.done_ms = self.pool.is_complete(id).then_some(now_ms);
            return job.done_ms.is_none();
        }
        match job.next_ms {
            Some(next_ms) if next_ms <= now_ms => {}
            next_ms => return next_ms.is_some(),
        }
        let outcome = self.pool.submit(Submission {
            id,
            queue: POOL.into(),
            team: team_name(job.team),
            spec: job.spec.clone(),
        });
        match outcome {
            SubmitOutcome::TeamOverRate { retry_after_s } => {
                job.retries_count += 1;
                let next_ms = now_ms + retry_after_s * 1_000;
                let has_retry =
                    job.retries_count <= RETRIES_MAX.0 && next_ms <= job.arrived_ms + RETRIES_MAX.1;
                job.next_ms = has_retry.then_some(next_ms);
            }
            _ => job.is_accepted = true,
        }
        true
    }
}

fn team_name(number: u32) -> SmolStr {
    format_smolstr!("team-{number}")
}

/// Returns the rate of each team, in jobs per second.
fn rate_per_s(config: &TeamsConfig) -> f64 {
    let pool_cpu_millis = u64::from(config.workers_count) * WORKER_CPU_MILLIS;
    let job_work = u64::from(TASKS_COUNT) * TASK_CPU_MILLIS * TASK_MS / 1_000;
    let pool_per_s = pool_cpu_millis as f64 / job_work as f64;
    pool_per_s * config.bought / f64::from(config.teams_count)
}

/// Returns the jobs in the order of their arrival. The gaps of each team are exponential.
fn demand(config: &TeamsConfig) -> Vec<PlayedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut jobs = Vec::new();
    let usual_per_s = rate_per_s(config) * config.usual_load;
    for team in 0..config.teams_count {
        let mut at_ms = 0.0;
        loop {
            let is_busy =
                team == 0 && (config.busy_ms.0..config.busy_ms.1).contains(&(at_ms as u64));
            let factor = if is_busy { config.busy_factor } else { 1.0 };
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / (usual_per_s * factor);
            at_ms += gap_s * 1_000.0;
            if at_ms >= config.duration_ms as f64 {
                break;
            }
            let cpu_millis = rng.random_range(TASK_CPU_MILLIS / 2..TASK_CPU_MILLIS * 3 / 2);
            jobs.push(played_job(team, at_ms as u64, cpu_millis));
        }
    }
    jobs.sort_by_key(|job| job.arrived_ms);
    jobs
}

fn played_job(team: u32, arrived_ms: u64, cpu_millis: u64) -> PlayedJob {
    let step = StepSpec {
        tasks_count: TASKS_COUNT,
        size: Size {
            cpu_millis,
            memory_mb: TASK_MEMORY_MB,
            gpu_count: 0,
        },
        estimate_ms: TASK_MS,
        ..StepSpec::default()
    };
    PlayedJob {
        team,
        // The first steps of virtual time make the workers known.
        arrived_ms: arrived_ms.max(STEP_MS * 10),
        spec: JobSpec {
            payload: "work".to_owned(),
            steps: vec![step],
            recurrence: None,
        },
        is_accepted: false,
        done_ms: None,
        retries_count: 0,
        next_ms: Some(arrived_ms.max(STEP_MS * 10)),
    }
}

fn row(config: &TeamsConfig, has_rates: bool, team: u32, jobs: &[PlayedJob]) -> TeamRow {
    let in_busy_time = config.busy_ms.0..config.busy_ms.1;
    let jobs: Vec<&PlayedJob> = jobs
        .iter()
        .filter(|job| job.team == team && in_busy_time.contains(&job.arrived_ms))
        .collect();
    let count = |test: fn(&PlayedJob) -> bool| {
        let count = jobs.iter().filter(|job| test(job)).count();
        u64::try_from(count).unwrap_or(u64::MAX)
    };
    let accepted_count = count(|job| job.is_accepted);
    let in_time_count = count(PlayedJob::is_in_time);
    let late_count = accepted_count - in_time_count;
    TeamRow {
        has_rates,
        team: team_name(team),
        is_busy: team == 0,
        jobs_count: count(|_| true),
        refused_count: count(|job| !job.is_accepted),
        late_count,
        in_time_count,
        late_permille: permille(late_count, accepted_count),
    }
}

fn permille(part: u64, whole: u64) -> f64 {
    part as f64 * 1_000.0 / whole.max(1) as f64
}

fn late_series(
    config: &TeamsConfig,
    has_rates: bool,
    is_busy: bool,
    jobs: &[PlayedJob],
) -> LateSeries {
    let seconds = usize::try_from(config.duration_ms / 1_000).unwrap_or(0);
    let mut counts = vec![(0, 0); seconds + 1];
    for job in jobs
        .iter()
        .filter(|job| (job.team == 0) == is_busy && job.is_accepted)
    {
        let second = usize::try_from(job.arrived_ms / 1_000).unwrap_or(seconds);
        let (late_count, all_count) = &mut counts[second.min(seconds)];
        *late_count += u64::from(!job.is_in_time());
        *all_count += 1;
    }
    let late_permille_by_s = counts.into_iter().map(|(late, all)| permille(late, all));
    LateSeries {
        has_rates,
        is_busy,
        late_permille_by_s: late_permille_by_s.collect(),
    }
}

impl TeamsReport {
    /// Returns the figures as a table of text.
    pub fn table(&self) -> String {
        let head = "rates    team       jobs  refused  late  in_time  late_permille\n";
        let lines = self.rows.iter().map(|row| {
            format!(
                "{:<8} {:<8} {:>6} {:>8} {:>5} {:>8} {:>14.0}\n",
                if row.has_rates { "with" } else { "without" },
                row.team,
                row.jobs_count,
                row.refused_count,
                row.late_count,
                row.in_time_count,
                row.late_permille,
            )
        });
        let foot = format!(
            "jobs that arrived in the busy time; {} is busy; late_permille of the accepted jobs\n",
            team_name(0)
        );
        let head = std::iter::once(head.to_owned());
        head.chain(lines).chain(std::iter::once(foot)).collect()
    }
}
