//! The topics of the platform's store and their records.

use std::sync;

use crate::ownership::assignment;

/// The topics of the store, which are read and written independently of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreTopic {
    /// The operators' route configuration.
    Routes,
    /// The registrations of the servers.
    Servers,
    /// The registrations of the entry hosts.
    Hosts,
    /// The assignment table.
    Assignments,
}

impl StoreTopic {
    /// All topics.
    pub const ALL: [Self; 4] = [Self::Routes, Self::Servers, Self::Hosts, Self::Assignments];

    /// Returns the topic's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Servers => "servers",
            Self::Hosts => "hosts",
            Self::Assignments => "book",
        }
    }

    /// Returns the topic's position in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Routes => 0,
            Self::Servers => 1,
            Self::Hosts => 2,
            Self::Assignments => 3,
        }
    }
}

/// A keyed record; one without a value removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: sync::Arc<str>,
    /// The value; `None` removes the key.
    pub value: Option<bytes::Bytes>,
}

/// A keyed record in a topic's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The record's offset in the log.
    pub offset: u64,
    /// The record.
    pub record: KeyedRecord,
}

/// A position in a topic's log. The era of the store goes first: a store that came back from an older
/// copy of its logs gives out offsets again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LogPosition {
    /// The era of the store, which rises each time the store comes back from an older copy.
    pub era: u64,
    /// The offset.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }
}

/// What a host knows: for each topic, the position at which its copy of the log ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct TopicEnds {
    /// The offset at which each copy ends, in the order of [`StoreTopic::ALL`].
    pub ends: [u64; 4],
    /// The era of each copy. Earlier builds send none: their copies are of the first.
    pub eras: [u64; 4],
    /// The version of the routes in force, which may be higher than that of the copy: a store that
    /// came back from an older copy may have lost it.
    pub routes_version: u64,
    /// The version of the newest assignment table, which the store may have lost likewise.
    pub table_version: assignment::TableVersion,
}

impl TopicEnds {
    /// Returns the position at which the copy of a topic ends.
    #[must_use]
    pub const fn end(&self, topic: StoreTopic) -> LogPosition {
        LogPosition::new(self.eras[topic.index()], self.ends[topic.index()])
    }

    /// Sets the position at which the copy of a topic ends.
    pub const fn set(&mut self, topic: StoreTopic, end: LogPosition) {
        self.eras[topic.index()] = end.era;
        self.ends[topic.index()] = end.offset;
    }

    /// Returns the later end of each topic, and the higher versions.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        let mut ends = self;
        for topic in StoreTopic::ALL {
            ends.set(topic, self.end(topic).max(other.end(topic)));
        }
        ends.routes_version = self.routes_version.max(other.routes_version);
        ends.table_version = self.table_version.max(other.table_version);
        ends
    }

    /// Reports whether the copies end where a host can serve by them, and those that end at `other` have
    /// older routes or lack a topic whole.
    #[must_use]
    pub fn exceeds_for_serving(&self, other: &Self) -> bool {
        let lacks = |topic| other.end(topic).offset == 0 && self.end(topic).offset > 0;
        let served = [
            StoreTopic::Routes,
            StoreTopic::Servers,
            StoreTopic::Assignments,
        ];
        self.routes_version > other.routes_version || served.into_iter().any(lacks)
    }

    /// Reports whether `other` has a later end of any topic, or a higher version.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        let mut topics = StoreTopic::ALL.into_iter();
        let has_older_routes = self.routes_version < other.routes_version;
        let has_older_table = self.table_version < other.table_version;
        has_older_routes
            || has_older_table
            || topics.any(|topic| self.end(topic) < other.end(topic))
    }
}
