//! HTTP connections to servers and to the store, over hyper's client.
//!
//! `awc` ends a body without an error when the connection ends before the last chunk, so that a
//! truncated answer looks whole (test `awc_takes_a_cut_body_for_whole`); hyper reports it.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::edge::router::body as request_body;

/// How long a connection may take to be made, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long sent bytes may stay without acknowledgement, in milliseconds.
pub const UNACKED_TIMEOUT_MS: u64 = 1_000;
/// How long a silent connection is trusted before it is probed, in seconds.
pub const PROBE_AFTER_S: u64 = 1;
/// How many probes may go unanswered.
pub const PROBE_COUNT: u32 = 2;
/// How long an idle connection is kept where the other side states no time, in milliseconds.
pub const UNSTATED_IDLE_MS: u64 = 500;
/// The part of the stated idle time for which a connection is reused.
pub const IDLE_PART: f64 = 0.6;
/// How many idle connections to one address are kept.
pub const MAX_IDLE: usize = 32;

type RequestSender = http1::SendRequest<request_body::RequestBody>;

/// Why an exchange failed.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum HttpError {
    /// Nothing of the request was sent.
    #[snafu(display("step={step} peer={peer} sent=no fault=\"{fault}\""))]
    Unsent {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
        /// What went wrong.
        fault: String,
    },
    /// The request may have arrived.
    #[snafu(display("step={step} peer={peer} sent=maybe fault=\"{fault}\""))]
    Broken {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
        /// What went wrong.
        fault: String,
    },
}

impl HttpError {
    /// Reports whether nothing of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. })
    }
}

// Ends the connection's task with the connection: the socket is reset at once.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct HttpConnection {
    sender: RequestSender,
    // Held for its end.
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: HttpConnection,
    until: time::Instant,
}

/// An answer whose body is still to be read.
pub struct HttpResponse {
    /// The head.
    pub head: hyper::http::response::Parts,
    /// The rest.
    pub body: ResponseBody,
}

/// The rest of an answer. The connection is reset when it is dropped before it was read whole.
pub struct ResponseBody {
    body: body::Incoming,
    connection: HttpConnection,
    peer: net::SocketAddr,
    // For how long the connection may be reused; none where the other side closes it.
    idle: Option<time::Duration>,
}

/// Connections to many addresses, of one thread.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails when no connection can be made, or when it breaks off.
    pub async fn send(
        &self,
        peer: net::SocketAddr,
        request: hyper::Request<request_body::RequestBody>,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(peer) {
            match exchange(peer, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeError::Returned(unsent)) => request = *unsent,
                Err(ExchangeError::Fault(fault)) => return Err(fault),
            }
        }
        let connection = connect(peer).await?;
        exchange(peer, connection, request)
            .await
            .map_err(|fault| match fault {
                ExchangeError::Fault(fault) => fault,
                ExchangeError::Returned(_) => {
                    let fault = "the connection closed".to_owned();
                    HttpError::Unsent {
                        step: "send",
                        peer,
                        fault,
                    }
                }
            })
    }

    /// Keeps the connection of an answer that was read whole.
    pub fn keep(&self, body: ResponseBody) {
        let ResponseBody {
            connection,
            peer,
            idle,
            ..
        } = body;
        let Some(span) = idle else {
            return;
        };
        if connection.sender.is_closed() {
            return;
        }
        let mut pools = self.idle.borrow_mut();
        let pool = pools.entry(peer).or_default();
        if pool.len() < MAX_IDLE {
            let until = time::Instant::now() + span;
            pool.push(IdleConnection { connection, until });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        let mut pools = self.idle.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    fn take_idle(&self, peer: net::SocketAddr) -> Option<HttpConnection> {
        let now = time::Instant::now();
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(&peer)?;
        while let Some(idle) = pool.pop() {
            let ready = idle.connection.sender.is_ready();
            if now < idle.until && ready {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl ResponseBody {
    /// Reads the next part of the body; none where it has ended.
    ///
    /// # Errors
    /// Fails when the body breaks off.
    pub async fn next_part(&mut self) -> Result<Option<bytes::Bytes>, HttpError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| self.broken("read-body", &error_chain(&e)))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the body breaks off, or is longer.
    pub async fn read_whole(&mut self, limit: usize) -> Result<bytes::Bytes, HttpError> {
        let mut whole = bytes::BytesMut::new();
        while let Some(part) = self.next_part().await? {
            whole.extend_from_slice(&part);
            if whole.len() > limit {
                return Err(self.broken("read-body", "the body is too long"));
            }
        }
        Ok(whole.freeze())
    }

    fn broken(&self, step: &'static str, fault: &str) -> HttpError {
        HttpError::Broken {
            step,
            peer: self.peer,
            fault: fault.to_owned(),
        }
    }
}

enum ExchangeError {
    // The request never left; here it is.
    Returned(Box<hyper::Request<request_body::RequestBody>>),
    Fault(HttpError),
}

async fn exchange(
    peer: net::SocketAddr,
    connection: HttpConnection,
    request: hyper::Request<request_body::RequestBody>,
) -> Result<HttpResponse, ExchangeError> {
    let mut connection = connection;
    match connection.sender.try_send_request(request).await {
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            let idle = idle_span(&head.headers);
            let body = ResponseBody {
                body,
                connection,
                peer,
                idle,
            };
            Ok(HttpResponse { head, body })
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Err(ExchangeError::Returned(Box::new(request))),
            None => Err(ExchangeError::Fault(HttpError::Broken {
                step: "send",
                peer,
                fault: error_chain(&error.into_error()),
            })),
        },
    }
}

// An error and its causes, outermost first: hyper's own text names no cause.
fn error_chain(error: &hyper::Error) -> String {
    let texts: Vec<_> = snafu::CleanedErrorText::new(error)
        .map(|(_, text, _)| text)
        .collect();
    texts.join(": ")
}

async fn connect(peer: net::SocketAddr) -> Result<HttpConnection, HttpError> {
    let unsent = |step: &'static str, fault: String| HttpError::Unsent { step, peer, fault };
    let limit = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = tokio::time::timeout(limit, tokio::net::TcpStream::connect(peer)).await;
    let connected = connected.map_err(|_| unsent("connect", "timeout".into()))?;
    let stream = connected.map_err(|e| unsent("connect", e.to_string()))?;
    set_options(&stream).map_err(|e| unsent("set-options", e.to_string()))?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| unsent("handshake", e.to_string()))?;
    let task = actix::spawn(async move {
        // Its fault reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(HttpConnection {
        sender,
        _task: ConnectionTask(task),
    })
}

// A connection that is closed is reset: bytes that a partition holds up must not arrive later.
fn set_options(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probe = socket2::TcpKeepalive::new()
        .with_time(time::Duration::from_secs(PROBE_AFTER_S))
        .with_interval(time::Duration::from_secs(1))
        .with_retries(PROBE_COUNT);
    socket.set_tcp_nodelay(true)?;
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(time::Duration::from_millis(UNACKED_TIMEOUT_MS)))?;
    socket.set_tcp_keepalive(&probe)
}

// For how long the connection may be reused; none where the other side closes it.
fn idle_span(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = |name: hyper::header::HeaderName| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_ascii_lowercase()
    };
    if text(hyper::header::CONNECTION).contains("close") {
        return None;
    }
    let stated = text(hyper::header::HeaderName::from_static("keep-alive"));
    let parts = stated.split(',').map(str::trim);
    let mut parts = parts;
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="));
    let seconds = seconds.and_then(|seconds| seconds.parse::<u64>().ok());
    let unstated = time::Duration::from_millis(UNSTATED_IDLE_MS);
    let span = seconds.map_or(unstated, |s| {
        time::Duration::from_secs(s).mul_f64(IDLE_PART)
    });
    Some(span)
}
