//! The reader turns pages of the log into a ledger. A newly started entry searches backwards for
//! the newest complete snapshot and folds the tail after it. From then on it follows the head. It
//! never returns to an older state.

use uuid::Uuid;

use crate::{
    fleet::Offset,
    ledger::{Effect, Ledger, Record, SnapshotAssembler},
    ports::{LogPage, LogRecord, PortError},
};

/// Number of records in which a newly started entry first searches for a snapshot.
const LOOK_BACK_RECORDS: u64 = 8_192;

/// Phase of reading.
#[derive(Clone, Debug)]
enum Phase {
    /// Reads one page to learn where the log begins and ends.
    Probing { from_offset: Offset },
    /// Searches `start..end` for snapshots.
    Scanning {
        start: Offset,
        next: Offset,
        end: Offset,
        oldest: Offset,
        parts: SnapshotAssembler,
        found: Option<Box<Ledger>>,
    },
    /// Folds records up to the head.
    Following,
    /// The log has neither its beginning nor a complete snapshot.
    Lost,
}

/// Reads the log from its newest snapshot to the head.
#[derive(Clone, Debug)]
pub struct LogReader {
    phase: Phase,
}

/// Result of applying a page.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Effects of the newly folded records.
    pub(crate) effects: Vec<Effect>,
    /// Whether everything up to the head given by the page is folded.
    pub(crate) is_at_head: bool,
    /// Whether the ledger was replaced by one from a snapshot.
    pub(crate) is_replaced: bool,
}

impl LogReader {
    /// Creates a reader that has read nothing.
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Probing { from_offset: 0 },
        }
    }

    /// Returns the offset to read from next.
    pub(crate) fn wanted_offset(&self, ledger: &Ledger) -> Offset {
        match &self.phase {
            Phase::Probing { from_offset } => *from_offset,
            Phase::Scanning { next, .. } => *next,
            Phase::Following => ledger.next_offset,
            Phase::Lost => 0,
        }
    }

    /// Returns whether the reader is following the head.
    pub(crate) fn is_following(&self) -> bool {
        matches!(self.phase, Phase::Following)
    }

    /// Continues at the head, after the ledger was replaced by one from a peer.
    pub(crate) fn follow(&mut self) {
        self.phase = Phase::Following;
    }

    /// Handles a failed read.
    pub(crate) fn handle_read_error(&mut self, error: &PortError) {
        match (error, &self.phase) {
            (PortError::Trimmed { oldest_offset }, _) => {
                self.phase = Phase::Probing {
                    from_offset: *oldest_offset,
                };
            }
            (_, Phase::Lost) => self.phase = Phase::Probing { from_offset: 0 },
            _ => {}
        }
    }

    /// Applies a page that was read from `from_offset`.
    pub(crate) fn apply_page(
        &mut self,
        ledger: &mut Ledger,
        from_offset: Offset,
        page: &LogPage,
    ) -> Progress {
        match &mut self.phase {
            Phase::Probing {
                from_offset: wanted,
            } if *wanted == from_offset => {
                self.begin(ledger, page);
                Progress::default()
            }
            Phase::Scanning { next, .. } if *next == from_offset => self.scan(ledger, page),
            Phase::Following => fold_page(ledger, page),
            Phase::Lost => {
                self.phase = Phase::Probing { from_offset: 0 };
                Progress::default()
            }
            Phase::Probing { .. } | Phase::Scanning { .. } => Progress::default(),
        }
    }

    fn begin(&mut self, ledger: &Ledger, page: &LogPage) {
        let (oldest, head) = (page.oldest_offset, page.head_offset);
        self.phase = match () {
            // Continue from the ledger that is there, if the log still has the records after it.
            () if ledger.next_offset > 0 && ledger.next_offset >= oldest => Phase::Following,
            () if oldest == 0 && head <= LOOK_BACK_RECORDS && ledger.next_offset == 0 => {
                Phase::Following
            }
            () => scanning(
                head.saturating_sub(LOOK_BACK_RECORDS).max(oldest),
                head,
                oldest,
            ),
        };
    }

    fn scan(&mut self, ledger: &mut Ledger, page: &LogPage) -> Progress {
        let Phase::Scanning {
            start,
            next,
            end,
            oldest,
            parts,
            found,
        } = &mut self.phase
        else {
            return Progress::default();
        };
        *oldest = (*oldest).max(page.oldest_offset);
        let first = *next;
        for record in page.records.iter().filter(|record| record.offset >= first) {
            let complete = snapshot_in(parts, record);
            // Two writers may have written snapshots, and the older state may have been appended
            // last.
            let found_offset = found.as_ref().map(|state| state.next_offset);
            if let Some(newer) = complete.filter(|state| Some(state.next_offset) > found_offset) {
                *found = Some(newer);
            }
            *next = record.offset + 1;
        }
        if *next < *end && !page.records.is_empty() {
            return Progress::default();
        }
        let (start, end, oldest) = (*start, *end, *oldest);
        let usable = found
            .take()
            .filter(|state| state.next_offset >= oldest.max(ledger.next_offset));
        self.phase = match usable {
            Some(state) => {
                *ledger = *state;
                self.phase = Phase::Following;
                return Progress {
                    is_replaced: true,
                    ..Progress::default()
                };
            }
            None if start > oldest => {
                let span = (end - start) * 2;
                scanning(end.saturating_sub(span).max(oldest), end, oldest)
            }
            None if oldest == 0 && ledger.next_offset == 0 => Phase::Following,
            None => Phase::Lost,
        };
        Progress::default()
    }
}

fn scanning(start: Offset, end: Offset, oldest: Offset) -> Phase {
    Phase::Scanning {
        start,
        next: start,
        end,
        oldest,
        parts: SnapshotAssembler::default(),
        found: None,
    }
}

fn snapshot_in(parts: &mut SnapshotAssembler, record: &LogRecord) -> Option<Box<Ledger>> {
    let Ok(Record::Snapshot(chunk)) = serde_json::from_str(&record.payload) else {
        return None;
    };
    let (_, text) = parts.add(chunk).ok()??;
    Ledger::from_snapshot(&text).ok().map(Box::new)
}

/// Folds the records of `page` that come next and skips the others.
fn fold_page(ledger: &mut Ledger, page: &LogPage) -> Progress {
    let mut effects = Vec::new();
    for record in &page.records {
        if record.offset == ledger.next_offset {
            effects.push(ledger.apply(record));
        }
    }
    Progress {
        effects,
        // A head below the folded offset is an old view and says nothing about the current head.
        is_at_head: ledger.next_offset == page.head_offset,
        is_replaced: false,
    }
}

/// Decides when this entry writes a snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotWriter {
    /// Offset of the state in the newest complete snapshot that was read.
    last_offset: Offset,
    last_bytes: u64,
    tail_bytes: u64,
    parts: SnapshotAssembler,
    is_writing: bool,
}

impl SnapshotWriter {
    /// Records the effect and the size of a folded record.
    pub(crate) fn record_folded(&mut self, effect: &Effect, payload_bytes: u64) {
        self.tail_bytes += payload_bytes;
        let Effect::Snapshot(chunk) = effect else {
            return;
        };
        if let Ok(Some((offset, text))) = self.parts.add(chunk.clone()) {
            if offset > self.last_offset {
                self.last_offset = offset;
                self.last_bytes = text.len() as u64;
                self.tail_bytes = 0;
            }
        }
    }

    /// Records that a snapshot was written or given up.
    pub(crate) fn record_finished(&mut self) {
        self.is_writing = false;
    }

    /// Returns the records of a snapshot if one is due.
    ///
    /// It is due after `every_records` if the tail has outgrown the last snapshot, so that
    /// snapshots never cost more bytes than the records. It is due in any case once the last
    /// snapshot is in the older half of what the log retains.
    pub(crate) fn poll(
        &mut self,
        ledger: &Ledger,
        oldest_offset: Offset,
        every_records: u64,
        snapshot_id: Uuid,
    ) -> Option<Vec<String>> {
        let tail_records = ledger.next_offset.saturating_sub(self.last_offset);
        let kept_records = ledger.next_offset.saturating_sub(oldest_offset);
        let is_due = tail_records >= every_records && self.tail_bytes > self.last_bytes;
        let is_ageing = oldest_offset > 0 && tail_records * 2 > kept_records;
        if self.is_writing || tail_records == 0 || !(is_due || is_ageing) {
            return None;
        }
        self.is_writing = true;
        let chunks = ledger.to_chunks(snapshot_id);
        let records = chunks
            .into_iter()
            .map(Record::Snapshot)
            .filter_map(|record| serde_json::to_string(&record).ok());
        Some(records.collect())
    }
}
