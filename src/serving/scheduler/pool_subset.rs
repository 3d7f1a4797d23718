//! Applies the subsets of servers without keys in the scheduler: which servers a host uses, and how many.

use std::collections;

use crate::clock;
use crate::names;
use crate::serving::directory;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;
use crate::serving::subset;

/// Time in which the size of a subset follows a fall of the host's demand by half, in milliseconds. Connections
/// to servers that leave the subset are closed as idle; a wave of requests every few seconds must not open them
/// each time.
pub const SUBSET_HALF_LIFE_MS: f64 = 10_000.0;
/// How many requests of its own a host makes room for, for each that it has: its demand varies faster than
/// connections should.
pub const DEMAND_MARGIN: f64 = 1.5;

/// The requests without keys that this host has for a service; falls slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolDemandPeak {
    requests: f64,
    noted_at: Option<clock::MonoTime>,
}

impl PoolDemandPeak {
    /// Records the present number.
    pub fn note(&mut self, requests: f64, now: clock::MonoTime) {
        let since = self.noted_at.replace(now).unwrap_or(now);
        let elapsed_ms = scheduler::millis(now.since(since));
        let kept = (-elapsed_ms / SUBSET_HALF_LIFE_MS).exp2();
        self.requests = requests.max(self.requests * kept);
    }
}

type ServiceDomain = (names::ServiceName, names::DomainName);

/// The windows of all services and failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct SubsetWindows(collections::BTreeMap<ServiceDomain, subset::ServerWindow>);

impl SubsetWindows {
    /// Creates the windows of a host at `place` over the servers that accept requests.
    pub(super) fn new<'a>(
        place: subset::HostPlace,
        servers: impl Iterator<Item = &'a directory::ServerRecord>,
    ) -> Self {
        let mut groups = collections::BTreeMap::<ServiceDomain, Vec<_>>::new();
        for record in servers.filter(|record| record.state == directory::ServerState::Ready) {
            let group = (record.service.clone(), record.domain.clone());
            groups.entry(group).or_default().push(&record.life.server);
        }
        let windows = groups.into_iter().map(|(group, names)| {
            let window = subset::ServerWindow::new(place, names.into_iter());
            (group, window)
        });
        Self(windows.collect())
    }

    fn window(&self, record: &directory::ServerRecord) -> Option<&subset::ServerWindow> {
        self.0.get(&(record.service.clone(), record.domain.clone()))
    }
}

impl scheduler::RequestScheduler {
    // Recomputes the windows. They depend on the view alone.
    pub(super) fn sync_subsets(&mut self) {
        let records = self.view.servers.values().map(|known| &*known.record);
        self.subsets = SubsetWindows::new(self.view.place, records);
        for server in self.servers.values_mut() {
            let window = self.subsets.window(&server.record);
            let positions = window.map(subset::ServerWindow::positions);
            let position =
                positions.and_then(|positions| positions.get(&server.record.life.server));
            server.position = position.copied().unwrap_or(usize::MAX);
        }
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.update_subset(&service);
        }
    }

    // Reports whether the server is in this host's subset. Every server is where there are not more hosts
    // than may have one request each at it.
    fn is_in_subset(&self, server: &tracked_server::TrackedServer) -> bool {
        let hosts = self.view.hosts;
        if server.has_few_hosts(&self.view) {
            return true;
        }
        let Some(window) = self.subsets.window(&server.record) else {
            return true;
        };
        let queue = self.queues.get(&server.record.service);
        let peak = queue.map_or(0.0, |queue| queue.pool_peak.requests);
        let size = window.size(server.room(), hosts, peak * DEMAND_MARGIN);
        server.position < size
    }

    // Returns the servers that a request without a key may be sent to: those of this host's subset, or all
    // where none of them is usable.
    pub(super) fn pool_servers(
        &self,
        service: &names::ServiceName,
        now: clock::MonoTime,
    ) -> Vec<&tracked_server::TrackedServer> {
        let servers = self.servers.values();
        let usable: Vec<_> = servers
            .filter(|server| server.accepts(service, now) && !self.is_closed(server, now))
            .collect();
        let subset = usable.iter().copied();
        let subset: Vec<_> = subset.filter(|server| server.in_subset).collect();
        if subset.is_empty() { usable } else { subset }
    }

    // Marks the servers of a service that are in this host's subset.
    fn update_subset(&mut self, service: &names::ServiceName) {
        let servers = self.servers.values();
        let ours = servers.filter(|server| server.record.service == *service);
        let chosen = ours.filter(|server| self.is_in_subset(server));
        let chosen: collections::BTreeSet<_> = chosen
            .map(|server| server.record.life.server.clone())
            .collect();
        for server in self.servers.values_mut() {
            if server.record.service == *service {
                server.in_subset = chosen.contains(&server.record.life.server);
            }
        }
    }

    // Records how many requests without keys this host has for a service, and fits its subset to them.
    pub(super) fn note_pool_demand(&mut self, service: &names::ServiceName, now: clock::MonoTime) {
        let queue = self.queues.get(service);
        if queue.is_none_or(|queue| !queue.has_pool) {
            return;
        }
        let servers = self.servers.values();
        let ours = servers.filter(|server| server.record.service == *service);
        let running: u32 = ours.map(|server| server.running).sum();
        if let Some(queue) = self.queues.get_mut(service) {
            let waiting = queue.waiting_without_key();
            queue.pool_peak.note(f64::from(running + waiting), now);
        }
        self.update_subset(service);
    }
}
