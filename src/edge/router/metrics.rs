//! The metrics of an entry host on a platform, in the Prometheus text format.

use std::sync;
use std::sync::atomic;
use std::time;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;

use crate::edge::pressure_metrics;
use crate::serving::cold;

/// The bucket bounds of the latency histograms, in seconds.
pub const LATENCY_BOUNDS_S: [f64; 10] = [0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 3.0];

/// The labels of a request that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct RequestLabel {
    /// The route; empty where none was found.
    pub route: String,
    /// How the request ended: `answered`, `failed` (a 5xx response of the server), or the cause of
    /// a local response.
    pub end: &'static str,
}

/// The labels of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct AttemptLabel {
    /// The service.
    pub service: String,
    /// How the attempt ended.
    pub end: &'static str,
}

/// The labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct StoreCallLabel {
    /// The topic, or `duty` for the group of hosts that may grant.
    pub call: &'static str,
    /// What the call is for: `snapshot`, `wait`, `append`, `join` or `leave`.
    pub purpose: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// The labels of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct CallLabel {
    /// The kind of call.
    pub call: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// The label of an exchange of status updates.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct OutcomeLabel {
    /// How the exchange ended: `done` or `failed`.
    pub outcome: &'static str,
}

/// The label of a refused record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct TopicLabel {
    /// The topic.
    pub topic: &'static str,
}

/// The label of an operator's record that was ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct CauseLabel {
    /// Why it was ignored.
    pub cause: &'static str,
}

type LatencyFamily =
    family::Family<RequestLabel, histogram::Histogram, fn() -> histogram::Histogram>;

fn latency_histogram() -> histogram::Histogram {
    histogram::Histogram::new(LATENCY_BOUNDS_S)
}

/// All metrics of one host.
pub struct RouterMetrics {
    registry: registry::Registry,
    /// The time from a request's arrival to the head of its response, in seconds.
    pub latency: LatencyFamily,
    /// Attempts at servers, by how they ended.
    pub attempts: family::Family<AttemptLabel, counter::Counter>,
    /// The size of the bodies that were read from callers, in bytes.
    pub request_bytes: counter::Counter<u64, atomic::AtomicU64>,
    /// The size of the bodies of requests that were refused before these were read, as far as they arrive, in
    /// bytes.
    pub unread_bytes: counter::Counter<u64, atomic::AtomicU64>,
    /// The size of the servers' responses that were sent to callers, in bytes.
    pub response_bytes: counter::Counter<u64, atomic::AtomicU64>,
    /// Calls to the store.
    pub store_calls: family::Family<StoreCallLabel, counter::Counter>,
    /// Orders to servers.
    pub orders: family::Family<CallLabel, counter::Counter>,
    /// Exchanges of status updates that this host started, by outcome.
    pub status_exchanges: family::Family<OutcomeLabel, counter::Counter>,
    /// The size of the store records that this host sent to other hosts, in bytes.
    pub relayed_bytes: counter::Counter<u64, atomic::AtomicU64>,
    /// Records that could not be decoded.
    pub records_refused: family::Family<TopicLabel, counter::Counter>,
    /// Outcomes of appends of the assignment table that came after the log had shown the append, or
    /// had overtaken it.
    pub late_append_outcomes: counter::Counter,
    /// Registrations of servers that had restarted under their names.
    pub server_restarts: counter::Counter,
    /// Records of servers whose remaining cold time was ignored.
    pub cold_times_ignored: counter::Counter,
    /// Servers that are cold, of the services that limit the requests to those.
    pub cold_servers: gauge::Gauge,
    /// Cold servers that this host may send requests to.
    pub cold_servers_open: gauge::Gauge,
    /// How often this host took up the granter role.
    pub takeovers: counter::Counter,
    /// Whether this host is the granter.
    pub granting: gauge::Gauge,
    /// Ranges that are moving to another server.
    pub ranges_moving: gauge::Gauge,
    /// Failure domains that are evacuated.
    pub domains_evacuated: gauge::Gauge,
    /// Ranges that servers of evacuated failure domains hold.
    pub ranges_evacuating: gauge::Gauge,
    /// Records about evacuations that had no effect.
    pub evacuations_ignored: family::Family<CauseLabel, counter::Counter>,
    /// The version of the routes in force.
    pub routes_version: gauge::Gauge,
    /// Whether calls of this host to the store are failing.
    pub store_lost: gauge::Gauge,
    /// For how long the routes and the servers may have been outdated, in milliseconds.
    pub records_age_ms: gauge::Gauge,
    /// Requests that were sent to servers by records that had not been confirmed for too long.
    pub requests_outdated: counter::Counter<u64, atomic::AtomicU64>,
    /// The highest era of the store that this host knows.
    pub store_era: gauge::Gauge,
    /// Requests in flight.
    pub in_flight: gauge::Gauge,
    /// Log lines that were suppressed by the rate limit.
    pub lines_left_out: counter::Counter<u64, atomic::AtomicU64>,
    /// The memory and the connections that callers take.
    pub pressure: pressure_metrics::PressureMetrics,
}

impl RouterMetrics {
    /// Creates the metrics, all zero.
    #[must_use]
    pub fn new() -> sync::Arc<Self> {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("zinnia_router"),
            latency: family::Family::new_with_constructor(latency_histogram),
            attempts: family::Family::default(),
            request_bytes: counter::Counter::default(),
            unread_bytes: counter::Counter::default(),
            response_bytes: counter::Counter::default(),
            store_calls: family::Family::default(),
            orders: family::Family::default(),
            status_exchanges: family::Family::default(),
            relayed_bytes: counter::Counter::default(),
            records_refused: family::Family::default(),
            late_append_outcomes: counter::Counter::default(),
            server_restarts: counter::Counter::default(),
            cold_times_ignored: counter::Counter::default(),
            cold_servers: gauge::Gauge::default(),
            cold_servers_open: gauge::Gauge::default(),
            takeovers: counter::Counter::default(),
            granting: gauge::Gauge::default(),
            ranges_moving: gauge::Gauge::default(),
            domains_evacuated: gauge::Gauge::default(),
            ranges_evacuating: gauge::Gauge::default(),
            evacuations_ignored: family::Family::default(),
            routes_version: gauge::Gauge::default(),
            store_lost: gauge::Gauge::default(),
            records_age_ms: gauge::Gauge::default(),
            requests_outdated: counter::Counter::default(),
            store_era: gauge::Gauge::default(),
            in_flight: gauge::Gauge::default(),
            lines_left_out: counter::Counter::default(),
            pressure: pressure_metrics::PressureMetrics::new(),
        };
        metrics.register_requests();
        metrics.register_control();
        metrics.register_evacuations();
        metrics.register_cold();
        sync::Arc::new(metrics)
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        let latency = self.latency.clone();
        registry.register(
            "latency_seconds",
            "Time to an answer, by route and end",
            latency,
        );
        let attempts = self.attempts.clone();
        registry.register(
            "attempts",
            "Ends of attempts at servers, by service",
            attempts,
        );
        let request = self.request_bytes.clone();
        registry.register(
            "request_bytes",
            "Bytes of bodies that were read from callers",
            request,
        );
        let unread = self.unread_bytes.clone();
        registry.register(
            "unread_bytes",
            "Bytes of bodies of requests that were refused before these were read",
            unread,
        );
        let response = self.response_bytes.clone();
        registry.register(
            "response_bytes",
            "Bytes of servers' responses that were sent to callers",
            response,
        );
        let in_flight = self.in_flight.clone();
        registry.register("in_flight", "Requests under way", in_flight);
        let left_out = self.lines_left_out.clone();
        registry.register("lines_left_out", "Log lines that were left out", left_out);
        self.pressure.register(registry);
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        let store_calls = self.store_calls.clone();
        registry.register(
            "store_calls",
            "Calls to the store, by purpose and outcome",
            store_calls,
        );
        let orders = self.orders.clone();
        registry.register("orders", "Orders to servers, by outcome", orders);
        let exchanges = self.status_exchanges.clone();
        registry.register(
            "status_exchanges",
            "Exchanges of status updates that this host started, by outcome",
            exchanges,
        );
        let relayed = self.relayed_bytes.clone();
        registry.register(
            "relayed_bytes",
            "Bytes of store records that this host sent to other hosts",
            relayed,
        );
        let refused = self.records_refused.clone();
        registry.register("records_refused", "Records that could not be read", refused);
        let late = self.late_append_outcomes.clone();
        registry.register(
            "late_append_outcomes",
            "Outcomes of appends that were no longer pending",
            late,
        );
        let restarts = self.server_restarts.clone();
        registry.register(
            "server_restarts",
            "Servers that registered a later start under their names",
            restarts,
        );
        let takeovers = self.takeovers.clone();
        registry.register(
            "takeovers",
            "Times that this host took up granting",
            takeovers,
        );
        let granting = self.granting.clone();
        registry.register("granting", "Whether this host grants", granting);
        let moving = self.ranges_moving.clone();
        registry.register(
            "ranges_moving",
            "Ranges on their way to another server",
            moving,
        );
        let version = self.routes_version.clone();
        registry.register(
            "routes_version",
            "The version of the routes in force",
            version,
        );
        let lost = self.store_lost.clone();
        registry.register("store_lost", "Whether the store turns this host away", lost);
        let age = self.records_age_ms.clone();
        registry.register(
            "records_age_ms",
            "For how long the routes and the servers may have been outdated",
            age,
        );
        let outdated = self.requests_outdated.clone();
        registry.register(
            "requests_outdated",
            "Requests that were sent by records that were not confirmed in time",
            outdated,
        );
        let era = self.store_era.clone();
        registry.register(
            "store_era",
            "The highest era of the store that is known",
            era,
        );
    }

    fn register_evacuations(&mut self) {
        let registry = &mut self.registry;
        let domains = self.domains_evacuated.clone();
        registry.register(
            "domains_evacuated",
            "Failure domains that are evacuated",
            domains,
        );
        let ranges = self.ranges_evacuating.clone();
        registry.register(
            "ranges_evacuating",
            "Ranges that servers of evacuated failure domains hold",
            ranges,
        );
        let ignored = self.evacuations_ignored.clone();
        registry.register(
            "evacuations_ignored",
            "Records about evacuations that had no effect, by cause",
            ignored,
        );
    }

    /// Updates the age of the routes and the servers.
    pub fn note_records_age(&self, age: time::Duration) {
        let age_ms = i64::try_from(age.as_millis());
        self.records_age_ms.set(age_ms.unwrap_or(i64::MAX));
    }

    /// Counts a record about an evacuation that had no effect.
    pub fn note_evacuation_ignored(&self, cause: &'static str) {
        self.evacuations_ignored
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    fn register_cold(&mut self) {
        let registry = &mut self.registry;
        let ignored = self.cold_times_ignored.clone();
        registry.register(
            "cold_times_ignored",
            "Records of servers whose remaining cold time was ignored",
            ignored,
        );
        let cold = self.cold_servers.clone();
        registry.register(
            "cold_servers",
            "Cold servers of services that limit the requests to those",
            cold,
        );
        let open = self.cold_servers_open.clone();
        registry.register(
            "cold_servers_open",
            "Cold servers that this host may send requests to",
            open,
        );
    }

    /// Updates the gauges of cold servers.
    pub fn note_cold(&self, servers: &cold::ColdServers) {
        let gauge_value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.cold_servers.set(gauge_value(servers.len()));
        let open = servers.values().filter(|share| share.quota > 0).count();
        self.cold_servers_open.set(gauge_value(open));
    }

    /// Records a request that has ended `seconds` after its arrival.
    pub fn note_end(&self, route: &str, end: &'static str, seconds: f64) {
        let route = route.to_owned();
        self.latency
            .get_or_create(&RequestLabel { route, end })
            .observe(seconds);
    }

    /// Counts an attempt that has ended.
    pub fn note_attempt(&self, service: &str, end: &'static str) {
        let service = service.to_owned();
        self.attempts
            .get_or_create(&AttemptLabel { service, end })
            .inc();
    }

    /// Counts a call to the store.
    pub fn note_store_call(
        &self,
        call: &'static str,
        purpose: &'static str,
        outcome: &'static str,
    ) {
        let label = StoreCallLabel {
            call,
            purpose,
            outcome,
        };
        self.store_calls.get_or_create(&label).inc();
    }

    /// Returns how many bytes callers and servers have sent over the host's link.
    #[must_use]
    pub fn link_bytes(&self) -> u64 {
        self.request_bytes.get() + self.unread_bytes.get() + self.response_bytes.get()
    }

    /// Counts an order to a server.
    pub fn note_order(&self, call: &'static str, outcome: &'static str) {
        self.orders
            .get_or_create(&CallLabel { call, outcome })
            .inc();
    }

    /// Counts an exchange of status updates that this host started.
    pub fn note_status_exchange(&self, outcome: &'static str) {
        self.status_exchanges
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Returns how many exchanges of status updates ended with `outcome`.
    #[must_use]
    pub fn status_exchange_count(&self, outcome: &'static str) -> u64 {
        self.status_exchanges
            .get_or_create(&OutcomeLabel { outcome })
            .get()
    }

    /// Counts a record that could not be decoded.
    pub fn note_record_refused(&self, topic: &'static str) {
        self.records_refused
            .get_or_create(&TopicLabel { topic })
            .inc();
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    /// Fails when a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
