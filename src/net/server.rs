//! HTTP server for one address, with one task for each connection. When it is stopped, it accepts
//! no more connections, answers the requests in flight with `connection: close`, and ends. What clients
//! can make it hold is bounded by the [`Ingress`] that all servers of a process share.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::body::RequestBody;
use super::connection::ConnectionState;
use super::ingress::{ConnectionSlot, Ingress, IngressLimits, ServerKey};
use super::stream::ServerStream;

/// Timeout for the headers of a request.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest head of a request, in bytes; also the largest buffer of a connection in each direction.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Size of the kernel's buffers of a connection in each direction, in bytes. What has been received and
/// not read counts toward the memory of the process.
const SOCKET_BUFFER_BYTES: u32 = 16 << 10;
/// Most connections that wait to be accepted.
const BACKLOG_COUNT: u32 = 1_024;
/// Most connections at a time that are told why they are refused; further ones are closed.
const REFUSALS_MAX_COUNT: usize = 32;
/// Time for a refused client to read its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read from a refused connection before it is closed.
const REFUSAL_READ_MAX_BYTES: u64 = 64 << 10;
/// Answer on a connection for which there is no room.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";
/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Returns the value of a header; `None` if it is missing or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

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
    ingress: Ingress,
    key: ServerKey,
}

impl ServerHandle {
    /// Stops accepting connections, and closes each open one once its answer in flight is written.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.ingress.connections_count(self.key)
    }
}

/// Serves `address`, answering each request by `answer` once it is read, until the server is stopped. Its
/// connections share nothing with those of other servers.
pub async fn serve<F, A>(
    address: SocketAddr,
    settings: ServerSettings,
    answer: F,
) -> io::Result<ServerHandle>
where
    F: Fn(IncomingRequest) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    let limits = IngressLimits {
        memory_max_bytes: usize::MAX,
        connections_max_count: usize::MAX,
    };
    let ingress = Ingress::open(limits, || 0);
    let body_max_bytes = settings.body_max_bytes;
    let read_and_answer = move |head: RequestHead, body: RequestBody| {
        let answer = answer.clone();
        async move {
            let body = body.read(body_max_bytes).await.ok();
            answer(IncomingRequest {
                method: head.method,
                path: head.path,
                headers: head.headers,
                body,
            })
            .await
        }
    };
    serve_heads(
        address,
        settings.connections_max_count,
        &ingress,
        read_and_answer,
    )
    .await
}

/// Serves `address` until the server is stopped. `answer` gets the head of each request and decides
/// whether to read the body.
pub async fn serve_heads<F, A>(
    address: SocketAddr,
    connections_max_count: usize,
    ingress: &Ingress,
    answer: F,
) -> io::Result<ServerHandle>
where
    F: Fn(RequestHead, RequestBody) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    let listener = listen(address)?;
    let (sender, stopped) = watch::channel(false);
    let key = ingress.add_server(connections_max_count);
    let handle = ServerHandle {
        sender: Rc::new(sender),
        ingress: ingress.clone(),
        key,
    };
    tokio::task::spawn_local(accept_all(listener, ingress.clone(), key, answer, stopped));
    Ok(handle)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit these sizes.
    let sized = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = sized {
        log::warn!("event=socket_buffers_not_set error=\"{error}\"");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG_COUNT)
}

async fn accept_all<F, A>(
    listener: TcpListener,
    ingress: Ingress,
    key: ServerKey,
    answer: F,
    mut stopped: watch::Receiver<bool>,
) where
    F: Fn(RequestHead, RequestBody) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    let refusals_count = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|is_stopped| *is_stopped) => return,
        };
        match accepted.map(|(stream, _)| (stream, ingress.admit(key))) {
            Ok((stream, Some(slot))) => {
                let (answer, stopped) = (answer.clone(), stopped.clone());
                tokio::task::spawn_local(serve_connection(stream, slot, answer, stopped));
            }
            Ok((stream, None)) if refusals_count.get() < REFUSALS_MAX_COUNT => {
                tokio::task::spawn_local(refuse(stream, Rc::clone(&refusals_count)));
            }
            Ok((_, None)) => {}
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Tells a client that there is no room for it.
async fn refuse(mut stream: TcpStream, refusals_count: Rc<Cell<usize>>) {
    refusals_count.set(refusals_count.get() + 1);
    let exchange = async {
        stream.write_all(REFUSAL).await?;
        stream.shutdown().await?;
        // To close it with unread bytes would reset the connection, and the refusal would be lost.
        let mut rest = stream.take(REFUSAL_READ_MAX_BYTES);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    // If the client has gone or reads nothing, nobody misses the refusal.
    let _ = timeout(REFUSAL_TIMEOUT, exchange).await;
    refusals_count.set(refusals_count.get() - 1);
}

async fn serve_connection<F, A>(
    stream: TcpStream,
    slot: ConnectionSlot,
    answer: F,
    mut stopped: watch::Receiver<bool>,
) where
    F: Fn(RequestHead, RequestBody) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    // Nagle's algorithm would delay small answers. If this fails, answers are only slower.
    let _ = stream.set_nodelay(true);
    let state = Arc::new(ConnectionState::new(slot));
    let io = TokioIo::new(ServerStream::new(stream, Arc::clone(&state)));
    let request_state = Arc::clone(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let (answer, state) = (answer.clone(), Arc::clone(&request_state));
        async move { Ok::<_, Infallible>(answer_request(request, state, answer).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADERS_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(io, service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection is not logged, because the call on it has been logged.
        _ = connection.as_mut() => return,
        () = state.slot.evicted() => return,
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = state.slot.evicted() => {}
    }
}

async fn answer_request<F, A>(
    request: Request<Incoming>,
    state: Arc<ConnectionState>,
    answer: F,
) -> Response<Full<Bytes>>
where
    F: Fn(RequestHead, RequestBody) -> A,
    A: Future<Output = Answer>,
{
    state.wait_until_written().await;
    let (parts, incoming) = request.into_parts();
    let head = RequestHead {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
    };
    let body = RequestBody::new(incoming, Arc::clone(&state));
    let mut response = response_of(answer(head, body).await);
    if !state.discard_unread().await {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    state.slot.end_answer();
    response
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
