//! The demand of this host at each server, which it reports to the other hosts.

use crate::names;
use crate::serving::desk;
use crate::serving::view;

impl desk::ServiceDesk {
    /// Returns the number of running and waiting requests for each server.
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

    // Waiting requests without a key count in equal parts at all servers of the service.
    fn add_pool_demand(
        &self,
        service: &names::ServiceName,
        line: &desk::ServiceLine,
        demand: &mut view::ServerDemand,
    ) {
        let waiting = line.queue.values().filter(|w| w.wish.key.is_none()).count();
        let lanes = self
            .lanes
            .values()
            .filter(|lane| lane.record.service == *service);
        let names: Vec<_> = lanes.map(|lane| lane.record.life.server.clone()).collect();
        if waiting == 0 || names.is_empty() {
            return;
        }
        let each = desk::to_f64(waiting) / desk::to_f64(names.len());
        for name in names {
            *demand.entry(name).or_default() += each;
        }
    }
}
