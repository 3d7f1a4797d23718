//! The metrics of the memory and the connections that callers take.

use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

use crate::memory::account;

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

    /// Counts a refusal.
    pub fn note_refusal(&self, cause: account::PressureCause) {
        let cause = cause.as_str();
        self.refusals.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Updates the gauges.
    pub fn show(&self, held_bytes: u64, connections: u64) {
        let held_bytes = i64::try_from(held_bytes).unwrap_or(i64::MAX);
        self.held_bytes.set(held_bytes);
        let connections = i64::try_from(connections).unwrap_or(i64::MAX);
        self.connections.set(connections);
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
