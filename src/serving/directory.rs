//! The backend servers, as they register themselves in the platform's store.

use std::collections;
use std::net;
use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::ownership::assignment;

/// How long entries that lapsed while the store was away have to come back, in milliseconds, at most.
pub const REREGISTRATION_TIMEOUT_MS: u64 = 1_300;
/// The part of the time for which leaving servers serve on that such an entry has at most; the rest
/// is for reading its removal.
pub const REREGISTRATION_DRAIN_FRACTION: f64 = 0.65;
/// How long after a failure of the store its removals are not taken at their word, in milliseconds.
pub const DOUBT_SPAN_MS: u64 = 2_000;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It takes no new work, and will end.
    Draining,
}

impl ServerState {
    /// Returns the state's name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// One server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerRecord {
    /// Which start of which server it is.
    pub life: assignment::ServerIncarnation,
    /// The service.
    pub service: names::ServiceName,
    /// Where it takes requests and orders.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ServerState,
    /// The number of this entry, which rises over one life of the server.
    pub sequence: u64,
}

impl ServerRecord {
    // Entries of one server in the order in which it wrote them.
    const fn place(&self) -> (u64, u64) {
        (self.life.born, self.sequence)
    }
}

/// The servers that a host may use.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    entries: collections::BTreeMap<names::ServerName, sync::Arc<ServerRecord>>,
    lapsed: collections::BTreeMap<names::ServerName, (sync::Arc<ServerRecord>, clock::MonoTime)>,
    removed: collections::BTreeMap<names::ServerName, (u64, u64)>,
    doubt_until: clock::MonoTime,
    return_span: time::Duration,
}

impl ServerDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self {
            return_span: time::Duration::from_millis(REREGISTRATION_TIMEOUT_MS),
            ..Self::default()
        }
    }

    /// Creates an empty directory of servers that serve on for `drain` after they have left.
    #[must_use]
    pub fn with_drain(drain: time::Duration) -> Self {
        let longest = time::Duration::from_millis(REREGISTRATION_TIMEOUT_MS);
        Self {
            return_span: longest.min(drain.mul_f64(REREGISTRATION_DRAIN_FRACTION)),
            ..Self::default()
        }
    }

    /// Takes a server's entry, unless it is older than what is known.
    pub fn note(&mut self, record: ServerRecord) {
        let name = record.life.server.clone();
        let known = self.find(&name).map(|known| known.place());
        let newest = known.max(self.removed.get(&name).copied());
        if newest.is_some_and(|newest| record.place() < newest) {
            return;
        }
        self.lapsed.remove(&name);
        self.removed.remove(&name);
        self.entries.insert(name, sync::Arc::new(record));
    }

    /// Takes the removal of an entry. After a failure of the store the server has a moment to
    /// register again.
    pub fn remove(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        let Some(record) = self.entries.remove(name) else {
            return;
        };
        self.removed.insert(name.clone(), record.place());
        if now < self.doubt_until && record.state == ServerState::Ready {
            let until = now + self.return_span;
            self.lapsed.insert(name.clone(), (record, until));
        }
    }

    /// Takes the whole list in place of what was known.
    pub fn replace(&mut self, records: Vec<ServerRecord>, now: clock::MonoTime) {
        let listed: collections::BTreeSet<_> = records
            .iter()
            .map(|record| record.life.server.clone())
            .collect();
        let known: Vec<_> = self.entries.keys().cloned().collect();
        for name in known.iter().filter(|name| !listed.contains(*name)) {
            self.remove(name, now);
        }
        for record in records {
            self.note(record);
        }
    }

    /// Notes that the store could not be reached at `now`.
    pub fn note_store_lost(&mut self, now: clock::MonoTime) {
        self.doubt_until = now + time::Duration::from_millis(DOUBT_SPAN_MS);
    }

    /// Ends the time of entries that did not come back; reports whether any was dropped.
    pub fn expire(&mut self, now: clock::MonoTime) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() != before
    }

    /// Returns the servers that count as there, drained ones included.
    pub fn servers(&self) -> impl Iterator<Item = &sync::Arc<ServerRecord>> {
        let lapsed = self.lapsed.values().map(|(record, _)| record);
        self.entries.values().chain(lapsed)
    }

    /// Returns a hash of the servers, their lives and states.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3Default::new();
        for record in self.entries.values() {
            hasher.update(record.life.server.as_str().as_bytes());
            hasher.update(&record.life.born.to_le_bytes());
            hasher.update(&[u8::from(record.state == ServerState::Draining)]);
        }
        hasher.digest()
    }

    /// Returns a server.
    #[must_use]
    pub fn find(&self, name: &names::ServerName) -> Option<&sync::Arc<ServerRecord>> {
        let lapsed = || self.lapsed.get(name).map(|(record, _)| record);
        self.entries.get(name).or_else(lapsed)
    }
}
