//! Small stand-ins for the users' platform: the store, the list of machines, workers and clients, and
//! the start of the project's own nodes. Only the standard library is used. All addresses are loopback
//! addresses, and all ports are free ones.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(rows) => rows.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Map(rows));
                }
                if bytes[*at] == b',' {
                    *at += 1;
                    continue;
                }
                let key = parse_text(bytes, at)?;
                skip(bytes, at);
                *at += 1;
                rows.push((key, parse_value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let next = *bytes.get(*at + 1)?;
                *at += 2;
                match next {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        text.extend(char::from_u32(code)?.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0u32;
        for at in 0..3 {
            group = group << 8 | u32::from(*chunk.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Json {
        Json::parse(&String::from_utf8_lossy(&self.body)).unwrap_or(Json::Null)
    }
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn answer(status: u16, body: impl Into<Vec<u8>>) -> Answer {
    Answer { status, body: body.into() }
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(code) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                plain.push(code);
                at += 3;
                continue;
            }
        }
        plain.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let mut request = Request { method: words.next()?.to_owned(), ..Request::default() };
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    request.path = path.to_owned();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.insert(key.to_owned(), unescaped(value));
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = request.headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// A server that can be ended as a crash would end it: its port is closed and its connections reset.
pub struct Server {
    pub address: SocketAddr,
    is_over: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a free port. A handler that returns none leaves the request unanswered.
    pub fn open(ip: &str, handle: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static) -> Server {
        Server::open_at(ip, 0, handle)
    }

    /// Serves on a port; 0 selects a free one.
    pub fn open_at(ip: &str, port: u16, handle: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind((ip, port)).expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let is_over = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let handle = Arc::new(handle);
        let (over, open) = (Arc::clone(&is_over), Arc::clone(&streams));
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handle = Arc::clone(&handle);
                        thread::spawn(move || serve_stream(stream, &*handle));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server { address, is_over, streams }
    }

    pub fn crash(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_stream(stream: TcpStream, handle: &(dyn Fn(Request) -> Option<Answer> + Send + Sync)) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(answer) = handle(request) else {
            // Nothing more comes on a channel on which an answer is lost.
            thread::sleep(Duration::from_secs(60));
            return;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(answer.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str, timeout_ms: u64) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    Some((status, body))
}

// ---------------------------------------------------------------- the record of a case

#[derive(Clone)]
pub struct Log {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn open(path: &str) -> Log {
        let file = File::create(path).expect("the record of the case");
        Log { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let at = self.ms();
        let _ = writeln!(self.file.lock().unwrap(), "{:3}.{:03} s  {text}", at / 1000, at % 1000);
    }
}

// ---------------------------------------------------------------- the store

#[derive(Default)]
struct Writer {
    epoch: u64,
    last: Option<u64>,
    answers: Vec<(u64, String)>,
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Vec<Vec<u8>>>,
    writers: HashMap<(String, String), Writer>,
}

/// The platform's store, in memory. Each call takes 4 ms.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

const STORE_MS: u64 = 4;

fn key_and_value(record: &[u8]) -> (String, Vec<u8>) {
    let length = usize::from(record[0]);
    (String::from_utf8_lossy(&record[1..1 + length]).into_owned(), record[1 + length..].to_vec())
}

impl Store {
    pub fn open() -> Arc<Store> {
        Arc::new(Store { state: Mutex::default(), changed: Condvar::new() })
    }

    /// Writes a record as the operator or a worker does; without a value it is removed.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.state.lock().unwrap().topics.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(topic)?;
        let found = records.iter().rev().map(|record| key_and_value(record)).find(|(name, _)| name == key)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    pub fn serve(self: &Arc<Self>) -> Server {
        let store = Arc::clone(self);
        Server::open("127.0.0.1", move |request| {
            pause_ms(STORE_MS);
            Some(match request.path.as_str() {
                "/hawthornladder/log-append" => store.append(&request),
                "/hawthornladder/log-read" => store.read(&request),
                "/hawthornladder/log-newest" => store.list(&request),
                _ => answer(404, ""),
            })
        })
    }

    fn append(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let number = |key: &str| request.query.get(key).and_then(|text| text.parse::<u64>().ok());
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let records = state.topics.entry(topic.clone()).or_default();
        let end = records.len() as u64;
        if number("as_of").is_some_and(|as_of| as_of != end) {
            return answer(412, format!("{{\"end\":{end}}}"));
        }
        let writer = request.query.get("producer").map(|name| state.writers.entry((topic, name.clone())).or_default());
        let sequence = number("sequence").unwrap_or(0);
        let mut writer = writer;
        if let Some(writer) = &mut writer {
            let epoch = number("epoch").unwrap_or(0);
            if epoch < writer.epoch {
                return answer(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > writer.epoch {
                **writer = Writer { epoch, ..Writer::default() };
            }
            if request.body.is_empty() {
                return answer(200, format!("{{\"offset\":{end},\"end\":{end}}}"));
            }
            if let Some((_, earlier)) = writer.answers.iter().find(|(known, _)| *known == sequence) {
                return answer(200, earlier.clone());
            }
            if let Some(last) = writer.last.filter(|last| sequence != last + 1) {
                return answer(409, format!("{{\"reason\":\"seq\",\"sequence\":{}}}", last + 1));
            }
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let said = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
        if let Some(writer) = writer {
            writer.last = Some(sequence);
            writer.answers.push((sequence, said.clone()));
            if writer.answers.len() > 5 {
                writer.answers.remove(0);
            }
        }
        drop(guard);
        self.changed.notify_all();
        answer(200, said)
    }

    fn read(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let number = |key: &str| request.query.get(key).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.topics.get(&topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((end as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for record in state.topics.get(&topic).into_iter().flatten().skip(from) {
                    if body.len() > 400_000 {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return answer(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let records = state.topics.get(&topic).map_or(&[][..], |records| &records[..]);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = key_and_value(record);
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| !value.is_empty() && *key > after);
        let has_more = newest.len() > 500;
        let items: Vec<String> = newest
            .iter()
            .take(500)
            .map(|(key, (offset, value))| format!("{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}", quoted(key), base64(value)))
            .collect();
        answer(200, format!("{{\"items\":[{}],\"has_more\":{has_more},\"end\":{}}}", items.join(","), records.len()))
    }
}

// ---------------------------------------------------------------- workers and machines

/// What a work item asks for and how long it works; the spec of the job would tell a real worker.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub cpu: u64,
    pub memory: u64,
    pub ms: u64,
    pub lasts: bool,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    work: Work,
}

/// How a worker answers orders to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Sound,
    /// It is unhealthy, and answers 503 to each order to start: it has then done nothing.
    Sheds,
}

struct LifeState {
    mood: Mood,
    fence: u64,
    until_ms: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    ends_count: u64,
    /// Highest run of each work item that was stopped or ended here.
    over: HashMap<String, u64>,
}

/// One life of a worker.
pub struct Life {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    born: u64,
    started: Instant,
    clock_from: u64,
    state: Mutex<LifeState>,
    changed: Condvar,
    is_over: AtomicBool,
    server: Mutex<Option<Server>>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock_from + self.started.elapsed().as_millis() as u64
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub worker: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub how: &'static str,
}

pub struct Machine {
    pub name: String,
    pub rack: String,
    pub state: &'static str,
    pub life: Option<Arc<Life>>,
    pub fence: u64,
}

pub struct World {
    pub log: Log,
    pub store: Arc<Store>,
    pub service: String,
    pub cpu: u64,
    pub memory: u64,
    pub machines: Mutex<Vec<Machine>>,
    pub works: Mutex<HashMap<String, Vec<Work>>>,
    pub started: Mutex<Vec<Started>>,
    pub ended: Mutex<Vec<Ended>>,
    /// Machines whose workers may run the steps of the queue with a policy.
    pub eligible: Mutex<Vec<usize>>,
    /// Jobs of that queue.
    advised: Mutex<Vec<String>>,
    /// Upkeeps: the machine, and what ran there: work item, whether it lasts, and for how long it had run.
    pub upkeeps: Mutex<Vec<(String, Vec<(String, bool, u64)>)>>,
    lives_count: Mutex<u64>,
}

const HOLD_MAX_MS: u64 = 10_000;
/// After three heartbeats of 1.5 s without a word, the entry of a worker is removed.
const SILENCE_MS: u64 = 4_500;

impl World {
    pub fn open(log: Log, service: &str, machines_count: usize) -> Arc<World> {
        let world = Arc::new(World {
            log,
            store: Store::open(),
            service: service.to_owned(),
            cpu: 32_000,
            memory: 131_072,
            machines: Mutex::default(),
            works: Mutex::default(),
            started: Mutex::default(),
            ended: Mutex::default(),
            eligible: Mutex::default(),
            advised: Mutex::default(),
            upkeeps: Mutex::default(),
            lives_count: Mutex::default(),
        });
        for number in 0..machines_count {
            world.machines.lock().unwrap().push(Machine {
                name: format!("m-{:05x}", 0x0a3f1 + number * 0x111),
                rack: format!("r1-{}", number / 4),
                state: "down",
                life: None,
                fence: 0,
            });
        }
        for number in 0..machines_count {
            world.begin_life(number);
        }
        let ticking = Arc::clone(&world);
        thread::spawn(move || loop {
            pause_ms(5);
            ticking.tick();
        });
        world
    }

    /// Starts a new worker on a machine, under a new id.
    pub fn begin_life(self: &Arc<Self>, machine: usize) {
        let number = *self.lives_count.lock().unwrap() + 1;
        let id = format!("i-{:08x}", 0x7f3a_0000 + number * 0x101);
        self.begin_life_as(machine, id, 0, true);
    }

    /// Starts a new worker on a machine under this id and at this port (0 for any). If it is cut off from the
    /// store, it cannot write there.
    pub fn begin_life_as(self: &Arc<Self>, machine: usize, id: String, port: u16, reaches_store: bool) {
        let number = {
            let mut count = self.lives_count.lock().unwrap();
            *count += 1;
            *count
        };
        let world = Arc::clone(self);
        let slot: Arc<Mutex<Option<Arc<Life>>>> = Arc::default();
        let of_server = Arc::clone(&slot);
        let server = Server::open_at("127.0.0.1", port, move |request| {
            let life = of_server.lock().unwrap().clone();
            match life {
                Some(life) if !life.is_over.load(Ordering::SeqCst) => world.answer_order(&life, &request),
                _ => None,
            }
        });
        let mut machines = self.machines.lock().unwrap();
        let row = &mut machines[machine];
        let life = Arc::new(Life {
            id: id.clone(),
            machine: row.name.clone(),
            address: server.address,
            born: unix_ms(),
            started: Instant::now(),
            clock_from: 1_000 * (number + 7),
            state: Mutex::new(LifeState {
                mood: Mood::Sound,
                fence: 0,
                until_ms: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                ends_count: 0,
                over: HashMap::new(),
            }),
            changed: Condvar::new(),
            is_over: AtomicBool::new(false),
            server: Mutex::new(Some(server)),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&life));
        row.life = Some(Arc::clone(&life));
        row.state = "up";
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"lhr-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"memory_request_mb\":{},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"sequence\":1,\"born\":{},\"machine\":\"{}\"}}",
            quoted(&self.service), life.address, self.cpu, self.memory, row.rack, life.clock_ms(), life.born, row.name
        );
        drop(machines);
        if reaches_store {
            self.store.put("keyed.servers", &id, &entry);
        }
        self.log.line(&format!("worker {id} starts on {}, born {}", life.machine, life.born));
    }

    fn end_life(&self, life: &Arc<Life>, why: &str) {
        life.is_over.store(true, Ordering::SeqCst);
        if let Some(server) = life.server.lock().unwrap().take() {
            server.crash();
        }
        let lost: Vec<(String, u64)> = life.state.lock().unwrap().runs.drain(..).map(|run| (run.task, run.run)).collect();
        life.changed.notify_all();
        self.log.line(&format!("worker {} on {} {why}; with it {} runs: {lost:?}", life.id, life.machine, lost.len()));
    }

    /// Crashes the worker of a machine. Another one starts there after `down_ms`; without it, none does.
    pub fn crash(self: &Arc<Self>, machine: usize, down_ms: Option<u64>) {
        let life = {
            let mut machines = self.machines.lock().unwrap();
            machines[machine].state = "down";
            machines[machine].life.take()
        };
        let Some(life) = life else { return };
        self.end_life(&life, "crashes");
        let world = Arc::clone(self);
        let id = life.id.clone();
        thread::spawn(move || {
            pause_ms(SILENCE_MS);
            world.store.put("keyed.servers", &id, "");
        });
        if let Some(down_ms) = down_ms {
            let world = Arc::clone(self);
            thread::spawn(move || {
                pause_ms(down_ms);
                world.begin_life(machine);
            });
        }
    }

    /// Crashes the worker of a machine, which starts again under its id and at its address after `down_ms`, cut
    /// off from the store.
    pub fn restart_behind_cut(self: &Arc<Self>, machine: usize, down_ms: u64) {
        let life = self.machines.lock().unwrap()[machine].life.take();
        let Some(life) = life else { return };
        self.end_life(&life, "crashes behind a cut from the store");
        let world = Arc::clone(self);
        thread::spawn(move || {
            pause_ms(down_ms);
            world.begin_life_as(machine, life.id.clone(), life.address.port(), false);
        });
    }

    /// Adds a machine with a worker under this id.
    pub fn add_machine(self: &Arc<Self>, id: &str) {
        let number = {
            let mut machines = self.machines.lock().unwrap();
            let number = machines.len();
            machines.push(Machine { name: format!("m-{:05x}", 0x0f000 + number), rack: "r1-9".to_owned(), state: "down", life: None, fence: 0 });
            number
        };
        self.begin_life_as(number, id.to_owned(), 0, true);
    }

    /// Returns the workers on which a work item runs now.
    pub fn runs_of(&self, task: &str) -> Vec<(String, u64)> {
        let machines = self.machines.lock().unwrap();
        let mut found = Vec::new();
        for life in machines.iter().filter_map(|machine| machine.life.as_ref()) {
            let state = life.state.lock().unwrap();
            found.extend(state.runs.iter().filter(|run| run.task == task).map(|run| (life.id.clone(), run.run)));
        }
        found
    }

    pub fn set_mood(&self, machine: usize, mood: Mood) {
        let machines = self.machines.lock().unwrap();
        if let Some(life) = &machines[machine].life {
            life.state.lock().unwrap().mood = mood;
            self.log.line(&format!("worker {} is {mood:?} from now on", life.id));
        }
    }

    /// Returns the machine on which a work item runs now, with the number of its run and for how long.
    pub fn machine_of(&self, task: &str) -> Option<(usize, u64, u64)> {
        let machines = self.machines.lock().unwrap();
        for (number, machine) in machines.iter().enumerate() {
            let Some(life) = &machine.life else { continue };
            let state = life.state.lock().unwrap();
            if let Some(run) = state.runs.iter().find(|run| run.task == task) {
                return Some((number, run.run, run.since.elapsed().as_millis() as u64));
            }
        }
        None
    }

    /// Returns the free capacity of each worker that is up.
    pub fn free(&self) -> Vec<(u64, u64)> {
        let machines = self.machines.lock().unwrap();
        let lives = machines.iter().filter_map(|machine| machine.life.as_ref());
        lives
            .map(|life| {
                let state = life.state.lock().unwrap();
                let cpu: u64 = state.runs.iter().map(|run| run.work.cpu).sum();
                let memory: u64 = state.runs.iter().map(|run| run.work.memory).sum();
                (self.cpu - cpu, self.memory - memory)
            })
            .collect()
    }

    fn tick(&self) {
        let lives: Vec<Arc<Life>> = self.machines.lock().unwrap().iter().filter_map(|machine| machine.life.clone()).collect();
        for life in lives {
            let mut state = life.state.lock().unwrap();
            let is_lapsed = life.clock_ms() > state.until_ms;
            let mut at = 0;
            while at < state.runs.len() {
                let run = &state.runs[at];
                let is_done = !run.work.lasts && run.since.elapsed() >= Duration::from_millis(run.work.ms);
                match (is_lapsed, is_done) {
                    (_, true) => self.end_run(&life, &mut state, at, "done"),
                    (true, _) => self.end_run(&life, &mut state, at, "lapsed"),
                    _ => at += 1,
                }
            }
        }
    }

    fn end_run(&self, life: &Life, state: &mut LifeState, at: usize, how: &'static str) {
        let run = state.runs.remove(at);
        state.ends_count += 1;
        let highest = state.over.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.run);
        let number = state.ends_count;
        state.ends.push((number, run.task.clone(), run.run, how));
        self.log.line(&format!("run {} of {} on {} ends: {how}", run.run, run.task, life.id));
        self.ended.lock().unwrap().push(Ended { at_ms: self.log.ms(), task: run.task, run: run.run, worker: life.id.clone(), how });
        life.changed.notify_all();
    }

    fn answer_order(&self, life: &Arc<Life>, request: &Request) -> Option<Answer> {
        if request.path == "/health" {
            return Some(answer(200, ""));
        }
        let meant = request.headers.get("x-hawthornladder-expected-instance");
        if meant.is_some_and(|id| *id != life.id) {
            return Some(answer(421, ""));
        }
        let body = request.json();
        let clock = life.clock_ms();
        let refusal = |status: u16, reason: &str| Some(answer(status, format!("{{\"clock_ms\":{clock},\"born\":{},\"reason\":\"{reason}\"}}", life.born)));
        let fence = body.number("fencing_token").unwrap_or(0);
        let task = body.text("task");
        let number = body.number("run").unwrap_or(0);
        let mut state = life.state.lock().unwrap();
        if fence < state.fence {
            return refusal(409, "fence");
        }
        state.fence = fence;
        let fine = format!("{{\"clock_ms\":{clock},\"born\":{}}}", life.born);
        match request.path.as_str() {
            "/hawthornladder/run-start" => {
                if state.mood == Mood::Sheds {
                    self.log.line(&format!("worker {} is told to start run {number} of {task}: 503", life.id));
                    return Some(answer(503, ""));
                }
                if state.runs.iter().any(|run| run.task == task && run.run == number) {
                    return Some(answer(200, fine));
                }
                let until = body.number("until_ms").unwrap_or(0);
                if until <= clock {
                    return refusal(409, "late");
                }
                state.until_ms = state.until_ms.max(until.min(clock + HOLD_MAX_MS));
                if state.over.get(&task).is_some_and(|highest| number <= *highest) {
                    return refusal(409, "old");
                }
                let mut parts = task.split('.');
                let job = parts.next().unwrap_or("").to_owned();
                let step: usize = parts.nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                let work = self.works.lock().unwrap().get(&job).and_then(|steps| steps.get(step).copied());
                let Some(work) = work else {
                    self.log.line(&format!("worker {} is told to start run {number} of {task}, which no client has sent", life.id));
                    self.started.lock().unwrap().push(Started { at_ms: self.log.ms(), task, run: number, worker: life.id.clone() });
                    return refusal(400, "unknown");
                };
                if self.advised.lock().unwrap().contains(&job) && body.text("ticket") != format!("t-{}", life.id) {
                    return refusal(409, "ticket");
                }
                let cpu: u64 = state.runs.iter().map(|run| run.work.cpu).sum();
                let memory: u64 = state.runs.iter().map(|run| run.work.memory).sum();
                if cpu + work.cpu > self.cpu || memory + work.memory > self.memory {
                    return refusal(409, "room");
                }
                self.log.line(&format!("worker {} on {} starts run {number} of {task}", life.id, life.machine));
                self.started.lock().unwrap().push(Started { at_ms: self.log.ms(), task: task.clone(), run: number, worker: life.id.clone() });
                state.runs.push(Run { task, run: number, since: Instant::now(), work });
                Some(answer(200, fine))
            }
            "/hawthornladder/run-stop" => {
                self.log.line(&format!("worker {} is told to stop run {number} of {task}", life.id));
                match state.runs.iter().position(|run| run.task == task && run.run == number) {
                    Some(at) => self.end_run(life, &mut state, at, "stopped"),
                    None => {
                        let highest = state.over.entry(task).or_default();
                        *highest = (*highest).max(number);
                    }
                }
                Some(answer(200, fine))
            }
            "/hawthornladder/pace" => Some(answer(200, fine)),
            "/hawthornladder/hold" => {
                let acked = body.number("acked_through").unwrap_or(0);
                state.ends.retain(|(number, ..)| *number > acked);
                if let Some(until) = body.number("until_ms") {
                    state.until_ms = state.until_ms.max(until.min(clock + HOLD_MAX_MS));
                }
                let until = Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                while state.ends.is_empty() && !life.is_over.load(Ordering::SeqCst) {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = life.changed.wait_timeout(state, left).unwrap().0;
                }
                if life.is_over.load(Ordering::SeqCst) {
                    return None;
                }
                let running: Vec<String> = state
                    .runs
                    .iter()
                    .map(|run| {
                        let ran_ms = run.since.elapsed().as_millis() as u64;
                        let percent = match run.work.lasts {
                            true if ran_ms >= 300 => 100,
                            true => 0,
                            false => (ran_ms * 100 / run.work.ms.max(1)).min(99),
                        };
                        format!("[\"{}\",{},\"\",{percent},{}]", run.task, run.run, run.work.cpu)
                    })
                    .collect();
                let ends: Vec<String> = state
                    .ends
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
                    .collect();
                let clock = life.clock_ms();
                Some(answer(200, format!("{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}", life.born, running.join(","), ends.join(","))))
            }
            _ => Some(answer(404, "")),
        }
    }

    /// Returns the ids of the workers that may run the steps of the queue with a policy.
    fn eligible_ids(&self) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let numbers = self.eligible.lock().unwrap();
        let lives = numbers.iter().filter_map(|number| machines[*number].life.as_ref());
        lives.map(|life| life.id.clone()).collect()
    }

    /// Serves the advice on which workers may run a step: 20 ms a call and 1 ms for each worker named.
    pub fn serve_advice(self: &Arc<Self>) -> Server {
        let world = Arc::clone(self);
        Server::open("127.0.0.1", move |request| {
            let body = request.json();
            let Some(Json::List(named)) = body.get("workers") else {
                return Some(answer(400, ""));
            };
            pause_ms(20 + named.len() as u64);
            let ids = world.eligible_ids();
            let eligible = named.iter().filter_map(|id| match id {
                Json::Text(id) if ids.contains(id) => Some(format!("[\"{id}\",\"t-{id}\"]")),
                _ => None,
            });
            let eligible: Vec<String> = eligible.collect();
            world.log.line(&format!("advice on {}: {} workers named, {} of them eligible; eligible and up: {}", body.text("step"), named.len(), eligible.len(), ids.len()));
            Some(answer(200, format!("{{\"eligible\":[{}],\"valid_ms\":3000}}", eligible.join(","))))
        })
    }

    /// Carries out the upkeep of a machine: all that runs there ends at once, and a new worker follows.
    fn upkeep(self: &Arc<Self>, request: &Request) -> Answer {
        let body = request.json();
        let name = body.text("machine");
        let fence = request.headers.get("x-hawthornladder-fencing-token").and_then(|text| text.parse().ok()).unwrap_or(0);
        let (number, life, running) = {
            let mut machines = self.machines.lock().unwrap();
            let Some(number) = machines.iter().position(|machine| machine.name == name) else {
                return answer(400, "{\"reason\":\"unknown\"}");
            };
            let row = &mut machines[number];
            if fence < row.fence {
                return answer(409, "{\"reason\":\"fence\"}");
            }
            row.fence = fence;
            if row.state != "up" {
                return answer(409, "{\"reason\":\"busy\"}");
            }
            row.state = "upkeep";
            let life = row.life.take();
            let running = match &life {
                Some(life) => life.state.lock().unwrap().runs.iter().map(|run| (run.task.clone(), run.work.lasts, run.since.elapsed().as_millis() as u64)).collect(),
                None => Vec::new(),
            };
            (number, life, running)
        };
        self.log.line(&format!("upkeep of {name}, in wave {:?}, ends {} runs: {running:?}", body.number("wave"), running.len()));
        self.upkeeps.lock().unwrap().push((name, running));
        if let Some(life) = life {
            self.end_life(&life, "ends with the upkeep");
            self.store.put("keyed.servers", &life.id, "");
        }
        let world = Arc::clone(self);
        thread::spawn(move || {
            pause_ms(2_000);
            world.begin_life(number);
        });
        answer(200, "{}")
    }

    /// Serves the list of machines and their upkeep. Orders to move one are refused as busy: there is only
    /// one pool.
    pub fn serve_cloud(self: &Arc<Self>) -> Server {
        let world = Arc::clone(self);
        Server::open("127.0.0.1", move |request| {
            if request.path == "/hawthornladder/machine-upkeep" {
                return Some(world.upkeep(&request));
            }
            if request.path != "/hawthornladder/machines" {
                return Some(answer(409, "{\"reason\":\"busy\"}"));
            }
            let machines = world.machines.lock().unwrap();
            let rows: Vec<String> = machines
                .iter()
                .map(|machine| {
                    let id = machine.life.as_ref().map_or("null".to_owned(), |life| quoted(&life.id));
                    format!(
                        "{{\"machine\":\"{}\",\"pool\":{},\"state\":\"{}\",\"zone\":\"lhr-a\",\"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":{},\"memory_request_mb\":{},\"gpu\":0}},\"id\":{id}}}",
                        machine.name, quoted(&world.service), machine.state, machine.rack, world.cpu, world.memory
                    )
                })
                .collect();
            Some(answer(200, format!("{{\"machines\":[{}],\"next_token\":null}}", rows.join(","))))
        })
    }
}

// ---------------------------------------------------------------- a link that can be cut

/// A proxy. While it is cut, nothing passes in either direction, without a word.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: Arc<AtomicBool>) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = [0; 65_536];
    loop {
        if is_cut.load(Ordering::SeqCst) {
            pause_ms(5);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                while is_cut.load(Ordering::SeqCst) {
                    pause_ms(5);
                }
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

impl Link {
    pub fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    while cut.load(Ordering::SeqCst) {
                        pause_ms(5);
                    }
                    let Ok(other) = TcpStream::connect(target) else { return };
                    let _ = stream.set_nodelay(true);
                    let _ = other.set_nodelay(true);
                    let (Ok(stream_copy), Ok(other_copy)) = (stream.try_clone(), other.try_clone()) else { return };
                    let back = Arc::clone(&cut);
                    thread::spawn(move || pass(other_copy, stream_copy, back));
                    pass(stream, other, cut);
                });
            }
        });
        Link { address, is_cut }
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------- the project's own nodes

pub struct Nodes {
    folder: PathBuf,
    children: Vec<Child>,
    pub callers: Vec<SocketAddr>,
    /// The links of the nodes to the store.
    pub links: Vec<Link>,
    _servers: Vec<Server>,
}

/// Returns the first of two free ports that follow each other.
fn port_pair(ip: &str) -> u16 {
    loop {
        let first = TcpListener::bind((ip, 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        if port < u16::MAX && TcpListener::bind((ip, port + 1)).is_ok() {
            return port;
        }
    }
}

fn port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("an address").port()
}

impl Nodes {
    /// Starts `count` nodes with the command of the deploy file, each on a loopback address of its own,
    /// with the bounds of the Lahore Ionosphere Desk.
    pub fn start(world: &Arc<World>, root: &str, count: usize) -> Nodes {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let servers = vec![world.store.serve(), world.serve_cloud(), world.serve_advice()];
        let (store, cloud, advice) = (servers[0].address, servers[1].address, servers[2].address);
        let mut nodes = Nodes { folder, children: Vec::new(), callers: Vec::new(), links: Vec::new(), _servers: servers };
        for number in 1..=count {
            let ip = format!("127.0.0.{}", number + 1);
            let internal = port_pair(&ip);
            let link = Link::open(store);
            let store = link.address;
            nodes.links.push(link);
            let (frontend, ready, control) = (port(&ip), port(&ip), port(&ip));
            let text = format!(
                "node_name = \"frontend-lhr-a-{number}\"\nrole = \"node\"\nmachine_class = \"frontend\"\nserves = [\"frontend\"]\nip = \"{ip}\"\nzone = \"lhr-a\"\nregion = \"pk-punjab\"\n\
                 internal_ports = [{internal}, {}]\nseeds = []\nbootstrap = true\nfault_counted = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1500\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncommands = \"invocation\"\nrecommendation = \"{advice}\"\n\
                 [zones]\nlhr-a = \"pk-punjab\"\n[listen]\nfrontend_address = \"{ip}:{frontend}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
                 [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
                 [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_extension_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\nquota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\nrecovery_s = 12\nhold_max_ms = 10000\nstop_ms = 200\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_factor = 3\ncheckpoint_s = 2\nrestore_ms = 100\nnotice_ms = 4500\nmigration_s = 1.5\nmaintenance_s = 2\nfencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nviolation_ms = 4000\n\
                 [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 12\nappend_ms = 2.0\npart_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n\
                 [cloud]\naddress = \"{cloud}\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n",
                internal + 15
            );
            let path = nodes.folder.join(format!("node-{number}.toml"));
            std::fs::write(&path, text).expect("a settings file");
            let output = File::create(nodes.folder.join(format!("node-{number}.log"))).expect("a log");
            let child = Command::new("target/release/hawthornladder")
                .arg("node")
                .current_dir(root)
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("HAWTHORNLADDER_CONFIG", &path)
                .stdin(Stdio::null())
                .stdout(output.try_clone().expect("a log"))
                .stderr(output)
                .spawn();
            match child {
                Ok(child) => {
                    STARTED.lock().unwrap().push(child.id());
                    nodes.children.push(child);
                }
                Err(error) => {
                    world.log.line(&format!("the node does not start: {error}"));
                    return nodes;
                }
            }
            nodes.callers.push(format!("{ip}:{frontend}").parse().expect("an address"));
        }
        nodes
    }

    /// Returns what the nodes logged that holds one of `words`.
    pub fn said(&self, words: &[&str]) -> Vec<String> {
        let mut found = Vec::new();
        for number in 1..=self.children.len() {
            let text = std::fs::read_to_string(self.folder.join(format!("node-{number}.log"))).unwrap_or_default();
            let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            found.extend(lines.map(|line| format!("node {number}: {line}")));
        }
        found
    }

    /// Returns the numbers of the nodes that have acquired leadership, the last one last, counted from 0.
    pub fn leaders(&self) -> Vec<usize> {
        let mut found = Vec::new();
        for line in self.said(&["event=leadership_acquired"]) {
            let number = line.strip_prefix("node ").and_then(|rest| rest.split(':').next()).and_then(|text| text.parse::<usize>().ok());
            let fence = line.split("fence=").nth(1).and_then(|rest| rest.split_whitespace().next()).and_then(|text| text.parse::<u64>().ok());
            if let (Some(number), Some(fence)) = (number, fence) {
                found.push((fence, number - 1));
            }
        }
        found.sort_unstable();
        found.into_iter().map(|(_, number)| number).collect()
    }

    pub fn stop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ids of the processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the nodes and this process after some time, whatever happens.
pub fn end_after(ms: u64) {
    thread::spawn(move || {
        pause_ms(ms);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
        }
        println!("the case took too long");
        std::process::exit(2);
    });
}

// ---------------------------------------------------------------- clients

pub const HOST: &str = "pule25.example";
pub const KEY: &str = "k-4c1d9e";
/// Prefix of a queue whose calls carry a key.
pub const QUEUE: &str = "/puxa400/";
/// Prefix of a public queue.
pub const PUBLIC: &str = "/tije37/";

/// Prefix of a queue whose policy allows only some workers.
pub const ADVISED: &str = "/kafi706/";

pub fn manifest(service: &str) -> String {
    let service = quoted(service);
    format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"r-35ieisp\",\"host\":\"{HOST}\",\"path_prefix\":\"{PUBLIC}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":0,\"service\":{service},\"max_attempts\":3,\"slack_factor\":2.2,\"public\":true}},\
         {{\"name\":\"r-3is47qd\",\"host\":\"{HOST}\",\"path_prefix\":\"{QUEUE}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":1,\"service\":{service},\"max_attempts\":4,\"slack_factor\":1.6,\"public\":false}},\
         {{\"name\":\"r-cda9rgy\",\"host\":\"{HOST}\",\"path_prefix\":\"{ADVISED}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":1,\"service\":{service},\"max_attempts\":4,\"slack_factor\":1.6,\"public\":false,\"recommendation\":{{\"decision_ms\":20,\"each_ms\":1,\"valid_ms\":3000}}}}],\
         \"services\":[{{\"name\":{service},\"health_path\":\"/health\",\"enforces_capacity\":true}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"t-survey\",\"api_keys\":[\"{KEY}\"],\"weight\":60,\"maximum\":{{\"cpu\":0,\"memory_request_mb\":0,\"gpu\":0}}}}]}}"
    )
}

/// Hands a job in, again until it is accepted or refused for good; returns whether it was accepted.
pub fn submit(world: &World, nodes: &Nodes, prefix: &str, id: &str, phases: &str, works: &[Work], log_each: bool) -> bool {
    submit_timed(world, nodes, prefix, id, phases, "", works, log_each)
}

/// Hands in a job whose body has `more` fields, such as the times at which it is due.
#[allow(clippy::too_many_arguments)]
pub fn submit_timed(world: &World, nodes: &Nodes, prefix: &str, id: &str, phases: &str, more: &str, works: &[Work], log_each: bool) -> bool {
    world.works.lock().unwrap().insert(id.to_owned(), works.to_vec());
    if prefix == ADVISED {
        world.advised.lock().unwrap().push(id.to_owned());
    }
    let body = format!("{{\"spec\":\"(text)\",\"phases\":{phases}{more}}}");
    for attempt in 0..20 {
        let node = nodes.callers[attempt % nodes.callers.len()];
        let said = ask(node, "POST", &format!("{prefix}{id}"), &body);
        if log_each || said.as_ref().map(|said| said.0) != Some(200) {
            world.log.line(&format!("POST {prefix}{id} {phases}{more} at node {}: {said:?}", attempt % nodes.callers.len() + 1));
        }
        if said.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        pause_ms(300);
    }
    false
}

pub fn ask(node: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let headers = [("Host", HOST), ("Api-Key", KEY), ("Content-Type", "application/json"), ("X-Hawthornladder-Deadline-Ms", "3000")];
    call(node, method, path, &headers, body, 3_000)
}

/// Returns the state of a job as node `number` gives it.
pub fn state_of(nodes: &Nodes, number: usize, prefix: &str, id: &str) -> String {
    match ask(nodes.callers[number], "GET", &format!("{prefix}{id}"), "") {
        Some((200, body)) => Json::parse(&body).unwrap_or(Json::Null).text("state"),
        Some((status, _)) => format!("({status})"),
        None => "(no answer)".to_owned(),
    }
}
