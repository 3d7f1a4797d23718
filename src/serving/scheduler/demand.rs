//! What this host wants of each server, as it tells the other hosts.

use crate::names;
use crate::serving::scheduler;
use crate::serving::view;

impl scheduler::RequestScheduler {
    /// Returns what this host has at each server, running or waiting.
    #[must_use]
    pub fn demand(&self) -> view::ServerDemand {
        let busy = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.running + lane.waiting > 0);
        let mut demand: view::ServerDemand = busy
            .map(|(name, lane)| (name.clone(), f64::from(lane.running + lane.waiting)))
            .collect();
        for (service, line) in &self.lines {
            self.add_pool_demand(service, line, &mut demand);
        }
        demand
    }

    // Unkeyed requests that wait count at all servers of the service alike.
    fn add_pool_demand(
        &self,
        service: &names::ServiceName,
        line: &scheduler::ServiceLine,
        demand: &mut view::ServerDemand,
    ) {
        let waiting = line
            .queue
            .values()
            .filter(|w| w.request.key.is_none())
            .count();
        let lanes = self
            .lanes
            .values()
            .filter(|lane| lane.record.service == *service);
        let names: Vec<_> = lanes.map(|lane| lane.record.life.server.clone()).collect();
        if waiting == 0 || names.is_empty() {
            return;
        }
        let each = scheduler::to_f64(waiting) / scheduler::to_f64(names.len());
        for name in names {
            *demand.entry(name).or_default() += each;
        }
    }
}
