//! The adapter of the users' platform: what it parses, what it refuses, and its calls to the store.

use std::io::{Read, Write};

use hawthornladder::jobs::{JobId, SpecError};
use hawthornladder::net::{self, Answer, Client, ClientSettings, IncomingRequest, ServerSettings};
use hawthornladder::node::{CallKind, Fence, StoreFailure};
use hawthornladder::platform::lists::{parse_operator_record, parse_worker_info, OperatorRecord};
use hawthornladder::platform::store::{Store, Topic};
use hawthornladder::platform::workers::parse_poll_reply;
use hawthornladder::platform::{callers, settings};
use hyper::Method;

/// Settings with little more than the required fields, and an unknown field.
const SETTINGS: &str = r#"
node_name = "n1"
ip = "10.1.0.23"
zone = "z1"
internal_ports = [7000, 7015]
a_new_field = { of = "later" }
[listen]
frontend_address = "10.1.0.23:8340"
ready = "10.1.0.23:8343"
[limits]
cpu_share = 0.25
[platform]
address = "10.200.1.7:8344"
"#;

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let read = settings::parse(SETTINGS).expect("valid");
    assert_eq!(read.name, "n1");
    assert_eq!(read.peers_address.to_string(), "10.1.0.23:7000");
    assert_eq!(read.metrics_address.to_string(), "10.1.0.23:7001");
    assert_eq!(read.bounds.key_withdrawal_ms, 5_000);
    assert!(read.tickets_address.is_none());
}

/// Guards against a factor that is dropped because it is written without a fraction, and against one
/// that would overflow the estimates.
#[test]
fn the_remote_factor_may_be_whole_or_a_fraction() {
    let with = |factor: &str| {
        let text = format!("{SETTINGS}[bounds]\nremote_factor = {factor}\n");
        settings::parse(&text).map(|read| read.bounds.remote_factor_permille)
    };
    let default = settings::parse(SETTINGS).expect("valid").bounds;
    assert_eq!(default.remote_factor_permille, 1_000);
    assert_eq!(with("3").expect("valid"), 3_000);
    assert_eq!(with("1.25").expect("valid"), 1_250);
    for factor in ["-1", "nan", "inf", "1000"] {
        assert!(with(factor).is_err(), "{factor} was taken");
    }
}

#[test]
fn invalid_settings_are_refused_with_the_reason() {
    let without_ports = SETTINGS.replace("internal_ports = [7000, 7015]", "");
    let report = settings::parse(&without_ports).expect_err("no ports");
    assert!(format!("{report:?}").contains("internal_ports"));
    let without_store = SETTINGS.replace("address = \"10.200.1.7:8344\"", "");
    assert!(settings::parse(&without_store).is_err());
    assert!(settings::parse("not toml [").is_err());
}

#[test]
fn lists_are_read_and_the_longest_prefix_wins() {
    let text = br#"{"version":7,"routes":[
        {"name":"r1","host":"a.example","path_prefix":"/x/","service":"p1","public":true},
        {"name":"r2","host":"a.example","path_prefix":"/x/y/","service":"p2","max_attempts":4,
         "recommendation":{"decision_ms":5}}],
        "services":[{"name":"p1"},{"name":"p2","standby":true,"enforces_capacity":true}],
        "tenants":[{"name":"t","api_keys":["k1"],"maximum":{"cpu":5000}}],"more":1}"#;
    let Ok(OperatorRecord::Lists(lists)) = parse_operator_record("config", text) else {
        panic!("the lists were not parsed");
    };
    let queue = lists.route("A.example", "/x/y/0123").expect("a queue");
    assert_eq!(queue.name, "r2");
    assert!(queue.needs_tickets);
    assert!(lists.team_of(queue, Some("k1")).is_ok());
    assert!(lists.team_of(queue, Some("k2")).is_err());
    let open = lists.route("a.example", "/x/0123").expect("a queue");
    assert!(lists.team_of(open, None).is_ok());
    assert!(lists.route("b.example", "/x/0123").is_none());
    assert_eq!(lists.standby_pool().map(|name| name.as_str()), Some("p2"));
    assert!(lists.pools["p2"].enforces_capacity);
    assert!(!lists.pools["p1"].enforces_capacity);
    assert!(parse_operator_record("config", b"{").is_err());
}

#[test]
fn unusable_worker_entries_are_refused() {
    let good = br#"{"service":"p","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1}}"#;
    assert!(parse_worker_info("i-1", good).is_some());
    let faulty: [&[u8]; 5] = [
        b"\xff\xfe",
        b"{}",
        br#"{"service":1,"address":"10.0.0.1:80","state":"ready"}"#,
        br#"{"service":"p","address":"nowhere","state":"ready"}"#,
        br#"{"service":"p","address":"10.0.0.1:80","state":"dreaming"}"#,
    ];
    for value in faulty {
        assert!(parse_worker_info("i-1", value).is_none(), "{value:?}");
    }
}

/// Returns an entry of a worker with these fields beside the required ones.
fn worker_entry(address: &str, more: &str) -> Vec<u8> {
    format!(r#"{{"service":"p","address":"{address}","state":"ready"{more}}}"#).into_bytes()
}

/// Guards against an entry of another writer whose figures overflow the sums of the leader, or whose
/// worker can never be called.
#[test]
fn entries_with_figures_that_no_worker_has_are_refused() {
    let usual = worker_entry(
        "10.0.0.1:80",
        r#","capacity":{"cpu":256000,"memory_request_mb":4194304},"cold_remaining_ms":5e3"#,
    );
    assert!(parse_worker_info("i-1", &usual).is_some());
    let nested = format!(
        r#","labels":{}1{}"#,
        "[".repeat(200_000),
        "]".repeat(200_000)
    );
    // No record could hold them.
    let long_texts = format!(r#","labels":["{}"]"#, "a".repeat(300_000));
    for more in [
        r#","capacity":{"cpu":18446744073709551615}"#,
        r#","capacity":{"cpu":100000000000000000}"#,
        r#","capacity":{"memory_request_mb":9223372036854775807}"#,
        r#","capacity":{"gpu":18446744073709551615}"#,
        r#","cold_remaining_ms":1e308"#,
        r#","cold_remaining_ms":1e999"#,
        r#","born":18446744073709551615"#,
        nested.as_str(),
        long_texts.as_str(),
    ] {
        let entry = worker_entry("10.0.0.1:80", more);
        let start: String = more.chars().take(60).collect();
        assert!(parse_worker_info("i-1", &entry).is_none(), "{start}");
    }
    for address in ["10.0.0.1:0", "10.0.0.1:80000", "0.0.0.0:80"] {
        let entry = worker_entry(address, "");
        assert!(parse_worker_info("i-1", &entry).is_none(), "{address}");
    }
    let long_id = "i".repeat(250);
    for id in ["", long_id.as_str(), "i 1", "i\n1", "i-\u{fffd}"] {
        assert!(parse_worker_info(id, &usual).is_none(), "{id:?}");
    }
}

/// An unknown field is ignored, however it is nested.
#[test]
fn a_worker_with_a_deeply_nested_unknown_field_is_used() {
    let nested = format!(
        r#","later":{}1{}"#,
        "[".repeat(200_000),
        "]".repeat(200_000)
    );
    let entry = worker_entry("10.0.0.1:80", &nested);
    assert!(parse_worker_info("i-1", &entry).is_some());
}

/// Guards against sums of a plan that overflow by what one caller submits.
#[test]
fn jobs_larger_than_any_fleet_are_invalid() {
    for step in [
        r#"{"count":1,"cpu":18446744073709551615}"#,
        r#"{"count":1,"memory_request_mb":18446744073709551615}"#,
        r#"{"count":1,"estimated_ms":18446744073709551615}"#,
        r#"{"count":100000,"cpu":4000000000,"estimated_ms":4000000000}"#,
    ] {
        let body = format!(r#"{{"phases":[{step}]}}"#);
        let spec = callers::parse_job_spec(body.as_bytes()).expect("it can be read");
        assert_eq!(spec.check(), Err(SpecError::Size), "{step}");
    }
    let hopeless = r#"{"phases":[{"count":100,"cpu":9000000,"estimated_ms":600000}]}"#;
    let spec = callers::parse_job_spec(hopeless.as_bytes()).expect("it can be read");
    assert_eq!(spec.check(), Ok(()));
}

#[test]
fn jobs_and_calls_are_parsed() {
    let body = br#"{"spec":"s","phases":[{"count":2,"cpu":500,"memory_request_mb":10},
        {"count":1,"after":[0],"long_running":true,"may_miss":0,"fills":true}]}"#;
    let spec = callers::parse_job_spec(body).expect("valid");
    assert_eq!(spec.steps[0].size.cpu_millis, 500);
    assert!(spec.steps[1].is_long_running && spec.steps[1].is_best_effort);
    assert_eq!(spec.steps[1].unavailable_max, None);
    assert!(spec.check().is_ok());
    assert!(callers::parse_job_spec(b"[]").is_err());
    let id = JobId::parse("00000000000000ff").expect("an id");
    let kind = |method, rest| callers::parse_call_kind(&method, rest);
    assert_eq!(
        kind(Method::POST, "00000000000000ff"),
        Some(CallKind::Submit(id))
    );
    assert_eq!(kind(Method::GET, ""), Some(CallKind::Count));
    assert_eq!(kind(Method::GET, "ff"), None);
    assert_eq!(kind(Method::PUT, "00000000000000ff"), None);
}

/// Runs `test` with a store that answers every call with `status` and `body`.
fn with_store<T: std::future::Future<Output = ()>>(
    status: u16,
    body: &'static [u8],
    test: impl FnOnce(Store) -> T,
) {
    let answer = move |_: &IncomingRequest| (status, body.to_vec());
    with_answers(answer, test);
}

/// Runs `test` with a store that answers each call by `answer`: a status and a body.
fn with_answers<T: std::future::Future<Output = ()>>(
    answer: impl Fn(&IncomingRequest) -> (u16, Vec<u8>) + Clone + 'static,
    test: impl FnOnce(Store) -> T,
) {
    let address = {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        free.local_addr().expect("an address")
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let settings = ServerSettings {
            body_max_bytes: 1 << 20,
            connections_max_count: 8,
        };
        let answer = move |request: IncomingRequest| {
            let (status, body) = answer(&request);
            std::future::ready(Answer {
                status,
                headers: Vec::new(),
                body: body.into(),
            })
        };
        let _server = net::serve(address, settings, answer)
            .await
            .expect("the server starts");
        test(Store::open(client(), address)).await;
    });
}

fn client() -> Client {
    Client::open(ClientSettings {
        idle_max_count: 8,
        idle_age_max_ms: 1_000,
    })
}

fn fence() -> Fence {
    Fence {
        writer: "leader",
        fence: 3,
        sequence: 1,
    }
}

async fn append(store: Store) -> Result<u64, StoreFailure> {
    let records = [("k".into(), Some(b"v".to_vec()))];
    store
        .append(Topic::Jobs, &records, None, Some(&fence()), 1_000)
        .await
}

#[test]
fn answers_of_the_store_map_to_distinct_failures() {
    let cases: [(u16, &'static [u8], Result<u64, StoreFailure>); 8] = [
        (200, br#"{"offset":4,"end":5}"#, Ok(5)),
        // An answer without the end proves nothing.
        (200, b"{", Err(StoreFailure::Unreadable)),
        (409, br#"{"reason":"fenced"}"#, Err(StoreFailure::Fenced)),
        (
            409,
            br#"{"reason":"seq","sequence":9}"#,
            Err(StoreFailure::OutOfSequence { expected: Some(9) }),
        ),
        (
            412,
            br#"{"end":8}"#,
            Err(StoreFailure::Moved { end_offset: 8 }),
        ),
        (
            410,
            br#"{"first":2}"#,
            Err(StoreFailure::Trimmed { first_offset: 2 }),
        ),
        (503, b"", Err(StoreFailure::Refused { status: 503 })),
        (507, b"", Err(StoreFailure::Full)),
    ];
    for (status, body, expected) in cases {
        with_store(status, body, |store| async move {
            assert_eq!(append(store).await, expected, "{status}");
        });
    }
}

#[test]
fn records_of_a_read_are_split_and_unreadable_ones_have_an_empty_key() {
    // End 7, first offset 0; a record with key "ab" and value "c", a removal of "k", and a record
    // that is shorter than its key length says.
    let body: &[u8] = b"\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\0\0\
        \0\0\0\x04\x02abc\0\0\0\x02\x01k\0\0\0\x01\x09";
    with_store(200, body, |store| async move {
        let page = store
            .read(Topic::Leadership, 4, 0, 1_000)
            .await
            .expect("read");
        assert_eq!((page.next_offset, page.end_offset), (7, 7));
        assert_eq!(page.records[0].key, "ab");
        assert_eq!(page.records[0].value.as_deref(), Some(&b"c"[..]));
        assert_eq!(page.records[1].key, "k");
        assert_eq!(page.records[1].value, None);
        assert_eq!(page.records[2].key, "");
    });
}

#[test]
fn a_call_to_an_absent_store_is_reported_as_not_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let address = {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        free.local_addr().expect("an address")
    };
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let store = Store::open(client(), address);
        assert_eq!(append(store).await, Err(StoreFailure::NotSent));
    });
}

#[test]
fn the_answer_to_a_poll_is_read_in_the_usual_form_and_in_others() {
    let usual = br#"{"clock_ms":9,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c1",41,3]],
        "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#;
    let reply = parse_poll_reply(usual).expect("valid");
    assert_eq!((reply.clock_ms, reply.started_unix_ms), (9, 7));
    assert_eq!((reply.running[0].percent, reply.running[0].metric), (41, 3));
    assert_eq!((reply.ended[0].number, reply.ended[0].run_number), (58, 1));
    // Without the metric, with an escaped text, and with rows that cannot be read.
    let other = br#"{"clock_ms":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c1",41],["x",1,"",0],7],
        "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","a\u0062"],[59,"?",1,"done",""]]}"#;
    let reply = parse_poll_reply(other).expect("valid");
    assert_eq!((reply.running.len(), reply.running[0].metric), (1, 0));
    assert_eq!(
        (reply.ended.len(), reply.ended[0].checkpoint.as_str()),
        (1, "ab")
    );
    assert!(
        parse_poll_reply(b"{}").is_none(),
        "an answer without a clock"
    );
}

/// Guards against runs that count as lost because a worker's answer does not list them all.
#[test]
fn an_answer_to_a_poll_tells_whether_its_lists_are_whole() {
    let missing_lists = [
        &br#"{"clock_ms":9,"finished":[]}"#[..],
        br#"{"clock_ms":9,"running":[]}"#,
    ];
    for answer in missing_lists {
        assert!(parse_poll_reply(answer).is_none(), "a list is missing");
    }
    let with_ends = |count: u32| {
        let ends = (1..=count).map(|number| format!(r#"[{number},"?",1,"done",""]"#));
        let ends: Vec<String> = ends.collect();
        let answer = format!(
            r#"{{"clock_ms":9,"running":[],"finished":[{}]}}"#,
            ends.join(",")
        );
        parse_poll_reply(answer.as_bytes()).expect("valid")
    };
    assert!(!with_ends(499).has_more_ends);
    // Ends that cannot be read take up room in the list, too.
    assert!(with_ends(500).has_more_ends);
    let without_checkpoint = br#"{"clock_ms":9,"finished":[],
        "running":[["5c0e7a21d94b36f8.0.1.17",2,null,0]]}"#;
    let reply = parse_poll_reply(without_checkpoint).expect("valid");
    assert_eq!(
        reply.running.len(),
        1,
        "a run without a checkpoint is a run"
    );
}

/// Serves `pages` one after the other and returns the paths of the requests for them, with queries.
fn paths_of_pages(pages: &[&str]) -> (Vec<String>, Result<usize, StoreFailure>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pages: Vec<String> = pages.iter().map(|page| (*page).to_owned()).collect();
    let server = std::thread::spawn(move || {
        let mut paths = Vec::new();
        for page in pages {
            let (mut stream, _) = listener.accept().expect("the adapter connects");
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).expect("a request");
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            paths.push(head.split(' ').nth(1).unwrap_or_default().to_owned());
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{page}",
                page.len()
            );
            stream.write_all(answer.as_bytes()).expect("it is read");
        }
        paths
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let read = tokio::task::LocalSet::new().block_on(&runtime, async {
        let store = Store::open(client(), address);
        let read = store.read_newest(Topic::Workers, 1_000).await;
        read.map(|(records, _)| records.len())
    });
    // A request that never comes would keep the thread waiting.
    let _ = std::net::TcpStream::connect(address);
    (server.join().expect("the server ends"), read)
}

/// Guards against a list that is not followed any more once a page of it ends with an odd key.
#[test]
fn the_newest_records_are_read_past_odd_keys() {
    let first = r#"{"items":[{"key":"i-1","offset":1},{"key":"a b&c=#é","offset":2}],
        "has_more":true,"end":9}"#;
    let last = r#"{"items":[{"key":"i-9","offset":3}],"has_more":false,"end":9}"#;
    let (paths, read) = paths_of_pages(&[first, last]);
    assert_eq!(read, Ok(3));
    assert!(
        paths[1].ends_with("&after=a%20b%26c%3D%23%C3%A9"),
        "{paths:?}"
    );
    // A key that is no text cannot be named; the store goes on after the last one that can.
    let first = "{\"items\":[{\"key\":\"i-1\",\"offset\":1},{\"key\":\"\u{fffd}\",\"offset\":2}],
        \"has_more\":true,\"end\":9}";
    let (paths, read) = paths_of_pages(&[first, last]);
    assert_eq!(read, Ok(3));
    assert!(paths[1].ends_with("&after=i-1"), "{paths:?}");
}

/// Guards against pages that are read for ever.
#[test]
fn a_list_whose_pages_repeat_is_unreadable() {
    let page = r#"{"items":[{"key":"i-1","offset":1}],"has_more":true,"end":9}"#;
    let (_, read) = paths_of_pages(&[page, page]);
    assert_eq!(read, Err(StoreFailure::Unreadable));
}

/// Guards against a leader that takes a part of the records for all of them, and so acknowledges ends of
/// jobs that it does not know.
#[test]
fn a_page_without_records_does_not_end_a_list_that_goes_on() {
    let first = r#"{"items":[{"key":"i-1","offset":1}],"has_more":true,"end":9}"#;
    let empty = r#"{"items":[],"has_more":true,"end":9}"#;
    let (_, read) = paths_of_pages(&[first, empty]);
    assert_eq!(read, Err(StoreFailure::Unreadable));
}
