//! Routing tables: the immutable snapshot that traffic threads read, and the tables per failure
//! domain that hosts send to each other.

use std::collections;
use std::sync;

use crate::clock;
use crate::configuration;
use crate::fence;
use crate::gate;
use crate::names;
use crate::shard;

/// How many changes a domain's table keeps. A peer that lacks no more than these gets only the
/// changes; one further behind gets the whole table.
pub const MAX_RECENT_CHANGES: usize = 4_096;

/// The owner of one shard, to which its requests go.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteEntry {
    /// The owner.
    pub server: names::ServerName,
    /// The fence of its grant.
    pub fence: fence::GrantFence,
}

/// A change to one shard's route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteChange {
    /// The shard.
    pub shard: names::ShardId,
    /// Its route, or `None` while it has no owner.
    pub route: Option<RouteEntry>,
}

/// The version of a domain's table: its granter's term, then a counter within the term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableMark {
    /// The term.
    pub term: sync::Arc<fence::TermId>,
    /// The number of changes made in the term.
    pub sequence: u64,
}

/// The changes between two versions of a domain's table, or the whole table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableUpdate {
    /// The domain.
    pub domain: names::DomainName,
    /// The version of the table after the update.
    pub mark: TableMark,
    /// The counter of the version that the changes apply to, in the same term; `None` if the update
    /// holds the whole table.
    pub base: Option<u64>,
    /// The changes.
    pub changes: Vec<RouteChange>,
}

/// The routes of one failure domain's shards.
#[derive(Clone, Debug)]
pub struct DomainTable {
    mark: TableMark,
    routes: collections::BTreeMap<names::ShardId, RouteEntry>,
    recent: collections::VecDeque<names::ShardId>,
}

impl DomainTable {
    /// Creates an empty table at the start of a term.
    #[must_use]
    pub const fn new(term: sync::Arc<fence::TermId>) -> Self {
        Self {
            mark: TableMark { term, sequence: 0 },
            routes: collections::BTreeMap::new(),
            recent: collections::VecDeque::new(),
        }
    }

    /// Returns the table's version.
    #[must_use]
    pub const fn mark(&self) -> &TableMark {
        &self.mark
    }

    /// Returns the route of each shard that has an owner.
    #[must_use]
    pub const fn routes(&self) -> &collections::BTreeMap<names::ShardId, RouteEntry> {
        &self.routes
    }

    /// Sets one route; reports whether that changed it.
    pub fn set(&mut self, change: RouteChange) -> bool {
        let RouteChange { shard, route } = change;
        if self.routes.get(&shard) == route.as_ref() {
            return false;
        }
        self.replace(&shard, route);
        self.mark.sequence += 1;
        self.recent.push_back(shard);
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        true
    }

    fn replace(&mut self, shard: &names::ShardId, route: Option<RouteEntry>) {
        match route {
            Some(entry) => self.routes.insert(shard.clone(), entry),
            None => self.routes.remove(shard),
        };
    }

    /// Returns the update that a peer with version `known` lacks, or `None` if it is up to date.
    #[must_use]
    pub fn update_since(
        &self,
        domain: &names::DomainName,
        known: Option<&TableMark>,
    ) -> Option<TableUpdate> {
        if known.is_some_and(|mark| *mark >= self.mark) {
            return None;
        }
        let base = known
            .filter(|mark| mark.term == self.mark.term)
            .filter(|mark| self.mark.sequence - mark.sequence <= self.recent.len() as u64)
            .map(|mark| mark.sequence);
        let shards: collections::BTreeSet<&names::ShardId> = match base {
            None => self.routes.keys().collect(),
            Some(base) => {
                let missing = usize::try_from(self.mark.sequence - base).unwrap_or(usize::MAX);
                self.recent.iter().rev().take(missing).collect()
            }
        };
        let change = |shard: &names::ShardId| RouteChange {
            shard: shard.clone(),
            route: self.routes.get(shard).cloned(),
        };
        Some(TableUpdate {
            domain: domain.clone(),
            mark: self.mark.clone(),
            base,
            changes: shards.into_iter().map(change).collect(),
        })
    }

    /// Applies an update and returns the changed routes. Ignores an update that is not newer, or
    /// whose changes do not apply to this version.
    pub fn merge(&mut self, update: &TableUpdate) -> Vec<RouteChange> {
        if update.mark <= self.mark {
            return Vec::new();
        }
        match update.base {
            Some(base) => self.merge_changes(update, base),
            None => self.merge_whole(update),
        }
    }

    fn merge_changes(&mut self, update: &TableUpdate, base: u64) -> Vec<RouteChange> {
        let fits = update.mark.term == self.mark.term && base <= self.mark.sequence;
        if !fits {
            return Vec::new();
        }
        for change in &update.changes {
            self.replace(&change.shard, change.route.clone());
        }
        self.mark = update.mark.clone();
        // The update does not tell the order of its changes, so peers that are behind this version
        // get the whole table.
        self.recent.clear();
        update.changes.clone()
    }

    fn merge_whole(&mut self, update: &TableUpdate) -> Vec<RouteChange> {
        let old = std::mem::take(&mut self.routes);
        for change in &update.changes {
            self.replace(&change.shard, change.route.clone());
        }
        self.mark = update.mark.clone();
        self.recent.clear();
        let gone = old
            .keys()
            .filter(|shard| !self.routes.contains_key(*shard))
            .map(|shard| RouteChange {
                shard: shard.clone(),
                route: None,
            });
        let changed = update
            .changes
            .iter()
            .filter(|change| old.get(&change.shard) != change.route.as_ref())
            .cloned();
        gone.chain(changed).collect()
    }
}

/// The route of one shard, with its owner's configuration.
#[derive(Clone, Debug)]
pub struct ShardRoute {
    /// The owner.
    pub server: sync::Arc<configuration::ServerSpec>,
    /// The fence of its grant.
    pub fence: fence::GrantFence,
}

/// The routes of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoutes {
    /// The service.
    pub spec: configuration::ServiceSpec,
    routes: imbl::Vector<Option<ShardRoute>>,
}

/// The route of one key's requests.
#[derive(Clone, Debug)]
pub struct KeyLookup<'a> {
    /// The service.
    pub service: &'a configuration::ServiceSpec,
    /// The key's shard.
    pub shard: names::ShardId,
    /// The shard's route, or `None` while it has no owner.
    pub route: Option<&'a ShardRoute>,
}

/// The snapshot that traffic threads read. Its collections are persistent, so that copies share
/// what did not change.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The configuration's version.
    pub version: u64,
    /// The number of entry hosts.
    pub hosts: usize,
    /// Until when the host counts as in contact with the log or a peer. After that, requests of
    /// features whose `when-stale` is `hold` are refused.
    pub fresh_until: clock::MonoTime,
    services: imbl::HashMap<names::ServiceName, ServiceRoutes>,
    features: imbl::HashMap<names::FeatureName, configuration::FeatureSpec>,
    servers: imbl::HashMap<names::ServerName, sync::Arc<configuration::ServerSpec>>,
    table_leases: imbl::HashMap<names::DomainName, clock::MonoTime>,
    floors: [u8; configuration::WorkRank::COUNT],
    gates: sync::Arc<gate::GateMap>,
}

impl RoutingTable {
    /// Creates the table of a configuration, with all shards without an owner.
    #[must_use]
    pub fn new(version: u64, configuration: &configuration::Configuration) -> Self {
        let service = |spec: &configuration::ServiceSpec| {
            let routes = std::iter::repeat_n(None, spec.shards as usize).collect();
            let routes = ServiceRoutes {
                spec: spec.clone(),
                routes,
            };
            (spec.name.clone(), routes)
        };
        Self {
            version,
            hosts: configuration.host.len(),
            fresh_until: clock::MonoTime::default(),
            services: configuration.service.iter().map(service).collect(),
            features: configuration
                .feature
                .iter()
                .map(|spec| (spec.name.clone(), spec.clone()))
                .collect(),
            servers: configuration
                .server
                .iter()
                .map(|spec| (spec.name.clone(), sync::Arc::new(spec.clone())))
                .collect(),
            table_leases: imbl::HashMap::new(),
            floors: configuration.floors(),
            gates: sync::Arc::default(),
        }
    }

    /// Sets the gate of each server: the host whose queue all requests for the server go through.
    pub fn set_gates(&mut self, gates: sync::Arc<gate::GateMap>) {
        self.gates = gates;
    }

    /// Returns the gate of a server, or `None` if that is this host or no gate was chosen.
    #[must_use]
    pub fn gate_of(&self, server: &names::ServerName) -> Option<&gate::GateHost> {
        self.gates.find(server)
    }

    /// Returns the floor of each rank, in percent.
    #[must_use]
    pub const fn floors(&self) -> [u8; configuration::WorkRank::COUNT] {
        self.floors
    }

    /// Applies route changes. A shard whose new owner is not configured has no route.
    pub fn set_routes<'a>(&mut self, changes: impl IntoIterator<Item = &'a RouteChange>) {
        for change in changes {
            let route = change.route.as_ref().and_then(|entry| {
                let server = sync::Arc::clone(self.servers.get(&entry.server)?);
                let fence = entry.fence.clone();
                Some(ShardRoute { server, fence })
            });
            let Some(service) = self.services.get_mut(&change.shard.service) else {
                continue;
            };
            let index = change.shard.index as usize;
            if index < service.routes.len() {
                service.routes.set(index, route);
            }
        }
    }

    /// Removes the routes to the servers of a domain.
    pub fn clear_domain(&mut self, domain: &names::DomainName) {
        let names: Vec<_> = self.services.keys().cloned().collect();
        for name in names {
            if let Some(service) = self.services.get_mut(&name) {
                service.clear_domain(domain);
            }
        }
    }

    /// Sets the time until which requests may be sent to the unchecked servers of a domain.
    pub fn set_table_lease(&mut self, domain: names::DomainName, until: clock::MonoTime) {
        self.table_leases.insert(domain, until);
    }

    /// Reports whether a request may be sent to the server now. An unchecked server does not verify
    /// fences itself, so the host needs a table lease for its domain.
    #[must_use]
    pub fn may_send(&self, server: &configuration::ServerSpec, now: clock::MonoTime) -> bool {
        let leased = self.table_leases.get(&server.domain);
        server.is_checked() || leased.is_some_and(|until| now < *until)
    }

    /// Returns the feature named `name`.
    #[must_use]
    pub fn feature(&self, name: &str) -> Option<&configuration::FeatureSpec> {
        self.features.get(name)
    }

    /// Returns the service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRoutes> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRoutes> {
        self.services.values()
    }

    /// Returns the route of a key's requests, or `None` if the service is not configured.
    #[must_use]
    pub fn lookup(&self, service: &str, key: &str) -> Option<KeyLookup<'_>> {
        let service = self.services.get(service)?;
        let index = shard::shard_of(&service.spec.name, key, service.spec.shards);
        let route = service.routes.get(index as usize).and_then(Option::as_ref);
        Some(KeyLookup {
            service: &service.spec,
            shard: names::ShardId::new(service.spec.name.clone(), index),
            route,
        })
    }
}

impl ServiceRoutes {
    fn clear_domain(&mut self, domain: &names::DomainName) {
        let is_in_domain = |route: &Option<ShardRoute>| {
            let server = route.as_ref().map(|route| &route.server);
            server.is_some_and(|server| server.domain == *domain)
        };
        for route in self.routes.iter_mut().filter(|route| is_in_domain(route)) {
            *route = None;
        }
    }

    /// Returns the route of each shard, in order of index.
    pub fn routes(&self) -> impl Iterator<Item = Option<&ShardRoute>> {
        self.routes.iter().map(Option::as_ref)
    }
}
