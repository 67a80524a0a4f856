//! A small model of one call that arrives late. In each of the enumerated orders the checks of the simulation
//! have to hold, and the task has to be done in the end.
//!
//! `LATE_CALLS_STRIDE=1 cargo test --test testsuite jobs::late_calls` plays all orders.

use std::sync::LazyLock;

use super::late_call_check::{check, every, play_all, Played};
use super::late_call_orders::all_orders;
use super::late_call_play::Arrival;

/// Of this many orders one is played; prime, so that the variants of an order take turns.
const STRIDE: usize = 23;
/// Plays the orders, once for all tests.
fn played() -> &'static [Played] {
    static PLAYED: LazyLock<Vec<Played>> = LazyLock::new(|| play_all(&every(STRIDE, all_orders())));
    &PLAYED
}

/// Guards against a task that is lost or runs again after a call has arrived late, also in another
/// incarnation (issue 61).
#[test]
fn a_late_call_neither_loses_nor_repeats_a_task() {
    let arrivals = [
        Arrival::Harmless,
        Arrival::Start,
        Arrival::RemovedStart,
        Arrival::CutOffRemovedStart,
        Arrival::FormerLeadersLease,
    ];
    check(played(), &arrivals);
}

/// Guards against a task that runs twice: its worker is silent, and the leader takes the leases there for
/// over, which the next incarnation counts from the late start.
#[test]
fn a_late_start_is_not_taken_for_lapsed() {
    check(played(), &[Arrival::LapsedStart]);
}

/// Guards against a task that runs twice: its start was lost and blocked, it was started again, and the
/// worker restarts and takes the late start.
#[test]
fn a_late_start_repeats_no_task_that_was_ordered_again() {
    check(played(), &[Arrival::RepeatedStart]);
}

/// Guards against a task that runs twice: the start of a former leader reaches an incarnation that does not
/// know the fence of the present one.
#[test]
fn a_late_start_of_a_former_leader_repeats_no_task() {
    check(played(), &[Arrival::FormerLeadersStart]);
}

/// Guards against a task that runs twice: an acknowledgement without an answer reaches the next
/// incarnation, and drops an end there that nobody has read.
#[test]
fn a_late_acknowledgement_drops_no_end_of_the_next_incarnation() {
    check(played(), &[Arrival::Acknowledgement]);
}
