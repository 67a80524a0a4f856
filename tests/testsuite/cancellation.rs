//! A cancelled request leaves no running count behind, and does not delay the stop of its entry. A
//! wave of cancellations delays nothing.

use std::thread;
use std::time::Duration;

use hawthornladder::entry::EntryStatus;
use hawthornladder::error::ErrorKind;

use crate::calling::{cancel, Call};
use crate::cluster::Cluster;
use crate::engines::Engines;
use crate::proxy::{DirectionFaults, ProxyFaults};

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

/// No time passes during the wave: each request is answered, each task is cancelled and each slot is
/// used again in the step of its cancellation.
#[test]
fn a_wave_of_cancellations_is_carried_out_without_delay() {
    let mut engines = Engines::open(1);
    let (key, other) = (
        engines.grant("ionosphere-desk"),
        engines.grant("flood-office"),
    );
    let requests: Vec<_> = (0..300).map(|_| engines.request(&key, true)).collect();
    let calls: Vec<_> = requests.iter().map(|row| engines.call(0, row)).collect();
    engines.advance(1_000);
    let unrelated = engines.request(&other, true);
    engines.call(0, &unrelated);
    engines.advance(1_000);
    let slots_count = engines.nodes[0].attempts.len();
    assert!(slots_count >= 32, "only {slots_count} requests run");
    for request in &requests {
        engines.cancel(0, &key, request);
    }
    for call in calls {
        let kind = engines.refusal(call).map(|(kind, _)| kind);
        let kinds = [ErrorKind::CancelledNotRun, ErrorKind::CancelledWhileRunning];
        assert!(kind.is_some_and(|kind| kinds.contains(&kind)), "{kind:?}");
    }
    let running = engines.nodes[0].attempts.iter();
    let running: Vec<_> = running.map(|(_, row)| row.request_id.clone()).collect();
    assert_eq!(running, [unrelated.request_id]);
    for _ in 1..slots_count {
        let request = engines.request(&key, true);
        engines.call(0, &request);
    }
    assert_eq!(engines.nodes[0].attempts.len(), slots_count);
}

/// A caller has its answer before the cancel is relayed, so a relay that gets no answer is repeated.
#[test]
fn a_cancel_reaches_a_peer_that_is_silent_for_a_moment() {
    let cluster = Cluster::builder().entries(2).spawn();
    let (_, key) = cluster.grant("ionosphere-desk");
    let call = Call::new("delay-maps", &key, 20_000).deadline_ms(25_000);
    let holder = &cluster.entries[1];
    thread::scope(|scope| {
        let called = scope.spawn(|| call.send(&holder.callers_address));
        cluster.wait_until("the request is held", |_| {
            holder.status().requests_count == 1
        });
        let to_upstream = DirectionFaults {
            stall_at_byte: Some(0),
            ..DirectionFaults::default()
        };
        holder.peers_link.set(ProxyFaults {
            to_upstream,
            ..ProxyFaults::default()
        });
        holder.peers_link.reset_open();
        cancel(&cluster.entries[0].callers_address, &key, &call.request_id);
        thread::sleep(Duration::from_millis(500));
        holder.peers_link.set(ProxyFaults::default());
        let reply = called.join().expect("no panic");
        assert!(reply.kind.starts_with("cancelled"), "{reply:?}");
    });
}
