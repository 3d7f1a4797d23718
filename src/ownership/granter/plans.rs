//! The table that the granter appends next: a claim of the granter role, or a new plan.

use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::ownership::plan;
use crate::ownership::tracked_range;
use crate::serving::directory;

/// Minimum interval between plans that move keys for load, in milliseconds. Plans for lost or new
/// servers do not wait.
pub const PLAN_INTERVAL_MS: u64 = 400;
/// How long the number of a service's servers must be unchanged before its keys are assigned for
/// the first time, in milliseconds.
pub const FIRST_ASSIGNMENT_DELAY_MS: u64 = 1_200;

impl granter::KeyGranter {
    // The next table to append: a claim if this host should take the granter role, or a plan.
    pub(super) fn next_table(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Option<assignment::AssignmentTable> {
        match self.election.state() {
            election::ElectionState::Watching
                if self.candidate && !services.is_empty() && self.is_claim_due(now) =>
            {
                self.apply_election_event(election::ElectionEvent::ClaimDue);
                Some(self.claim(now))
            }
            election::ElectionState::Reclaiming if !self.awaits_newer_table(now) => {
                Some(self.claim(now))
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
        let mut next = self.table.next_version(self.era.number);
        let mut changed = std::mem::take(&mut self.era.must_rewrite);
        if self.has_possible_losses(now) {
            return changed.then_some(next);
        }
        let was_uncertain = next.lost_grants.take().is_some();
        if was_uncertain {
            tracing::info!(
                event = "era-grants-certain",
                era = self.era.number,
                term = next.term
            );
        }
        changed |= was_uncertain;
        changed |= self.drop_former_holders(&mut next);
        changed |= self.reissue(&mut next, |state| match state {
            tracked_range::RangeState::Refused => true,
            tracked_range::RangeState::Held => false,
            _ => was_uncertain,
        });
        changed |= self.drop_former_granters(&mut next, now);
        changed |= self.record_unfenced_servers(&mut next);
        let settled = now >= self.planned_at + time::Duration::from_millis(PLAN_INTERVAL_MS);
        for service in services {
            let candidates = self.candidates(now, service, servers);
            let stable = self.is_count_stable(service, candidates.len(), now);
            if !stable && !next.services.contains_key(service) {
                continue;
            }
            let staying = self.staying_ranges(service, &candidates, servers, now);
            let key_loads = self.key_loads.entry(service.clone()).or_default();
            let plan = plan::PlanInput {
                candidates: &candidates,
                key_loads,
                may_move: settled,
                staying: &staying,
            };
            changed |= plan::plan_service(&mut next, service, &plan);
        }
        if !changed {
            return None;
        }
        if !next.former_granters.is_empty() {
            plan::raise_split_fences(&mut next, &self.table);
        }
        self.planned_at = now;
        Some(next)
    }

    // The servers of a service that may be assigned keys: ready ones that have not ended and are
    // not excluded as unresponsive, and refuse earlier grants.
    fn candidates(
        &self,
        now: clock::MonoTime,
        service: &names::ServiceName,
        servers: &directory::ServerDirectory,
    ) -> Vec<plan::CandidateServer> {
        let ready = servers.servers().filter(|record| {
            record.service == *service
                && record.state == directory::ServerState::Ready
                && !self.is_excluded(&record.life, now)
                && !self.fencing.is_unfenced(&record.life.server)
                && !self.ended.contains(&record.life)
        });
        let ready = self.without_evacuated(ready.collect(), now);
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

    // Whether the number of a service's servers has been unchanged for `FIRST_ASSIGNMENT_DELAY_MS`,
    // so that presumably all of them have registered.
    fn is_count_stable(
        &mut self,
        service: &names::ServiceName,
        count: usize,
        now: clock::MonoTime,
    ) -> bool {
        let known = self
            .server_counts
            .entry(service.clone())
            .or_insert((count, now));
        if known.0 != count {
            *known = (count, now);
        }
        now >= known.1 + time::Duration::from_millis(FIRST_ASSIGNMENT_DELAY_MS)
    }

    // Drops former holders from the table once the holder has the keys. Hosts then send requests to
    // the holder, and a successor need not order the former holders to release them again.
    fn drop_former_holders(&self, next: &mut assignment::AssignmentTable) -> bool {
        let mut changed = false;
        for (service, ranges) in &mut next.services {
            for range in ranges.iter_mut().filter(|range| !range.formers.is_empty()) {
                let tracked = self
                    .tracked_ranges
                    .get(&tracked_range::range_id(service, range));
                let settled = |tracked: &tracked_range::TrackedRange| {
                    tracked.formers.is_empty() && tracked.state == tracked_range::RangeState::Held
                };
                if tracked.is_some_and(settled) {
                    range.formers.clear();
                    changed = true;
                }
            }
        }
        changed
    }

    // Drops former granters whose orders have all arrived: a successor need not consider them.
    fn drop_former_granters(
        &self,
        next: &mut assignment::AssignmentTable,
        now: clock::MonoTime,
    ) -> bool {
        let active: Vec<_> = self.former_granters.possibly_active(now).cloned().collect();
        let changed = next.former_granters != active;
        next.former_granters = active;
        changed
    }

    // Records the servers that may still accept an earlier grant, for a successor.
    fn record_unfenced_servers(&self, next: &mut assignment::AssignmentTable) -> bool {
        let servers = self.fencing.servers();
        let changed = next.unfenced_servers != servers;
        next.unfenced_servers = servers;
        changed
    }

    // Allocates a new fence for each range in one of the states given: its order was refused because
    // the server has seen a higher one, or the store may have lost one.
    fn reissue(
        &self,
        next: &mut assignment::AssignmentTable,
        is_due: impl Fn(tracked_range::RangeState) -> bool,
    ) -> bool {
        let mut refused = Vec::new();
        for (service, ranges) in &next.services {
            for (index, range) in ranges.iter().enumerate() {
                let tracked = self
                    .tracked_ranges
                    .get(&tracked_range::range_id(service, range));
                if tracked.is_some_and(|tracked| is_due(tracked.state)) {
                    refused.push((service.clone(), index));
                }
            }
        }
        for (service, index) in &refused {
            let fence = next.allocate_fence();
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
