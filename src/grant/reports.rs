//! What a granter takes from its servers: reports at the start of a term, and answers to renewals.

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
    // What the log or the former granter's table says holds until the owner itself has reported.
    pub(crate) fn adopt_known(&mut self, setup: &grant::GrantSetup<'_>) {
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
            // An unchecked server would run what a stale route sends, so its word comes first.
            if unchecked == Some(true) {
                self.publish(shard, false);
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
            self.touch(&former);
        }
        self.handle_shard(shard, grant::GrantEvent::Reported);
    }

    /// Takes a server's answer to a claim under this term.
    pub fn on_report(&mut self, answer: &authority::ClaimResponse, now: clock::MonoTime) {
        let left = time::Duration::from_millis(answer.reply.lease_left_ms);
        let Some(lease) = self.servers.get_mut(&answer.server) else {
            return;
        };
        if lease.state() == lease::LeaseState::Held || !answer.reply.accepted {
            return;
        }
        // While the former granter may still act, it could take a lease that ends before it does
        // for lapsed; such a server is asked again once that time has passed.
        let outlasts = left.is_zero() || answer.sent_at + left >= self.former_end;
        if !outlasts {
            return;
        }
        lease.note_status(&answer.reply.status, now);
        self.note_told(&answer.server, &answer.reply.status);
        let actions = self.step_lease(&answer.server, lease::LeaseEvent::Reported);
        if actions.contains(&lease::LeaseAction::AdoptReport) {
            let held = if left.is_zero() {
                &[][..]
            } else {
                &answer.reply.held[..]
            };
            self.adopt_report(&answer.server, held);
        }
    }

    pub(crate) fn adopt_report(
        &mut self,
        server: &names::ServerName,
        held: &[contract::ShardGrant],
    ) {
        self.touch(server);
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
            self.handle_shard(shard, grant::GrantEvent::OwnerLost);
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

    /// Takes a server's answer to a renewal.
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
        if !lease.take_answer(order) || reply.verdict == contract::LeaseVerdict::Refused {
            return;
        }
        let restarted = lease.is_other_process(&reply.status);
        lease.note_status(&reply.status, now);
        self.note_told(server, &reply.status);
        if restarted {
            self.run_lease_event(server, lease::LeaseEvent::Restarted, now);
            if let Some(lease) = self.servers.get_mut(server) {
                lease.forget_acked();
            }
            return;
        }
        self.run_lease_event(server, lease::LeaseEvent::Renewed, now);
        match reply.verdict {
            contract::LeaseVerdict::Renewed => self.on_acked(server, order.revision),
            contract::LeaseVerdict::NeedGrants => self.touch(server),
            contract::LeaseVerdict::NeedToken | contract::LeaseVerdict::Refused => {}
        }
    }

    pub(crate) fn on_acked(&mut self, server: &names::ServerName, revision: u64) {
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
            let busy = self.servers[server].is_releasing(&shard);
            match record.state {
                grant::GrantState::Offered => {
                    self.handle_shard(&shard, grant::GrantEvent::Acknowledged);
                }
                grant::GrantState::Releasing if !busy => {
                    self.handle_shard(&shard, grant::GrantEvent::Released);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn note_told(
        &mut self,
        server: &names::ServerName,
        status: &contract::ServerStatus,
    ) {
        let version = self.versions_acked.entry(server.clone()).or_default();
        *version = (*version).max(status.version);
        let set = self.witness_sets_acked.entry(server.clone()).or_default();
        *set = (*set).max(status.witness_set);
    }

    /// Reports whether a majority of the witnesses knows the newest witness set.
    #[must_use]
    pub fn may_settle(&self, witnesses: &replay::WitnessSets) -> bool {
        let told = |name: &names::ServerName| {
            let set = self.witness_sets_acked.get(name).copied();
            set.unwrap_or(0) >= witnesses.number
        };
        witnesses.pending.is_some() && witnesses.has_majority(told)
    }
}
