//! The platform's store: topics of records with keys, conditional and fenced appends, reads that
//! wait, and the newest record of each key.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use hyper::body::Bytes;
use indexmap::IndexMap;
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};

use super::http_server::{json_answer, silence, Answer, Received};

/// Topic of the leadership lease.
pub(crate) const LEADERSHIP: &str = "keyed.lead";
/// Topic of the entries of the workers.
pub(crate) const WORKERS: &str = "keyed.servers";
/// Topic of the operator.
pub(crate) const OPERATORS: &str = "keyed.op";
const ANSWER_DELAY: Duration = Duration::from_millis(3);
const APPEND_TIME: Duration = Duration::from_millis(2);
/// Most records of a page of the newest ones.
const PAGE_MAX_COUNT: usize = 500;
/// Number of appends of a writer whose answers are repeated.
const REPEATED_MAX_COUNT: usize = 5;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreFault {
    /// None.
    #[default]
    None,
    /// All calls are refused.
    Down,
    /// All calls take this much longer, in milliseconds.
    Slow(u64),
    /// Each call of this number takes effect, and its answer is lost.
    LosesAnswers(u64),
    /// Each append of this number takes effect only seconds later, without an answer.
    Late(u64),
}

struct Record {
    key: String,
    value: Vec<u8>,
}

/// What a topic knows of one writer.
#[derive(Clone, Default)]
struct Writer {
    epoch: u64,
    sequence: Option<u64>,
    answers: Vec<(u64, Answer)>,
}

#[derive(Default)]
struct Topic {
    records: RefCell<Vec<Record>>,
    newest: RefCell<BTreeMap<String, usize>>,
    writers: RefCell<IndexMap<String, Writer>>,
    /// Appends take effect one by one, in the order of their arrival.
    turn: tokio::sync::Mutex<()>,
    grown: Notify,
}

/// The store.
#[derive(Default)]
pub(crate) struct Store {
    topics: RefCell<IndexMap<String, Rc<Topic>>>,
    fault: Cell<StoreFault>,
    calls_count: Cell<u64>,
}

impl Topic {
    fn end(&self) -> usize {
        self.records.borrow().len()
    }

    fn add(&self, key: String, value: Vec<u8>) {
        let offset = self.end();
        match value.is_empty() {
            true => drop(self.newest.borrow_mut().remove(&key)),
            false => drop(self.newest.borrow_mut().insert(key.clone(), offset)),
        }
        self.records.borrow_mut().push(Record { key, value });
        self.grown.notify_waiters();
    }

    fn append(&self, call: &Received) -> Answer {
        let end = self.end();
        let expected = call.query_number("as_of");
        if expected.is_some_and(|offset| offset != end as u64) {
            return json_answer(412, &json!({ "end": end }));
        }
        let Some(producer) = call.query("producer") else {
            return self.add_all(&call.body);
        };
        let epoch = call.query_number("epoch").expect("a writer has an epoch");
        let sequence = call.query_number("sequence").unwrap_or(0);
        let known = self.writers.borrow().get(producer).cloned();
        let mut writer = known.unwrap_or_default();
        if epoch < writer.epoch {
            return json_answer(409, &json!({ "reason": "fenced" }));
        }
        if epoch > writer.epoch {
            writer = Writer {
                epoch,
                ..Writer::default()
            };
        }
        let answer = self.append_as(&mut writer, sequence, &call.body);
        self.writers.borrow_mut().insert(producer.into(), writer);
        answer
    }

    fn append_as(&self, writer: &mut Writer, sequence: u64, body: &[u8]) -> Answer {
        if body.is_empty() {
            return self.add_all(body);
        }
        let repeated = writer.answers.iter().find(|(known, _)| *known == sequence);
        if let Some((_, answer)) = repeated {
            return answer.clone();
        }
        let next = writer.sequence.map_or(sequence, |last| last + 1);
        if sequence != next {
            return json_answer(409, &json!({ "reason": "seq", "sequence": next }));
        }
        let answer = self.add_all(body);
        writer.sequence = Some(sequence);
        writer.answers.push((sequence, answer.clone()));
        if writer.answers.len() > REPEATED_MAX_COUNT {
            writer.answers.remove(0);
        }
        answer
    }

    fn add_all(&self, mut body: &[u8]) -> Answer {
        let offset = self.end();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8(key.to_vec()).expect("keys are text");
            self.add(key, value.to_vec());
            body = rest;
        }
        json_answer(200, &json!({ "offset": offset, "end": self.end() }))
    }

    async fn wait_for(&self, offset: usize, until: Instant) {
        while self.end() <= offset {
            if timeout_at(until, self.grown.notified()).await.is_err() {
                return;
            }
        }
    }

    fn read(&self, offset: usize, max_bytes: usize) -> Answer {
        let records = self.records.borrow();
        let mut page = (records.len() as u64).to_be_bytes().to_vec();
        page.extend(0_u64.to_be_bytes());
        for Record { key, value } in records.iter().skip(offset) {
            let length = 1 + key.len() + value.len();
            if page.len() + length > max_bytes {
                break;
            }
            page.extend((length as u32).to_be_bytes());
            page.push(key.len() as u8);
            page.extend(key.as_bytes());
            page.extend(value);
        }
        (200, Bytes::from(page))
    }

    fn read_newest(&self, after: Option<&str>) -> Answer {
        let (records, newest) = (self.records.borrow(), self.newest.borrow());
        let mut rows = newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let page = rows.by_ref().take(PAGE_MAX_COUNT).map(|(key, offset)| {
            let value = BASE64_STANDARD.encode(&records[*offset].value);
            json!({ "key": key, "value": value, "offset": offset })
        });
        let items: Vec<Value> = page.collect();
        let has_more = rows.next().is_some();
        json_answer(
            200,
            &json!({ "items": items, "has_more": has_more, "end": records.len() }),
        )
    }
}

impl Store {
    fn topic(&self, name: &str) -> Rc<Topic> {
        Rc::clone(self.topics.borrow_mut().entry(name.to_owned()).or_default())
    }

    /// Sets the fault in force.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        self.fault.set(fault);
    }

    /// Returns whether the store refuses all calls.
    pub(crate) fn is_down(&self) -> bool {
        self.fault.get() == StoreFault::Down
    }

    /// Writes a record, or deletes it, as the operator and the workers do.
    pub(crate) fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(Value::to_string).unwrap_or_default();
        self.topic(topic).add(key.to_owned(), value.into_bytes());
    }

    /// Returns the name of the node that led with `fence`, or that leads now if there is none.
    pub(crate) fn holder(&self, fence: Option<u64>) -> Option<String> {
        let topic = self.topic(LEADERSHIP);
        let records = topic.records.borrow();
        let mut leaders = records.iter().rev().map(|record| {
            let value: Value = serde_json::from_slice(&record.value).unwrap_or_default();
            (
                value["fence"].as_u64(),
                value["holder"].as_str().map(str::to_owned),
            )
        });
        leaders.find(|(of, _)| fence.is_none() || *of == fence)?.1
    }

    /// Answers a call of a node.
    pub(crate) async fn answer(self: Rc<Self>, call: Received) -> Option<Answer> {
        let number = self.calls_count.get() + 1;
        self.calls_count.set(number);
        let fault = self.fault.get();
        let is_append = call.path.ends_with("log-append");
        match fault {
            StoreFault::Down => return Some(json_answer(503, &json!({}))),
            StoreFault::Slow(delay_ms) => sleep(Duration::from_millis(delay_ms)).await,
            StoreFault::Late(each) if is_append && number % each == 0 => {
                sleep(Duration::from_millis(1_000 + 700 * (number % 4))).await;
            }
            _ => sleep(ANSWER_DELAY).await,
        }
        let answer = self.execute(&call).await;
        match fault {
            StoreFault::LosesAnswers(each) if number % each == 0 => silence().await,
            StoreFault::Late(each) if is_append && number % each == 0 => silence().await,
            _ => Some(answer),
        }
    }

    async fn execute(&self, call: &Received) -> Answer {
        let topic = self.topic(call.query("topic").unwrap_or(""));
        match call.path.as_str() {
            "/hawthornladder/log-append" => {
                let _turn = topic.turn.lock().await;
                sleep(APPEND_TIME).await;
                topic.append(call)
            }
            "/hawthornladder/log-read" => {
                let number = |name| call.query_number(name).unwrap_or(0);
                let offset = number("from") as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                topic.wait_for(offset, until).await;
                match self.is_down() {
                    true => json_answer(503, &json!({})),
                    false => topic.read(offset, number("max_kb") as usize * 1_024),
                }
            }
            "/hawthornladder/log-newest" => topic.read_newest(call.query("after")),
            _ => json_answer(400, &json!({})),
        }
    }
}
