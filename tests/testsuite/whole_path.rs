//! The complete system as separate processes: configuration through the log, workers through the
//! instance list, a request at any entry.

use crate::calling::{fetch_job, Call};
use crate::cluster::Cluster;

#[test]
fn a_request_is_served_at_any_entry() {
    let cluster = Cluster::builder().spawn();
    let (_, key) = cluster.grant("ionosphere-desk");
    for entry in &cluster.entries {
        let call = Call::new("delay-maps", &key, 5);
        let reply = entry.call(&call);
        assert!(reply.is_done(), "{reply:?}");
        assert_eq!(cluster.runs_of(&call.request_id), 1);
    }
}

#[test]
fn a_job_is_fetched_at_another_entry() {
    let cluster = Cluster::builder().spawn();
    let (_, key) = cluster.grant("ionosphere-desk");
    let call = Call::new("delay-maps", &key, 5).at_most_once().for_later();
    let reply = cluster.entries[0].call(&call);
    assert_eq!(reply.status, 202, "{reply:?}");
    let address = &cluster.entries[1].callers_address;
    cluster.wait_until("the job is done", |_| {
        fetch_job(address, &key, &call.request_id).is_done()
    });
    assert_eq!(cluster.runs_of(&call.request_id), 1);
}

#[test]
fn a_withdrawn_key_is_refused_everywhere() {
    let cluster = Cluster::builder().spawn();
    let (key_id, key) = cluster.grant("ionosphere-desk");
    cluster.run_operator_command(&["keys", "withdraw", &key_id]);
    cluster.wait_until("every entry refuses the key", |cluster| {
        cluster.entries.iter().all(|entry| {
            let reply = entry.call(&Call::new("delay-maps", &key, 1));
            reply.kind == "key_withdrawn" && reply.ran == "not_run"
        })
    });
}
