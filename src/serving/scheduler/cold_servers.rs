//! Keeps the requests to cold servers within this host's part of what they can bear.

use crate::clock;
use crate::serving::cold;
use crate::serving::estimate;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;
use crate::serving::view;

/// How a server is used at one moment, as far as it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ColdUse {
    Warm,
    // It is cold until a time, and takes so many requests of this host in any second.
    Cold(clock::MonoTime, u32),
}

impl scheduler::RequestScheduler {
    pub(super) fn cold_use(
        &self,
        server: &tracked_server::TrackedServer,
        now: clock::MonoTime,
    ) -> ColdUse {
        let share = self.view.cold.get(&server.record.life.server);
        let Some(share) = share.filter(|share| now < share.until) else {
            return ColdUse::Warm;
        };
        // Other hosts take the part of one that stops as soon as they learn of it.
        let quota = if self.ends_at.is_some() {
            0
        } else {
            share.quota
        };
        ColdUse::Cold(share.until, quota)
    }

    pub(super) fn is_warm(
        &self,
        server: &tracked_server::TrackedServer,
        now: clock::MonoTime,
    ) -> bool {
        self.cold_use(server, now) == ColdUse::Warm
    }

    // Whether the server is ready for a request without a key, now or once others have ended.
    pub(super) fn is_usable(
        &self,
        server: &tracked_server::TrackedServer,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> bool {
        server.accepts(&request.service, now) && !self.is_closed(server, now)
    }

    // Whether the server is cold and takes no requests of this host.
    fn is_closed(&self, server: &tracked_server::TrackedServer, now: clock::MonoTime) -> bool {
        matches!(self.cold_use(server, now), ColdUse::Cold(_, 0))
    }

    // Whether one more request may be sent to the server.
    pub(super) fn has_room(
        &self,
        server: &tracked_server::TrackedServer,
        now: clock::MonoTime,
    ) -> bool {
        let is_within_quota = match self.cold_use(server, now) {
            ColdUse::Warm => true,
            ColdUse::Cold(_, quota) => server.arrivals.count(server.running, now) < quota,
        };
        is_within_quota && f64::from(server.running) + 1.0 <= self.limit(server)
    }

    // How many requests this host may have running at a server, and how many it can send there in a
    // millisecond.
    pub(super) fn capacity(
        &self,
        server: &tracked_server::TrackedServer,
        now: clock::MonoTime,
    ) -> (f64, f64) {
        let limit = self.limit(server);
        let rate = limit / server.service_ms();
        let ColdUse::Cold(_, quota) = self.cold_use(server, now) else {
            return (limit, rate);
        };
        let ended = server.arrivals.count(0, now);
        let room = f64::from(quota.saturating_sub(ended)).min(limit);
        let period_ms = scheduler::millis(cold::period(server.service_ms()));
        (room, rate.min(f64::from(quota) / period_ms))
    }

    // The wait for a cold server's quota behind `ahead` other requests, in milliseconds: the server may
    // become warm earlier. 0 for a warm server.
    pub(super) fn cold_wait_ms(
        &self,
        server: &tracked_server::TrackedServer,
        ahead: f64,
        now: clock::MonoTime,
    ) -> f64 {
        let ColdUse::Cold(until, quota) = self.cold_use(server, now) else {
            return 0.0;
        };
        let left_ms = scheduler::millis(until.since(now));
        if quota == 0 {
            return left_ms;
        }
        let service_ms = server.service_ms();
        let next = server.arrivals.wait(quota, server.running, service_ms, now);
        let period_ms = scheduler::millis(cold::period(service_ms));
        let behind_ms = (ahead / f64::from(quota)).floor() * period_ms;
        (scheduler::millis(next) + behind_ms).min(left_ms)
    }

    // The time until the first server becomes warm of those that are ready but closed to this host, in
    // milliseconds.
    pub(super) fn closed_pool_wait_ms(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> Option<f64> {
        let servers = self.servers.values();
        let closed = servers
            .filter(|server| server.accepts(&request.service, now) && self.is_closed(server, now));
        let waits = closed.map(|server| self.cold_wait_ms(server, 0.0, now));
        waits.min_by(f64::total_cmp)
    }

    // Why a request that would wait too long is refused.
    pub(super) fn long_wait_refusal(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> scheduler::SchedulerRefusal {
        let owner = match request
            .key
            .map(|key| self.view.owner(&request.service, key))
        {
            Some(view::KeyOwner::Server(owner)) => self.servers.get(&owner.server),
            _ => None,
        };
        let is_cold = match (request.key, owner) {
            (Some(_), Some(owner)) => !self.is_warm(owner, now),
            (Some(_), None) => false,
            (None, _) => {
                let mut servers = self.servers.values();
                !servers.any(|server| {
                    server.accepts(&request.service, now) && self.is_warm(server, now)
                })
            }
        };
        if is_cold {
            return scheduler::SchedulerRefusal::ColdServer;
        }
        scheduler::SchedulerRefusal::Crowded
    }

    // The refusal of a request that waits for a cold server beyond its objective, if it does.
    pub(super) fn cold_refusal(
        &self,
        waiting: &scheduler::Waiting,
        wait_ms: f64,
        now: clock::MonoTime,
    ) -> Option<scheduler::SchedulerRefusal> {
        let service_ms = self.service_ms(&waiting.request.service);
        let accepted_ms = waiting.request.accepted_wait_ms(service_ms, now);
        (wait_ms > accepted_ms).then_some(scheduler::SchedulerRefusal::ColdServer)
    }
}

impl scheduler::DispatchRequest {
    // The longest wait that is accepted, in milliseconds. A request that can still meet its objective
    // must be expected to meet it; one that cannot may wait for a small fraction of the time left.
    pub(super) fn accepted_wait_ms(&self, service_ms: f64, now: clock::MonoTime) -> f64 {
        let room = scheduler::millis(self.objective.since(now)) - service_ms;
        let left = scheduler::millis(self.deadline.since(now));
        room.max(left * scheduler::LATE_WAIT_FRACTION)
    }
}

impl tracked_server::TrackedServer {
    // Records the end of an attempt. A connection that broke may have left its request on the way.
    pub(super) fn note_arrival_end(&mut self, end: estimate::ExchangeEnd, now: clock::MonoTime) {
        let end = match end {
            estimate::ExchangeEnd::Answered
            | estimate::ExchangeEnd::Failed
            | estimate::ExchangeEnd::Full => cold::ArrivalEnd::Arrived,
            estimate::ExchangeEnd::Broken | estimate::ExchangeEnd::Cancelled => {
                cold::ArrivalEnd::Unknown
            }
            estimate::ExchangeEnd::Unsent | estimate::ExchangeEnd::WrongServer => {
                cold::ArrivalEnd::NotCounted
            }
        };
        self.arrivals.note_end(end, now);
    }
}
