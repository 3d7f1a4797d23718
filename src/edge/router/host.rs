//! One entry host on a platform: starts its threads and listeners, and stops them gracefully.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::web;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::caller_connection;
use crate::edge::caller_listener;
use crate::edge::listen;
use crate::edge::reservation;
use crate::edge::router::admin;
use crate::edge::router::control;
use crate::edge::router::front;
use crate::edge::router::grant_relay;
use crate::edge::router::local_response;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::shutdown_watch;
use crate::edge::router::status_exchange;
use crate::edge::router::traffic;
use crate::memory::limits;
use crate::serving::cold;
use crate::serving::scheduler;
use crate::serving::shutdown;
use crate::serving::status;
use crate::serving::view;

/// The length of the queue of connections that a listener has yet to accept.
pub const LISTEN_BACKLOG: u32 = 2_048;
/// How long an idle connection of a caller is kept, in seconds; longer than callers reuse one.
pub const IDLE_TIMEOUT_S: u64 = 120;
/// How long a caller may take to send a request's head, in seconds.
pub const HEAD_TIMEOUT_S: u64 = 10;
/// How long a stopping host waits for connections on which no request is under way, in milliseconds.
pub const IDLE_CONNECTIONS_MS: u64 = 500;
/// How long the last responses take to be sent, in milliseconds.
pub const LAST_RESPONSES_MS: u64 = 150;
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
    /// The bound on the requests that arrive at cold servers.
    pub cold_bounds: cold::ColdBounds,
    /// The interval at which the host renews its membership in the group of hosts that may grant.
    pub join_interval: time::Duration,
    /// The longest hold that servers accept.
    pub max_hold: time::Duration,
    /// The time from the request to stop to the end of the process.
    pub grace: time::Duration,
    /// The time within which the last request must have reached an evacuated failure domain.
    pub evacuate: time::Duration,
    /// What the process may hold.
    pub limits: limits::ProcessLimits,
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
    fn new_orders(
        &self,
        clock: clock::SystemClock,
        relay: grant_relay::RelaySender,
    ) -> Self::Orders;

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
    clock: clock::SystemClock,
    shutdown: shutdown_watch::ShutdownSender,
    in_flight: sync::Arc<atomic::AtomicI64>,
    front: caller_listener::CallerListener,
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
        let in_flight = sync::Arc::new(atomic::AtomicI64::new(0));
        let (shutdown, shutdown_watch) = shutdown_watch::ShutdownWatch::new();
        let (relay, relay_in) = grant_relay::new_relay();
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
            relay,
            shutdown: shutdown_watch.clone(),
        };
        start_control(&control, &settings, adapter.clone(), shared).await?;
        let traffic = traffic::TrafficParts {
            codec: adapter.new_codec(),
            view,
            scheduler: settings.scheduler.clone(),
            chart: sync::Arc::new(chart),
            shutdown: shutdown_watch.clone(),
            in_flight: sync::Arc::clone(&in_flight),
            relay: relay_in,
            reports,
            clock,
            metrics: sync::Arc::clone(&metrics),
        };
        let admin = admin::AdminState {
            own: settings.own.clone(),
            ready,
            shutdown: shutdown_watch,
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
            clock,
            shutdown,
            in_flight,
            front,
            control,
        })
    }

    /// Stops gracefully: fails the readiness check, gives up the granter role, and completes the
    /// requests in flight within the grace period. Those that cannot be completed are refused, or end
    /// as broken where a server may have run them.
    pub async fn stop(&self) {
        let times = shutdown::ShutdownTimes::new(self.clock.now(), self.settings.grace);
        self.shutdown.send_replace(Some(times));
        tracing::info!(event = "host-draining", in_flight = self.in_flight());
        // Callers may still send requests on connections that have been idle since; from then on they
        // are refused at once.
        tokio::time::sleep(times.closes_at.since(self.clock.now())).await;
        let last_responses = time::Duration::from_millis(LAST_RESPONSES_MS);
        let limit = times.ends_at.since(self.clock.now()) + last_responses;
        let idle = self.wait_until_idle(limit);
        let stopped = self.front.stop(local_response::stopping_refusal, idle);
        if let Err(error) = stopped.await {
            tracing::warn!(event = "callers-not-refused", fault = %error);
        }
        let cut = self.in_flight();
        self.control.stop();
        tracing::info!(event = "host-stopped", cut);
    }

    // Waits until no request has been in flight for `IDLE_CONNECTIONS_MS`, at most for `limit`.
    async fn wait_until_idle(&self, limit: time::Duration) {
        let started = time::Instant::now();
        let mut idle_since = started;
        let idle = time::Duration::from_millis(IDLE_CONNECTIONS_MS);
        while idle_since.elapsed() < idle && started.elapsed() < limit {
            tokio::time::sleep(time::Duration::from_millis(STOP_POLL_MS)).await;
            if self.in_flight() > 0 {
                idle_since = time::Instant::now();
            }
        }
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
    relay: grant_relay::RelaySender,
    shutdown: shutdown_watch::ShutdownWatch,
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
        orders: adapter.new_orders(shared.clock, shared.relay),
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
        evacuate: settings.evacuate,
        cold_bounds: settings.cold_bounds,
        shutdown: shared.shutdown,
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

/// Starts the server for callers, whose traffic thread is created with these parts.
///
/// # Errors
/// Fails when the address for callers cannot be listened on.
pub fn listen_callers<C: ports::HeaderCodec + Send>(
    settings: &RouterSettings,
    traffic: traffic::TrafficParts<C>,
) -> Result<caller_listener::CallerListener, RouterError> {
    let address = settings.front;
    let failed = |error| listen_error(address, &error);
    let listener = caller_listener::bind(address, LISTEN_BACKLOG).map_err(failed)?;
    let accepted = listener.try_clone().map_err(failed)?;
    let pressure = traffic.metrics.pressure.clone();
    let account = reservation::SharedAccount::new(settings.limits, traffic.clock, pressure);
    let connections = account.clone();
    let server = actix_web::HttpServer::new(move || {
        let thread = traffic::TrafficThread::start(traffic.clone());
        actix_web::App::new()
            .app_data(thread)
            .app_data(account.clone())
            .default_service(web::to(front::handle::<C>))
    })
    .on_connect(move |io, extensions| {
        caller_connection::add(extensions);
        if let Some(stream) = io.downcast_ref::<actix_web::rt::net::TcpStream>() {
            connections.admit(stream, extensions);
        }
    })
    .max_connections(reservation::worker_connections(settings.limits, 1))
    .workers(1)
    .shutdown_timeout(settings.grace.as_secs())
    .keep_alive(time::Duration::from_secs(IDLE_TIMEOUT_S))
    .client_request_timeout(time::Duration::from_secs(HEAD_TIMEOUT_S))
    .h1_allow_half_closed(false)
    .disable_signals()
    .listen(accepted)
    .map_err(failed)?
    .run();
    let server = listen::spawn(server);
    Ok(caller_listener::CallerListener::new(listener, server))
}
