//! An HTTP call on its own connection, with bounds on its time and the length of the answer. A
//! failure reports whether any part of the call may have been sent.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{HeaderMap, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::answer_body::read_body;
use crate::adapters::worker_answer::Loss;
use crate::ports::PortError;

/// Most bytes of the path and headers of a call. The library buffers 8 KiB of headers, so
/// nothing is sent before it requests the body.
const HEADERS_MAX_BYTES: usize = 4 * 1_024;

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address of the server as `ip:port`.
    pub address: SmolStr,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Headers of the protocol; their values are percent-encoded when sent.
    pub headers: Vec<(&'static str, SmolStr)>,
    /// Body.
    pub body: Arc<[u8]>,
    /// Timeout for establishing the connection.
    pub connect_timeout_ms: u64,
    /// Timeout of the whole call.
    pub timeout_ms: u64,
    /// Longest body of the answer, in bytes.
    pub answer_max_bytes: u64,
    /// Header of the answer that declares the length of the body, if the protocol has one. Bytes
    /// beyond it are discarded, and the call fails as [`Loss::NotWhole`].
    pub length_header: Option<&'static str>,
}

/// An answer with a complete body, as declared by its headers.
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
    /// Returns the value of a header; `None` if it is missing or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason for which a call returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpFailure {
    /// Nothing was sent.
    NotSent(SmolStr),
    /// The call may have been sent, but no complete answer arrived.
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

/// A body that records whether the library requested it, which it does only on an open connection.
struct TrackedBody {
    bytes: Arc<[u8]>,
    was_requested: Arc<AtomicBool>,
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.was_requested.store(true, Ordering::Relaxed);
        writer.write_all(&self.bytes)
    }
}

impl HttpCall {
    /// Makes the call and reads the complete answer.
    pub fn send(self) -> Result<HttpAnswer, HttpFailure> {
        let deadline = Instant::now() + Duration::from_millis(self.timeout_ms);
        let (answer_max_bytes, length_header) = (self.answer_max_bytes, self.length_header);
        let was_requested = Arc::new(AtomicBool::new(false));
        let sent = self
            .builder(Arc::clone(&was_requested))
            .map_err(HttpFailure::NotSent)?
            .send();
        match sent {
            Ok(response) => read_answer(response, answer_max_bytes, length_header, deadline),
            Err(error) if !was_requested.load(Ordering::Relaxed) => {
                Err(HttpFailure::NotSent(not_sent_reason(&error)))
            }
            Err(error) => Err(HttpFailure::Lost(loss_of(&error, deadline))),
        }
    }

    fn builder(
        self,
        was_requested: Arc<AtomicBool>,
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
                was_requested,
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
    let protocol_bytes = length_header.and_then(|name| number(&HeaderName::from_static(name)));
    if declared_bytes.is_some_and(|bytes| bytes > answer_max_bytes) {
        return Err(HttpFailure::Lost(Loss::TooLarge));
    }
    let body_max_bytes = protocol_bytes.unwrap_or(u64::MAX).min(answer_max_bytes);
    let read_max_bytes = answer_max_bytes.saturating_add(1);
    match read_body(reader, body_max_bytes, read_max_bytes) {
        Err(error) => Err(HttpFailure::Lost(loss_of_io(&error, deadline))),
        Ok(body) if body.bytes.len() as u64 + body.excess_bytes > answer_max_bytes => {
            Err(HttpFailure::Lost(Loss::TooLarge))
        }
        Ok(body) if body.excess_bytes > 0 => Err(HttpFailure::Lost(Loss::NotWhole)),
        Ok(body) if declared_bytes.is_some_and(|bytes| bytes != body.bytes.len() as u64) => {
            Err(HttpFailure::Lost(Loss::ClosedEarly))
        }
        Ok(body) => Ok(HttpAnswer {
            status: status.as_u16(),
            headers,
            body: body.bytes,
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

/// Encodes as `%XX` every byte that is not allowed in a header value or a path segment.
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

/// Decodes the output of [`percent_encode`]; `None` if `text` is not such output.
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
