//! Selects the server for a waiting request.

use std::sync;
use std::time;

use crate::clock;
use crate::serving::ages;
use crate::serving::directory;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;
use crate::serving::view;

/// The decision on a waiting request.
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
        if let Some(refusal) = self.end_refusal(waiting, service_ms, now) {
            return Decision::GiveUp(refusal);
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
        let incarnation = match self.view.owner(&waiting.request.service, key) {
            view::KeyOwner::Server(incarnation) => incarnation,
            view::KeyOwner::Moving(range) if self.view.ages.is_overdue(range, now) => {
                return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
            }
            view::KeyOwner::Moving(_) => return Decision::Wait,
            view::KeyOwner::None => return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer),
        };
        let server = self.servers.get(&incarnation.server);
        let Some(server) = server.filter(|server| server.accepts_keyed(incarnation, now)) else {
            return Self::decide_unavailable(waiting, now);
        };
        if self.has_room(server, now) {
            return Decision::Send(sync::Arc::clone(&server.record));
        }
        let cold_wait_ms = self.cold_wait_ms(server, 0.0, now);
        let refusal = self.cold_refusal(waiting, cold_wait_ms, now);
        refusal.map_or(Decision::Wait, Decision::GiveUp)
    }

    // The server that holds the key is unavailable. Requests wait for a limited time, because the
    // key will move or the server will become available again.
    fn decide_unavailable(waiting: &scheduler::Waiting, now: clock::MonoTime) -> Decision {
        let timeout = time::Duration::from_millis(ages::MOVE_TIMEOUT_MS);
        if now.since(waiting.since) > timeout {
            return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
        }
        Decision::Wait
    }

    fn decide_pool(&self, waiting: &scheduler::Waiting, now: clock::MonoTime) -> Decision {
        let request = &waiting.request;
        let servers = self.servers.values();
        let usable: Vec<_> = servers
            .filter(|server| self.is_usable(server, request, now))
            .collect();
        if usable.is_empty() {
            return self.decide_closed_pool(waiting, now);
        }
        let remote_penalty_ms = scheduler::REMOTE_PENALTY_MS
            + scheduler::REMOTE_PENALTY_MS_PER_KB
                * scheduler::to_f64(usize::try_from(request.body_bytes).unwrap_or(0))
                / 1_000.0;
        let has_local = usable
            .iter()
            .any(|server| self.is_local(server) && self.is_warm(server, now));
        let local_wait = time::Duration::from_secs_f64(remote_penalty_ms / 1_000.0);
        let local_wait = local_wait.min(time::Duration::from_millis(scheduler::MAX_LOCAL_WAIT_MS));
        let only_local = has_local && now.since(waiting.since) < local_wait;
        let avoided = |server: &&tracked_server::TrackedServer| {
            request.avoid.as_ref() == Some(&server.record.life.server)
        };
        let free: Vec<_> = usable
            .iter()
            .copied()
            .filter(|server| self.has_room(server, now))
            .collect();
        if free.is_empty() {
            return Decision::PoolFull;
        }
        // Cold servers are used where no warm one has room.
        let has_warm = free.iter().any(|server| self.is_warm(server, now));
        let open = free
            .iter()
            .copied()
            .filter(|server| self.is_local(server) || !only_local)
            .filter(|server| !has_warm || self.is_warm(server, now))
            .filter(|server| !avoided(server) || usable.len() == 1);
        let score = |server: &tracked_server::TrackedServer| {
            let penalty_ms = if self.is_local(server) {
                0.0
            } else {
                remote_penalty_ms
            };
            Self::score_ms(server) + penalty_ms
        };
        let best = open.min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Decision::Wait, |server| {
            Decision::Send(sync::Arc::clone(&server.record))
        })
    }

    // All ready servers are cold, and none takes requests of this host before it is warm.
    fn decide_closed_pool(&self, waiting: &scheduler::Waiting, now: clock::MonoTime) -> Decision {
        let Some(wait_ms) = self.closed_pool_wait_ms(&waiting.request, now) else {
            return Decision::GiveUp(scheduler::SchedulerRefusal::NoServer);
        };
        let refusal = self.cold_refusal(waiting, wait_ms, now);
        refusal.map_or(Decision::Wait, Decision::GiveUp)
    }

    // The estimated response time of a server, in milliseconds.
    fn score_ms(server: &tracked_server::TrackedServer) -> f64 {
        let fill = f64::from(server.running + 1) / f64::from(server.record.slots.max(1));
        let penalty = 1.0 + server.estimate.failure_rate() * scheduler::FAILURE_PENALTY;
        server.service_ms() * penalty * (1.0 + fill)
    }

    fn is_local(&self, server: &tracked_server::TrackedServer) -> bool {
        server.record.domain == self.settings.domain
    }
}
