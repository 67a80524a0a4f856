//! A server for one address. Each connection is a task; when the server stops, it takes no more
//! connections, answers what was read with `connection: close`, and ends.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest time for the headers of a request to arrive.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, unless it was longer than is taken.
    pub body: Option<Bytes>,
}

impl IncomingRequest {
    /// Returns the value of a header that is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What is answered.
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
    /// Returns an answer of a status alone.
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
    /// Most bytes of a request's body.
    pub body_max_bytes: usize,
    /// Most connections at once.
    pub connections_max: usize,
}

/// Ends a server. The server also ends when the last of these is dropped.
#[derive(Clone)]
#[must_use = "the server ends when this is dropped"]
pub struct ServerHandle {
    sender: Rc<watch::Sender<bool>>,
    connections_count: Rc<Cell<usize>>,
}

impl ServerHandle {
    /// Takes no more connections, and closes each after the answer that it is waiting for.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.connections_count.get()
    }
}

/// Serves `address` with `answer` until it is stopped.
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
            Ok((stream, _)) if connections_count.get() < settings.connections_max => {
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
    // Without this option answers wait for acknowledgements; a failure costs only time.
    let _ = stream.set_nodelay(true);
    let body_max_bytes = settings.body_max_bytes;
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let asked = read_request(request, body_max_bytes).await;
            let given = answer(asked).await;
            Ok::<_, Infallible>(response_of(given))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADERS_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A caller that broke off is no event of its own; its call was logged.
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn read_request(request: Request<Incoming>, body_max_bytes: usize) -> IncomingRequest {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, body_max_bytes).collect().await {
        Ok(body) => Some(body.to_bytes()),
        Err(_) => None,
    };
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
