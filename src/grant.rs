//! What a granter does under its term: leases of servers, grants of shards, moves.
//!
//! A shard changes its owner only after the former owner acknowledged the release, or after that
//! owner's lease has lapsed for certain. For unchecked servers, which may run what a stale host
//! sends, the table leases and the longest deadline must have passed as well.

use std::collections;
use std::sync;
use std::time;

use crate::authority;
use crate::chart;
use crate::clock;
use crate::configuration;
use crate::contract;
use crate::fence;
use crate::fold;
use crate::lease;
use crate::names;
use crate::placement;
use crate::record;
use crate::table;
use crate::timing;

/// How many shards a granter takes from their owners at a time, at the least.
pub const MIN_MOVES_AT_ONCE: usize = 8;
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
    const SOURCE: &'static str = include_str!("../charts/grant.toml");
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

struct ShardRecord {
    state: GrantState,
    owner: Option<names::ServerName>,
    fence: Option<fence::GrantFence>,
    revision: u64,
    free_at: clock::MonoTime,
    load: f64,
}

// A server that reported a shard which the granter counts as another's: the shard is not placed
// until the server has the grants of the revision, which are without it.
struct ShardBlock {
    server: names::ServerName,
    revision: u64,
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
    pub fold: &'a fold::FoldState,
    /// The former granter's routes, where this host has them.
    pub former: Option<&'a table::DomainTable>,
}

/// All that a granter knows of its domain.
pub struct GrantBook {
    charts: GrantCharts,
    domain: names::DomainName,
    timing: timing::LeaseTiming,
    term: sync::Arc<fence::TermId>,
    former_end: clock::MonoTime,
    configuration: sync::Arc<configuration::Configuration>,
    version: u64,
    witness_set: u64,
    former_routed: bool,
    term_logged: bool,
    sequence: u64,
    servers: collections::BTreeMap<names::ServerName, lease::ServerLease>,
    shards: collections::BTreeMap<names::ShardId, ShardRecord>,
    owned: collections::BTreeMap<names::ServerName, collections::BTreeSet<names::ShardId>>,
    vacant: collections::BTreeSet<names::ShardId>,
    blocks: collections::BTreeMap<names::ShardId, Vec<ShardBlock>>,
    routes: table::DomainTable,
    unlogged: Vec<record::AssignmentEntry>,
    versions_acked: collections::BTreeMap<names::ServerName, u64>,
    witness_sets_acked: collections::BTreeMap<names::ServerName, u64>,
    load_changed: bool,
}

impl GrantBook {
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
            former_routed: setup.fold.terms.contains_key(&setup.domain),
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
            load_changed: true,
        };
        book.follow(setup.fold);
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

    /// Returns the number of shards without an owner.
    #[must_use]
    pub fn vacant_count(&self) -> usize {
        self.vacant.len()
    }

    /// Takes over a new version of the configuration.
    pub fn follow(&mut self, fold: &fold::FoldState) {
        let witness_set = fold.witnesses.get(&self.domain).map_or(0, |w| w.number);
        self.witness_set = witness_set;
        self.term_logged |= fold.terms.contains_key(&self.domain);
        if self.version == fold.version && self.version > 0 {
            return;
        }
        self.version = fold.version;
        self.configuration = sync::Arc::clone(&fold.configuration);
        self.follow_servers();
        self.follow_shards();
    }

    fn follow_servers(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        for spec in configuration.servers_of(&self.domain) {
            if let Some(lease) = self.servers.get_mut(&spec.name) {
                lease.spec = spec.clone();
                continue;
            }
            let chart = sync::Arc::clone(&self.charts.lease);
            let lease = lease::ServerLease::new(chart, spec.clone());
            self.servers.insert(spec.name.clone(), lease);
        }
        for (name, lease) in &mut self.servers {
            lease.removed = configuration.find_server(name).is_none();
        }
    }

    // A server that an operator removed is forgotten once nothing of it can be in force.
    fn forget_removed(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        let owned = &self.owned;
        self.servers.retain(|name, lease| {
            let owns = owned.get(name).is_some_and(|set| !set.is_empty());
            let unknown = lease.state() == lease::LeaseState::Unknown;
            owns || unknown || configuration.find_server(name).is_some()
        });
    }

    fn follow_shards(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        for shard in configuration.shards_of(&self.domain) {
            if self.shards.contains_key(&shard) {
                continue;
            }
            self.vacant.insert(shard.clone());
            let record = ShardRecord {
                state: self.charts.grant.initial(),
                owner: None,
                fence: None,
                revision: 0,
                free_at: clock::MonoTime::default(),
                load: 1.0,
            };
            self.shards.insert(shard, record);
        }
    }

    // What the log or the former granter's table says holds until the owner itself has reported.
    fn adopt_known(&mut self, setup: &GrantSetup<'_>) {
        let logged = setup.fold.assignments.iter();
        let logged = logged.map(|(shard, a)| (shard, &a.server, &a.fence));
        let published = setup.former.iter().flat_map(|table| table.routes());
        let published = published.map(|(shard, route)| (shard, &route.server, &route.fence));
        for (shard, server, fence) in logged.chain(published) {
            let unchecked = self.servers.get(server).map(|l| !l.spec.is_checked());
            if unchecked.is_none() {
                continue;
            }
            self.adopt(shard, server, fence);
            // An unchecked server would run what a stale route sends, so its word comes first.
            if unchecked == Some(true) {
                self.publish(shard, false);
            }
        }
    }

    fn adopt(
        &mut self,
        shard: &names::ShardId,
        server: &names::ServerName,
        fence: &fence::GrantFence,
    ) {
        let Some(record) = self.shards.get_mut(shard) else {
            return;
        };
        let newer = record.fence.as_ref().is_none_or(|old| old < fence);
        let same = record.owner.as_ref() == Some(server);
        if !newer && !same {
            return;
        }
        if newer {
            record.fence = Some(fence.clone());
        }
        let former = self.set_owner(shard, Some(server.clone()));
        if let Some(former) = former.filter(|former| former != server) {
            self.touch(&former);
        }
        self.handle_shard(shard, GrantEvent::Reported);
    }

    /// Takes a server's answer to a claim under this term.
    pub fn on_report(&mut self, answer: &authority::ClaimAnswer, now: clock::MonoTime) {
        let left = time::Duration::from_millis(answer.reply.lease_left_ms);
        let Some(lease) = self.servers.get_mut(&answer.server) else {
            return;
        };
        if lease.state() == lease::LeaseState::Held || !answer.reply.accepted {
            return;
        }
        // While the former granter may still act, it could take a lease that ends before it does
        // for lapsed; such a server is asked again once that time has passed.
        let outlasts = left.is_zero() || answer.sent_at + left >= self.former_end;
        if !outlasts {
            return;
        }
        lease.note_status(&answer.reply.status, now);
        self.note_told(&answer.server, &answer.reply.status);
        let actions = self.step_lease(&answer.server, lease::LeaseEvent::Reported);
        if actions.contains(&lease::LeaseAction::AdoptReport) {
            let held = if left.is_zero() {
                &[][..]
            } else {
                &answer.reply.held[..]
            };
            self.adopt_report(&answer.server, held);
        }
    }

    fn adopt_report(&mut self, server: &names::ServerName, held: &[contract::ShardGrant]) {
        self.touch(server);
        for grant in held {
            self.adopt(&grant.shard, server, &grant.fence);
            self.block_unless_owner(&grant.shard, server);
        }
        let reported: collections::BTreeSet<_> = held.iter().map(|g| &g.shard).collect();
        let lost: Vec<_> = self
            .owned_by(server)
            .filter(|shard| !reported.contains(shard))
            .cloned()
            .collect();
        for shard in &lost {
            self.handle_shard(shard, GrantEvent::OwnerLost);
        }
    }

    fn block_unless_owner(&mut self, shard: &names::ShardId, server: &names::ServerName) {
        let Some(record) = self.shards.get(shard) else {
            return;
        };
        if record.owner.as_ref() == Some(server) {
            return;
        }
        let revision = self
            .servers
            .get(server)
            .map_or(0, lease::ServerLease::revision);
        let server = server.clone();
        let block = ShardBlock { server, revision };
        self.blocks.entry(shard.clone()).or_default().push(block);
    }

    fn unblock(&mut self, server: &names::ServerName, revision: u64) {
        for blocks in self.blocks.values_mut() {
            blocks.retain(|block| block.server != *server || block.revision > revision);
        }
        self.blocks.retain(|_, blocks| !blocks.is_empty());
    }

    fn owned_by<'a>(
        &'a self,
        server: &'a names::ServerName,
    ) -> impl Iterator<Item = &'a names::ShardId> + 'a {
        self.owned.get(server).into_iter().flatten()
    }

    fn set_owner(
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

    /// Takes a server's answer to a renewal.
    pub fn on_lease_reply(
        &mut self,
        server: &names::ServerName,
        order: &contract::LeaseOrder,
        reply: &contract::LeaseReply,
        now: clock::MonoTime,
    ) {
        let Some(lease) = self.servers.get_mut(server) else {
            return;
        };
        if !lease.take_answer(order) || reply.verdict == contract::LeaseVerdict::Refused {
            return;
        }
        let restarted = lease.is_other_process(&reply.status);
        lease.note_status(&reply.status, now);
        self.note_told(server, &reply.status);
        if restarted {
            self.run_lease_event(server, lease::LeaseEvent::Restarted, now);
            if let Some(lease) = self.servers.get_mut(server) {
                lease.forget_acked();
            }
            return;
        }
        self.run_lease_event(server, lease::LeaseEvent::Renewed, now);
        match reply.verdict {
            contract::LeaseVerdict::Renewed => self.on_acked(server, order.revision),
            contract::LeaseVerdict::NeedGrants => self.touch(server),
            contract::LeaseVerdict::NeedToken | contract::LeaseVerdict::Refused => {}
        }
    }

    fn on_acked(&mut self, server: &names::ServerName, revision: u64) {
        let Some(lease) = self.servers.get_mut(server) else {
            return;
        };
        lease.note_acked(revision);
        self.unblock(server, revision);
        let shards: Vec<_> = self.owned_by(server).cloned().collect();
        for shard in shards {
            let record = &self.shards[&shard];
            if record.revision > revision {
                continue;
            }
            let busy = self.servers[server].is_releasing(&shard);
            match record.state {
                GrantState::Offered => self.handle_shard(&shard, GrantEvent::Acknowledged),
                GrantState::Releasing if !busy => {
                    self.handle_shard(&shard, GrantEvent::Released);
                }
                _ => {}
            }
        }
    }

    fn note_told(&mut self, server: &names::ServerName, status: &contract::ServerStatus) {
        let version = self.versions_acked.entry(server.clone()).or_default();
        *version = (*version).max(status.version);
        let set = self.witness_sets_acked.entry(server.clone()).or_default();
        *set = (*set).max(status.witness_set);
    }

    /// Reports whether a majority of the witnesses knows the newest witness set.
    #[must_use]
    pub fn may_settle(&self, witnesses: &fold::WitnessView) -> bool {
        let told = |name: &names::ServerName| {
            let set = self.witness_sets_acked.get(name).copied();
            set.unwrap_or(0) >= witnesses.number
        };
        witnesses.pending.is_some() && witnesses.has_majority(told)
    }

    /// Takes over which servers the platform lists as leaving.
    pub fn follow_listing(&mut self, leaving: &collections::BTreeSet<names::ServerName>) {
        for (name, lease) in &mut self.servers {
            lease.listed_leaving = leaving.contains(name);
        }
    }

    /// Sets the measured load of a shard, in any unit shared by all shards of a service.
    pub fn note_load(&mut self, shard: &names::ShardId, load: f64) {
        if let Some(record) = self.shards.get_mut(shard) {
            record.load = load;
            self.load_changed = true;
        }
    }

    /// Lets time pass: lapses leases, moves and places shards.
    pub fn tick(&mut self, now: clock::MonoTime, witnesses: &fold::WitnessView) {
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

    fn expire(&mut self, now: clock::MonoTime) {
        let silent_until = self.former_end + self.timing.lease + self.timing.margin;
        let expired: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| match lease.state() {
                lease::LeaseState::Unknown => now >= silent_until,
                lease::LeaseState::Held => lease.has_expired(now, &self.timing),
                lease::LeaseState::Lapsed => false,
            })
            .map(|(name, _)| name.clone())
            .collect();
        for server in &expired {
            self.run_lease_event(server, lease::LeaseEvent::Expired, now);
        }
    }

    fn run_lease_event(
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

    fn step_lease(
        &mut self,
        server: &names::ServerName,
        event: lease::LeaseEvent,
    ) -> Vec<lease::LeaseAction> {
        let lease = self.servers.get_mut(server);
        lease.map(|lease| lease.handle(event)).unwrap_or_default()
    }

    fn free_shards(&mut self, server: &names::ServerName, now: clock::MonoTime) {
        self.unblock(server, u64::MAX);
        let shards: Vec<_> = self.owned_by(server).cloned().collect();
        for shard in &shards {
            self.wait_for_stale_sends(shard, now);
            self.handle_shard(shard, GrantEvent::OwnerLost);
        }
    }

    // An unchecked owner's shard stays free for as long as a stale host may still send to it.
    fn wait_for_stale_sends(&mut self, shard: &names::ShardId, now: clock::MonoTime) {
        let owner = self.shards[shard].owner.as_ref();
        let lease = owner.and_then(|name| self.servers.get(name));
        if lease.is_none_or(|lease| lease.spec.is_checked()) {
            return;
        }
        let free_at = self.stale_sends_end(&shard.service, now);
        if let Some(record) = self.shards.get_mut(shard) {
            record.free_at = record.free_at.max(free_at);
        }
    }

    // From here on no host sends, and no server still runs, what a route withdrawn at `now` let
    // through, nor one of the former granter.
    fn stale_sends_end(
        &self,
        service: &names::ServiceName,
        now: clock::MonoTime,
    ) -> clock::MonoTime {
        let spec = self.configuration.find_service(service);
        let deadline = time::Duration::from_millis(spec.map_or(0, |spec| spec.deadline_ms));
        let latest_route = now.max(self.former_end);
        latest_route + self.timing.table_lease + self.timing.margin + deadline
    }

    fn drain(&mut self, now: clock::MonoTime) {
        let leaving: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| lease.is_leaving() && lease.state() == lease::LeaseState::Held)
            .map(|(name, _)| name.clone())
            .collect();
        for server in leaving {
            let owned: Vec<_> = self.owned_by(&server).cloned().collect();
            let moving = |shard: &&names::ShardId| self.shards[*shard].state != GrantState::Held;
            let under_way = owned.iter().filter(moving).count();
            let at_once = MIN_MOVES_AT_ONCE.max(owned.len() / MOVE_FRACTION);
            let held = owned
                .iter()
                .filter(|shard| self.shards[*shard].state == GrantState::Held);
            let chosen: Vec<_> = held
                .take(at_once.saturating_sub(under_way))
                .cloned()
                .collect();
            self.move_away(&chosen, now);
        }
    }

    fn move_away(&mut self, shards: &[names::ShardId], now: clock::MonoTime) {
        for shard in shards {
            self.wait_for_stale_sends(shard, now);
            self.handle_shard(shard, GrantEvent::MoveChosen);
        }
    }

    fn balance(&mut self, now: clock::MonoTime) {
        if !self.vacant.is_empty() || !self.load_changed {
            return;
        }
        self.load_changed = false;
        let services: Vec<_> = self.configuration.service.clone();
        for service in &services {
            let targets = self.targets(&service.name);
            let owners = targets.iter().map(|target| &target.server);
            let placed: Vec<_> = owners.flat_map(|server| self.placed_on(server)).collect();
            let moves = placement::choose_moves(&targets, &placed, MIN_MOVES_AT_ONCE);
            self.move_away(&moves, now);
        }
    }

    fn placed_on(&self, server: &names::ServerName) -> Vec<placement::PlacedShard> {
        let held = self
            .owned_by(server)
            .filter(|shard| self.shards[*shard].state == GrantState::Held);
        held.map(|shard| placement::PlacedShard {
            shard: shard.clone(),
            server: server.clone(),
            load: self.shards[shard].load,
        })
        .collect()
    }

    fn targets(&self, service: &names::ServiceName) -> Vec<placement::PlacementTarget> {
        let leases = self.servers.values();
        let usable = leases
            .filter(|lease| lease.spec.service == *service && !lease.is_leaving())
            .filter(|lease| lease.state() == lease::LeaseState::Held);
        usable.map(|lease| self.target_of(&lease.spec)).collect()
    }

    fn target_of(&self, spec: &configuration::ServerSpec) -> placement::PlacementTarget {
        let mut target = placement::PlacementTarget::new(spec.name.clone(), spec.slots);
        for shard in self.owned_by(&spec.name) {
            target.add(self.shards[shard].load);
        }
        target
    }

    fn place(&mut self, now: clock::MonoTime) {
        if self.vacant.is_empty() {
            return;
        }
        let services: Vec<_> = self.configuration.service.clone();
        for service in &services {
            if !self.may_place(&service.name, now) {
                continue;
            }
            let vacant: Vec<_> = self
                .vacant
                .iter()
                .filter(|shard| shard.service == service.name)
                .filter(|shard| now >= self.shards[*shard].free_at)
                .filter(|shard| !self.blocks.contains_key(*shard))
                .cloned()
                .collect();
            if vacant.is_empty() {
                continue;
            }
            let mut targets = self.targets(&service.name);
            for shard in &vacant {
                let Some(chosen) = placement::choose_target(&targets) else {
                    break;
                };
                let load = self.shards[shard].load;
                targets[chosen].add(load);
                let server = targets[chosen].server.clone();
                self.offer(shard, server);
            }
        }
    }

    // A server that has not reported may hold a shard that the former granter gave it without the
    // log knowing; and an unchecked one may still be sent to by that granter's routes. The log
    // knows a domain's first term before any route to its unchecked servers is made, so where it
    // knew none there are no such routes.
    fn may_place(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        let of_service = || {
            let leases = self.servers.values();
            leases.filter(|lease| lease.spec.service == *service)
        };
        let known = of_service().all(|lease| lease.state() != lease::LeaseState::Unknown);
        let unchecked = of_service().any(|lease| !lease.spec.is_checked());
        let routes_end = self.stale_sends_end(service, self.former_end);
        let routes_ended = !self.former_routed || now >= routes_end;
        known && (!unchecked || (self.term_logged && routes_ended))
    }

    fn offer(&mut self, shard: &names::ShardId, server: names::ServerName) {
        self.set_owner(shard, Some(server));
        self.handle_shard(shard, GrantEvent::Placed);
    }

    fn handle_shard(&mut self, shard: &names::ShardId, event: GrantEvent) {
        let charts = self.charts.clone();
        let Some(record) = self.shards.get_mut(shard) else {
            return;
        };
        let Some(step) = charts
            .grant
            .step(record.state, event, |guard| match guard {})
        else {
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

    fn perform(&mut self, shard: &names::ShardId, action: GrantAction) {
        match action {
            GrantAction::RaiseFence => self.raise_fence(shard),
            GrantAction::RecordAssignment => self.record_assignment(shard),
            GrantAction::SendGrants => self.send_grants(shard),
            GrantAction::PublishRoute => self.publish(shard, true),
            GrantAction::WithdrawRoute => self.publish(shard, false),
        }
    }

    fn raise_fence(&mut self, shard: &names::ShardId) {
        self.sequence += 1;
        let fence = fence::GrantFence::new(sync::Arc::clone(&self.term), self.sequence);
        if let Some(record) = self.shards.get_mut(shard) {
            record.fence = Some(fence);
        }
    }

    fn record_assignment(&mut self, shard: &names::ShardId) {
        let record = &self.shards[shard];
        if let (Some(server), Some(fence)) = (&record.owner, &record.fence) {
            self.unlogged.push(record::AssignmentEntry {
                shard: shard.clone(),
                server: server.clone(),
                fence: fence.clone(),
            });
        }
    }

    fn send_grants(&mut self, shard: &names::ShardId) {
        let Some(owner) = self.shards[shard].owner.clone() else {
            return;
        };
        self.touch(&owner);
        let revision = self.servers.get(&owner).map(lease::ServerLease::revision);
        if let (Some(record), Some(revision)) = (self.shards.get_mut(shard), revision) {
            record.revision = revision;
        }
    }

    fn touch(&mut self, server: &names::ServerName) {
        if let Some(lease) = self.servers.get_mut(server) {
            lease.raise_revision();
        }
    }

    fn publish(&mut self, shard: &names::ShardId, present: bool) {
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

    /// Returns the messages that are due.
    pub fn due_orders(&mut self, now: clock::MonoTime) -> Vec<AddressedOrder> {
        let due: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| lease.is_due(now, self.timing.renew))
            .map(|(name, _)| name.clone())
            .collect();
        due.iter()
            .filter_map(|name| self.make_order(name, now))
            .collect()
    }

    fn make_order(
        &mut self,
        server: &names::ServerName,
        now: clock::MonoTime,
    ) -> Option<AddressedOrder> {
        let claim = self.claim_order();
        let base = self.base_order();
        let needed = self.servers.get(server)?.needs_grants();
        let grants = needed.then(|| self.grants_of(server));
        let lease = self.servers.get_mut(server)?;
        lease.note_sent(now);
        let unknown = lease.state() == lease::LeaseState::Unknown;
        let order = if unknown {
            GrantOrder::Claim(claim)
        } else {
            GrantOrder::Lease(lease.next_order(&base, grants))
        };
        Some(AddressedOrder {
            server: lease.spec.clone(),
            order,
        })
    }

    fn claim_order(&self) -> contract::ClaimOrder {
        contract::ClaimOrder {
            term: (*self.term).clone(),
            witness_set: self.witness_set,
            version: self.version,
            probe: false,
        }
    }

    fn base_order(&self) -> contract::LeaseOrder {
        contract::LeaseOrder {
            term: (*self.term).clone(),
            witness_set: self.witness_set,
            version: self.version,
            sequence: 0,
            token: None,
            lease_ms: self.timing.lease_ms(),
            revision: 0,
            grants: None,
        }
    }

    fn grants_of(&self, server: &names::ServerName) -> Vec<contract::ShardGrant> {
        let grant = |shard: &names::ShardId| {
            let record = &self.shards[shard];
            let granted = matches!(record.state, GrantState::Offered | GrantState::Held);
            let fence = record.fence.clone().filter(|_| granted)?;
            let shard = shard.clone();
            Some(contract::ShardGrant { shard, fence })
        };
        self.owned_by(server).filter_map(grant).collect()
    }
}
