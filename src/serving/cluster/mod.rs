//! The state of the cluster as one host knows it: routes, servers and other hosts, and the view of
//! it for the traffic threads.

mod cold_servers;
mod confirmations;
mod evacuations;
pub mod exchange;
mod records;

use std::collections;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::routing::specification;
use crate::serving::catch_up;
use crate::serving::cold;
use crate::serving::confirmation;
use crate::serving::demand;
use crate::serving::directory;
use crate::serving::evacuation;
use crate::serving::link_load;
use crate::serving::responses;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;
use crate::serving::view;

/// Age from which another host's status update no longer tells what the host has, in milliseconds.
pub const HOST_STALE_MS: u64 = 2_500;
/// Age of the last response of the host that supplies this one from which the store counts as out of
/// reach, in milliseconds.
pub const SUPPLY_STALE_MS: u64 = 2_000;
/// How long a host that finds no better one waits for others to register before it reads the store,
/// in milliseconds. Hosts that start together register meanwhile.
pub const SETTLING_MS: u64 = 350;

/// How long after its start a host is told by others which servers have left, in milliseconds.
pub const NEW_HOST_MS: u64 = 10_000;

// What another host's last status update says.
struct PeerState {
    record: status::HostRecord,
    ends: topic::TopicEnds,
    // The term of the newest table that the host knows, and the granter that wrote it.
    term: u64,
    granter: Option<assignment::GranterIncarnation>,
    received_at: clock::MonoTime,
}

// The last response of the host that supplies this one.
struct SupplyState {
    store_lost: bool,
    received_at: clock::MonoTime,
}

/// The cluster as one host knows it.
pub struct ClusterState {
    own: status::HostRecord,
    started: clock::MonoTime,
    routes: Option<sync::Arc<specification::RouteSet>>,
    directory: directory::ServerDirectory,
    // The newest records of services that the routes in force do not name, and when each was received.
    unnamed: collections::BTreeMap<names::ServerName, (directory::ServerRecord, clock::MonoTime)>,
    servers_known: bool,
    hosts: upstream::HostRegistry,
    // The incarnations of hosts that have removed their records.
    left: collections::BTreeMap<names::HostName, u64>,
    // Since when the other registered hosts are known.
    hosts_known: Option<clock::MonoTime>,
    upstream: upstream::UpstreamSelection,
    supply: Option<SupplyState>,
    peers: collections::BTreeMap<names::HostName, PeerState>,
    lost: collections::BTreeSet<&'static str>,
    // The highest era of the store that this host or another has seen.
    store_era: u64,
    demand: view::HostDemand,
    loads: demand::LoadReport,
    reports: demand::DemandReports,
    catch_up: catch_up::CatchUpState,
    responses: responses::ResponseTracker,
    evacuations: evacuation::EvacuationState,
    cold_bounds: cold::ColdBounds,
    host_list: cold::HostListAge,
    confirmations: confirmation::ConfirmationTimes,
    link: link_load::LinkLoad,
}

impl ClusterState {
    /// Creates the state of a host that started at `started` and knows only itself. `drain` is how
    /// long servers go on serving after they have announced that they will end.
    ///
    /// # Errors
    /// Fails when the chart `responses` is invalid.
    pub fn new(
        own: status::HostRecord,
        started: clock::MonoTime,
        drain: time::Duration,
    ) -> Result<Self, chart::ChartError> {
        Ok(Self {
            upstream: upstream::UpstreamSelection::new(own.clone()),
            link: link_load::LinkLoad::new(own.link_mbps),
            own,
            started,
            routes: None,
            directory: directory::ServerDirectory::with_drain(drain),
            unnamed: collections::BTreeMap::new(),
            servers_known: false,
            hosts: upstream::HostRegistry::new(),
            left: collections::BTreeMap::new(),
            hosts_known: None,
            supply: None,
            peers: collections::BTreeMap::new(),
            lost: collections::BTreeSet::new(),
            store_era: 0,
            demand: view::HostDemand::default(),
            loads: demand::LoadReport::default(),
            reports: demand::DemandReports::new(),
            catch_up: catch_up::CatchUpState::new(),
            responses: responses::ResponseTracker::new()?,
            evacuations: evacuation::EvacuationState::new()?,
            cold_bounds: cold::ColdBounds::new(),
            host_list: cold::HostListAge::new(),
            confirmations: confirmation::ConfirmationTimes::new(),
        })
    }

    /// Returns this host's own record.
    #[must_use]
    pub const fn own(&self) -> &status::HostRecord {
        &self.own
    }

    /// Returns the known servers.
    #[must_use]
    pub const fn directory(&self) -> &directory::ServerDirectory {
        &self.directory
    }

    /// Applies a set of routes unless a newer or equal version is in force. Reports whether it was
    /// applied.
    pub fn note_routes(&mut self, routes: specification::RouteSet) -> bool {
        let known = self.routes.as_ref().map_or(0, |known| known.version);
        if routes.version <= known && self.routes.is_some() {
            return false;
        }
        let is_first = self.routes.replace(sync::Arc::new(routes)).is_none();
        if is_first {
            self.set_unnamed_apart();
        }
        for (record, received) in std::mem::take(&mut self.unnamed).into_values() {
            self.note_server(record, received);
        }
        true
    }

    // Before a host knows routes, it takes the records of all services.
    fn set_unnamed_apart(&mut self) {
        let servers = self.directory.servers();
        let unnamed = servers.filter(|record| !self.names_service(&record.service));
        let unnamed: Vec<_> = unnamed.cloned().collect();
        for record in unnamed {
            let name = record.life.server.clone();
            self.directory.forget(&name);
            // It was found with its state, whenever it was received.
            let received = self.started;
            let record = sync::Arc::unwrap_or_clone(record);
            self.unnamed.insert(name, (record, received));
        }
    }

    /// Reports whether the routes in force name a service; any is named before there are routes.
    #[must_use]
    pub fn names_service(&self, service: &names::ServiceName) -> bool {
        let routes = self.routes.as_ref();
        routes.is_none_or(|routes| routes.services.contains_key(service))
    }

    /// Returns the version of the routes in force, 0 for none.
    #[must_use]
    pub fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Applies a server's record, received at `now`. One of a service that the routes do not name may be
    /// another writer's: it replaces nothing, and counts once they name the service.
    pub fn note_server(&mut self, record: directory::ServerRecord, now: clock::MonoTime) {
        if self.names_service(&record.service) {
            self.unnamed.remove(&record.life.server);
            let confirmed_at = self.records_confirmed_at(now);
            self.directory.note_changed(record, confirmed_at, now);
        } else {
            let name = record.life.server.clone();
            self.unnamed.insert(name, (record, now));
        }
    }

    /// Applies the removal of a server's record.
    pub fn remove_server(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        self.unnamed.remove(name);
        self.directory.remove(name, now);
    }

    /// Records that the records of all servers are known.
    pub fn note_servers_known(&mut self) {
        self.servers_known = true;
        self.directory.note_complete();
    }

    /// Records that the other registered hosts are known.
    pub fn note_hosts_known(&mut self, now: clock::MonoTime) {
        self.hosts_known.get_or_insert(now);
    }

    /// Applies another host's record, or its removal where there is none. A record that its host has
    /// removed is not taken again.
    pub fn note_host(&mut self, name: &names::HostName, record: Option<status::HostRecord>) {
        match record {
            Some(record) if self.left.get(name) == Some(&record.incarnation) => {}
            Some(record) if *name != self.own.host => {
                self.left.remove(name);
                self.hosts.insert(name.clone(), record);
            }
            _ => {
                if let Some(known) = self.hosts.remove(name) {
                    self.left.insert(name.clone(), known.incarnation);
                }
                self.peers.remove(name);
                self.reports.remove(name);
                self.responses.remove(name);
            }
        }
    }

    /// Records whether store calls of one kind fail. Reports whether [`Self::store_lost`] changed.
    pub fn note_store(&mut self, call: &'static str, lost: bool, now: clock::MonoTime) -> bool {
        let before = self.store_lost();
        if lost {
            self.directory.note_store_lost(now);
            self.lost.insert(call);
        } else {
            self.lost.remove(call);
        }
        before != self.store_lost()
    }

    /// Records that the store, or another host, has stated its era.
    pub fn note_store_era(&mut self, era: u64) {
        self.store_era = self.store_era.max(era);
    }

    /// Records that the store came back from an older copy: an entry that is missing may only have to
    /// be written again.
    pub fn note_store_restored(&mut self, now: clock::MonoTime) {
        self.directory.note_store_lost(now);
    }

    /// Returns the highest era of the store that this host or another has seen.
    #[must_use]
    pub const fn store_era(&self) -> u64 {
        self.store_era
    }

    /// Returns the host to which this one reports, or the store where it reports to none: its source of
    /// records as far as calls that have failed tell.
    #[must_use]
    pub fn source(&self) -> upstream::RecordSource {
        self.upstream.source(&self.hosts)
    }

    /// Returns where this host gets the store's records from at present. A host whose response is overdue,
    /// or that lacks what this one has, is passed over: then records come from the store until another host
    /// has responded.
    #[must_use]
    pub fn record_source(&self) -> upstream::RecordSource {
        match self.source() {
            upstream::RecordSource::Host(usual) if self.responses.is_passed_over(&usual.host) => {
                let responds = |host: &names::HostName| self.responses.is_responsive(host);
                self.upstream.replacement(&self.hosts, responds)
            }
            source => source,
        }
    }

    /// Reports whether this host reads a topic of the store itself.
    #[must_use]
    pub fn reads(&self, topic: topic::StoreTopic, now: clock::MonoTime) -> bool {
        self.reads_by(&self.record_source(), topic, now)
    }

    /// Reports the same where `source` is [`Self::record_source`].
    #[must_use]
    pub fn reads_by(
        &self,
        source: &upstream::RecordSource,
        topic: topic::StoreTopic,
        now: clock::MonoTime,
    ) -> bool {
        let Some(known) = self.hosts_known else {
            return topic == topic::StoreTopic::Hosts;
        };
        let settled = now >= known + time::Duration::from_millis(SETTLING_MS);
        let reads = *source == upstream::RecordSource::Store;
        reads && (settled || topic == topic::StoreTopic::Hosts)
    }

    /// Reports whether this host may claim the granter role: those that read the store take it in
    /// turn, but not those that do so only until their supplier responds again.
    #[must_use]
    pub fn may_grant(&self, now: clock::MonoTime) -> bool {
        let reads = self.reads(topic::StoreTopic::Assignments, now);
        reads && self.source() == upstream::RecordSource::Store
    }

    /// Returns the other hosts that may have granted: in each domain those that may read the store, and
    /// each that another host names as the granter.
    #[must_use]
    pub fn possible_granters(&self) -> Vec<assignment::GranterIncarnation> {
        let readers = self.upstream.possible_readers(&self.hosts);
        let readers = readers.iter().map(status::HostRecord::granter_incarnation);
        let named = self.peers.values().filter_map(|peer| peer.granter.clone());
        let named: collections::BTreeSet<_> = named.collect();
        readers.chain(named).collect()
    }

    /// Reports whether the records that this host has may be outdated: its own calls to the store
    /// fail, or those of the host that supplies it.
    #[must_use]
    pub fn store_lost(&self) -> bool {
        match (&self.supply, self.record_source()) {
            (Some(supply), upstream::RecordSource::Host(_)) => supply.store_lost,
            _ => !self.lost.is_empty(),
        }
    }

    /// Sets the demand, key load and service times that the traffic threads report.
    pub fn note_traffic(&mut self, demand: view::HostDemand, loads: demand::LoadReport) {
        self.demand = demand;
        self.loads = loads;
    }

    /// Returns the number of other hosts that are registered or have sent a status update.
    #[must_use]
    pub fn other_host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the load of each service's keys and the service times, summed over all hosts, as the
    /// granter needs them.
    #[must_use]
    pub fn sum_loads(&self, now: clock::MonoTime) -> demand::LoadReport {
        self.reports.sum_loads(&self.loads, now)
    }

    /// Returns the services whose servers own keys.
    #[must_use]
    pub fn sharded_services(&self) -> Vec<names::ServiceName> {
        let services = self
            .routes
            .iter()
            .flat_map(|routes| routes.services.values());
        let sharded = services.filter(|spec| spec.sharded);
        sharded.map(|spec| spec.name.clone()).collect()
    }

    /// Reports whether this host can serve: it knows routes and servers, and the keys of every
    /// sharded service are assigned.
    #[must_use]
    pub fn is_ready(&self, table: &assignment::AssignmentTable) -> bool {
        let granted = |service: &names::ServiceName| table.services.contains_key(service);
        self.routes.is_some() && self.servers_known && self.sharded_services().iter().all(granted)
    }

    /// Drops expired server records. Reports whether the view changes.
    pub fn expire(&mut self, now: clock::MonoTime) -> bool {
        self.evacuations.expire(now);
        self.directory.expire(now)
    }

    /// Creates the view for the traffic threads.
    #[must_use]
    pub fn view(&self, grants: &view::SharedGrants, now: clock::MonoTime) -> view::ServingView {
        let servers = self.directory.known_servers();
        let servers = servers.map(|known| (known.record.life.server.clone(), known.clone()));
        let others = self.reports.sum_others(now);
        view::ServingView {
            routes: self.routes.clone(),
            store_lost: self.store_lost(),
            confirmed_at: self.records_confirmed_at(now),
            is_link_full: self.is_link_full(now),
            servers: sync::Arc::new(servers.collect()),
            table: sync::Arc::clone(&grants.table),
            ages: sync::Arc::clone(&grants.ages),
            // A host that does not report at the moment may still be up.
            hosts: 1 + others.hosts.max(self.hosts.len()),
            demand: sync::Arc::new(others.by_server(&self.directory)),
            evacuated: sync::Arc::clone(self.evacuations.domains()),
            cold: sync::Arc::new(self.cold_servers(now)),
        }
    }
}

/// What a host knows of the assignments, for the exchange with other hosts.
#[derive(Clone, Debug)]
pub struct GrantSnapshot {
    /// The granter that wrote the newest table.
    pub granter: Option<assignment::GranterIncarnation>,
    /// The term of the newest table.
    pub term: u64,
    /// The newest known table that a claim in a later era did not know, if any.
    pub overtaken: Option<assignment::OvertakenTable>,
    /// The version of the newest table by which this host has sent orders.
    pub granted: assignment::TableVersion,
    /// The positions at which the host's copies of the store's topics end.
    pub ends: topic::TopicEnds,
}
