//! The stand-in instance list: versions, lag, removals, reboots and reused addresses, in memory and
//! over HTTP with worker daemons that it notifies.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hawthornladder::adapters::instances_http::HttpInstances;
use hawthornladder::adapters::log_http::ServiceTimeouts;
use hawthornladder::adapters::workers_http::HttpWorkers;
use hawthornladder::fleet::{InstanceRow, Resources};
use hawthornladder::ports::{
    InstancePort, NotStarted, PortError, TaskStop, WorkerOutcome, WorkerPort, WorkerRequest,
};
use hawthornladder::stand_in::instances::{InstanceFaults, MemoryInstances};
use hawthornladder::stand_in::instances_server::{notify_workers, serve_instances};
use hawthornladder::stand_in::journal::Ending;
use hawthornladder::stand_in::log::LogLimits;
use hawthornladder::stand_in::worker::MemoryWorker;
use hawthornladder::stand_in::worker_server::serve_worker;
use hawthornladder::stand_in::workers::{worker_settings, MemoryPlatform};

use crate::platform_workers::attempt;

/// Returns the row of an instance with two slots.
pub(crate) fn row(name: &str, address: &str) -> InstanceRow {
    InstanceRow {
        name: name.into(),
        incarnation: format!("{name}.1").into(),
        address: address.into(),
        pool: "maps".into(),
        zone: "a".into(),
        rack: "a-r1".into(),
        leaving: false,
        capacity: Resources {
            cores_milli: 4_000,
            memory_mb: 8_000,
            accelerators_count: 1,
        },
        slots_count: 2,
    }
}

fn list_without_events(rows: Vec<InstanceRow>) -> MemoryInstances {
    MemoryInstances::open(rows, Arc::new(|_| {}))
}

#[test]
fn every_change_publishes_a_version_and_wakes_waiting_reads() {
    let list = list_without_events(vec![row("w1", "w1"), row("w2", "w2")]);
    let server = serve_instances("127.0.0.1:0", list.clone()).expect("a port is free");
    let http = HttpInstances::open(&server.address().to_string(), ServiceTimeouts::default());
    let ports: [&dyn InstancePort; 2] = [&list, &http];
    for port in ports {
        let first = port.list(0, 0).expect("the list is up");
        assert_eq!(first.rows.len(), 2);
        let started = Instant::now();
        let changed = list.clone();
        let thread = thread::spawn(move || {
            thread::sleep(Duration::from_millis(50));
            changed.leave("w1")
        });
        let second = port.list(first.version, 10_000).expect("the list is up");
        assert!(started.elapsed() < Duration::from_secs(5));
        assert!(thread.join().expect("no panic"));
        assert!(second.version > first.version);
        assert!(second
            .rows
            .iter()
            .any(|row| row.name == "w1" && row.leaving));
    }
    assert!(!list.leave("nobody"));
}

#[test]
fn a_lagging_list_shows_an_older_state_and_then_catches_up() {
    let list = list_without_events(vec![row("w1", "w1")]);
    list.set_faults(InstanceFaults {
        lag_ms: 1_000,
        ..InstanceFaults::default()
    });
    let before = list.list(0, 0).expect("the list is up");
    assert!(list.remove("w1"));
    assert_eq!(list.list(0, 0), Ok(before.clone()));
    let after = list.list(before.version, 10_000).expect("the list is up");
    assert!(after.rows.is_empty());
}

#[test]
fn an_outage_and_a_lost_answer_give_different_errors() {
    let list = list_without_events(vec![row("w1", "w1")]);
    let server = serve_instances("127.0.0.1:0", list.clone()).expect("a port is free");
    let http = HttpInstances::open(&server.address().to_string(), ServiceTimeouts::default());
    let ports: [&dyn InstancePort; 2] = [&list, &http];
    for (reboots_before, port) in ports.into_iter().enumerate() {
        list.set_faults(InstanceFaults {
            is_down: true,
            ..InstanceFaults::default()
        });
        let incarnation = list.rows()[0].incarnation.clone();
        let refused = port.reboot("w1", &incarnation);
        let is_without_effect =
            matches!(refused, Err(PortError::NotSent(_) | PortError::Refused(_)));
        assert!(is_without_effect && port.list(0, 0).is_err());
        list.set_faults(InstanceFaults {
            answer_lost_count: 1,
            ..InstanceFaults::default()
        });
        let lost = port.reboot("w1", &incarnation);
        assert!(matches!(lost, Err(PortError::AnswerLost(_))), "{lost:?}");
        // The order is idempotent: repeating it reboots no second time.
        assert_eq!(port.reboot("w1", &incarnation), Ok(()));
        assert_eq!(list.reboots_count(), reboots_before as u64 + 1);
        assert_ne!(list.rows()[0].incarnation, incarnation);
    }
}

/// Runs a task on a thread; returns once the worker has started it.
fn start_long_task(
    port: impl WorkerPort + 'static,
    address: &str,
    request: WorkerRequest,
) -> thread::JoinHandle<WorkerOutcome> {
    let port = Arc::new(port);
    let (runner, at) = (Arc::clone(&port), address.to_owned());
    let thread = thread::spawn(move || runner.run(&at, &request, 20_000, 1_000));
    let deadline = Instant::now() + Duration::from_secs(10);
    while port
        .status(address)
        .expect("the worker is up")
        .running_count
        == 0
    {
        assert!(Instant::now() < deadline, "the task did not start in time");
        thread::sleep(Duration::from_millis(1));
    }
    thread
}

#[test]
fn a_reboot_kills_running_tasks_and_begins_another_incarnation() {
    let worker = Arc::new(MemoryWorker::open(worker_settings(&row("w1", ""))));
    let server = serve_worker("127.0.0.1:0", Arc::clone(&worker)).expect("a port is free");
    let address = server.address().to_string();
    let list = MemoryInstances::open(vec![row("w1", &address)], notify_workers());
    let in_memory = MemoryPlatform::open(vec![row("w1", "w1")], LogLimits::default());
    let http = HttpWorkers::default();
    let runs = || worker.journal().runs.into_iter().collect();
    check_reboot(&list, http, &address, &runs);
    let workers = in_memory.workers.clone();
    let runs = || workers.runs();
    check_reboot(&in_memory.instances, in_memory.workers.clone(), "w1", &runs);
}

fn check_reboot(
    list: &MemoryInstances,
    port: impl WorkerPort + Clone + 'static,
    address: &str,
    runs: &dyn Fn() -> Vec<hawthornladder::stand_in::journal::Run>,
) {
    let order = br#"{"run_ms":10000}"#;
    let task = start_long_task(port.clone(), address, attempt("a1", order));
    assert_eq!(list.reboot("w1", "w1.1"), Ok(()));
    let outcome = task.join().expect("no panic");
    assert_eq!(outcome, WorkerOutcome::Stopped(TaskStop::Killed));
    assert_eq!(runs()[0].ending, Some(Ending::Killed));
    let old_boot = port.run(address, &attempt("a2", b""), 1_000, 1_000);
    let refused = WorkerOutcome::NotStarted(NotStarted::WrongIncarnation);
    assert_eq!(old_boot, refused);
    let new_boot = WorkerRequest {
        incarnation: list.rows()[0].incarnation.clone(),
        ..attempt("a3", b"")
    };
    let outcome = port.run(address, &new_boot, 5_000, 1_000);
    assert!(matches!(outcome, WorkerOutcome::Ran { .. }), "{outcome:?}");
}

#[test]
fn a_reused_address_refuses_work_for_the_previous_instance() {
    let platform = MemoryPlatform::open(
        vec![row("w1", "one"), row("w2", "two")],
        LogLimits::default(),
    );
    assert!(platform.instances.remove("w1"));
    let gone = platform
        .workers
        .run("one", &attempt("a1", b""), 1_000, 1_000);
    assert_eq!(gone, WorkerOutcome::NotStarted(NotStarted::Unreachable));
    assert!(platform.instances.replace("w2", Some("one")));
    let other_instance = platform
        .workers
        .run("one", &attempt("a2", b""), 1_000, 1_000);
    let refused = WorkerOutcome::NotStarted(NotStarted::WrongIncarnation);
    assert_eq!(other_instance, refused);
    assert!(platform.workers.runs().is_empty());
}
