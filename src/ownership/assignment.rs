//! The book of grants: which range of keys is whose, under which fence.

use std::collections;
use std::net;

use crate::names;

/// The greatest key.
pub const MAX_KEY: u16 = u16::MAX;

/// One start of a server. A server that starts again is another life, and holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerIncarnation {
    /// The server.
    pub server: names::ServerName,
    /// The time of its start, in Unix milliseconds by its own clock; told apart, never compared
    /// with other clocks.
    pub born: u64,
}

/// A server that holds keys, or held them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyHolder {
    /// The server's life.
    pub life: ServerIncarnation,
    /// Where orders reach it.
    pub address: net::SocketAddr,
}

/// A range of keys that one server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RangeEntry {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fence of this assignment; each newer assignment of a key has a higher one.
    pub fence: u64,
    /// The server that is to hold it.
    pub holder: KeyHolder,
    /// Servers that may hold it still, the latest last.
    pub formers: Vec<KeyHolder>,
}

impl RangeEntry {
    /// Returns the number of keys.
    #[must_use]
    pub const fn key_count(&self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }
}

/// One start of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GranterIncarnation {
    /// The host.
    pub host: names::HostName,
    /// A random number of the process.
    pub incarnation: u64,
    /// Where other hosts reach it.
    pub peers: net::SocketAddr,
}

/// The whole book.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AssignmentTable {
    /// The term, one higher with each claim.
    pub term: u64,
    /// Who wrote it; nobody in the first book of all.
    pub granter: Option<GranterIncarnation>,
    /// Granters of earlier terms that may order still, as far as the granter knows.
    pub former_granters: Vec<GranterIncarnation>,
    /// The longest hold that the granter orders, in milliseconds.
    pub longest_hold_millis: u64,
    /// The fence of the next assignment.
    pub next_fence: u64,
    /// The ranges of each service, in the order of their keys.
    pub services: collections::BTreeMap<names::ServiceName, Vec<RangeEntry>>,
}

impl AssignmentTable {
    /// Returns the range of a key.
    #[must_use]
    pub fn find(&self, service: &names::ServiceName, key: u16) -> Option<&RangeEntry> {
        let ranges = self.services.get(service)?;
        let index = ranges.partition_point(|range| range.last < key);
        ranges.get(index).filter(|range| range.first <= key)
    }

    /// Takes the next fence.
    pub fn take_fence(&mut self) -> u64 {
        let fence = self.next_fence.max(1);
        self.next_fence = fence + 1;
        fence
    }

    /// Reports whether the ranges of each service are in order and do not overlap.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.services.values().all(|ranges| {
            let proper = ranges.iter().all(|range| range.first <= range.last);
            let fenced = ranges.iter().all(|range| range.fence < self.next_fence);
            let apart = ranges.windows(2).all(|pair| pair[0].last < pair[1].first);
            proper && fenced && apart
        })
    }
}
