//! A host's status as operators see it, and the log lines for control events.

use crate::clock;
use crate::control;
use crate::lifecycle;
use crate::membership;
use crate::names;
use crate::replay;

/// A domain as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DomainStatus {
    /// The domain.
    pub domain: names::DomainName,
    /// The granter's host, if one is known.
    pub granter: Option<names::HostName>,
    /// The granter's term, if a granter is known.
    pub term: Option<String>,
    /// The time since the granter last showed its authority, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The number of shards that have an owner.
    pub owned: usize,
    /// The number of shards whose home the domain is.
    pub shards: usize,
    /// The number of servers in the settled witness set, whose promises decide which host grants.
    pub witnesses: usize,
}

/// A server as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerSummary {
    /// The server.
    pub server: names::ServerName,
    /// Its service.
    pub service: names::ServiceName,
    /// Its domain.
    pub domain: names::DomainName,
    /// The number of shards whose requests are routed to it.
    pub shards: usize,
    /// Whether an operator withdrew it.
    pub withdrawn: bool,
}

/// The state of the system as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatus {
    /// The host.
    pub host: names::HostName,
    /// The host's state: starting, serving, draining or stopped.
    pub life: String,
    /// The configuration version in force.
    pub version: u64,
    /// The offset of the next log record to read.
    pub next_offset: u64,
    /// The number of log records that were skipped because they could not be decoded.
    pub skipped: u64,
    /// The number of records that wait to be appended to the log.
    pub waiting_appends: usize,
    /// At which hosts the version is in force.
    pub spread: membership::VersionRollout,
    /// The domains.
    pub domains: Vec<DomainStatus>,
    /// The servers.
    pub servers: Vec<ServerSummary>,
}

impl HostStatus {
    /// Collects the status from a host's control state.
    #[must_use]
    pub fn new(state: &control::ControlState, now: clock::MonoTime) -> Self {
        let replay = state.replay().state();
        let domains = state.domains();
        Self {
            host: state.host().clone(),
            life: chart_word(state.host_state()),
            version: replay.version,
            next_offset: replay.next_offset,
            skipped: replay.skipped,
            waiting_appends: state.waiting_appends(),
            spread: state.spread(replay.version, now),
            domains: domains
                .map(|(name, _)| domain_status(state, name, now))
                .collect(),
            servers: replay
                .configuration
                .server
                .iter()
                .map(|spec| server_summary(state, spec))
                .collect(),
        }
    }
}

fn chart_word(state: lifecycle::HostState) -> String {
    use crate::chart::ChartWord as _;
    state.word().into()
}

fn domain_status(
    state: &control::ControlState,
    name: &names::DomainName,
    now: clock::MonoTime,
) -> DomainStatus {
    let replay = state.replay().state();
    let control = state.domain(name);
    let last_granter = control.and_then(|control| control.last_granter());
    let table = control.and_then(|control| control.table());
    let heard = last_granter.map(|last_granter| now.since(last_granter.at).as_millis());
    DomainStatus {
        domain: name.clone(),
        granter: last_granter.map(|last_granter| last_granter.term.host.clone()),
        term: last_granter.map(|last_granter| last_granter.term.to_string()),
        heard_ms: heard.and_then(|ms| u64::try_from(ms).ok()),
        owned: table.map_or(0, |table| table.routes().len()),
        shards: replay.configuration.shards_of(name).count(),
        witnesses: replay.witnesses.get(name).map_or(0, |w| w.settled.len()),
    }
}

fn server_summary(
    state: &control::ControlState,
    spec: &crate::configuration::ServerSpec,
) -> ServerSummary {
    let table = state.domain(&spec.domain).and_then(|d| d.table());
    let routes = table.map(|table| table.routes().values());
    let owned = routes.map(|routes| routes.filter(|r| r.server == spec.name).count());
    ServerSummary {
        server: spec.name.clone(),
        service: spec.service.clone(),
        domain: spec.domain.clone(),
        shards: owned.unwrap_or(0),
        withdrawn: spec.is_withdrawn(),
    }
}

/// Writes a control event as one log line.
pub fn log_event(event: &control::ControlEvent) {
    match event {
        control::ControlEvent::PatchDecided(entry) => match &entry.verdict {
            replay::PatchVerdict::Accepted { version } => {
                tracing::info!(event = "patch-accepted", id = %entry.id, version);
            }
            replay::PatchVerdict::Stale { current } => {
                tracing::info!(event = "patch-stale", id = %entry.id, current);
            }
            replay::PatchVerdict::Invalid(error) => {
                tracing::info!(event = "patch-invalid", id = %entry.id, %error);
            }
        },
        control::ControlEvent::RecordSkipped { offset, error } => {
            tracing::warn!(event = "record-skipped", offset, %error);
        }
        control::ControlEvent::TermStarted { domain, term } => {
            tracing::info!(event = "term-started", %domain, %term);
        }
        control::ControlEvent::TermEnded { domain } => {
            tracing::info!(event = "term-ended", %domain);
        }
        control::ControlEvent::LogRegressed { known, next } => {
            tracing::warn!(event = "log-regressed", known, next);
        }
        control::ControlEvent::PositionLost {
            check,
            known,
            earliest,
            next,
        } => {
            let check = check.word();
            tracing::warn!(event = "log-position-lost", check, known, earliest, next);
        }
        control::ControlEvent::StateRestored { omitted } => {
            tracing::warn!(event = "state-restored", omitted);
        }
        control::ControlEvent::StateAdopted { version } => {
            tracing::info!(event = "state-adopted", version);
        }
    }
}
