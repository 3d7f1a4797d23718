//! The demand of this host at each server, which it reports to the other hosts.

use crate::names;
use crate::serving::scheduler;
use crate::serving::view;

impl scheduler::RequestScheduler {
    /// Returns the number of running and waiting requests for each server.
    #[must_use]
    pub fn demand(&self) -> view::ServerDemand {
        let busy = self
            .servers
            .iter()
            .filter(|(_, server)| server.running + server.waiting > 0);
        let mut demand: view::ServerDemand = busy
            .map(|(name, server)| (name.clone(), f64::from(server.running + server.waiting)))
            .collect();
        for (service, queue) in &self.queues {
            self.add_pool_demand(service, queue, &mut demand);
        }
        demand
    }

    // Waiting requests without a key count in equal parts at all servers of the service.
    fn add_pool_demand(
        &self,
        service: &names::ServiceName,
        queue: &scheduler::ServiceQueue,
        demand: &mut view::ServerDemand,
    ) {
        let waiting = queue
            .entries
            .values()
            .filter(|w| w.request.key.is_none())
            .count();
        let servers = self
            .servers
            .values()
            .filter(|server| server.record.service == *service);
        let names: Vec<_> = servers
            .map(|server| server.record.life.server.clone())
            .collect();
        if waiting == 0 || names.is_empty() {
            return;
        }
        let each = scheduler::to_f64(waiting) / scheduler::to_f64(names.len());
        for name in names {
            *demand.entry(name).or_default() += each;
        }
    }
}
