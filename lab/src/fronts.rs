//! The front ends for callers without the rest of a host: both get their routes and servers from the
//! test, so that the server's bytes and the host's shutdown are the test's as well.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use zinnia_platform::headers;
use zinniastack::chart;
use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::configuration;
use zinniastack::edge::caller_listener;
use zinniastack::edge::callers;
use zinniastack::edge::controller;
use zinniastack::edge::dispatcher;
use zinniastack::edge::host;
use zinniastack::edge::metrics;
use zinniastack::edge::pressure_metrics;
use zinniastack::edge::reservation;
use zinniastack::edge::router::grant_relay;
use zinniastack::edge::router::host as router_host;
use zinniastack::edge::router::metrics as router_metrics;
use zinniastack::edge::router::shutdown_watch;
use zinniastack::edge::router::traffic;
use zinniastack::gate;
use zinniastack::memory::limits;
use zinniastack::ownership::assignment;
use zinniastack::routing::specification;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::scheduler;
use zinniastack::serving::shutdown;
use zinniastack::serving::status;
use zinniastack::serving::view;
use zinniastack::table;

use crate::fixtures;
use crate::site;

/// How long a request may take at both front ends.
pub const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// The longest body of a request at both front ends, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 << 20;
/// How long a stopping front end has.
const GRACE: time::Duration = time::Duration::from_secs(30);

/// A front end that is listening.
pub trait CallerFront {
    /// Returns where callers connect.
    fn address(&self) -> net::SocketAddr;

    /// Makes the front end one of a host that is stopping and still serves.
    fn begin_stop(&self);

    /// Returns the head of a request with a body of `body_bytes`, without the empty line that ends it.
    fn request_head(&self, id: &str, method: &str, body_bytes: usize) -> String;
}

/// The front end of `zinnia-router`.
pub struct RouterFront {
    address: net::SocketAddr,
    shutdown: shutdown_watch::ShutdownSender,
    clock: clock::SystemClock,
    _listener: caller_listener::CallerListener,
    // The traffic thread sends its reports here.
    _reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
}

impl RouterFront {
    /// Starts the front end with one server. Requests may be repeated if `kind` says so.
    ///
    /// # Panics
    /// Panics when no port is free.
    #[must_use]
    pub fn start(server: net::SocketAddr, kind: specification::RequestKind) -> Self {
        let (reports, reports_in) = tokio::sync::mpsc::unbounded_channel();
        let (shutdown, watch) = shutdown_watch::ShutdownWatch::new();
        let clock = clock::SystemClock::new();
        let view = traffic::SharedView::default();
        view.store(sync::Arc::new(serving_view(server, kind)));
        let scheduler = scheduler::SchedulerSettings {
            domain: fixtures::name("north"),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            drain: time::Duration::from_secs(2),
        };
        let parts = traffic::TrafficParts {
            codec: headers::PlatformCodec::new(),
            view,
            scheduler: scheduler.clone(),
            chart: sync::Arc::new(chart::ChartTable::new().expect("the chart is valid")),
            shutdown: watch,
            in_flight: sync::Arc::default(),
            relay: grant_relay::new_relay().1,
            reports,
            clock,
            metrics: router_metrics::RouterMetrics::new(),
        };
        let address = site::free_address();
        let settings = router_host::RouterSettings {
            own: status::HostRecord {
                host: fixtures::name("entry-1"),
                incarnation: 1,
                domain: fixtures::name("north"),
                peers: address,
                link_mbps: None,
            },
            front: address,
            ready: address,
            metrics: None,
            scheduler,
            join_interval: GRACE,
            max_hold: GRACE,
            grace: GRACE,
            cold_bounds: cold::ColdBounds::new(),
            evacuate: GRACE,
            limits: limits::ProcessLimits::default(),
        };
        let listener = router_host::listen_callers(&settings, parts);
        Self {
            address,
            shutdown,
            clock,
            _listener: listener.expect("the port is free"),
            _reports: reports_in,
        }
    }
}

impl CallerFront for RouterFront {
    fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn begin_stop(&self) {
        let times = shutdown::ShutdownTimes::new(self.clock.now(), GRACE);
        self.shutdown.send_replace(Some(times));
    }

    fn request_head(&self, id: &str, method: &str, body_bytes: usize) -> String {
        let timeout = REQUEST_TIMEOUT.as_millis();
        format!(
            "{method} /orders/a HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\n\
             x-request-deadline: {timeout}\r\ncontent-length: {body_bytes}\r\n"
        )
    }
}

fn serving_view(server: net::SocketAddr, kind: specification::RequestKind) -> view::ServingView {
    let route = specification::RouteSpec {
        name: fixtures::name("orders"),
        prefix: sync::Arc::from("/orders/"),
        kind,
        timeout: REQUEST_TIMEOUT,
        objective: REQUEST_TIMEOUT,
        max_attempts: 2,
        priority: 1,
        parts: vec![specification::SplitPart {
            service: fixtures::name("orders"),
            weight: 1,
        }],
    };
    let service = specification::ServiceSpec {
        name: fixtures::name("orders"),
        sharded: false,
        max_connections: 100,
        cold: None,
    };
    let caller_limits = specification::CallerLimits {
        head_bytes: 16_384,
        body_bytes: MAX_BODY_BYTES,
        head_timeout: REQUEST_TIMEOUT,
        idle_timeout: REQUEST_TIMEOUT,
    };
    let routes = vec![(sync::Arc::from("desk.example"), route)];
    let routes = specification::RouteSet::new(1, routes, vec![service], caller_limits);
    let record = directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name("orders-1"),
            born: 1,
        },
        service: fixtures::name("orders"),
        address: server,
        domain: fixtures::name("north"),
        slots: 8,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    };
    let known = directory::KnownServer {
        record: sync::Arc::new(record),
        state_since: None,
        cold: cold::ColdTimes::new(),
    };
    view::ServingView {
        routes: Some(sync::Arc::new(routes.expect("the routes are valid"))),
        servers: sync::Arc::new([(fixtures::name("orders-1"), known)].into()),
        ..view::ServingView::new()
    }
}

/// The front end of `zinnia entry`.
pub struct EntryFront {
    address: net::SocketAddr,
    context: actix_web::web::Data<callers::CallerContext>,
    _listener: caller_listener::CallerListener,
}

/// A control thread that ignores all requests.
struct IdleControl;

impl actix::Actor for IdleControl {
    type Context = actix::Context<Self>;
}

impl actix::Handler<controller::ControlRequest> for IdleControl {
    type Result = ();

    fn handle(&mut self, _: controller::ControlRequest, _: &mut Self::Context) {}
}

impl EntryFront {
    /// Starts the front end with one server. Where `gate` is given, it is the address of the host through
    /// which all requests go.
    ///
    /// # Panics
    /// Panics when no port is free.
    #[must_use]
    pub fn start(server: net::SocketAddr, gate: Option<net::SocketAddr>) -> Self {
        let clock = clock::SystemClock::new();
        let control = controller::ControlHandle::new(actix::Actor::start(IdleControl).recipient());
        let table = callers::empty_table();
        table.store(sync::Arc::new(routing_table(server, gate)));
        let arbiter = actix::Arbiter::current();
        let context = actix_web::web::Data::new(callers::CallerContext {
            clock,
            table,
            dispatch: dispatcher::start(&arbiter, clock, control),
            chart: sync::Arc::new(chart::ChartTable::new().expect("the chart is valid")),
            metrics: sync::Arc::new(metrics::HostMetrics::new()),
            stopping: atomic::AtomicBool::new(false),
            ending: tokio::sync::watch::Sender::new(false),
        });
        let address = site::free_address();
        let settings = host::HostSettings {
            name: fixtures::name("entry-1"),
            domain: fixtures::name("north"),
            callers: address,
            operators: address,
            peers: address,
            log: address,
            host_list: None,
            bootstrap: Vec::new(),
            threads: 1,
            limits: limits::ProcessLimits::default(),
        };
        let pressure = pressure_metrics::PressureMetrics::new();
        let account = reservation::SharedAccount::new(settings.limits, clock, pressure);
        let listener = host::listen_callers(&settings, &context, account);
        Self {
            address,
            context,
            _listener: listener.expect("the port is free"),
        }
    }
}

impl CallerFront for EntryFront {
    fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn begin_stop(&self) {
        self.context.stopping.store(true, atomic::Ordering::Relaxed);
    }

    fn request_head(&self, id: &str, method: &str, body_bytes: usize) -> String {
        format!(
            "{method} /orders/a HTTP/1.1\r\nhost: desk.example\r\nzinnia-request-id: {id}\r\n\
             content-length: {body_bytes}\r\n"
        )
    }
}

fn routing_table(server: net::SocketAddr, gate: Option<net::SocketAddr>) -> table::RoutingTable {
    let host = |name: &str, callers| configuration::HostSpec {
        name: fixtures::name(name),
        domain: fixtures::name("north"),
        peer: callers,
        callers,
    };
    let configuration = configuration::Configuration {
        domain: vec![configuration::DomainSpec {
            name: fixtures::name("north"),
            gone: None,
        }],
        host: vec![host("entry-2", gate.unwrap_or(server))],
        service: vec![configuration::ServiceSpec {
            name: fixtures::name("orders"),
            rank: configuration::WorkRank::new(1).expect("a valid rank"),
            shards: 1,
            deadline_ms: u64::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
            floor_percent: 0,
            max_body_bytes: MAX_BODY_BYTES,
            homes: vec![fixtures::name("north")],
        }],
        server: vec![configuration::ServerSpec {
            name: fixtures::name("orders-1"),
            service: fixtures::name("orders"),
            domain: fixtures::name("north"),
            address: server,
            fences: configuration::FenceMode::Checked,
            slots: 8,
            connections: 100,
            withdrawn: None,
        }],
        feature: Vec::new(),
    };
    let mut table = table::RoutingTable::new(1, &configuration);
    table.set_routes(&[table::RouteChange {
        shard: fixtures::name("orders/0"),
        route: Some(table::RouteEntry {
            server: fixtures::name("orders-1"),
            fence: fixtures::name("5.h1.a.1"),
        }),
    }]);
    if gate.is_some() {
        let usable = [fixtures::name("entry-2")].into();
        let own = fixtures::name("entry-1");
        let gates = gate::GateMap::new(&configuration, &usable, &own);
        table.set_gates(sync::Arc::new(gates));
    }
    table
}
