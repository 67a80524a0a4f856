//! Operators' access to the log: reads the ledger, proposes changes, and finds out by reading
//! whether a change took effect. The only writes are appended proposals; a proposal that is
//! appended twice is applied once.

use std::time::{Duration, Instant};

use uuid::Uuid;

use crate::{
    entry::LogReader,
    fleet::Offset,
    ledger::{Effect, Ledger, OperatorChange, OperatorProposal, Publication, Record, Verdict},
    ports::{LogPort, PortError},
};

/// Longest time that one read waits for a record, in milliseconds.
const READ_WAIT_MS: u64 = 200;

/// Pause after a failed call to the log.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The ledger as read by an operator's command.
pub struct LedgerReader<'a> {
    log: &'a dyn LogPort,
    ledger: Ledger,
    reader: LogReader,
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// It took effect; the lists in force have this version.
    Accepted {
        /// Version of the lists in force.
        lists_version: u64,
    },
    /// It was rejected and had no effect.
    Rejected {
        /// Reason of the rejection.
        reason: String,
        /// Version of the lists in force.
        lists_version: u64,
        /// The publication that put this version in force.
        winner: Publication,
    },
    /// Whether it took effect could not be determined before the timeout.
    Unsettled {
        /// Id of the proposal in the log.
        proposal_id: Uuid,
        /// The last error.
        error: String,
    },
}

impl<'a> LedgerReader<'a> {
    /// Reads the ledger up to the head of the log.
    ///
    /// # Errors
    ///
    /// The last error of the log, if its head was not reached within `timeout`.
    pub fn open(log: &'a dyn LogPort, timeout: Duration) -> Result<Self, PortError> {
        let mut reader = Self {
            log,
            ledger: Ledger::default(),
            reader: LogReader::new(),
        };
        let deadline = Instant::now() + timeout;
        let mut last_error = PortError::NotSent("the head of the log was not reached".into());
        while Instant::now() < deadline {
            match reader.read_page(0) {
                Ok((_, true)) => return Ok(reader),
                Ok((_, false)) => {}
                Err(error) => {
                    last_error = error;
                    std::thread::sleep(FAILED_PAUSE);
                }
            }
        }
        Err(last_error)
    }

    /// Returns the ledger as of the last record read.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Proposes a change and reads the log until the proposal is decided or `timeout` has passed.
    ///
    /// If an append fails, the log is read before the proposal is appended again. The proposal
    /// keeps its id, so that a duplicate has no effect.
    pub fn propose(
        &mut self,
        operator: &str,
        change: OperatorChange,
        timeout: Duration,
    ) -> ProposalOutcome {
        let proposal = OperatorProposal {
            proposal_id: Uuid::now_v7(),
            operator: operator.into(),
            change,
        };
        let proposal_id = proposal.proposal_id;
        let payload = serde_json::to_string(&Record::Operator(proposal)).unwrap_or_default();
        let deadline = Instant::now() + timeout;
        let mut error = String::new();
        let mut is_appended = false;
        while Instant::now() < deadline {
            if !is_appended {
                match self.log.append(std::slice::from_ref(&payload)) {
                    Ok(_) => is_appended = true,
                    Err(failure) => error = format!("{failure}: {failure:?}"),
                }
            }
            match self.read_until_decided(proposal_id, is_appended) {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(failure) => {
                    error = format!("{failure}: {failure:?}");
                    std::thread::sleep(FAILED_PAUSE);
                }
            }
        }
        ProposalOutcome::Unsettled { proposal_id, error }
    }

    /// Reads until the proposal is decided or the head of the log is reached.
    fn read_until_decided(
        &mut self,
        proposal_id: Uuid,
        is_appended: bool,
    ) -> Result<Option<ProposalOutcome>, PortError> {
        let wait_ms = match is_appended {
            true => READ_WAIT_MS,
            false => 0,
        };
        loop {
            let (effects, is_at_head) = self.read_page(wait_ms)?;
            for effect in effects {
                if let Some(outcome) = self.outcome_of(effect, proposal_id) {
                    return Ok(Some(outcome));
                }
            }
            if is_at_head {
                return Ok(None);
            }
        }
    }

    fn outcome_of(&mut self, effect: Effect, proposal_id: Uuid) -> Option<ProposalOutcome> {
        let Effect::Operator { proposal, verdict } = effect else {
            return None;
        };
        let is_own = proposal.proposal_id == proposal_id;
        let lists_version = self.ledger.lists_version;
        match verdict {
            Verdict::Rejected(reason) if is_own => Some(ProposalOutcome::Rejected {
                reason: reason.to_string(),
                lists_version,
                winner: self.ledger.lists_published.clone(),
            }),
            Verdict::Accepted | Verdict::AcceptedCount(_) if is_own => {
                Some(ProposalOutcome::Accepted { lists_version })
            }
            _ => None,
        }
    }

    fn read_page(&mut self, wait_ms: u64) -> Result<(Vec<Effect>, bool), PortError> {
        let from_offset: Offset = self.reader.wanted_offset(&self.ledger);
        match self.log.read(from_offset, wait_ms) {
            Ok(page) => {
                let progress = self.reader.apply_page(&mut self.ledger, from_offset, &page);
                Ok((progress.effects, progress.is_at_head))
            }
            Err(error @ PortError::Trimmed { .. }) => {
                self.reader.handle_read_error(&error);
                Ok((Vec::new(), false))
            }
            Err(error) => Err(error),
        }
    }
}
