//! What one host knows of routes, servers, grants and other hosts, and the view it makes of it.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::serving::directory;
use crate::serving::status;
use crate::serving::view;

/// How long a host counts as there after its last news, in milliseconds.
pub const HOST_SPAN_MS: u64 = 2_500;
/// How long the news of another host's demand counts, in milliseconds.
pub const DEMAND_SPAN_MS: u64 = 1_500;

struct PeerState {
    news: status::HostStatusUpdate,
    heard: clock::MonoTime,
}

/// The knowledge of one host.
pub struct ClusterState {
    own: status::HostRecord,
    started: clock::MonoTime,
    routes: Option<sync::Arc<specification::RouteSet>>,
    directory: directory::ServerDirectory,
    servers_known: bool,
    hosts: collections::BTreeMap<names::HostName, status::HostRecord>,
    peers: collections::BTreeMap<names::HostName, PeerState>,
    lost: collections::BTreeSet<&'static str>,
    demand: view::ServerDemand,
    reports: Vec<status::ServiceReport>,
    service_times: Vec<(names::ServerName, f64)>,
}

impl ClusterState {
    /// Creates the knowledge of a host that knows only itself and started at `started`, where servers
    /// serve on for `drain` after they have left.
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
            demand: view::ServerDemand::new(),
            reports: Vec::new(),
            service_times: Vec::new(),
        }
    }

    /// Returns this host's own record.
    #[must_use]
    pub const fn own(&self) -> &status::HostRecord {
        &self.own
    }

    /// Returns the servers.
    #[must_use]
    pub const fn directory(&self) -> &directory::ServerDirectory {
        &self.directory
    }

    /// Takes a set of routes. Reports whether it is in force now: an older one never is again.
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

    /// Takes a server's entry.
    pub fn note_server(&mut self, record: directory::ServerRecord) {
        self.directory.note(record);
    }

    /// Takes the removal of a server's entry.
    pub fn remove_server(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        self.directory.remove(name, now);
    }

    /// Takes all servers' entries.
    pub fn replace_servers(&mut self, records: Vec<directory::ServerRecord>, now: clock::MonoTime) {
        self.directory.replace(records, now);
        self.servers_known = true;
    }

    /// Takes another host's entry, or its removal.
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

    /// Notes whether the store answers the calls of one kind. Reports whether it is lost now, or
    /// regained, where that is news.
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

    /// Reports whether the store turns this host away, with calls of any kind.
    #[must_use]
    pub fn store_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Takes what the traffic threads report.
    pub fn note_traffic(
        &mut self,
        demand: view::ServerDemand,
        reports: Vec<status::ServiceReport>,
        service_times: Vec<(names::ServerName, f64)>,
    ) {
        self.demand = demand;
        self.reports = reports;
        self.service_times = service_times;
    }

    /// Takes another host's news; returns what it relays of the store.
    pub fn note_status(
        &mut self,
        news: status::HostStatusUpdate,
        now: clock::MonoTime,
    ) -> Option<status::StoreRelay> {
        let mut news = news;
        let relay = news.relay.take();
        let host = news.record.host.clone();
        if host == self.own.host {
            return None;
        }
        self.hosts.insert(host.clone(), news.record.clone());
        self.peers.insert(host, PeerState { news, heard: now });
        relay
    }

    /// Takes what another host relays of the store. Reports whether anything changed.
    pub fn note_relay(&mut self, relay: &status::StoreRelay, now: clock::MonoTime) -> bool {
        let mut changed = false;
        if let Some(routes) = &relay.routes {
            changed |= self.note_routes(routes.clone());
        }
        if !relay.servers.is_empty() && self.store_lost() {
            self.replace_servers(relay.servers.clone(), now);
            changed = true;
        }
        changed
    }

    /// Returns the hosts to exchange news with: each pair has one that asks.
    #[must_use]
    pub fn hosts_to_query(&self) -> Vec<status::HostRecord> {
        let hosts = self.hosts.values();
        hosts
            .filter(|record| self.own.host < record.host)
            .cloned()
            .collect()
    }

    /// Returns the news for another host.
    #[must_use]
    pub fn status_for(
        &self,
        host: &names::HostName,
        grants: &GrantSnapshot<'_>,
        now: clock::MonoTime,
    ) -> status::HostStatusUpdate {
        let asked = self.peers.get(host).map(|peer| &peer.news);
        let relay = asked.and_then(|news| self.relay_for(news, grants));
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
            demand: self.demand.clone(),
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
            relay,
        }
    }

    // What another host lacks: a read of the store can miss a record for as long as it waits.
    fn relay_for(
        &self,
        asked: &status::HostStatusUpdate,
        grants: &GrantSnapshot<'_>,
    ) -> Option<status::StoreRelay> {
        let newer = self.routes_version() > asked.routes_version;
        let routes = self.routes.as_ref().filter(|_| newer);
        let differ = asked.servers_digest != self.directory.digest();
        let lost = asked.store_lost && !self.store_lost() && differ;
        let servers = self.directory.servers().filter(|_| lost);
        let servers: Vec<_> = servers.map(|record| (**record).clone()).collect();
        let table = (grants.end > asked.book_end).then(|| (grants.table.clone(), grants.end));
        if routes.is_none() && servers.is_empty() && table.is_none() {
            return None;
        }
        Some(status::StoreRelay {
            routes: routes.map(|routes| (**routes).clone()),
            servers,
            book: table,
        })
    }

    /// Returns the work of each service's keys, summed over all hosts.
    #[must_use]
    pub fn key_loads(&self, now: clock::MonoTime) -> Vec<status::ServiceReport> {
        let heard = self.heard_within(DEMAND_SPAN_MS, now);
        let told = heard.flat_map(|peer| &peer.news.reports);
        let mut sums = collections::BTreeMap::<_, collections::BTreeMap<u16, f32>>::new();
        for report in told.chain(&self.reports) {
            let sum = sums.entry(report.service.clone()).or_default();
            for heat in &report.heat {
                *sum.entry(heat.key).or_default() += heat.busy;
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

    /// Returns the mean time that each server takes, by all hosts that measured it, in milliseconds.
    #[must_use]
    pub fn service_times(&self, now: clock::MonoTime) -> Vec<(names::ServerName, f64)> {
        let heard = self.heard_within(DEMAND_SPAN_MS, now);
        let told = heard.flat_map(|peer| &peer.news.service_times);
        let mut sums = collections::BTreeMap::<_, (f64, u32)>::new();
        for (server, millis) in told.chain(&self.service_times) {
            let sum = sums.entry(server.clone()).or_default();
            *sum = (sum.0 + millis, sum.1 + 1);
        }
        let means = sums.into_iter();
        let means = means.map(|(server, (sum, count))| (server, sum / f64::from(count)));
        means.collect()
    }

    // The hosts whose last news are no older than that.
    fn heard_within(&self, span_ms: u64, now: clock::MonoTime) -> impl Iterator<Item = &PeerState> {
        let span = time::Duration::from_millis(span_ms);
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.heard) < span)
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

    /// Reports whether this host can serve.
    #[must_use]
    pub fn is_ready(&self, table: &assignment::AssignmentTable) -> bool {
        let granted = |service: &names::ServiceName| table.services.contains_key(service);
        self.routes.is_some() && self.servers_known && self.sharded_services().iter().all(granted)
    }

    /// Drops what has expired. Reports whether the view changes.
    pub fn expire(&mut self, now: clock::MonoTime) -> bool {
        self.directory.expire(now)
    }

    /// Makes the view for the traffic threads.
    #[must_use]
    pub fn view(&self, grants: &view::SharedGrants, now: clock::MonoTime) -> view::ServingView {
        let servers = self.directory.servers();
        let servers = servers.map(|record| (record.life.server.clone(), sync::Arc::clone(record)));
        let heard = self.heard_within(DEMAND_SPAN_MS, now);
        let demands = heard.map(|peer| &peer.news.demand);
        view::ServingView {
            routes: self.routes.clone(),
            servers: sync::Arc::new(servers.collect()),
            table: sync::Arc::clone(&grants.table),
            ages: sync::Arc::clone(&grants.ages),
            demand: sync::Arc::new(status::sum_demand(demands)),
            hosts: 1 + self.heard_within(HOST_SPAN_MS, now).count(),
        }
    }
}

/// What the granter part of a host knows.
#[derive(Clone, Copy, Debug)]
pub struct GrantSnapshot<'a> {
    /// The newest book.
    pub table: &'a assignment::AssignmentTable,
    /// Where its log ends.
    pub end: u64,
}
