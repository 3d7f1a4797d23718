//! The HTTP connections of one thread: how they are opened, how long they are kept and reused, and which of
//! them may carry a grant.

use std::collections;
use std::net;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::http_client;
use crate::edge::router::request_stream;
use crate::memory::limits;
use crate::names;
use crate::ownership::order;

/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged, in milliseconds.
pub const UNACKED_TIMEOUT_MS: u64 = 1_000;
/// Idle time before the first TCP keep-alive probe, in seconds.
pub const KEEPALIVE_IDLE_S: u64 = 1;
/// Unanswered keep-alive probes after which a connection is closed.
pub const KEEPALIVE_PROBES: u32 = 2;
/// The part of the peer's keep-alive time-out during which a connection is reused, so that no
/// request is sent while the peer closes the connection.
pub const IDLE_REUSE_RATIO: f64 = 0.6;
/// The number of idle connections that are kept for each address.
pub const MAX_IDLE_CONNECTIONS: usize = 32;
/// The number of keys that are remembered for each connection, of requests that the peer has run.
const MAX_RUN_KEYS: usize = 16;

type RequestSender = http1::SendRequest<request_stream::TrackedBody>;

// Aborts the connection's task when it is dropped, which closes the socket; the linger time of zero
// makes that a reset.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub(super) struct HttpConnection {
    pub(super) sender: RequestSender,
    pub(super) state: request_stream::RequestState,
    pub(super) origin: ConnectionOrigin,
    // Kept so that the task is aborted when the connection is dropped.
    _task: ConnectionTask,
}

/// What is known of the process to which a connection leads.
#[derive(Clone, Debug)]
pub struct ConnectionOrigin {
    /// When the connection was opened, not before the moment at which the process accepted it.
    pub opened: clock::MonoTime,
    /// Keys of requests that the process has run over the connection, so it held them.
    pub run_keys: Vec<ServiceKey>,
}

/// A key of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceKey {
    /// The service.
    pub service: names::ServiceName,
    /// The key.
    pub key: u16,
}

/// Which connections may carry a grant. An order names a server and not its process, and a process that has
/// just started would accept what its server has already released.
#[derive(Clone, Debug)]
pub struct ConnectionRule {
    /// The address of the server.
    pub peer: net::SocketAddr,
    /// Connections that were opened at this time or before may carry it.
    pub opened_by: clock::MonoTime,
    /// Later ones may if the process has run a request for a key of the range over them.
    pub proven_for: Option<order::RangeId>,
}

impl ConnectionRule {
    fn allows(&self, origin: &ConnectionOrigin) -> bool {
        let is_run = |range: &order::RangeId| origin.run_keys.iter().any(|run| run.is_in(range));
        origin.opened <= self.opened_by || self.proven_for.as_ref().is_some_and(is_run)
    }
}

impl ConnectionOrigin {
    // Records that the process has run a request for a key.
    pub(super) fn note_run(&mut self, run: ServiceKey) {
        if self.run_keys.contains(&run) {
            return;
        }
        if self.run_keys.len() >= MAX_RUN_KEYS {
            self.run_keys.remove(0);
        }
        self.run_keys.push(run);
    }
}

impl ServiceKey {
    fn is_in(&self, range: &order::RangeId) -> bool {
        self.service == range.service && (range.first..=range.last).contains(&self.key)
    }
}

struct IdleConnection {
    connection: HttpConnection,
    expires: time::Instant,
}

impl IdleConnection {
    fn may_be_used(&self) -> bool {
        time::Instant::now() < self.expires && !self.connection.sender.is_closed()
    }
}

// How long a connection may be reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseWindow {
    Closed,
    Unstated,
    Stated(time::Duration),
}

impl ReuseWindow {
    // `None` where the peer closes the connection.
    pub(super) const fn within(self, default_idle: time::Duration) -> Option<time::Duration> {
        match self {
            Self::Closed => None,
            Self::Unstated => Some(default_idle),
            Self::Stated(window) => Some(window),
        }
    }
}

/// The idle connections of one thread, by address.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: collections::HashMap<net::SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    // Adds an idle connection.
    pub(super) fn keep(
        &mut self,
        peer: net::SocketAddr,
        connection: HttpConnection,
        window: time::Duration,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let pool = self.idle.entry(peer).or_default();
        if pool.len() < MAX_IDLE_CONNECTIONS {
            let expires = time::Instant::now() + window;
            pool.push(IdleConnection {
                connection,
                expires,
            });
        }
    }

    // Closes connections that are no longer reused.
    pub(super) fn close_idle(&mut self) {
        for pool in self.idle.values_mut() {
            pool.retain(IdleConnection::may_be_used);
        }
        self.idle.retain(|_, pool| !pool.is_empty());
    }

    pub(super) fn take(&mut self, peer: net::SocketAddr) -> Option<HttpConnection> {
        let now = time::Instant::now();
        let pool = self.idle.get_mut(&peer)?;
        while let Some(idle) = pool.pop() {
            let ready = idle.connection.sender.is_ready();
            if now < idle.expires && ready {
                return Some(idle.connection);
            }
        }
        None
    }

    // Takes the connection that has been idle longest of those that the rule allows, so that all of them
    // stay in use.
    pub(super) fn take_allowed(&mut self, rule: &ConnectionRule) -> Option<HttpConnection> {
        let pool = self.idle.get_mut(&rule.peer)?;
        pool.retain(IdleConnection::may_be_used);
        let position = pool.iter().position(|idle| {
            rule.allows(&idle.connection.origin) && idle.connection.sender.is_ready()
        })?;
        Some(pool.remove(position).connection)
    }

    pub(super) fn has_idle(&mut self, peer: net::SocketAddr) -> bool {
        let Some(pool) = self.idle.get_mut(&peer) else {
            return false;
        };
        pool.retain(IdleConnection::may_be_used);
        !pool.is_empty()
    }
}

pub(super) async fn connect(
    peer: net::SocketAddr,
    limit: time::Duration,
    clock: clock::SystemClock,
) -> Result<HttpConnection, http_client::HttpError> {
    let unsent =
        |step: &'static str, error: String| http_client::HttpError::Unsent { step, peer, error };
    let connected = tokio::time::timeout(limit, tokio::net::TcpStream::connect(peer)).await;
    let connected = connected.map_err(|_| unsent("connect", "timeout".into()))?;
    let stream = connected.map_err(|e| unsent("connect", e.to_string()))?;
    let opened = clock.now();
    set_options(&stream).map_err(|e| unsent("set-options", e.to_string()))?;
    let state = request_stream::RequestState::new();
    let stream = request_stream::RequestStream::new(stream, state.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits::SERVER_READ_BYTES);
    let handshake = builder.handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| unsent("handshake", e.to_string()))?;
    let task = actix::spawn(async move {
        // The error is also reported to the request that awaits the response.
        let _ = connection.await;
    });
    Ok(HttpConnection {
        sender,
        state,
        origin: ConnectionOrigin {
            opened,
            run_keys: Vec::new(),
        },
        _task: ConnectionTask(task),
    })
}

// A linger time of zero resets the connection when it is closed, so that data that a network
// partition holds up cannot arrive later.
fn set_options(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(time::Duration::from_secs(KEEPALIVE_IDLE_S))
        .with_interval(time::Duration::from_secs(1))
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(time::Duration::from_millis(UNACKED_TIMEOUT_MS)))?;
    socket.set_tcp_keepalive(&keepalive)
}

pub(super) fn reuse_window(headers: &hyper::HeaderMap) -> ReuseWindow {
    let text = |name: hyper::header::HeaderName| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_ascii_lowercase()
    };
    if text(hyper::header::CONNECTION).contains("close") {
        return ReuseWindow::Closed;
    }
    let stated = text(hyper::header::HeaderName::from_static("keep-alive"));
    let options = stated.split(',').map(str::trim);
    let mut options = options;
    let seconds = options.find_map(|option| option.strip_prefix("timeout="));
    let seconds = seconds.and_then(|seconds| seconds.parse::<u64>().ok());
    seconds.map_or(ReuseWindow::Unstated, |seconds| {
        let stated = time::Duration::from_secs(seconds);
        ReuseWindow::Stated(stated.mul_f64(IDLE_REUSE_RATIO))
    })
}
