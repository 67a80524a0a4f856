//! An instance belongs to one pool: an entry without a lease gives it no work of any queue, because
//! moves and stops of the instance would not wait for that work.

use hawthornladder::error::{ErrorKind, RunState};
use hawthornladder::lists::Lists;

use crate::engines::Engines;

/// Time within which the other entries end and free a seat that is not renewed.
const SEAT_FREED_MS: u64 = 250_000;

fn open_queue(lists: &mut Lists) {
    let queues = &mut lists.entitlements.queues;
    let queue = queues.iter_mut().find(|queue| queue.name == "delay-maps");
    queue.expect("the example has the queue").is_open_to_all = true;
}

#[test]
fn an_entry_without_a_seat_starts_no_work_from_queues_open_to_all() {
    let mut engines = Engines::open_with(3, open_queue, |_| ());
    let key = engines.grant("ionosphere-desk");
    let request = engines.request(&key, true);
    // The entry knows the configuration in force from its peers, but cannot claim a seat.
    engines.nodes[2].is_cut_from_log = true;
    engines.advance(SEAT_FREED_MS);
    assert_eq!(engines.ledger(2).seats.iter_live().count(), 2);
    let call = engines.call(2, &request);
    engines.advance(1_000);
    assert!(engines.nodes[2].attempts.is_empty());
    let refusal = engines.refusal(call);
    assert_eq!(refusal, Some((ErrorKind::SeatLapsed, RunState::NotRun)));
    // As soon as the log is available again, the entry claims a new seat and serves.
    engines.nodes[2].is_cut_from_log = false;
    engines.advance(2_000);
    let next_request = engines.request(&key, true);
    engines.call(2, &next_request);
    engines.advance(1_000);
    assert_eq!(engines.nodes[2].attempts.len(), 1);
}
