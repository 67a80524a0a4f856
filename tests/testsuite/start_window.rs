//! No attempt may start after the seat lease under which it was decided, whatever delayed it.

use hawthornladder::lists::Lists;

use crate::engines::Engines;

const LEASE_MS: u64 = 3_000;

fn open_delay_maps(lists: &mut Lists) {
    let mut queues = lists.entitlements.queues.iter_mut();
    let queue = queues.find(|queue| queue.name == "delay-maps");
    queue.expect("the example has the queue").is_open_to_all = true;
}

#[test]
fn work_of_an_open_queue_also_starts_within_the_lease() {
    let mut engines = Engines::open_with(1, open_delay_maps, |settings| {
        settings.seat_lease_ms = LEASE_MS;
        settings.seat_renew_ms = 200;
    });
    let key = engines.grant("ionosphere-desk");
    engines.is_log_down = true;
    let last_contact_ms = engines.now_ms;
    engines.advance(LEASE_MS - 500);
    let mut request = engines.request(&key, true);
    request.key = None;
    engines.call(0, &request);
    engines.advance(20);
    let (_, sent) = &engines.nodes[0].attempts[0];
    // The wall clock of the engines is their monotonic clock plus a constant.
    let unix_offset_ms = engines.records[0].at_unix_ms - 1_000_000;
    let lease_end_unix_ms = unix_offset_ms + last_contact_ms + LEASE_MS;
    assert!(
        sent.start_before_unix_ms <= lease_end_unix_ms,
        "the attempt may start {} ms after the lease",
        sent.start_before_unix_ms - lease_end_unix_ms
    );
}
