//! A server as the scheduler tracks it: its running and waiting requests, and its estimates.

use std::sync;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::cold;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::scheduler;

pub(super) struct TrackedServer {
    pub(super) record: sync::Arc<directory::ServerRecord>,
    // Whether the view still lists the server.
    pub(super) listed: bool,
    // The time from which a draining server gets no more requests.
    pub(super) drained_at: Option<clock::MonoTime>,
    // Until when keyed requests go to the server, where its failure domain is evacuated.
    pub(super) evacuated_until: Option<clock::MonoTime>,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) estimate: estimate::ServerEstimate,
    // The service times of the requests answered since the last report, in milliseconds, and their
    // number.
    pub(super) answered: (f64, u32),
    // The requests that have ended and may have arrived in the last second.
    pub(super) arrivals: cold::ArrivalWindow,
}

impl TrackedServer {
    pub(super) fn new(
        record: sync::Arc<directory::ServerRecord>,
        drained_at: Option<clock::MonoTime>,
    ) -> Self {
        Self {
            record,
            listed: true,
            drained_at,
            evacuated_until: None,
            running: 0,
            waiting: 0,
            estimate: estimate::ServerEstimate::new(),
            answered: (0.0, 0),
            arrivals: cold::ArrivalWindow::new(),
        }
    }

    pub(super) fn service_ms(&self) -> f64 {
        self.estimate
            .service_ms()
            .unwrap_or(scheduler::ASSUMED_SERVICE_MS)
    }

    // Whether requests for keys that the server holds may be sent to it. A draining server serves
    // its keys until they have moved, but only up to `drained_at`.
    pub(super) fn accepts_keyed(
        &self,
        incarnation: &assignment::ServerIncarnation,
        now: clock::MonoTime,
    ) -> bool {
        self.listed
            && self.record.life == *incarnation
            && self.drained_at.is_none_or(|until| now < until)
            && self.evacuated_until.is_none_or(|until| now < until)
            && !self.estimate.is_backing_off(now)
    }

    pub(super) fn accepts(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        self.listed
            && self.record.service == *service
            && self.record.state == directory::ServerState::Ready
            && self.evacuated_until.is_none()
            && !self.estimate.is_backing_off(now)
    }
}
