//! Limits the requests that arrive at a cold server, summed over all hosts, without messages between
//! them.
//!
//! Each host derives its quota from the registered hosts alone. Where there are more hosts than the
//! limit allows requests, a rendezvous hash selects a subset for each server, and each member has one
//! request. A request counts from when it is assigned until a second after it has certainly arrived,
//! so the sum of the quotas bounds the arrivals in any second, however long a request is on its way.
//!
//! The limit answers the load of many hosts that find a new server idle at the same moment.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::routing::specification;

/// How long an arrival counts, in milliseconds: the second to which the limit applies, and a part for
/// clocks that run at different rates.
pub const ARRIVAL_WINDOW_MS: u64 = 1_050;
/// Upper bound of the time that bytes are on their way after their connection was abandoned, in
/// milliseconds: packets wait for half a second each way on a full link.
pub const MAX_TRANSIT_MS: u64 = 500;
/// The allowed arrivals divided by this are kept free for hosts that other hosts do not know.
pub const MARGIN_DIVISOR: u32 = 4;
/// Upper bound of that margin, in hosts.
pub const MAX_MARGIN: u32 = 3;
/// How long a host sends nothing to cold servers after its registration was acknowledged, in
/// milliseconds. Meanwhile each host that sends has learned of it: a list is used for up to
/// [`LIST_GRACE_MS`] after it was last current, and a host two levels below the one that reads the store
/// notices after up to 6.5 s that its records are outdated.
pub const SETTLING_MS: u64 = 10_000;
/// How long the list of hosts is used after it was last known to be current, in milliseconds. Single
/// failed calls to the store do not stop the requests to cold servers.
pub const LIST_GRACE_MS: u64 = 2_000;
/// The longest remaining cold time that is accepted from a server, in milliseconds. A longer one is a
/// fault of the server.
pub const MAX_REMAINING_MS: f64 = 3_600_000.0;

/// Returns the remaining cold time that a server states in milliseconds; `None` where it is negative, not
/// finite or above [`MAX_REMAINING_MS`].
#[must_use]
pub fn remaining_time(millis: f64) -> Option<time::Duration> {
    let usable = (0.0..=MAX_REMAINING_MS).contains(&millis);
    usable.then(|| time::Duration::from_secs_f64(millis / 1_000.0))
}

/// The bound on the arrivals at a cold server in any second, as a function of its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    excess: f64,
    slack: f64,
}

impl ColdBounds {
    /// Creates the strictest bound: no more than the server's rate.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }

    /// Sets the factor on the server's rate.
    #[must_use]
    pub const fn with_excess(mut self, excess: f64) -> Self {
        self.excess = excess;
        self
    }

    /// Sets the number of requests beyond the rate.
    #[must_use]
    pub const fn with_slack(mut self, slack: f64) -> Self {
        self.slack = slack;
        self
    }

    /// Returns how many requests may arrive at a server in any second.
    #[must_use]
    pub fn allowed(&self, limit: &specification::ColdLimit) -> u32 {
        let allowed = limit.per_s() * self.excess + self.slack;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "within the range after the clamp"
        )]
        let whole = allowed.clamp(0.0, f64::from(u32::MAX)) as u32;
        whole
    }
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self::new()
    }
}

/// What a host knows of the cold times of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdTimes {
    // When this host first saw the incarnation, if that started during the host's own run.
    started: Option<clock::MonoTime>,
    // Until when the server stays cold by its records.
    stated: Option<clock::MonoTime>,
}

impl ColdTimes {
    /// Creates the times of a server that was there before this host.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            started: None,
            stated: None,
        }
    }

    /// Sets the time at which this host first saw the incarnation, which started during its own run.
    #[must_use]
    pub const fn with_start(mut self, started: clock::MonoTime) -> Self {
        self.started = Some(started);
        self
    }

    /// Applies the remaining cold time of a record that was received at `now`. Times only get later: a
    /// record may have been delayed on its way.
    #[must_use]
    pub fn with_remaining(mut self, remaining: time::Duration, now: clock::MonoTime) -> Self {
        if !remaining.is_zero() {
            self.stated = self.stated.max(Some(now + remaining));
        }
        self
    }

    /// Returns until when the server is cold; `None` where it was not cold since this host has known it.
    #[must_use]
    pub fn until(&self, limit: &specification::ColdLimit) -> Option<clock::MonoTime> {
        let started = self.started.map(|started| started + limit.duration);
        started.max(self.stated)
    }
}

/// Tells whether a host's list of the registered hosts is complete enough to derive a quota from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostListAge {
    registered: Option<clock::MonoTime>,
    current: Option<clock::MonoTime>,
}

impl HostListAge {
    /// Creates the state of a host that has yet to register.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            registered: None,
            current: None,
        }
    }

    /// Records that the store has acknowledged this host's registration.
    pub fn note_registered(&mut self, now: clock::MonoTime) {
        self.registered.get_or_insert(now);
    }

    /// Records that the list is current.
    pub fn note_current(&mut self, now: clock::MonoTime) {
        self.current = self.current.max(Some(now));
    }

    /// Reports whether the list names all hosts that may send to cold servers, and all those hosts know
    /// of this one.
    #[must_use]
    pub fn is_usable(&self, now: clock::MonoTime) -> bool {
        let settled = |since: clock::MonoTime| since + time::Duration::from_millis(SETTLING_MS);
        let grace = time::Duration::from_millis(LIST_GRACE_MS);
        self.registered.is_some_and(|since| now >= settled(since))
            && self.current.is_some_and(|at| now.since(at) < grace)
    }
}

/// Returns how many requests a host may have at a cold server, of the `allowed` ones of all hosts.
///
/// The sum over all hosts is at most `allowed` as long as each host's list lacks at most [`margin`] of
/// the hosts that send. Hosts in the list that send nothing only lower the sum.
#[must_use]
pub fn host_quota<'a>(
    allowed: u32,
    server: &names::ServerName,
    own: &names::HostName,
    others: impl ExactSizeIterator<Item = &'a names::HostName>,
) -> u32 {
    let margin = margin(allowed);
    let listed = u32::try_from(others.len()).map_or(u32::MAX, |others| others.saturating_add(1));
    let equal_share = allowed / listed.saturating_add(margin);
    if equal_share > 0 {
        return equal_share;
    }
    let seed = xxh3::xxh3_64(server.as_str().as_bytes());
    let place = |host: &'a names::HostName| place_of(seed, host);
    let own_place = place_of(seed, own);
    let rank = others.filter(|host| place(host) < own_place).count();
    let is_member = u32::try_from(rank).is_ok_and(|rank| rank < allowed - margin);
    u32::from(is_member)
}

fn place_of(seed: u64, host: &names::HostName) -> (u64, &str) {
    let name = host.as_str();
    (xxh3::xxh3_64_with_seed(name.as_bytes(), seed), name)
}

/// Returns how many hosts that send may be missing in the list of each host.
#[must_use]
pub fn margin(allowed: u32) -> u32 {
    (allowed / MARGIN_DIVISOR).min(MAX_MARGIN)
}

/// A cold server, and how many requests one host may have at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdShare {
    /// Until when the server is cold.
    pub until: clock::MonoTime,
    /// How many requests of the host may arrive at the server in any second.
    pub quota: u32,
}

/// The cold servers as one host knows them, by name.
pub type ColdServers = collections::BTreeMap<names::ServerName, ColdShare>;

/// How an attempt at a server ended, as far as its arrival is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalEnd {
    /// The server responded, so the request has arrived.
    Arrived,
    /// The request may still be on its way.
    Unknown,
    /// The request did not arrive, or the server refused it as not being its own.
    NotCounted,
}

/// The requests of one host to one server that have ended and still count as arrivals.
#[derive(Clone, Debug, Default)]
pub struct ArrivalWindow {
    // Until when each counts, earliest first.
    until: collections::VecDeque<clock::MonoTime>,
}

impl ArrivalWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an attempt ended at `now`.
    pub fn note_end(&mut self, end: ArrivalEnd, now: clock::MonoTime) {
        let millis = match end {
            ArrivalEnd::Arrived => ARRIVAL_WINDOW_MS,
            ArrivalEnd::Unknown => ARRIVAL_WINDOW_MS + MAX_TRANSIT_MS,
            ArrivalEnd::NotCounted => return,
        };
        while self.until.front().is_some_and(|until| *until <= now) {
            self.until.pop_front();
        }
        let until = now + time::Duration::from_millis(millis);
        let place = self.until.partition_point(|known| *known <= until);
        self.until.insert(place, until);
    }

    /// Returns the number of requests that count at `now`, of which `running` have yet to end.
    #[must_use]
    pub fn count(&self, running: u32, now: clock::MonoTime) -> u32 {
        let counted = self.until.len() - self.until.partition_point(|until| *until <= now);
        u32::try_from(counted).map_or(u32::MAX, |counted| running.saturating_add(counted))
    }

    /// Returns for how long the quota is used up, where `running` requests take `service_ms` each.
    #[must_use]
    pub fn wait(
        &self,
        quota: u32,
        running: u32,
        service_ms: f64,
        now: clock::MonoTime,
    ) -> time::Duration {
        let count = self.count(running, now);
        if count < quota {
            return time::Duration::ZERO;
        }
        // So many must no longer count before there is room for one more.
        let excess = usize::try_from(count - quota).unwrap_or(usize::MAX);
        let first = self.until.partition_point(|until| *until <= now);
        let known = self.until.get(first.saturating_add(excess));
        known.map_or_else(|| period(service_ms), |until| until.since(now))
    }
}

/// Returns the time for which one request counts, where the server takes `service_ms` for it.
#[must_use]
pub fn period(service_ms: f64) -> time::Duration {
    let service = time::Duration::try_from_secs_f64(service_ms / 1_000.0).unwrap_or_default();
    service + time::Duration::from_millis(ARRIVAL_WINDOW_MS)
}
