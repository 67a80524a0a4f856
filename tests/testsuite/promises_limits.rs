//! Limits: no team has more running than its upper limit over the whole fleet, and everyone who
//! waits under a limit is served in turn.

use crate::engines::{ran, Engines};

/// Returns the engines with a limit of `limit_requests` for the team of the tests.
fn limited(count: usize, limit_requests: u32) -> Engines {
    Engines::open_with(
        count,
        |lists| {
            let mut teams = lists.plans.teams.iter_mut();
            let team = teams.find(|team| team.name == "ionosphere-desk");
            team.expect("the example has it").running_max_requests = Some(limit_requests);
        },
        |_| {},
    )
}

#[test]
fn a_limit_of_one_goes_round() {
    let mut engines = limited(3, 1);
    let key = engines.grant("ionosphere-desk");
    let mut calls = Vec::new();
    for _ in 0..3 {
        for index in 0..3 {
            let mut request = engines.request(&key, true);
            request.deadline_ms = 60_000;
            calls.push(engines.call(index, &request));
        }
    }
    let mut served_count = 0;
    while served_count < calls.len() {
        let is_out = |engines: &Engines| engines.nodes.iter().any(|n| !n.attempts.is_empty());
        let took_ms = engines.advance_until(3_000, is_out);
        assert!(took_ms <= 1_500, "the limit moved after {took_ms} ms");
        engines.advance(100);
        let running: usize = engines.nodes.iter().map(|node| node.attempts.len()).sum();
        assert_eq!(running, 1);
        let index = engines.nodes.iter().position(|n| !n.attempts.is_empty());
        engines.end_attempt(index.expect("one is out"), ran());
        served_count += 1;
    }
    let is_done = |call: &u64| engines.answer(*call).is_some_and(|a| &*a.body == b"done");
    assert!(calls.iter().all(is_done));
}
