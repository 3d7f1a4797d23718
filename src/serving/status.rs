//! What entry hosts tell each other.

use std::collections;
use std::net;

use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::serving::directory;
use crate::serving::view;

/// An entry host, as it registers itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRecord {
    /// The host.
    pub host: names::HostName,
    /// A random number of its process.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// Where other hosts reach it.
    pub peers: net::SocketAddr,
}

impl HostRecord {
    /// Returns the host's process as the book of grants names it.
    #[must_use]
    pub fn granter_incarnation(&self) -> assignment::GranterIncarnation {
        assignment::GranterIncarnation {
            host: self.host.clone(),
            incarnation: self.incarnation,
            peers: self.peers,
        }
    }
}

/// The work of the keys of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceReport {
    /// The service.
    pub service: names::ServiceName,
    /// The keys with work.
    pub heat: Vec<key_load::KeyLoad>,
}

/// What the store says, for a host that it turns away.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoreRelay {
    /// The routes, where they are newer.
    pub routes: Option<specification::RouteSet>,
    /// The servers.
    pub servers: Vec<directory::ServerRecord>,
    /// The book and where its log ends, where it is newer.
    pub book: Option<(assignment::AssignmentTable, u64)>,
}

/// One host's news for another.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatusUpdate {
    /// Who tells it.
    pub record: HostRecord,
    /// How long its process has run, in milliseconds.
    pub uptime_millis: u64,
    /// Whether the store turns it away.
    pub store_lost: bool,
    /// The version of its routes.
    pub routes_version: u64,
    /// A hash of the servers that it knows.
    pub servers_digest: u64,
    /// Where the book's log ends, as far as it knows.
    pub book_end: u64,
    /// The term of the newest book that it knows.
    pub term: u64,
    /// What it has at each server.
    pub demand: view::ServerDemand,
    /// The work of keys, for the host that grants.
    pub reports: Vec<ServiceReport>,
    /// The measured time of servers, in milliseconds, for the host that grants.
    pub service_times: Vec<(names::ServerName, f64)>,
    /// What the store says, for a host that it turns away.
    pub relay: Option<StoreRelay>,
}

/// The demand of other hosts, summed.
#[must_use]
pub fn sum_demand<'a>(demands: impl Iterator<Item = &'a view::ServerDemand>) -> view::ServerDemand {
    let mut sum = collections::BTreeMap::new();
    for demand in demands {
        for (server, wanted) in demand {
            *sum.entry(server.clone()).or_default() += wanted;
        }
    }
    sum
}
