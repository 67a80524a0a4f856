//! The stand-in log service, in memory and over HTTP: offsets, waits, retention, rate limit and
//! faults.

use std::thread;
use std::time::{Duration, Instant};

use hawthornladder::adapters::log_http::{HttpLog, ServiceTimeouts};
use hawthornladder::ports::{LogPort, PortError};
use hawthornladder::stand_in::http::RunningServer;
use hawthornladder::stand_in::log::{LogFaults, LogLimits, MemoryLog, APPEND_MAX_BYTES};
use hawthornladder::stand_in::log_server::serve_log;

use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};

/// A log that is accessed in memory or over HTTP.
struct LogUnderTest {
    memory: MemoryLog,
    port: Box<dyn LogPort>,
    _server: Option<RunningServer>,
}

fn in_memory_and_over_http(limits: LogLimits) -> [LogUnderTest; 2] {
    let memory = MemoryLog::open(limits);
    let behind_http = MemoryLog::open(limits);
    let server = serve_log("127.0.0.1:0", behind_http.clone()).expect("a port is free");
    let http = HttpLog::open(&server.address().to_string(), ServiceTimeouts::default());
    [
        LogUnderTest {
            memory: memory.clone(),
            port: Box::new(memory),
            _server: None,
        },
        LogUnderTest {
            memory: behind_http,
            port: Box::new(http),
            _server: Some(server),
        },
    ]
}

fn texts(payloads: &[&str]) -> Vec<String> {
    payloads.iter().map(|&payload| payload.into()).collect()
}

fn payloads_in(log: &dyn LogPort) -> Vec<String> {
    let page = log.read(0, 0).expect("nothing was trimmed");
    let payloads = page.records.iter().map(|record| record.payload.to_string());
    payloads.collect()
}

#[test]
fn appends_get_dense_offsets_and_time_stamps() {
    for log in in_memory_and_over_http(LogLimits::default()) {
        assert_eq!(log.port.append(&texts(&["a", "b"])), Ok(0));
        assert_eq!(log.port.append(&texts(&["\"c\"\n"])), Ok(2));
        let page = log.port.read(1, 0).expect("nothing was trimmed");
        let seen: Vec<_> = page
            .records
            .iter()
            .map(|r| (r.offset, &*r.payload))
            .collect();
        assert_eq!(seen, [(1, "b"), (2, "\"c\"\n")]);
        assert_eq!((page.head_offset, page.oldest_offset), (3, 0));
        assert!(page.records.iter().all(|record| record.at_unix_ms > 0));
        let too_large = texts(&[&"x".repeat(APPEND_MAX_BYTES + 1)]);
        let refused = PortError::Refused("too_large".into());
        assert_eq!(log.port.append(&too_large), Err(refused));
    }
}

#[test]
fn a_waiting_read_ends_with_the_next_append() {
    for log in in_memory_and_over_http(LogLimits::default()) {
        let appender = log.memory.clone();
        let started = Instant::now();
        let thread = thread::spawn(move || {
            thread::sleep(Duration::from_millis(50));
            appender.append(&texts(&["late"]))
        });
        let page = log.port.read(0, 10_000).expect("the log is up");
        assert_eq!(page.records.len(), 1);
        assert!(started.elapsed() < Duration::from_secs(5));
        assert_eq!(thread.join().expect("no panic"), Ok(0));
        let empty = log.port.read(1, 20).expect("the log is up");
        assert!(empty.records.is_empty());
    }
}

#[test]
fn an_outage_is_reported_as_a_call_without_effect() {
    for log in in_memory_and_over_http(LogLimits::default()) {
        for faults in [
            LogFaults {
                is_down: true,
                ..LogFaults::default()
            },
            LogFaults {
                is_refusing: true,
                ..LogFaults::default()
            },
        ] {
            log.memory.set_faults(faults);
            let append = log.port.append(&texts(&["lost"]));
            let is_without_effect =
                matches!(append, Err(PortError::NotSent(_) | PortError::Refused(_)));
            assert!(
                is_without_effect,
                "unexpected result during an outage: {append:?}"
            );
            assert_eq!(log.port.read(0, 0).is_err(), faults.is_down);
        }
        log.memory.set_faults(LogFaults::default());
        assert!(payloads_in(&*log.port).is_empty());
    }
}

#[test]
fn a_lost_answer_a_late_and_a_double_append_affect_one_append_each() {
    for log in in_memory_and_over_http(LogLimits::default()) {
        log.memory.set_faults(LogFaults {
            answer_lost_count: 1,
            doubled_count: 1,
            late_count: 1,
            late_ms: 1_000,
            ..LogFaults::default()
        });
        let lost = |answer| matches!(answer, Err(PortError::AnswerLost(_)));
        assert!(lost(log.port.append(&texts(&["late"]))));
        assert!(lost(log.port.append(&texts(&["unheard"]))));
        assert_eq!(log.port.append(&texts(&["twice"])), Ok(1));
        assert_eq!(log.port.append(&texts(&["once"])), Ok(3));
        assert_eq!(
            payloads_in(&*log.port),
            ["unheard", "twice", "twice", "once"]
        );
        let late = log.port.read(4, 5_000).expect("the log is up");
        assert_eq!(&*late.records[0].payload, "late");
    }
}

#[test]
fn a_stale_view_shows_an_older_head_for_a_while() {
    for log in in_memory_and_over_http(LogLimits::default()) {
        assert_eq!(log.port.append(&texts(&["old", "new"])), Ok(0));
        log.memory.set_faults(LogFaults {
            stale_ms: 1_000,
            ..LogFaults::default()
        });
        let stale = log.port.read(0, 0).expect("the log is up");
        assert_eq!((stale.head_offset, stale.records.len()), (0, 0));
        // A reader that is ahead of the stale view sees that from the head offset.
        let behind = log.port.read(2, 0).expect("the log is up");
        assert_eq!((behind.head_offset, behind.records.len()), (0, 0));
        let caught_up = log.port.read(0, 10_000).expect("the log is up");
        assert_eq!((caught_up.head_offset, caught_up.records.len()), (2, 2));
    }
}

#[test]
fn retention_trims_by_count_by_age_and_on_demand() {
    let limits = LogLimits {
        records_max_count: 3,
        record_age_max_ms: 1_000,
        ..LogLimits::default()
    };
    for log in in_memory_and_over_http(limits) {
        let trimmed = |oldest_offset| Err(PortError::Trimmed { oldest_offset });
        log.port
            .append(&texts(&["0", "1", "2", "3", "4"]))
            .expect("the log is up");
        assert_eq!(log.port.read(0, 0), trimmed(2));
        log.memory.trim_before(3);
        assert_eq!(log.port.read(2, 0), trimmed(3));
        assert_eq!(log.port.read(3, 0).map(|page| page.records.len()), Ok(2));
        thread::sleep(Duration::from_millis(1_100));
        assert_eq!(log.port.read(4, 0), trimmed(5));
        assert_eq!(log.port.append(&texts(&["5"])), Ok(5));
    }
}

#[test]
fn appends_beyond_the_rate_limit_wait_or_are_refused() {
    let limits = LogLimits {
        appends_per_s: 20,
        ..LogLimits::default()
    };
    let log = MemoryLog::open(limits);
    let started = Instant::now();
    let appenders: Vec<_> = (0..60)
        .map(|_| {
            let log = log.clone();
            thread::spawn(move || log.append(&texts(&["x"])))
        })
        .collect();
    let answers = appenders.into_iter().map(|a| a.join().expect("no panic"));
    let (accepted, refused): (Vec<_>, Vec<_>) = answers.partition(Result::is_ok);
    // The last of `n` appends takes effect at least `(n - 1) / 20` seconds after the first.
    let min_elapsed = Duration::from_millis(50 * (accepted.len() as u64 - 1));
    assert!(started.elapsed() >= min_elapsed, "{:?}", started.elapsed());
    assert!(refused
        .iter()
        .all(|answer| *answer == Err(PortError::Refused("over_rate".into()))));
    assert_eq!(log.head_offset(), accepted.len() as u64);
    assert!(!refused.is_empty());
}

#[test]
fn only_a_connection_that_failed_proves_that_an_append_was_not_sent() {
    let log = MemoryLog::open(LogLimits::default());
    let server = serve_log("127.0.0.1:0", log.clone()).expect("a port is free");
    let proxy = Proxy::spawn(&server.address().to_string());
    let timeouts = ServiceTimeouts {
        connect_ms: 500,
        call_ms: 400,
    };
    let port = HttpLog::open(&proxy.address(), timeouts);
    let cut_answer = DirectionFaults {
        close_at_byte: Some(20),
        ..DirectionFaults::default()
    };
    let stalled = DirectionFaults {
        stall_at_byte: Some(0),
        ..DirectionFaults::default()
    };
    let mut appended_count = 0;
    for (to_upstream, to_client, is_appended) in [
        (DirectionFaults::default(), cut_answer, true),
        (DirectionFaults::default(), stalled, true),
        (stalled, DirectionFaults::default(), false),
        (cut_answer, DirectionFaults::default(), false),
    ] {
        proxy.set(ProxyFaults {
            to_upstream,
            to_client,
            ..ProxyFaults::default()
        });
        let answer = port.append(&texts(&["x"]));
        assert!(
            matches!(answer, Err(PortError::AnswerLost(_))),
            "{answer:?}"
        );
        appended_count += u64::from(is_appended);
        assert_eq!(log.head_offset(), appended_count);
    }
    proxy.set(ProxyFaults {
        is_refusing: true,
        ..ProxyFaults::default()
    });
    let answer = port.append(&texts(&["x"]));
    assert!(matches!(answer, Err(PortError::NotSent(_))), "{answer:?}");
    proxy.set(ProxyFaults::default());
    assert_eq!(port.append(&texts(&["x"])), Ok(appended_count));
}
