//! HTTP/1.1 calls over keep-alive connections, so that a load test measures requests and not the
//! setup of connections.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HeaderMap;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest number of idle connections to one address.
const IDLE_MAX_COUNT: usize = 256;
/// Time after which an idle connection is no longer used; servers close idle connections after 5 s.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Returns the value of a header, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason for which a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The connection failed; nothing was sent.
    NotConnected,
    /// The connection ended before the answer was complete.
    Broken,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Pool of connections to one address.
pub(crate) struct HttpPool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl HttpPool {
    /// Returns a pool without connections.
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends `request` and reads the complete answer. If the server closed an idle connection
    /// before anything was sent on it, another connection is used.
    pub(crate) async fn call(&self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle() {
            match sender.try_send_request(request).await {
                Ok(response) => return self.finish(sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Broken),
                },
            }
        }
        let mut sender = self.connect().await.ok_or(CallError::NotConnected)?;
        let response = sender.send_request(request).await;
        self.finish(sender, response.map_err(|_| CallError::Broken)?)
            .await
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    async fn finish(
        &self,
        sender: SendRequest<Full<Bytes>>,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Reply, CallError> {
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Broken)?;
        self.return_idle(sender);
        Ok(Reply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    fn return_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_MAX_COUNT && !sender.is_closed() {
            let since = Instant::now();
            idle.push(Idle { sender, since });
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if connection.since.elapsed() < IDLE_MAX && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}
