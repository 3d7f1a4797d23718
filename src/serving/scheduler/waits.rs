//! How long a request would wait, and whether it may.

use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::scheduler;
use crate::serving::scheduler::lane;
use crate::serving::view;

impl scheduler::RequestScheduler {
    /// Returns the time until room is likely, for a request that was refused.
    #[must_use]
    pub fn expected_wait(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> time::Duration {
        time::Duration::from_secs_f64(self.wait_ms(request, now).clamp(0.0, 60_000.0) / 1_000.0)
    }

    // Refuses what would wait too long. A request that can still meet its objective must meet it;
    // one that cannot may only take room that is free.
    pub(super) fn check_wait(
        &self,
        request: &scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> Result<(), scheduler::SchedulerRefusal> {
        let service = self.service_ms(&request.service);
        let left = scheduler::millis(request.deadline.since(now));
        if left < service * scheduler::START_PART {
            return Err(scheduler::SchedulerRefusal::TooLate);
        }
        let wait = self.wait_ms(request, now);
        if wait.is_infinite() {
            return Err(scheduler::SchedulerRefusal::NoServer);
        }
        let room = scheduler::millis(request.objective.since(now)) - service;
        let accepted = room.max(left * scheduler::LATE_WAIT_PART);
        if wait > accepted {
            return Err(scheduler::SchedulerRefusal::Crowded);
        }
        Ok(())
    }

    // The expected wait of a new request, in milliseconds; infinite where no server can take it.
    fn wait_ms(&self, request: &scheduler::DispatchRequest, now: clock::MonoTime) -> f64 {
        match request.key {
            Some(key) => self.keyed_wait_ms(request, key, now),
            None => self.pool_wait_ms(request, now),
        }
    }

    fn keyed_wait_ms(
        &self,
        request: &scheduler::DispatchRequest,
        key: u16,
        now: clock::MonoTime,
    ) -> f64 {
        let life = match self.view.owner(&request.service, key) {
            view::KeyOwner::Server(life) => life,
            view::KeyOwner::Moving(range) if self.view.ages.is_overdue(range, now) => {
                return f64::INFINITY;
            }
            // Moves take a moment; requests wait for their end.
            view::KeyOwner::Moving(_) => return 0.0,
            view::KeyOwner::None => return f64::INFINITY,
        };
        let Some(lane) = self.lanes.get(&life.server) else {
            return f64::INFINITY;
        };
        if !lane.serves_keys(life, now) {
            return f64::INFINITY;
        }
        let ahead = self.ahead(request, |other| {
            other.key.is_some() && self.is_owner(other, life)
        });
        let limit = self.limit(lane);
        let queued = ahead + f64::from(lane.running) - limit + 1.0;
        (queued.max(0.0) / limit) * lane.service_ms()
    }

    fn pool_wait_ms(&self, request: &scheduler::DispatchRequest, now: clock::MonoTime) -> f64 {
        let lanes = self.lanes.values();
        let usable: Vec<_> = lanes
            .filter(|lane| lane.takes(&request.service, now))
            .collect();
        let room: f64 = usable.iter().map(|lane| self.limit(lane)).sum();
        if room <= 0.0 {
            return f64::INFINITY;
        }
        let running: u32 = usable.iter().map(|lane| lane.running).sum();
        let rate: f64 = usable
            .iter()
            .map(|lane| self.limit(lane) / lane.service_ms())
            .sum();
        let ahead = self.ahead(request, |other| other.key.is_none());
        let queued = ahead + f64::from(running) - room + 1.0;
        queued.max(0.0) / rate
    }

    // The waiting requests that go before `request` and match.
    fn ahead(
        &self,
        request: &scheduler::DispatchRequest,
        matches: impl Fn(&scheduler::DispatchRequest) -> bool,
    ) -> f64 {
        let Some(line) = self.lines.get(&request.service) else {
            return 0.0;
        };
        let before = line
            .queue
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
        life: &assignment::ServerIncarnation,
    ) -> bool {
        let owner = request
            .key
            .map(|key| self.view.owner(&request.service, key));
        matches!(owner, Some(view::KeyOwner::Server(owner)) if owner == life)
    }

    /// Returns the mean time that a service's servers take for a request, in milliseconds.
    #[must_use]
    pub fn service_ms(&self, service: &names::ServiceName) -> f64 {
        let lanes = self.lanes.values();
        let ours = lanes.filter(|lane| lane.record.service == *service);
        let known: Vec<f64> = ours.filter_map(|lane| lane.measure.service_ms()).collect();
        if known.is_empty() {
            return scheduler::ASSUMED_SERVICE_MS;
        }
        known.iter().sum::<f64>() / scheduler::to_f64(known.len())
    }

    // How many requests this host may have at a server: what the other hosts leave, and its share
    // by demand where they want more than there is.
    pub(super) fn limit(&self, lane: &lane::ServerLane) -> f64 {
        let room = f64::from(lane.record.slots) * scheduler::REQUESTS_PER_SLOT;
        let others = self.view.demand.get(&lane.record.life.server);
        let others = others.copied().unwrap_or(0.0);
        let own = f64::from(lane.running + lane.waiting).max(1.0);
        let share = room * own / (own + others);
        share.max(room - others).clamp(1.0, room.max(1.0))
    }
}
