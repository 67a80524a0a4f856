//! Exchanges with peers: handles their gossip, and fetches records from them while the log is
//! unavailable.

use crate::entry::engine::{Engine, PeerHint, PEER_MAX_AGE_MS};

use crate::{
    entry::{event::Action, gossip::Gossip},
    fleet::MonoMs,
    policy::keys::PeerKey,
};

/// Longest time since the head of the log was seen after which records are fetched from peers, in
/// milliseconds.
const PULL_AFTER_MAX_MS: u64 = 1_000;

/// Time between two fetches from peers, in milliseconds.
const PULL_EVERY_MS: u64 = 200;

impl Engine {
    pub(crate) fn handle_gossip(&mut self, sent_ms: MonoMs, gossip: Gossip) {
        if gossip.seat == self.seat {
            return;
        }
        for key_id in &gossip.withdrawn {
            self.withdraw(key_id.clone());
        }
        let (peer_offset, folded_offset) = (gossip.next_offset, self.ledger.next_offset);
        self.contact
            .record_peer_answer(&gossip.seat, sent_ms, peer_offset, folded_offset);
        self.apply_hint(gossip);
    }

    /// Applies gossip without counting it as contact: it may have been delayed.
    pub(crate) fn apply_hint(&mut self, gossip: Gossip) {
        if gossip.seat == self.seat || gossip.seat.is_empty() {
            return;
        }
        for key_id in &gossip.withdrawn {
            self.withdraw(key_id.clone());
        }
        let received_ms = self.now.mono_ms;
        self.contact
            .record_known_head(received_ms, gossip.next_offset, self.ledger.next_offset);
        let key = match self.peers.get(&gossip.seat) {
            Some(hint) => hint.key,
            None => {
                self.next_peer += 1;
                PeerKey(self.next_peer)
            }
        };
        self.apply_peer_usage(key, &gossip);
        let hint = PeerHint {
            key,
            received_ms,
            gossip,
        };
        self.peers.insert(hint.gossip.seat.clone(), hint);
    }

    pub(crate) fn poll_peers(&mut self) {
        let now_ms = self.now.mono_ms;
        let is_recent =
            |hint: &PeerHint| now_ms.saturating_sub(hint.received_ms) <= PEER_MAX_AGE_MS * 10;
        self.peers.retain(|_, hint| is_recent(hint));
        self.usage.expire_peers(now_ms);
        // Contact with a peer counts only once its records are fetched, so the fetch must end before
        // the configuration is stale.
        let pull_after_ms = PULL_AFTER_MAX_MS.min(self.settings.config_stale_max_ms / 2);
        let is_log_stale = !self.contact.is_log_fresh(now_ms, pull_after_ms);
        if !is_log_stale || now_ms < self.pulled_ms + PULL_EVERY_MS {
            return;
        }
        let ahead: Vec<&PeerHint> = self
            .peers
            .values()
            .filter(|hint| hint.gossip.next_offset > self.ledger.next_offset)
            .collect();
        // Chosen at random, as one peer may lack records that another has.
        let Some(hint) = rand::seq::IndexedRandom::choose(&ahead[..], &mut self.rng) else {
            return;
        };
        self.pulled_ms = now_ms;
        let peers_address = hint.gossip.peers_address.clone();
        let from_offset = self.ledger.next_offset;
        self.actions.push(match self.reader.is_following() {
            true => Action::PullTail {
                peers_address,
                from_offset,
            },
            false => Action::PullLedger { peers_address },
        });
    }
}
