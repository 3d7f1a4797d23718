//! The control state of one entry host. It takes events and the current time and returns actions
//! for the caller to perform; it does no input or output itself.

mod domains;
mod history;
mod log;
mod peers;
mod rebuild;
mod updates;

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::append_queue;
use crate::authority;
use crate::chart;
use crate::clock;
use crate::configuration;
use crate::contract;
use crate::domain;
use crate::fence;
use crate::lifecycle;
use crate::load;
use crate::membership;
use crate::names;
use crate::peer;
use crate::platform;
use crate::record;
use crate::replay;
use crate::table;
use crate::timing;

/// The number of latest log records that a host keeps to relay to peers.
pub const MAX_RELAY_RECORDS: usize = 4_096;
/// The number of records after the newest checkpoint at which the host whose turn it is writes the
/// next; the host n turns later does so at n + 1 times as many.
pub const CHECKPOINT_RECORDS: u64 = 1_000;
/// The age of the newest checkpoint at which the host whose turn it is writes the next, in seconds.
pub const CHECKPOINT_SECONDS: u64 = 600;
/// The extra wait for each turn that a host is behind the one whose turn it is, in seconds, so that
/// not all hosts write a checkpoint at once.
pub const CHECKPOINT_TURN_SECONDS: u64 = 5;
/// The number of consecutive reads in which the log must end before the host's next offset, for the
/// host to treat the log as having lost records.
pub const REGRESSED_READS: u32 = 3;
/// The highest place in the order of candidates; all further back share it.
pub const MAX_CANDIDATE_PLACE: usize = 8;
/// The maximum jitter in the time that a candidate waits before it claims, in milliseconds.
pub const MAX_CLAIM_JITTER_MS: u64 = 20;

/// The settings of one host's control state.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The host's name and incarnation.
    pub identity: peer::HostIdentity,
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// Addresses of peers to contact before a configuration is known.
    pub bootstrap: Vec<net::SocketAddr>,
    /// The lease timing.
    pub timing: timing::LeaseTiming,
    /// The wall clock at the origin of the host's monotonic clock, in milliseconds since the Unix
    /// epoch.
    pub wall_origin_ms: u64,
    /// The seed of the host's random number generator.
    pub seed: u64,
}

/// An event to log and to count in the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A patch got its verdict.
    PatchDecided(replay::VerdictEntry),
    /// A text in the log was not a valid record.
    RecordSkipped {
        /// The offset of the text.
        offset: u64,
        /// Why it was skipped.
        error: record::RecordError,
    },
    /// This host started granting.
    TermStarted {
        /// The domain.
        domain: names::DomainName,
        /// The term.
        term: fence::TermId,
    },
    /// This host stopped granting.
    TermEnded {
        /// The domain.
        domain: names::DomainName,
    },
    /// The log ended before this host's next offset: it has lost records.
    LogRegressed {
        /// The host's next offset.
        known: u64,
        /// The offset at which the log ends.
        next: u64,
    },
    /// A page of the log did not agree with the host's position.
    PositionLost {
        /// How the page disagreed.
        check: replay::PositionCheck,
        /// The host's next offset.
        known: u64,
        /// The offset of the oldest record that the log retains.
        earliest: u64,
        /// The offset at which the log ends.
        next: u64,
    },
    /// What a host had replayed before the log lost records was merged.
    StateRestored {
        /// The number of changes that could not be applied again.
        omitted: usize,
    },
    /// The replayed state was replaced by that of a checkpoint, of the log's new history, or of a
    /// peer.
    StateAdopted {
        /// The state's configuration version.
        version: u64,
    },
}

/// An action for the caller to perform.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Read the log from an offset.
    ReadLog {
        /// The offset.
        from: u64,
    },
    /// Append a record.
    Append(record::LogRecord),
    /// Send a claim to a server.
    Claim {
        /// The domain.
        domain: names::DomainName,
        /// The server.
        server: configuration::ServerSpec,
        /// The order.
        order: contract::ClaimOrder,
    },
    /// Send a lease renewal to a server.
    Lease {
        /// The domain.
        domain: names::DomainName,
        /// The server.
        server: configuration::ServerSpec,
        /// The order.
        order: contract::LeaseOrder,
    },
    /// Send a status exchange to a peer.
    Exchange {
        /// The peer's address.
        peer: net::SocketAddr,
        /// The request.
        request: peer::ExchangeRequest,
    },
    /// Publish a new routing table to the traffic threads.
    Publish(sync::Arc<table::RoutingTable>),
    /// Log an event and count it.
    LogEvent(ControlEvent),
}

/// The control state of one host.
pub struct ControlState {
    pub(crate) settings: ControlSettings,
    pub(crate) charts: domain::DomainCharts,
    pub(crate) replay: replay::LogReplay,
    pub(crate) domains: collections::BTreeMap<names::DomainName, domain::DomainControl>,
    pub(crate) claim_jitters: collections::BTreeMap<names::DomainName, time::Duration>,
    pub(crate) append_queue: append_queue::AppendQueue,
    pub(crate) lifecycle: lifecycle::HostLifecycle,
    pub(crate) roster: membership::HostRoster,
    pub(crate) routing: table::RoutingTable,
    pub(crate) merged_marks: collections::BTreeMap<names::DomainName, table::TableMark>,
    pub(crate) recent_records: collections::VecDeque<peer::RelayedRecord>,
    pub(crate) leaving: collections::BTreeSet<names::ServerName>,
    pub(crate) read_in_flight: bool,
    pub(crate) next_read_at: clock::MonoTime,
    pub(crate) next_check_at: clock::MonoTime,
    pub(crate) last_check: replay::PositionCheck,
    pub(crate) rebuild: Option<rebuild::LogRebuild>,
    pub(crate) regressed_reads: u32,
    pub(crate) next_exchange_at: clock::MonoTime,
    pub(crate) checkpoint_seen: LastCheckpoint,
    pub(crate) granting: collections::BTreeSet<names::DomainName>,
    pub(crate) loads: load::LoadEstimator,
    pub(crate) gate_candidates: collections::BTreeSet<names::HostName>,
    pub(crate) gates_version: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LastCheckpoint {
    pub(crate) count: u64,
    pub(crate) at: clock::MonoTime,
}

impl ControlState {
    /// Creates the state of a host that has just started.
    ///
    /// # Errors
    /// Fails when a chart is invalid.
    pub fn new(settings: ControlSettings) -> Result<Self, chart::ChartError> {
        let host = settings.identity.host.clone();
        let incarnation = settings.identity.incarnation;
        let bootstrap = settings.bootstrap.clone();
        Ok(Self {
            charts: domain::DomainCharts::new()?,
            replay: replay::LogReplay::new()?,
            domains: collections::BTreeMap::new(),
            claim_jitters: collections::BTreeMap::new(),
            append_queue: append_queue::AppendQueue::new(host.clone(), incarnation),
            lifecycle: lifecycle::HostLifecycle::new()?,
            roster: membership::HostRoster::new(host, bootstrap, settings.seed),
            routing: table::RoutingTable::default(),
            merged_marks: collections::BTreeMap::new(),
            recent_records: collections::VecDeque::new(),
            leaving: collections::BTreeSet::new(),
            read_in_flight: false,
            next_read_at: clock::MonoTime::default(),
            next_check_at: clock::MonoTime::default(),
            last_check: replay::PositionCheck::Current,
            rebuild: None,
            regressed_reads: 0,
            next_exchange_at: clock::MonoTime::default(),
            checkpoint_seen: LastCheckpoint::default(),
            granting: collections::BTreeSet::new(),
            loads: load::LoadEstimator::new(),
            gate_candidates: collections::BTreeSet::new(),
            gates_version: 0,
            settings,
        })
    }

    /// Returns the host's name.
    #[must_use]
    pub const fn host(&self) -> &names::HostName {
        &self.settings.identity.host
    }

    /// Returns the replay of the log.
    #[must_use]
    pub const fn replay(&self) -> &replay::LogReplay {
        &self.replay
    }

    /// Returns the host's control state for a domain.
    #[must_use]
    pub fn domain(&self, name: &names::DomainName) -> Option<&domain::DomainControl> {
        self.domains.get(name)
    }

    /// Returns the host's control state for each domain.
    pub fn domains(&self) -> impl Iterator<Item = (&names::DomainName, &domain::DomainControl)> {
        self.domains.iter()
    }

    /// Returns the current routing table.
    #[must_use]
    pub const fn routing(&self) -> &table::RoutingTable {
        &self.routing
    }

    /// Returns the host's state in the chart `host`.
    #[must_use]
    pub const fn host_state(&self) -> lifecycle::HostState {
        self.lifecycle.state()
    }

    /// Returns the number of records in the append queue.
    #[must_use]
    pub fn waiting_appends(&self) -> usize {
        self.append_queue.len()
    }

    /// Returns the domains in which this host grants.
    #[must_use]
    pub const fn granting(&self) -> &collections::BTreeSet<names::DomainName> {
        &self.granting
    }

    /// Adds the shards' loads of the last interval to the estimates, and passes these to the
    /// domains in which this host grants.
    pub fn note_loads(&mut self, loads: &[peer::ShardLoad], now: clock::MonoTime) {
        self.loads.note(loads);
        let smoothed: Vec<_> = self.loads.loads().collect();
        self.update_granters(&smoothed, now);
    }

    pub(crate) fn update_granters(&mut self, loads: &[peer::ShardLoad], now: clock::MonoTime) {
        let granters = self.domains.values_mut().filter_map(|d| d.granter_mut());
        for granter in granters {
            for load in loads {
                granter.note_load(load, now);
            }
        }
    }

    /// Returns at which hosts a configuration version is in force.
    #[must_use]
    pub fn spread(&self, version: u64, now: clock::MonoTime) -> membership::VersionRollout {
        let state = self.replay.state();
        let mut spread = self.roster.spread(version, &state.configuration, now);
        spread.note_in_force(self.host(), state.version);
        spread
    }

    /// Runs everything that is due at the current time.
    pub fn tick(&mut self, now: clock::MonoTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        let draining = self.lifecycle.state() == lifecycle::HostState::Draining;
        self.roster
            .update_own(self.replay.state().version, draining, now);
        self.tick_domains(now, &mut actions);
        self.tick_checkpoint(now);
        self.tick_log(now, &mut actions);
        self.tick_exchange(now, &mut actions);
        self.refresh_routing(now, &mut actions);
        actions
    }

    /// Handles a server's response to a claim.
    pub fn on_claim_reply(
        &mut self,
        domain: &names::DomainName,
        order: &contract::ClaimOrder,
        response: &authority::ClaimResponse,
        now: clock::MonoTime,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.step_domain(domain, now, &mut actions, |control, view| {
            control.on_claim_reply(order, response, view)
        });
        actions
    }

    /// Handles a server's response to a lease renewal.
    pub fn on_lease_reply(
        &mut self,
        domain: &names::DomainName,
        response: &domain::LeaseResponse,
        now: clock::MonoTime,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.step_domain(domain, now, &mut actions, |control, view| {
            control.on_lease_reply(response, view)
        });
        actions
    }

    /// Stores which servers the platform lists as leaving.
    pub fn on_host_listing(&mut self, listing: &platform::HostListing) {
        let leaving = listing
            .servers
            .iter()
            .filter(|s| s.state == platform::ListedState::Leaving);
        self.leaving = leaving.map(|s| s.name.clone()).collect();
    }

    /// Starts the host's shutdown and stops granting. Returns the actions of the chart `host`.
    pub fn on_stop(&mut self, now: clock::MonoTime) -> Vec<lifecycle::HostAction> {
        let actions = self.lifecycle.handle(lifecycle::HostEvent::StopRequested);
        if actions.contains(&lifecycle::HostAction::HandOverGranting) {
            let view = domain::DomainView {
                now,
                replay: self.replay.state(),
                leaving: &self.leaving,
                wall_ms: 0,
                claim_delay: time::Duration::ZERO,
            };
            for control in self.domains.values_mut() {
                control.on_stop(&view);
            }
            self.granting.clear();
        }
        actions
    }
}
