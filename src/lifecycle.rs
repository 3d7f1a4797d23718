//! The life of an entry host, from start to a clean stop.

use crate::chart;

crate::chart_words!(
    /// The states of a host.
    HostState {
        Starting = "starting",
        Serving = "serving",
        Draining = "draining",
        Stopped = "stopped",
    }
);
crate::chart_words!(
    /// The events of a host.
    HostEvent {
        ConfigurationKnown = "configuration-known",
        StopRequested = "stop-requested",
        Drained = "drained",
    }
);
crate::chart_words!(
    /// The actions of a host.
    HostAction {
        ReportReady = "report-ready",
        ReportUnready = "report-unready",
        HandOverGranting = "hand-over-granting",
        CloseConnections = "close-connections",
        ReportCutRequests = "report-cut-requests",
        ExitClean = "exit-clean",
        ExitNow = "exit-now",
    }
);

/// The words of the chart `host`.
#[derive(Debug)]
pub struct HostVocabulary;

impl chart::ChartVocabulary for HostVocabulary {
    type State = HostState;
    type Event = HostEvent;
    type Guard = chart::NoGuard;
    type Action = HostAction;
    const SOURCE: &'static str = include_str!("../charts/host.toml");
}

/// The state of one host's life.
pub struct HostLifecycle {
    table: chart::ChartTable<HostVocabulary>,
    state: HostState,
}

impl HostLifecycle {
    /// Creates a host that is starting.
    ///
    /// # Errors
    /// Fails when the chart `host` is faulty.
    pub fn new() -> Result<Self, chart::ChartError> {
        let table: chart::ChartTable<HostVocabulary> = chart::ChartTable::new()?;
        Ok(Self {
            state: table.initial(),
            table,
        })
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> HostState {
        self.state
    }

    /// Takes an event; returns the chart's actions.
    pub fn handle(&mut self, event: HostEvent) -> Vec<HostAction> {
        let Some(step) = self.table.step_unguarded(self.state, event) else {
            return Vec::new();
        };
        self.state = step.next;
        step.actions.to_vec()
    }
}
