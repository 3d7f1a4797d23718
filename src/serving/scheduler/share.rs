//! A host's share of a server, and the token by which it sends where the share is below one request.
//!
//! The load that this answers: many hosts, each with a request now and then for a server with a few slots.
//! Where all hosts together want more than the server's room, a host's share in proportion to demand may
//! be below one request. The host then starts requests at the rate `share / service time`: a token fills
//! at this rate while the host has demand, each start takes one, and it holds at most one. The rates of all
//! hosts add up to what the server completes.

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;

/// Number of hosts, for each of a server's slots, that may have one request each at the server while all hosts
/// together want more than its room. Hosts with at least this part of the demand are that few; the requests
/// beyond the slots wait in the server's own queue. Without it, servers with three busy hosts were 71 % busy
/// instead of 93 % (`tests/shares.rs`, load 1.5).
pub const UNMETERED_HOSTS_PER_SLOT: f64 = 2.0;

/// Time in which a fall of demand is taken over by half, in milliseconds: the interval of the totals. Refused
/// requests are in no total, so totals fall when hosts refuse; without this, all hosts then sent at once.
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

    /// Records the present demand.
    pub fn note(&mut self, own: f64, others: f64, now: clock::MonoTime) {
        let since = self.noted_at.replace(now).unwrap_or(now);
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
        }
    }

    /// Returns how many requests the host may have running: the room that the other hosts' demand leaves,
    /// or its share in proportion to demand where that is more. It is below one only where many hosts want
    /// more than the room.
    #[must_use]
    pub fn limit(&self) -> f64 {
        let limit = self.share.max(self.left_over).min(self.room.max(1.0));
        let least = scheduler::REQUESTS_PER_SLOT / UNMETERED_HOSTS_PER_SLOT;
        if limit < least { limit } else { limit.max(1.0) }
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

impl scheduler::RequestScheduler {
    // The share of this host, which counts as having at least one request for the server.
    pub(super) fn share(&self, server: &tracked_server::TrackedServer) -> ServerShare {
        let own = server.demand().max(server.smoothed.own);
        self.share_for(server, own.max(1.0))
    }

    fn share_for(&self, server: &tracked_server::TrackedServer, own: f64) -> ServerShare {
        let others = self.view.other_demand(&server.record.life.server, own);
        ServerShare::new(server.room(), own, others.max(server.smoothed.others))
    }

    // How many requests without keys this host may start at a server at once, and how many a millisecond
    // after that.
    pub(super) fn pool_starts(&self, server: &tracked_server::TrackedServer) -> (f64, f64) {
        let service_ms = server.service_ms();
        let share = self.share(server);
        if !share.is_metered() {
            let open = share.limit() - f64::from(server.running);
            return (open, share.rate_per_ms(service_ms));
        }
        let open = if server.token.allows(false) { 1.0 } else { 0.0 };
        let own = server.demand().max(server.smoothed.own);
        let own = own.max(server.pool_unit);
        let rate = self.share_for(server, own).rate_per_ms(service_ms);
        (open, rate)
    }

    // Counts the requests that wait for any server of a service in equal parts at each.
    pub(super) fn note_pool_waiting(&mut self, service: &names::ServiceName) {
        let queue = self.queues.get(service);
        let waiting = queue.map_or(0, scheduler::ServiceQueue::waiting_without_key);
        let servers = self.servers.values_mut();
        let pool: Vec<_> = servers
            .filter(|server| server.listed && server.record.service == *service)
            .collect();
        let unit = 1.0 / scheduler::to_f64(pool.len().max(1));
        for server in pool {
            server.pool_unit = unit;
            server.pool_part = f64::from(waiting) * unit;
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

    // Fills the tokens of the servers that `matches`. It is called before the demand for them changes.
    pub(super) fn fill_tokens(
        &mut self,
        matches: impl Fn(&tracked_server::TrackedServer) -> bool,
        now: clock::MonoTime,
    ) {
        let view = &self.view;
        for server in self.servers.values_mut().filter(|server| matches(server)) {
            let own = server.demand();
            let others = view.other_demand(&server.record.life.server, own);
            server.smoothed.note(own, others, now);
            let smoothed = &server.smoothed;
            let share = ServerShare::new(server.room(), smoothed.own, smoothed.others);
            let rate = if own > 0.0 && share.is_metered() {
                share.rate_per_ms(server.service_ms())
            } else {
                0.0
            };
            server.token.fill(rate, now);
        }
    }

    pub(super) fn fill_owner_token(
        &mut self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) {
        if let Some(server) = self.owner_server(request) {
            let incarnation = server.record.life.clone();
            self.fill_tokens(|server| server.record.life == incarnation, now);
        }
    }

    // Counts a request as running at a server.
    pub(super) fn start(&mut self, name: &names::ServerName) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let is_metered = self.share(server).is_metered();
        if let Some(server) = self.servers.get_mut(name) {
            server.running += 1;
            if is_metered {
                server.token.draw();
            }
        }
    }
}
