//! State of one accepted connection, shared by its stream, the request that it reads and the answer
//! that it writes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use hyper::body::Incoming;
use tokio::sync::Notify;

use super::body::discard;
use super::ingress::ConnectionSlot;

/// State of a connection.
pub(super) struct ConnectionState {
    pub(super) slot: ConnectionSlot,
    /// The part of the last body that its handler has not read.
    unread: Mutex<Option<Incoming>>,
    /// Whether the rest of a request is still to come, so that no other one can follow.
    is_cut: AtomicBool,
    written: Notify,
}

impl ConnectionState {
    pub(super) fn new(slot: ConnectionSlot) -> Self {
        Self {
            slot,
            unread: Mutex::new(None),
            is_cut: AtomicBool::new(false),
            written: Notify::new(),
        }
    }

    /// Records what the handler of a request has left of its body.
    pub(super) fn set_unread(&self, body: Option<Incoming>) {
        *self.unread.lock().unwrap_or_else(PoisonError::into_inner) = body;
    }

    /// Discards what the handler has left of a body. Returns whether another request can follow.
    pub(super) async fn discard_unread(&self) -> bool {
        let unread = self
            .unread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let is_read = match unread {
            None => true,
            Some(body) => discard(body).await,
        };
        self.is_cut.store(!is_read, Ordering::Release);
        is_read
    }

    /// Returns whether the rest of a request is still to come.
    pub(super) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Acquire)
    }

    /// Records that the stream has written all that it was given.
    pub(super) fn note_flushed(&self) {
        if self.slot.note_flushed() {
            self.written.notify_one();
        }
    }

    /// Waits until the answer before has been written. Otherwise a client that sends requests and reads
    /// no answer would fill the memory with answers.
    pub(super) async fn wait_until_written(&self) {
        while self.slot.is_writing() {
            self.written.notified().await;
        }
    }
}
