//! The immutable snapshot of the cluster that the control thread publishes to the traffic threads.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::routing::specification;
use crate::serving::ages;
use crate::serving::cold;
use crate::serving::directory;
use crate::serving::evacuation;

/// The number of running and waiting requests for each server.
pub type ServerDemand = collections::BTreeMap<names::ServerName, f64>;

/// The number of waiting requests without a key for each service.
pub type PoolDemand = collections::BTreeMap<names::ServiceName, u32>;

/// The running and waiting requests of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostDemand {
    /// Those that run at a server or wait for a certain one, by server.
    pub servers: ServerDemand,
    /// Those that wait for any server of a service, by service.
    pub pool_waiting: PoolDemand,
}

impl HostDemand {
    /// Reports whether no request runs or waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.pool_waiting.is_empty()
    }
}

/// The newest assignment table, shared with the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct SharedGrants {
    /// The table.
    pub table: sync::Arc<assignment::AssignmentTable>,
    /// Since when its assignments are known.
    pub ages: sync::Arc<ages::RangeAges>,
}

impl SharedGrants {
    /// Applies the newest table.
    pub fn sync(&mut self, newest: &assignment::AssignmentTable, now: clock::MonoTime) {
        if *self.table != *newest {
            self.ages = sync::Arc::new(self.ages.with_table(newest, now));
            self.table = sync::Arc::new(newest.clone());
        }
    }
}

/// A snapshot of the cluster as one host knows it.
#[derive(Clone, Debug)]
pub struct ServingView {
    /// The routes, once a version is known.
    pub routes: Option<sync::Arc<specification::RouteSet>>,
    /// Whether store calls fail at this host, so that newer routes may exist.
    pub store_lost: bool,
    /// When the routes and the servers were last known to be the newest.
    pub confirmed_at: clock::MonoTime,
    /// Whether this host's link is full, so that its records arrive late.
    pub is_link_full: bool,
    /// The servers, by name.
    pub servers: sync::Arc<collections::BTreeMap<names::ServerName, directory::KnownServer>>,
    /// The assignment table.
    pub table: sync::Arc<assignment::AssignmentTable>,
    /// Since when its assignments are known.
    pub ages: sync::Arc<ages::RangeAges>,
    /// The sum of the other hosts' demand at each server.
    pub demand: sync::Arc<ServerDemand>,
    /// How many hosts are up, including this one.
    pub hosts: usize,
    /// The failure domains that are evacuated or return.
    pub evacuated: sync::Arc<evacuation::EvacuatedDomains>,
    /// The servers that are cold, with this host's part of the requests that they can bear.
    pub cold: sync::Arc<cold::ColdServers>,
}

impl ServingView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self {
            routes: None,
            store_lost: false,
            confirmed_at: clock::MonoTime::default(),
            is_link_full: false,
            servers: sync::Arc::default(),
            table: sync::Arc::default(),
            ages: sync::Arc::default(),
            demand: sync::Arc::default(),
            hosts: 1,
            evacuated: sync::Arc::default(),
            cold: sync::Arc::default(),
        }
    }

    /// Returns for how long the routes and the servers may have been outdated.
    #[must_use]
    pub const fn records_age(&self, now: clock::MonoTime) -> time::Duration {
        now.since(self.confirmed_at)
    }

    /// Reports whether the routes and the servers are too old to send requests by: older than `max_age`, while
    /// the link is full. A host that is cut off goes on by what it knows.
    #[must_use]
    pub fn is_outdated(&self, now: clock::MonoTime, max_age: time::Duration) -> bool {
        self.is_link_full && self.records_age(now) > max_age
    }

    /// Returns the state of a key's ownership.
    #[must_use]
    pub fn owner(&self, service: &names::ServiceName, key: u16) -> KeyOwner<'_> {
        let Some(range) = self.table.find(service, key) else {
            return KeyOwner::None;
        };
        if !range.formers.is_empty() {
            return KeyOwner::Moving(range);
        }
        KeyOwner::Server(&range.holder.life)
    }
}

impl Default for ServingView {
    fn default() -> Self {
        Self::new()
    }
}

/// Which server holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// The key was never assigned.
    None,
    /// A former holder may still hold the key, or the new holder has yet to accept it.
    Moving(&'a assignment::RangeEntry),
    /// The server holds the key.
    Server(&'a assignment::ServerIncarnation),
}
