//! Decides when this host requests store records from another host.
//!
//! A host normally reads all records from the store. It requests them from another host where the
//! store rejects its calls, or where a waiting read returns late. It has at most one request in
//! flight, so the records that it receives do not grow with the number of hosts.

use std::time;

use crate::clock;

/// How long a host waits for the store to return a record that another host already has, in
/// milliseconds.
pub const STORE_WAIT_MS: u64 = 250;
/// Minimum interval between two requests of one host, in milliseconds.
pub const REQUEST_INTERVAL_MS: u64 = 500;

/// The newest store records that a host has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordVersions {
    /// The version of the routes, 0 for none.
    pub routes: u64,
    /// The offset at which the log of the assignment table ends.
    pub table_end: u64,
}

impl RecordVersions {
    /// Returns the newer version of each record.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            routes: self.routes.max(other.routes),
            table_end: self.table_end.max(other.table_end),
        }
    }

    /// Reports whether `other` has a newer version of any record.
    #[must_use]
    pub const fn is_behind(self, other: Self) -> bool {
        self.routes < other.routes || self.table_end < other.table_end
    }
}

// Versions that other hosts have and this host lacks.
#[derive(Clone, Copy, Debug)]
struct RecordLag {
    versions: RecordVersions,
    since: clock::MonoTime,
}

/// The requests of one host for store records.
#[derive(Debug, Default)]
pub struct CatchUpState {
    lag: Option<RecordLag>,
    in_flight: bool,
    next_at: clock::MonoTime,
    failures: u64,
}

impl CatchUpState {
    /// Creates the state of a host that has requested nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records which versions this host has and which are known to exist.
    pub fn note_versions(
        &mut self,
        own: RecordVersions,
        newest: RecordVersions,
        now: clock::MonoTime,
    ) {
        self.lag = self.lag.filter(|lag| own.is_behind(lag.versions));
        if self.lag.is_none() && own.is_behind(newest) {
            self.lag = Some(RecordLag {
                versions: newest,
                since: now,
            });
        }
    }

    /// Reports whether a request is due at `now`. `store_lost` says whether the store rejects this
    /// host, `servers_differ` whether another host knows other servers.
    #[must_use]
    pub fn is_due(&self, store_lost: bool, servers_differ: bool, now: clock::MonoTime) -> bool {
        if self.in_flight || now < self.next_at {
            return false;
        }
        if store_lost && servers_differ {
            return true;
        }
        let wait = time::Duration::from_millis(STORE_WAIT_MS);
        self.lag
            .is_some_and(|lag| store_lost || now >= lag.since + wait)
    }

    /// Records that a request was sent.
    pub fn note_sent(&mut self, now: clock::MonoTime) {
        self.in_flight = true;
        self.next_at = now + time::Duration::from_millis(REQUEST_INTERVAL_MS);
    }

    /// Records that a request has ended, and whether it was answered.
    pub fn note_ended(&mut self, is_answered: bool) {
        self.in_flight = false;
        self.failures = if is_answered { 0 } else { self.failures + 1 };
    }

    /// Returns the number of requests that have failed since the last answered one.
    #[must_use]
    pub const fn failures(&self) -> u64 {
        self.failures
    }
}
