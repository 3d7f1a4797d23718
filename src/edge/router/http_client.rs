//! HTTP/1.1 client with a connection pool, over hyper, for servers and the store.
//!
//! `awc` is not used here: it ends a chunked body without an error when the connection closes
//! before the last chunk, so a truncated response looks complete (test
//! `awc_takes_a_cut_body_for_whole`). hyper reports an error.

use std::cell;
use std::net;
use std::rc;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body;

use crate::clock;
use crate::edge::router::body as request_body;
use crate::edge::router::connection_pool;
use crate::edge::router::request_stream;

/// Time-out of a connection attempt where the client has no other, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long an idle connection is reused where the peer states no keep-alive time-out, in
/// milliseconds.
pub const DEFAULT_IDLE_MS: u64 = 500;

/// How long an idle connection for grants is reused where the server states no keep-alive time-out, in
/// milliseconds: beyond the interval of renewals. A grant may arrive twice.
pub const GRANT_IDLE_MS: u64 = 6_000;

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
    /// Nothing of the request was sent, since no connection leads to a process that may get it.
    #[snafu(display("peer={peer} sent=no fault=\"no usable connection\""))]
    NotUsable {
        /// The address of the peer.
        peer: net::SocketAddr,
    },
}

impl HttpError {
    /// Reports whether nothing of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. } | Self::NotUsable { .. })
    }
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
    connection: connection_pool::HttpConnection,
    peer: net::SocketAddr,
    reuse_window: connection_pool::ReuseWindow,
}

/// HTTP client of one thread, with a pool of idle connections for each address.
#[derive(Clone)]
pub struct HttpClient {
    idle: rc::Rc<cell::RefCell<connection_pool::ConnectionPool>>,
    connect_timeout: time::Duration,
    default_idle: time::Duration,
    clock: clock::SystemClock,
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
            default_idle: time::Duration::from_millis(DEFAULT_IDLE_MS),
            clock: clock::SystemClock::new(),
        }
    }

    /// Takes the times at which connections are opened from `clock`.
    #[must_use]
    pub fn with_clock(self, clock: clock::SystemClock) -> Self {
        Self { clock, ..self }
    }

    /// Reuses a connection for `idle` where the peer states no keep-alive time-out.
    #[must_use]
    pub fn with_default_idle(self, idle: time::Duration) -> Self {
        Self {
            default_idle: idle,
            ..self
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
        match send_idle(peer, request, || self.take(peer)).await {
            Ok(response) => Ok(response),
            Err(ExchangeError::Returned(request)) => self.send_anew(peer, *request).await,
            Err(ExchangeError::Failed(error)) => Err(error),
        }
    }

    /// Sends a request over an idle connection that the rule allows, and waits for the head of the
    /// response. Where there is none, a new connection is kept for a later try.
    ///
    /// # Errors
    /// Fails with `NotUsable` where there is no such connection, and otherwise like `send`.
    pub async fn send_by(
        &self,
        rule: &connection_pool::ConnectionRule,
        request: hyper::Request<request_body::RequestBody>,
    ) -> Result<HttpResponse, HttpError> {
        let peer = rule.peer;
        let sent = match send_idle(peer, request, || self.take_allowed(rule)).await {
            Ok(response) => return Ok(response),
            Err(error) => error.or_not_usable(peer),
        };
        if matches!(sent, HttpError::NotUsable { .. }) && !self.idle.borrow_mut().has_idle(peer) {
            self.open_idle(peer).await?;
        }
        Err(sent)
    }

    // Opens a connection and adds it to the pool.
    async fn open_idle(&self, peer: net::SocketAddr) -> Result<(), HttpError> {
        let mut connection =
            connection_pool::connect(peer, self.connect_timeout, self.clock).await?;
        let ready = connection.sender.ready().await;
        ready.map_err(|error| HttpError::Unsent {
            step: "handshake",
            peer,
            error: error_chain(&error),
        })?;
        let idle = self.default_idle;
        self.idle.borrow_mut().keep(peer, connection, idle);
        Ok(())
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
        let connection = connection_pool::connect(peer, self.connect_timeout, self.clock).await?;
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
        if let Some(window) = reuse_window.within(self.default_idle) {
            connection.state.end();
            self.idle.borrow_mut().keep(peer, connection, window);
        }
    }

    /// Closes idle connections that are no longer reused.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().close_idle();
    }

    /// Creates a client for grants, which are sent again and again over the connections that it keeps.
    #[must_use]
    pub fn for_grants(clock: clock::SystemClock) -> Self {
        let idle = time::Duration::from_millis(GRANT_IDLE_MS);
        Self::new().with_clock(clock).with_default_idle(idle)
    }

    // Functions of their own, since the pool may not stay borrowed while a request is sent.
    fn take(&self, peer: net::SocketAddr) -> Option<connection_pool::HttpConnection> {
        self.idle.borrow_mut().take(peer)
    }

    pub(super) fn take_allowed(
        &self,
        rule: &connection_pool::ConnectionRule,
    ) -> Option<connection_pool::HttpConnection> {
        self.idle.borrow_mut().take_allowed(rule)
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

    /// Records that the server has run a request for a key over this connection.
    pub fn note_run(&mut self, run: connection_pool::ServiceKey) {
        self.connection.origin.note_run(run);
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

impl ExchangeError {
    // The error of a request that is not sent over another connection.
    pub(super) fn or_not_usable(self, peer: net::SocketAddr) -> HttpError {
        match self {
            Self::Returned(_) => HttpError::NotUsable { peer },
            Self::Failed(error) => error,
        }
    }
}

// Sends a request over the first of the connections from `take` that is still open.
pub(super) async fn send_idle(
    peer: net::SocketAddr,
    request: hyper::Request<request_body::RequestBody>,
    take: impl Fn() -> Option<connection_pool::HttpConnection>,
) -> Result<HttpResponse, ExchangeError> {
    let mut request = request;
    while let Some(connection) = take() {
        match exchange(peer, connection, request).await {
            Err(ExchangeError::Returned(unsent)) => request = *unsent,
            ended => return ended,
        }
    }
    Err(ExchangeError::Returned(Box::new(request)))
}

pub(super) enum ExchangeError {
    // The request was not sent and is handed back.
    Returned(Box<hyper::Request<request_body::RequestBody>>),
    Failed(HttpError),
}

async fn exchange(
    peer: net::SocketAddr,
    connection: connection_pool::HttpConnection,
    request: hyper::Request<request_body::RequestBody>,
) -> Result<HttpResponse, ExchangeError> {
    let mut connection = connection;
    let request = request.map(|body| connection.state.begin(body));
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let reuse_window = connection_pool::reuse_window(&head.headers);
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
