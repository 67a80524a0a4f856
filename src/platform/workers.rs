//! Client of the workers: encodes orders and decodes the answers. Nothing is sent unless `may_send`
//! holds once there is a connection.
//!
//! A worker that has restarted takes calls that were meant for its former incarnation, and the
//! protocol's header names its id alone. Acknowledgements are therefore sent only on a connection on
//! which the incarnation has answered that they are meant for, and so are starts and leases while
//! another leader may lead.

use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::{
    OrderFailure, PaceOrder, PollOrder, PollReply, RunEnd, RunRow, StartOrder, StopOrder, Target,
    TaskName,
};
use crate::logging::Event;
use crate::net::{Call, CallFailure, Client, Link, Reply};

/// Most ends in one answer to a poll. The others follow once these are acknowledged.
const ENDS_PER_ANSWER_COUNT: usize = 500;
/// Most bytes of an answer: 500 ended runs and all active runs of a worker.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// Timeout of an order to a worker, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;
/// Timeout of a poll beyond its wait, in milliseconds.
const POLL_TIMEOUT_MARGIN_MS: u64 = 600;
/// Latest time on a worker's clock, in milliseconds; a larger figure is no time.
const CLOCK_MAX_MS: u64 = 1 << 53;
/// Header with the id of the worker that a call is meant for.
static INSTANCE_HEADER: HeaderName = HeaderName::from_static("x-hawthornladder-expected-instance");

/// What may leave at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing: the leader may no longer act.
    Nothing,
    /// Orders to the incarnation that they are meant for: another leader may lead, whose fence the next
    /// incarnation does not know.
    Confirmed,
    /// All orders: no other leader can lead.
    All,
}

#[derive(Serialize)]
struct StartWire<'o> {
    task: String,
    run: u64,
    spec: &'o str,
    until_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'o str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'o SmolStr>,
}

#[derive(Serialize)]
struct StopWire {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
struct PaceWire {
    task: String,
    run: u64,
    percent: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
struct HoldWire {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fencing_token: u64,
    acked_through: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

// The serializer requires this signature.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct AnswerWire {
    clock_ms: Option<u64>,
    reason: String,
}

#[derive(Deserialize)]
struct HoldAnswerWire<R, E> {
    clock_ms: u64,
    #[serde(default)]
    born: u64,
    running: Vec<R>,
    finished: Vec<E>,
}

/// An active run: task, run, checkpoint, percent and metric.
type RunningWire<'a> = (&'a str, u64, &'a str, u64, u64);
/// An ended run: number, task, run, kind and checkpoint.
type FinishedWire<'a> = (u64, &'a str, u64, &'a str, &'a str);

/// Takes a connection for a call that needs no confirmation, and leaves those that are confirmed to the
/// others.
async fn link(client: &Client, target: &Target, timeout_ms: u64) -> Result<Link, OrderFailure> {
    let is_unconfirmed = |incarnation| incarnation != Some(target.started_unix_ms);
    let link = client
        .link(target.address, timeout_ms, is_unconfirmed)
        .await;
    link.map_err(order_failure)
}

/// Takes a connection on which the incarnation has answered that a call is meant for, if one is idle.
async fn confirmed_link(
    client: &Client,
    target: &Target,
    timeout_ms: u64,
) -> Result<Link, OrderFailure> {
    let is_confirmed = |incarnation| incarnation == Some(target.started_unix_ms);
    let link = client.link(target.address, timeout_ms, is_confirmed).await;
    link.map_err(order_failure)
}

async fn call(
    link: &mut Link,
    target: &Target,
    path: &'static str,
    body: &impl Serialize,
    timeout_ms: u64,
    permission: impl Fn() -> Permission,
) -> Result<Reply, OrderFailure> {
    let id = HeaderValue::from_str(&target.id).map_err(|_| OrderFailure::NotSent)?;
    let body = serde_json::to_vec(body).map_err(|_| OrderFailure::NotSent)?;
    let call = Call {
        address: target.address,
        method: Method::POST,
        path: path.to_owned(),
        headers: vec![(INSTANCE_HEADER.clone(), id)],
        body: Bytes::from(body),
        timeout_ms,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    let reply = link
        .call(call, || permission() != Permission::Nothing)
        .await
        .map_err(order_failure)?;
    match reply.status {
        200 => Ok(reply),
        status => Err(failure_of(status, &reply.body)),
    }
}

fn order_failure(failure: CallFailure) -> OrderFailure {
    match failure {
        CallFailure::NotSent => OrderFailure::NotSent,
        CallFailure::Lost => OrderFailure::Lost,
    }
}

/// Returns whether the incarnation that a call is meant for has answered on this connection.
fn is_confirmed(link: &Link, target: &Target) -> bool {
    target.started_unix_ms == 0 || link.incarnation() == Some(target.started_unix_ms)
}

/// Returns whether a connection has to be confirmed before something is given on it.
fn needs_confirmation(link: &Link, target: &Target, permission: Permission) -> bool {
    permission == Permission::Confirmed && !is_confirmed(link, target)
}

fn failure_of(status: u16, body: &[u8]) -> OrderFailure {
    let wire: AnswerWire = serde_json::from_slice(body).unwrap_or_default();
    match (status, wire.reason.as_str()) {
        (409, "fence") => OrderFailure::Fenced,
        (409, "old") => OrderFailure::Outdated,
        (409, "late") => OrderFailure::Late,
        (409, "room") => OrderFailure::NoCapacity,
        (409, "ticket") => OrderFailure::NoTicket,
        (421, _) => OrderFailure::OtherIncarnation,
        (429 | 503, _) => OrderFailure::Unhealthy,
        (400..=499, _) => OrderFailure::Invalid,
        _ => OrderFailure::Lost,
    }
}

fn clock_of(reply: &Reply) -> Option<u64> {
    let wire: AnswerWire = serde_json::from_slice(&reply.body).unwrap_or_default();
    wire.clock_ms.filter(|clock_ms| *clock_ms <= CLOCK_MAX_MS)
}

/// Starts a run of a task, and returns the worker's clock in milliseconds if the answer has it.
pub async fn start(
    client: &Client,
    order: &StartOrder,
    permission: impl Fn() -> Permission,
) -> Result<Option<u64>, OrderFailure> {
    let body = StartWire {
        task: order.name.to_string(),
        run: order.run.run,
        spec: &order.spec.payload,
        until_ms: order.lease_end_worker_ms,
        fencing_token: order.target.fence,
        checkpoint: &order.checkpoint,
        ticket: order.ticket.as_ref(),
    };
    let path = "/hawthornladder/run-start";
    let target = &order.target;
    let mut link = match permission() {
        Permission::Confirmed => confirmed_link(client, target, ORDER_TIMEOUT_MS).await?,
        _ => link(client, target, ORDER_TIMEOUT_MS).await?,
    };
    if needs_confirmation(&link, target, permission()) {
        confirm(&mut link, target, &permission).await?;
    }
    let is_confirmed = is_confirmed(&link, target);
    // The lease of the leader may have ended meanwhile.
    let permission = || match permission() {
        Permission::Confirmed if !is_confirmed => Permission::Nothing,
        permission => permission,
    };
    let reply = call(&mut link, target, path, &body, ORDER_TIMEOUT_MS, permission).await?;
    Ok(clock_of(&reply))
}

/// Asks which incarnation of a worker is at the other end of a connection, before a start is sent.
async fn confirm(
    link: &mut Link,
    target: &Target,
    permission: impl Fn() -> Permission,
) -> Result<(), OrderFailure> {
    let reply = look(link, target, ORDER_TIMEOUT_MS, permission).await;
    match reply {
        Ok(reply) if target.is_answered_by(&reply) => Ok(()),
        Ok(_) => Err(OrderFailure::Restarted),
        // The question has no answer; the start itself is not sent.
        Err(OrderFailure::Lost) => Err(OrderFailure::NotSent),
        Err(failure) => Err(failure),
    }
}

/// Lists the runs of a worker without giving it anything: no lease, and no acknowledgement.
async fn look(
    link: &mut Link,
    target: &Target,
    timeout_ms: u64,
    permission: impl Fn() -> Permission,
) -> Result<PollReply, OrderFailure> {
    let body = HoldWire {
        until_ms: None,
        fencing_token: target.fence,
        acked_through: 0,
        wait_ms: 0,
    };
    hold(link, target, &body, timeout_ms, permission).await
}

async fn hold(
    link: &mut Link,
    target: &Target,
    body: &HoldWire,
    timeout_ms: u64,
    permission: impl Fn() -> Permission,
) -> Result<PollReply, OrderFailure> {
    let path = "/hawthornladder/hold";
    let reply = call(link, target, path, body, timeout_ms, permission).await?;
    let reply = parse_poll_reply(&reply.body).ok_or(OrderFailure::Invalid)?;
    if reply.started_unix_ms != 0 {
        log_other_incarnation(link, target, reply.started_unix_ms);
        link.set_incarnation(reply.started_unix_ms);
    }
    Ok(PollReply {
        acknowledged_through: body.acked_through,
        ..reply
    })
}

/// Logs that a connection on which one incarnation has answered is used by another one, which is
/// taken to be impossible where a connection stands for an incarnation.
fn log_other_incarnation(link: &Link, target: &Target, started_unix_ms: u64) {
    match link.incarnation() {
        Some(earlier_unix_ms) if earlier_unix_ms != started_unix_ms => {
            Event::new("connection_outlived_worker")
                .with("worker", &target.id)
                .with("born_unix_ms", earlier_unix_ms)
                .with("answered_born_unix_ms", started_unix_ms)
                .warn();
        }
        _ => {}
    }
}

/// Stops a run.
pub async fn stop(
    client: &Client,
    order: &StopOrder,
    permission: impl Fn() -> Permission,
) -> Result<(), OrderFailure> {
    let body = StopWire {
        task: order.name.to_string(),
        run: order.run_number,
        fencing_token: order.target.fence,
    };
    let path = "/hawthornladder/run-stop";
    let mut link = link(client, &order.target, ORDER_TIMEOUT_MS).await?;
    call(
        &mut link,
        &order.target,
        path,
        &body,
        ORDER_TIMEOUT_MS,
        permission,
    )
    .await?;
    Ok(())
}

/// Sets the pace of a run, in percent.
pub async fn pace(
    client: &Client,
    order: &PaceOrder,
    permission: impl Fn() -> Permission,
) -> Result<(), OrderFailure> {
    let body = PaceWire {
        task: order.name.to_string(),
        run: order.run.run,
        percent: order.percent,
        fencing_token: order.target.fence,
    };
    let path = "/hawthornladder/pace";
    let mut link = link(client, &order.target, ORDER_TIMEOUT_MS).await?;
    call(
        &mut link,
        &order.target,
        path,
        &body,
        ORDER_TIMEOUT_MS,
        permission,
    )
    .await?;
    Ok(())
}

/// Polls a worker: renews the lease of all its runs and lists them. The platform's protocol calls
/// this a hold. On a connection on which the incarnation has not answered yet, nothing is acknowledged; the
/// answer confirms the connection for the next poll. If that has not helped before, the incarnation is asked
/// first.
pub async fn poll(
    client: &Client,
    order: &PollOrder,
    permission: impl Fn() -> Permission,
) -> Result<PollReply, OrderFailure> {
    let target = &order.target;
    let timeout_ms = order.wait_ms + POLL_TIMEOUT_MARGIN_MS;
    let mut link = confirmed_link(client, target, timeout_ms).await?;
    let acknowledges = order.acknowledged_through > 0;
    let gives = order.lease_end_worker_ms.is_some() || acknowledges;
    let is_asked = match permission() {
        Permission::Confirmed => gives,
        _ => acknowledges && order.confirms_first,
    };
    if is_asked && !is_confirmed(&link, target) {
        let reply = look(&mut link, target, timeout_ms, &permission).await?;
        if !target.is_answered_by(&reply) {
            return Ok(reply);
        }
    }
    let body = HoldWire {
        until_ms: order.lease_end_worker_ms,
        fencing_token: order.target.fence,
        acked_through: match is_confirmed(&link, target) {
            true => order.acknowledged_through,
            false => 0,
        },
        wait_ms: order.wait_ms,
    };
    hold(&mut link, target, &body, timeout_ms, permission).await
}

/// Parses the answer to a poll. An answer in the usual form takes no allocation for each value;
/// others are parsed value by value, and rows of unknown form are left out.
pub fn parse_poll_reply(body: &[u8]) -> Option<PollReply> {
    type UsualWire<'a> = HoldAnswerWire<RunningWire<'a>, FinishedWire<'a>>;
    let usual: Option<PollReply> = serde_json::from_slice::<UsualWire<'_>>(body)
        .ok()
        .and_then(reply_of);
    let reply = usual.or_else(|| {
        let answer: HoldAnswerWire<serde_json::Value, serde_json::Value> =
            serde_json::from_slice(body).ok()?;
        Some(PollReply {
            clock_ms: answer.clock_ms,
            started_unix_ms: answer.born,
            has_more_ends: answer.finished.len() >= ENDS_PER_ANSWER_COUNT,
            running: answer.running.iter().filter_map(row_of).collect(),
            ended: answer.finished.iter().filter_map(end_of).collect(),
            acknowledged_through: 0,
        })
    });
    reply.filter(|reply| reply.clock_ms <= CLOCK_MAX_MS)
}

/// Converts an answer in the usual form; returns `None` if a value in it is not valid.
fn reply_of(answer: HoldAnswerWire<RunningWire<'_>, FinishedWire<'_>>) -> Option<PollReply> {
    let has_more_ends = answer.finished.len() >= ENDS_PER_ANSWER_COUNT;
    let running = answer.running.into_iter().map(|row| {
        let (task, run_number, checkpoint, percent, metric) = row;
        Some(RunRow {
            name: TaskName::parse(task)?,
            run_number,
            checkpoint: checkpoint.into(),
            percent,
            metric,
        })
    });
    let ended = answer.finished.into_iter().map(|row| {
        let (number, task, run_number, kind, checkpoint) = row;
        Some(RunEnd {
            number,
            name: TaskName::parse(task)?,
            run_number,
            kind: kind.parse().ok()?,
            checkpoint: checkpoint.into(),
        })
    });
    Some(PollReply {
        clock_ms: answer.clock_ms,
        started_unix_ms: answer.born,
        running: running.collect::<Option<_>>()?,
        ended: ended.collect::<Option<_>>()?,
        has_more_ends,
        acknowledged_through: 0,
    })
}

/// Decodes an active run: `[task, run, saved, percent]` and an optional metric.
fn row_of(row: &serde_json::Value) -> Option<RunRow> {
    let number = |at: usize| row.get(at).and_then(serde_json::Value::as_u64);
    Some(RunRow {
        name: TaskName::parse(row.get(0)?.as_str()?)?,
        run_number: number(1)?,
        checkpoint: row
            .get(2)
            .and_then(serde_json::Value::as_str)
            .unwrap_or("")
            .into(),
        percent: number(3).unwrap_or(0),
        metric: number(4).unwrap_or(0),
    })
}

/// Decodes an ended run: `[N, task, run, how, saved]`.
fn end_of(row: &serde_json::Value) -> Option<RunEnd> {
    Some(RunEnd {
        number: row.get(0)?.as_u64()?,
        name: TaskName::parse(row.get(1)?.as_str()?)?,
        run_number: row.get(2)?.as_u64()?,
        kind: row.get(3)?.as_str()?.parse().ok()?,
        checkpoint: row
            .get(4)
            .and_then(serde_json::Value::as_str)
            .unwrap_or("")
            .into(),
    })
}
