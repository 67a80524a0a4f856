//! Snapshots of the ledger. They are written to the log in chunks of bounded size, so that a new
//! entry can start after the records that built the state were trimmed.

use indexmap::IndexMap;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    fleet::Offset,
    ledger::{fold::Ledger, record::SnapshotChunk},
};

/// Maximum size of the text in one chunk, in bytes; characters are not split.
pub const SNAPSHOT_CHUNK_BYTES: usize = 48 * 1024;

/// Maximum number of incomplete snapshots in memory; the oldest is dropped first.
const PARTIAL_SNAPSHOTS_MAX_COUNT: usize = 4;

/// Reason why a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SnapshotError {
    /// The digest of the text differs from the one in its chunks.
    WrongDigest,
    /// The text is not a valid state of the ledger.
    Unreadable,
}

impl Ledger {
    /// Returns the state as JSON text.
    pub fn to_snapshot(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Restores the state from the text of [`Ledger::to_snapshot`].
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Unreadable`] if the text is not a valid state.
    pub fn from_snapshot(text: &str) -> Result<Self, SnapshotError> {
        let mut ledger: Self = serde_json::from_str(text).map_err(|_| SnapshotError::Unreadable)?;
        let lists = ledger.lists.clone();
        ledger.instances.rebuild_counts();
        ledger.instances.set_budgets(&lists);
        Ok(ledger)
    }

    /// Returns the state as chunks for the log.
    pub fn to_chunks(&self, snapshot_id: Uuid) -> Vec<SnapshotChunk> {
        let text = self.to_snapshot();
        let digest = SmolStr::new(blake3::hash(text.as_bytes()).to_hex());
        let parts = split_at_chars(&text, SNAPSHOT_CHUNK_BYTES);
        let chunks_count = parts.len() as u32;
        (0u32..)
            .zip(parts)
            .map(|(index, part)| SnapshotChunk {
                snapshot_id,
                next_offset: self.next_offset,
                index,
                chunks_count,
                digest: digest.clone(),
                text: part.to_owned(),
            })
            .collect()
    }
}

/// Splits `text` into parts of at most `max_bytes` bytes, never inside a character.
pub(crate) fn split_at_chars(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(max_bytes);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part);
        rest = tail;
    }
    parts
}

/// Assembles snapshots from the chunks that a reader finds in the log.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    partial: IndexMap<Uuid, IndexMap<u32, SnapshotChunk>>,
}

impl SnapshotAssembler {
    /// Adds a chunk; returns the state's next offset and text once the snapshot is complete.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError`] if the digest of the complete text is wrong.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<(Offset, String)>, SnapshotError> {
        let id = chunk.snapshot_id;
        let chunks_count = chunk.chunks_count as usize;
        let chunks = self.partial.entry(id).or_default();
        chunks.insert(chunk.index, chunk);
        let is_complete = chunks.len() == chunks_count;
        if is_complete {
            return self.partial.shift_remove(&id).map(join_chunks).transpose();
        }
        while self.partial.len() > PARTIAL_SNAPSHOTS_MAX_COUNT {
            self.partial.shift_remove_index(0);
        }
        Ok(None)
    }
}

fn join_chunks(
    mut chunks: IndexMap<u32, SnapshotChunk>,
) -> Result<(Offset, String), SnapshotError> {
    chunks.sort_keys();
    let Some((_, first)) = chunks.first() else {
        return Err(SnapshotError::Unreadable);
    };
    let (next_offset, digest) = (first.next_offset, first.digest.clone());
    let text: String = chunks.into_values().map(|chunk| chunk.text).collect();
    match blake3::hash(text.as_bytes()).to_hex().as_str() == digest {
        true => Ok((next_offset, text)),
        false => Err(SnapshotError::WrongDigest),
    }
}
