//! A small HTTP server for the stand-ins. An answer goes on after its caller has gone, as that of a
//! service does that has received the whole call.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle, JoinSet};

/// Longer than any caller waits for an answer.
const SILENCE: Duration = Duration::from_secs(30);

/// A received call.
pub(crate) struct Received {
    /// Path without the query.
    pub(crate) path: String,
    query: HashMap<String, String>,
    headers: hyper::HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl Received {
    /// Returns a parameter of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns a parameter of the query as a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Returns a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as JSON; `Null` if it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Status and body of an answer.
pub(crate) type Answer = (u16, Bytes);

/// Encodes an answer.
pub(crate) fn json_answer(status: u16, body: &Value) -> Answer {
    (status, Bytes::from(body.to_string()))
}

/// A running server. Dropping it closes its listener and its connections.
pub(crate) struct Server {
    address: SocketAddr,
    accepting: AbortHandle,
}

impl Server {
    /// Serves `address`. A call for which `answer` returns `None` has its connection closed.
    pub(crate) async fn bind<F, A>(address: SocketAddr, answer: F) -> Self
    where
        F: Fn(Received) -> A + Clone + 'static,
        A: Future<Output = Option<Answer>> + 'static,
    {
        let listener = TcpListener::bind(address).await;
        let listener = listener.expect("the address is free");
        let address = listener.local_addr().expect("a bound listener has one");
        let accepting = spawn_local(accept_all(listener, answer)).abort_handle();
        Self { address, accepting }
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept_all<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Received) -> A + Clone + 'static,
    A: Future<Output = Option<Answer>> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        connections.spawn_local(serve_connection(stream, answer.clone()));
        while let Some(ended) = connections.try_join_next() {
            // Without its listener the stand-in is gone, and the test fails.
            ended.expect("the stand-in does not panic");
        }
    }
}

async fn serve_connection<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(Received) -> A + Clone + 'static,
    A: Future<Output = Option<Answer>> + 'static,
{
    // Without this, small answers are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = answer.clone();
        async move {
            let received = receive(request).await.ok_or("the call was cut short")?;
            // A task of its own goes on when the connection ends.
            let answered = spawn_local(answer(received)).await;
            let answered = answered.expect("the stand-in does not panic");
            let (status, body) = answered.ok_or("no answer")?;
            let response = Response::builder().status(status).body(Full::new(body));
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(response?)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The caller sees the broken connection.
    let _ = connection.await;
}

async fn receive(request: Request<Incoming>) -> Option<Received> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let pairs = head.uri.query().unwrap_or("").split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    Some(Received {
        path: head.uri.path().to_owned(),
        query: pairs
            .map(|(name, value)| (name.into(), decoded(value)))
            .collect(),
        headers: head.headers,
        body,
    })
}

/// Decodes percent encoding.
fn decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let code = part
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(code.expect("two digits follow a percent sign"));
        bytes.extend(part[2..].bytes());
    }
    String::from_utf8(bytes).expect("keys are text")
}

/// Says nothing for longer than any caller waits.
pub(crate) async fn silence<T>() -> Option<T> {
    tokio::time::sleep(SILENCE).await;
    None
}
