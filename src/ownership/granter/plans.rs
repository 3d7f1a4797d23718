//! What the granter appends next: a claim, or a plan of where keys go.

use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::ownership::plan;
use crate::ownership::range_run;
use crate::serving::directory;

/// How long a plan waits after the last one, in milliseconds, where no server was lost.
pub const PLAN_INTERVAL_MS: u64 = 400;
/// How long no further server of a service registers until its keys are placed for the first time,
/// in milliseconds.
pub const FIRST_PLACE_MS: u64 = 1_200;

impl granter::KeyGranter {
    // The next book to append: a claim, or a plan.
    pub(super) fn next_book(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Option<assignment::AssignmentTable> {
        match self.duty.state() {
            election::ElectionState::Watching if self.candidate && !services.is_empty() => {
                self.run_duty(election::DutyEvent::ClaimDue);
                let mut claim = self.table.clone();
                claim.term += 1;
                claim.former_granters = self.former_granters.predecessors(&self.table);
                claim.granter = Some(self.own.clone());
                claim.longest_hold_millis =
                    u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX);
                Some(claim)
            }
            election::ElectionState::Granting => self.next_plan(now, services, servers),
            _ => None,
        }
    }

    fn next_plan(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Option<assignment::AssignmentTable> {
        let mut next = self.table.clone();
        let mut changed = self.forget_vacated(&mut next);
        changed |= self.raise_refused(&mut next);
        changed |= self.forget_granters(&mut next, now);
        let settled = now >= self.planned_at + time::Duration::from_millis(PLAN_INTERVAL_MS);
        for service in services {
            let candidates = self.candidates(now, service, servers);
            let gathered = self.has_gathered(service, candidates.len(), now);
            if !gathered && !next.services.contains_key(service) {
                continue;
            }
            let key_loads = self.key_loads.entry(service.clone()).or_default();
            let plan = plan::PlanInput {
                candidates: &candidates,
                key_loads,
                may_move: settled,
            };
            changed |= plan::plan_service(&mut next, service, &plan);
        }
        if !changed {
            return None;
        }
        self.planned_at = now;
        Some(next)
    }

    // Servers of a service that may take keys: ready ones whose orders do not go unanswered.
    fn candidates(
        &self,
        now: clock::MonoTime,
        service: &names::ServiceName,
        servers: &directory::ServerDirectory,
    ) -> Vec<plan::CandidateServer> {
        let ready = servers.servers().filter(|record| {
            record.service == *service
                && record.state == directory::ServerState::Ready
                && !self.is_silent(&record.life, now)
                && !self.ended.contains(&record.life)
        });
        let ready: Vec<_> = ready.collect();
        let time_of = |record: &&sync::Arc<directory::ServerRecord>| {
            self.service_times.get(&record.life.server).copied()
        };
        let usual = median(ready.iter().filter_map(time_of).collect());
        let candidates = ready.iter().map(|record| plan::CandidateServer {
            holder: assignment::KeyHolder {
                life: record.life.clone(),
                address: record.address,
            },
            slots: f64::from(record.slots),
            speed: plan::speed(usual, time_of(record)),
        });
        candidates.collect()
    }

    // Whether the servers of a service without ranges have all come, as far as one can tell.
    fn has_gathered(
        &mut self,
        service: &names::ServiceName,
        count: usize,
        now: clock::MonoTime,
    ) -> bool {
        let known = self.gathered.entry(service.clone()).or_insert((count, now));
        if known.0 != count {
            *known = (count, now);
        }
        now >= known.1 + time::Duration::from_millis(FIRST_PLACE_MS)
    }

    // Drops formers from the book once the holder has the keys: hosts then send to it, and a
    // successor need not ask the formers again.
    fn forget_vacated(&self, next: &mut assignment::AssignmentTable) -> bool {
        let mut changed = false;
        for (service, ranges) in &mut next.services {
            for range in ranges.iter_mut().filter(|range| !range.formers.is_empty()) {
                let run = self.runs.get(&range_run::range_id(service, range));
                let settled = |run: &range_run::RangeRun| {
                    run.formers.is_empty() && run.state == range_run::RangeState::Held
                };
                if run.is_some_and(settled) {
                    range.formers.clear();
                    changed = true;
                }
            }
        }
        changed
    }

    // Drops former granters whose orders have all arrived: a successor need not ask for them again.
    fn forget_granters(
        &self,
        next: &mut assignment::AssignmentTable,
        now: clock::MonoTime,
    ) -> bool {
        let doubted: Vec<_> = self.former_granters.possibly_active(now).cloned().collect();
        let changed = next.former_granters != doubted;
        next.former_granters = doubted;
        changed
    }

    fn raise_refused(&self, next: &mut assignment::AssignmentTable) -> bool {
        let mut refused = Vec::new();
        for (service, ranges) in &next.services {
            for (index, range) in ranges.iter().enumerate() {
                let run = self.runs.get(&range_run::range_id(service, range));
                if run.is_some_and(|run| run.state == range_run::RangeState::Refused) {
                    refused.push((service.clone(), index));
                }
            }
        }
        for (service, index) in &refused {
            let fence = next.take_fence();
            if let Some(range) = next
                .services
                .get_mut(service)
                .and_then(|r| r.get_mut(*index))
            {
                range.fence = fence;
            }
        }
        !refused.is_empty()
    }
}

fn median(values: Vec<f64>) -> Option<f64> {
    let mut values = values;
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
