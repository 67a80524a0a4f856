//! Callers of the leader that wait until a record is persisted.

use hawthornladder::jobs::{JobId, Settled};
use hawthornladder::node::{CallAnswer, Waiters};

/// Guards against a cancel that is answered once the job's acceptance is persisted, and that the next
/// leader does not know of.
#[test]
fn a_cancel_is_not_answered_by_the_record_of_the_acceptance() {
    let id = JobId(1);
    let mut waiters = Waiters::default();
    let mut submitted = waiters.add(Settled::Accepted(id));
    let mut cancelled = waiters.add(Settled::Ended(id));
    waiters.answer(Settled::Accepted(id));
    assert_eq!(submitted.try_recv(), Ok(CallAnswer::Accepted));
    assert!(cancelled.try_recv().is_err(), "the cancel is not persisted");
    assert_eq!(waiters.count(), 1);
    waiters.answer(Settled::Ended(id));
    assert_eq!(cancelled.try_recv(), Ok(CallAnswer::Cancelled));
}

#[test]
fn a_record_answers_only_the_callers_that_wait_for_its_job() {
    let mut waiters = Waiters::default();
    let mut other = waiters.add(Settled::Accepted(JobId(2)));
    waiters.answer(Settled::Accepted(JobId(1)));
    assert!(other.try_recv().is_err());
    drop(waiters);
    // The caller learns that the outcome is not known.
    assert!(other.try_recv().is_err());
}
