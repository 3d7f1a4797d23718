//! Messages between entry hosts: the latest contact with hosts and granters, and the routes and log
//! records that the other host lacks.

use std::time;

use crate::authority;
use crate::clock;
use crate::fence;
use crate::names;
use crate::replay;
use crate::table;

/// The most hosts that one message reports.
pub const MAX_HOSTS_PER_EXCHANGE: usize = 32;
/// The most shards whose load one message reports.
pub const MAX_LOADS_PER_EXCHANGE: usize = 64;
/// The most log records that one response relays.
pub const MAX_RECORDS_PER_EXCHANGE: usize = 256;

/// The latest known state of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostContact {
    /// The host.
    pub host: names::HostName,
    /// The configuration version in force at the host.
    pub version: u64,
    /// Whether the host is stopping.
    pub draining: bool,
    /// The age of this state, in milliseconds.
    pub age_ms: u64,
}

/// The latest known granter of a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GranterContact {
    /// The domain.
    pub domain: names::DomainName,
    /// The granter's term.
    pub term: fence::TermId,
    /// The time since the granter last showed its authority, in milliseconds.
    pub age_ms: u64,
}

/// The version of a domain's table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableVersion {
    /// The domain.
    pub domain: names::DomainName,
    /// The version.
    pub mark: table::TableMark,
}

/// A log record relayed to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayedRecord {
    /// The record's offset in the log.
    pub offset: u64,
    /// The record's text as stored in the log.
    pub text: String,
}

/// The request rate of one shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShardLoad {
    /// The shard.
    pub shard: names::ShardId,
    /// The rate, in requests per second. A host's message has it smoothed.
    pub rate: f64,
}

/// The request of an exchange between two hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExchangeRequest {
    /// The requesting host.
    pub from: names::HostName,
    /// The offset of the first log record that the requesting host lacks.
    pub next_offset: u64,
    /// The log record before that one, if the requesting host has any.
    pub last_record: Option<replay::RecordMark>,
    /// The configuration version in force at the requesting host.
    pub version: u64,
    /// The versions of the tables that it has.
    pub tables: Vec<TableVersion>,
    /// The hosts that it has heard of.
    pub hosts: Vec<HostContact>,
    /// The granters that it has heard of.
    pub granters: Vec<GranterContact>,
    /// The shards that it sends the most requests for.
    pub loads: Vec<ShardLoad>,
}

/// The response of an exchange between two hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExchangeReply {
    /// The hosts that the responding host has heard of.
    pub hosts: Vec<HostContact>,
    /// The granters that it has heard of.
    pub granters: Vec<GranterContact>,
    /// The table changes that the requesting host lacks.
    pub tables: Vec<table::TableUpdate>,
    /// The log records that the requesting host lacks, in order.
    pub records: Vec<RelayedRecord>,
    /// The whole state replayed from the log, if the requesting host is too far behind for records.
    pub state: Option<String>,
    /// The domains that the responding host grants in. If the requesting host's table of such a
    /// domain is of the stated version or newer, the host gets a table lease: it may send to the
    /// domain's unchecked servers for the lease's length, counted from when it sent the request.
    pub leases: Vec<TableVersion>,
}

/// The latest known granter of a domain, and when it last showed its authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownGranter {
    /// The granter's term.
    pub term: fence::TermId,
    /// When it last showed its authority, by this host's clock.
    pub at: clock::MonoTime,
}

impl KnownGranter {
    /// Converts a contact received at `now` to this host's clock.
    #[must_use]
    pub fn from_contact(contact: &GranterContact, now: clock::MonoTime) -> Self {
        Self {
            term: contact.term.clone(),
            at: now.saturating_sub(time::Duration::from_millis(contact.age_ms)),
        }
    }

    /// Reports whether this is of a later term than `other`, or of the same term and seen later.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (&self.term, self.at) > (&other.term, other.at)
    }
}

/// The identity under which a host claims terms: its name and its process's random number.
pub type HostIdentity = authority::ClaimantId;
