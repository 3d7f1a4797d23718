//! The status updates that entry hosts exchange.

use std::net;

use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::serving::directory;
use crate::serving::view;

/// The record with which an entry host registers in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRecord {
    /// The host.
    pub host: names::HostName,
    /// A random number that identifies its process.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// The address on which it serves other hosts.
    pub peers: net::SocketAddr,
}

impl HostRecord {
    /// Returns the host's process as the assignment table names it.
    #[must_use]
    pub fn granter_incarnation(&self) -> assignment::GranterIncarnation {
        assignment::GranterIncarnation {
            host: self.host.clone(),
            incarnation: self.incarnation,
            peers: self.peers,
        }
    }
}

/// The load of the keys of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceReport {
    /// The service.
    pub service: names::ServiceName,
    /// The keys with load.
    pub heat: Vec<key_load::KeyLoad>,
}

/// A host's request for the store records that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordRequest {
    /// The version of the routes that it has, 0 for none.
    pub routes_version: u64,
    /// The offset at which the log of the assignment table ends, as far as it knows.
    pub book_end: u64,
    /// The hash of the servers that it knows, where the store rejects it.
    pub servers_digest: Option<u64>,
}

/// Store records that one host sends to another, which lacks them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoreRelay {
    /// The routes, where the sender has a newer version.
    pub routes: Option<specification::RouteSet>,
    /// All servers, where the receiver asked for them and knows others; else empty.
    pub servers: Vec<directory::ServerRecord>,
    /// The assignment table and the offset at which its log ends, where the sender has a newer one.
    pub book: Option<(assignment::AssignmentTable, u64)>,
}

/// The status update that one host sends to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatusUpdate {
    /// The sending host.
    pub record: HostRecord,
    /// How long its process has run, in milliseconds.
    pub uptime_millis: u64,
    /// Whether its store calls fail.
    pub store_lost: bool,
    /// The version of its routes, 0 for none.
    pub routes_version: u64,
    /// A hash of the servers that it knows.
    pub servers_digest: u64,
    /// The offset at which the log of the assignment table ends, as far as it knows.
    pub book_end: u64,
    /// The term of the newest assignment table that it knows.
    pub term: u64,
    /// Its requests that run at a server or wait for a certain one, by server.
    pub demand: view::ServerDemand,
    /// Its requests that wait for any server of a service. Hosts of earlier builds have none: they
    /// count these in `demand`.
    pub pool_waiting: Option<view::PoolDemand>,
    /// The load of keys; sent to the granter only.
    pub reports: Vec<ServiceReport>,
    /// The measured service times of servers, in milliseconds; sent to the granter only.
    pub service_times: Vec<(names::ServerName, f64)>,
}

/// Returns the sum of the demand in several hosts' status updates, by server. Requests that wait for
/// any server of a service count in equal parts at all its servers.
#[must_use]
pub fn sum_demand<'a>(
    updates: impl Iterator<Item = &'a HostStatusUpdate>,
    servers: &directory::ServerDirectory,
) -> view::ServerDemand {
    let mut sum = view::ServerDemand::new();
    let mut pool_waiting = view::PoolDemand::new();
    for update in updates {
        for (server, wanted) in &update.demand {
            *sum.entry(server.clone()).or_default() += wanted;
        }
        for (service, waiting) in update.pool_waiting.iter().flatten() {
            *pool_waiting.entry(service.clone()).or_default() += waiting;
        }
    }
    for (service, waiting) in pool_waiting {
        let pool = servers.servers().filter(|record| record.service == service);
        let names: Vec<_> = pool.map(|record| record.life.server.clone()).collect();
        let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
        for name in names {
            *sum.entry(name).or_default() += f64::from(waiting) / f64::from(count);
        }
    }
    sum
}
