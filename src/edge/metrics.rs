//! The metrics of an entry host, in the `OpenMetrics` text format.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;

use crate::control;
use crate::edge::ports;
use crate::edge::pressure_metrics;
use crate::outcome;
use crate::replay;

/// The upper bounds of the latency histogram's buckets, in seconds.
pub const LATENCY_BOUNDS_S: [f64; 12] = [
    0.000_5, 0.001, 0.002, 0.005, 0.010, 0.014, 0.025, 0.050, 0.1, 0.25, 1.0, 5.0,
];

/// The label of refused requests and of retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason.
    pub reason: &'static str,
}

/// The label of failed calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct StepLabel {
    /// The step that failed, one of [`ports::STEPS`].
    pub step: &'static str,
}

/// The label of lost positions in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct PositionLabel {
    /// How the log disagreed with the position.
    pub check: &'static str,
}

/// The label of decided patches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct VerdictLabel {
    /// The verdict, one of [`VERDICTS`].
    pub verdict: &'static str,
}

/// The verdicts on patches.
pub const VERDICTS: [&str; 3] = ["accepted", "stale", "invalid"];

/// The checks by which a host's position in the log is lost.
pub const LOST_POSITIONS: [replay::PositionCheck; 3] = [
    replay::PositionCheck::Shorter,
    replay::PositionCheck::Replaced,
    replay::PositionCheck::Trimmed,
];

/// One counter for each reason. They are looked up once, since looking them up takes the family's
/// lock.
struct ReasonCounters {
    family: family::Family<ReasonLabel, counter::Counter>,
    counters: Vec<counter::Counter>,
}

impl ReasonCounters {
    fn new() -> Self {
        let family = family::Family::<ReasonLabel, counter::Counter>::default();
        let reasons = outcome::RefusalReason::ALL.iter();
        let counters = reasons
            .map(|reason| {
                let reason = reason.as_str();
                family.get_or_create(&ReasonLabel { reason }).clone()
            })
            .collect();
        Self { family, counters }
    }

    fn count(&self, reason: outcome::RefusalReason) {
        self.counters[reason as usize].inc();
    }
}

/// All metrics of one host.
pub struct HostMetrics {
    registry: registry::Registry,
    /// Requests that were answered by their owner.
    pub answered: counter::Counter,
    refused: ReasonCounters,
    retried: ReasonCounters,
    /// Requests that were forwarded to the gate of their owner.
    pub forwarded: counter::Counter,
    /// The time from a request's arrival to its response, in seconds.
    pub latency: histogram::Histogram,
    /// Requests that arrived and have no response yet.
    pub in_flight: gauge::Gauge,
    /// Patches decided, by verdict.
    pub patches: family::Family<VerdictLabel, counter::Counter>,
    /// Entries of the log that could not be decoded as records.
    pub records_skipped: counter::Counter,
    /// Failed calls to the platform, servers and other hosts, by step.
    pub calls_failed: family::Family<StepLabel, counter::Counter>,
    /// Reads of the log that disagreed with the host's position.
    pub positions_lost: family::Family<PositionLabel, counter::Counter>,
    /// Terms in which this host began to grant.
    pub terms_started: counter::Counter,
    /// Terms in which this host ceased to grant.
    pub terms_ended: counter::Counter,
    /// The version of the configuration in force.
    pub configuration_version: gauge::Gauge,
    /// The number of failure domains in which this host is the granter.
    pub domains_granted: gauge::Gauge,
    /// The memory and the connections that callers take.
    pub pressure: pressure_metrics::PressureMetrics,
}

impl HostMetrics {
    /// Creates the metrics, all zero and with every label value present, so that a scrape lists
    /// them before the first event.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("zinnia"),
            answered: counter::Counter::default(),
            refused: ReasonCounters::new(),
            retried: ReasonCounters::new(),
            forwarded: counter::Counter::default(),
            latency: histogram::Histogram::new(LATENCY_BOUNDS_S),
            in_flight: gauge::Gauge::default(),
            patches: family::Family::default(),
            records_skipped: counter::Counter::default(),
            calls_failed: family::Family::default(),
            positions_lost: family::Family::default(),
            terms_started: counter::Counter::default(),
            terms_ended: counter::Counter::default(),
            configuration_version: gauge::Gauge::default(),
            domains_granted: gauge::Gauge::default(),
            pressure: pressure_metrics::PressureMetrics::new(),
        };
        metrics.register();
        for verdict in VERDICTS {
            drop(metrics.patches.get_or_create(&VerdictLabel { verdict }));
        }
        for step in ports::STEPS {
            drop(metrics.calls_failed.get_or_create(&StepLabel { step }));
        }
        for check in LOST_POSITIONS {
            let check = check.word();
            drop(
                metrics
                    .positions_lost
                    .get_or_create(&PositionLabel { check }),
            );
        }
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "answered",
            "Requests answered by their owner",
            self.answered.clone(),
        );
        registry.register(
            "refused",
            "Requests refused, by reason",
            self.refused.family.clone(),
        );
        registry.register(
            "retried",
            "Requests sent again, by reason",
            self.retried.family.clone(),
        );
        registry.register(
            "passed_on",
            "Requests passed on to their gate",
            self.forwarded.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time from arrival to answer",
            self.latency.clone(),
        );
        registry.register(
            "in_flight",
            "Requests not yet answered",
            self.in_flight.clone(),
        );
        registry.register(
            "patches",
            "Patches decided, by verdict",
            self.patches.clone(),
        );
        let help = "Texts in the log that were no records";
        registry.register("records_skipped", help, self.records_skipped.clone());
        let help = "Calls to the outside that failed, by step";
        registry.register("calls_failed", help, self.calls_failed.clone());
        let help = "Reads of the log that disagreed with the host's position, by how";
        registry.register("log_positions_lost", help, self.positions_lost.clone());
        registry.register("terms_started", "Terms begun", self.terms_started.clone());
        registry.register("terms_ended", "Terms ended", self.terms_ended.clone());
        let help = "Version of the configuration in force";
        registry.register(
            "configuration_version",
            help,
            self.configuration_version.clone(),
        );
        let help = "Domains that this host grants in";
        registry.register("domains_granted", help, self.domains_granted.clone());
        self.pressure.register(registry);
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut buffer = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut buffer, &self.registry);
        buffer
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, reason: outcome::RefusalReason) {
        self.refused.count(reason);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: outcome::RefusalReason) {
        self.retried.count(reason);
    }

    /// Counts a failed call.
    pub fn count_port_error(&self, error: &ports::PortError) {
        let step = StepLabel { step: error.step };
        self.calls_failed.get_or_create(&step).inc();
    }

    /// Counts an event of the control thread.
    pub fn count_event(&self, event: &control::ControlEvent) {
        match event {
            control::ControlEvent::PatchDecided(entry) => {
                let verdict = match entry.verdict {
                    replay::PatchVerdict::Accepted { .. } => "accepted",
                    replay::PatchVerdict::Stale { .. } => "stale",
                    replay::PatchVerdict::Invalid(_) => "invalid",
                };
                self.patches.get_or_create(&VerdictLabel { verdict }).inc();
            }
            control::ControlEvent::RecordSkipped { .. } => {
                self.records_skipped.inc();
            }
            control::ControlEvent::TermStarted { .. } => {
                self.terms_started.inc();
            }
            control::ControlEvent::TermEnded { .. } => {
                self.terms_ended.inc();
            }
            control::ControlEvent::PositionLost { check, .. } => {
                let check = check.word();
                let label = PositionLabel { check };
                self.positions_lost.get_or_create(&label).inc();
            }
            control::ControlEvent::LogRegressed { .. }
            | control::ControlEvent::StateRestored { .. }
            | control::ControlEvent::StateAdopted { .. } => {}
        }
    }

    /// Adds a request in flight.
    pub fn begin_request(&self) {
        self.in_flight.inc();
    }

    /// Removes a request in flight.
    pub fn end_request(&self) {
        self.in_flight.dec();
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight_count(&self) -> i64 {
        self.in_flight.get()
    }
}

impl Default for HostMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// The content type of [`HostMetrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
