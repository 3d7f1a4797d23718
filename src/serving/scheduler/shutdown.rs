//! Refuses the requests that have no response by the time at which their host ends.

use std::collections;

use crate::clock;
use crate::names;
use crate::serving::scheduler;

impl scheduler::RequestScheduler {
    /// Sets the time by which the host ends, and refuses the waiting requests that are not expected to
    /// have a response by then. Later calls with the same time change nothing.
    pub fn end_by(
        &mut self,
        ends_at: clock::MonoTime,
        now: clock::MonoTime,
    ) -> Vec<scheduler::SchedulerEvent> {
        let mut events = Vec::new();
        if self.ends_at.replace(ends_at) == Some(ends_at) {
            return events;
        }
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.refuse_beyond_end(&service, now, &mut events);
        }
        events
    }

    // Reports whether the host ends before a response that takes `wait_ms` and a service time.
    pub(super) fn ends_before(&self, wait_ms: f64, service_ms: f64, now: clock::MonoTime) -> bool {
        let needed_ms = wait_ms + service_ms * scheduler::END_START_FACTOR;
        self.ends_at
            .is_some_and(|end| scheduler::millis(end.since(now)) <= needed_ms)
    }

    fn refuse_beyond_end(
        &mut self,
        service: &names::ServiceName,
        now: clock::MonoTime,
        events: &mut Vec<scheduler::SchedulerEvent>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let entries = std::mem::take(&mut queue.entries);
        let service_ms = self.service_ms(service);
        // The number of requests that stay in the queue, for each server that they wait for; `None` is
        // the pool.
        let mut ahead = collections::BTreeMap::<_, f64>::new();
        let mut kept = collections::BTreeMap::new();
        for (place, waiting) in entries {
            let owner = self.owner_server(&waiting.request);
            let owner = owner.map(|server| server.record.life.server.clone());
            let ahead = ahead.entry(owner).or_default();
            let wait_ms = self.wait_behind_ms(&waiting.request, *ahead, now);
            if !self.ends_before(wait_ms, service_ms, now) {
                *ahead += 1.0;
                kept.insert(place, waiting);
                continue;
            }
            if let Some(server) = self.owner_server(&waiting.request) {
                server.waiting = server.waiting.saturating_sub(1);
            }
            let refusal = scheduler::SchedulerRefusal::Stopping;
            events.push(scheduler::SchedulerEvent::GivenUp(place.1, refusal));
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.entries = kept;
        }
    }
}
