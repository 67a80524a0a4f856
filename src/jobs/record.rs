//! Persisted records: jobs, their progress, the workers on which tasks may run, and waves of
//! maintenance. Each record has a key; the newest record of a key replaces the earlier ones.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::keys::JobId;
use crate::jobs::progress::{ProgressPart, ProgressRecord};
use crate::jobs::spec::{JobSpec, Size};
use crate::jobs::terms::JobTerms;

/// First letter of the key of an accepted job.
const JOB_PREFIX: char = 'j';
/// First letter of the key of a job's progress.
const PROGRESS_PREFIX: char = 'p';
/// First letter of the keys of the further parts of a job's progress.
const PROGRESS_PART_PREFIX: char = 'q';
/// First letter of the key of a worker.
const WORKER_PREFIX: char = 'w';
/// First letter of the key of a wave of maintenance.
const WAVE_PREFIX: char = 'm';
/// First letter of the key of the last order to an instance.
const ORDER_PREFIX: char = 'o';
/// Key of the settled orders to instances.
const ORDERS_KEY: &str = "s";
/// Separates a key from the number of a further part of what it names.
const PART_SEPARATOR: char = '.';
/// Most bytes of a stored record beside its value: its length, and the key with its own length.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 260;

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification, as submitted.
    pub spec: JobSpec,
    /// Queue.
    pub queue: SmolStr,
    /// Pool of the queue at the time of acceptance.
    pub pool: SmolStr,
    /// Team; empty for an open queue.
    pub team: SmolStr,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Time of the first arrival, in Unix milliseconds, if the job was refused before it was
    /// accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrived_unix_ms: Option<u64>,
    /// Whether it was over the rate of its team when it was accepted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_over_rate: bool,
    /// Terms of its queue when it was accepted; none in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<JobTerms>,
}

/// A worker on which tasks may have been started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Address of its interface, as `ip:port`.
    pub address: SmolStr,
    /// Pool.
    pub pool: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Labels.
    pub labels: Vec<SmolStr>,
    /// Most capacity that it is known to have had.
    pub capacity: Size,
}

/// Progress of a wave of maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Time at which a leader first received the wave, in Unix milliseconds; 0 in records of
    /// earlier versions.
    #[serde(default)]
    pub requested_unix_ms: u64,
    /// Instances that have been maintained.
    pub done: Vec<SmolStr>,
}

/// Which orders to instances are older than the lease of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersRecord {
    /// Fencing token of the leader that wrote the record.
    pub fence: u64,
    /// Number up to which all orders are that old.
    pub settled: u64,
    /// Whether the numbers of all orders that are not that old are persisted.
    pub is_complete: bool,
}

/// Key of a further part of what does not fit in one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartKey<T> {
    /// What the part belongs to.
    pub of: T,
    /// Number of the part, from 0.
    pub number: u32,
}

impl<T: fmt::Display> PartKey<T> {
    fn to_text(&self, prefix: char) -> SmolStr {
        let Self { of, number } = self;
        format_smolstr!("{prefix}{of}{PART_SEPARATOR}{number}")
    }

    fn parse(text: &str, parse_owner: impl Fn(&str) -> Option<T>) -> Option<Self> {
        let (owner, number) = text.split_once(PART_SEPARATOR)?;
        Some(Self {
            of: parse_owner(owner)?,
            number: number.parse().ok()?,
        })
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Job(JobId, JobRecord),
    /// The progress of a job.
    Progress(JobId, ProgressRecord),
    /// A further part of the progress of a job.
    ProgressPart(PartKey<JobId>, ProgressPart),
    /// Tasks may be started on this worker from now on.
    Worker(SmolStr, WorkerRecord),
    /// The progress of a wave of maintenance.
    Wave(u64, WaveRecord),
    /// A further part of the instances of a wave that have been maintained.
    WavePart(PartKey<u64>, Vec<SmolStr>),
    /// An order with this number may have been given to an instance.
    Order(SmolStr, u64),
    /// Which orders to instances are settled.
    Orders(OrdersRecord),
    /// The instance is no longer listed: the record of its last order is deleted.
    ForgetOrder(SmolStr),
    /// The job is no longer needed: both its records are deleted.
    ForgetJob(JobId),
    /// This part of the progress of a job is no longer needed: its record is deleted.
    ForgetProgressPart(PartKey<JobId>),
    /// No task runs on this worker any more: its record is deleted.
    ForgetWorker(SmolStr),
}

/// A record in the form in which it is stored: its key, and its value, or `None` to delete the key.
pub type StoredRecord = (SmolStr, Option<Vec<u8>>);

fn to_text(value: &impl Serialize) -> Option<Vec<u8>> {
    // The records consist of text keys and numbers, which cannot fail to encode.
    Some(serde_json::to_vec(value).unwrap_or_default())
}

fn job_key(prefix: char, id: JobId) -> SmolStr {
    format_smolstr!("{prefix}{id}")
}

impl Record {
    /// Returns the stored form of the record.
    pub fn encode(&self) -> Vec<StoredRecord> {
        match self {
            Self::Job(id, record) => vec![(job_key(JOB_PREFIX, *id), to_text(record))],
            Self::Progress(id, record) => vec![(job_key(PROGRESS_PREFIX, *id), to_text(record))],
            Self::ProgressPart(key, part) => {
                vec![(key.to_text(PROGRESS_PART_PREFIX), to_text(part))]
            }
            Self::Worker(id, record) => {
                vec![(format_smolstr!("{WORKER_PREFIX}{id}"), to_text(record))]
            }
            Self::Wave(number, record) => {
                vec![(format_smolstr!("{WAVE_PREFIX}{number}"), to_text(record))]
            }
            Self::WavePart(key, done) => vec![(key.to_text(WAVE_PREFIX), to_text(done))],
            Self::Order(instance, number) => {
                vec![(format_smolstr!("{ORDER_PREFIX}{instance}"), to_text(number))]
            }
            Self::Orders(record) => vec![(SmolStr::new_static(ORDERS_KEY), to_text(record))],
            Self::ForgetOrder(instance) => {
                vec![(format_smolstr!("{ORDER_PREFIX}{instance}"), None)]
            }
            Self::ForgetJob(id) => vec![
                (job_key(JOB_PREFIX, *id), None),
                (job_key(PROGRESS_PREFIX, *id), None),
            ],
            Self::ForgetProgressPart(key) => vec![(key.to_text(PROGRESS_PART_PREFIX), None)],
            Self::ForgetWorker(id) => vec![(format_smolstr!("{WORKER_PREFIX}{id}"), None)],
        }
    }

    /// Parses a stored record; returns `None` if the key or the value is not valid.
    pub fn decode(key: &str, text: &[u8]) -> Option<Self> {
        if key == ORDERS_KEY {
            return serde_json::from_slice(text).ok().map(Self::Orders);
        }
        let prefix = key.chars().next()?;
        let rest = &key[prefix.len_utf8()..];
        match prefix {
            JOB_PREFIX => Some(Self::Job(
                JobId::parse(rest)?,
                serde_json::from_slice(text).ok()?,
            )),
            PROGRESS_PREFIX => Some(Self::Progress(
                JobId::parse(rest)?,
                serde_json::from_slice(text).ok()?,
            )),
            PROGRESS_PART_PREFIX => Some(Self::ProgressPart(
                PartKey::parse(rest, JobId::parse)?,
                serde_json::from_slice(text).ok()?,
            )),
            WORKER_PREFIX => Some(Self::Worker(
                rest.into(),
                serde_json::from_slice(text).ok()?,
            )),
            ORDER_PREFIX => Some(Self::Order(rest.into(), serde_json::from_slice(text).ok()?)),
            WAVE_PREFIX if rest.contains(PART_SEPARATOR) => Some(Self::WavePart(
                PartKey::parse(rest, |number| number.parse().ok())?,
                serde_json::from_slice(text).ok()?,
            )),
            WAVE_PREFIX => Some(Self::Wave(
                rest.parse().ok()?,
                serde_json::from_slice(text).ok()?,
            )),
            _ => None,
        }
    }
}

/// Returns the bytes of the stored form of a value.
pub(crate) fn encoded_bytes(value: &impl Serialize) -> usize {
    to_text(value).map_or(0, |text| text.len())
}
