//! HTTP/1.1 client with a connection pool, over hyper, for servers and the store.
//!
//! `awc` is not used here: it ends a chunked body without an error when the connection closes
//! before the last chunk, so a truncated response looks complete (test
//! `awc_takes_a_cut_body_for_whole`). hyper reports an error.

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
use crate::edge::router::request_stream;

/// Time-out of a connection attempt where the client has no other, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 300;
/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged, in milliseconds.
pub const UNACKED_TIMEOUT_MS: u64 = 1_000;
/// Idle time before the first TCP keep-alive probe, in seconds.
pub const KEEPALIVE_IDLE_S: u64 = 1;
/// Unanswered keep-alive probes after which a connection is closed.
pub const KEEPALIVE_PROBES: u32 = 2;
/// How long an idle connection is reused where the peer states no keep-alive time-out, in
/// milliseconds.
pub const DEFAULT_IDLE_MS: u64 = 500;
/// The part of the peer's keep-alive time-out during which a connection is reused, so that no
/// request is sent while the peer closes the connection.
pub const IDLE_REUSE_RATIO: f64 = 0.6;
/// The number of idle connections that are kept for each address.
pub const MAX_IDLE_CONNECTIONS: usize = 32;

type RequestSender = http1::SendRequest<request_stream::TrackedBody>;

/// Why an exchange failed.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum HttpError {
    /// Nothing of the request was sent.
    #[snafu(display("step={step} peer={peer} sent=no fault=\"{error}\""))]
    Unsent {
        /// The step that failed.
        step: &'static str,
        /// The address of the peer.
        peer: net::SocketAddr,
        /// The cause.
        error: String,
    },
    /// The request may have reached the peer.
    #[snafu(display("step={step} peer={peer} sent=maybe fault=\"{error}\""))]
    Broken {
        /// The step that failed.
        step: &'static str,
        /// The address of the peer.
        peer: net::SocketAddr,
        /// The cause.
        error: String,
    },
}

impl HttpError {
    /// Reports whether nothing of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. })
    }
}

// Aborts the connection's task when it is dropped, which closes the socket; the linger time of zero
// makes that a reset.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct HttpConnection {
    sender: RequestSender,
    state: request_stream::RequestState,
    // Kept so that the task is aborted when the connection is dropped.
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: HttpConnection,
    expires: time::Instant,
}

/// A response whose body has not been read yet.
pub struct HttpResponse {
    /// The status and the headers.
    pub head: hyper::http::response::Parts,
    /// The body.
    pub body: ResponseBody,
}

/// The unread body of a response. Dropping it before the end resets the connection.
pub struct ResponseBody {
    body: body::Incoming,
    connection: HttpConnection,
    peer: net::SocketAddr,
    // How long the connection may be reused after this response; `None` where the peer closes it.
    reuse_window: Option<time::Duration>,
}

/// HTTP client of one thread, with a pool of idle connections for each address.
#[derive(Clone)]
pub struct HttpClient {
    idle: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: time::Duration,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_connect_timeout(time::Duration::from_millis(CONNECT_TIMEOUT_MS))
    }
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a client without connections whose connection attempts end after `connect_timeout`.
    #[must_use]
    pub fn with_connect_timeout(connect_timeout: time::Duration) -> Self {
        Self {
            idle: rc::Rc::default(),
            connect_timeout,
        }
    }

    /// Sends a request and waits for the head of the response. An idle connection that turns out to
    /// be closed before the request was sent is replaced by another one.
    ///
    /// # Errors
    /// Fails when no connection can be made, or when the connection breaks off.
    pub async fn send(
        &self,
        peer: net::SocketAddr,
        request: hyper::Request<request_body::RequestBody>,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(peer) {
            match exchange(peer, connection, request).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::Returned(unsent)) => request = *unsent,
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
        self.send_anew(peer, request).await
    }

    /// Sends a request over a new connection and waits for the head of the response, which cannot
    /// be a copy of an earlier one.
    ///
    /// # Errors
    /// Fails when no connection can be made, or when the connection breaks off.
    pub async fn send_anew(
        &self,
        peer: net::SocketAddr,
        request: hyper::Request<request_body::RequestBody>,
    ) -> Result<HttpResponse, HttpError> {
        let connection = connect(peer, self.connect_timeout).await?;
        exchange(peer, connection, request)
            .await
            .map_err(|error| match error {
                ExchangeError::Failed(error) => error,
                ExchangeError::Returned(_) => {
                    let error = "connection closed before the request was sent".to_owned();
                    HttpError::Unsent {
                        step: "send",
                        peer,
                        error,
                    }
                }
            })
    }

    /// Returns the connection of a fully read response to the pool.
    pub fn recycle(&self, body: ResponseBody) {
        let ResponseBody {
            connection,
            peer,
            reuse_window,
            ..
        } = body;
        let Some(window) = reuse_window else {
            return;
        };
        if connection.sender.is_closed() {
            return;
        }
        connection.state.end();
        let mut pools = self.idle.borrow_mut();
        let pool = pools.entry(peer).or_default();
        if pool.len() < MAX_IDLE_CONNECTIONS {
            let expires = time::Instant::now() + window;
            pool.push(IdleConnection {
                connection,
                expires,
            });
        }
    }

    /// Closes idle connections that are no longer reused.
    pub fn close_idle(&self) {
        let now = time::Instant::now();
        let mut pools = self.idle.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|idle| now < idle.expires && !idle.connection.sender.is_closed());
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    fn take_idle(&self, peer: net::SocketAddr) -> Option<HttpConnection> {
        let now = time::Instant::now();
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(&peer)?;
        while let Some(idle) = pool.pop() {
            let ready = idle.connection.sender.is_ready();
            if now < idle.expires && ready {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl ResponseBody {
    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    /// Fails when the body is cut short.
    pub async fn next_chunk(&mut self) -> Result<Option<bytes::Bytes>, HttpError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| self.broken_error("read-body", &error_chain(&e)))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the remaining body, at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the body is cut short or longer than `limit`.
    pub async fn read_whole(&mut self, limit: usize) -> Result<bytes::Bytes, HttpError> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            whole.extend_from_slice(&chunk);
            if whole.len() > limit {
                return Err(self.broken_error("read-body", "body too long"));
            }
        }
        Ok(whole.freeze())
    }

    /// Returns the error of a body that has not ended by the caller's deadline.
    #[must_use]
    pub fn deadline_error(&self) -> HttpError {
        self.broken_error("read-body", "no end by the deadline")
    }

    fn broken_error(&self, step: &'static str, error: &str) -> HttpError {
        HttpError::Broken {
            step,
            peer: self.peer,
            error: error.to_owned(),
        }
    }
}

enum ExchangeError {
    // The request was not sent and is handed back.
    Returned(Box<hyper::Request<request_body::RequestBody>>),
    Failed(HttpError),
}

async fn exchange(
    peer: net::SocketAddr,
    connection: HttpConnection,
    request: hyper::Request<request_body::RequestBody>,
) -> Result<HttpResponse, ExchangeError> {
    let mut connection = connection;
    let request = request.map(|body| connection.state.begin(body));
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let reuse_window = reuse_window(&head.headers);
            let body = ResponseBody {
                body,
                connection,
                peer,
                reuse_window,
            };
            Ok(HttpResponse { head, body })
        }
        Err(mut error) => match error.take_message() {
            Some(request) => {
                let request = request.map(request_stream::TrackedBody::into_inner);
                Err(ExchangeError::Returned(Box::new(request)))
            }
            None => Err(ExchangeError::Failed(HttpError::Broken {
                step: "send",
                peer,
                error: error_chain(&error.into_error()),
            })),
        },
    }
}

// The texts of an error and its sources, outermost first: the display of a hyper error does not
// include its source.
fn error_chain(error: &hyper::Error) -> String {
    let texts: Vec<_> = snafu::CleanedErrorText::new(error)
        .map(|(_, text, _)| text)
        .collect();
    texts.join(": ")
}

async fn connect(
    peer: net::SocketAddr,
    limit: time::Duration,
) -> Result<HttpConnection, HttpError> {
    let unsent = |step: &'static str, error: String| HttpError::Unsent { step, peer, error };
    let connected = tokio::time::timeout(limit, tokio::net::TcpStream::connect(peer)).await;
    let connected = connected.map_err(|_| unsent("connect", "timeout".into()))?;
    let stream = connected.map_err(|e| unsent("connect", e.to_string()))?;
    set_options(&stream).map_err(|e| unsent("set-options", e.to_string()))?;
    let state = request_stream::RequestState::new();
    let stream = request_stream::RequestStream::new(stream, state.clone());
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| unsent("handshake", e.to_string()))?;
    let task = actix::spawn(async move {
        // The error is also reported to the request that awaits the response.
        let _ = connection.await;
    });
    Ok(HttpConnection {
        sender,
        state,
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

// How long the connection may be reused after this response; `None` where the peer closes it.
fn reuse_window(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = |name: hyper::header::HeaderName| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_ascii_lowercase()
    };
    if text(hyper::header::CONNECTION).contains("close") {
        return None;
    }
    let stated = text(hyper::header::HeaderName::from_static("keep-alive"));
    let options = stated.split(',').map(str::trim);
    let mut options = options;
    let seconds = options.find_map(|option| option.strip_prefix("timeout="));
    let seconds = seconds.and_then(|seconds| seconds.parse::<u64>().ok());
    let default = time::Duration::from_millis(DEFAULT_IDLE_MS);
    let window = seconds.map_or(default, |s| {
        time::Duration::from_secs(s).mul_f64(IDLE_REUSE_RATIO)
    });
    Some(window)
}
