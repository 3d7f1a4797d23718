//! Carries out the decisions of the memory account: the reservations of requests, the signal to those
//! that have to give way, and the count of caller connections.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::sync::atomic;

use actix_web::HttpMessage as _;
use actix_web::dev;
use actix_web::http::header;
use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::caller_connection;
use crate::edge::caller_listener;
use crate::edge::pressure_metrics;
use crate::edge::router::log_budget;
use crate::memory::account;
use crate::memory::limits;

/// The `retry-after` of refusals for lack of memory or connections, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// One in this many of the connections is kept for those that are being refused.
pub const REFUSED_SHARE: u64 = 16;

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
    metrics: pressure_metrics::PressureMetrics,
    clock: clock::SystemClock,
}

impl SharedAccount {
    /// Creates an empty account.
    #[must_use]
    pub fn new(
        limits: limits::ProcessLimits,
        clock: clock::SystemClock,
        metrics: pressure_metrics::PressureMetrics,
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
        self.metrics.note_refusal(cause);
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
        let account = &state.account;
        self.metrics.show(account.used(), account.connections());
    }
}

impl Default for SharedAccount {
    fn default() -> Self {
        Self::new(
            limits::ProcessLimits::default(),
            clock::SystemClock::new(),
            pressure_metrics::PressureMetrics::new(),
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
    pub(crate) fn note_body(&self, bytes: u64) {
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

    // Holds a response until it is sent in pieces, or gives way.
    pub(crate) fn store_response(&self, bytes: bytes::Bytes) {
        *lock(&self.signal.response) = bytes;
        self.note_progress(account::TransferPhase::Responding);
    }

    // Takes the next piece of the response, of up to `size` bytes; an empty one where it gave way.
    pub(crate) fn take_piece(&self, size: usize) -> bytes::Bytes {
        let mut held = lock(&self.signal.response);
        let size = held.len().min(size);
        held.split_to(size)
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
