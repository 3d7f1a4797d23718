//! Evacuated failure domains in plans: their servers are no candidates and their ranges leave step by step;
//! afterwards the servers become candidates again one after the other.

use std::sync;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::evacuation as departure;
use crate::ownership::granter;
use crate::ownership::plan;
use crate::serving::directory;
use crate::serving::evacuation;

impl granter::KeyGranter {
    /// Sets the failure domains that are evacuated or return.
    pub fn note_evacuated(&mut self, evacuated: &sync::Arc<evacuation::EvacuatedDomains>) {
        self.evacuated = sync::Arc::clone(evacuated);
    }

    // Removes the servers of evacuated domains from a service's servers, and those of returning domains whose
    // turn has not come. A server that still holds keys is not withheld, and none is where no others are left.
    pub(super) fn without_evacuated<'a>(
        &self,
        servers: Vec<&'a sync::Arc<directory::ServerRecord>>,
        now: clock::MonoTime,
    ) -> Vec<&'a sync::Arc<directory::ServerRecord>> {
        if self.evacuated.is_empty() {
            return servers;
        }
        let servers = servers.into_iter();
        let usable = servers.filter(|record| !self.evacuated.is_evacuated(&record.domain));
        let usable: Vec<_> = usable.collect();
        let admitted = usable.iter().filter(|record| {
            let server = &record.life.server;
            !self.evacuated.is_withheld(&record.domain, server, now) || self.holds_keys(record)
        });
        let admitted: Vec<_> = admitted.copied().collect();
        if admitted.is_empty() {
            return usable;
        }
        admitted
    }

    // The ranges of a service that stay for now with servers of evacuated domains. Servers that drain or do
    // not respond are not waited for: their ranges are reassigned like those of lost servers.
    pub(super) fn staying_ranges(
        &mut self,
        service: &names::ServiceName,
        candidates: &[plan::CandidateServer],
        servers: &directory::ServerDirectory,
        now: clock::MonoTime,
    ) -> departure::StayingRanges {
        let leaving = if candidates.is_empty() {
            departure::LeavingServers::new()
        } else {
            self.leaving_servers(service, servers, now)
        };
        let ranges = self.table.services.get(service);
        let ranges = ranges.map_or(&[][..], Vec::as_slice);
        let loads = &self.key_loads.entry(service.clone()).or_default().quick;
        let bound = self.evacuated.bound();
        self.departures
            .staying(service, ranges, &leaving, loads, bound, now)
    }

    fn leaving_servers(
        &self,
        service: &names::ServiceName,
        servers: &directory::ServerDirectory,
        now: clock::MonoTime,
    ) -> departure::LeavingServers {
        let leaving = servers.servers().filter(|record| {
            record.service == *service
                && record.state == directory::ServerState::Ready
                && self.evacuated.is_evacuated(&record.domain)
                && !self.is_excluded(&record.life, now)
                && !self.fencing.is_unfenced(&record.life.server)
                && !self.ended.contains(&record.life)
        });
        leaving.map(|record| record.life.clone()).collect()
    }

    fn holds_keys(&self, record: &directory::ServerRecord) -> bool {
        let ranges = self.table.services.get(&record.service);
        let mut ranges = ranges.into_iter().flatten();
        ranges.any(|range: &assignment::RangeEntry| range.holder.life == record.life)
    }
}
