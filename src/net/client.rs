//! HTTP client that reuses connections. A call that fails after its connection was established may
//! have taken effect; a call for which no connection was established has not. Once a call is given up,
//! nothing more of it is sent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::net::body::collect;
use crate::net::idle::IdleConnections;

/// Most idle connections to one address.
const IDLE_PER_ADDRESS_MAX_COUNT: usize = 8;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

type Sender = SendRequest<Full<Bytes>>;
type ServedConnection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
    /// Timeout of the whole call, in milliseconds.
    pub timeout_ms: u64,
    /// Longest body of the answer, in bytes.
    pub answer_max_bytes: usize,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Reason for which a call returned no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallFailure {
    /// Nothing was sent.
    NotSent,
    /// The call may have taken effect, or may still do so.
    Lost,
}

/// Limits of the idle connections of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Most idle connections to all addresses.
    pub idle_max_count: usize,
    /// Time without use after which a connection is closed, in milliseconds.
    pub idle_age_max_ms: u64,
}

/// An HTTP client with a pool of idle connections, shared by its clones.
#[derive(Clone)]
pub struct Client {
    pool: Rc<Pool>,
}

/// A connection. If it is dropped during a call, it is reset.
struct Connection {
    sender: Sender,
    is_in_call: bool,
    /// Incarnation of the server that has answered on it, if that is known.
    incarnation: Option<u64>,
    /// Resets the connection when a message is sent.
    reset: Option<oneshot::Sender<()>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        match self.reset.take() {
            // Sending fails if the connection is closed already.
            Some(reset) if self.is_in_call => drop(reset.send(())),
            _ => {}
        }
    }
}

struct Pool {
    /// Number of open connections, idle or in use.
    open_count: Arc<AtomicUsize>,
    idle: RefCell<IdleConnections<Connection>>,
    /// Whether a task runs that closes the connections idle for too long.
    has_closer: Cell<bool>,
}

impl Client {
    /// Creates a client without connections.
    pub fn open(settings: ClientSettings) -> Self {
        let age_max = Duration::from_millis(settings.idle_age_max_ms);
        let pool = Pool {
            open_count: Arc::default(),
            idle: RefCell::new(IdleConnections::new(settings.idle_max_count, age_max)),
            has_closer: Cell::new(false),
        };
        Self {
            pool: Rc::new(pool),
        }
    }

    /// Returns a count of the open connections that follows their number.
    pub fn connections_count(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.pool.open_count)
    }

    /// Makes a call on an idle connection, or on a new one if there is none.
    pub async fn call(&self, call: Call) -> Result<Reply, CallFailure> {
        self.call_if(call, || true).await
    }

    /// Makes a call, but sends nothing unless `may_send` holds once there is a connection. To
    /// connect takes time, and the process may be paused meanwhile, in which a lease may end.
    pub async fn call_if(
        &self,
        call: Call,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, CallFailure> {
        let any = |_: Option<u64>| true;
        let mut link = self.link(call.address, call.timeout_ms, any).await?;
        link.call(call, may_send).await
    }

    /// Takes an idle connection to a server, or opens one. All calls on it have to be answered within
    /// `timeout_ms`. Of the idle connections, one is taken first that `is_preferred` by the incarnation
    /// of the server that has answered on it.
    pub async fn link(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
        is_preferred: impl Fn(Option<u64>) -> bool,
    ) -> Result<Link, CallFailure> {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let connection = match self.take_idle(address, is_preferred) {
            Some(connection) => connection,
            None => connect(address, deadline, &self.pool.open_count).await?,
        };
        Ok(Link {
            client: self.clone(),
            address,
            deadline,
            connection: Some(connection),
        })
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        is_preferred: impl Fn(Option<u64>) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.pool.idle.borrow_mut();
        let is_preferred = |connection: &Connection| is_preferred(connection.incarnation);
        while idle.count_to(address) > 0 {
            let usable = idle
                .take(address, is_preferred)
                .filter(|Connection { sender, .. }| !sender.is_closed() && sender.is_ready());
            if usable.is_some() {
                return usable;
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.pool.idle.borrow_mut();
        if connection.sender.is_closed() || idle.count_to(address) >= IDLE_PER_ADDRESS_MAX_COUNT {
            return;
        }
        idle.put(address, connection);
        if !self.pool.has_closer.replace(true) {
            tokio::task::spawn_local(close_expired(Rc::downgrade(&self.pool)));
        }
    }
}

/// A connection that is taken out of the pool for some calls, one after the other. When it is dropped,
/// the connection goes back to the pool, unless a call on it has failed.
pub struct Link {
    client: Client,
    address: SocketAddr,
    deadline: Instant,
    /// None once a call has failed.
    connection: Option<Connection>,
}

impl Link {
    /// Returns the incarnation of the server at the other end, if an answer on this connection has told
    /// it. A connection ends with the process that accepted it, so that no other incarnation receives
    /// what is sent here.
    pub fn incarnation(&self) -> Option<u64> {
        self.connection.as_ref()?.incarnation
    }

    /// Records the incarnation of the server that has answered.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        if let Some(connection) = &mut self.connection {
            connection.incarnation = Some(incarnation);
        }
    }

    /// Makes a call, but sends nothing unless `may_send` holds. The deadline is that of the link.
    pub async fn call(
        &mut self,
        call: Call,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, CallFailure> {
        if !may_send() {
            return Err(CallFailure::NotSent);
        }
        // Dropped on failure, which resets the connection.
        let mut connection = self.connection.take().ok_or(CallFailure::NotSent)?;
        connection.is_in_call = true;
        let result = timeout_at(self.deadline, exchange(&mut connection.sender, call)).await;
        let reply = result.unwrap_or(Err(CallFailure::Lost))?;
        connection.is_in_call = false;
        self.connection = Some(connection);
        Ok(reply)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.client.put_idle(self.address, connection);
        }
    }
}

/// Closes idle connections when their time is over, until there are none.
async fn close_expired(pool: Weak<Pool>) {
    loop {
        let next = match pool.upgrade() {
            None => return,
            Some(pool) => {
                let next = pool.idle.borrow_mut().close_expired();
                pool.has_closer.set(next.is_some());
                next
            }
        };
        match next {
            None => return,
            Some(at) => tokio::time::sleep_until(at).await,
        }
    }
}

async fn connect(
    address: SocketAddr,
    deadline: Instant,
    open_count: &Arc<AtomicUsize>,
) -> Result<Connection, CallFailure> {
    let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = match timeout_at(until, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(CallFailure::NotSent),
    };
    // Nagle's algorithm would delay small calls. If this fails, calls are only slower.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| CallFailure::NotSent)?;
    let (reset, reset_requested) = oneshot::channel();
    let open_count = Arc::clone(open_count);
    open_count.fetch_add(1, Ordering::Relaxed);
    tokio::task::spawn_local(async move {
        serve(connection, reset_requested).await;
        open_count.fetch_sub(1, Ordering::Relaxed);
    });
    Ok(Connection {
        sender,
        is_in_call: false,
        incarnation: None,
        reset: Some(reset),
    })
}

/// Sends and receives on a connection until it is closed, or reset. To close it would still deliver
/// what is written, and what the operating system holds back, however late.
async fn serve(mut connection: ServedConnection, reset_requested: oneshot::Receiver<()>) {
    tokio::select! {
        // The call on this connection gets the same error.
        _ = &mut connection => {}
        Ok(()) = reset_requested => {
            let stream = connection.into_parts().io.into_inner();
            // If this fails, the rest of the call is delivered late.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn exchange(sender: &mut Sender, call: Call) -> Result<Reply, CallFailure> {
    let answer_max_bytes = call.answer_max_bytes;
    let request = request_of(call).ok_or(CallFailure::NotSent)?;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // The library returns a request of which it has written nothing.
        Err(error) if error.message().is_some() => return Err(CallFailure::NotSent),
        Err(_) => return Err(CallFailure::Lost),
    };
    let status = response.status().as_u16();
    let body = collect(&mut response.into_body(), answer_max_bytes, |_| true)
        .await
        .map_err(|_| CallFailure::Lost)?;
    Ok(Reply { status, body })
}

fn request_of(call: Call) -> Option<Request<Full<Bytes>>> {
    let host = HeaderValue::from_str(&call.address.to_string()).ok()?;
    let mut builder = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, host);
    if !call.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in call.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(call.body)).ok()
}
