//! Plays orders of late calls in threads, and checks those in which the call meets the same.

use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::thread;

use super::late_call_orders::Order;
use super::late_call_play::{Arrival, Play};

/// Number of threads that play orders.
const THREADS_COUNT: usize = 3;

/// An order that was played.
pub(crate) struct Played {
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

/// Returns one order of `stride`, or of as many as the variable says.
pub(crate) fn every(stride: usize, orders: Vec<Order>) -> Vec<Order> {
    let variable = std::env::var("LATE_CALLS_STRIDE").ok();
    let stride = variable.map_or(stride, |text| text.parse().expect("a number"));
    orders.into_iter().step_by(stride).collect()
}

/// Plays orders.
pub(crate) fn play_all(orders: &[Order]) -> Vec<Played> {
    let part_len = orders.len().div_ceil(THREADS_COUNT);
    thread::scope(|scope| {
        let parts = orders.chunks(part_len);
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().map(play).collect::<Vec<_>>()))
            .collect();
        let parts = threads.into_iter().map(|thread| thread.join());
        parts.flat_map(|part| part.expect("no panic")).collect()
    })
}

/// Checks that all orders hold in which the call meets one of these.
pub(crate) fn check(played: &[Played], arrivals: &[Arrival]) {
    let orders = played.iter();
    let orders = orders.filter(|played| arrivals.contains(&played.arrival));
    let all_count = orders.clone().count();
    let broken: Vec<String> = orders
        .filter_map(|played| Some((played, played.failure.as_ref()?)))
        .map(|(Played { order, arrival, .. }, failure)| format!("{arrival:?}, {order}: {failure}"))
        .collect();
    let count = broken.len();
    println!(
        "{arrivals:?}: {count} of {all_count} orders are broken, {} in all",
        played.len()
    );
    assert!(all_count > 0, "no such order");
    assert!(
        broken.is_empty(),
        "{count} of {all_count} orders are broken:\n{}",
        broken.join("\n")
    );
}
