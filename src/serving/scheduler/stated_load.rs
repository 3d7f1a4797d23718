//! Uses what servers report of their load: for the choice among servers without keys, and for the expected
//! wait at a server.

use crate::clock;
use crate::ownership::assignment;
use crate::serving::load_report;
use crate::serving::scheduler;
use crate::serving::scheduler::tracked_server;

impl scheduler::RequestScheduler {
    /// Records the load that a server has reported.
    pub fn note_load(
        &mut self,
        incarnation: &assignment::ServerIncarnation,
        load: load_report::ServerLoad,
        now: clock::MonoTime,
    ) {
        let server = self.servers.get_mut(&incarnation.server);
        if let Some(server) = server.filter(|server| server.record.life == *incarnation) {
            server.load.note(load, now);
        }
    }
}

impl tracked_server::TrackedServer {
    // The newest report of the server, where it is believed.
    pub(super) fn stated_load(&self, now: clock::MonoTime) -> Option<&load_report::ServerLoad> {
        let failure_rate = self.estimate.failure_rate();
        self.load.believed(failure_rate, self.service_ms(), now)
    }

    // The expected service time at the moment, in milliseconds.
    pub(super) fn momentary_ms(&self, now: clock::MonoTime) -> f64 {
        let pace = self
            .stated_load(now)
            .map_or(1.0, load_report::ServerLoad::pace);
        self.service_ms() * pace
    }

    // The number of requests at the server relative to its slots, with one more of this host. The report is of
    // the moment at which a response left the server, so it lacks what this host has sent since; it counts only
    // where it is more than this host has there.
    pub(super) fn expected_fill(&self, now: clock::MonoTime) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let own = f64::from(self.running) / slots;
        let stated = self
            .stated_load(now)
            .map_or(0.0, load_report::ServerLoad::fill);
        own.max(stated) + 1.0 / slots
    }

    // How long a request waits at the server itself, as the server states, in milliseconds.
    pub(super) fn stated_wait_ms(&self, now: clock::MonoTime) -> f64 {
        let load = self.stated_load(now);
        load.map_or(0.0, |load| load.wait_ms(self.service_ms()))
    }
}
