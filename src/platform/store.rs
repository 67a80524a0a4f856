//! Client of the platform's store: a log with topics and partitions. This program uses one
//! partition per topic.

use std::net::SocketAddr;

use base64::prelude::{Engine, BASE64_STANDARD};
use hyper::body::Bytes;
use hyper::Method;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::net::{Call, CallFailure, Client, Reply};
use crate::node::{Fence, KeyedPage, KeyedRecord, LogPage, StoreFailure};

/// Bytes of the length that precedes each record.
const RECORD_LENGTH_BYTES: usize = 4;
/// Bytes before the records of a read: end offset of the topic and first offset that the store has.
const READ_HEAD_BYTES: usize = 16;
/// Most bytes of an answer. A page has at most 1 MB, and base64 adds a third.
const ANSWER_MAX_BYTES: usize = 4 << 20;
/// Most kilobytes requested by one read.
const READ_MAX_KB: usize = 512;

/// The topics that this program uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
pub enum Topic {
    /// Written by operators: lists and waves.
    #[strum(serialize = "keyed.op")]
    Operators,
    /// Entries that workers write about themselves.
    #[strum(serialize = "keyed.servers")]
    Workers,
    /// Reports for operators.
    #[strum(serialize = "keyed.status")]
    Status,
    /// Records of the leadership lease.
    #[strum(serialize = "keyed.lead")]
    Leadership,
    /// Jobs, their progress, and the workers on which tasks may have been started.
    #[strum(serialize = "keyed.jobs")]
    Jobs,
}

impl Topic {
    fn name(self) -> &'static str {
        self.into()
    }
}

/// A client of the store.
#[derive(Clone)]
pub struct Store {
    client: Client,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct AppendedWire {
    end: u64,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct RefusalWire {
    reason: String,
    end: u64,
    first: u64,
    /// Sequence number that the store expects next from the writer.
    sequence: Option<u64>,
    expected: Option<u64>,
}

#[derive(Deserialize)]
struct NewestWire {
    items: Vec<ItemWire>,
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct ItemWire {
    key: SmolStr,
    #[serde(default)]
    value: String,
    offset: u64,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn open(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Appends records to a topic, all or none, and returns the offset after them.
    ///
    /// With `at_offset`, the append takes effect only if the topic ends there. With a fence, it
    /// takes effect only if no higher fence was used, and a retry with the same sequence number has
    /// no further effect.
    pub async fn append(
        &self,
        topic: Topic,
        records: &[(SmolStr, Option<Vec<u8>>)],
        at_offset: Option<u64>,
        fence: Option<&Fence>,
        timeout_ms: u64,
    ) -> Result<u64, StoreFailure> {
        let condition = (at_offset, fence);
        let may_send = || true;
        self.append_if(topic, records, condition, timeout_ms, may_send)
            .await
    }

    /// Appends records like [`append`](Self::append), but sends nothing unless `may_send` holds once
    /// there is a connection.
    pub async fn append_if(
        &self,
        topic: Topic,
        records: &[(SmolStr, Option<Vec<u8>>)],
        (at_offset, fence): (Option<u64>, Option<&Fence>),
        timeout_ms: u64,
        may_send: impl Fn() -> bool,
    ) -> Result<u64, StoreFailure> {
        let mut path = format!("/hawthornladder/log-append?topic={}&part=0", topic.name());
        if let Some(offset) = at_offset {
            path.push_str(&format!("&as_of={offset}"));
        }
        if let Some(Fence {
            writer,
            fence,
            sequence,
        }) = fence
        {
            path.push_str(&format!(
                "&producer={writer}&epoch={fence}&sequence={sequence}"
            ));
        }
        let body = encode_records(records);
        let call = self.call_of(Method::POST, path, body, timeout_ms);
        let reply = self
            .client
            .call_if(call, may_send)
            .await
            .map_err(failure_of)?;
        match reply.status {
            200 => {
                let appended: Result<AppendedWire, _> = serde_json::from_slice(&reply.body);
                let appended = appended.map_err(|_| StoreFailure::Unreadable)?;
                Ok(appended.end)
            }
            status => Err(refusal_of(status, &reply.body)),
        }
    }

    /// Reads the records of a topic from an offset on. If there are none, the store waits for one
    /// for up to `wait_ms`.
    pub async fn read(
        &self,
        topic: Topic,
        from_offset: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> Result<LogPage, StoreFailure> {
        let path = format!(
            "/hawthornladder/log-read?topic={}&part=0&from={from_offset}&wait_ms={wait_ms}&max_kb={READ_MAX_KB}",
            topic.name()
        );
        let reply = self
            .call(Method::GET, path, Bytes::new(), timeout_ms)
            .await?;
        match reply.status {
            200 => decode_page(&reply.body, from_offset).ok_or(StoreFailure::Unreadable),
            status => Err(refusal_of(status, &reply.body)),
        }
    }

    /// Reads the newest record of each key. The pages are not a snapshot, so that it also returns
    /// the offset from which to read what changed since the first page.
    pub async fn read_newest(
        &self,
        topic: Topic,
        timeout_ms: u64,
    ) -> Result<(Vec<KeyedRecord>, u64), StoreFailure> {
        let mut page = self.read_newest_page(topic, None, timeout_ms).await?;
        let first_end_offset = page.end_offset;
        let mut all = Vec::new();
        let mut after = SmolStr::default();
        while page.has_more {
            after = next_page_start(&page.records, &after).ok_or(StoreFailure::Unreadable)?;
            all.append(&mut page.records);
            page = self
                .read_newest_page(topic, Some(&after), timeout_ms)
                .await?;
        }
        all.append(&mut page.records);
        Ok((all, first_end_offset))
    }

    async fn read_newest_page(
        &self,
        topic: Topic,
        after_key: Option<&str>,
        timeout_ms: u64,
    ) -> Result<KeyedPage, StoreFailure> {
        let mut path = format!("/hawthornladder/log-newest?topic={}&part=0", topic.name());
        if let Some(key) = after_key {
            path.push_str(&format!("&after={}", percent_encoded(key)));
        }
        let reply = self
            .call(Method::GET, path, Bytes::new(), timeout_ms)
            .await?;
        if reply.status == 404 {
            return Ok(KeyedPage::default());
        }
        if reply.status != 200 {
            return Err(refusal_of(reply.status, &reply.body));
        }
        let wire: NewestWire =
            serde_json::from_slice(&reply.body).map_err(|_| StoreFailure::Unreadable)?;
        let records = wire.items.into_iter().map(|item| KeyedRecord {
            offset: item.offset,
            value: BASE64_STANDARD.decode(&item.value).ok(),
            key: item.key,
        });
        Ok(KeyedPage {
            records: records.collect(),
            has_more: wire.has_more,
            end_offset: wire.end,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Reply, StoreFailure> {
        let call = self.call_of(method, path, body, timeout_ms);
        self.client.call(call).await.map_err(failure_of)
    }

    fn call_of(&self, method: Method, path: String, body: Bytes, timeout_ms: u64) -> Call {
        Call {
            address: self.address,
            method,
            path,
            headers: Vec::new(),
            body,
            timeout_ms,
            answer_max_bytes: ANSWER_MAX_BYTES,
        }
    }
}

fn failure_of(failure: CallFailure) -> StoreFailure {
    match failure {
        CallFailure::NotSent => StoreFailure::NotSent,
        CallFailure::Lost => StoreFailure::Lost,
    }
}

/// Returns the key after which the page that follows `page` starts: the last one that is text. The
/// store may then return some records once more. Returns `None` if there is no such key, or if it
/// is the one after which `page` started: the pages would repeat for ever.
fn next_page_start(page: &[KeyedRecord], after: &SmolStr) -> Option<SmolStr> {
    let is_text = |key: &&SmolStr| !key.is_empty() && !key.contains(char::REPLACEMENT_CHARACTER);
    let keys = page.iter().rev().map(|record| &record.key);
    let last = keys.into_iter().find(is_text)?;
    (last != after).then(|| last.clone())
}

/// Encodes a key for a query. Other writers may use any bytes.
fn percent_encoded(key: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    key.bytes().map(encode).collect()
}

fn refusal_of(status: u16, body: &[u8]) -> StoreFailure {
    let wire: RefusalWire = serde_json::from_slice(body).unwrap_or_default();
    match (status, wire.reason.as_str()) {
        (409, "seq") => StoreFailure::OutOfSequence {
            expected: wire.sequence.or(wire.expected),
        },
        (409, _) => StoreFailure::Fenced,
        (412, _) => StoreFailure::Moved {
            end_offset: wire.end,
        },
        (410, _) => StoreFailure::Trimmed {
            first_offset: wire.first,
        },
        (507, _) => StoreFailure::Full,
        _ => StoreFailure::Refused { status },
    }
}

fn encode_records(records: &[(SmolStr, Option<Vec<u8>>)]) -> Bytes {
    let mut body = Vec::new();
    for (key, value) in records {
        let value = value.as_deref().unwrap_or(&[]);
        let length = 1 + key.len() + value.len();
        body.extend(u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
        body.extend(key.as_bytes());
        body.extend(value);
    }
    body.into()
}

fn decode_page(body: &[u8], from_offset: u64) -> Option<LogPage> {
    let mut head = body.get(..READ_HEAD_BYTES)?.chunks_exact(8).map(be_u64);
    let end_offset = head.next()?;
    let mut rest = &body[READ_HEAD_BYTES..];
    let mut records = Vec::new();
    let mut offset = from_offset;
    while rest.len() >= RECORD_LENGTH_BYTES {
        let length = rest[..RECORD_LENGTH_BYTES]
            .iter()
            .fold(0, |length, byte| length << 8 | usize::from(*byte));
        let Some(record) = rest.get(RECORD_LENGTH_BYTES..RECORD_LENGTH_BYTES + length) else {
            break;
        };
        records.push(decode_record(offset, record));
        offset += 1;
        rest = &rest[RECORD_LENGTH_BYTES + length..];
    }
    Some(LogPage {
        records,
        next_offset: offset,
        end_offset,
    })
}

fn be_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Decodes a record of a topic with keys; one that cannot be decoded gets an empty key.
fn decode_record(offset: u64, record: &[u8]) -> KeyedRecord {
    let key_and_value = record.split_first().and_then(|(key_length, rest)| {
        let key = rest.get(..usize::from(*key_length))?;
        let value = &rest[usize::from(*key_length)..];
        Some((std::str::from_utf8(key).ok()?, value))
    });
    match key_and_value {
        None => KeyedRecord {
            key: SmolStr::default(),
            value: None,
            offset,
        },
        Some((key, value)) => KeyedRecord {
            key: key.into(),
            value: (!value.is_empty()).then(|| value.to_vec()),
            offset,
        },
    }
}
