//! The load test tool: schedules, fault scripts, the guarantee check, and a short run.

use std::fs;

use hawthornladder::error::RunState;
use hawthornladder::examples::LAHORE;
use hawthornladder::fleet_file::FleetFile;
use hawthornladder::load::live::faults::{self, Fault, MixedSettings};
use hawthornladder::load::live::guarantees::{
    check_guarantees, Evidence, GuaranteeReport, LeavingInstance, WithdrawnKey,
};
use hawthornladder::load::live::outcome::{End, Outcome};
use hawthornladder::load::live::schedule::{
    self, Arrivals, Mix, ScheduleSettings, ScheduledRequest,
};
use hawthornladder::stand_in::journal::{Ending, Run};
use indexmap::IndexMap;
use serde_json::Value;

use crate::cluster::Cluster;

const SECOND_US: u64 = 1_000_000;
/// Wall-clock start of the constructed evidence.
const START_UNIX_US: u64 = 1_700_000_000 * SECOND_US;

fn lahore() -> FleetFile {
    LAHORE.load().expect("the example is valid").0 .1
}

fn settings(seed: u64) -> ScheduleSettings {
    ScheduleSettings {
        seed,
        duration_ms: 20_000,
        arrivals: Arrivals::DemandCycle {
            scale_permille: 1_000,
        },
        mix: Mix {
            cancel_permille: 100,
            twin_permille: 100,
            ..Mix::default()
        },
        entries_count: 8,
        is_skewed: true,
    }
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let fleet = lahore();
    let requests = schedule::make(&settings(1), &fleet);
    assert_eq!(
        requests,
        schedule::make(&settings(1), &fleet),
        "the same seed gave another schedule"
    );
    assert_ne!(
        requests,
        schedule::make(&settings(2), &fleet),
        "another seed gave the same schedule"
    );
    assert!(
        requests.is_sorted_by_key(|scheduled| scheduled.at_us),
        "the schedule is not in order of time"
    );
    assert!(
        requests
            .iter()
            .all(|scheduled| scheduled.twin_entry != Some(scheduled.entry) && scheduled.entry < 8),
        "a request has its entry as its twin, or an entry that does not exist"
    );
    let mut ids: Vec<_> = requests
        .iter()
        .map(|scheduled| scheduled.request_id(0))
        .collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), requests.len(), "request ids are not unique");
}

#[test]
fn each_queue_peaks_in_its_own_part_of_the_demand_cycle() {
    let fleet = lahore();
    let requests = schedule::make(&settings(1), &fleet);
    for queue in fleet.queues_in_peak_order() {
        let is_its_peak = |scheduled: &&ScheduledRequest| {
            fleet.peak_queue(scheduled.at_us / 1_000) == Some(queue)
        };
        let of_queue = || requests.iter().filter(|scheduled| scheduled.queue == queue);
        let within = of_queue().filter(is_its_peak).count();
        let outside = of_queue().count() - within;
        let streams = fleet.demand.iter().filter(|stream| stream.queue == queue);
        let mean_per_s: u32 = streams.map(|stream| stream.mean_per_s).sum();
        let expected = f64::from(mean_per_s * 5 * 4);
        assert!(
            (within as f64 - expected).abs() < 0.2 * expected,
            "{queue}: {within} requests during its peak, expected about {expected}"
        );
        assert!(
            outside < within,
            "{queue}: {outside} requests outside its peak, {within} during it"
        );
    }
}

#[test]
fn a_constant_rate_gives_the_expected_number_of_requests() {
    let flat = ScheduleSettings {
        arrivals: Arrivals::Flat { rate_per_s: 1_000 },
        ..settings(1)
    };
    let count = schedule::make(&flat, &lahore()).len();
    assert!(
        (19_000..21_000).contains(&count),
        "{count} requests in 20 s at 1,000 per second"
    );
}

#[test]
fn the_same_seed_gives_the_same_fault_script_and_faults_end() {
    let rows = lahore().instance_rows(|_, _| "127.0.0.1:1".into());
    let script = |seed| {
        faults::mixed(&MixedSettings {
            seed,
            duration_ms: 300_000,
            rows: &rows,
            entries_count: 8,
            teams: &["tramway".into()],
        })
    };
    assert_eq!(script(1), script(1), "the same seed gave another script");
    assert_ne!(script(1), script(2), "another seed gave the same script");
    let last_log_fault = script(1)
        .into_iter()
        .rev()
        .find_map(|step| match step.fault {
            Fault::Log(faults) => Some(faults),
            _ => None,
        });
    assert_eq!(
        last_log_fault,
        Some(Default::default()),
        "the last fault of the log does not end"
    );
    let text = serde_json::to_string(&script(1)).expect("steps encode");
    let text = format!("// a comment\n{text}");
    assert_eq!(faults::parse(&text), Ok(script(1)));
    assert!(
        faults::parse("[{ \"at_ms\": 1, \"fault\": { \"flood\": {} } }]").is_err(),
        "a script with an unknown fault was accepted"
    );
}

/// Evidence of one non-idempotent request without violations; each test changes one part of it.
struct Case {
    scheduled: ScheduledRequest,
    outcome: Outcome,
    runs: Vec<Run>,
    limit: u32,
    leaving: Vec<LeavingInstance>,
    withdrawn: Vec<WithdrawnKey>,
}

impl Case {
    fn valid() -> Self {
        let requests = schedule::make(&settings(1), &lahore());
        let scheduled = requests
            .into_iter()
            .find(|scheduled| !scheduled.is_idempotent);
        let scheduled = scheduled.expect("some requests are not idempotent");
        let outcome = Outcome {
            schedule_index: 0,
            request_id: "request".into(),
            entry: "entry-0".into(),
            key: 0,
            sent_unix_us: START_UNIX_US,
            latency_us: 10,
            end: End::Done,
            ran: RunState::Ran,
            is_proved_not_run: false,
            is_own_answer: true,
            calls_count: 1,
            is_cancelled: false,
            retried_after: Vec::new(),
        };
        let team = scheduled
            .team
            .clone()
            .expect("the example's demand has teams");
        let run = Run {
            request_id: "request".into(),
            attempt_id: "attempt-1".into(),
            team,
            queue: scheduled.queue.clone(),
            worker: "maps-01".into(),
            incarnation: "boot".into(),
            size: scheduled.size,
            started_unix_us: START_UNIX_US,
            ended_unix_us: Some(START_UNIX_US + 5),
            ending: Some(Ending::Succeeded),
        };
        Self {
            scheduled,
            outcome,
            runs: vec![run],
            limit: 1,
            leaving: Vec::new(),
            withdrawn: Vec::new(),
        }
    }

    fn repeat_run(&mut self, after_us: u64) {
        let mut run = self.runs[0].clone();
        run.attempt_id = "attempt-2".into();
        run.started_unix_us += after_us;
        run.ended_unix_us = run.ended_unix_us.map(|ended| ended + after_us);
        self.runs.push(run);
    }

    fn check(&self) -> GuaranteeReport {
        let team = self.runs.first().map(|run| run.team.clone());
        let limits: IndexMap<_, _> = team.into_iter().map(|team| (team, self.limit)).collect();
        check_guarantees(&Evidence {
            requests: std::slice::from_ref(&self.scheduled),
            outcomes: std::slice::from_ref(&self.outcome),
            runs: &self.runs,
            limits: &limits,
            leaving: &self.leaving,
            withdrawn: &self.withdrawn,
        })
    }
}

#[test]
fn valid_evidence_gives_no_violations() {
    let mut case = Case::valid();
    assert_eq!(case.check().violations_count(), 0);
    case.scheduled.is_idempotent = true;
    case.repeat_run(100);
    let report = case.check();
    assert_eq!(report.violations_count(), 0);
    assert_eq!(report.repeated_idempotent_count, 1);
}

#[test]
fn each_kind_of_violation_is_counted() {
    let mut doubled = Case::valid();
    doubled.repeat_run(100);
    assert_eq!(doubled.check().doubled.count, 1);

    let mut lost = Case::valid();
    lost.runs.clear();
    assert_eq!(lost.check().lost.count, 1);

    let mut crossed = Case::valid();
    crossed.outcome.is_own_answer = false;
    assert_eq!(crossed.check().crossed.count, 1);

    let mut not_run = Case::valid();
    not_run.outcome.is_proved_not_run = true;
    assert_eq!(not_run.check().not_run_ran.count, 1);

    let mut over_limit = Case::valid();
    over_limit.scheduled.is_idempotent = true;
    over_limit.repeat_run(1);
    assert_eq!(over_limit.check().over_limit.count, 1);

    let leaving = |from_unix_us| LeavingInstance {
        instance: "maps-01".into(),
        from_unix_us,
        until_unix_us: None,
    };
    let mut late = Case::valid();
    late.leaving = vec![leaving(START_UNIX_US - 2 * SECOND_US)];
    assert_eq!(late.check().violations_count(), 0);
    late.leaving = vec![leaving(START_UNIX_US - 4 * SECOND_US)];
    assert_eq!(late.check().late_to_leaving.count, 1);

    let withdrawn = |team: &Option<_>, at_unix_us| WithdrawnKey {
        team: Option::clone(team).expect("the request has a team"),
        key: 0,
        at_unix_us,
    };
    let mut key = Case::valid();
    key.withdrawn = vec![withdrawn(
        &key.scheduled.team,
        START_UNIX_US - 4 * SECOND_US,
    )];
    assert_eq!(key.check().violations_count(), 0);
    key.withdrawn = vec![withdrawn(
        &key.scheduled.team,
        START_UNIX_US - 6 * SECOND_US,
    )];
    assert_eq!(key.check().withdrawn_key.count, 1);
}

#[test]
fn a_short_load_test_completes_every_request_without_violations() {
    let cluster = Cluster::builder().entries(2).spawn();
    let keys: IndexMap<&str, [String; 1]> = ["ionosphere-desk", "tramway", "flood-office"]
        .into_iter()
        .chain(["survey-crews", "farm-guidance", "university"])
        .map(|team| (team, [cluster.grant(team).1]))
        .collect();
    let directory =
        std::env::temp_dir().join(format!("hawthornladder-load-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("the temporary directory is writable");
    let path = |name: &str| directory.join(name).to_str().expect("text").to_owned();
    let (keys_file, plot_file) = (path("keys.json"), path("plot.svg"));
    let keys = serde_json::to_string(&keys).expect("keys encode");
    fs::write(&keys_file, keys).expect("the directory is writable");
    let mut args = vec!["load", "--instances", &cluster.stand_ins.instances_address];
    for entry in &cluster.entries {
        args.extend(["--entry", &entry.callers_address]);
        args.extend(["--operators", &entry.operators_address]);
    }
    args.extend([
        "--keys", &keys_file, "--plot", &plot_file, "--output", "json",
    ]);
    args.extend([
        "--rate",
        "50",
        "--seconds",
        "2",
        "--run-ms",
        "5",
        "--direct",
    ]);
    args.extend([
        "--later-permille",
        "100",
        "--twin-permille",
        "100",
        "--obey",
    ]);
    // The command exits with an error if it finds a violation.
    let lines = cluster.run_operator_command(&args);
    let report: Value = serde_json::from_str(&lines.join("\n")).expect("the report is JSON");
    let total = &report["entries"]["total"];
    let requests_count = total["requests_count"].as_u64().expect("a number");
    assert!(requests_count > 50, "too few requests: {report}");
    assert_eq!(
        total["done_count"].as_u64(),
        Some(requests_count),
        "some requests have no successful answer: {report}"
    );
    assert_eq!(
        report["direct"]["total"]["requests_count"].as_u64(),
        Some(requests_count),
        "the baseline had another schedule: {report}"
    );
    assert!(
        report["accounts"]["runs_count"].as_u64() >= Some(requests_count),
        "fewer runs than requests: {report}"
    );
    let plot = fs::read_to_string(&plot_file).expect("the plot is written");
    assert!(
        plot.starts_with("<svg") && plot.contains("straight to the workers"),
        "the plot lacks the curve of the baseline"
    );
    drop(fs::remove_dir_all(&directory));
}
