//! A host's share of a server, and the token by which it sends where the share is below one request.
//!
//! The load that this answers: many hosts, each with a request now and then for a server with a few slots.
//! Where all hosts together want more than the server's room, a host's share in proportion to demand may
//! be below one request. The host then starts requests at the rate `share / service time`: a token fills
//! at this rate while the host has demand, each start takes one, and it holds at most one. The rates of all
//! hosts add up to what the server completes.

use std::sync;

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;
use crate::serving::view;

/// Number of hosts, for each of a server's slots, that may have one request each at the server while all hosts
/// together want more than its room. Hosts with at least this part of the demand are that few; the requests
/// beyond the slots wait in the server's own queue. Without it, three busy hosts kept servers 71 % busy instead
/// of 82 %; with 2.5, 3.3 of 100 requests found a server full instead of 1.1 (`tests/shares.rs`, load 1.5).
pub const UNMETERED_HOSTS_PER_SLOT: f64 = 2.0;

/// Time in which a fall of demand is taken over by half, in milliseconds: the interval of the totals. Without
/// this, three busy hosts kept servers 82 % busy instead of 93 % (`tests/shares.rs`, load 1.5): their shares
/// varied with each request that came or ended.
pub const DEMAND_HALF_LIFE_MS: f64 = 250.0;

/// The demand for one server, which rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDemand {
    /// The demand of this host.
    pub own: f64,
    /// The demand of the other hosts.
    pub others: f64,
    noted_at: Option<clock::MonoTime>,
}

impl SmoothedDemand {
    /// Creates the state of a server that no host uses.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            own: 0.0,
            others: 0.0,
            noted_at: None,
        }
    }

    /// Records the demand at `now`, which may be earlier than the last one.
    pub fn note(&mut self, own: f64, others: f64, now: clock::MonoTime) {
        let since = self.noted_at.unwrap_or(now);
        self.noted_at = Some(since.max(now));
        let elapsed_ms = scheduler::millis(now.since(since));
        let kept = (-elapsed_ms / DEMAND_HALF_LIFE_MS).exp2();
        self.own = own.max(self.own * kept);
        self.others = others.max(self.others * kept);
    }
}

/// What a host may send to a server concurrently, relative to the demand of all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerShare {
    room: f64,
    share: f64,
    left_over: f64,
    has_few_hosts: bool,
}

impl ServerShare {
    /// Creates the share of a host that wants `own` requests at a server with `room`, while the other hosts
    /// want `others`.
    #[must_use]
    pub fn new(room: f64, own: f64, others: f64) -> Self {
        let total = own + others;
        let share = if total > 0.0 {
            room * own / total
        } else {
            room
        };
        Self {
            room,
            share,
            left_over: room - others,
            has_few_hosts: false,
        }
    }

    /// Sets whether there are no more hosts than may have one request each at the server. Then no host sends
    /// by its token.
    #[must_use]
    pub const fn with_few_hosts(mut self, has_few_hosts: bool) -> Self {
        self.has_few_hosts = has_few_hosts;
        self
    }

    /// Returns how many requests the host may have running: the room that the other hosts' demand leaves,
    /// or its share in proportion to demand where that is more. It is below one only where many hosts want
    /// more than the room.
    #[must_use]
    pub fn limit(&self) -> f64 {
        let limit = self.share.max(self.left_over).min(self.room.max(1.0));
        let least = scheduler::REQUESTS_PER_SLOT / UNMETERED_HOSTS_PER_SLOT;
        if limit < least && !self.has_few_hosts {
            limit
        } else {
            limit.max(1.0)
        }
    }

    /// Reports whether the host sends by its token, since its limit is below one request.
    #[must_use]
    pub fn is_metered(&self) -> bool {
        self.limit() < 1.0
    }

    /// Returns how many requests a millisecond the host may start while it is metered.
    #[must_use]
    pub fn rate_per_ms(&self, service_ms: f64) -> f64 {
        self.limit() / service_ms.max(1.0)
    }
}

/// The token by which a host sends to one server. It is full at 1.
#[derive(Clone, Copy, Debug)]
pub struct ShareToken {
    level: f64,
    filled_at: Option<clock::MonoTime>,
}

impl ShareToken {
    /// Creates a token with a level between an equal part of the room and 1. The level depends on the names
    /// alone and differs between hosts, so that hosts that start together do not send together.
    #[must_use]
    pub fn new(host: &str, server: &names::ServerName, room: f64, hosts: usize) -> Self {
        let equal_part = room / scheduler::to_f64(hosts.max(1));
        let seed = xxh3::xxh3_64(host.as_bytes());
        let bits = xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), seed) >> 32;
        let by_chance = u32::try_from(bits).map_or(0.0, f64::from) / f64::from(u32::MAX);
        Self {
            level: by_chance.max(equal_part).min(1.0),
            filled_at: None,
        }
    }

    /// Adds what has accrued since the last call at this rate.
    pub fn fill(&mut self, rate_per_ms: f64, now: clock::MonoTime) {
        let since = self.filled_at.replace(now).unwrap_or(now);
        let elapsed_ms = scheduler::millis(now.since(since));
        self.level = (self.level + elapsed_ms * rate_per_ms).min(1.0);
    }

    /// Takes what one start costs.
    pub fn draw(&mut self) {
        self.level -= 1.0;
    }

    /// Reports whether a request may start. One that is `overdue` may start before the token is full; the
    /// requests after it wait longer.
    #[must_use]
    pub fn allows(&self, overdue: bool) -> bool {
        let needed = if overdue { 0.0 } else { 1.0 };
        self.level >= needed
    }

    /// Returns the time until the token has allowed `starts` requests, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, starts: f64, rate_per_ms: f64) -> f64 {
        (starts - self.level).max(0.0) / rate_per_ms
    }
}

// How soon requests without keys may start at a server.
pub(super) struct PoolStarts {
    // How many at once; a token that is not full counts in part.
    pub(super) open: f64,
    // How many a millisecond after that.
    pub(super) rate_per_ms: f64,
    // When the first may start, where the host sends by its token.
    pub(super) first_ms: f64,
}

impl scheduler::RequestScheduler {
    // The share of this host, which counts as having at least one request for the server.
    pub(super) fn share(&self, server: &tracked_server::TrackedServer) -> ServerShare {
        let own = server.demand().max(server.smoothed.own);
        self.share_for(server, own.max(1.0))
    }

    fn share_for(&self, server: &tracked_server::TrackedServer, own: f64) -> ServerShare {
        let others = server.other_demand(&self.view, own);
        let share = ServerShare::new(server.room(), own, others.max(server.smoothed.others));
        share.with_few_hosts(server.has_few_hosts(&self.view))
    }

    /// Returns the number of servers at which this host has demand and its share is below one request.
    #[must_use]
    pub fn metered_servers(&self) -> i64 {
        let servers = self.servers.values();
        let metered =
            servers.filter(|server| server.demand() > 0.0 && self.share(server).is_metered());
        i64::try_from(metered.count()).unwrap_or(i64::MAX)
    }

    // How soon requests without keys may start at a server.
    pub(super) fn pool_starts(
        &self,
        server: &tracked_server::TrackedServer,
        now: clock::MonoTime,
    ) -> PoolStarts {
        let service_ms = server.momentary_ms(now);
        let share = self.share(server);
        if !share.is_metered() {
            return PoolStarts {
                open: share.limit() - f64::from(server.running),
                rate_per_ms: share.rate_per_ms(service_ms),
                first_ms: 0.0,
            };
        }
        let own = server.demand().max(server.smoothed.own);
        let own = own.max(server.pool_unit);
        let rate_per_ms = self.share_for(server, own).rate_per_ms(service_ms);
        PoolStarts {
            open: server.token.level,
            rate_per_ms,
            first_ms: server.token.wait_ms(1.0, rate_per_ms),
        }
    }

    // Counts the requests that wait for any server of a service in equal parts at each of this host's subset.
    pub(super) fn note_pool_waiting(&mut self, service: &names::ServiceName, now: clock::MonoTime) {
        let queue = self.queues.get(service);
        let waiting = queue.map_or(0, scheduler::ServiceQueue::waiting_without_key);
        if queue.is_none_or(|queue| !queue.has_pool) {
            return;
        }
        let servers = self.servers.values_mut();
        let pool: Vec<_> = servers
            .filter(|server| server.listed && server.record.service == *service)
            .collect();
        let used = pool.iter().filter(|server| server.in_subset).count();
        let unit = 1.0 / scheduler::to_f64(used.max(1));
        for server in pool {
            server.fill_token(&self.view, now);
            server.pool_unit = unit;
            server.pool_part = if server.in_subset {
                f64::from(waiting) * unit
            } else {
                0.0
            };
        }
    }

    // Reports whether a waiting request may be sent to a server now. A retry that has waited for a service
    // time is overdue: new requests that take each token must not keep it back until its deadline.
    pub(super) fn has_room(
        &self,
        server: &tracked_server::TrackedServer,
        waiting: &scheduler::Waiting,
        now: clock::MonoTime,
    ) -> bool {
        let share = self.share(server);
        let is_full = f64::from(server.running) + 1.0 > share.limit().max(1.0);
        if is_full || !self.is_within_quota(server, now) {
            return false;
        }
        let waited_ms = scheduler::millis(now.since(waiting.since));
        let is_overdue = waiting.request.is_retry && waited_ms >= server.service_ms();
        !share.is_metered() || server.token.allows(is_overdue)
    }

    // Fills the tokens of the servers of a service that this host has requests for. The others' tokens do not
    // change.
    pub(super) fn fill_tokens(&mut self, service: &names::ServiceName, now: clock::MonoTime) {
        let servers = self.servers.values_mut();
        let used = servers.filter(|s| s.record.service == *service && s.demand() > 0.0);
        for server in used {
            server.fill_token(&self.view, now);
        }
    }

    // Records the totals of the other hosts of the view, also for servers that this host does not use at the
    // moment: a request that comes soon must know that they were high.
    pub(super) fn note_totals(&mut self) {
        let view = &self.view;
        for server in self.servers.values_mut() {
            let own = server.demand();
            let others = server.other_demand(view, own);
            server.smoothed.note(own, others, view.published_at);
        }
    }

    // Fills the token of the server of a request, before the demand for it changes.
    pub(super) fn fill_owner_token(
        &mut self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) {
        let view = sync::Arc::clone(&self.view);
        if let Some(server) = self.owner_server(request) {
            server.fill_token(&view, now);
        }
    }

    // Counts a request as running at a server.
    pub(super) fn start(&mut self, name: &names::ServerName, now: clock::MonoTime) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let is_metered = self.share(server).is_metered();
        if let Some(server) = self.servers.get_mut(name) {
            server.fill_token(&self.view, now);
            server.running += 1;
            server.load.note_start(now);
            if is_metered {
                server.token.draw();
            }
        }
    }
}

impl tracked_server::TrackedServer {
    // Reports whether there are no more hosts than may have one request each at the server.
    pub(super) fn has_few_hosts(&self, view: &view::ServingView) -> bool {
        let few = f64::from(self.record.slots) * UNMETERED_HOSTS_PER_SLOT;
        scheduler::to_f64(view.hosts) <= few
    }

    // The demand of the other hosts. Where it is not known, a few hosts cannot overload the server, and each
    // of many counts as wanting what this host wants.
    fn other_demand(&self, view: &view::ServingView, own: f64) -> f64 {
        if !view.is_demand_known && self.has_few_hosts(view) {
            return 0.0;
        }
        view.other_demand(&self.record.life.server, own)
    }

    // Fills the token with what has accrued since the last call. It is called before the demand changes.
    pub(super) fn fill_token(&mut self, view: &view::ServingView, now: clock::MonoTime) {
        let own = self.demand();
        let others = self.other_demand(view, own);
        self.smoothed.note(own, others, now);
        let share = ServerShare::new(self.room(), self.smoothed.own, self.smoothed.others);
        let share = share.with_few_hosts(self.has_few_hosts(view));
        let rate_per_ms = if own > 0.0 && share.is_metered() {
            share.rate_per_ms(self.service_ms())
        } else {
            0.0
        };
        self.token.fill(rate_per_ms, now);
    }
}
