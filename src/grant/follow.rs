//! What the book follows: configuration, servers, shards and the platform's list.

use crate::clock;
use crate::grant;
use crate::lease;
use crate::names;
use crate::replay;
use std::collections;
use std::sync;

impl grant::ShardGranter {
    /// Takes over a new version of the configuration.
    pub fn follow(&mut self, replay: &replay::ReplayState) {
        let witness_set = replay.witnesses.get(&self.domain).map_or(0, |w| w.number);
        self.witness_set = witness_set;
        self.term_logged |= replay.terms.contains_key(&self.domain);
        if self.version == replay.version && self.version > 0 {
            return;
        }
        self.version = replay.version;
        self.configuration = sync::Arc::clone(&replay.configuration);
        self.follow_servers();
        self.follow_shards();
    }

    pub(crate) fn follow_servers(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        for spec in configuration.servers_of(&self.domain) {
            if let Some(lease) = self.servers.get_mut(&spec.name) {
                lease.spec = spec.clone();
                continue;
            }
            let chart = sync::Arc::clone(&self.charts.lease);
            let lease = lease::ServerLease::new(chart, spec.clone());
            self.servers.insert(spec.name.clone(), lease);
        }
        for (name, lease) in &mut self.servers {
            lease.removed = configuration.find_server(name).is_none();
        }
    }

    // A server that an operator removed is forgotten once nothing of it can be in force.
    pub(crate) fn forget_removed(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        let owned = &self.owned;
        self.servers.retain(|name, lease| {
            let owns = owned.get(name).is_some_and(|set| !set.is_empty());
            let unknown = lease.state() == lease::LeaseState::Unknown;
            owns || unknown || configuration.find_server(name).is_some()
        });
    }

    pub(crate) fn follow_shards(&mut self) {
        let configuration = sync::Arc::clone(&self.configuration);
        for shard in configuration.shards_of(&self.domain) {
            if self.shards.contains_key(&shard) {
                continue;
            }
            self.vacant.insert(shard.clone());
            let record = grant::ShardRecord {
                state: self.charts.grant.initial(),
                owner: None,
                fence: None,
                revision: 0,
                free_at: clock::MonoTime::default(),
                load: grant::IDLE_LOAD,
                load_at: clock::MonoTime::default(),
            };
            self.shards.insert(shard, record);
        }
    }

    /// Takes over which servers the platform lists as leaving.
    pub fn set_leaving(&mut self, leaving: &collections::BTreeSet<names::ServerName>) {
        for (name, lease) in &mut self.servers {
            lease.listed_leaving = leaving.contains(name);
        }
    }
}
