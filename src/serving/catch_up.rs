//! Decides when this host requests store records from another host.
//!
//! A host normally gets all records from the store, or from the host that supplies it. It requests
//! them from another host where that source is out of reach, or where a waiting read returns late. It
//! has at most one request in flight, so the records that it receives do not grow with the number of
//! hosts.

use std::time;

use crate::clock;
use crate::serving::topic;

/// How long a host waits for its usual source to return a record that another host already has, in
/// milliseconds.
pub const STORE_WAIT_MS: u64 = 250;
/// Minimum interval between two requests of one host, in milliseconds.
pub const REQUEST_INTERVAL_MS: u64 = 500;

// Positions that other hosts' copies reach and this host's do not.
#[derive(Clone, Copy, Debug)]
struct RecordLag {
    ends: topic::TopicEnds,
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

    /// Records at which positions this host's copies end, and at which others' do.
    pub fn note_ends(
        &mut self,
        own: &topic::TopicEnds,
        newest: &topic::TopicEnds,
        now: clock::MonoTime,
    ) {
        self.lag = self.lag.filter(|lag| own.is_behind(&lag.ends));
        if self.lag.is_none() && own.is_behind(newest) {
            self.lag = Some(RecordLag {
                ends: *newest,
                since: now,
            });
        }
    }

    /// Reports whether a request is due at `now`. `store_lost` says whether the usual source of the
    /// records is out of reach.
    #[must_use]
    pub fn is_due(&self, store_lost: bool, now: clock::MonoTime) -> bool {
        if self.in_flight || now < self.next_at {
            return false;
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
