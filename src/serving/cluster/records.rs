//! Store records that hosts request from one another: which this host requests, and from which
//! host, and which it returns.

use xxhash_rust::xxh3;

use crate::clock;
use crate::serving::catch_up;
use crate::serving::cluster;
use crate::serving::status;

impl cluster::PeerState {
    fn versions(&self) -> catch_up::RecordVersions {
        catch_up::RecordVersions {
            routes: self.status.routes_version,
            table_end: self.status.book_end,
        }
    }

    // Whether the host reads the store and knows other servers than those with the hash given.
    fn has_other_servers(&self, digest: Option<u64>) -> bool {
        !self.status.store_lost && digest.is_some_and(|digest| digest != self.status.servers_digest)
    }
}

impl cluster::ClusterState {
    /// Applies store records of another host. Reports whether anything was applied.
    pub fn note_relay(&mut self, relay: &status::StoreRelay, now: clock::MonoTime) -> bool {
        let mut changed = false;
        if let Some(routes) = &relay.routes {
            changed |= self.note_routes(routes.clone());
        }
        if !relay.servers.is_empty() && self.store_lost() {
            self.replace_servers(relay.servers.clone(), now);
            changed = true;
        }
        changed
    }

    /// Returns the store records that another host requests and lacks.
    #[must_use]
    pub fn relay_for(
        &self,
        request: &status::RecordRequest,
        grants: &cluster::GrantSnapshot<'_>,
    ) -> status::StoreRelay {
        let newer = self.routes_version() > request.routes_version;
        let routes = self.routes.as_ref().filter(|_| newer);
        let digest = request.servers_digest.filter(|_| !self.store_lost());
        let differ = digest.is_some_and(|digest| digest != self.directory.digest());
        let servers = self.directory.servers().filter(|_| differ);
        let table = (grants.end > request.book_end).then(|| (grants.table.clone(), grants.end));
        status::StoreRelay {
            routes: routes.map(|routes| (**routes).clone()),
            servers: servers.map(|record| (**record).clone()).collect(),
            book: table,
        }
    }

    /// Returns the request for store records that is due at `now`, and the host to send it to.
    /// [`Self::note_request_ended`] must be called when it has ended.
    pub fn next_record_request(
        &mut self,
        grants: &cluster::GrantSnapshot<'_>,
        now: clock::MonoTime,
    ) -> Option<(status::HostRecord, status::RecordRequest)> {
        let own = catch_up::RecordVersions {
            routes: self.routes_version(),
            table_end: grants.end,
        };
        let peers = self.fresh_peers(cluster::HOST_STALE_MS, now);
        let newest = peers.fold(own, |newest, peer| newest.max(peer.versions()));
        self.catch_up.note_versions(own, newest, now);
        let store_lost = self.store_lost();
        let servers_digest = store_lost.then(|| self.directory.digest());
        let servers_differ = self
            .fresh_peers(cluster::HOST_STALE_MS, now)
            .any(|peer| peer.has_other_servers(servers_digest));
        if !self.catch_up.is_due(store_lost, servers_differ, now) {
            return None;
        }
        let request = status::RecordRequest {
            routes_version: own.routes,
            book_end: own.table_end,
            servers_digest,
        };
        let source = self.record_source(own, newest, servers_digest, now)?;
        self.catch_up.note_sent(now);
        Some((source, request))
    }

    /// Records that the request for store records has ended, and whether it was answered.
    pub fn note_request_ended(&mut self, is_answered: bool) {
        self.catch_up.note_ended(is_answered);
    }

    // The host to request records from: one with the newest routes where this host lacks them, or
    // else any that has something newer. The first attempt prefers this host's failure domain. A
    // hash spreads the requests of many hosts, and those of one host after failures.
    fn record_source(
        &self,
        own: catch_up::RecordVersions,
        newest: catch_up::RecordVersions,
        servers_digest: Option<u64>,
        now: clock::MonoTime,
    ) -> Option<status::HostRecord> {
        let failures = self.catch_up.failures();
        let offers = |peer: &&cluster::PeerState| {
            let versions = peer.versions();
            if own.routes < newest.routes {
                return versions.routes == newest.routes;
            }
            own.is_behind(versions) || peer.has_other_servers(servers_digest)
        };
        let rank = |peer: &&cluster::PeerState| {
            let record = &peer.status.record;
            let is_remote = failures == 0 && record.domain != self.own.domain;
            let pair = format!("{} {}", self.own.host, record.host);
            (
                is_remote,
                xxh3::xxh3_64_with_seed(pair.as_bytes(), failures),
            )
        };
        let peers = self.fresh_peers(cluster::HOST_STALE_MS, now).filter(offers);
        peers
            .min_by_key(rank)
            .map(|peer| peer.status.record.clone())
    }
}
