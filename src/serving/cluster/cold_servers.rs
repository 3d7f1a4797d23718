//! The cold servers, and this host's part of the requests that they can bear.

use crate::clock;
use crate::serving::cluster;
use crate::serving::cold;

impl cluster::ClusterState {
    /// Sets the bound on the requests that arrive at cold servers.
    #[must_use]
    pub const fn with_cold_bounds(mut self, bounds: cold::ColdBounds) -> Self {
        self.cold_bounds = bounds;
        self
    }

    /// Records that the store has acknowledged this host's registration.
    pub fn note_registered(&mut self, now: clock::MonoTime) {
        self.host_list.note_registered(now);
    }

    // Records whether the list of hosts is current.
    pub(super) fn check_host_list(&mut self, now: clock::MonoTime) {
        if self.hosts_known.is_some() && !self.store_lost() {
            self.host_list.note_current(now);
        }
    }

    // A host that may lack other hosts in its list sends nothing to cold servers.
    pub(super) fn cold_servers(&self, now: clock::MonoTime) -> cold::ColdServers {
        let Some(routes) = &self.routes else {
            return cold::ColdServers::new();
        };
        let is_usable = self.host_list.is_usable(now);
        let shares = self.directory.known_servers().filter_map(|known| {
            let limit = routes.services.get(&known.record.service)?.cold?;
            let until = known.cold.until(&limit).filter(|until| now < *until)?;
            let server = &known.record.life.server;
            let quota = if is_usable {
                let allowed = self.cold_bounds.allowed(&limit);
                cold::host_quota(allowed, server, &self.own.host, self.hosts.keys())
            } else {
                0
            };
            Some((server.clone(), cold::ColdShare { until, quota }))
        });
        shares.collect()
    }
}
