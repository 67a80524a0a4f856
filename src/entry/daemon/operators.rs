//! Answers to operators: metrics, status and readiness from the published state, explanations and
//! withdrawals of keys through the engine.

use std::{
    sync::{atomic::Ordering, Arc, Weak},
    time::Duration,
};

use indexmap::IndexMap;
use serde_json::json;
use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::{
    adapters::{
        operators_http::{OperatorAnswer, OperatorCall, OperatorHandler},
        peers_rpc::{PeerAnswer, PeerCall, WithdrawAtPeer},
    },
    entry::{
        daemon::{lock, peers, Shared},
        event::Event,
    },
    error::{ErrorKind, RetryReason},
    ledger::KeyId,
    ports::Platform,
};

/// Maximum time to wait for the engine's answer.
const ENGINE_WAIT: Duration = Duration::from_secs(2);

/// Returns the handler of the operators' port.
pub(crate) fn handler<P: Platform>(shared: &Arc<Shared<P>>) -> OperatorHandler {
    let shared: Weak<Shared<P>> = Arc::downgrade(shared);
    Arc::new(move |call| match shared.upgrade() {
        Some(shared) => answer(&shared, call),
        None => failed(ErrorKind::Draining),
    })
}

fn answer<P: Platform>(shared: &Arc<Shared<P>>, call: OperatorCall) -> OperatorAnswer {
    match call {
        OperatorCall::Ready => ready(shared),
        OperatorCall::Metrics => OperatorAnswer::Text {
            status: 200,
            content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
            body: shared.metrics.encode(),
        },
        OperatorCall::Status => {
            let mut status = lock(&shared.published).status.clone();
            status.refused = refused(shared);
            status.retried = retried(shared);
            OperatorAnswer::Json {
                status: 200,
                body: serde_json::to_value(status).unwrap_or_default(),
            }
        }
        OperatorCall::Explain(question) => {
            let (reply, receiver) = flume::bounded(1);
            shared.send_event(Event::Explain { question, reply });
            match receiver.recv_timeout(ENGINE_WAIT) {
                Ok(explanation) => OperatorAnswer::Json {
                    status: 200,
                    body: serde_json::to_value(explanation).unwrap_or_default(),
                },
                Err(_) => failed(ErrorKind::EntryNotReady),
            }
        }
        OperatorCall::WithdrawKey(order) => withdraw(shared, order.key_id),
    }
}

/// Returns all refusals counted, including those of the callers' interface, which the engine does
/// not see.
fn refused<P: Platform>(shared: &Shared<P>) -> IndexMap<SmolStr, u64> {
    ErrorKind::iter()
        .map(|kind| {
            (
                SmolStr::new(kind.name()),
                shared.metrics.refusals_count(kind),
            )
        })
        .filter(|(_, count)| *count > 0)
        .collect()
}

/// Returns all retries counted, including those of calls to the platform and to peers.
fn retried<P: Platform>(shared: &Shared<P>) -> IndexMap<SmolStr, u64> {
    RetryReason::iter()
        .map(|reason| {
            (
                SmolStr::new(reason.to_string()),
                shared.metrics.retries_count(reason),
            )
        })
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn ready<P: Platform>(shared: &Shared<P>) -> OperatorAnswer {
    let is_serving = shared.is_serving.load(Ordering::Acquire);
    let (status, body) = match is_serving {
        true => (200, "ready\n"),
        false => (503, "not ready\n"),
    };
    OperatorAnswer::Text {
        status,
        content_type: "text/plain; charset=utf-8",
        body: body.to_owned(),
    }
}

/// Withdraws a key here and at every peer; answers with the seats that acknowledged it.
///
/// The withdrawal is in force everywhere once a majority of the live seats has acknowledged it: an
/// entry that has contact neither with the log nor with a majority refuses work.
fn withdraw<P: Platform>(shared: &Arc<Shared<P>>, key_id: KeyId) -> OperatorAnswer {
    if !peers::withdraw_here(shared, &key_id) {
        return failed(ErrorKind::EntryNotReady);
    }
    let (own, peers_known) = {
        let published = lock(&shared.published);
        (published.status.seat.clone(), published.peers.clone())
    };
    let seats_count = peers_known.len() + 1;
    let (acks, acks_receiver) = flume::bounded(peers_known.len().max(1));
    for peer in peers_known {
        let (shared_for_call, acks) = (Arc::clone(shared), acks.clone());
        let call = PeerCall::WithdrawKey(WithdrawAtPeer {
            key_id: key_id.clone(),
        });
        shared.background_tasks.run(move || {
            let answer = peers::call(&shared_for_call, &peer.address, &call);
            if matches!(answer, Ok(PeerAnswer::Ordered { .. })) {
                let _ = acks.try_send(peer.seat);
            }
        });
    }
    drop(acks);
    let mut acknowledged = vec![own];
    acknowledged.extend(acks_receiver.iter());
    OperatorAnswer::Json {
        status: 200,
        body: json!({
            "key_id": key_id,
            "seats_count": seats_count,
            "acknowledged_count": acknowledged.len(),
            "is_in_force_everywhere": acknowledged.len() * 2 > seats_count,
            "acknowledged": acknowledged,
        }),
    }
}

fn failed(kind: ErrorKind) -> OperatorAnswer {
    OperatorAnswer::Failed {
        kind,
        detail: Default::default(),
    }
}
