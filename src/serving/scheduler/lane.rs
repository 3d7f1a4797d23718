//! One server at the desk of this host: what runs there, and what is known of it.

use std::sync;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::scheduler;

pub(super) struct ServerLane {
    pub(super) record: sync::Arc<directory::ServerRecord>,
    // Whether the view still has the server.
    pub(super) listed: bool,
    // When a server that leaves gets nothing any longer.
    pub(super) drained_at: Option<clock::MonoTime>,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) measure: estimate::ServerEstimate,
}

impl ServerLane {
    pub(super) fn new(record: sync::Arc<directory::ServerRecord>) -> Self {
        Self {
            record,
            listed: true,
            drained_at: None,
            running: 0,
            waiting: 0,
            measure: estimate::ServerEstimate::new(),
        }
    }

    pub(super) fn service_ms(&self) -> f64 {
        self.measure
            .service_ms()
            .unwrap_or(scheduler::ASSUMED_SERVICE_MS)
    }

    // Whether a request for a key that it holds may still go there. A server that leaves serves its
    // keys until they have moved, but not for long.
    pub(super) fn serves_keys(
        &self,
        life: &assignment::ServerIncarnation,
        now: clock::MonoTime,
    ) -> bool {
        self.listed
            && self.record.life == *life
            && self.drained_at.is_none_or(|until| now < until)
            && !self.measure.is_paused(now)
    }

    pub(super) fn takes(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        self.listed
            && self.record.service == *service
            && self.record.state == directory::ServerState::Ready
            && !self.measure.is_paused(now)
    }
}
