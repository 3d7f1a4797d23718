//! Which shards a granter takes from their owners, and where it places those without one.

use std::time;

use crate::clock;
use crate::configuration;
use crate::grant;
use crate::lease;
use crate::names;
use crate::placement;

impl grant::ShardGranter {
    pub(crate) fn drain(&mut self, now: clock::MonoTime) {
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
            let under_way = owned.iter().filter(moving).count();
            let at_once = grant::MIN_MOVES_AT_ONCE.max(owned.len() / grant::MOVE_FRACTION);
            let held = owned
                .iter()
                .filter(|shard| self.shards[*shard].state == grant::GrantState::Held);
            let chosen: Vec<_> = held
                .take(at_once.saturating_sub(under_way))
                .cloned()
                .collect();
            self.move_away(&chosen, now);
        }
    }

    pub(crate) fn move_away(&mut self, shards: &[names::ShardId], now: clock::MonoTime) {
        for shard in shards {
            self.wait_for_stale_sends(shard, now);
            self.handle_shard(shard, grant::GrantEvent::MoveChosen);
        }
    }

    pub(crate) fn balance(&mut self, now: clock::MonoTime) {
        let interval = time::Duration::from_secs(grant::BALANCE_INTERVAL_S);
        if now < self.balanced_at + interval {
            return;
        }
        self.balanced_at = now;
        self.forget_old_loads(now);
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
            let moves = placement::choose_moves(&targets, &placed, grant::MIN_MOVES_AT_ONCE);
            self.move_away(&moves, now);
        }
    }

    fn forget_old_loads(&mut self, now: clock::MonoTime) {
        let memory = time::Duration::from_secs(grant::LOAD_MEMORY_S);
        for record in self.shards.values_mut() {
            if now.since(record.load_at) > memory {
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

    pub(crate) fn place(&mut self, now: clock::MonoTime) {
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
                .filter(|shard| now >= self.shards[*shard].free_at)
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

    // A server that has not reported may hold a shard that the former granter gave it without the
    // log knowing; and an unchecked one may still be sent to by that granter's routes. The log
    // knows a domain's first term before any route to its unchecked servers is made, so where it
    // knew none there are no such routes.
    pub(crate) fn may_place(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        let of_service = || {
            let leases = self.servers.values();
            leases.filter(|lease| lease.spec.service == *service)
        };
        let known = of_service().all(|lease| lease.state() != lease::LeaseState::Unknown);
        let unchecked = of_service().any(|lease| !lease.spec.is_checked());
        let routes_end = self.stale_sends_end(service, self.former_end);
        let routes_ended = !self.former_routed || now >= routes_end;
        known && (!unchecked || (self.term_logged && routes_ended))
    }

    pub(crate) fn offer(&mut self, shard: &names::ShardId, server: names::ServerName) {
        self.set_owner(shard, Some(server));
        self.handle_shard(shard, grant::GrantEvent::Placed);
    }

    pub(crate) fn expire(&mut self, now: clock::MonoTime) {
        let silent_until = self.former_end + self.timing.lease + self.timing.margin;
        let expired: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| match lease.state() {
                lease::LeaseState::Unknown => now >= silent_until,
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
            self.wait_for_stale_sends(shard, now);
            self.handle_shard(shard, grant::GrantEvent::OwnerLost);
        }
    }

    // An unchecked owner's shard stays free for as long as a stale host may still send to it.
    pub(crate) fn wait_for_stale_sends(&mut self, shard: &names::ShardId, now: clock::MonoTime) {
        let owner = self.shards[shard].owner.as_ref();
        let lease = owner.and_then(|name| self.servers.get(name));
        if lease.is_none_or(|lease| lease.spec.is_checked()) {
            return;
        }
        let free_at = self.stale_sends_end(&shard.service, now);
        if let Some(record) = self.shards.get_mut(shard) {
            record.free_at = record.free_at.max(free_at);
        }
    }

    // From here on no host sends, and no server still runs, what a route withdrawn at `now` let
    // through, nor one of the former granter.
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
