//! A cancelled request leaves no running count behind, and does not delay the stop of its entry.

use std::thread;

use hawthornladder::entry::EntryStatus;

use crate::calling::{cancel, Call};
use crate::cluster::Cluster;

/// Run time that exceeds every timeout of the test.
const RUN_MS: u64 = 55_000;

#[test]
fn a_cancelled_run_frees_its_teams_limit_and_does_not_delay_a_stop() {
    let mut cluster = Cluster::builder().entries(1).spawn();
    let (_, key) = cluster.grant("ionosphere-desk");
    let call = Call::new("delay-maps", &key, RUN_MS)
        .at_most_once()
        .deadline_ms(RUN_MS);
    let address = cluster.entries[0].callers_address.clone();
    let running_count = |status: EntryStatus| status.running_count;
    thread::scope(|scope| {
        let called = scope.spawn(|| call.send(&address));
        cluster.wait_until("the request counts as running", |cluster| {
            running_count(cluster.entries[0].status()) == 1
        });
        cancel(&address, &key, &call.request_id);
        let reply = called.join().expect("no panic");
        assert_eq!(reply.kind, "cancelled_while_running", "{reply:?}");
    });
    cluster.wait_until("nothing counts as running", |cluster| {
        running_count(cluster.entries[0].status()) == 0
    });
    let status = cluster.entries[0].process.terminate();
    assert!(status.success(), "{status}");
}
