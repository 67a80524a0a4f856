//! HTTP server for one address, with one task for each connection. When it is stopped, it accepts
//! no more connections, answers the requests in flight with `connection: close`, and ends.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::body::collect;

/// Timeout for the headers of a request.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest head of a request, in bytes; also the largest buffer of a connection in each direction.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A received request.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `None` if it was too long or could not be read.
    pub body: Option<Bytes>,
}

impl IncomingRequest {
    /// Returns the value of a header; `None` if it is missing or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns an answer with this status and no body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }
}

/// Settings of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// Most open connections.
    pub connections_max_count: usize,
}

/// Handle of a running server. The server stops when the last handle is dropped.
#[derive(Clone)]
#[must_use = "the server stops when this is dropped"]
pub struct ServerHandle {
    sender: Rc<watch::Sender<bool>>,
    connections_count: Rc<Cell<usize>>,
}

impl ServerHandle {
    /// Stops accepting connections, and closes each open one once its answer in flight is written.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.connections_count.get()
    }
}

/// Serves `address`, answering each request by `answer`, until the server is stopped.
pub async fn serve<F, A>(
    address: SocketAddr,
    settings: ServerSettings,
    answer: F,
) -> io::Result<ServerHandle>
where
    F: Fn(IncomingRequest) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let (sender, stopped) = watch::channel(false);
    let connections_count = Rc::new(Cell::new(0));
    let handle = ServerHandle {
        sender: Rc::new(sender),
        connections_count: Rc::clone(&connections_count),
    };
    tokio::task::spawn_local(accept_all(
        listener,
        settings,
        answer,
        stopped,
        connections_count,
    ));
    Ok(handle)
}

async fn accept_all<F, A>(
    listener: TcpListener,
    settings: ServerSettings,
    answer: F,
    mut stopped: watch::Receiver<bool>,
    connections_count: Rc<Cell<usize>>,
) where
    F: Fn(IncomingRequest) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|is_stopped| *is_stopped) => return,
        };
        match accepted {
            Ok((stream, _)) if connections_count.get() < settings.connections_max_count => {
                connections_count.set(connections_count.get() + 1);
                let count = Rc::clone(&connections_count);
                let (answer, stopped) = (answer.clone(), stopped.clone());
                tokio::task::spawn_local(async move {
                    serve_connection(stream, settings, answer, stopped).await;
                    count.set(count.get() - 1);
                });
            }
            Ok(_) => log::warn!("event=connection_refused reason=too_many"),
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, A>(
    stream: TcpStream,
    settings: ServerSettings,
    answer: F,
    mut stopped: watch::Receiver<bool>,
) where
    F: Fn(IncomingRequest) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    // Nagle's algorithm would delay small answers. If this fails, answers are only slower.
    let _ = stream.set_nodelay(true);
    let body_max_bytes = settings.body_max_bytes;
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let request = read_request(request, body_max_bytes).await;
            let answer = answer(request).await;
            Ok::<_, Infallible>(response_of(answer))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADERS_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection is not logged, because the call on it has been logged.
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn read_request(request: Request<Incoming>, body_max_bytes: usize) -> IncomingRequest {
    let (parts, mut body) = request.into_parts();
    let body = collect(&mut body, body_max_bytes, |_| true).await.ok();
    IncomingRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
    }
}

fn response_of(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in answer.headers {
        response.headers_mut().insert(name, value);
    }
    response
}
