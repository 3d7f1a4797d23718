//! Store records that this host requests from others because it lags behind them.

use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::ownership::assignment;
use crate::serving::cluster;
use crate::serving::status;
use crate::serving::topic;

impl cluster::ClusterState {
    /// Returns the host from which this one requests the store records that it lacks, where a request
    /// is due at `now`. `own` are the positions at which its copies end.
    /// [`Self::note_request_ended`] must be called when the request has ended.
    pub fn next_record_source(
        &mut self,
        own: &topic::TopicEnds,
        now: clock::MonoTime,
    ) -> Option<status::HostRecord> {
        let peers = self.fresh_peers(now);
        let newest = peers.fold(*own, |newest, peer| newest.max(peer.ends));
        self.catch_up.note_ends(own, &newest, now);
        if !self.catch_up.is_due(self.store_lost(), now) {
            return None;
        }
        let source = self.catch_up_source(own, now)?;
        self.catch_up.note_sent(now);
        Some(source)
    }

    /// Returns the newest assignment table that any host knows whose last status update is recent.
    #[must_use]
    pub fn newest_table(&self, now: clock::MonoTime) -> Option<assignment::KnownTable> {
        let tables = self.fresh_peers(now).map(|peer| assignment::KnownTable {
            version: peer.ends.table_version,
            term: peer.term,
        });
        tables.max_by_key(|table| table.version)
    }

    /// Records that the request for store records has ended, and whether it was answered.
    pub fn note_request_ended(&mut self, is_answered: bool) {
        self.catch_up.note_ended(is_answered);
    }

    // The host to request records from: any that has something newer. The first attempt prefers this
    // host's failure domain. A hash spreads the requests of many hosts, and those of one host after
    // failures.
    fn catch_up_source(
        &self,
        own: &topic::TopicEnds,
        now: clock::MonoTime,
    ) -> Option<status::HostRecord> {
        let failures = self.catch_up.failures();
        let rank = |peer: &&cluster::PeerState| {
            let is_remote = failures == 0 && peer.record.domain != self.own.domain;
            let pair = format!("{} {}", self.own.host, peer.record.host);
            (
                is_remote,
                xxh3::xxh3_64_with_seed(pair.as_bytes(), failures),
            )
        };
        let peers = self
            .fresh_peers(now)
            .filter(|peer| own.is_behind(&peer.ends));
        peers.min_by_key(rank).map(|peer| peer.record.clone())
    }

    // The hosts whose last status update is recent.
    fn fresh_peers(&self, now: clock::MonoTime) -> impl Iterator<Item = &cluster::PeerState> {
        let max_age = time::Duration::from_millis(cluster::HOST_STALE_MS);
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.received_at) < max_age)
    }
}
