//! The messages that a granter sends to its servers.

use crate::clock;
use crate::contract;
use crate::grant;
use crate::lease;
use crate::names;

impl grant::ShardGranter {
    /// Returns the messages that are due.
    pub fn due_orders(&mut self, now: clock::MonoTime) -> Vec<grant::AddressedOrder> {
        let due: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, lease)| lease.is_due(now, self.timing.renew))
            .map(|(name, _)| name.clone())
            .collect();
        due.iter()
            .filter_map(|name| self.make_order(name, now))
            .collect()
    }

    pub(crate) fn make_order(
        &mut self,
        server: &names::ServerName,
        now: clock::MonoTime,
    ) -> Option<grant::AddressedOrder> {
        let claim = self.claim_order();
        let base = self.base_order();
        let needed = self.servers.get(server)?.needs_grants();
        let grants = needed.then(|| self.grants_of(server));
        let lease = self.servers.get_mut(server)?;
        lease.note_sent(now);
        let unknown = lease.state() == lease::LeaseState::Unknown;
        let order = if unknown {
            grant::GrantOrder::Claim(claim)
        } else {
            grant::GrantOrder::Lease(lease.next_order(&base, grants))
        };
        Some(grant::AddressedOrder {
            server: lease.spec.clone(),
            order,
        })
    }

    pub(crate) fn claim_order(&self) -> contract::ClaimOrder {
        contract::ClaimOrder {
            term: (*self.term).clone(),
            witness_set: self.witness_set,
            version: self.version,
            probe: false,
        }
    }

    pub(crate) fn base_order(&self) -> contract::LeaseOrder {
        contract::LeaseOrder {
            term: (*self.term).clone(),
            witness_set: self.witness_set,
            version: self.version,
            sequence: 0,
            token: None,
            lease_ms: self.timing.lease_ms(),
            revision: 0,
            grants: None,
        }
    }

    pub(crate) fn grants_of(&self, server: &names::ServerName) -> Vec<contract::ShardGrant> {
        let grant = |shard: &names::ShardId| {
            let record = &self.shards[shard];
            let granted = matches!(
                record.state,
                grant::GrantState::Offered | grant::GrantState::Held
            );
            let fence = record.fence.clone().filter(|_| granted)?;
            let shard = shard.clone();
            Some(contract::ShardGrant { shard, fence })
        };
        self.owned_by(server).filter_map(grant).collect()
    }
}
