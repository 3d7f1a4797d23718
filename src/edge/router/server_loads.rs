//! Passes on to the scheduler what servers report of their load in responses.

use crate::clock::MonoClock as _;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::serving::directory;
use crate::serving::load_report;

impl<C: ports::HeaderCodec> traffic::TrafficThread<C> {
    /// Records what a response of a server says of the server's load.
    pub(crate) fn note_load(
        &self,
        record: &directory::ServerRecord,
        header: load_report::LoadHeader,
    ) {
        let outcome = match header {
            load_report::LoadHeader::Missing => return,
            load_report::LoadHeader::Malformed => {
                if self.log_budget.try_take() {
                    tracing::warn!(event = "load-report-malformed", server = %record.life.server);
                }
                "malformed"
            }
            load_report::LoadHeader::Stated(load) => {
                let now = self.parts.clock.now();
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.note_load(&record.life, load, now);
                "noted"
            }
        };
        self.parts.metrics.note_load_report(outcome);
    }
}
