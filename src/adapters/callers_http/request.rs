//! Parses the path and headers of a request into a typed message, or describes what is invalid.

use hyper::header::{HeaderMap, AUTHORIZATION};
use hyper::http::request::Parts;
use hyper::Method;
use smol_str::{format_smolstr, SmolStr};
use uuid::{Uuid, Version};

use super::CallersLimits;
use crate::callers::{Cancel, Fetch};
use crate::fleet::{QueueName, Resources};

/// Longest queue name in a path, and longest key.
const NAME_MAX_BYTES: usize = 128;
/// Largest component of a declared size, so that sums cannot overflow.
const SIZE_COMPONENT_MAX: u64 = 1 << 40;
/// Longest declared run time: 30 days.
const DECLARED_RUN_MAX_MS: u64 = 30 * 24 * 3_600_000;
/// Resources of a request that declares none.
const SIZE_DEFAULT: Resources = Resources {
    cores_milli: 1_000,
    memory_mb: 256,
    accelerators_count: 0,
};

/// A request, parsed from its path and headers.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ParsedRequest {
    /// Run work; the body follows.
    Run(RunHead),
    /// Cancel a request.
    Cancel(Cancel),
    /// Report on work accepted for later.
    Fetch(Fetch),
    /// Report to the load balancer whether to send callers to this entry.
    Readiness,
}

impl ParsedRequest {
    /// Returns the id of the caller's request; empty for a readiness probe.
    pub(super) fn request_id(&self) -> SmolStr {
        match self {
            Self::Run(head) => head.request_id.clone(),
            Self::Cancel(cancel) => cancel.request_id.clone(),
            Self::Fetch(fetch) => fetch.request_id.clone(),
            Self::Readiness => SmolStr::default(),
        }
    }
}

/// A request to run work, without its body.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RunHead {
    pub(super) request_id: SmolStr,
    pub(super) key: Option<SmolStr>,
    pub(super) queue: QueueName,
    pub(super) deadline_ms: u64,
    pub(super) is_idempotent: bool,
    pub(super) size: Resources,
    pub(super) declared_run_ms: u64,
    pub(super) is_for_later: bool,
}

/// Description of what is invalid in a request, for its sender.
pub(super) type Malformed = SmolStr;

/// Parses a request.
pub(super) fn parse(parts: &Parts, limits: &CallersLimits) -> Result<ParsedRequest, Malformed> {
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::POST, ["v1", "queues", queue, "call"]) => {
            run_head(&parts.headers, queue, false, limits).map(ParsedRequest::Run)
        }
        (&Method::POST, ["v1", "queues", queue, "jobs"]) => {
            run_head(&parts.headers, queue, true, limits).map(ParsedRequest::Run)
        }
        (&Method::GET, ["v1", "jobs", id]) => Ok(ParsedRequest::Fetch(Fetch {
            request_id: request_id(id)?,
            key: key(&parts.headers)?,
        })),
        (&Method::DELETE, ["v1", "requests", id]) => Ok(ParsedRequest::Cancel(Cancel {
            request_id: request_id(id)?,
            key: key(&parts.headers)?,
        })),
        (&Method::GET, ["ready"]) => Ok(ParsedRequest::Readiness),
        _ => Err("path: nothing is served under this method and path".into()),
    }
}

fn run_head(
    headers: &HeaderMap,
    queue: &str,
    is_for_later: bool,
    limits: &CallersLimits,
) -> Result<RunHead, Malformed> {
    let is_idempotent = match text(headers, "x-idempotent")? {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return Err("x-idempotent: write true or false".into()),
    };
    let request_id = match text(headers, "x-request-id")? {
        Some(id) => request_id(id)?,
        None if is_idempotent => format_smolstr!("{}", Uuid::now_v7()),
        None => return Err("x-request-id: work that is not idempotent needs a UUIDv7".into()),
    };
    Ok(RunHead {
        request_id,
        key: key(headers)?,
        queue: name("queue", queue)?,
        deadline_ms: number(
            headers,
            "x-deadline-ms",
            limits.deadline_default_ms,
            1..=limits.deadline_max_ms,
        )?,
        is_idempotent,
        size: size(headers)?,
        declared_run_ms: number(headers, "x-run-ms", 0, 0..=DECLARED_RUN_MAX_MS)?,
        is_for_later,
    })
}

fn size(headers: &HeaderMap) -> Result<Resources, Malformed> {
    let part = |header, default| number(headers, header, default, 0..=SIZE_COMPONENT_MAX);
    Ok(Resources {
        cores_milli: part("x-cores-milli", SIZE_DEFAULT.cores_milli)?,
        memory_mb: part("x-memory-mb", SIZE_DEFAULT.memory_mb)?,
        accelerators_count: part("x-accelerators-count", SIZE_DEFAULT.accelerators_count)?,
    })
}

/// Returns the value of `header`. A repeated header is an error, as either value could be meant.
fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.get_all(header).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value
            .to_str()
            .map(Some)
            .map_err(|_| format_smolstr!("{header}: write it in ASCII")),
        (Some(_), Some(_)) => Err(format_smolstr!("{header}: send it once")),
    }
}

fn number(
    headers: &HeaderMap,
    header: &str,
    default: u64,
    range: std::ops::RangeInclusive<u64>,
) -> Result<u64, Malformed> {
    let Some(text) = text(headers, header)? else {
        return Ok(default);
    };
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if is_digits && range.contains(&number) => Ok(number),
        _ => Err(format_smolstr!(
            "{header}: write a whole number from {} to {}",
            range.start(),
            range.end()
        )),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<SmolStr>, Malformed> {
    let Some(text) = text(headers, AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    match text.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => {
            name("authorization", key.trim()).map(Some)
        }
        _ => Err("authorization: write Bearer and the key".into()),
    }
}

fn request_id(text: &str) -> Result<SmolStr, Malformed> {
    match Uuid::try_parse(text) {
        Ok(uuid) if uuid.get_version() == Some(Version::SortRand) => {
            // Normalizes the spelling, so that equal ids have equal texts.
            Ok(format_smolstr!("{}", uuid.hyphenated()))
        }
        _ => Err("request id: write a UUIDv7".into()),
    }
}

fn name(field: &str, text: &str) -> Result<SmolStr, Malformed> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    match text {
        "" => Err(format_smolstr!("{field}: it is empty")),
        text if text.len() > NAME_MAX_BYTES => Err(format_smolstr!(
            "{field}: it is longer than {NAME_MAX_BYTES} bytes"
        )),
        text if text.bytes().all(is_allowed) => Ok(text.into()),
        _ => Err(format_smolstr!(
            "{field}: use letters, digits, dots, underscores and hyphens"
        )),
    }
}
