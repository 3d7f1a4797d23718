//! One entry host on a platform: its threads and listeners, and its clean stop.

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

/// How many connections a listener lets wait.
pub const LISTEN_BACKLOG: u32 = 2_048;
/// How long an idle connection of a caller is kept, in seconds; longer than callers use one.
pub const IDLE_TIMEOUT_S: u64 = 120;
/// How long a caller may take to send a head, in seconds.
pub const HEAD_TIMEOUT_S: u64 = 10;
/// How long a stopping host goes on taking requests, in milliseconds: the platform learns by two
/// questions, a second apart, that it is not ready.
pub const LAME_DUCK_MS: u64 = 2_600;
/// How long the last answers have to leave, in milliseconds.
pub const FLUSH_MS: u64 = 150;
/// How long before its end a stopping host gives up waiting for requests, in milliseconds.
pub const STOP_MARGIN_MS: u64 = 400;
/// How long a stopping host waits between two looks, in milliseconds.
pub const STOP_POLL_MS: u64 = 50;

/// What one host is set to.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Who it is.
    pub own: status::HostRecord,
    /// Where callers connect.
    pub front: net::SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: net::SocketAddr,
    /// Where operators ask for metrics, status and keys, if anywhere.
    pub metrics: Option<net::SocketAddr>,
    /// The desk's settings.
    pub scheduler: scheduler::SchedulerSettings,
    /// The interval between two joins of the hosts that may grant.
    pub join_interval: time::Duration,
    /// The longest hold that servers allow.
    pub max_hold: time::Duration,
    /// The time from a request to stop to the end.
    pub grace: time::Duration,
}

/// Makes the parts of an adapter, each on the thread that uses it.
pub trait PlatformAdapter: Clone + Send + 'static {
    /// The store.
    type Store: ports::StorePort;
    /// The way to servers.
    type Orders: ports::OrderPort;
    /// The decoder of records.
    type Decoder: ports::RecordDecoder;
    /// The headers.
    type Codec: ports::HeaderCodec + Send;

    /// Creates the store's client.
    fn new_store(&self) -> Self::Store;

    /// Creates the client for orders.
    fn new_orders(&self) -> Self::Orders;

    /// Creates the decoder.
    fn new_decoder(&self) -> Self::Decoder;

    /// Creates the codec.
    fn new_codec(&self) -> Self::Codec;
}

/// A host could not start.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum RouterError {
    /// A chart is faulty.
    #[snafu(display("step=read-charts fault=\"{source}\""))]
    Chart {
        /// The fault.
        source: chart::ChartError,
    },
    /// A listener could not be opened.
    #[snafu(display("step=listen peer={address} fault=\"{fault}\""))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The fault.
        fault: String,
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
    /// Fails when a chart is faulty or a listener cannot be opened.
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
        let questions = admin::AdminState {
            own: settings.own.clone(),
            ready,
            stopping: sync::Arc::clone(&stopping),
            in_flight: sync::Arc::clone(&in_flight),
            view: sync::Arc::clone(&traffic.view),
            metrics,
            clock,
        };
        let ready_path = ports::HeaderCodec::ready_path(&traffic.codec);
        listen_questions(&settings, ready_path, questions)?;
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

    /// Stops cleanly: says that it is not ready, leaves its duty, and finishes what is under way.
    pub async fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
        // Nobody may listen any longer.
        let _ = self.stop.send(true);
        tracing::info!(event = "host-draining", in_flight = self.in_flight());
        let longest = self
            .settings
            .grace
            .saturating_sub(time::Duration::from_millis(STOP_MARGIN_MS));
        let taking = time::Duration::from_millis(LAME_DUCK_MS).min(longest);
        tokio::time::sleep(taking).await;
        // Callers may still use connections that were idle all the while: they are told at once.
        self.closed.store(true, atomic::Ordering::Relaxed);
        let finishing = time::Instant::now();
        while self.in_flight() > 0 && finishing.elapsed() < longest.saturating_sub(taking) {
            tokio::time::sleep(time::Duration::from_millis(STOP_POLL_MS)).await;
        }
        tokio::time::sleep(time::Duration::from_millis(FLUSH_MS)).await;
        let cut = self.in_flight();
        // Connections without a request end with the process.
        drop(self.front.stop(false));
        self.control.stop();
        tracing::info!(event = "host-stopped", cut);
    }

    /// Returns the number of requests that are not yet answered.
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

// Starts the control thread and waits until it listens to the other hosts.
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
        // The starting thread may have ended.
        let _ = started.send(result);
    });
    let lost = || RouterError::Listen {
        address,
        fault: "the control thread ended".to_owned(),
    };
    outcome.await.unwrap_or_else(|_| Err(lost()))
}

async fn run_control<A: PlatformAdapter>(
    settings: RouterSettings,
    adapter: A,
    shared: ControlShared,
) -> Result<(), RouterError> {
    let (questions, questions_in) = tokio::sync::mpsc::unbounded_channel();
    let address = settings.own.peers;
    let responder = status_exchange::StatusExchangeServer::new(questions);
    let listened = responder.listen(address).await;
    listened.map_err(|e| RouterError::Listen {
        address,
        fault: e.to_string(),
    })?;
    let parts = control::ControlParts {
        store: adapter.new_store(),
        orders: adapter.new_orders(),
        decoder: adapter.new_decoder(),
        clock: shared.clock,
        view: shared.view,
        ready: shared.ready,
        reports: shared.reports,
        questions: questions_in,
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

fn listen_questions(
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

fn listen_error(address: net::SocketAddr, fault: &std::io::Error) -> RouterError {
    RouterError::Listen {
        address,
        fault: fault.to_string(),
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
