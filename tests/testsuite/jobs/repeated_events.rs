//! A second small model of one call that arrives late, among events that repeat. In each of the enumerated
//! orders the checks of the simulation have to hold, and the tasks have to be done in the end.
//!
//! `LATE_CALLS_STRIDE=1 cargo test --test testsuite jobs::repeated_events` plays all orders.

use std::sync::LazyLock;

use super::late_call_check::{check, every, play_all, Played};
use super::late_call_play::Arrival;
use super::repeated_event_orders::all_orders;

/// Of this many orders one is played; prime, so that the variants of an order take turns.
const STRIDE: usize = 29;

/// Plays the orders, once for all tests.
fn played() -> &'static [Played] {
    static PLAYED: LazyLock<Vec<Played>> = LazyLock::new(|| play_all(&every(STRIDE, all_orders())));
    &PLAYED
}

/// Guards against a task that runs twice: a late call has given a lease to an incarnation that the next leader
/// takes for one that nobody else has called (issue 64, seed 200).
#[test]
fn a_late_call_among_repeated_events_neither_loses_nor_repeats_a_task() {
    let acknowledgements = Arrival::Acknowledgement;
    check(
        played(),
        &[Arrival::Harmless, Arrival::Start, acknowledgements],
    );
}

/// Guards against a task that runs twice: its start is on its way while its worker is taken for gone, it is
/// started elsewhere, and the worker is back under its id (issue 64, seed 214).
#[test]
fn a_late_start_at_a_worker_that_was_gone_repeats_no_task() {
    check(played(), &[Arrival::RemovedStart]);
}

/// As above; the start arrives inside a cut, after which the leader takes it for one that no longer arrives.
#[test]
fn a_late_start_at_a_cut_off_worker_that_was_gone_repeats_no_task() {
    check(played(), &[Arrival::CutOffRemovedStart]);
}

/// Guards against a task that runs twice: the leader takes the leases of a silent worker for over, which the
/// next incarnation counts from the late start.
#[test]
fn a_late_start_among_repeated_events_is_not_taken_for_lapsed() {
    check(played(), &[Arrival::LapsedStart]);
}

/// Guards against a task that runs twice: its start was lost, and arrives inside a cut at a worker that has
/// restarted twice since, of which the leader knows one incarnation.
#[test]
fn a_late_start_after_two_restarts_repeats_no_task() {
    check(played(), &[Arrival::LaterIncarnationStart]);
}

/// Guards against a task that runs twice: it was started again, and a later incarnation takes the late start.
#[test]
fn a_late_start_among_repeated_events_repeats_no_task_that_was_ordered_again() {
    check(played(), &[Arrival::RepeatedStart]);
}

/// Guards against a task that runs twice: a former leader's poll reaches an incarnation inside a cut, which
/// counts a lease from then, and the present leader counts from its own beginning.
#[test]
fn a_late_lease_of_a_former_leader_inside_a_cut_repeats_no_task() {
    check(played(), &[Arrival::FormerLeadersLease]);
}

/// Guards against a task that runs twice: the start of a former leader reaches an incarnation that does not
/// know the fence of the present one.
#[test]
fn a_late_start_of_a_former_leader_among_repeated_events_repeats_no_task() {
    check(played(), &[Arrival::FormerLeadersStart]);
}
