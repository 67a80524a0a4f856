//! Calls between entries: each sends gossip to every other several times a second, answers calls of
//! peers, and fetches records from peers while the log is unavailable.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, OnceLock, Weak,
    },
    thread::JoinHandle,
    time::Duration,
};

use indexmap::{map::Entry, IndexMap};
use smol_str::SmolStr;

use crate::{
    adapters::peers_rpc::{
        CancelAtPeer, PeerAnswer, PeerCall, PeerClient, PeerHandler, SnapshotChunk,
        SnapshotRequest, TailRequest,
    },
    entry::{
        daemon::{
            lock,
            platform_threads::{relay, sleep_unless_stopped},
            spawn_thread, PeerAddress, Shared,
        },
        event::{Event, Source},
        gossip_pacing::GossipPacing,
    },
    error::{ErrorKind, RetryReason},
    fleet::Offset,
    ledger::KeyId,
    ports::{Clock, LogPage, Platform, PortError},
};

/// Maximum number of records relayed by one call.
const TAIL_MAX_RECORDS: u32 = 1_024;

/// Handler of the peers' port that refuses calls until the shared state exists.
///
/// The port must be bound before the shared state is built, because that includes the port's
/// address.
pub(crate) struct DeferredHandler {
    serve: Arc<OnceLock<PeerHandler>>,
}

impl Default for DeferredHandler {
    fn default() -> Self {
        Self {
            serve: Arc::new(OnceLock::new()),
        }
    }
}

impl DeferredHandler {
    /// Returns the handler; it refuses calls until [`Self::set`] is called.
    pub(crate) fn handler(&self) -> PeerHandler {
        let serve = Arc::clone(&self.serve);
        Arc::new(move |call| match serve.get() {
            Some(serve) => serve(call),
            None => PeerAnswer::Failed {
                kind: ErrorKind::EntryNotReady,
            },
        })
    }

    /// Lets the handler answer from `shared`.
    pub(crate) fn set<P: Platform>(&self, shared: &Arc<Shared<P>>) {
        let shared: Weak<Shared<P>> = Arc::downgrade(shared);
        let serve: PeerHandler = Arc::new(move |call| match shared.upgrade() {
            Some(shared) => answer(&shared, call),
            None => PeerAnswer::Failed {
                kind: ErrorKind::Draining,
            },
        });
        let _ = self.serve.set(serve);
    }
}

/// Calls a peer with a new client.
pub(crate) fn call<P: Platform>(
    shared: &Shared<P>,
    address: &str,
    call: &PeerCall,
) -> Result<PeerAnswer, PortError> {
    PeerClient::open(address, shared.settings.peer_timeout_ms)?.call(call)
}

/// Maximum number of calls for one relayed cancel.
const RELAY_TRIES_COUNT: u32 = 4;

/// Relays a caller's cancel to a peer.
///
/// The caller has the answer already, so a relay whose answer is lost is repeated. A cancel that the
/// peer has carried out has no effect the second time.
pub(crate) fn relay_cancel<P: Platform>(
    shared: &Arc<Shared<P>>,
    address: SmolStr,
    cancel: CancelAtPeer,
) {
    try_relay_cancel(shared, address, cancel, RELAY_TRIES_COUNT);
}

/// Queues one call for a relayed cancel. The next one goes to the end of the queue, so that a silent
/// peer does not hold up the cancels to others.
fn try_relay_cancel<P: Platform>(
    shared: &Arc<Shared<P>>,
    address: SmolStr,
    cancel: CancelAtPeer,
    tries_count: u32,
) {
    let relaying = Arc::clone(shared);
    shared.cancels.run(move || {
        let order = PeerCall::Cancel(cancel.clone());
        match call(&relaying, &address, &order) {
            Ok(_) => {}
            Err(_) if tries_count > 1 => {
                try_relay_cancel(&relaying, address, cancel, tries_count - 1);
            }
            Err(error) => log::warn!("event=cancel_not_relayed peer={address} error={error}"),
        }
    });
}

/// Answers a peer's call.
fn answer<P: Platform>(shared: &Shared<P>, call: PeerCall) -> PeerAnswer {
    match call {
        PeerCall::Gossip(gossip) => {
            // A call may have been delayed, so its content may be old. Only answers to this entry's
            // own calls count as contact.
            let _ = shared.events.try_send(Event::Hint {
                gossip: gossip.clone(),
            });
            let own = lock(&shared.published).gossip.clone();
            PeerAnswer::Gossip(Box::new(own))
        }
        PeerCall::Tail(request) => PeerAnswer::Tail(tail(shared, &request)),
        PeerCall::Snapshot(request) => snapshot_chunk(shared, &request),
        PeerCall::WithdrawKey(order) => match withdraw_here(shared, &order.key_id) {
            true => PeerAnswer::Ordered { was_known: true },
            false => PeerAnswer::Failed {
                kind: ErrorKind::EntryNotReady,
            },
        },
        PeerCall::Cancel(order) => {
            shared.send_event(Event::PeerCancel {
                team: order.team,
                request_id: order.request_id,
            });
            PeerAnswer::Ordered { was_known: true }
        }
        PeerCall::Status => {
            let status = lock(&shared.published).status.clone();
            PeerAnswer::Status(serde_json::to_value(status).unwrap_or_default())
        }
    }
}

/// Withdraws a key at this entry; returns whether the withdrawal is in force here now.
pub(crate) fn withdraw_here<P: Platform>(shared: &Shared<P>, key_id: &KeyId) -> bool {
    let (reply, receiver) = flume::bounded(1);
    shared.send_event(Event::Withdraw {
        key_id: key_id.clone(),
    });
    // Events are handled in order, so this one is answered after the withdrawal is in force.
    shared.send_event(Event::Ping { reply });
    let wait = Duration::from_millis(shared.settings.peer_timeout_ms);
    receiver.recv_timeout(wait).is_ok()
}

fn tail<P: Platform>(shared: &Shared<P>, request: &TailRequest) -> LogPage {
    let relay = lock(&shared.relay);
    let records = relay
        .records
        .iter()
        .filter(|record| record.offset >= request.from_offset)
        .take(request.records_max_count as usize)
        .cloned()
        .collect();
    LogPage {
        records,
        head_offset: relay.head_offset,
        oldest_offset: relay.oldest_offset,
    }
}

/// Size of one chunk of a relayed ledger, in bytes.
const CHUNK_BYTES: usize = 1024 * 1024;

fn snapshot_chunk<P: Platform>(shared: &Shared<P>, request: &SnapshotRequest) -> PeerAnswer {
    let (reply, receiver) = flume::bounded(1);
    shared.send_event(Event::GetLedger { reply });
    let wait = Duration::from_millis(shared.settings.peer_timeout_ms);
    let Ok((at_offset, text)) = receiver.recv_timeout(wait) else {
        return PeerAnswer::Failed {
            kind: ErrorKind::EntryNotReady,
        };
    };
    if request.at_offset.is_some_and(|wanted| wanted != at_offset) {
        return PeerAnswer::Failed {
            kind: ErrorKind::VersionConflict,
        };
    }
    let chunks = crate::ledger::split_at_chars(&text, CHUNK_BYTES);
    match chunks.get(request.chunk_index as usize) {
        Some(chunk) => PeerAnswer::Snapshot(SnapshotChunk {
            at_offset,
            chunk_index: request.chunk_index,
            chunks_count: chunks.len() as u32,
            text: (*chunk).to_owned(),
        }),
        None => PeerAnswer::Failed {
            kind: ErrorKind::MalformedRequest,
        },
    }
}

/// Fetches records from a peer, or its whole ledger if the peer no longer has the next record.
pub(crate) fn pull_tail<P: Platform>(shared: &Shared<P>, address: &str, from_offset: Offset) {
    let sent_ms = shared.platform.clock().mono_ms();
    let request = PeerCall::Tail(TailRequest {
        from_offset,
        records_max_count: TAIL_MAX_RECORDS,
        wait_ms: 0,
    });
    match call(shared, address, &request) {
        Ok(PeerAnswer::Tail(page)) if starts_at(&page, from_offset) => {
            relay(shared, &page);
            shared.send_event(Event::LogPage {
                sent_ms,
                from_offset,
                page,
                source: Source::Peer,
            });
        }
        // The peer no longer has the records from `from_offset` on.
        Ok(PeerAnswer::Tail(page)) if !page.records.is_empty() => pull_ledger(shared, address),
        Ok(_) => {}
        Err(error) => log::warn!("event=pull_failed peer={address} error={error}"),
    }
}

fn starts_at(page: &LogPage, from_offset: Offset) -> bool {
    let first = page.records.first();
    first.is_some_and(|record| record.offset == from_offset)
}

/// Fetches the whole ledger from a peer.
pub(crate) fn pull_ledger<P: Platform>(shared: &Shared<P>, address: &str) {
    let mut text = String::new();
    let mut at_offset = None;
    let mut chunk_index = 0;
    loop {
        let request = PeerCall::Snapshot(SnapshotRequest {
            at_offset,
            chunk_index,
        });
        let Ok(PeerAnswer::Snapshot(chunk)) = call(shared, address, &request) else {
            return;
        };
        at_offset = Some(chunk.at_offset);
        text.push_str(&chunk.text);
        chunk_index += 1;
        if chunk_index >= chunk.chunks_count {
            break;
        }
    }
    shared.send_event(Event::PeerLedger { text });
}

/// Starts the thread that exchanges gossip with every peer.
pub(crate) fn spawn<P: Platform>(shared: &Arc<Shared<P>>) -> io::Result<JoinHandle<()>> {
    let shared = Arc::clone(shared);
    spawn_thread("gossip", move || gossip_all(&shared))
}

/// The connection to one peer for exchanges of gossip.
struct Link {
    client: Arc<PeerClient>,
    is_busy: Arc<AtomicBool>,
    pacing: GossipPacing,
}

fn gossip_all<P: Platform>(shared: &Arc<Shared<P>>) {
    let every = Duration::from_millis(shared.settings.peer_gossip_ms);
    let mut links: IndexMap<SmolStr, Link> = IndexMap::new();
    while !shared.is_stopped() {
        let addresses = peer_addresses(shared);
        links.retain(|address, _| addresses.contains(address));
        for address in addresses {
            let link = match links.entry(address.clone()) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => {
                    match PeerClient::open(&address, shared.settings.peer_timeout_ms) {
                        Ok(client) => entry.insert(Link {
                            client: Arc::new(client),
                            is_busy: Arc::new(AtomicBool::new(false)),
                            pacing: GossipPacing::default(),
                        }),
                        Err(_) => continue,
                    }
                }
            };
            exchange(shared, link);
        }
        sleep_unless_stopped(shared, every);
    }
}

/// Returns the addresses of the peers in the ledger or, while it has none, those in the settings.
fn peer_addresses<P: Platform>(shared: &Shared<P>) -> Vec<SmolStr> {
    let peers: Vec<PeerAddress> = lock(&shared.published).peers.clone();
    let own = &shared.settings.engine.peers_address;
    let known = peers.into_iter().map(|peer| peer.address);
    let mut addresses: Vec<SmolStr> = known.filter(|address| address != own).collect();
    if addresses.is_empty() {
        let configured = shared.settings.peer_addresses.iter();
        addresses.extend(configured.filter(|address| *address != own).cloned());
    }
    addresses
}

/// Exchanges gossip over a link, unless the last exchange over it is still in flight or the gossip
/// is unchanged.
fn exchange<P: Platform>(shared: &Arc<Shared<P>>, link: &mut Link) {
    let (own, log_head_seen_ms) = {
        let published = lock(&shared.published);
        (published.gossip.clone(), published.log_head_seen_ms)
    };
    let now_ms = shared.platform.clock().mono_ms();
    let stale_max_ms = shared.settings.engine.config_stale_max_ms;
    if !link
        .pacing
        .is_due(now_ms, &own, log_head_seen_ms, stale_max_ms)
    {
        return;
    }
    if link.is_busy.swap(true, Ordering::AcqRel) {
        return;
    }
    let is_busy = Arc::clone(&link.is_busy);
    let client = Arc::clone(&link.client);
    let exchanging = Arc::clone(shared);
    let is_taken = shared.background_tasks.run(move || {
        let sent_ms = exchanging.platform.clock().mono_ms();
        let call = PeerCall::Gossip(Box::new(own));
        match client.call(&call) {
            Ok(PeerAnswer::Gossip(gossip)) => {
                exchanging.send_event(Event::Gossip { sent_ms, gossip })
            }
            Ok(_) | Err(_) => exchanging.metrics.count_retry(RetryReason::PeerSilent),
        }
        is_busy.store(false, Ordering::Release);
    });
    if !is_taken {
        link.is_busy.store(false, Ordering::Release);
    }
}
