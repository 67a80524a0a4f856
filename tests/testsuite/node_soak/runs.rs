//! All runs of all workers, and the checks of what must not happen to the runs of a task: two at
//! once, a start after an end as done that was acknowledged, and a start before its turn.

use std::cell::RefCell;
use std::fmt::Write;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::jobs::JobPlan;

/// Index of a run.
pub(crate) type RunKey = usize;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum End {
    /// Its work was done.
    Done,
    /// It was stopped by an order.
    Stopped,
    /// The lease of its worker expired.
    Lapsed,
    /// Its worker crashed, and lists no end.
    Crashed,
}

/// One run of a task.
#[derive(Clone)]
pub(crate) struct Run {
    /// Task: job, occurrence, step and index.
    pub(crate) task: String,
    /// Number that the leader gave to the run.
    pub(crate) number: u64,
    /// Id of its worker.
    pub(crate) worker: String,
    /// Fence under which it was started.
    pub(crate) fence: u64,
    started: Duration,
    ended: Option<(Duration, End)>,
    acknowledged: Option<Duration>,
    /// Whether the lease of the worker expired between the end and its acknowledgement.
    is_voided: bool,
}

impl Run {
    fn describe(&self) -> String {
        let Self {
            task,
            number,
            worker,
            fence,
            started,
            ended,
            acknowledged,
            ..
        } = self;
        format!(
            "{task} run={number} worker={worker} fence={fence} started={started:?} ended={ended:?} acknowledged={acknowledged:?}"
        )
    }

    /// Returns whether the run ended as done in a way that counts for good.
    fn is_acknowledged_done(&self) -> bool {
        let is_done = matches!(self.ended, Some((_, End::Done)));
        is_done && self.acknowledged.is_some() && !self.is_voided
    }
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    by_task: IndexMap<String, Vec<RunKey>>,
    jobs: IndexMap<String, JobPlan>,
    log: String,
    violations: Vec<String>,
    /// Number of runs whose starts were meant for an earlier incarnation of their worker.
    carried_over_count: usize,
    /// Number of runs whose leases a call for a former incarnation has extended, and which the next leader
    /// has seen before their workers were cut off.
    inherited_count: usize,
}

/// The runs of all workers, in the order of their starts.
pub(crate) struct Runs {
    opened: Instant,
    state: RefCell<State>,
}

impl Runs {
    /// Creates an empty list.
    pub(crate) fn open() -> Self {
        Self {
            opened: Instant::now(),
            state: RefCell::default(),
        }
    }

    /// Adds a line to the log of the test.
    pub(crate) fn log(&self, line: &str) {
        let at_s = self.opened.elapsed().as_secs_f64();
        let log = &mut self.state.borrow_mut().log;
        writeln!(log, "{at_s:9.3}  {line}").expect("writing to a string does not fail");
    }

    /// Adds a violation of a promise.
    pub(crate) fn report(&self, violation: String) {
        self.log(&format!("VIOLATION {violation}"));
        self.state.borrow_mut().violations.push(violation);
    }

    /// Returns the log and the violations.
    pub(crate) fn findings(&self) -> (String, Vec<String>) {
        let state = self.state.borrow();
        (state.log.clone(), state.violations.clone())
    }

    /// Adds a job before it is submitted.
    pub(crate) fn plan(&self, job: &str, plan: JobPlan) {
        self.state.borrow_mut().jobs.insert(job.to_owned(), plan);
    }

    /// Adds runs whose starts were meant for an earlier incarnation of their worker.
    pub(crate) fn add_carried_over(&self, count: usize) {
        self.state.borrow_mut().carried_over_count += count;
    }

    /// Returns the number of runs whose starts were meant for an earlier incarnation of their worker.
    pub(crate) fn carried_over_count(&self) -> usize {
        self.state.borrow().carried_over_count
    }

    /// Adds runs whose leases a call for a former incarnation has extended, and which the next leader has
    /// seen before their workers are cut off.
    pub(crate) fn add_inherited(&self, count: usize) {
        self.log(&format!(
            "{count} runs with the longest lease are inherited"
        ));
        self.state.borrow_mut().inherited_count += count;
    }

    /// Returns the number of runs that [`add_inherited`](Self::add_inherited) has added.
    pub(crate) fn inherited_count(&self) -> usize {
        self.state.borrow().inherited_count
    }

    /// Returns the number of runs.
    pub(crate) fn count(&self) -> usize {
        self.state.borrow().runs.len()
    }

    /// Returns the number of tasks of the job that are at work.
    pub(crate) fn active_count(&self, job: &str) -> usize {
        let state = self.state.borrow();
        let of_job = state.runs.iter().filter(|run| run.task.starts_with(job));
        of_job.filter(|run| run.ended.is_none()).count()
    }

    /// Returns whether any task of the job was started.
    pub(crate) fn has_started(&self, job: &str) -> bool {
        let state = self.state.borrow();
        state.runs.iter().any(|run| run.task.starts_with(job))
    }

    /// Returns whether all tasks of the job have ended as done.
    pub(crate) fn is_done(&self, job: &str) -> bool {
        let state = self.state.borrow();
        let steps = state.jobs[job].steps.iter().enumerate();
        let mut tasks = steps.flat_map(|(step, plan)| {
            (0..plan.tasks_count).map(move |index| format!("{job}.0.{step}.{index}"))
        });
        tasks.all(|task| state.has_ended_done(&task))
    }

    /// Adds a run that a worker starts, and checks it against the earlier ones of its task.
    pub(crate) fn start(&self, task: &str, number: u64, worker: &str, fence: u64) -> RunKey {
        self.log(&format!(
            "start {task} run={number} worker={worker} fence={fence}"
        ));
        let run = Run {
            task: task.to_owned(),
            number,
            worker: worker.to_owned(),
            fence,
            started: self.opened.elapsed(),
            ended: None,
            acknowledged: None,
            is_voided: false,
        };
        self.check_earlier_runs(&run);
        self.check_turn(task);
        let mut state = self.state.borrow_mut();
        let key = state.runs.len();
        state.by_task.entry(task.to_owned()).or_default().push(key);
        state.runs.push(run);
        key
    }

    /// Notes the end of a run.
    pub(crate) fn end(&self, key: RunKey, end: End) {
        let at = self.opened.elapsed();
        let mut state = self.state.borrow_mut();
        let run = &mut state.runs[key];
        run.ended = Some((at, end));
        let (task, number, worker) = (&run.task, run.number, &run.worker);
        let line = format!(
            "end {task} run={number} worker={worker} kind={}",
            <&str>::from(end)
        );
        drop(state);
        self.log(&line);
    }

    /// Notes that the lease of the worker expired before this end was acknowledged.
    pub(crate) fn void_end(&self, key: RunKey) {
        self.state.borrow_mut().runs[key].is_voided = true;
    }

    /// Notes that a leader acknowledged the end of a run.
    pub(crate) fn acknowledge(&self, key: RunKey) {
        let at = self.opened.elapsed();
        let mut state = self.state.borrow_mut();
        state.runs[key].acknowledged = Some(at);
        let run = state.runs[key].clone();
        let of_task = state.by_task[&run.task].iter();
        let later = of_task
            .map(|other| &state.runs[*other])
            .filter(|other| other.started > run.started);
        let later: Vec<Run> = later.cloned().collect();
        drop(state);
        for other in later.iter().filter(|_| run.is_acknowledged_done()) {
            self.report_pair(
                "its end as done was acknowledged after another start",
                &run,
                other,
            );
        }
    }

    fn check_earlier_runs(&self, run: &Run) {
        let state = self.state.borrow();
        let keys = state.by_task.get(&run.task).into_iter().flatten();
        let earlier: Vec<Run> = keys.map(|key| state.runs[*key].clone()).collect();
        drop(state);
        for other in earlier {
            match other.ended {
                None => self.report_pair("two runs at once", &other, run),
                Some(_) if other.is_acknowledged_done() => {
                    self.report_pair("a start after its acknowledged end as done", &other, run);
                }
                Some(_) => {}
            }
        }
    }

    fn report_pair(&self, what: &str, first: &Run, later: &Run) {
        let (first, later) = (first.describe(), later.describe());
        self.report(format!("TWICE {what}: {first}, then {later}"));
    }

    /// Reports a start of a step before all tasks of the step before it are done.
    fn check_turn(&self, task: &str) {
        let state = self.state.borrow();
        let mut parts = task.split('.');
        let plan = parts
            .next()
            .and_then(|job| Some((job, state.jobs.get(job)?)));
        let step: Option<usize> = parts.nth(1).and_then(|step| step.parse().ok());
        let violation = match (plan, step) {
            (Some((job, plan)), Some(step)) if step < plan.steps.len() => {
                let count = step
                    .checked_sub(1)
                    .map_or(0, |before| plan.steps[before].tasks_count);
                let is_done =
                    |index| state.has_ended_done(&format!("{job}.0.{}.{index}", step - 1));
                (!(0..count).all(is_done)).then(|| format!("ORDER {task} started before its turn"))
            }
            _ => Some(format!("UNASKED nobody submitted {task}")),
        };
        drop(state);
        violation
            .into_iter()
            .for_each(|violation| self.report(violation));
    }
}

impl State {
    fn has_ended_done(&self, task: &str) -> bool {
        let keys = self.by_task.get(task).into_iter().flatten();
        let mut ends = keys.map(|key| self.runs[*key].ended);
        ends.any(|end| matches!(end, Some((_, End::Done))))
    }
}
