//! The orders in which one late call can meet events that repeat: restarts of its worker, changes of leader, a
//! worker that is down for some time, tasks that start after these, and a cut that outlasts all leases.

use super::late_call_orders::{permutations, Event, LateCall, Order};

/// Times from the loss of the call to the first event, and from each event to the next, in milliseconds.
const GAPS_MS: [(u64, u64); 4] = [(10, 10), (200, 200), (10, 1_000), (10, 3_000)];

/// The late calls; with each, whether the first incarnation has an end that was not acknowledged.
const CALLS: [(LateCall, bool); 4] = [
    (LateCall::Start, false),
    (LateCall::Stop, false),
    (LateCall::Lease, false),
    (LateCall::Acknowledgement, true),
];

/// Events of the orders in which the worker restarts at once.
const RESTARTS: [Event; 4] = [
    Event::CallArrives,
    Event::WorkerRestarts,
    Event::TaskStarts,
    Event::CutBegins,
];
/// Events that are in some of these orders.
const BESIDE_RESTARTS: [&[Event]; 4] = [
    &[Event::LeaderChanges],
    &[Event::WorkerRestarts],
    &[Event::WorkerRestarts, Event::LeaderChanges],
    &[Event::LeaderChanges, Event::LeaderChanges],
];
/// Events of the orders in which the worker is down for some time.
const DOWN: [Event; 4] = [
    Event::CallArrives,
    Event::WorkerGoesDown,
    Event::InstancesListed,
    Event::WorkerReturns,
];
/// Events that are in some of these orders.
const BESIDE_DOWN: [&[Event]; 8] = [
    &[],
    &[Event::LeaderChanges],
    &[Event::WorkerRestarts],
    &[Event::CutBegins],
    &[Event::LeaderChanges, Event::WorkerRestarts],
    &[Event::LeaderChanges, Event::TaskStarts],
    &[Event::LeaderChanges, Event::CutBegins],
    &[Event::TaskStarts, Event::CutBegins],
];

/// Returns all orders.
pub(crate) fn all_orders() -> Vec<Order> {
    let restarts = BESIDE_RESTARTS.iter();
    let restarts = restarts.map(|others| [&RESTARTS, *others].concat());
    let down = BESIDE_DOWN.iter();
    let down = down.map(|others| [&DOWN, *others].concat());
    let sets = restarts.chain(down);
    let orders = sets.flat_map(|events| permutations(&events));
    let orders = orders.filter(|events| !restarts_while_down(events));
    orders.flat_map(|events| variants(&events)).collect()
}

/// Returns whether the worker restarts before its instance is up again.
fn restarts_while_down(events: &[Event]) -> bool {
    let after = events.iter();
    let after = after.skip_while(|event| **event != Event::WorkerGoesDown);
    let mut while_down = after.take_while(|event| **event != Event::WorkerReturns);
    while_down.any(|event| *event == Event::WorkerRestarts)
}

/// Returns the orders of these events that are possible, with each call and at all times.
fn variants(events: &[Event]) -> Vec<Order> {
    let mut all = Vec::new();
    for (call, has_former_end) in CALLS {
        for gaps_ms in GAPS_MS {
            all.extend([false, true].map(|is_listed| Order {
                call,
                has_former_end,
                is_listed,
                gaps_ms,
                events: events.to_vec(),
            }));
        }
    }
    all.retain(Order::is_possible);
    all
}
