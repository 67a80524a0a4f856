//! The orders of a leader to workers: none is sent once the leader may no longer act, and none that
//! begins or confirms something to another incarnation than the one that it is meant for.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornladder::jobs::{
    JobKey, OrderFailure, PollOrder, RunKey, StartOrder, TaskKey, TaskName,
};
use hawthornladder::net::{
    self, Answer, Client, ClientSettings, IncomingRequest, ServerHandle, ServerSettings,
};
use hawthornladder::node::{StoreFailure, WaveReport};
use hawthornladder::platform::status;
use hawthornladder::platform::store::{Store, Topic};
use hawthornladder::platform::workers::{self, Permission};
use hyper::body::Bytes;
use smol_str::SmolStr;

use crate::jobs::simulation::{job, long_running, Simulation};

fn run<T: Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn client() -> Client {
    Client::open(ClientSettings {
        idle_max_count: 4,
        idle_age_max_ms: 1_000,
    })
}

/// A worker that has nothing to report, and counts the calls that it gets.
struct QuietWorker {
    address: SocketAddr,
    calls_count: Rc<Cell<u32>>,
    _server: ServerHandle,
}

impl QuietWorker {
    async fn spawn() -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let settings = ServerSettings {
            body_max_bytes: 10_000,
            connections_max_count: 8,
        };
        let calls_count = Rc::new(Cell::new(0));
        let counted = Rc::clone(&calls_count);
        let answer = move |_: IncomingRequest| {
            counted.set(counted.get() + 1);
            std::future::ready(Answer {
                status: 200,
                body: Bytes::from(r#"{"clock_ms":5000,"running":[],"finished":[]}"#),
                ..Answer::default()
            })
        };
        Self {
            address,
            calls_count,
            _server: net::serve(address, settings, answer)
                .await
                .expect("the server starts"),
        }
    }
}

/// A worker that starts again at its address, and records the calls that it gets.
struct RestartingWorker {
    address: SocketAddr,
    calls: Rc<RefCell<Vec<(String, serde_json::Value)>>>,
    server: Option<ServerHandle>,
}

impl RestartingWorker {
    /// Starts an incarnation, which reports this time of its start.
    async fn start(&mut self, started_unix_ms: u64) {
        self.server = None;
        let settings = ServerSettings {
            body_max_bytes: 10_000,
            connections_max_count: 8,
        };
        let calls = Rc::clone(&self.calls);
        let answer = move |call: IncomingRequest| {
            let body = call.body.unwrap_or_default();
            let body = serde_json::from_slice(&body).expect("JSON");
            calls.borrow_mut().push((call.path, body));
            let body = format!(
                r#"{{"clock_ms":5000,"born":{started_unix_ms},"running":[],"finished":[]}}"#
            );
            std::future::ready(Answer {
                status: 200,
                body: Bytes::from(body),
                ..Answer::default()
            })
        };
        // The port is in use until the incarnation before has ended.
        for _ in 0..100 {
            match net::serve(self.address, settings, answer.clone()).await {
                Ok(server) => {
                    self.server = Some(server);
                    return;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
        panic!("the port stays in use");
    }

    async fn spawn(started_unix_ms: u64) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut worker = Self {
            address: free.local_addr().expect("an address"),
            calls: Rc::default(),
            server: None,
        };
        drop(free);
        worker.start(started_unix_ms).await;
        worker
    }

    fn take_calls(&self) -> Vec<(String, serde_json::Value)> {
        self.calls.take()
    }
}

/// Returns a poll of the worker at `address`, and a start there.
fn orders_to(address: SocketAddr) -> (PollOrder, StartOrder) {
    let mut simulation = Simulation::open(&["pool"], 1);
    simulation.submit("pool", job(vec![long_running(1, 1_000)]));
    simulation.advance_until(2_000, |simulation| !simulation.polls.is_empty());
    let (mut poll, _) = simulation.polls.remove(0);
    poll.target.address = address;
    let task = TaskKey {
        job: JobKey(0),
        round: 0,
        step: 0,
        index: 0,
    };
    let start = StartOrder {
        target: poll.target.clone(),
        run: RunKey { task, run: 1 },
        name: TaskName::parse("0000000000000001.0.0.0").expect("a name"),
        spec: Arc::new(job(vec![long_running(1, 1_000)])),
        lease_end_worker_ms: 9_000,
        checkpoint: SmolStr::default(),
        ticket: None,
    };
    (poll, start)
}

/// A leader that was paused, or that had stopped leading while it connected, sent starts and polls
/// that extended leases all the same. What was not sent is said to be so.
#[test]
fn no_order_leaves_a_leader_that_may_no_longer_act() {
    run(async {
        let worker = QuietWorker::spawn().await;
        let client = client();
        let (poll, start) = orders_to(worker.address);
        let polled = workers::poll(&client, &poll, || Permission::Nothing).await;
        assert_eq!(polled.err(), Some(OrderFailure::NotSent));
        let started = workers::start(&client, &start, || Permission::Nothing).await;
        assert_eq!(started, Err(OrderFailure::NotSent));
        assert_eq!(worker.calls_count.get(), 0, "an order was sent");
        let started = workers::start(&client, &start, || Permission::All).await;
        assert_eq!(started, Ok(Some(5_000)));
    });
}

/// A poll that was not sent by a leader that may not act must not make its worker count as silent.
#[test]
fn a_poll_that_the_leader_holds_back_says_nothing_about_the_worker() {
    let mut simulation = Simulation::open(&["pool"], 1);
    simulation.submit("pool", job(vec![long_running(1, 1_000)]));
    simulation.advance_until(2_000, |simulation| !simulation.polls.is_empty());
    let (poll, _) = simulation.polls.remove(0);
    simulation.engine.poll_withheld(&poll, simulation.now_ms);
    simulation.submit("pool", job(vec![long_running(1, 1_000)]));
    // Less than the pause after which a silent worker is polled again.
    simulation.advance(50);
    assert_eq!(simulation.starts.len(), 2, "the worker counts as silent");
}

/// The report on a wave of a leader that had lost its lease replaced that of its successor.
#[test]
fn no_report_is_written_once_the_leader_may_no_longer_write_it() {
    run(async {
        let store_server = QuietWorker::spawn().await;
        let store = Store::open(client(), store_server.address);
        let record = [status::wave_record(WaveReport {
            wave: 7,
            is_complete: false,
        })];
        let may_not = || false;
        let reported = store
            .append_if(Topic::Status, &record, (None, None), 1_000, may_not)
            .await;
        assert_eq!(reported, Err(StoreFailure::NotSent));
        assert_eq!(store_server.calls_count.get(), 0, "a report was sent");
    });
}

/// Guards against a task that runs twice: a leader that is cut off starts it on a worker that has
/// restarted under its id, and has forgotten the fence of the next leader (review/6).
#[test]
fn a_start_is_not_sent_to_another_incarnation_than_it_is_meant_for() {
    run(async {
        let client = client();
        let (_, mut start) = orders_to(([127, 0, 0, 1], 1).into());
        let first_ms = start.target.started_unix_ms;
        let mut worker = RestartingWorker::spawn(first_ms).await;
        start.target.address = worker.address;
        let started = workers::start(&client, &start, || Permission::Confirmed).await;
        assert_eq!(started, Ok(Some(5_000)));
        worker.start(first_ms + 1).await;
        worker.take_calls();
        let started = workers::start(&client, &start, || Permission::Confirmed).await;
        assert_eq!(started, Err(OrderFailure::Restarted));
        let paths = worker.take_calls().into_iter().map(|(path, _)| path);
        assert!(paths.into_iter().all(|path| !path.ends_with("run-start")));
    });
}

/// Guards against leases that are counted on the clock of an earlier incarnation, and against ends that
/// are dropped because those of an earlier incarnation had the same numbers.
#[test]
fn a_poll_gives_nothing_to_another_incarnation_than_it_is_meant_for() {
    run(async {
        let client = client();
        let (mut poll, _) = orders_to(([127, 0, 0, 1], 1).into());
        let first_ms = poll.target.started_unix_ms;
        let mut worker = RestartingWorker::spawn(first_ms).await;
        poll.target.address = worker.address;
        poll.lease_end_worker_ms = Some(9_000);
        poll.acknowledged_through = 7;
        let polled = workers::poll(&client, &poll, || Permission::Confirmed).await;
        assert_eq!(polled.map(|reply| reply.started_unix_ms), Ok(first_ms));
        let (_, given) = worker.take_calls().pop().expect("a call");
        assert_eq!(
            (&given["until_ms"], &given["acked_through"]),
            (&9_000.into(), &7.into())
        );
        worker.start(first_ms + 1).await;
        let polled = workers::poll(&client, &poll, || Permission::Confirmed).await;
        assert_eq!(polled.map(|reply| reply.started_unix_ms), Ok(first_ms + 1));
        for (_, given) in worker.take_calls() {
            assert!(given.get("until_ms").is_none(), "{given}");
            assert_eq!(given["acked_through"], 0);
        }
    });
}

/// Guards against a task that is started again although it is done: the first poll after a restart carried
/// the number of the ends of the former incarnation, also of a leader with its lease (issue 61).
#[test]
fn an_acknowledgement_is_sent_only_where_the_incarnation_has_answered() {
    run(async {
        let client = client();
        let (mut poll, _) = orders_to(([127, 0, 0, 1], 1).into());
        let first_ms = poll.target.started_unix_ms;
        let mut worker = RestartingWorker::spawn(first_ms).await;
        poll.target.address = worker.address;
        poll.acknowledged_through = 7;
        let acknowledged = async |poll: &PollOrder| {
            let polled = workers::poll(&client, poll, || Permission::All).await;
            polled.map(|reply| reply.acknowledged_through)
        };
        assert_eq!(acknowledged(&poll).await, Ok(0));
        assert_eq!(acknowledged(&poll).await, Ok(7));
        worker.start(first_ms + 1).await;
        worker.take_calls();
        assert_eq!(acknowledged(&poll).await, Ok(0));
        assert_eq!(acknowledged(&poll).await, Ok(0));
        for (_, given) in worker.take_calls() {
            assert_eq!(given["acked_through"], 0);
        }
    });
}

/// Guards against ends that are never acknowledged, as no connection lasts from one poll to the next.
#[test]
fn an_acknowledgement_that_had_to_wait_is_sent_on_a_new_connection() {
    run(async {
        let (mut poll, _) = orders_to(([127, 0, 0, 1], 1).into());
        let worker = RestartingWorker::spawn(poll.target.started_unix_ms).await;
        poll.target.address = worker.address;
        poll.acknowledged_through = 7;
        poll.confirms_first = true;
        for _ in 0..2 {
            let polled = workers::poll(&client(), &poll, || Permission::All).await;
            assert_eq!(polled.map(|reply| reply.acknowledged_through), Ok(7));
        }
        poll.target.started_unix_ms += 1;
        let polled = workers::poll(&client(), &poll, || Permission::All).await;
        assert_eq!(polled.map(|reply| reply.acknowledged_through), Ok(0));
        let calls = worker.take_calls().into_iter();
        let given = calls.map(|(_, body)| body["acked_through"].clone());
        assert_eq!(
            given.collect::<Vec<_>>(),
            [0, 7, 0, 7, 0].map(serde_json::Value::from)
        );
    });
}
