//! Jobs: requests accepted for later. They live in the ledger until some time after their end, so
//! they survive the entry that took them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    fleet::{QueueName, Resources, TeamName, UnixMs},
    ledger::{claims::request_key, seats::SeatId},
};

/// A request accepted for later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Caller's id of the request (UUID version 7).
    pub request_id: Uuid,
    /// Team, empty for a queue open to all.
    pub team: TeamName,
    /// Queue.
    pub queue: QueueName,
    /// Time by which the job must have ended.
    pub deadline_unix_ms: UnixMs,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Declared size.
    pub size: Resources,
    /// Declared run time in milliseconds.
    pub declared_run_ms: u64,
    /// Body in base64.
    pub body_base64: String,
}

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case", tag = "state")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No attempt was announced.
    Waiting,
    /// Its owner may have dispatched it.
    Started,
    /// It ran to its end.
    Ran {
        /// Whether the task itself reported success.
        is_success: bool,
        /// Instance that ran it.
        ran_on: SmolStr,
        /// Answer in base64.
        body_base64: String,
    },
    /// It may have run; it is not run again.
    Unknown,
    /// It was given up without having started.
    NotRun {
        /// Name of the refusal's kind.
        kind: SmolStr,
    },
}

impl JobState {
    /// Returns whether nothing more will happen.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Started)
    }
}

/// A job and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEntry {
    /// The request.
    pub row: JobRow,
    /// Seat that is to run it.
    pub owner: SeatId,
    /// How far it has come.
    #[serde(flatten)]
    pub state: JobState,
}

/// All jobs that are kept.
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

    /// Changes the state of a job that `owner` has; returns whether that had an effect.
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

    /// Hands a job of an ended seat to another; returns whether that had an effect.
    ///
    /// A non-idempotent job that was announced is not handed over: it may have run.
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

    /// Drops the jobs whose deadline was before `oldest_unix_ms`.
    pub(crate) fn forget_before(&mut self, oldest_unix_ms: UnixMs) {
        self.rows
            .retain(|_, entry| entry.row.deadline_unix_ms >= oldest_unix_ms);
    }
}
