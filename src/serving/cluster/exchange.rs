//! The exchange of status updates: with which hosts this one exchanges them, and what they say.

use std::collections;
use std::net;
use std::time;

use crate::clock;
use crate::names;
use crate::serving::cluster;
use crate::serving::demand;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;

/// A host to exchange status updates with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeTarget {
    /// The host.
    pub host: names::HostName,
    /// The address on which it serves other hosts.
    pub peers: net::SocketAddr,
    /// Why.
    pub purpose: status::ExchangePurpose,
}

impl ExchangeTarget {
    fn new(record: &status::HostRecord, purpose: status::ExchangePurpose) -> Self {
        Self {
            host: record.host.clone(),
            peers: record.peers,
            purpose,
        }
    }
}

impl cluster::ClusterState {
    /// Returns the hosts with which this host exchanges status updates in each interval: the one that
    /// supplies it, or, where it reads the store, one of each other domain and the granter.
    #[must_use]
    pub fn exchange_targets(
        &self,
        grants: &cluster::GrantSnapshot,
        now: clock::MonoTime,
    ) -> Vec<ExchangeTarget> {
        let mut targets = match self.source() {
            upstream::RecordSource::Host(record) => {
                vec![ExchangeTarget::new(
                    &record,
                    status::ExchangePurpose::Report,
                )]
            }
            upstream::RecordSource::Store => self.domain_targets(grants, now),
        };
        let queried = self.upstream.retried(&self.hosts, now);
        for record in queried.into_iter().chain(self.other_candidates()) {
            if targets.iter().all(|target| target.host != record.host) {
                targets.push(ExchangeTarget::new(&record, status::ExchangePurpose::Query));
            }
        }
        targets
    }

    // The other hosts that may supply this one, while the usual one is passed over: all at once, since
    // what ends one may have ended them too.
    fn other_candidates(&self) -> Vec<status::HostRecord> {
        match self.source() {
            upstream::RecordSource::Host(usual) if self.responses.is_passed_over(&usual.host) => {
                self.upstream.candidates(&self.hosts)
            }
            _ => Vec::new(),
        }
    }

    /// Records that a status update is sent to another host. `ends` are the positions at which this
    /// host's copies end.
    pub fn note_asked(
        &mut self,
        host: &names::HostName,
        ends: topic::TopicEnds,
        now: clock::MonoTime,
    ) {
        self.responses.note_asked(host, ends, now);
    }

    fn domain_targets(
        &self,
        grants: &cluster::GrantSnapshot,
        now: clock::MonoTime,
    ) -> Vec<ExchangeTarget> {
        let readers = self.other_readers(now);
        let mut targets: Vec<_> = readers
            .iter()
            .map(|record| ExchangeTarget::new(record, status::ExchangePurpose::Domains))
            .collect();
        let granter = grants.granter.as_ref();
        let granter = granter.filter(|granter| granter.host != self.own.host);
        if let Some(granter) = granter
            && targets.iter().all(|target| target.host != granter.host)
        {
            targets.push(ExchangeTarget {
                host: granter.host.clone(),
                peers: granter.peers,
                purpose: status::ExchangePurpose::Query,
            });
        }
        targets
    }

    // The other hosts that read the store, while this one does: those of the other domains, and in a
    // domain of so few hosts that each reads the store, those of its own.
    fn other_readers(&self, now: clock::MonoTime) -> Vec<status::HostRecord> {
        let domains: collections::BTreeSet<_> =
            self.hosts.values().map(|record| &record.domain).collect();
        let others = domains
            .into_iter()
            .filter(|domain| **domain != self.own.domain);
        let mut readers: Vec<_> = others
            .flat_map(|domain| self.upstream.readers_of(domain, &self.hosts, now))
            .collect();
        let siblings = self.hosts.values().filter(|r| r.domain == self.own.domain);
        let siblings: Vec<_> = siblings.cloned().collect();
        if siblings.len() < upstream::MAX_READING_HOSTS {
            readers.extend(siblings);
        }
        readers
    }

    /// Returns the request of an exchange with `target`.
    #[must_use]
    pub fn request_for(
        &self,
        target: &ExchangeTarget,
        grants: &cluster::GrantSnapshot,
        now: clock::MonoTime,
    ) -> status::HostStatusUpdate {
        let is_granter = grants
            .granter
            .as_ref()
            .is_some_and(|g| g.host == target.host);
        let reports = target.purpose == status::ExchangePurpose::Report;
        let loads = reports || is_granter;
        let demand = match target.purpose {
            status::ExchangePurpose::Query => None,
            _ => Some(self.reports.sum_below(&self.demand, now)),
        };
        status::HostStatusUpdate {
            demand,
            loads: loads.then(|| self.reports.sum_loads_for(&target.host, &self.loads, now)),
            ..self.status(target.purpose, grants, now)
        }
    }

    /// Returns the response to another host's request.
    #[must_use]
    pub fn response_to(
        &self,
        request: &status::HostStatusUpdate,
        grants: &cluster::GrantSnapshot,
        now: clock::MonoTime,
    ) -> status::HostStatusUpdate {
        let demand = match request.purpose {
            status::ExchangePurpose::Report => {
                let host = &request.record.host;
                let mut sum = self.reports.sum_for(host, &self.demand, now);
                sum.retain_busy(&self.directory);
                Some(sum)
            }
            status::ExchangePurpose::Domains => Some(self.reports.sum_below(&self.demand, now)),
            status::ExchangePurpose::Query => None,
        };
        let is_new = request.uptime_millis < cluster::NEW_HOST_MS;
        status::HostStatusUpdate {
            demand,
            removed_servers: is_new.then(|| self.directory.recently_removed(now)),
            ..self.status(request.purpose, grants, now)
        }
    }

    fn status(
        &self,
        purpose: status::ExchangePurpose,
        grants: &cluster::GrantSnapshot,
        now: clock::MonoTime,
    ) -> status::HostStatusUpdate {
        let uptime = now.since(self.started).as_millis();
        status::HostStatusUpdate {
            purpose,
            record: self.own.clone(),
            uptime_millis: u64::try_from(uptime).unwrap_or(u64::MAX),
            store_lost: self.store_lost(),
            ends: grants.ends,
            records_age_millis: self.records_age_millis(now),
            store_era: Some(self.store_era),
            term: grants.term,
            granter: grants.granter.clone(),
            overtaken: grants.overtaken.clone(),
            granted: grants.granted,
            demand: None,
            loads: None,
            removed_servers: None,
            evacuations: Some(self.evacuations.statements()),
        }
    }

    /// Applies another host's request.
    pub fn note_request(&mut self, request: status::HostStatusUpdate, now: clock::MonoTime) {
        let Some(host) = self.note_peer(&request, now) else {
            return;
        };
        let reports = request.purpose == status::ExchangePurpose::Report;
        if let Some(sum) = request.demand {
            if reports {
                self.reports.note_below(&host, sum, now);
            } else {
                self.note_beyond(&request.record, sum, now);
            }
        }
        if let Some(loads) = request.loads {
            if reports {
                self.reports.note_loads_below(&host, loads, now);
            } else {
                self.reports.note_loads_beyond(&host, loads, now);
            }
        }
    }

    /// Applies the response to a request of this host.
    pub fn note_response(&mut self, response: status::HostStatusUpdate, now: clock::MonoTime) {
        let Some(host) = self.note_peer(&response, now) else {
            return;
        };
        self.responses.note_answered(&host, &response.ends, now);
        for server in response.removed_servers.into_iter().flatten() {
            self.directory.note_removed(server, now);
        }
        let supplies = matches!(self.source(), upstream::RecordSource::Host(r) if r.host == host);
        if response.purpose == status::ExchangePurpose::Report && supplies {
            self.note_supply(response.store_lost, now);
        }
        if let Some(sum) = response.demand {
            self.note_beyond(&response.record, sum, now);
        }
    }

    /// Records that an exchange with a host failed.
    pub fn note_exchange_failed(&mut self, host: &names::HostName, now: clock::MonoTime) {
        self.upstream.note_failure(host, now);
        self.responses.note_failed(host);
    }

    /// Reports whether a host is passed over, since its response is overdue, or a call to it has failed.
    #[must_use]
    pub fn is_passed_over(&self, host: &names::HostName) -> bool {
        self.responses.is_passed_over(host)
    }

    fn note_supply(&mut self, store_lost: bool, now: clock::MonoTime) {
        if store_lost {
            self.directory.note_store_lost(now);
        }
        // Failures of this host's own calls say nothing of the host that supplies it.
        self.lost.clear();
        self.supply = Some(cluster::SupplyState {
            store_lost,
            received_at: now,
        });
    }

    // The sums that another host sends of hosts that do not report to this one: from the host that
    // supplies this one all others, otherwise those of another domain or of a single host.
    fn note_beyond(
        &mut self,
        record: &status::HostRecord,
        sum: demand::DemandSum,
        now: clock::MonoTime,
    ) {
        self.reports.note_beyond(&record.host, sum, now);
        let present: collections::BTreeSet<_> = match self.source() {
            upstream::RecordSource::Host(supplier) => [supplier.host].into(),
            upstream::RecordSource::Store => {
                let readers = self.other_readers(now).into_iter();
                readers.map(|record| record.host).collect()
            }
        };
        self.reports.retain_beyond(&present);
    }

    // Records what a status update says of its sender; returns the sender, `None` for this host.
    fn note_peer(
        &mut self,
        update: &status::HostStatusUpdate,
        now: clock::MonoTime,
    ) -> Option<names::HostName> {
        let host = update.record.host.clone();
        if host == self.own.host {
            return None;
        }
        self.note_store_era(update.store_era.unwrap_or(0));
        let statements = update.evacuations.clone().unwrap_or_default();
        self.evacuations.note_statements(statements, now);
        self.hosts.insert(host.clone(), update.record.clone());
        self.upstream.note_response(&host, update.store_lost, now);
        let peer = cluster::PeerState {
            record: update.record.clone(),
            ends: update.ends,
            term: update.term,
            granter: update.granter.clone(),
            received_at: now,
        };
        self.peers.insert(host.clone(), peer);
        Some(host)
    }

    /// Passes over the hosts whose responses are overdue, and counts the store as lost where the host that
    /// supplies this one has not responded for some time. Reports whether that changed.
    pub fn check_supply(&mut self, now: clock::MonoTime) -> bool {
        self.responses.check(now);
        let is_stale = self.note_stale_supply(now);
        self.check_host_list(now);
        is_stale
    }

    fn note_stale_supply(&mut self, now: clock::MonoTime) -> bool {
        let stale = time::Duration::from_millis(cluster::SUPPLY_STALE_MS);
        let Some(supply) = &mut self.supply else {
            return false;
        };
        let is_stale = !supply.store_lost && now.since(supply.received_at) >= stale;
        supply.store_lost |= is_stale;
        is_stale
    }
}
