//! Evacuated failure domains as a part of the cluster's state.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::serving::cluster;
use crate::serving::evacuation;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;

/// The era of a store that has never come back from an older copy.
const FIRST_ERA: u64 = 1;
/// How long a host that starts after a return of the store waits for other hosts' statements, in
/// milliseconds: an exchange of status updates takes 1.1 s at most.
pub const STATEMENTS_WAIT_MS: u64 = 1_500;

impl cluster::ClusterState {
    /// Sets the time within which the last request must have reached an evacuated domain.
    #[must_use]
    pub fn with_evacuate(mut self, bound: time::Duration) -> Self {
        self.evacuations.set_bound(bound);
        self
    }

    /// Returns the failure domains that are evacuated or return.
    #[must_use]
    pub const fn evacuated(&self) -> &sync::Arc<evacuation::EvacuatedDomains> {
        self.evacuations.domains()
    }

    /// Applies an operator's record about a failure domain, which stands at `position`.
    pub fn note_evacuation(
        &mut self,
        record: evacuation::EvacuationRecord,
        position: topic::LogPosition,
        now: clock::MonoTime,
    ) {
        self.evacuations.note_record(record, position, now);
    }

    /// Records that all records of the operators' topic have been applied.
    pub const fn note_operators_read(&mut self) {
        self.evacuations.note_read();
    }

    /// Applies what the status of the host that supplies this one, requested at `asked`, says of the operators'
    /// topic. `own` are the positions at which this host's copies end.
    pub fn note_supplier_status(
        &mut self,
        status: &status::HostStatusUpdate,
        own: &topic::TopicEnds,
        asked: clock::MonoTime,
    ) {
        let routes = topic::StoreTopic::Routes;
        let supplies = matches!(self.source(), upstream::RecordSource::Host(r) if r.host == status.record.host);
        if supplies && !status.store_lost && status.ends.end(routes) <= own.end(routes) {
            self.evacuations.note_current(asked);
        }
    }

    /// Records that this host's copy of the operators' topic lacked nothing at `at`.
    pub fn note_operators_current(&mut self, at: clock::MonoTime) {
        self.evacuations.note_current(at);
    }

    /// Returns what has changed for failure domains since the last call.
    pub fn take_evacuation_notices(&mut self) -> Vec<evacuation::EvacuationNotice> {
        if self.servers_known && self.hosts_known.is_some() {
            let named = self.named_domains();
            self.evacuations
                .check_names(|domain| named.contains(domain));
        }
        self.evacuations.take_notices()
    }

    /// Reports whether this host waits for the statements of others before it is ready: a store that came back
    /// from an older copy may have lost an evacuation.
    #[must_use]
    pub fn awaits_statements(&self, now: clock::MonoTime) -> bool {
        let wait = time::Duration::from_millis(STATEMENTS_WAIT_MS);
        let has_returned = self.store_era > FIRST_ERA;
        let is_alone = self.hosts.is_empty() && self.hosts_known.is_some();
        let may_learn = self.peers.is_empty() && !is_alone;
        has_returned && may_learn && now < self.started + wait
    }

    // The failure domains that a server or a host names.
    fn named_domains(&self) -> collections::BTreeSet<names::DomainName> {
        if self.evacuations.domains().is_empty() {
            return collections::BTreeSet::new();
        }
        let servers = self.directory.servers().map(|record| &record.domain);
        let unnamed = self.unnamed.values().map(|(record, _)| &record.domain);
        let hosts = self.hosts.values().map(|record| &record.domain);
        let named = servers.chain(unnamed).chain(hosts);
        named.chain([&self.own.domain]).cloned().collect()
    }
}
