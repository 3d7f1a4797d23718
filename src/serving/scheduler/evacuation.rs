//! Keeps requests from the servers of evacuated failure domains.

use crate::serving::scheduler;

impl scheduler::RequestScheduler {
    // Applies the evacuated domains of the view to all servers.
    pub(super) fn apply_evacuations(&mut self) {
        let evacuated = &self.view.evacuated;
        for server in self.servers.values_mut() {
            server.evacuated_until = evacuated.keyed_until(&server.record.domain);
        }
    }
}
