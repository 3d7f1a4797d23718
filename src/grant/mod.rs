//! What a granter does under its term: leases of servers, grants of shards, moves.
//!
//! A shard changes its owner only after the former owner acknowledged the release, or after that
//! owner's lease has lapsed for certain. For unchecked servers, which may run what a stale host
//! sends, the table leases and the longest deadline must have passed as well.

mod follow;
mod moves;
mod orders;
mod reports;

use std::collections;
use std::sync;

use crate::authority;
use crate::chart;
use crate::clock;
use crate::configuration;
use crate::contract;
use crate::fence;
use crate::lease;
use crate::names;
use crate::peer;
use crate::record;
use crate::replay;
use crate::table;
use crate::timing;

/// How many shards a granter takes from their owners at a time, at the least.
pub const MIN_MOVES_AT_ONCE: usize = 8;
/// The interval between two looks at the balance of load, in seconds; each moves at most
/// [`MIN_MOVES_AT_ONCE`] shards of a service.
pub const BALANCE_INTERVAL_S: u64 = 5;
/// How long a measured load counts, in seconds.
pub const LOAD_MEMORY_S: u64 = 15;
/// The load of a shard without requests, so that counts of shards are evened out as well.
pub const IDLE_LOAD: f64 = 1.0;
/// The part of a leaving server's shards that is moved at a time.
pub const MOVE_FRACTION: usize = 4;

crate::chart_words!(
    /// The states of a shard.
    GrantState {
        Vacant = "vacant",
        Offered = "offered",
        Held = "held",
        Releasing = "releasing",
    }
);
crate::chart_words!(
    /// The events of a shard.
    GrantEvent {
        Placed = "placed",
        Reported = "reported",
        Acknowledged = "acknowledged",
        MoveChosen = "move-chosen",
        Released = "released",
        OwnerLost = "owner-lost",
    }
);
crate::chart_words!(
    /// The actions of a shard.
    GrantAction {
        RaiseFence = "raise-fence",
        RecordAssignment = "record-assignment",
        SendGrants = "send-grants",
        PublishRoute = "publish-route",
        WithdrawRoute = "withdraw-route",
    }
);

/// The words of the chart `grant`.
#[derive(Debug)]
pub struct GrantVocabulary;

impl chart::ChartVocabulary for GrantVocabulary {
    type State = GrantState;
    type Event = GrantEvent;
    type Guard = chart::NoGuard;
    type Action = GrantAction;
    const SOURCE: &'static str = include_str!("../../charts/grant.toml");
}

/// The charts that a granter works by.
#[derive(Clone)]
pub struct GrantCharts {
    lease: sync::Arc<chart::ChartTable<lease::LeaseVocabulary>>,
    grant: sync::Arc<chart::ChartTable<GrantVocabulary>>,
}

impl GrantCharts {
    /// Reads and checks the charts.
    ///
    /// # Errors
    /// Fails when a chart is faulty.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            lease: sync::Arc::new(chart::ChartTable::new()?),
            grant: sync::Arc::new(chart::ChartTable::new()?),
        })
    }
}

/// A message to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantOrder {
    /// A question for its state, under a term that it may promise.
    Claim(contract::ClaimOrder),
    /// A renewal.
    Lease(contract::LeaseOrder),
}

/// A message and the server that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedOrder {
    /// The server.
    pub server: configuration::ServerSpec,
    /// The message.
    pub order: GrantOrder,
}

pub(crate) struct ShardRecord {
    pub(crate) state: GrantState,
    pub(crate) owner: Option<names::ServerName>,
    pub(crate) fence: Option<fence::GrantFence>,
    pub(crate) revision: u64,
    pub(crate) free_at: clock::MonoTime,
    pub(crate) load: f64,
    pub(crate) load_at: clock::MonoTime,
}

// A server that reported a shard which the granter counts as another's: the shard is not placed
// until the server has the grants of the revision, which are without it.
pub(crate) struct ShardBlock {
    pub(crate) server: names::ServerName,
    pub(crate) revision: u64,
}

/// What a granter is started with.
pub struct GrantSetup<'a> {
    /// The failure domain.
    pub domain: names::DomainName,
    /// The host's settings for leases.
    pub timing: timing::LeaseTiming,
    /// The term, and from where to count.
    pub start: &'a authority::GrantStart,
    /// What the log says.
    pub replay: &'a replay::ReplayState,
    /// The former granter's routes, where this host has them.
    pub former: Option<&'a table::DomainTable>,
}

/// All that a granter knows of its domain.
pub struct ShardGranter {
    pub(crate) charts: GrantCharts,
    pub(crate) domain: names::DomainName,
    pub(crate) timing: timing::LeaseTiming,
    pub(crate) term: sync::Arc<fence::TermId>,
    pub(crate) former_end: clock::MonoTime,
    pub(crate) configuration: sync::Arc<configuration::Configuration>,
    pub(crate) version: u64,
    pub(crate) witness_set: u64,
    pub(crate) former_routed: bool,
    pub(crate) term_logged: bool,
    pub(crate) sequence: u64,
    pub(crate) servers: collections::BTreeMap<names::ServerName, lease::ServerLease>,
    pub(crate) shards: collections::BTreeMap<names::ShardId, ShardRecord>,
    pub(crate) owned:
        collections::BTreeMap<names::ServerName, collections::BTreeSet<names::ShardId>>,
    pub(crate) vacant: collections::BTreeSet<names::ShardId>,
    pub(crate) blocks: collections::BTreeMap<names::ShardId, Vec<ShardBlock>>,
    pub(crate) routes: table::DomainTable,
    pub(crate) unlogged: Vec<record::AssignmentEntry>,
    pub(crate) versions_acked: collections::BTreeMap<names::ServerName, u64>,
    pub(crate) witness_sets_acked: collections::BTreeMap<names::ServerName, u64>,
    pub(crate) balanced_at: clock::MonoTime,
}

impl ShardGranter {
    /// Starts granting under a term.
    #[must_use]
    pub fn new(charts: GrantCharts, setup: &GrantSetup<'_>, now: clock::MonoTime) -> Self {
        let mut book = Self {
            charts,
            domain: setup.domain.clone(),
            timing: setup.timing,
            term: sync::Arc::clone(&setup.start.term),
            former_end: setup.start.former_end,
            configuration: sync::Arc::default(),
            version: 0,
            witness_set: 0,
            former_routed: setup.replay.terms.contains_key(&setup.domain),
            term_logged: false,
            sequence: 0,
            servers: collections::BTreeMap::new(),
            shards: collections::BTreeMap::new(),
            owned: collections::BTreeMap::new(),
            vacant: collections::BTreeSet::new(),
            blocks: collections::BTreeMap::new(),
            routes: table::DomainTable::new(sync::Arc::clone(&setup.start.term)),
            unlogged: Vec::new(),
            versions_acked: collections::BTreeMap::new(),
            witness_sets_acked: collections::BTreeMap::new(),
            balanced_at: now,
        };
        book.follow(setup.replay);
        book.adopt_known(setup);
        for report in &setup.start.reports {
            book.on_report(report, now);
        }
        book
    }

    /// Returns the term.
    #[must_use]
    pub const fn term(&self) -> &sync::Arc<fence::TermId> {
        &self.term
    }

    /// Returns the routes of the domain's shards.
    #[must_use]
    pub const fn routes(&self) -> &table::DomainTable {
        &self.routes
    }

    /// Returns the assignments that the log does not have yet, and counts them as recorded.
    pub fn take_unlogged(&mut self) -> Vec<record::AssignmentEntry> {
        std::mem::take(&mut self.unlogged)
    }

    pub(crate) fn owned_by<'a>(
        &'a self,
        server: &'a names::ServerName,
    ) -> impl Iterator<Item = &'a names::ShardId> + 'a {
        self.owned.get(server).into_iter().flatten()
    }

    pub(crate) fn set_owner(
        &mut self,
        shard: &names::ShardId,
        owner: Option<names::ServerName>,
    ) -> Option<names::ServerName> {
        let record = self.shards.get_mut(shard)?;
        let former = std::mem::replace(&mut record.owner, owner.clone());
        if let Some(set) = former.as_ref().and_then(|name| self.owned.get_mut(name)) {
            set.remove(shard);
        }
        match owner {
            Some(name) => self.owned.entry(name).or_default().insert(shard.clone()),
            None => self.vacant.insert(shard.clone()),
        };
        former
    }

    /// Takes the load that a host measured for a shard. All of a server's requests pass one gate, so
    /// one host's measure is the shard's load.
    pub fn note_load(&mut self, load: &peer::ShardLoad, now: clock::MonoTime) {
        if let Some(record) = self.shards.get_mut(&load.shard) {
            record.load = IDLE_LOAD + load.rate;
            record.load_at = now;
        }
    }

    /// Lets time pass: lapses leases, moves and places shards.
    pub fn tick(&mut self, now: clock::MonoTime, witnesses: &replay::WitnessSets) {
        self.expire(now);
        self.forget_removed();
        self.drain(now);
        self.balance(now);
        // A version that no majority of the witnesses was told could be lost with this granter,
        // and a successor would not know the servers that it brought.
        let told = |name: &names::ServerName| {
            let version = self.versions_acked.get(name).copied();
            version.unwrap_or(0) >= self.version
        };
        if witnesses.has_majority(told) {
            self.place(now);
        }
    }

    pub(crate) fn run_lease_event(
        &mut self,
        server: &names::ServerName,
        event: lease::LeaseEvent,
        now: clock::MonoTime,
    ) {
        let actions = self.step_lease(server, event);
        if actions.contains(&lease::LeaseAction::FreeShards) {
            self.free_shards(server, now);
        }
    }

    pub(crate) fn step_lease(
        &mut self,
        server: &names::ServerName,
        event: lease::LeaseEvent,
    ) -> Vec<lease::LeaseAction> {
        let lease = self.servers.get_mut(server);
        lease.map(|lease| lease.handle(event)).unwrap_or_default()
    }

    pub(crate) fn handle_shard(&mut self, shard: &names::ShardId, event: GrantEvent) {
        let charts = self.charts.clone();
        let Some(record) = self.shards.get_mut(shard) else {
            return;
        };
        let Some(step) = charts.grant.step_unguarded(record.state, event) else {
            return;
        };
        record.state = step.next;
        for action in &step.actions {
            self.perform(shard, *action);
        }
        if self.shards[shard].state == GrantState::Vacant {
            self.set_owner(shard, None);
        } else {
            self.vacant.remove(shard);
        }
    }

    pub(crate) fn perform(&mut self, shard: &names::ShardId, action: GrantAction) {
        match action {
            GrantAction::RaiseFence => self.raise_fence(shard),
            GrantAction::RecordAssignment => self.record_assignment(shard),
            GrantAction::SendGrants => self.send_grants(shard),
            GrantAction::PublishRoute => self.publish(shard, true),
            GrantAction::WithdrawRoute => self.publish(shard, false),
        }
    }

    pub(crate) fn raise_fence(&mut self, shard: &names::ShardId) {
        self.sequence += 1;
        let fence = fence::GrantFence::new(sync::Arc::clone(&self.term), self.sequence);
        if let Some(record) = self.shards.get_mut(shard) {
            record.fence = Some(fence);
        }
    }

    pub(crate) fn record_assignment(&mut self, shard: &names::ShardId) {
        let record = &self.shards[shard];
        if let (Some(server), Some(fence)) = (&record.owner, &record.fence) {
            self.unlogged.push(record::AssignmentEntry {
                shard: shard.clone(),
                server: server.clone(),
                fence: fence.clone(),
            });
        }
    }

    pub(crate) fn send_grants(&mut self, shard: &names::ShardId) {
        let Some(owner) = self.shards[shard].owner.clone() else {
            return;
        };
        self.touch(&owner);
        let revision = self.servers.get(&owner).map(lease::ServerLease::revision);
        if let (Some(record), Some(revision)) = (self.shards.get_mut(shard), revision) {
            record.revision = revision;
        }
    }

    pub(crate) fn touch(&mut self, server: &names::ServerName) {
        if let Some(lease) = self.servers.get_mut(server) {
            lease.raise_revision();
        }
    }

    pub(crate) fn publish(&mut self, shard: &names::ShardId, present: bool) {
        let record = &self.shards[shard];
        let entry = match (&record.owner, &record.fence) {
            (Some(server), Some(fence)) if present => Some(table::RouteEntry {
                server: server.clone(),
                fence: fence.clone(),
            }),
            _ => None,
        };
        self.routes.set(table::RouteChange {
            shard: shard.clone(),
            route: entry,
        });
    }
}
