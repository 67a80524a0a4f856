//! One HTTP call on a connection of its own, bounded in time and in what is read, that tells apart
//! whether anything can have left this process.

use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{HeaderMap, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::worker_answer::Loss;
use crate::ports::PortError;

/// Most bytes of header values in one call. The library sends headers from a buffer of 8 KiB, so
/// that nothing has left before it asks for the body.
const HEADERS_MAX_BYTES: usize = 4 * 1_024;

/// One call.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address as `ip:port`.
    pub address: SmolStr,
    /// Path and query, already encoded.
    pub path: String,
    /// Headers of the protocol; values are percent-encoded as needed.
    pub headers: Vec<(&'static str, SmolStr)>,
    /// Body.
    pub body: Arc<[u8]>,
    /// Longest time for a connection to come about.
    pub connect_timeout_ms: u64,
    /// Longest time for the whole call.
    pub timeout_ms: u64,
    /// Most bytes of the answer's body.
    pub answer_max_bytes: u64,
    /// Header of the answer that declares how long its body is, if the protocol has one; no more is
    /// kept than that.
    pub length_header: Option<&'static str>,
}

/// An answer whose body is as long as its headers say.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the value of a header that is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpFailure {
    /// Nothing left this process.
    NotSent(SmolStr),
    /// Something may have left, and no whole answer came back.
    Lost(Loss),
}

impl From<HttpFailure> for PortError {
    fn from(failure: HttpFailure) -> Self {
        match failure {
            HttpFailure::NotSent(reason) => Self::NotSent(reason),
            HttpFailure::Lost(loss) => Self::AnswerLost(loss.into()),
        }
    }
}

/// A body that notes when the library asks for it, which it does only on an open connection.
struct TrackedBody {
    bytes: Arc<[u8]>,
    was_asked_for: Arc<AtomicBool>,
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.was_asked_for.store(true, Ordering::Relaxed);
        writer.write_all(&self.bytes)
    }
}

impl HttpCall {
    /// Makes the call and reads the whole answer.
    pub fn send(self) -> Result<HttpAnswer, HttpFailure> {
        let deadline = Instant::now() + Duration::from_millis(self.timeout_ms);
        let (answer_max_bytes, length_header) = (self.answer_max_bytes, self.length_header);
        let was_asked_for = Arc::new(AtomicBool::new(false));
        let sent = self
            .builder(Arc::clone(&was_asked_for))
            .map_err(HttpFailure::NotSent)?
            .send();
        match sent {
            Ok(response) => read_answer(response, answer_max_bytes, length_header, deadline),
            Err(error) if !was_asked_for.load(Ordering::Relaxed) => {
                Err(HttpFailure::NotSent(not_sent_reason(&error)))
            }
            Err(error) => Err(HttpFailure::Lost(loss_of(&error, deadline))),
        }
    }

    fn builder(
        self,
        was_asked_for: Arc<AtomicBool>,
    ) -> Result<RequestBuilder<TrackedBody>, SmolStr> {
        let url = format!("http://{}{}", self.address, self.path);
        let timeout = Duration::from_millis(self.timeout_ms.max(1));
        let connect_timeout = Duration::from_millis(self.connect_timeout_ms.max(1)).min(timeout);
        let mut builder = RequestBuilder::try_new(self.method, &url)
            .map_err(|_| SmolStr::new_static("bad_address"))?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(connect_timeout)
            .read_timeout(timeout)
            .timeout(timeout);
        let mut headers_bytes = self.path.len();
        for (name, value) in &self.headers {
            let value = percent_encode(value);
            headers_bytes += name.len() + value.len();
            builder = builder
                .try_header(HeaderName::from_static(name), value.as_str())
                .map_err(|_| SmolStr::new_static("bad_header"))?;
        }
        match headers_bytes > HEADERS_MAX_BYTES {
            true => Err(SmolStr::new_static("headers_too_large")),
            false => Ok(builder.body(TrackedBody {
                bytes: self.body,
                was_asked_for,
            })),
        }
    }
}

fn read_answer(
    response: Response,
    answer_max_bytes: u64,
    length_header: Option<&'static str>,
    deadline: Instant,
) -> Result<HttpAnswer, HttpFailure> {
    let (status, headers, reader) = response.split();
    let number = |name: &HeaderName| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let declared_bytes = number(&attohttpc::header::CONTENT_LENGTH);
    let whole_bytes = length_header.and_then(|name| number(&HeaderName::from_static(name)));
    if declared_bytes.is_some_and(|bytes| bytes > answer_max_bytes) {
        return Err(HttpFailure::Lost(Loss::TooLarge));
    }
    let kept_max_bytes = whole_bytes.unwrap_or(u64::MAX).min(answer_max_bytes);
    let mut reader = reader.take(answer_max_bytes.saturating_add(1));
    let mut body = Vec::new();
    let read = (&mut reader)
        .take(kept_max_bytes)
        .read_to_end(&mut body)
        // What is too much is counted and not kept.
        .and_then(|_| io::copy(&mut reader, &mut io::sink()));
    let came_bytes = body.len() as u64;
    match read {
        Err(error) => Err(HttpFailure::Lost(loss_of_io(&error, deadline))),
        Ok(rest_bytes) if came_bytes + rest_bytes > answer_max_bytes => {
            Err(HttpFailure::Lost(Loss::TooLarge))
        }
        Ok(rest_bytes) if rest_bytes > 0 => Err(HttpFailure::Lost(Loss::NotWhole)),
        Ok(_) if declared_bytes.is_some_and(|bytes| bytes != came_bytes) => {
            Err(HttpFailure::Lost(Loss::ClosedEarly))
        }
        Ok(_) => Ok(HttpAnswer {
            status: status.as_u16(),
            headers,
            body,
        }),
    }
}

fn not_sent_reason(error: &attohttpc::Error) -> SmolStr {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => format_smolstr!("connect_{:?}", error.kind()),
        _ => SmolStr::new_static("connect_failed"),
    }
}

fn loss_of(error: &attohttpc::Error, deadline: Instant) -> Loss {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => loss_of_io(error, deadline),
        _ if Instant::now() >= deadline => Loss::TimedOut,
        _ => Loss::Malformed,
    }
}

fn loss_of_io(error: &io::Error, deadline: Instant) -> Loss {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Loss::TimedOut,
        _ if Instant::now() >= deadline => Loss::TimedOut,
        io::ErrorKind::InvalidData | io::ErrorKind::Other => Loss::Malformed,
        _ => Loss::ClosedEarly,
    }
}

/// Encodes every byte that a header or a path segment cannot hold as `%XX`.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'%' | b'/' | b'?' | b'#' => encoded.push_str(&format!("%{byte:02X}")),
            0x21..=0x7e => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Decodes what [`percent_encode`] made; `None` if it is no such text.
pub fn percent_decode(text: &str) -> Option<SmolStr> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut parts = text.split('%');
    decoded.extend_from_slice(parts.next()?.as_bytes());
    for part in parts {
        let hex = part.get(..2)?;
        decoded.push(u8::from_str_radix(hex, 16).ok()?);
        decoded.extend_from_slice(part.get(2..)?.as_bytes());
    }
    String::from_utf8(decoded).ok().map(SmolStr::from)
}
