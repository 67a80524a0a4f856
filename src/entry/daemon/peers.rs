//! Exchanges between entries: each tells every other what it knows several times a second, serves
//! what others ask and fetches what the log does not give.

use std::{
    io,
    sync::{Arc, OnceLock, Weak},
    thread::JoinHandle,
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    adapters::peers_rpc::{
        PeerAnswer, PeerCall, PeerClient, PeerHandler, SnapshotAsk, SnapshotChunk, TailAsk,
    },
    entry::{
        daemon::{duties::sleep_unless_stopped, lock, spawn_thread, PeerAddress, Shared},
        event::{Event, Source},
        gossip::Gossip,
    },
    error::ErrorKind,
    fleet::Offset,
    ports::{Clock, LogPage, Platform, PortError},
};

/// Records that one call relays at most.
const TAIL_MAX_RECORDS: u32 = 1_024;

/// What serves the peers' calls once the entry stands.
pub(crate) struct LateHandler {
    serve: Arc<OnceLock<PeerHandler>>,
}

impl Default for LateHandler {
    fn default() -> Self {
        Self {
            serve: Arc::new(OnceLock::new()),
        }
    }
}

impl LateHandler {
    /// Returns the handler; until the entry stands it refuses.
    pub(crate) fn handler(&self) -> PeerHandler {
        let serve = Arc::clone(&self.serve);
        Arc::new(move |call| match serve.get() {
            Some(serve) => serve(call),
            None => PeerAnswer::Failed {
                kind: ErrorKind::EntryNotReady,
            },
        })
    }

    /// Lets the handler serve from `shared`.
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

/// Calls a peer on a link of its own.
pub(crate) fn call<P: Platform>(
    shared: &Shared<P>,
    address: &str,
    call: &PeerCall,
) -> Result<PeerAnswer, PortError> {
    PeerClient::open(address, shared.settings.peer_timeout_ms)?.call(call)
}
