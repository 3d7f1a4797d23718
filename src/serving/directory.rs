//! The backend servers that are registered in the platform's store.

use std::collections;
use std::net;
use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::cold;

/// Upper bound of the time that a server whose record lapsed in an outage of the store has to
/// register again, in milliseconds.
pub const REREGISTRATION_TIMEOUT_MS: u64 = 1_300;
/// Upper bound of the same time as a fraction of the servers' drain time. The rest of the drain
/// time is left for reading the removal.
pub const REREGISTRATION_DRAIN_FRACTION: f64 = 0.65;
/// How long after a failure of the store a removal may be an effect of that failure, in
/// milliseconds.
pub const UNTRUSTED_REMOVAL_MS: u64 = 2_000;

/// How long a host tells others of a removal, in milliseconds: longer than a copy of the store is old
/// when the store comes back from it.
pub const REPORTED_REMOVAL_MS: u64 = 60_000;

/// The state that a server registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It is about to end and accepts no requests but those for keys that it still holds.
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

/// The record of one server in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerRecord {
    /// The server's incarnation.
    pub life: assignment::ServerIncarnation,
    /// The service.
    pub service: names::ServiceName,
    /// The address that requests and orders are sent to.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// How many requests it processes concurrently.
    pub slots: u32,
    /// Its state.
    pub state: ServerState,
    /// The number of this record, which rises within one incarnation of the server.
    pub sequence: u64,
    /// How much longer the server is cold, counted from when the record is received; `None` where it
    /// states no usable time.
    pub cold_remaining: Option<time::Duration>,
}

impl ServerRecord {
    // Orders the records of one server as it wrote them.
    const fn version(&self) -> (u64, u64) {
        (self.life.born, self.sequence)
    }
}

/// A server as one host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownServer {
    /// The server's newest record.
    pub record: sync::Arc<ServerRecord>,
    /// The earliest time at which the server may have entered its state: when this host last knew it to be in
    /// another one. `None` where the first record that the host had of this incarnation has that state, so
    /// that the server may have entered it long before.
    pub state_since: Option<clock::MonoTime>,
    /// What this host knows of the incarnation's cold times.
    pub cold: cold::ColdTimes,
}

impl KnownServer {
    // What is known of a server once its `record` was received.
    fn with_record(
        known: Option<&Self>,
        record: ServerRecord,
        cold: cold::ColdTimes,
        received: ReceivedAt,
    ) -> Self {
        let known = known.filter(|known| known.record.life == record.life);
        let state_since = known.and_then(|known| {
            let is_same = known.record.state == record.state;
            if is_same {
                known.state_since
            } else {
                Some(received.changed_since)
            }
        });
        let is_repeated = known.is_some_and(|known| known.record.version() == record.version());
        let remaining = record.cold_remaining.filter(|_| !is_repeated);
        Self {
            record: sync::Arc::new(record),
            state_since,
            cold: cold.with_remaining(remaining.unwrap_or_default(), received.now),
        }
    }
}

/// When a record was received, and since when it may have been written.
#[derive(Clone, Copy, Debug)]
struct ReceivedAt {
    now: clock::MonoTime,
    changed_since: clock::MonoTime,
}

/// A server that has left, as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RemovedServer {
    /// The server's last incarnation.
    pub life: assignment::ServerIncarnation,
    /// The number of its last record.
    pub sequence: u64,
}

// The last record of a server that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedRecord {
    version: (u64, u64),
    at: clock::MonoTime,
    // Whether the server may write the same record again, because the removal may be an effect of a
    // failure of the store.
    may_return: bool,
    cold: cold::ColdTimes,
}

impl RemovedRecord {
    fn excludes(&self, version: (u64, u64)) -> bool {
        version < self.version || (version == self.version && !self.may_return)
    }
}

/// The servers that a host may send requests to.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    entries: collections::BTreeMap<names::ServerName, KnownServer>,
    lapsed: collections::BTreeMap<names::ServerName, (KnownServer, clock::MonoTime)>,
    removed: collections::BTreeMap<names::ServerName, RemovedRecord>,
    untrusted_until: clock::MonoTime,
    reregistration_timeout: time::Duration,
    // Whether all servers that were there before this host are known, so that others have started since.
    is_complete: bool,
}

impl ServerDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self {
            reregistration_timeout: time::Duration::from_millis(REREGISTRATION_TIMEOUT_MS),
            ..Self::default()
        }
    }

    /// Creates an empty directory of servers that go on serving for `drain` after they have
    /// announced that they will end.
    #[must_use]
    pub fn with_drain(drain: time::Duration) -> Self {
        let longest = time::Duration::from_millis(REREGISTRATION_TIMEOUT_MS);
        Self {
            reregistration_timeout: longest.min(drain.mul_f64(REREGISTRATION_DRAIN_FRACTION)),
            ..Self::default()
        }
    }

    /// Applies a server's record, received at `now`, unless a newer one is known or was removed. The
    /// removed record itself counts again only where the removal may have been an effect of a failure of
    /// the store.
    pub fn note(&mut self, record: ServerRecord, now: clock::MonoTime) {
        self.note_changed(record, now, now);
    }

    /// Does the same for a record that may have been written at any time since `changed_since`, because the
    /// records before it were last known to be the newest then.
    pub fn note_changed(
        &mut self,
        record: ServerRecord,
        changed_since: clock::MonoTime,
        now: clock::MonoTime,
    ) {
        let name = record.life.server.clone();
        let known = self.find_known(&name);
        let is_outdated = match known {
            Some(known) => record.version() < known.record.version(),
            None => self
                .removed
                .get(&name)
                .is_some_and(|removed| removed.excludes(record.version())),
        };
        if is_outdated {
            return;
        }
        let cold = self.cold_times(&record.life);
        let cold = cold.unwrap_or_else(|| self.first_cold_times(now));
        let received = ReceivedAt { now, changed_since };
        let known = KnownServer::with_record(known, record, cold, received);
        self.lapsed.remove(&name);
        self.removed.remove(&name);
        self.entries.insert(name, known);
    }

    /// Records that all servers that were there before this host are known. A new incarnation counts as
    /// one that has started since.
    pub fn note_complete(&mut self) {
        self.is_complete = true;
    }

    // The cold times of an incarnation that this host has had a record of.
    fn cold_times(&self, life: &assignment::ServerIncarnation) -> Option<cold::ColdTimes> {
        let known = self.find_known(&life.server);
        let known = known.filter(|known| known.record.life == *life);
        let removed = self.removed.get(&life.server);
        let removed = removed.filter(|removed| removed.version.0 == life.born);
        let known = known.map(|known| known.cold);
        known.or_else(|| removed.map(|removed| removed.cold))
    }

    // The cold times of an incarnation whose first record is received at `now`.
    fn first_cold_times(&self, now: clock::MonoTime) -> cold::ColdTimes {
        let times = cold::ColdTimes::new();
        if self.is_complete {
            times.with_start(now)
        } else {
            times
        }
    }

    /// Applies the removal of a record. Soon after a failure of the store, a ready server stays in
    /// the directory for a while, so that it can register again.
    pub fn remove(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        let Some(known) = self.entries.remove(name) else {
            return;
        };
        let record = &known.record;
        let may_return = now < self.untrusted_until && record.state == ServerState::Ready;
        let removed = RemovedRecord {
            version: record.version(),
            at: now,
            may_return,
            cold: known.cold,
        };
        self.removed.insert(name.clone(), removed);
        if may_return {
            let until = now + self.reregistration_timeout;
            self.lapsed.insert(name.clone(), (known, until));
        }
    }

    /// Drops the record of a server that may not be its own. The server has not left.
    pub fn forget(&mut self, name: &names::ServerName) {
        self.entries.remove(name);
        self.lapsed.remove(name);
    }

    /// Returns the servers that have certainly left a short time ago.
    #[must_use]
    pub fn recently_removed(&self, now: clock::MonoTime) -> Vec<RemovedServer> {
        let reported = time::Duration::from_millis(REPORTED_REMOVAL_MS);
        let recent = self
            .removed
            .iter()
            .filter(|(_, removed)| !removed.may_return && now.since(removed.at) < reported);
        let servers = recent.map(|(name, removed)| {
            let (born, sequence) = removed.version;
            let server = name.clone();
            RemovedServer {
                life: assignment::ServerIncarnation { server, born },
                sequence,
            }
        });
        servers.collect()
    }

    /// Applies that a server has left, as another host knows it, unless a newer record of it is known.
    pub fn note_removed(&mut self, server: RemovedServer, now: clock::MonoTime) {
        let RemovedServer { life, sequence } = server;
        let cold = self.cold_times(&life).unwrap_or_default();
        let removed = RemovedRecord {
            version: (life.born, sequence),
            at: now,
            may_return: false,
            cold,
        };
        let known = self.find(&life.server).map(|record| record.version());
        let known = known.or_else(|| Some(self.removed.get(&life.server)?.version));
        if known.is_some_and(|known| known > removed.version) {
            return;
        }
        self.entries.remove(&life.server);
        self.lapsed.remove(&life.server);
        self.removed.insert(life.server, removed);
    }

    /// Replaces all records with a complete list.
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
            self.note(record, now);
        }
    }

    /// Records that the store could not be reached at `now`.
    pub fn note_store_lost(&mut self, now: clock::MonoTime) {
        self.untrusted_until = now + time::Duration::from_millis(UNTRUSTED_REMOVAL_MS);
    }

    /// Drops servers that did not register again in time; reports whether any was dropped.
    pub fn expire(&mut self, now: clock::MonoTime) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() != before
    }

    /// Returns all servers, including draining ones and those that have yet to register again.
    pub fn servers(&self) -> impl Iterator<Item = &sync::Arc<ServerRecord>> {
        self.known_servers().map(|known| &known.record)
    }

    /// Returns the same servers with what this host knows of them.
    pub fn known_servers(&self) -> impl Iterator<Item = &KnownServer> {
        let lapsed = self.lapsed.values().map(|(known, _)| known);
        self.entries.values().chain(lapsed)
    }

    /// Returns a hash of the registered servers, their incarnations and states.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3Default::new();
        for KnownServer { record, .. } in self.entries.values() {
            hasher.update(record.life.server.as_str().as_bytes());
            hasher.update(&record.life.born.to_le_bytes());
            hasher.update(&[u8::from(record.state == ServerState::Draining)]);
        }
        hasher.digest()
    }

    /// Returns the record of a server.
    #[must_use]
    pub fn find(&self, name: &names::ServerName) -> Option<&sync::Arc<ServerRecord>> {
        self.find_known(name).map(|known| &known.record)
    }

    fn find_known(&self, name: &names::ServerName) -> Option<&KnownServer> {
        let lapsed = || self.lapsed.get(name).map(|(known, _)| known);
        self.entries.get(name).or_else(lapsed)
    }
}
