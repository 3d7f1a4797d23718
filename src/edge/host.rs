//! One entry host: starts its threads and listeners, and stops them gracefully.

use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use actix::Actor as _;
use actix_web::web;

use crate::chart;
use crate::clock;
use crate::configuration;
use crate::control;
use crate::edge::caller_connection;
use crate::edge::caller_listener;
use crate::edge::callers;
use crate::edge::controller;
use crate::edge::dispatcher;
use crate::edge::exchange;
use crate::edge::listen;
use crate::edge::metrics;
use crate::edge::operators;
use crate::edge::peers;
use crate::edge::platform;
use crate::edge::ports;
use crate::edge::reservation;
use crate::edge::servers;
use crate::lifecycle;
use crate::memory::limits;
use crate::names;
use crate::peer;
use crate::timing;

/// The backlog of the callers' listener: the most connections that wait to be accepted.
pub const LISTEN_BACKLOG: u32 = 1_024;

/// How long a host that ends at once takes at most to answer the requests in flight, in milliseconds.
pub const CUT_TIMEOUT_MS: u64 = 300;
/// The interval at which such a host checks for requests in flight, in milliseconds.
pub const CUT_POLL_MS: u64 = 20;

/// The settings of one entry host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The host's name.
    pub name: names::HostName,
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// The address of the callers' listener.
    pub callers: net::SocketAddr,
    /// The address of the operators' listener.
    pub operators: net::SocketAddr,
    /// The address of the listener for other entry hosts.
    pub peers: net::SocketAddr,
    /// The address of the platform's log.
    pub log: net::SocketAddr,
    /// The address of the platform's host list, if it has one.
    pub host_list: Option<net::SocketAddr>,
    /// The hosts to contact until a configuration is known, by the addresses of their listeners for
    /// other hosts.
    pub bootstrap: Vec<net::SocketAddr>,
    /// The number of traffic threads.
    pub threads: usize,
    /// What the process may hold.
    pub limits: limits::ProcessLimits,
}

/// An entry host could not start.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum HostError {
    /// A state chart is invalid.
    #[snafu(display("step=read-charts fault=\"{source}\""))]
    Chart {
        /// The cause.
        source: chart::ChartError,
    },
    /// The callers' or the operators' listener could not be opened.
    #[snafu(display("step=listen peer={address} fault=\"{source}\""))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The listener for other entry hosts could not be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: ports::PortError,
    },
}

/// A running entry host.
pub struct EntryHost {
    control: controller::ControlHandle,
    control_arbiter: actix::Arbiter,
    dispatch_arbiter: actix::Arbiter,
    callers: web::Data<callers::CallerContext>,
    caller_listener: caller_listener::CallerListener,
    operator_server: actix_web::dev::ServerHandle,
    metrics: sync::Arc<metrics::HostMetrics>,
}

impl EntryHost {
    /// Starts a host.
    ///
    /// # Errors
    /// Fails when a state chart is invalid or a listener cannot be opened.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        let clock = clock::SystemClock::new();
        let metrics = sync::Arc::new(metrics::HostMetrics::new());
        let table = callers::empty_table();
        let control_arbiter = actix::Arbiter::new();
        let dispatch_arbiter = actix::Arbiter::new();
        let state = control::ControlState::new(control_settings(&settings))
            .map_err(|source| HostError::Chart { source })?;
        let shared = SharedParts {
            clock,
            table: sync::Arc::clone(&table),
            metrics: sync::Arc::clone(&metrics),
        };
        let control = start_control(&control_arbiter, state, &settings, shared);
        listen_peers(&control_arbiter, &control, settings.peers).await?;
        let chart = chart::ChartTable::new().map_err(|source| HostError::Chart { source })?;
        let callers = web::Data::new(callers::CallerContext {
            clock,
            table,
            dispatch: dispatcher::start(&dispatch_arbiter.handle(), clock, control.clone()),
            chart: sync::Arc::new(chart),
            metrics: sync::Arc::clone(&metrics),
            stopping: atomic::AtomicBool::new(false),
            ending: tokio::sync::watch::Sender::new(false),
        });
        let operators = web::Data::new(operators::OperatorContext {
            control: control.clone(),
            callers: callers.clone(),
            metrics: sync::Arc::clone(&metrics),
        });
        let pressure = metrics.pressure.clone();
        let account = reservation::SharedAccount::new(settings.limits, clock, pressure);
        let caller_listener = listen_callers(&settings, &callers, account)?;
        let operator_server = listen_operators(&settings, &operators)?;
        tracing::info!(
            event = "host-started",
            host = %settings.name,
            domain = %settings.domain,
            callers = %settings.callers,
            operators = %settings.operators,
            peers = %settings.peers
        );
        Ok(Self {
            control,
            control_arbiter,
            dispatch_arbiter,
            callers,
            caller_listener,
            operator_server,
            metrics,
        })
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.metrics.in_flight_count()
    }

    /// Stops gracefully: reports itself unready, hands over granting, keeps accepting connections
    /// for [`LAME_DUCK_MS`](callers::LAME_DUCK_MS) if it was serving, and waits for the requests in
    /// flight.
    pub async fn stop(&self) {
        let actions = self.control.stop().await;
        self.callers.stopping.store(true, atomic::Ordering::Relaxed);
        tracing::info!(event = "host-draining", in_flight = self.in_flight());
        if actions.contains(&lifecycle::HostAction::CloseConnections) {
            tokio::time::sleep(callers::lame_duck()).await;
        }
        let stopped = self
            .caller_listener
            .stop(callers::stopping_refusal, future::pending());
        if let Err(error) = stopped.await {
            tracing::warn!(event = "callers-not-refused", fault = %error);
        }
        self.operator_server.stop(false).await;
        self.control_arbiter.stop();
        self.dispatch_arbiter.stop();
        tracing::info!(event = "host-stopped", cut = 0);
    }

    /// Ends at once: refuses the requests that wait, and ends those that are at a server as ones that
    /// may have run. Waits until their responses are sent, at most for [`CUT_TIMEOUT_MS`].
    pub async fn cut(&self) {
        tracing::warn!(event = "host-cut", cut = self.in_flight());
        self.callers.ending.send_replace(true);
        let started = time::Instant::now();
        let limit = time::Duration::from_millis(CUT_TIMEOUT_MS);
        while self.in_flight() > 0 && started.elapsed() < limit {
            tokio::time::sleep(time::Duration::from_millis(CUT_POLL_MS)).await;
        }
        // A response is counted as sent when it is made.
        tokio::time::sleep(time::Duration::from_millis(CUT_POLL_MS)).await;
    }
}

struct SharedParts {
    clock: clock::SystemClock,
    table: controller::SharedTable,
    metrics: sync::Arc<metrics::HostMetrics>,
}

fn control_settings(settings: &HostSettings) -> control::ControlSettings {
    control::ControlSettings {
        identity: peer::HostIdentity {
            host: settings.name.clone(),
            incarnation: rand::random(),
        },
        domain: settings.domain.clone(),
        bootstrap: settings.bootstrap.clone(),
        timing: timing::LeaseTiming::new(),
        wall_origin_ms: wall_clock_ms(),
        seed: rand::random(),
    }
}

fn wall_clock_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::SystemTime::UNIX_EPOCH);
    let millis = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(millis).unwrap_or(0)
}

fn start_control(
    arbiter: &actix::Arbiter,
    state: control::ControlState,
    settings: &HostSettings,
    shared: SharedParts,
) -> controller::ControlHandle {
    let log = settings.log;
    let host_list = settings.host_list;
    let start = move |_: &mut actix::Context<_>| {
        let parts = controller::ControlParts {
            clock: shared.clock,
            ports: controller::ControlPorts {
                platform: platform::PlatformClient::new(log).with_hosts(host_list),
                servers: servers::ServerClient::new(),
                peers: peers::PeerClient::new(),
            },
            table: shared.table,
            metrics: shared.metrics,
        };
        controller::ControlActor::new(state, parts)
    };
    let address = controller::ControlActor::start_in_arbiter(&arbiter.handle(), start);
    controller::ControlHandle::new(address.recipient())
}

async fn listen_peers(
    arbiter: &actix::Arbiter,
    control: &controller::ControlHandle,
    address: net::SocketAddr,
) -> Result<(), HostError> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let responder = peers::PeerResponder::new(control.clone());
    arbiter.spawn(async move {
        let _ = sender.send(responder.listen(address).await);
    });
    let ended = ports::PortError {
        step: "listen-peers",
        peer: address.to_string(),
        fault: "the control thread ended".into(),
    };
    let result = receiver.await.unwrap_or(Err(ended));
    result.map_err(|source| HostError::Peers { source })
}

/// Starts the server for callers.
///
/// # Errors
/// Fails when the address for callers cannot be listened on.
pub fn listen_callers(
    settings: &HostSettings,
    context: &web::Data<callers::CallerContext>,
    account: reservation::SharedAccount,
) -> Result<caller_listener::CallerListener, HostError> {
    let connections = account.clone();
    let threads = settings.threads;
    let context = context.clone();
    let address = settings.callers;
    let listen_error = |source| HostError::Listen { address, source };
    let listener = caller_listener::bind(address, LISTEN_BACKLOG).map_err(listen_error)?;
    let accepted = listener.try_clone().map_err(listen_error)?;
    let max_deadline = time::Duration::from_millis(configuration::MAX_DEADLINE_MS).as_secs();
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(context.clone())
            .app_data(account.clone())
            .app_data(exchange::OwnerClient::new(threads))
            .configure(callers::configure)
    })
    .on_connect(move |io, extensions| {
        caller_connection::add(extensions);
        if let Some(stream) = io.downcast_ref::<actix_web::rt::net::TcpStream>() {
            connections.admit(stream, extensions);
        }
    })
    .max_connections(reservation::worker_connections(settings.limits, threads))
    .workers(threads)
    .disable_signals()
    .shutdown_timeout(max_deadline)
    .listen(accepted)
    .map_err(listen_error)?
    .run();
    let server = listen::spawn(server);
    Ok(caller_listener::CallerListener::new(listener, server))
}

fn listen_operators(
    settings: &HostSettings,
    context: &web::Data<operators::OperatorContext>,
) -> Result<actix_web::dev::ServerHandle, HostError> {
    let context = context.clone();
    let address = settings.operators;
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(context.clone())
            .configure(operators::configure)
    })
    .workers(1)
    .disable_signals()
    .bind(address)
    .map_err(|source| HostError::Listen { address, source })?
    .run();
    Ok(listen::spawn(server))
}
