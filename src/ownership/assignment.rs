//! The assignment table: which server holds which range of keys, under which fence.

use std::collections;
use std::net;

use crate::names;
use crate::ownership::order;

/// The highest key.
pub const MAX_KEY: u16 = u16::MAX;

/// The bits of terms and fences below those that tell the era of the store.
pub const ERA_SHIFT: u32 = 32;

/// One run of a server's process. After a restart the server is a new incarnation, which holds no
/// keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerIncarnation {
    /// The server.
    pub server: names::ServerName,
    /// The start time of the process, in Unix milliseconds by the server's own clock. It tells
    /// incarnations of one server apart and is not compared with other clocks.
    pub born: u64,
}

/// A server that holds a range of keys or held it before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyHolder {
    /// The server's incarnation.
    pub life: ServerIncarnation,
    /// The address that orders are sent to.
    pub address: net::SocketAddr,
}

/// A server whose hold has expired without a response: it may still accept an earlier grant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnfencedServer {
    /// The service.
    pub service: names::ServiceName,
    /// The server.
    pub holder: KeyHolder,
}

/// The assignment of a range of keys to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RangeEntry {
    /// The first key.
    pub first: u16,
    /// The last key, inclusive.
    pub last: u16,
    /// The fence of this assignment; every later assignment of a key has a higher one.
    pub fence: u64,
    /// The server that the range is assigned to.
    pub holder: KeyHolder,
    /// Former holders that may still hold the range, the most recent last.
    pub formers: Vec<KeyHolder>,
}

impl RangeEntry {
    /// Returns the number of keys.
    #[must_use]
    pub const fn key_count(&self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }
}

/// One run of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GranterIncarnation {
    /// The host.
    pub host: names::HostName,
    /// A random number that identifies the process.
    pub incarnation: u64,
    /// The address on which the host serves other hosts.
    pub peers: net::SocketAddr,
}

/// Orders the tables that granters have appended: those of a later era of the store are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableVersion {
    /// The era of the store in which the table was appended.
    pub era: u64,
    /// Counts the appends.
    pub revision: u64,
}

/// A table that another host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownTable {
    /// Its version.
    pub version: TableVersion,
    /// Its term.
    pub term: u64,
}

/// What the claim of the granter role in a new era of the store says of grants that the store may have
/// lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct LostGrantsRecord {
    /// The version of the table that was claimed.
    pub base: TableVersion,
    /// Whether that table may be outdated itself: the claiming host did not follow the log before.
    pub is_provisional: bool,
    /// The other hosts that may have granted.
    pub hosts: Vec<GranterIncarnation>,
}

/// A table that the claim of the granter role in a later era of the store did not know.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OvertakenTable {
    /// The table's version.
    pub version: TableVersion,
    /// The granters that it names.
    pub granters: Vec<GranterIncarnation>,
}

/// The assignments of all services, as the granter appends them to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct AssignmentTable {
    /// The table's version.
    pub version: TableVersion,
    /// The term; each claim of the granter role raises it by one.
    pub term: u64,
    /// The granter that wrote the table; none before the first claim.
    pub granter: Option<GranterIncarnation>,
    /// Granters of earlier terms whose orders may still arrive, as far as the granter knows.
    pub former_granters: Vec<GranterIncarnation>,
    /// Servers that may still accept an earlier grant.
    pub unfenced_servers: Vec<UnfencedServer>,
    /// Grants that the store may have lost, until they have certainly expired.
    pub lost_grants: Option<LostGrantsRecord>,
    /// The longest hold that the granter orders, in milliseconds.
    pub longest_hold_millis: u64,
    /// The fence of the next assignment.
    pub next_fence: u64,
    /// The ranges of each service, sorted by key.
    pub services: collections::BTreeMap<names::ServiceName, Vec<RangeEntry>>,
}

impl AssignmentTable {
    /// Returns the range that contains a key.
    #[must_use]
    pub fn find(&self, service: &names::ServiceName, key: u16) -> Option<&RangeEntry> {
        let ranges = self.services.get(service)?;
        let index = ranges.partition_point(|range| range.last < key);
        ranges.get(index).filter(|range| range.first <= key)
    }

    /// Returns the granters whose orders may still arrive, as far as the table tells.
    pub fn named_granters(&self) -> impl Iterator<Item = &GranterIncarnation> {
        self.former_granters.iter().chain(&self.granter)
    }

    /// Returns the newest fence that was allocated.
    #[must_use]
    pub fn newest_fence(&self) -> u64 {
        self.next_fence.saturating_sub(1)
    }

    /// Returns the first and last keys of the spans of a service that are not assigned to a server, whichever
    /// of its incarnations.
    #[must_use]
    pub fn keys_of_others(
        &self,
        service: &names::ServiceName,
        server: &names::ServerName,
    ) -> Vec<(u16, u16)> {
        let ranges = self.services.get(service).into_iter().flatten();
        let own = ranges.filter(|range| range.holder.life.server == *server);
        let mut spans = Vec::new();
        let mut next = Some(0);
        for range in own {
            if let Some(first) = next.filter(|first| *first < range.first) {
                spans.push((first, range.first - 1));
            }
            next = range.last.checked_add(1);
        }
        spans.extend(next.map(|first| (first, MAX_KEY)));
        spans
    }

    /// Allocates the next fence.
    pub fn allocate_fence(&mut self) -> u64 {
        let fence = self.next_fence.max(1);
        self.next_fence = fence + 1;
        fence
    }

    /// Reports whether the table has the range under the same fence.
    #[must_use]
    pub fn has_range(&self, id: &order::RangeId) -> bool {
        let mut ranges = self.services.get(&id.service).into_iter().flatten();
        ranges.any(|range| (range.first, range.last, range.fence) == (id.first, id.last, id.fence))
    }

    /// Returns the table for an append in `era`. Terms and fences of a later era are above all of
    /// earlier ones, also of those that the store has lost.
    #[must_use]
    pub fn next_version(&self, era: u64) -> Self {
        let floor = era << ERA_SHIFT;
        Self {
            version: TableVersion {
                era,
                revision: self.version.revision + 1,
            },
            term: self.term.max(floor),
            next_fence: self.next_fence.max(floor),
            ..self.clone()
        }
    }

    /// Reports whether the ranges of each service are sorted, do not overlap and have fences below
    /// the next one.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.services.values().all(|ranges| {
            let ordered = ranges.iter().all(|range| range.first <= range.last);
            let fenced = ranges.iter().all(|range| range.fence < self.next_fence);
            let disjoint = ranges.windows(2).all(|pair| pair[0].last < pair[1].first);
            ordered && fenced && disjoint
        })
    }
}
