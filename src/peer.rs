//! What entry hosts tell each other: who granted when, which routes and records the other lacks.

use std::time;

use crate::authority;
use crate::clock;
use crate::fence;
use crate::names;
use crate::table;

/// How many hosts one exchange speaks of at the most.
pub const MAX_HOSTS_PER_EXCHANGE: usize = 32;
/// How many shards' loads one exchange tells of at the most.
pub const MAX_LOADS_PER_EXCHANGE: usize = 64;
/// How many records one exchange passes on at the most.
pub const MAX_RECORDS_PER_EXCHANGE: usize = 256;

/// What is known of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostContact {
    /// The host.
    pub host: names::HostName,
    /// The configuration version in force there.
    pub version: u64,
    /// Whether the host is stopping.
    pub draining: bool,
    /// The age of the news, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a domain's granter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GranterContact {
    /// The domain.
    pub domain: names::DomainName,
    /// The granter's term.
    pub term: fence::TermId,
    /// The age of the granter's last sign of authority, in milliseconds.
    pub age_ms: u64,
}

/// The position of a domain's table at the asking host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableVersion {
    /// The domain.
    pub domain: names::DomainName,
    /// The position.
    pub mark: table::TableMark,
}

/// A record passed on, at its offset in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayedRecord {
    /// The offset.
    pub offset: u64,
    /// The text as the log holds it.
    pub text: String,
}

/// How many requests a host sends for a shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShardLoad {
    /// The shard.
    pub shard: names::ShardId,
    /// Requests a second, smoothed.
    pub rate: f64,
}

/// A host's question to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExchangeRequest {
    /// The asking host.
    pub from: names::HostName,
    /// The offset of the next record that it lacks.
    pub next_offset: u64,
    /// The configuration version in force there.
    pub version: u64,
    /// The tables that it has.
    pub tables: Vec<TableVersion>,
    /// What it knows of hosts.
    pub hosts: Vec<HostContact>,
    /// What it knows of granters.
    pub granters: Vec<GranterContact>,
    /// The shards that it sends most requests for.
    pub loads: Vec<ShardLoad>,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExchangeReply {
    /// What the answering host knows of hosts.
    pub hosts: Vec<HostContact>,
    /// What it knows of granters.
    pub granters: Vec<GranterContact>,
    /// The table changes that the asking host lacks.
    pub tables: Vec<table::TableUpdate>,
    /// The records that it lacks, in order.
    pub records: Vec<RelayedRecord>,
    /// The whole state of the fold, where the asking host is too far behind for records.
    pub state: Option<String>,
    /// The domains that the answering host grants in: from the asking host's sending of its
    /// question on, it may send to their unchecked servers for the time of a table lease, by a
    /// table no older than the position.
    pub leases: Vec<TableVersion>,
}

/// When a granter last showed authority, by this host's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownGranter {
    /// The granter's term.
    pub term: fence::TermId,
    /// When.
    pub at: clock::MonoTime,
}

impl KnownGranter {
    /// Reads news that arrived at `now`.
    #[must_use]
    pub fn from_contact(news: &GranterContact, now: clock::MonoTime) -> Self {
        Self {
            term: news.term.clone(),
            at: now.saturating_sub(time::Duration::from_millis(news.age_ms)),
        }
    }

    /// Reports whether this sign says more than another.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (&self.term, self.at) > (&other.term, other.at)
    }
}

/// The identity under which a host claims, as its settings give it.
pub type HostIdentity = authority::ClaimantId;
