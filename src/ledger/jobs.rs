//! Jobs: requests accepted to run later. They are retained in the ledger until some time after
//! their deadline, so they survive the entry that accepted them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    fleet::{QueueName, Resources, TeamName, UnixMs},
    ledger::{claims::request_key, seats::SeatId},
};

/// A request accepted to run later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Id that the caller gave the request (UUID version 7).
    pub request_id: Uuid,
    /// Team of the request; empty for a queue open to all.
    pub team: TeamName,
    /// Queue of the request.
    pub queue: QueueName,
    /// Time by which the job must have ended.
    pub deadline_unix_ms: UnixMs,
    /// Whether the job may safely run more than once.
    pub is_idempotent: bool,
    /// Resources that the caller declared.
    pub size: Resources,
    /// Run time that the caller declared, in milliseconds.
    pub declared_run_ms: u64,
    /// Body of the request in base64.
    pub body_base64: String,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case", tag = "state")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No start of the job has been recorded.
    Waiting,
    /// The owner may have dispatched the job.
    Started,
    /// The job ran to completion.
    Ran {
        /// Whether the task itself reported success.
        is_success: bool,
        /// Instance that ran the job.
        ran_on: SmolStr,
        /// Body of the answer in base64.
        body_base64: String,
    },
    /// The job may have run, and is not run again.
    Unknown,
    /// The job was abandoned without having started.
    NotRun {
        /// Kind of the refusal, by name.
        kind: SmolStr,
    },
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Started)
    }
}

/// A job with its owner and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEntry {
    /// The request.
    pub row: JobRow,
    /// Seat responsible for running the job.
    pub owner: SeatId,
    /// State of the job.
    #[serde(flatten)]
    pub state: JobState,
}

/// All jobs in the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    rows: IndexMap<SmolStr, JobEntry>,
}

impl Jobs {
    /// Returns a job.
    pub fn get(&self, team: &str, request_id: &Uuid) -> Option<&JobEntry> {
        self.rows.get(&request_key(team, request_id))
    }

    /// Returns all jobs in the order in which they were accepted.
    pub fn iter(&self) -> impl Iterator<Item = &JobEntry> {
        self.rows.values()
    }

    /// Accepts a job; returns whether it was new.
    pub(crate) fn submit(&mut self, job: &JobRow, owner: &SeatId) -> bool {
        let key = request_key(&job.team, &job.request_id);
        if self.rows.contains_key(&key) {
            return false;
        }
        let entry = JobEntry {
            row: job.clone(),
            owner: owner.clone(),
            state: JobState::Waiting,
        };
        self.rows.insert(key, entry);
        true
    }

    /// Changes the state of an unfinished job of `owner`; returns whether there was one.
    pub(crate) fn advance(
        &mut self,
        team: &str,
        request_id: &Uuid,
        owner: &str,
        state: JobState,
    ) -> bool {
        match self.rows.get_mut(&request_key(team, request_id)) {
            Some(entry) if entry.owner == owner && !entry.state.is_final() => {
                entry.state = state;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Transfers a job of an ended seat to another seat; returns whether that had an effect.
    ///
    /// A non-idempotent job whose start was recorded may have run. It is not transferred, and its
    /// state becomes unknown.
    pub(crate) fn adopt(&mut self, team: &str, request_id: &Uuid, from: &str, to: &SeatId) -> bool {
        match self.rows.get_mut(&request_key(team, request_id)) {
            Some(entry) if entry.owner != from || entry.state.is_final() => false,
            Some(entry) if entry.state == JobState::Started && !entry.row.is_idempotent => {
                entry.state = JobState::Unknown;
                true
            }
            Some(entry) => {
                entry.owner = to.clone();
                entry.state = JobState::Waiting;
                true
            }
            None => false,
        }
    }

    /// Drops the jobs whose deadline is before `oldest_unix_ms`.
    pub(crate) fn forget_before(&mut self, oldest_unix_ms: UnixMs) {
        self.rows
            .retain(|_, entry| entry.row.deadline_unix_ms >= oldest_unix_ms);
    }
}
