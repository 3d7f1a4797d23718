//! Handling of the servers' responses: reports of their grants at the start of a term, and replies
//! to lease renewals.

use std::collections;
use std::time;

use crate::authority;
use crate::clock;
use crate::contract;
use crate::fence;
use crate::grant;
use crate::lease;
use crate::names;
use crate::replay;

impl grant::ShardGranter {
    // Owners from the log and from the former granter's table are valid until the owner has
    // reported.
    pub(crate) fn adopt_recorded(&mut self, setup: &grant::GrantSetup<'_>) {
        let logged = setup.replay.assignments.iter();
        let logged = logged.map(|(shard, a)| (shard, &a.server, &a.fence));
        let published = setup.former.iter().flat_map(|table| table.routes());
        let published = published.map(|(shard, route)| (shard, &route.server, &route.fence));
        for (shard, server, fence) in logged.chain(published) {
            let unchecked = self.servers.get(server).map(|l| !l.spec.is_checked());
            if unchecked.is_none() {
                continue;
            }
            self.adopt(shard, server, fence);
            // An unchecked server would run requests from a stale route, so it has to report before
            // its route is published.
            if unchecked == Some(true) {
                self.update_route(shard, false);
            }
        }
    }

    pub(crate) fn adopt(
        &mut self,
        shard: &names::ShardId,
        server: &names::ServerName,
        fence: &fence::GrantFence,
    ) {
        let Some(record) = self.shards.get_mut(shard) else {
            return;
        };
        let newer = record.fence.as_ref().is_none_or(|old| old < fence);
        let same = record.owner.as_ref() == Some(server);
        if !newer && !same {
            return;
        }
        if newer {
            record.fence = Some(fence.clone());
        }
        let former = self.set_owner(shard, Some(server.clone()));
        if let Some(former) = former.filter(|former| former != server) {
            self.raise_revision_of(&former);
        }
        self.run_shard_event(shard, grant::GrantEvent::Reported);
    }

    /// Handles a server's response to a claim under this term: its report of the shards it owns.
    pub fn on_report(&mut self, response: &authority::ClaimResponse, now: clock::MonoTime) {
        let lease_left = time::Duration::from_millis(response.reply.lease_left_ms);
        let Some(lease) = self.servers.get_mut(&response.server) else {
            return;
        };
        if lease.state() == lease::LeaseState::Held || !response.reply.accepted {
            return;
        }
        // If the lease ends before the former granter's authority does, that granter may treat it as
        // lapsed and grant the shards to another server. The report is ignored, and the server is
        // asked again later.
        let outlasts_former =
            lease_left.is_zero() || response.sent_at + lease_left >= self.former_end;
        if !outlasts_former {
            return;
        }
        lease.note_status(&response.reply.status, now);
        self.record_acked_versions(&response.server, &response.reply.status);
        let actions = self.step_lease(&response.server, lease::LeaseEvent::Reported);
        if actions.contains(&lease::LeaseAction::AdoptReport) {
            let held = if lease_left.is_zero() {
                &[][..]
            } else {
                &response.reply.held[..]
            };
            self.adopt_report(&response.server, held);
        }
    }

    pub(crate) fn adopt_report(
        &mut self,
        server: &names::ServerName,
        held: &[contract::ShardGrant],
    ) {
        self.raise_revision_of(server);
        for grant in held {
            self.adopt(&grant.shard, server, &grant.fence);
            self.block_unless_owner(&grant.shard, server);
        }
        let reported: collections::BTreeSet<_> = held.iter().map(|g| &g.shard).collect();
        let lost: Vec<_> = self
            .owned_by(server)
            .filter(|shard| !reported.contains(shard))
            .cloned()
            .collect();
        for shard in &lost {
            self.run_shard_event(shard, grant::GrantEvent::OwnerLost);
        }
    }

    pub(crate) fn block_unless_owner(
        &mut self,
        shard: &names::ShardId,
        server: &names::ServerName,
    ) {
        let Some(record) = self.shards.get(shard) else {
            return;
        };
        if record.owner.as_ref() == Some(server) {
            return;
        }
        let revision = self
            .servers
            .get(server)
            .map_or(0, lease::ServerLease::revision);
        let server = server.clone();
        let block = grant::ShardBlock { server, revision };
        self.blocks.entry(shard.clone()).or_default().push(block);
    }

    pub(crate) fn unblock(&mut self, server: &names::ServerName, revision: u64) {
        for blocks in self.blocks.values_mut() {
            blocks.retain(|block| block.server != *server || block.revision > revision);
        }
        self.blocks.retain(|_, blocks| !blocks.is_empty());
    }

    /// Handles a server's reply to a lease renewal.
    pub fn on_lease_reply(
        &mut self,
        server: &names::ServerName,
        order: &contract::LeaseOrder,
        reply: &contract::LeaseReply,
        now: clock::MonoTime,
    ) {
        let Some(lease) = self.servers.get_mut(server) else {
            return;
        };
        if !lease.record_reply(order) || reply.verdict == contract::LeaseVerdict::Refused {
            return;
        }
        let restarted = lease.is_other_incarnation(&reply.status);
        lease.note_status(&reply.status, now);
        self.record_acked_versions(server, &reply.status);
        if restarted {
            self.run_lease_event(server, lease::LeaseEvent::Restarted, now);
            if let Some(lease) = self.servers.get_mut(server) {
                lease.reset_acked();
            }
            return;
        }
        self.run_lease_event(server, lease::LeaseEvent::Renewed, now);
        match reply.verdict {
            contract::LeaseVerdict::Renewed => self.on_grants_acked(server, order.revision),
            contract::LeaseVerdict::NeedGrants => self.raise_revision_of(server),
            contract::LeaseVerdict::NeedToken | contract::LeaseVerdict::Refused => {}
        }
    }

    pub(crate) fn on_grants_acked(&mut self, server: &names::ServerName, revision: u64) {
        let Some(lease) = self.servers.get_mut(server) else {
            return;
        };
        lease.note_acked(revision);
        self.unblock(server, revision);
        let shards: Vec<_> = self.owned_by(server).cloned().collect();
        for shard in shards {
            let record = &self.shards[&shard];
            if record.revision > revision {
                continue;
            }
            let still_running = self.servers[server].is_releasing(&shard);
            match record.state {
                grant::GrantState::Offered => {
                    self.run_shard_event(&shard, grant::GrantEvent::Acknowledged);
                }
                grant::GrantState::Releasing if !still_running => {
                    self.run_shard_event(&shard, grant::GrantEvent::Released);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn record_acked_versions(
        &mut self,
        server: &names::ServerName,
        status: &contract::ServerStatus,
    ) {
        let version = self.versions_acked.entry(server.clone()).or_default();
        *version = (*version).max(status.version);
        let set = self.witness_sets_acked.entry(server.clone()).or_default();
        *set = (*set).max(status.witness_set);
    }

    /// Reports whether a witness set is pending and a majority of the witnesses has acknowledged
    /// it.
    #[must_use]
    pub fn may_settle(&self, witnesses: &replay::WitnessSets) -> bool {
        let acked = |name: &names::ServerName| {
            let set = self.witness_sets_acked.get(name).copied();
            set.unwrap_or(0) >= witnesses.number
        };
        witnesses.pending.is_some() && witnesses.has_majority(acked)
    }
}
