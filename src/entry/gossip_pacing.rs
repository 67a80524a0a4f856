//! Decides when an entry exchanges gossip with a peer.

use crate::{entry::gossip::Gossip, fleet::MonoMs};

/// Time between two exchanges while the gossip is unchanged, in milliseconds.
const UNCHANGED_INTERVAL_MS: u64 = 2_000;

/// Longest time since the head of the log was seen from which exchanges are needed as proof of
/// contact, in milliseconds.
const PROOF_AFTER_MAX_MS: u64 = 1_200;

/// When gossip was last exchanged with one peer.
#[derive(Clone, Debug, Default)]
pub struct GossipPacing {
    /// Start of the last exchange, and the gossip that was sent.
    last_sent: Option<(MonoMs, Gossip)>,
}

impl GossipPacing {
    /// Returns whether to exchange now; if so, records the gossip as sent.
    ///
    /// Unchanged gossip is sent less often. While the log does not answer, an exchange also proves
    /// contact, so none is left out.
    pub fn is_due(
        &mut self,
        now_ms: MonoMs,
        own: &Gossip,
        log_head_seen_ms: Option<MonoMs>,
        config_stale_max_ms: u64,
    ) -> bool {
        let content = Gossip {
            // The offset changes with every renewal of any seat, which alone is not worth sending.
            next_offset: 0,
            ..own.clone()
        };
        let is_log_fresh = log_head_seen_ms.is_some_and(|seen_ms| {
            now_ms.saturating_sub(seen_ms) < proof_after_ms(config_stale_max_ms)
        });
        let is_needed = match &self.last_sent {
            Some((sent_ms, before)) => {
                *before != content || now_ms >= sent_ms + UNCHANGED_INTERVAL_MS
            }
            None => true,
        };
        let is_due = is_needed || !is_log_fresh;
        if is_due {
            self.last_sent = Some((now_ms, content));
        }
        is_due
    }
}

/// Returns the time since the head of the log was seen from which exchanges are needed as proof of
/// contact, in milliseconds.
///
/// Half of the time after which the configuration is stale is left for the exchange, and for the
/// fetch of records that only the peer has.
fn proof_after_ms(config_stale_max_ms: u64) -> u64 {
    PROOF_AFTER_MAX_MS.min(config_stale_max_ms / 2)
}
