//! The orders in which one late call can meet a restart of its worker, a cut of the worker, the end of the
//! task there and a change of leader.

use std::fmt;

use super::links::WorkerCall;

/// Longest time after its loss at which a call arrives, in milliseconds.
const LATE_MAX_MS: u64 = 12_000;
/// Times from the loss of the call to the first event, and from each event to the next, in milliseconds.
const GAPS_MS: [(u64, u64); 6] = [
    (10, 10),
    (200, 200),
    (1_000, 1_000),
    (3_000, 3_000),
    (10, 1_000),
    (10, 3_000),
];

/// What the late call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LateCall {
    Start,
    Stop,
    Lease,
    /// It is sent while the task is at the worker.
    Acknowledgement,
    /// It is sent before the task.
    EarlyAcknowledgement,
}

impl LateCall {
    /// Returns the test for the calls of this kind.
    pub(crate) fn test(self) -> fn(&WorkerCall) -> bool {
        match self {
            Self::Start => WorkerCall::is_start,
            Self::Stop => |call| matches!(call, WorkerCall::Stop(_)),
            Self::Lease => |call| match call {
                WorkerCall::Poll(poll) => poll.lease_end_worker_ms.is_some(),
                _ => false,
            },
            Self::Acknowledgement | Self::EarlyAcknowledgement => |call| match call {
                WorkerCall::Poll(poll) => poll.acknowledged_through > 0,
                _ => false,
            },
        }
    }
}

/// The late calls; with each, whether the first incarnation has an end that was not acknowledged.
const CALLS: [(LateCall, &[bool]); 5] = [
    (LateCall::Start, &[false, true]),
    (LateCall::Stop, &[false, true]),
    (LateCall::Lease, &[false, true]),
    (LateCall::Acknowledgement, &[true]),
    (LateCall::EarlyAcknowledgement, &[true]),
];

/// What happens in an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    CallArrives,
    WorkerRestarts,
    CutBegins,
    CutEnds,
    TaskEnds,
    LeaderChanges,
    /// Another task is submitted that runs on each worker with room.
    TaskStarts,
    /// The worker crashes, and its instance is down.
    WorkerGoesDown,
    /// The leader reads the list of instances.
    InstancesListed,
    /// The worker is back under its id, and its instance is up.
    WorkerReturns,
}

/// Pairs of events of which the first comes before the second.
const PAIRS: [(Event, Event); 3] = [
    (Event::CutBegins, Event::CutEnds),
    (Event::WorkerGoesDown, Event::InstancesListed),
    (Event::InstancesListed, Event::WorkerReturns),
];

/// Events that are in all orders.
const BASE_EVENTS: [Event; 4] = [
    Event::CallArrives,
    Event::CutBegins,
    Event::CutEnds,
    Event::TaskEnds,
];
/// Events that are in some orders beside these.
const OTHER_EVENTS: [&[Event]; 4] = [
    &[],
    &[Event::WorkerRestarts],
    &[Event::LeaderChanges],
    &[Event::WorkerRestarts, Event::LeaderChanges],
];

/// One order of events.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) call: LateCall,
    /// Whether the first incarnation has an end that was read and not acknowledged.
    pub(crate) has_former_end: bool,
    /// Whether the list of workers shows the restart at once.
    pub(crate) is_listed: bool,
    /// Times before the first event and between the others, in milliseconds.
    pub(crate) gaps_ms: (u64, u64),
    pub(crate) events: Vec<Event>,
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (call, events) = (self.call, &self.events);
        let (first_ms, next_ms) = self.gaps_ms;
        write!(f, "{call:?}, {first_ms} and {next_ms} ms, {events:?}")?;
        if self.has_former_end {
            f.write_str(", former end")?;
        }
        if self.is_listed {
            f.write_str(", listed")?;
        }
        Ok(())
    }
}

impl Order {
    /// Returns whether the call arrives while a call may.
    pub(crate) fn is_possible(&self) -> bool {
        self.lateness_ms() <= LATE_MAX_MS
    }

    /// Returns the time from the loss of the call to its arrival, in milliseconds.
    fn lateness_ms(&self) -> u64 {
        let (first_ms, next_ms) = self.gaps_ms;
        let before = self.events.iter();
        let before = before.take_while(|event| **event != Event::CallArrives);
        before.fold(first_ms, |sum_ms, _| sum_ms + next_ms)
    }
}

/// Returns all orders of these events, of which some may repeat, in which the [`PAIRS`] hold.
pub(crate) fn permutations(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (position, last) in events.iter().enumerate() {
        let mut others = events.to_vec();
        others.remove(position);
        let is_repeated = events[..position].contains(last);
        let mut pairs = PAIRS.iter();
        if is_repeated || pairs.any(|(first, second)| first == last && others.contains(second)) {
            continue;
        }
        for mut order in permutations(&others) {
            order.push(*last);
            all.push(order);
        }
    }
    all
}

/// Returns all orders.
pub(crate) fn all_orders() -> Vec<Order> {
    CALLS
        .into_iter()
        .flat_map(|(call, former_ends)| orders_of(call, former_ends))
        .collect()
}

/// Returns the orders of a late call.
fn orders_of(call: LateCall, former_ends: &[bool]) -> Vec<Order> {
    let mut all = Vec::new();
    for others in OTHER_EVENTS {
        let listed: &[bool] = match others.contains(&Event::WorkerRestarts) {
            true => &[false, true],
            false => &[false],
        };
        for events in permutations(&[&BASE_EVENTS, others].concat()) {
            for gaps_ms in GAPS_MS {
                let variants = former_ends
                    .iter()
                    .flat_map(|former| listed.iter().map(move |listed| (*former, *listed)));
                all.extend(variants.map(|(has_former_end, is_listed)| Order {
                    call,
                    has_former_end,
                    is_listed,
                    gaps_ms,
                    events: events.clone(),
                }));
            }
        }
    }
    all.retain(Order::is_possible);
    all
}
