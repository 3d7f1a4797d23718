//! All control state of one entry host: events and the time in, typed actions out.

mod domains;
mod follow;
mod log;
mod peers;

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

/// How many records a host keeps to pass on to peers.
pub const TAIL_RECORDS: usize = 4_096;
/// After how many records a checkpoint is due.
pub const CHECKPOINT_RECORDS: u64 = 1_000;
/// After what time a checkpoint is due, in seconds.
pub const CHECKPOINT_SECONDS: u64 = 600;
/// How much longer each host waits than the one whose turn a checkpoint is, in seconds.
pub const CHECKPOINT_STEP_SECONDS: u64 = 5;
/// How many reads in a row must show a log that ends before what the host has folded.
pub const REGRESSED_READS: u32 = 3;
/// The last place in the order of candidates; all behind it share it.
pub const MAX_PLACES: usize = 8;
/// The greatest jitter in a candidate's patience, in milliseconds.
pub const JITTER_MS: u64 = 20;

/// What one host is set to.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The host's name and incarnation.
    pub identity: peer::HostIdentity,
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// Peers to ask before a configuration is known.
    pub bootstrap: Vec<net::SocketAddr>,
    /// The spans that leases rest on.
    pub timing: timing::LeaseTiming,
    /// The wall clock at the origin of the host's monotonic clock, in milliseconds.
    pub wall_origin_ms: u64,
    /// The seed of the host's random choices.
    pub seed: u64,
}

/// Something worth a log line and a count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A patch was decided.
    PatchDecided(replay::VerdictEntry),
    /// A text in the log was no record.
    RecordSkipped {
        /// Its offset.
        offset: u64,
        /// What is wrong with it.
        error: record::RecordError,
    },
    /// This host began to grant.
    TermStarted {
        /// The domain.
        domain: names::DomainName,
        /// The term.
        term: fence::TermId,
    },
    /// This host ceased to grant.
    TermEnded {
        /// The domain.
        domain: names::DomainName,
    },
    /// The log ended before what this host has folded.
    LogRegressed {
        /// The offset that the host had reached.
        known: u64,
        /// The offset at which the log ends.
        next: u64,
    },
    /// The state was taken from a checkpoint or from a peer.
    StateAdopted {
        /// The state's version.
        version: u64,
    },
}

/// What the caller has to do.
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
        /// The message.
        order: contract::ClaimOrder,
    },
    /// Send a renewal to a server.
    Lease {
        /// The domain.
        domain: names::DomainName,
        /// The server.
        server: configuration::ServerSpec,
        /// The message.
        order: contract::LeaseOrder,
    },
    /// Ask a peer.
    Exchange {
        /// Where it listens.
        peer: net::SocketAddr,
        /// The question.
        request: peer::ExchangeRequest,
    },
    /// Hand the traffic threads a new table.
    Publish(sync::Arc<table::RoutingTable>),
    /// Write a log line and count it.
    LogEvent(ControlEvent),
}

/// All control state of one host.
pub struct ControlState {
    pub(crate) settings: ControlSettings,
    pub(crate) charts: domain::DomainCharts,
    pub(crate) replay: replay::LogReplay,
    pub(crate) join: replay::CheckpointAssembly,
    pub(crate) domains: collections::BTreeMap<names::DomainName, domain::DomainControl>,
    pub(crate) jitters: collections::BTreeMap<names::DomainName, time::Duration>,
    pub(crate) append_queue: append_queue::AppendQueue,
    pub(crate) lifecycle: lifecycle::HostLifecycle,
    pub(crate) roster: membership::HostRoster,
    pub(crate) routing: table::RoutingTable,
    pub(crate) applied: collections::BTreeMap<names::DomainName, table::TableMark>,
    pub(crate) tail: collections::VecDeque<peer::RelayedRecord>,
    pub(crate) leaving: collections::BTreeSet<names::ServerName>,
    pub(crate) read_in_flight: bool,
    pub(crate) read_at: clock::MonoTime,
    pub(crate) scan_from: Option<u64>,
    pub(crate) regressed_reads: u32,
    pub(crate) exchange_at: clock::MonoTime,
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
    /// Fails when a chart is faulty.
    pub fn new(settings: ControlSettings) -> Result<Self, chart::ChartError> {
        let host = settings.identity.host.clone();
        let incarnation = settings.identity.incarnation;
        let bootstrap = settings.bootstrap.clone();
        Ok(Self {
            charts: domain::DomainCharts::new()?,
            replay: replay::LogReplay::new()?,
            join: replay::CheckpointAssembly::new(),
            domains: collections::BTreeMap::new(),
            jitters: collections::BTreeMap::new(),
            append_queue: append_queue::AppendQueue::new(host.clone(), incarnation),
            lifecycle: lifecycle::HostLifecycle::new()?,
            roster: membership::HostRoster::new(host, bootstrap, settings.seed),
            routing: table::RoutingTable::default(),
            applied: collections::BTreeMap::new(),
            tail: collections::VecDeque::new(),
            leaving: collections::BTreeSet::new(),
            read_in_flight: false,
            read_at: clock::MonoTime::default(),
            scan_from: None,
            regressed_reads: 0,
            exchange_at: clock::MonoTime::default(),
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

    /// Returns the fold of the log.
    #[must_use]
    pub const fn replay(&self) -> &replay::LogReplay {
        &self.replay
    }

    /// Returns the host's part in a domain.
    #[must_use]
    pub fn domain(&self, name: &names::DomainName) -> Option<&domain::DomainControl> {
        self.domains.get(name)
    }

    /// Returns the host's part in each domain.
    pub fn domains(&self) -> impl Iterator<Item = (&names::DomainName, &domain::DomainControl)> {
        self.domains.iter()
    }

    /// Returns the current routing table.
    #[must_use]
    pub const fn routing(&self) -> &table::RoutingTable {
        &self.routing
    }

    /// Returns the state of the host's life.
    #[must_use]
    pub const fn host_state(&self) -> lifecycle::HostState {
        self.lifecycle.state()
    }

    /// Returns the number of records that wait to be appended.
    #[must_use]
    pub fn waiting_appends(&self) -> usize {
        self.append_queue.len()
    }

    /// Returns the domains that this host grants in.
    #[must_use]
    pub const fn granting(&self) -> &collections::BTreeSet<names::DomainName> {
        &self.granting
    }

    /// Takes the shards' loads of the last interval.
    pub fn note_loads(&mut self, loads: &[peer::ShardLoad], now: clock::MonoTime) {
        self.loads.note(loads);
        let smoothed: Vec<_> = self.loads.loads().collect();
        self.tell_books(&smoothed, now);
    }

    pub(crate) fn tell_books(&mut self, loads: &[peer::ShardLoad], now: clock::MonoTime) {
        let books = self.domains.values_mut().filter_map(|d| d.book_mut());
        for book in books {
            for load in loads {
                book.note_load(load, now);
            }
        }
    }

    /// Returns where the current version stands among the hosts.
    #[must_use]
    pub fn spread(&self, version: u64, now: clock::MonoTime) -> membership::VersionRollout {
        let state = self.replay.state();
        let mut spread = self.roster.spread(version, &state.configuration, now);
        spread.note_in_force(self.host(), state.version);
        spread
    }

    /// Lets time pass.
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

    /// Takes a server's answer to a claim.
    pub fn on_claim_reply(
        &mut self,
        domain: &names::DomainName,
        order: &contract::ClaimOrder,
        answer: &authority::ClaimResponse,
        now: clock::MonoTime,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.with_domain(domain, now, &mut actions, |control, view| {
            control.on_claim_reply(order, answer, view)
        });
        actions
    }

    /// Takes a server's answer to a renewal.
    pub fn on_lease_reply(
        &mut self,
        domain: &names::DomainName,
        answer: &domain::LeaseResponse,
        now: clock::MonoTime,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.with_domain(domain, now, &mut actions, |control, view| {
            control.on_lease_reply(answer, view)
        });
        actions
    }

    /// Takes the platform's list.
    pub fn on_host_listing(&mut self, listing: &platform::HostListing) {
        let leaving = listing
            .servers
            .iter()
            .filter(|s| s.state == platform::ListedState::Leaving);
        self.leaving = leaving.map(|s| s.name.clone()).collect();
    }

    /// Begins to stop: gives up granting. Returns what the host's chart asks for.
    pub fn on_stop(&mut self, now: clock::MonoTime) -> Vec<lifecycle::HostAction> {
        let actions = self.lifecycle.handle(lifecycle::HostEvent::StopRequested);
        if actions.contains(&lifecycle::HostAction::HandOverGranting) {
            let view = domain::DomainView {
                now,
                replay: self.replay.state(),
                leaving: &self.leaving,
                wall_ms: 0,
                patience: time::Duration::ZERO,
            };
            for control in self.domains.values_mut() {
                control.on_stop(&view);
            }
            self.granting.clear();
        }
        actions
    }
}
