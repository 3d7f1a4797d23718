//! One entry host on a platform: starts its threads and listeners, and stops them gracefully.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::web;

use crate::chart;
use crate::clock;
use crate::edge::listen;
use crate::edge::router::admin;
use crate::edge::router::control;
use crate::edge::router::front;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::status_exchange;
use crate::edge::router::traffic;
use crate::serving::scheduler;
use crate::serving::status;
use crate::serving::view;

/// The length of the queue of connections that a listener has yet to accept.
pub const LISTEN_BACKLOG: u32 = 2_048;
/// How long an idle connection of a caller is kept, in seconds; longer than callers reuse one.
pub const IDLE_TIMEOUT_S: u64 = 120;
/// How long a caller may take to send a request's head, in seconds.
pub const HEAD_TIMEOUT_S: u64 = 10;
/// How long a stopping host goes on accepting requests, in milliseconds. The platform takes a host
/// out of use after two failed readiness checks, which are one second apart.
pub const LAME_DUCK_MS: u64 = 2_600;
/// How long a stopping host waits for the last responses to be flushed, in milliseconds.
pub const RESPONSE_FLUSH_MS: u64 = 150;
/// The part of the grace period that is kept in reserve for shutting down, in milliseconds.
pub const STOP_MARGIN_MS: u64 = 400;
/// The interval at which a stopping host checks for requests in flight, in milliseconds.
pub const STOP_POLL_MS: u64 = 50;

/// The settings of one host.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This host's record.
    pub own: status::HostRecord,
    /// The address for callers.
    pub front: net::SocketAddr,
    /// The address for the platform's readiness check.
    pub ready: net::SocketAddr,
    /// The address for operators: metrics, status and keys; `None` where they are not served.
    pub metrics: Option<net::SocketAddr>,
    /// The request scheduler's settings.
    pub scheduler: scheduler::SchedulerSettings,
    /// The interval at which the host renews its membership in the group of hosts that may grant.
    pub join_interval: time::Duration,
    /// The longest hold that servers accept.
    pub max_hold: time::Duration,
    /// The time from the request to stop to the end of the process.
    pub grace: time::Duration,
}

/// Creates the parts of a platform's adapter, each on the thread that uses it.
pub trait PlatformAdapter: Clone + Send + 'static {
    /// The store's client.
    type Store: ports::StorePort;
    /// The sender of orders.
    type Orders: ports::OrderPort;
    /// The decoder of records.
    type Decoder: ports::RecordDecoder;
    /// The header codec.
    type Codec: ports::HeaderCodec + Send;

    /// Creates the store's client.
    fn new_store(&self) -> Self::Store;

    /// Creates the sender of orders.
    fn new_orders(&self, clock: clock::SystemClock) -> Self::Orders;

    /// Creates the decoder of records.
    fn new_decoder(&self) -> Self::Decoder;

    /// Creates the header codec.
    fn new_codec(&self) -> Self::Codec;
}

/// A host could not start.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum RouterError {
    /// A chart is not valid.
    #[snafu(display("step=read-charts fault=\"{source}\""))]
    Chart {
        /// The cause.
        source: chart::ChartError,
    },
    /// An address cannot be listened on.
    #[snafu(display("step=listen peer={address} fault=\"{error}\""))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        error: String,
    },
}

/// A running host.
pub struct RouterHost {
    settings: RouterSettings,
    stopping: sync::Arc<atomic::AtomicBool>,
    closed: sync::Arc<atomic::AtomicBool>,
    stop: tokio::sync::watch::Sender<bool>,
    in_flight: sync::Arc<atomic::AtomicI64>,
    front: actix_web::dev::ServerHandle,
    control: actix::Arbiter,
}

impl RouterHost {
    /// Starts a host.
    ///
    /// # Errors
    /// Fails when a chart is not valid or an address cannot be listened on.
    pub async fn start<A: PlatformAdapter>(
        settings: RouterSettings,
        adapter: A,
    ) -> Result<Self, RouterError> {
        let clock = clock::SystemClock::new();
        let view: traffic::SharedView =
            sync::Arc::new(arc_swap::ArcSwap::from_pointee(view::ServingView::new()));
        let ready = sync::Arc::new(atomic::AtomicBool::new(false));
        let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
        let closed = sync::Arc::new(atomic::AtomicBool::new(false));
        let in_flight = sync::Arc::new(atomic::AtomicI64::new(0));
        let (stop, stop_seen) = tokio::sync::watch::channel(false);
        let (reports, reports_in) = tokio::sync::mpsc::unbounded_channel();
        let chart = chart::ChartTable::new().map_err(|source| RouterError::Chart { source })?;
        let control = actix::Arbiter::new();
        let metrics = metrics::RouterMetrics::new();
        let shared = ControlShared {
            metrics: sync::Arc::clone(&metrics),
            clock,
            view: sync::Arc::clone(&view),
            ready: sync::Arc::clone(&ready),
            reports: reports_in,
            stopping: stop_seen,
        };
        start_control(&control, &settings, adapter.clone(), shared).await?;
        let traffic = traffic::TrafficParts {
            codec: adapter.new_codec(),
            view,
            scheduler: settings.scheduler.clone(),
            chart: sync::Arc::new(chart),
            stopping: sync::Arc::clone(&stopping),
            closed: sync::Arc::clone(&closed),
            in_flight: sync::Arc::clone(&in_flight),
            reports,
            clock,
            metrics: sync::Arc::clone(&metrics),
        };
        let admin = admin::AdminState {
            own: settings.own.clone(),
            ready,
            stopping: sync::Arc::clone(&stopping),
            in_flight: sync::Arc::clone(&in_flight),
            view: sync::Arc::clone(&traffic.view),
            metrics,
            clock,
        };
        let ready_path = ports::HeaderCodec::ready_path(&traffic.codec);
        start_admin(&settings, ready_path, admin)?;
        let front = listen_callers(&settings, traffic)?;
        tracing::info!(
            event = "host-started",
            host = %settings.own.host,
            incarnation = settings.own.incarnation,
            domain = %settings.own.domain,
            front = %settings.front
        );
        Ok(Self {
            settings,
            stopping,
            closed,
            stop,
            in_flight,
            front,
            control,
        })
    }

    /// Stops gracefully: fails the readiness check, gives up the granter role, and completes the
    /// requests in flight within the grace period.
    pub async fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
        // The control thread may have ended.
        let _ = self.stop.send(true);
        tracing::info!(event = "host-draining", in_flight = self.in_flight());
        let limit = self
            .settings
            .grace
            .saturating_sub(time::Duration::from_millis(STOP_MARGIN_MS));
        let lame_duck = time::Duration::from_millis(LAME_DUCK_MS).min(limit);
        tokio::time::sleep(lame_duck).await;
        // Callers may still send requests on connections that have been idle since; those are
        // refused at once.
        self.closed.store(true, atomic::Ordering::Relaxed);
        let started = time::Instant::now();
        while self.in_flight() > 0 && started.elapsed() < limit.saturating_sub(lame_duck) {
            tokio::time::sleep(time::Duration::from_millis(STOP_POLL_MS)).await;
        }
        tokio::time::sleep(time::Duration::from_millis(RESPONSE_FLUSH_MS)).await;
        let cut = self.in_flight();
        // Idle connections are closed by the end of the process.
        drop(self.front.stop(false));
        self.control.stop();
        tracing::info!(event = "host-stopped", cut);
    }

    /// Returns the number of requests in flight, 0 once all responses have been sent. A request
    /// counts twice while it occupies a slot at a server.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }
}

struct ControlShared {
    metrics: sync::Arc<metrics::RouterMetrics>,
    clock: clock::SystemClock,
    view: traffic::SharedView,
    ready: sync::Arc<atomic::AtomicBool>,
    reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
    stopping: tokio::sync::watch::Receiver<bool>,
}

// Starts the control thread and waits until it listens for the other hosts.
async fn start_control<A: PlatformAdapter>(
    arbiter: &actix::Arbiter,
    settings: &RouterSettings,
    adapter: A,
    shared: ControlShared,
) -> Result<(), RouterError> {
    let (started, outcome) = tokio::sync::oneshot::channel();
    let settings = settings.clone();
    let address = settings.own.peers;
    arbiter.spawn(async move {
        let result = run_control(settings, adapter, shared).await;
        // The thread that starts the host may have ended.
        let _ = started.send(result);
    });
    let ended = || RouterError::Listen {
        address,
        error: "the control thread ended".to_owned(),
    };
    outcome.await.unwrap_or_else(|_| Err(ended()))
}

async fn run_control<A: PlatformAdapter>(
    settings: RouterSettings,
    adapter: A,
    shared: ControlShared,
) -> Result<(), RouterError> {
    let (host_calls, host_calls_in) = tokio::sync::mpsc::unbounded_channel();
    let address = settings.own.peers;
    let server = status_exchange::StatusExchangeServer::new(host_calls);
    let listened = server.listen(address).await;
    listened.map_err(|e| RouterError::Listen {
        address,
        error: e.to_string(),
    })?;
    let parts = control::ControlParts {
        store: adapter.new_store(),
        orders: adapter.new_orders(shared.clock),
        decoder: adapter.new_decoder(),
        clock: shared.clock,
        view: shared.view,
        ready: shared.ready,
        reports: shared.reports,
        host_calls: host_calls_in,
        join_interval: settings.join_interval,
        max_hold: settings.max_hold,
        own: settings.own,
        drain: settings.scheduler.drain,
        stopping: shared.stopping,
        metrics: shared.metrics,
    };
    let started = control::ControlThread::start(parts);
    started
        .map(drop)
        .map_err(|source| RouterError::Chart { source })
}

fn start_admin(
    settings: &RouterSettings,
    ready_path: &'static str,
    state: admin::AdminState,
) -> Result<(), RouterError> {
    if let Some(address) = settings.metrics {
        let listened = admin::listen_operators(address, state.clone());
        listened.map_err(|e| listen_error(address, &e))?;
    }
    let listened = admin::listen_ready(settings.ready, ready_path, state);
    listened.map_err(|e| listen_error(settings.ready, &e))
}

fn listen_error(address: net::SocketAddr, error: &std::io::Error) -> RouterError {
    RouterError::Listen {
        address,
        error: error.to_string(),
    }
}

fn listen_callers<C: ports::HeaderCodec + Send>(
    settings: &RouterSettings,
    traffic: traffic::TrafficParts<C>,
) -> Result<actix_web::dev::ServerHandle, RouterError> {
    let address = settings.front;
    let server = actix_web::HttpServer::new(move || {
        let thread = traffic::TrafficThread::start(traffic.clone());
        actix_web::App::new()
            .app_data(thread)
            .default_service(web::to(front::handle::<C>))
    })
    .workers(1)
    .backlog(LISTEN_BACKLOG)
    .keep_alive(time::Duration::from_secs(IDLE_TIMEOUT_S))
    .client_request_timeout(time::Duration::from_secs(HEAD_TIMEOUT_S))
    .h1_allow_half_closed(false)
    .disable_signals()
    .bind(address)
    .map_err(|e| listen_error(address, &e))?
    .run();
    Ok(listen::spawn(server))
}
