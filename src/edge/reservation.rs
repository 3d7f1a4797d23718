//! Carries out the decisions of the memory account: the reservations of requests, the signal to those
//! that have to give way, and the count of caller connections.

use std::cell;
use std::collections;
use std::io;
use std::pin;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::task;

use actix_web::HttpMessage as _;
use actix_web::body;
use actix_web::dev;
use actix_web::http::header;
use actix_web::web;
use futures_util::StreamExt as _;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::caller_connection;
use crate::edge::caller_listener;
use crate::edge::router::log_budget;
use crate::memory::account;
use crate::memory::limits;

/// The `retry-after` of refusals for lack of memory or connections, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// The size of the pieces in which a held response is sent, in bytes.
pub const PIECE_BYTES: usize = 16 << 10;
/// The step in which the reservation of a body grows, in bytes.
pub const HELD_STEP_BYTES: u64 = 16 << 10;
/// A body in small chunks makes progress once this many have arrived.
pub const PROGRESS_CHUNKS: u64 = 64;
/// One in this many of the connections is kept for those that are being refused.
pub const REFUSED_SHARE: u64 = 16;

/// The label of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct CauseLabel {
    /// The cause.
    pub cause: &'static str,
}

/// The metrics of the account.
#[derive(Clone, Debug)]
pub struct PressureMetrics {
    refusals: family::Family<CauseLabel, counter::Counter>,
    held_bytes: gauge::Gauge,
    connections: gauge::Gauge,
}

impl PressureMetrics {
    /// Creates the metrics, with every cause present.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            refusals: family::Family::default(),
            held_bytes: gauge::Gauge::default(),
            connections: gauge::Gauge::default(),
        };
        for cause in account::PressureCause::ALL {
            let cause = cause.as_str();
            drop(metrics.refusals.get_or_create(&CauseLabel { cause }));
        }
        metrics
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut registry::Registry) {
        let help = "Requests and connections refused for lack of memory or connections, by cause";
        registry.register("pressure_refusals", help, self.refusals.clone());
        let help = "Bytes that are reserved for requests and connections of callers";
        registry.register("held_bytes", help, self.held_bytes.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, self.connections.clone());
    }
}

impl Default for PressureMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Tells a transfer that it has to give way, and holds the bytes that are released then.
#[derive(Debug, Default)]
struct EvictionSignal {
    is_evicted: atomic::AtomicBool,
    notify: tokio::sync::Notify,
    response: sync::Mutex<bytes::Bytes>,
}

impl EvictionSignal {
    fn evict(&self) {
        self.is_evicted.store(true, atomic::Ordering::Release);
        drop(std::mem::take(&mut *lock(&self.response)));
        self.notify.notify_one();
    }

    fn is_evicted(&self) -> bool {
        self.is_evicted.load(atomic::Ordering::Acquire)
    }
}

fn lock<T>(state: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

struct AccountState {
    account: account::MemoryAccount,
    signals: collections::HashMap<account::TransferId, sync::Arc<EvictionSignal>>,
    log_budget: log_budget::LogBudget,
}

/// The account that the traffic threads of a process share.
#[derive(Clone)]
pub struct SharedAccount {
    state: sync::Arc<sync::Mutex<AccountState>>,
    metrics: PressureMetrics,
    clock: clock::SystemClock,
}

impl SharedAccount {
    /// Creates an empty account.
    #[must_use]
    pub fn new(
        limits: limits::ProcessLimits,
        clock: clock::SystemClock,
        metrics: PressureMetrics,
    ) -> Self {
        let refused = limits.connections / REFUSED_SHARE;
        let admitted = limits.with_connections(limits.connections - refused);
        let state = AccountState {
            account: account::MemoryAccount::new(admitted),
            signals: collections::HashMap::new(),
            log_budget: log_budget::LogBudget::new(),
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            metrics,
            clock,
        }
    }

    /// Counts an accepted connection of a caller until `extensions` are dropped, and refuses it where
    /// too many are open. [`caller_connection::add`] must have been called for it.
    pub fn admit(&self, stream: &actix_web::rt::net::TcpStream, extensions: &mut dev::Extensions) {
        let now = self.clock.now();
        let refused = {
            let mut state = lock(&self.state);
            let decision = state.account.open_connection(now);
            self.carry_out(&mut state, &decision);
            decision.refused
        };
        extensions.insert(ConnectionGuard(sync::Arc::new(CallerConnection {
            shared: self.clone(),
            reads_ahead: atomic::AtomicBool::new(true),
            keeps_buffer: atomic::AtomicBool::new(false),
        })));
        if refused.is_some() {
            caller_connection::refuse(extensions);
            let socket = socket2::SockRef::from(stream);
            // The caller may have closed the connection already.
            let _ = socket.send(refusal_text().as_bytes());
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Reports whether connections should close with their next response, so that others get one.
    #[must_use]
    pub fn is_connection_pressed(&self) -> bool {
        lock(&self.state).account.is_connection_pressed()
    }

    fn open(
        &self,
        address: std::net::IpAddr,
        connection: Option<sync::Arc<CallerConnection>>,
    ) -> Reservation {
        let signal = sync::Arc::<EvictionSignal>::default();
        let mut state = lock(&self.state);
        let id = state.account.open(address, self.clock.now());
        state.signals.insert(id, sync::Arc::clone(&signal));
        if state.account.is_evicted(id) {
            signal.evict();
            self.count(&state, account::PressureCause::Memory);
        }
        drop(state);
        Reservation {
            shared: self.clone(),
            id,
            address,
            signal,
            held: cell::Cell::new(0),
            is_body_read: cell::Cell::new(false),
            connection,
        }
    }

    // Counts a refusal, and tells the transfers that give way.
    fn carry_out(&self, state: &mut AccountState, decision: &account::ReserveDecision) {
        for id in &decision.evicted {
            if let Some(signal) = state.signals.get(id) {
                signal.evict();
            }
            self.count(state, account::PressureCause::Evicted);
        }
        // An evicted transfer was counted when it was evicted.
        let refused = decision.refused;
        if let Some(cause) = refused.filter(|cause| *cause != account::PressureCause::Evicted) {
            self.count(state, cause);
        }
        self.show(state);
    }

    fn count(&self, state: &AccountState, cause: account::PressureCause) {
        let label = CauseLabel {
            cause: cause.as_str(),
        };
        self.metrics.refusals.get_or_create(&label).inc();
        if state.log_budget.try_take() {
            tracing::info!(
                event = "pressure-refused",
                cause = cause.as_str(),
                held_bytes = state.account.used(),
                connections = state.account.connections()
            );
        }
    }

    fn show(&self, state: &AccountState) {
        let used = i64::try_from(state.account.used()).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(used);
        let connections = i64::try_from(state.account.connections()).unwrap_or(i64::MAX);
        self.metrics.connections.set(connections);
    }
}

impl Default for SharedAccount {
    fn default() -> Self {
        Self::new(
            limits::ProcessLimits::default(),
            clock::SystemClock::new(),
            PressureMetrics::new(),
        )
    }
}

/// Returns how many connections one of `threads` traffic threads accepts at most.
#[must_use]
pub fn worker_connections(limits: limits::ProcessLimits, threads: usize) -> usize {
    usize::try_from(limits.connections).unwrap_or(usize::MAX) / threads.max(1)
}

// Counts a connection until it is dropped.
struct ConnectionGuard(sync::Arc<CallerConnection>);

// An open connection of a caller.
struct CallerConnection {
    shared: SharedAccount,
    // Whether it may hold bytes that the library has read ahead.
    reads_ahead: atomic::AtomicBool,
    // Whether the library's buffer has become large, which lasts.
    keeps_buffer: atomic::AtomicBool,
}

impl CallerConnection {
    // Notes that a body of this size was received.
    fn note_body(&self, bytes: u64) {
        if bytes >= limits::KEPT_BUFFER_BODY_BYTES {
            self.keeps_buffer.store(true, atomic::Ordering::Relaxed);
        }
    }

    fn begin_request(&self) {
        self.set_read_ahead(true);
    }

    fn end_request(&self) {
        if !self.keeps_buffer.load(atomic::Ordering::Relaxed) {
            self.set_read_ahead(false);
        }
    }

    fn set_read_ahead(&self, reads_ahead: bool) {
        let was = self
            .reads_ahead
            .swap(reads_ahead, atomic::Ordering::Relaxed);
        let mut state = lock(&self.shared.state);
        match (was, reads_ahead) {
            (false, true) => state.account.begin_read_ahead(),
            (true, false) => state.account.end_read_ahead(),
            _ => {}
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        let reads_ahead = self.reads_ahead.load(atomic::Ordering::Relaxed);
        state.account.close_connection(reads_ahead);
        self.shared.show(&state);
    }
}

/// Reserves the memory of a request's body while it is read.
pub struct BodyMeter<'a> {
    reservation: &'a Reservation,
    small_chunks: u64,
    held: u64,
}

impl<'a> BodyMeter<'a> {
    /// Creates the meter of a body of which nothing was read.
    #[must_use]
    pub const fn new(reservation: &'a Reservation) -> Self {
        Self {
            reservation,
            small_chunks: 0,
            held: 0,
        }
    }

    /// Reserves what a body takes when another chunk is added to its buffer.
    ///
    /// # Errors
    /// Fails when the bytes are refused, or the request has to give way.
    pub fn take(
        &mut self,
        buffer: &bytes::BytesMut,
        chunk: &[u8],
    ) -> Result<(), account::PressureCause> {
        let is_small = chunk.len() < limits::SMALL_CHUNK_BYTES;
        self.small_chunks += u64::from(is_small);
        let size = buffer.capacity().max(buffer.len() + chunk.len());
        let needed = u64::try_from(size).unwrap_or(u64::MAX) + self.queue_bytes();
        if needed > self.held {
            // Bodies in small chunks would otherwise take the lock for each of them.
            self.held = needed.next_multiple_of(HELD_STEP_BYTES);
            self.reservation.hold(self.held)?;
        }
        if !is_small || self.small_chunks.is_multiple_of(PROGRESS_CHUNKS) {
            self.reservation
                .note_progress(account::TransferPhase::Receiving);
        }
        Ok(())
    }

    /// Reserves what a body takes that was read to its end.
    ///
    /// # Errors
    /// Fails when the request has to give way.
    pub fn finish(&self, buffer: &bytes::BytesMut) -> Result<(), account::PressureCause> {
        self.reservation.finish_body();
        let size = u64::try_from(buffer.capacity()).unwrap_or(u64::MAX);
        self.reservation.note_body(size);
        self.reservation.hold(size)
    }

    /// Reserves what a body takes whose remainder is streamed to a server.
    ///
    /// # Errors
    /// Fails when the bytes are refused, or the request has to give way.
    pub fn stream(&self) -> Result<(), account::PressureCause> {
        self.reservation.note_progress(account::TransferPhase::Held);
        self.reservation.note_body(limits::STREAM_BYTES);
        // The library decodes further small chunks while the body waits for a server.
        let queued = if self.small_chunks > 0 {
            limits::MAX_QUEUED_CHUNKS * limits::SMALL_CHUNK_COST
        } else {
            0
        };
        let more = limits::STREAM_BYTES + queued - self.queue_bytes().min(queued);
        self.reservation.hold_more(more)
    }

    fn queue_bytes(&self) -> u64 {
        self.small_chunks.min(limits::MAX_QUEUED_CHUNKS) * limits::SMALL_CHUNK_COST
    }
}

fn refusal_text() -> String {
    let retry_after = RETRY_AFTER_S.to_string();
    let headers = [("retry-after", retry_after.as_str())];
    caller_listener::refusal_text(503, &headers, "connections")
}

/// The bytes that one request of a caller holds. They are released when the value is dropped.
pub struct Reservation {
    shared: SharedAccount,
    id: account::TransferId,
    address: std::net::IpAddr,
    signal: sync::Arc<EvictionSignal>,
    held: cell::Cell<u64>,
    is_body_read: cell::Cell<bool>,
    connection: Option<sync::Arc<CallerConnection>>,
}

impl Reservation {
    /// Notes that the request's body has been read to its end.
    pub fn finish_body(&self) {
        self.is_body_read.set(true);
        self.note_progress(account::TransferPhase::Held);
    }

    // Notes that a body of this size was received on the connection.
    fn note_body(&self, bytes: u64) {
        if let Some(connection) = &self.connection {
            connection.note_body(bytes);
        }
    }

    /// Holds `bytes` more.
    ///
    /// # Errors
    /// Fails when they are refused, or the request has to give way.
    pub fn hold_more(&self, bytes: u64) -> Result<(), account::PressureCause> {
        self.hold(self.held.get() + bytes)
    }

    /// Holds `bytes` in all.
    ///
    /// # Errors
    /// Fails when they are refused, or the request has to give way.
    pub fn hold(&self, bytes: u64) -> Result<(), account::PressureCause> {
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.state);
        let decision = state.account.reserve(self.id, bytes, now);
        self.shared.carry_out(&mut state, &decision);
        drop(state);
        if let Some(cause) = decision.refused {
            tracing::debug!(event = "bytes-refused", address = %self.address, bytes);
            return Err(cause);
        }
        self.held.set(bytes);
        Ok(())
    }

    /// Notes that the request makes progress in this phase.
    pub fn note_progress(&self, phase: account::TransferPhase) {
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.state);
        state.account.note_progress(self.id, phase, now);
    }

    /// Reports whether the request has to give way.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.signal.is_evicted()
    }

    /// Waits until the request has to give way.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.signal.notify.notified().await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.account.close(self.id);
        state.signals.remove(&self.id);
        self.shared.show(&state);
        drop(state);
        // The remainder of a body that nobody reads stays with the connection until it closes.
        if let Some(connection) = self.connection.as_ref().filter(|_| self.is_body_read.get()) {
            connection.end_request();
        }
    }
}

/// Opens the reservation of a request and keeps it with the request.
#[must_use]
pub fn attach(request: &actix_web::HttpRequest) -> rc::Rc<Reservation> {
    let shared = request.app_data::<SharedAccount>().cloned();
    let unknown = std::net::IpAddr::from([0, 0, 0, 0]);
    let address = request.peer_addr().map_or(unknown, |peer| peer.ip());
    let connection = request.conn_data::<ConnectionGuard>();
    let connection = connection.map(|guard| sync::Arc::clone(&guard.0));
    if let Some(connection) = &connection {
        connection.begin_request();
    }
    let reservation = shared.unwrap_or_default().open(address, connection);
    let reservation = rc::Rc::new(reservation);
    if !has_body(request) {
        reservation.finish_body();
    }
    request.extensions_mut().insert(rc::Rc::clone(&reservation));
    reservation
}

/// Reports whether a request announces a body.
#[must_use]
pub fn has_body(request: &actix_web::HttpRequest) -> bool {
    let headers = request.headers();
    let length = headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|length| length.as_bytes() != b"0")
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the reservation of a request.
#[must_use]
pub fn find(request: &actix_web::HttpRequest) -> Option<rc::Rc<Reservation>> {
    request.extensions().get::<rc::Rc<Reservation>>().cloned()
}

/// Waits until a request has to give way.
pub async fn evicted(request: &actix_web::HttpRequest) {
    match find(request) {
        Some(reservation) => reservation.evicted().await,
        None => std::future::pending().await,
    }
}

/// Holds the bytes of a server's response to a request.
///
/// # Errors
/// Fails when they are refused.
pub fn hold_response(
    request: &actix_web::HttpRequest,
    bytes: usize,
) -> Result<(), account::PressureCause> {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    find(request).map_or(Ok(()), |reservation| reservation.hold_more(bytes))
}

/// Notes the progress of a body of `length` bytes that is streamed to a server.
pub fn watch_payload<S, E>(
    request: &actix_web::HttpRequest,
    length: u64,
    payload: S,
) -> impl futures_util::Stream<Item = Result<bytes::Bytes, E>> + use<S, E>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, E>>,
{
    let reservation = find(request);
    let mut left = length;
    if let Some(reservation) = &reservation {
        reservation.note_progress(account::TransferPhase::Streaming);
    }
    payload.inspect(move |chunk| {
        let size = chunk.as_ref().map_or(0, bytes::Bytes::len);
        left = left.saturating_sub(u64::try_from(size).unwrap_or(u64::MAX));
        let Some(reservation) = &reservation else {
            return;
        };
        if left == 0 {
            reservation.finish_body();
        } else {
            reservation.note_progress(account::TransferPhase::Streaming);
        }
    })
}

/// Replaces the body of a response that is held whole by one that keeps its reservation until it was
/// sent, and closes the connection where it gives way.
#[must_use]
pub fn reserve_body(
    response: actix_web::HttpResponse,
    reservation: rc::Rc<Reservation>,
) -> actix_web::HttpResponse {
    response.map_body(|_, content| {
        let bytes = body::MessageBody::try_into_bytes(content);
        bytes.map_or_else(
            |content| content,
            |bytes| {
                if bytes.len() <= PIECE_BYTES {
                    return body::BoxBody::new(bytes);
                }
                body::BoxBody::new(ReservedBody::new(bytes, reservation))
            },
        )
    })
}

/// A response body that is held whole and sent in pieces.
struct ReservedBody {
    length: u64,
    left: usize,
    reservation: rc::Rc<Reservation>,
}

impl ReservedBody {
    fn new(bytes: bytes::Bytes, reservation: rc::Rc<Reservation>) -> Self {
        let left = bytes.len();
        *lock(&reservation.signal.response) = bytes;
        reservation.note_progress(account::TransferPhase::Responding);
        Self {
            length: u64::try_from(left).unwrap_or(u64::MAX),
            left,
            reservation,
        }
    }
}

impl body::MessageBody for ReservedBody {
    type Error = io::Error;

    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, io::Error>>> {
        let reserved = self.get_mut();
        if reserved.left == 0 {
            return task::Poll::Ready(None);
        }
        let reservation = &reserved.reservation;
        let mut held = lock(&reservation.signal.response);
        let size = held.len().min(PIECE_BYTES);
        let piece = held.split_to(size);
        drop(held);
        if piece.is_empty() {
            let fault = io::Error::other("the response gave way to others");
            return task::Poll::Ready(Some(Err(fault)));
        }
        reserved.left -= size;
        reservation.note_progress(account::TransferPhase::Responding);
        task::Poll::Ready(Some(Ok(piece)))
    }
}

/// Keeps the unread remainder of a request's body until the response was sent, which closes the
/// connection. The library would otherwise wait, without a limit, for the end of a chunked body that
/// nobody reads.
#[must_use]
pub fn hold_unread(
    response: actix_web::HttpResponse,
    unread: Option<web::Payload>,
) -> actix_web::HttpResponse {
    let Some(unread) = unread else {
        return response;
    };
    let mut response = response.map_body(|_, content| {
        let bytes = body::MessageBody::try_into_bytes(content);
        bytes.map_or_else(
            |content| content,
            |bytes| {
                body::BoxBody::new(UnreadBody {
                    length: u64::try_from(bytes.len()).unwrap_or(u64::MAX),
                    bytes: Some(bytes),
                    _unread: unread,
                })
            },
        )
    });
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

/// The body of a response to a request whose own body was not read to its end.
struct UnreadBody {
    length: u64,
    bytes: Option<bytes::Bytes>,
    _unread: web::Payload,
}

impl body::MessageBody for UnreadBody {
    type Error = io::Error;

    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, io::Error>>> {
        let bytes = self.get_mut().bytes.take();
        task::Poll::Ready(bytes.filter(|bytes| !bytes.is_empty()).map(Ok))
    }
}
