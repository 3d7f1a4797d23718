//! Which server a waiting request goes to.

use std::sync;
use std::time;

use crate::clock;
use crate::serving::ages;
use crate::serving::directory;
use crate::serving::scheduler;
use crate::serving::scheduler::lane;
use crate::serving::view;

/// What becomes of a waiting request now.
pub(super) enum Decision {
    Send(sync::Arc<directory::ServerRecord>),
    GiveUp(scheduler::SchedulerRefusal),
    Wait,
    // No server of the service has room.
    PoolFull,
}

impl scheduler::RequestScheduler {
    pub(super) fn decide(
        &self,
        waiting: &scheduler::Waiting,
        service_ms: f64,
        now: clock::MonoTime,
    ) -> Decision {
        if scheduler::is_over(waiting, service_ms, now) {
            return Decision::GiveUp(scheduler::SchedulerRefusal::TooLate);
        }
        match waiting.request.key {
            Some(key) => self.decide_keyed(waiting, key, now),
            None => self.decide_pool(waiting, now),
        }
    }

    fn decide_keyed(
        &self,
        waiting: &scheduler::Waiting,
        key: u16,
        now: clock::MonoTime,
    ) -> Decision {
        let life = match self.view.owner(&waiting.request.service, key) {
            view::KeyOwner::Server(life) => life,
            view::KeyOwner::Moving(range) if self.view.ages.is_overdue(range, now) => {
                return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
            }
            view::KeyOwner::Moving(_) => return Decision::Wait,
            view::KeyOwner::None => return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer),
        };
        let lane = self.lanes.get(&life.server);
        let Some(lane) = lane.filter(|lane| lane.serves_keys(life, now)) else {
            return Self::decide_ownerless(waiting, now);
        };
        if f64::from(lane.running) + 1.0 <= self.limit(lane) {
            return Decision::Send(sync::Arc::clone(&lane.record));
        }
        Decision::Wait
    }

    // The key's server cannot be sent to at the moment; its keys will move, or it comes back.
    fn decide_ownerless(waiting: &scheduler::Waiting, now: clock::MonoTime) -> Decision {
        let patience = time::Duration::from_millis(ages::MOVE_TIMEOUT_MS);
        if now.since(waiting.since) > patience {
            return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
        }
        Decision::Wait
    }

    fn decide_pool(&self, waiting: &scheduler::Waiting, now: clock::MonoTime) -> Decision {
        let request = &waiting.request;
        let lanes = self.lanes.values();
        let usable: Vec<_> = lanes
            .filter(|lane| lane.takes(&request.service, now))
            .collect();
        if usable.is_empty() {
            return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
        }
        let far_ms = scheduler::FAR_MS
            + scheduler::FAR_MS_PER_KB
                * scheduler::to_f64(usize::try_from(request.body_bytes).unwrap_or(0))
                / 1_000.0;
        let near_exists = usable.iter().any(|lane| self.is_near(lane));
        let near_wait = time::Duration::from_secs_f64(far_ms / 1_000.0);
        let near_wait = near_wait.min(time::Duration::from_millis(scheduler::MAX_NEAR_WAIT_MS));
        let only_near = near_exists && now.since(waiting.since) < near_wait;
        let avoided =
            |lane: &&lane::ServerLane| request.avoid.as_ref() == Some(&lane.record.life.server);
        let free: Vec<_> = usable
            .iter()
            .copied()
            .filter(|lane| f64::from(lane.running) + 1.0 <= self.limit(lane))
            .collect();
        if free.is_empty() {
            return Decision::PoolFull;
        }
        let open = free
            .iter()
            .copied()
            .filter(|lane| self.is_near(lane) || !only_near)
            .filter(|lane| !avoided(lane) || usable.len() == 1);
        let score = |lane: &lane::ServerLane| {
            let far = if self.is_near(lane) { 0.0 } else { far_ms };
            Self::score_ms(lane) + far
        };
        let best = open.min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Decision::Wait, |lane| {
            Decision::Send(sync::Arc::clone(&lane.record))
        })
    }

    // How long a request would take at a server, by what is known.
    fn score_ms(lane: &lane::ServerLane) -> f64 {
        let fill = f64::from(lane.running + 1) / f64::from(lane.record.slots.max(1));
        let penalty = 1.0 + lane.measure.failures() * scheduler::FAILURE_PENALTY;
        lane.service_ms() * penalty * (1.0 + fill)
    }

    fn is_near(&self, lane: &lane::ServerLane) -> bool {
        lane.record.domain == self.settings.domain
    }
}
