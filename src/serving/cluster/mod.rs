//! The state of the cluster as one host knows it: routes, servers and other hosts, and the view of
//! it for the traffic threads.

mod records;

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::serving::catch_up;
use crate::serving::directory;
use crate::serving::status;
use crate::serving::view;

/// Age from which another host's status update no longer proves that the host is up, in
/// milliseconds.
pub const HOST_STALE_MS: u64 = 2_500;
/// Age from which the demand and load in a status update are ignored, in milliseconds.
pub const DEMAND_STALE_MS: u64 = 1_500;

struct PeerState {
    status: status::HostStatusUpdate,
    received_at: clock::MonoTime,
}

/// The cluster as one host knows it.
pub struct ClusterState {
    own: status::HostRecord,
    started: clock::MonoTime,
    routes: Option<sync::Arc<specification::RouteSet>>,
    directory: directory::ServerDirectory,
    servers_known: bool,
    hosts: collections::BTreeMap<names::HostName, status::HostRecord>,
    peers: collections::BTreeMap<names::HostName, PeerState>,
    lost: collections::BTreeSet<&'static str>,
    demand: view::HostDemand,
    reports: Vec<status::ServiceReport>,
    service_times: Vec<(names::ServerName, f64)>,
    catch_up: catch_up::CatchUpState,
}

impl ClusterState {
    /// Creates the state of a host that started at `started` and knows only itself. `drain` is how
    /// long servers go on serving after they have announced that they will end.
    #[must_use]
    pub fn new(own: status::HostRecord, started: clock::MonoTime, drain: time::Duration) -> Self {
        Self {
            own,
            started,
            routes: None,
            directory: directory::ServerDirectory::with_drain(drain),
            servers_known: false,
            hosts: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            lost: collections::BTreeSet::new(),
            demand: view::HostDemand::default(),
            reports: Vec::new(),
            service_times: Vec::new(),
            catch_up: catch_up::CatchUpState::new(),
        }
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
        self.routes = Some(sync::Arc::new(routes));
        true
    }

    /// Returns the version of the routes in force, 0 for none.
    #[must_use]
    pub fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Applies a server's record.
    pub fn note_server(&mut self, record: directory::ServerRecord) {
        self.directory.note(record);
    }

    /// Applies the removal of a server's record.
    pub fn remove_server(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        self.directory.remove(name, now);
    }

    /// Replaces the records of all servers.
    pub fn replace_servers(&mut self, records: Vec<directory::ServerRecord>, now: clock::MonoTime) {
        self.directory.replace(records, now);
        self.servers_known = true;
    }

    /// Applies another host's record, or its removal where there is none.
    pub fn note_host(&mut self, name: &names::HostName, record: Option<status::HostRecord>) {
        match record {
            Some(record) if *name != self.own.host => {
                self.hosts.insert(name.clone(), record);
            }
            _ => {
                self.hosts.remove(name);
                self.peers.remove(name);
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

    /// Reports whether store calls of any kind fail at this host.
    #[must_use]
    pub fn store_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Sets the demand, key load and service times that the traffic threads report.
    pub fn note_traffic(
        &mut self,
        demand: view::HostDemand,
        reports: Vec<status::ServiceReport>,
        service_times: Vec<(names::ServerName, f64)>,
    ) {
        self.demand = demand;
        self.reports = reports;
        self.service_times = service_times;
    }

    /// Applies another host's status update.
    pub fn note_status(&mut self, status: status::HostStatusUpdate, now: clock::MonoTime) {
        let host = status.record.host.clone();
        if host == self.own.host {
            return;
        }
        self.hosts.insert(host.clone(), status.record.clone());
        self.peers.insert(
            host,
            PeerState {
                status,
                received_at: now,
            },
        );
    }

    /// Returns the hosts with which this host starts an exchange of status updates. Of each pair of
    /// hosts, the one with the lower name starts it.
    #[must_use]
    pub fn hosts_to_query(&self) -> Vec<status::HostRecord> {
        let hosts = self.hosts.values();
        hosts
            .filter(|record| self.own.host < record.host)
            .cloned()
            .collect()
    }

    /// Returns the number of other hosts that are registered or have sent a status update.
    #[must_use]
    pub fn other_host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the status update for another host.
    #[must_use]
    pub fn status_for(
        &self,
        host: &names::HostName,
        grants: &GrantSnapshot<'_>,
        now: clock::MonoTime,
    ) -> status::HostStatusUpdate {
        let granter = grants.table.granter.as_ref();
        let granter = granter.is_some_and(|granter| granter.host == *host);
        let uptime = now.since(self.started).as_millis();
        status::HostStatusUpdate {
            record: self.own.clone(),
            uptime_millis: u64::try_from(uptime).unwrap_or(u64::MAX),
            store_lost: self.store_lost(),
            routes_version: self.routes_version(),
            servers_digest: self.directory.digest(),
            book_end: grants.end,
            term: grants.table.term,
            demand: self.demand.servers.clone(),
            pool_waiting: Some(self.demand.pool_waiting.clone()),
            reports: if granter {
                self.reports.clone()
            } else {
                Vec::new()
            },
            service_times: if granter {
                self.service_times.clone()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns the load of each service's keys, summed over all hosts.
    #[must_use]
    pub fn key_loads(&self, now: clock::MonoTime) -> Vec<status::ServiceReport> {
        let peers = self.fresh_peers(DEMAND_STALE_MS, now);
        let received = peers.flat_map(|peer| &peer.status.reports);
        let mut sums = collections::BTreeMap::<_, collections::BTreeMap<u16, f32>>::new();
        for report in received.chain(&self.reports) {
            let sum = sums.entry(report.service.clone()).or_default();
            for key_load in &report.heat {
                *sum.entry(key_load.key).or_default() += key_load.busy;
            }
        }
        let reports = sums
            .into_iter()
            .map(|(service, sum)| status::ServiceReport {
                service,
                heat: sum
                    .into_iter()
                    .map(|(key, busy)| key_load::KeyLoad { key, busy })
                    .collect(),
            });
        reports.collect()
    }

    /// Returns the service time of each server, averaged over the hosts that measured it, in
    /// milliseconds.
    #[must_use]
    pub fn service_times(&self, now: clock::MonoTime) -> Vec<(names::ServerName, f64)> {
        let peers = self.fresh_peers(DEMAND_STALE_MS, now);
        let received = peers.flat_map(|peer| &peer.status.service_times);
        let mut sums = collections::BTreeMap::<_, (f64, u32)>::new();
        for (server, millis) in received.chain(&self.service_times) {
            let sum = sums.entry(server.clone()).or_default();
            *sum = (sum.0 + millis, sum.1 + 1);
        }
        let means = sums.into_iter();
        let means = means.map(|(server, (sum, count))| (server, sum / f64::from(count)));
        means.collect()
    }

    // The hosts whose last status update is younger than `max_age_ms`.
    fn fresh_peers(
        &self,
        max_age_ms: u64,
        now: clock::MonoTime,
    ) -> impl Iterator<Item = &PeerState> {
        let max_age = time::Duration::from_millis(max_age_ms);
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.received_at) < max_age)
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
        self.directory.expire(now)
    }

    /// Creates the view for the traffic threads.
    #[must_use]
    pub fn view(&self, grants: &view::SharedGrants, now: clock::MonoTime) -> view::ServingView {
        let servers = self.directory.servers();
        let servers = servers.map(|record| (record.life.server.clone(), sync::Arc::clone(record)));
        let peers = self.fresh_peers(DEMAND_STALE_MS, now);
        let updates = peers.map(|peer| &peer.status);
        view::ServingView {
            routes: self.routes.clone(),
            store_lost: self.store_lost(),
            servers: sync::Arc::new(servers.collect()),
            table: sync::Arc::clone(&grants.table),
            ages: sync::Arc::clone(&grants.ages),
            demand: sync::Arc::new(status::sum_demand(updates, &self.directory)),
            hosts: 1 + self.fresh_peers(HOST_STALE_MS, now).count(),
        }
    }
}

/// The newest assignment table that the granter of this host has read.
#[derive(Clone, Copy, Debug)]
pub struct GrantSnapshot<'a> {
    /// The table.
    pub table: &'a assignment::AssignmentTable,
    /// The offset at which the log ends.
    pub end: u64,
}
