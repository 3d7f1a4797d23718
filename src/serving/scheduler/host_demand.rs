//! The demand of this host, which it reports to the other hosts.

use crate::serving::scheduler;
use crate::serving::view;

impl scheduler::RequestScheduler {
    /// Returns the numbers of running and waiting requests.
    #[must_use]
    pub fn demand(&self) -> view::HostDemand {
        let busy = self
            .servers
            .iter()
            .filter(|(_, server)| server.running + server.waiting > 0);
        let servers =
            busy.map(|(name, server)| (name.clone(), f64::from(server.running + server.waiting)));
        let services = self.queues.iter();
        let waiting =
            services.map(|(service, queue)| (service.clone(), queue.waiting_without_key()));
        view::HostDemand {
            servers: servers.collect(),
            pool_waiting: waiting.filter(|(_, count)| *count > 0).collect(),
        }
    }
}

impl scheduler::ServiceQueue {
    fn waiting_without_key(&self) -> u32 {
        let waiting = self.entries.values();
        let count = waiting.filter(|w| w.request.key.is_none()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
