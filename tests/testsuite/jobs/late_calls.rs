//! A small model of one call that arrives late. In each of the enumerated orders the checks of the simulation
//! have to hold, and the task has to be done in the end.
//!
//! `LATE_CALLS_STRIDE=1 cargo test --test testsuite jobs::late_calls` plays all orders.

use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::LazyLock;
use std::thread;

use super::late_call_orders::{all_orders, Order};
use super::late_call_play::{Arrival, Play};

/// Of this many orders one is played; prime, so that the variants of an order take turns.
const STRIDE: usize = 23;
/// Number of threads that play orders.
const THREADS_COUNT: usize = 4;

/// An order that was played.
struct Played {
    order: Order,
    arrival: Arrival,
    /// What the check said that failed, if one did.
    failure: Option<String>,
}

fn play(order: &Order) -> Played {
    let mut play = Play::open(order.has_former_end);
    let outcome = catch_unwind(AssertUnwindSafe(|| play.play(order)));
    Played {
        order: order.clone(),
        arrival: play.outcome(),
        failure: outcome.err().map(|panic| message(&*panic)),
    }
}

/// Returns what the check that failed says.
fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.unwrap_or_else(|| format!("{:?}", panic.downcast_ref::<&str>()))
}

/// Returns the orders to play.
fn orders() -> Vec<Order> {
    let variable = std::env::var("LATE_CALLS_STRIDE").ok();
    let stride = variable.map_or(STRIDE, |text| text.parse().expect("a number"));
    all_orders().into_iter().step_by(stride).collect()
}

/// Plays the orders, once for all tests.
fn played() -> &'static [Played] {
    static PLAYED: LazyLock<Vec<Played>> = LazyLock::new(|| {
        let orders = orders();
        let part_len = orders.len().div_ceil(THREADS_COUNT);
        thread::scope(|scope| {
            let parts = orders.chunks(part_len);
            let threads: Vec<_> = parts
                .map(|part| scope.spawn(move || part.iter().map(play).collect::<Vec<_>>()))
                .collect();
            let parts = threads.into_iter().map(|thread| thread.join());
            parts.flat_map(|part| part.expect("no panic")).collect()
        })
    });
    &PLAYED
}

/// Checks that all orders hold in which the call meets one of these.
fn check(arrivals: &[Arrival]) {
    let orders = played().iter();
    let orders = orders.filter(|played| arrivals.contains(&played.arrival));
    let all_count = orders.clone().count();
    let broken: Vec<String> = orders
        .filter_map(|played| Some((&played.order, played.failure.as_ref()?)))
        .map(|(order, failure)| format!("{order}: {failure}"))
        .collect();
    let count = broken.len();
    println!(
        "{arrivals:?}: {count} of {all_count} orders are broken, {} in all",
        played().len()
    );
    assert!(all_count > 0, "no such order");
    assert!(
        broken.is_empty(),
        "{count} of {all_count} orders are broken:\n{}",
        broken.join("\n")
    );
}

/// Guards against a task that is lost or runs again after a call has arrived late, also in another
/// incarnation (issue 61).
#[test]
fn a_late_call_neither_loses_nor_repeats_a_task() {
    check(&[Arrival::Harmless, Arrival::Start]);
}

/// Guards against a task that runs twice: its worker is silent, and the leader takes the leases there for
/// over, which the next incarnation counts from the late start.
#[test]
fn a_late_start_is_not_taken_for_lapsed() {
    check(&[Arrival::LapsedStart]);
}

/// Guards against a task that runs twice: its start was lost and blocked, it was started again, and the
/// worker restarts and takes the late start.
#[test]
fn a_late_start_repeats_no_task_that_was_ordered_again() {
    check(&[Arrival::RepeatedStart]);
}

/// Guards against a task that runs twice: the start of a former leader reaches an incarnation that does not
/// know the fence of the present one.
#[test]
fn a_late_start_of_a_former_leader_repeats_no_task() {
    check(&[Arrival::FormerLeadersStart]);
}

/// Guards against a task that runs twice: an acknowledgement without an answer reaches the next
/// incarnation, and drops an end there that nobody has read.
#[test]
fn a_late_acknowledgement_drops_no_end_of_the_next_incarnation() {
    check(&[Arrival::Acknowledgement]);
}
