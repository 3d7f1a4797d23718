//! Estimates how long a request would wait, and refuses those that would wait too long.

use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;
use crate::serving::view;

impl scheduler::RequestScheduler {
    /// Returns the expected wait of a request, at most 60 s: when a refused caller may retry.
    #[must_use]
    pub fn expected_wait(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> time::Duration {
        time::Duration::from_secs_f64(self.wait_ms(request, now).clamp(0.0, 60_000.0) / 1_000.0)
    }

    // Refuses a request that would wait too long. One that can still meet its objective must be
    // expected to meet it; one that cannot may wait for a small fraction of the time left.
    pub(super) fn check_wait(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> Result<(), scheduler::SchedulerRefusal> {
        let service = self.service_ms(&request.service);
        let left = scheduler::millis(request.deadline.since(now));
        if left < service * scheduler::MIN_START_FRACTION {
            return Err(scheduler::SchedulerRefusal::TooLate);
        }
        let wait = self.wait_ms(request, now);
        if self.ends_before(wait, service, now) {
            return Err(scheduler::SchedulerRefusal::Stopping);
        }
        if wait.is_infinite() {
            return Err(scheduler::SchedulerRefusal::NoServer);
        }
        if wait > request.accepted_wait_ms(service, now) {
            return Err(self.long_wait_refusal(request, now));
        }
        Ok(())
    }

    // The expected wait of a new request, in milliseconds; infinite where no server is available.
    fn wait_ms(&self, request: &scheduler::DispatchRequest, now: clock::MonoTime) -> f64 {
        let ahead = match request
            .key
            .map(|key| self.view.owner(&request.service, key))
        {
            None => self.ahead(request, |other| other.key.is_none()),
            Some(view::KeyOwner::Server(owner)) => self.ahead(request, |other| {
                other.key.is_some() && self.is_owner(other, owner)
            }),
            Some(_) => 0.0,
        };
        self.wait_behind_ms(request, ahead, now)
    }

    // The expected wait of a request behind `ahead` others that wait for the same servers.
    pub(super) fn wait_behind_ms(
        &self,
        request: &scheduler::DispatchRequest,
        ahead: f64,
        now: clock::MonoTime,
    ) -> f64 {
        match request.key {
            Some(key) => self.keyed_wait_ms(request, key, ahead, now),
            None => self.pool_wait_ms(request, ahead, now),
        }
    }

    fn keyed_wait_ms(
        &self,
        request: &scheduler::DispatchRequest,
        key: u16,
        ahead: f64,
        now: clock::MonoTime,
    ) -> f64 {
        let incarnation = match self.view.owner(&request.service, key) {
            view::KeyOwner::Server(incarnation) => incarnation,
            view::KeyOwner::Moving(range) if self.view.ages.is_overdue(range, now) => {
                return f64::INFINITY;
            }
            // Moves are short; requests wait until they end.
            view::KeyOwner::Moving(_) => return 0.0,
            view::KeyOwner::None => return f64::INFINITY,
        };
        let Some(server) = self.servers.get(&incarnation.server) else {
            return f64::INFINITY;
        };
        if !server.accepts_keyed(incarnation, now) {
            return f64::INFINITY;
        }
        let limit = self.limit(server);
        let queued = ahead + f64::from(server.running) - limit + 1.0;
        let wait_ms = (queued.max(0.0) / limit) * server.service_ms();
        wait_ms.max(self.cold_wait_ms(server, ahead, now))
    }

    fn pool_wait_ms(
        &self,
        request: &scheduler::DispatchRequest,
        ahead: f64,
        now: clock::MonoTime,
    ) -> f64 {
        let servers = self.servers.values();
        let usable: Vec<_> = servers
            .filter(|server| self.is_usable(server, request, now))
            .collect();
        if usable.is_empty() {
            let closed = self.closed_pool_wait_ms(request, now);
            return closed.unwrap_or(f64::INFINITY);
        }
        let capacities = usable.iter().map(|server| self.capacity(server, now));
        let (room, rate) = capacities.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let running: u32 = usable.iter().map(|server| server.running).sum();
        let queued = ahead + f64::from(running) - room + 1.0;
        queued.max(0.0) / rate
    }

    // The number of matching requests that are ahead of `request` in the queue.
    fn ahead(
        &self,
        request: &scheduler::DispatchRequest,
        matches: impl Fn(&scheduler::DispatchRequest) -> bool,
    ) -> f64 {
        let Some(queue) = self.queues.get(&request.service) else {
            return 0.0;
        };
        let before = queue
            .entries
            .range(..(request.priority + 1, scheduler::WaitTicket(0)));
        scheduler::to_f64(
            before
                .filter(|(_, waiting)| matches(&waiting.request))
                .count(),
        )
    }

    fn is_owner(
        &self,
        request: &scheduler::DispatchRequest,
        incarnation: &assignment::ServerIncarnation,
    ) -> bool {
        let owner = request
            .key
            .map(|key| self.view.owner(&request.service, key));
        matches!(owner, Some(view::KeyOwner::Server(owner)) if owner == incarnation)
    }

    /// Returns the mean service time of a service's servers, in milliseconds.
    #[must_use]
    pub fn service_ms(&self, service: &names::ServiceName) -> f64 {
        let servers = self.servers.values();
        let ours = servers.filter(|server| server.record.service == *service);
        let known: Vec<f64> = ours
            .filter_map(|server| server.estimate.service_ms())
            .collect();
        if known.is_empty() {
            return scheduler::ASSUMED_SERVICE_MS;
        }
        known.iter().sum::<f64>() / scheduler::to_f64(known.len())
    }

    // How many requests this host may have running at a server: the room that the other hosts'
    // demand leaves, or its share in proportion to demand where that is more.
    pub(super) fn limit(&self, server: &tracked_server::TrackedServer) -> f64 {
        let room = f64::from(server.record.slots) * scheduler::REQUESTS_PER_SLOT;
        let others = self.view.demand.get(&server.record.life.server);
        let others = others.copied().unwrap_or(0.0);
        let own = f64::from(server.running + server.waiting).max(1.0);
        let share = room * own / (own + others);
        share.max(room - others).clamp(1.0, room.max(1.0))
    }
}
