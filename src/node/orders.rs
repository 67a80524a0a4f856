//! Executes the orders of the engine: sends each and applies its outcome.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::{
    Action, InstanceOrder, OrderFailure, PaceOrder, PollOrder, StartOrder, StopOrder, TicketRequest,
};
use crate::logging::Event;
use crate::node::leader::{spawn, to_f64};
use crate::node::{Node, Role, WaveReport};
use crate::platform::workers::{self, Permission};
use crate::platform::{advice, instances, status};

/// Pause before a failed report on a wave is retried, in milliseconds.
const WAVE_REPORT_RETRY_MS: u64 = 300;
/// Most attempts to report on a wave.
const WAVE_REPORT_ATTEMPTS_MAX: usize = 40;

impl Node {
    /// Starts to execute an action of the engine.
    pub(crate) fn execute(self: &Rc<Self>, action: Action) {
        let node = Rc::clone(self);
        match action {
            Action::Start(order) => spawn(start(node, order)),
            Action::Stop(order) => spawn(stop(node, order)),
            Action::Pace(order) => spawn(pace(node, order)),
            Action::Poll(order) => spawn(poll(node, order)),
            Action::RequestTickets(request) => spawn(request_tickets(node, request)),
            Action::Instance(order) => spawn(order_instance(node, order)),
            Action::ReportWave { wave, is_complete } => spawn(report_wave(node, wave, is_complete)),
        }
    }

    /// Returns which orders of the leadership under `fence` may leave: none unless this node still leads
    /// under it and may still act.
    fn permission(&self, fence: u64) -> Permission {
        let now_ms = self.now_ms();
        let is_exclusive = self.with_leader(fence, |leader| leader.engine.was_exclusive_at(now_ms));
        match is_exclusive {
            Some(_) if !self.may_act() => Permission::Nothing,
            Some(true) => Permission::All,
            Some(false) => Permission::Confirmed,
            None => Permission::Nothing,
        }
    }

    /// Returns the fence of this node's lease, if that is valid now.
    fn valid_fence(&self) -> Option<u64> {
        match self.leadership.borrow().role(self.now_ms()) {
            Role::Leader {
                fence,
                is_valid: true,
            } => Some(fence),
            _ => None,
        }
    }

    fn record_order(&self, kind: &'static str, outcome: &'static str, sent_ms: u64) {
        self.metrics.count_order(kind, outcome);
        self.metrics
            .order_ms
            .observe(to_f64(self.now_ms().saturating_sub(sent_ms)));
    }
}

async fn start(node: Rc<Node>, order: StartOrder) {
    let sent_ms = node.now_ms();
    node.count_load(|load| load.starts_count += 1);
    let fence = order.target.fence;
    let answer = workers::start(&node.client, &order, || node.permission(fence)).await;
    let now_ms = node.now_ms();
    node.record_order("start", answer.map_or_else(Into::into, |_| "ok"), sent_ms);
    node.with_leader(fence, |leader| match answer {
        Ok(clock_ms) => leader.engine.start_accepted(&order, clock_ms, now_ms),
        Err(failure) => leader.engine.start_failed(&order, failure, now_ms),
    });
    node.request_step();
}

async fn stop(node: Rc<Node>, order: StopOrder) {
    let sent_ms = node.now_ms();
    let fence = order.target.fence;
    let answer = workers::stop(&node.client, &order, || node.permission(fence)).await;
    let now_ms = node.now_ms();
    node.record_order("stop", answer.map_or_else(Into::into, |()| "ok"), sent_ms);
    node.with_leader(fence, |leader| match answer {
        Ok(()) => leader.engine.stop_accepted(&order, now_ms),
        Err(failure) => leader.engine.stop_failed(&order, failure, now_ms),
    });
    node.request_step();
}

async fn pace(node: Rc<Node>, order: PaceOrder) {
    let sent_ms = node.now_ms();
    let fence = order.target.fence;
    let answer = workers::pace(&node.client, &order, || node.permission(fence)).await;
    let now_ms = node.now_ms();
    node.record_order("pace", answer.map_or_else(Into::into, |()| "ok"), sent_ms);
    if answer.is_err() {
        node.with_leader(fence, |leader| {
            leader.engine.pace_failed(&order, now_ms);
        });
    }
}

async fn poll(node: Rc<Node>, order: PollOrder) {
    let sent_ms = node.now_ms();
    node.count_load(|load| load.polls_count += 1);
    let fence = order.target.fence;
    let answer = workers::poll(&node.client, &order, || node.permission(fence)).await;
    let now_ms = node.now_ms();
    let outcome = answer
        .as_ref()
        .map_or_else(|failure| (*failure).into(), |_| "ok");
    node.record_order("look", outcome, sent_ms);
    let may_order = node.permission(fence) != Permission::Nothing;
    node.with_leader(fence, |leader| match answer {
        Ok(reply) => leader.engine.poll_answered(&order, reply, now_ms),
        Err(OrderFailure::NotSent) if !may_order => {
            leader.engine.poll_withheld(&order, now_ms);
        }
        Err(failure) => leader.engine.poll_failed(&order, failure, now_ms),
    });
    node.request_step();
}

async fn request_tickets(node: Rc<Node>, request: TicketRequest) {
    let answer = match node.settings.tickets_address {
        Some(address) => advice::request_tickets(&node.client, address, &request).await,
        None => None,
    };
    let now_ms = node.now_ms();
    node.with_engine(|engine, _| engine.tickets_answered(&request, answer, now_ms));
    node.request_step();
}

async fn order_instance(node: Rc<Node>, order: InstanceOrder) {
    let Some(address) = node.settings.instances_address else {
        return;
    };
    let Some(fence) = node.valid_fence() else {
        return;
    };
    let sent_ms = node.now_ms();
    let sender = (node.settings.name.as_str(), fence);
    let may_send = || node.valid_fence() == Some(fence);
    let answer = instances::order(&node.client, address, &order, sender, may_send).await;
    let now_ms = node.now_ms();
    let outcome = match answer {
        Ok(()) => "ok",
        Err(_) => "failed",
    };
    node.record_order("instance", outcome, sent_ms);
    node.with_leader(fence, |leader| {
        leader.engine.instance_answered(&order, answer, now_ms);
    });
    node.request_step();
}

/// Writes a report on a wave, until the store has taken it, a newer one follows, or this node no
/// longer leads.
async fn report_wave(node: Rc<Node>, wave: u64, is_complete: bool) {
    let added = node.leader_state.borrow_mut().as_mut().map(|leader| {
        let fence = leader.engine.fence();
        (fence, leader.wave_reports.add(wave))
    });
    let Some((fence, number)) = added else {
        return;
    };
    let report = WaveReport { wave, is_complete };
    // Without a valid lease, a later leader may have reported more.
    let may_report = || node.valid_fence() == Some(fence);
    let mut attempts_count = 0;
    while attempts_count < WAVE_REPORT_ATTEMPTS_MAX {
        let is_newest =
            node.with_leader(fence, |leader| leader.wave_reports.is_newest(wave, number));
        if is_newest != Some(true) {
            return;
        }
        if may_report() {
            attempts_count += 1;
            if send_report(&node, fence, report, may_report).await {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(WAVE_REPORT_RETRY_MS)).await;
    }
}

/// Sends a report on a wave and returns whether the store has taken it.
async fn send_report(
    node: &Rc<Node>,
    fence: u64,
    report: WaveReport,
    may_send: impl Fn() -> bool,
) -> bool {
    let sent_ms = node.now_ms();
    let end_offset = node.with_leader(fence, |leader| leader.wave_reports.end_offset);
    let end_offset = end_offset.unwrap_or_default();
    let reported = status::report_wave(&node.store, report, end_offset, may_send).await;
    node.record_store_call("status", &reported, sent_ms);
    match reported {
        Ok(end_offset) => {
            node.with_leader(fence, |leader| leader.wave_reports.end_offset = end_offset);
        }
        Err(failure) => Event::new("wave_report_failed")
            .with("wave", report.wave)
            .with("failure", failure)
            .warn(),
    }
    reported.is_ok()
}
