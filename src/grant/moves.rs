//! The choice of shards to move away from their owners, and the placement of shards without an
//! owner.

use std::time;

use crate::clock;
use crate::configuration;
use crate::grant;
use crate::lease;
use crate::names;
use crate::placement;

impl grant::ShardGranter {
    pub(crate) fn move_from_leaving(&mut self, now: clock::MonoTime) {
        let leaving: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| lease.is_leaving() && lease.state() == lease::LeaseState::Held)
            .map(|(name, _)| name.clone())
            .collect();
        for server in leaving {
            let owned: Vec<_> = self.owned_by(&server).cloned().collect();
            let moving =
                |shard: &&names::ShardId| self.shards[*shard].state != grant::GrantState::Held;
            let moving_count = owned.iter().filter(moving).count();
            let max_moves =
                grant::MIN_CONCURRENT_MOVES.max(owned.len() / grant::MOVE_FRACTION_DIVISOR);
            let held = owned
                .iter()
                .filter(|shard| self.shards[*shard].state == grant::GrantState::Held);
            let chosen: Vec<_> = held
                .take(max_moves.saturating_sub(moving_count))
                .cloned()
                .collect();
            self.move_away(&chosen, now);
        }
    }

    pub(crate) fn move_away(&mut self, shards: &[names::ShardId], now: clock::MonoTime) {
        for shard in shards {
            self.reserve_for_stale_sends(shard, now);
            self.run_shard_event(shard, grant::GrantEvent::MoveChosen);
        }
    }

    pub(crate) fn rebalance(&mut self, now: clock::MonoTime) {
        let interval = time::Duration::from_secs(grant::BALANCE_INTERVAL_S);
        if now < self.rebalanced_at + interval {
            return;
        }
        self.rebalanced_at = now;
        self.expire_loads(now);
        let services: Vec<_> = self.configuration.service.clone();
        for service in &services {
            if self
                .vacant
                .iter()
                .any(|shard| shard.service == service.name)
            {
                continue;
            }
            let targets = self.targets(&service.name);
            let owners = targets.iter().map(|target| &target.server);
            let placed: Vec<_> = owners.flat_map(|server| self.placed_on(server)).collect();
            let moves = placement::choose_moves(&targets, &placed, grant::MIN_CONCURRENT_MOVES);
            self.move_away(&moves, now);
        }
    }

    fn expire_loads(&mut self, now: clock::MonoTime) {
        let validity = time::Duration::from_secs(grant::LOAD_VALIDITY_S);
        for record in self.shards.values_mut() {
            if now.since(record.load_received_at) > validity {
                record.load = grant::IDLE_LOAD;
            }
        }
    }

    pub(crate) fn placed_on(&self, server: &names::ServerName) -> Vec<placement::PlacedShard> {
        let held = self
            .owned_by(server)
            .filter(|shard| self.shards[*shard].state == grant::GrantState::Held);
        held.map(|shard| placement::PlacedShard {
            shard: shard.clone(),
            server: server.clone(),
            load: self.shards[shard].load,
        })
        .collect()
    }

    pub(crate) fn targets(&self, service: &names::ServiceName) -> Vec<placement::PlacementTarget> {
        let leases = self.servers.values();
        let usable = leases
            .filter(|lease| lease.spec.service == *service && !lease.is_leaving())
            .filter(|lease| lease.state() == lease::LeaseState::Held);
        usable.map(|lease| self.target_of(&lease.spec)).collect()
    }

    pub(crate) fn target_of(&self, spec: &configuration::ServerSpec) -> placement::PlacementTarget {
        let mut target = placement::PlacementTarget::new(spec.name.clone(), spec.slots);
        for shard in self.owned_by(&spec.name) {
            target.add(self.shards[shard].load);
        }
        target
    }

    pub(crate) fn place_vacant(&mut self, now: clock::MonoTime) {
        if self.vacant.is_empty() {
            return;
        }
        let services: Vec<_> = self.configuration.service.clone();
        for service in &services {
            if !self.may_place(&service.name, now) {
                continue;
            }
            let vacant: Vec<_> = self
                .vacant
                .iter()
                .filter(|shard| shard.service == service.name)
                .filter(|shard| now >= self.shards[*shard].placeable_at)
                .filter(|shard| !self.blocks.contains_key(*shard))
                .cloned()
                .collect();
            if vacant.is_empty() {
                continue;
            }
            let mut targets = self.targets(&service.name);
            for shard in &vacant {
                let Some(chosen) = placement::choose_target(&targets) else {
                    break;
                };
                let load = self.shards[shard].load;
                targets[chosen].add(load);
                let server = targets[chosen].server.clone();
                self.offer(shard, server);
            }
        }
    }

    // A server that has not reported may own a shard that the former granter granted without
    // logging it, and hosts may still send to unchecked servers by that granter's routes. Without a
    // term of the domain in the log at the start there are no such routes: no shard of a service
    // with unchecked servers is placed before the log has a term of the domain.
    pub(crate) fn may_place(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        let of_service = || {
            let leases = self.servers.values();
            leases.filter(|lease| lease.spec.service == *service)
        };
        let all_reported = of_service().all(|lease| lease.state() != lease::LeaseState::Unknown);
        let unchecked = of_service().any(|lease| !lease.spec.is_checked());
        let routes_end = self.stale_sends_end(service, self.former_end);
        let routes_ended = !self.former_had_routes || now >= routes_end;
        all_reported && (!unchecked || (self.term_logged && routes_ended))
    }

    pub(crate) fn offer(&mut self, shard: &names::ShardId, server: names::ServerName) {
        self.set_owner(shard, Some(server));
        self.run_shard_event(shard, grant::GrantEvent::Placed);
    }

    pub(crate) fn expire_leases(&mut self, now: clock::MonoTime) {
        let report_deadline = self.former_end + self.timing.lease + self.timing.margin;
        let expired: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| match lease.state() {
                lease::LeaseState::Unknown => now >= report_deadline,
                lease::LeaseState::Held => lease.has_expired(now, &self.timing),
                lease::LeaseState::Lapsed => false,
            })
            .map(|(name, _)| name.clone())
            .collect();
        for server in &expired {
            self.run_lease_event(server, lease::LeaseEvent::Expired, now);
        }
    }

    pub(crate) fn free_shards(&mut self, server: &names::ServerName, now: clock::MonoTime) {
        self.unblock(server, u64::MAX);
        let shards: Vec<_> = self.owned_by(server).cloned().collect();
        for shard in &shards {
            self.reserve_for_stale_sends(shard, now);
            self.run_shard_event(shard, grant::GrantEvent::OwnerLost);
        }
    }

    // Keeps an unchecked owner's shard from being placed while a host with stale routes may still
    // send requests to that owner.
    pub(crate) fn reserve_for_stale_sends(&mut self, shard: &names::ShardId, now: clock::MonoTime) {
        let owner = self.shards[shard].owner.as_ref();
        let lease = owner.and_then(|name| self.servers.get(name));
        if lease.is_none_or(|lease| lease.spec.is_checked()) {
            return;
        }
        let placeable_at = self.stale_sends_end(&shard.service, now);
        if let Some(record) = self.shards.get_mut(shard) {
            record.placeable_at = record.placeable_at.max(placeable_at);
        }
    }

    // Returns the time from which no host sends requests by a route that was withdrawn at `now` or
    // by one of the former granter, and no server still runs such requests.
    pub(crate) fn stale_sends_end(
        &self,
        service: &names::ServiceName,
        now: clock::MonoTime,
    ) -> clock::MonoTime {
        let spec = self.configuration.find_service(service);
        let deadline = time::Duration::from_millis(spec.map_or(0, |spec| spec.deadline_ms));
        let latest_route = now.max(self.former_end);
        latest_route + self.timing.table_lease + self.timing.margin + deadline
    }
}
