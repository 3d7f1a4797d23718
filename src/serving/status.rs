//! The messages that entry hosts exchange.

use std::net;

use crate::names;
use crate::ownership::assignment;
use crate::serving::demand;
use crate::serving::directory;
use crate::serving::evacuation;
use crate::serving::replica;
use crate::serving::topic;

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
    /// The rate of its network link, in megabits a second, where it is known.
    pub link_mbps: Option<u32>,
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

/// Why a host sends a status update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExchangePurpose {
    /// It reports to the host from which it gets the store's records.
    Report,
    /// It reads the store, and exchanges the sums of its domain with one that does so for another.
    Domains,
    /// It queries the other host's status only.
    Query,
}

/// The status update that one host sends to another, as a request or a response.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatusUpdate {
    /// Why the exchange takes place.
    pub purpose: ExchangePurpose,
    /// The sending host.
    pub record: HostRecord,
    /// How long its process has run, in milliseconds.
    pub uptime_millis: u64,
    /// Whether neither its own reads of the store nor those of the host that supplies it succeed.
    pub store_lost: bool,
    /// The positions at which its copies of the store's topics end.
    pub ends: topic::TopicEnds,
    /// For how long its records of routes and servers may have been outdated, in milliseconds; none before
    /// it has all, and from earlier builds.
    pub records_age_millis: Option<u64>,
    /// The highest era of the store that it knows; earlier builds send none.
    pub store_era: Option<u64>,
    /// The term of the newest assignment table that it knows.
    pub term: u64,
    /// The granter that wrote that table; earlier builds send none.
    pub granter: Option<assignment::GranterIncarnation>,
    /// The newest table that it knows of those that a claim in a later era did not know, if any.
    pub overtaken: Option<assignment::OvertakenTable>,
    /// The version of the newest assignment table by which it has sent orders.
    pub granted: assignment::TableVersion,
    /// The demand that the receiver does not know otherwise, by the purpose of the exchange.
    pub demand: Option<demand::DemandSum>,
    /// The key load of the sending host and of those that report to it.
    pub loads: Option<demand::LoadReport>,
    /// The servers that have left a short time ago, for a host that has just started: the store may have
    /// come back from a copy that has their records. Earlier builds send none.
    pub removed_servers: Option<Vec<directory::RemovedServer>>,
    /// What the sender knows of evacuated failure domains: the store may have lost the records. Earlier
    /// builds send none.
    pub evacuations: Option<Vec<evacuation::EvacuationStatement>>,
}

/// The part of a topic that a host requests from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PageRequest {
    /// The topic.
    pub topic: topic::StoreTopic,
    /// The era of the copy that it continues; earlier builds send none.
    pub era: Option<u64>,
    /// The offset of the first record that the host lacks.
    pub from: u64,
    /// Whether the host is collecting pages that replace all it has.
    pub is_continued: bool,
}

impl PageRequest {
    /// Returns the position of the first record that the host lacks.
    #[must_use]
    pub fn start(&self) -> topic::LogPosition {
        topic::LogPosition::new(self.era.unwrap_or(0), self.from)
    }
}

/// A host's request for the store records that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordRequest {
    /// The parts of the topics that it requests.
    pub pages: Vec<PageRequest>,
    /// The version of its routes in force; earlier builds send none.
    pub routes_version: Option<u64>,
    /// The version of its assignment table; earlier builds send none.
    pub table_version: Option<assignment::TableVersion>,
    /// How long to wait for the first record where there is none yet, in milliseconds.
    pub wait_millis: u64,
}

/// Store records that one host sends to another, which lacks them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoreRelay {
    /// The topics of which the sender has records that the receiver lacks.
    pub pages: Vec<replica::RecordPage>,
    /// The sender's routes in force, where the receiver's are older and the store has lost these.
    pub routes: Option<replica::PageRecord>,
    /// The sender's assignment table, where the receiver's is older and the store has lost this one;
    /// earlier builds send none.
    pub table: Option<LostTable>,
    /// How far the sender has followed the log of the assignment table; none where it has not, and from
    /// earlier builds.
    pub followed: Option<FollowedTable>,
    /// For how long the sender's records of routes and servers may have been outdated, in milliseconds; none
    /// before it has all, and from earlier builds.
    pub records_age_millis: Option<u64>,
}

/// An assignment table that the store has lost, as changes to a copy of its log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LostTable {
    /// The end of the copy that the records change; none where they are the whole table.
    pub copy: Option<topic::LogPosition>,
    /// The records, the header last.
    pub records: Vec<replica::PageRecord>,
}

/// How far a host has followed the log of the assignment table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FollowedTable {
    /// The version of its table.
    pub version: assignment::TableVersion,
    /// How long ago the log was known to hold nothing newer, in milliseconds.
    pub age_millis: u64,
}
