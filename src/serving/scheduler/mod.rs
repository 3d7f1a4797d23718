//! Who waits for a server, who goes next, and who is refused at once.
//!
//! One desk a traffic thread. It answers floods: urgent work goes first; a request whose wait would
//! outlast its latency objective is refused on arrival, so that the slots serve requests in time;
//! and each host keeps to its share of a server, so that servers' own queues stay short.

mod choice;
mod demand;
mod lane;
mod waits;

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::retry;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::view;

/// How many requests all hosts keep at a server, for each of its slots.
pub const REQUESTS_PER_SLOT: f64 = 1.2;
/// The service time that is assumed before one is measured, in milliseconds.
pub const ASSUMED_SERVICE_MS: f64 = 100.0;
/// The part of the time for which a leaving server serves on in which it still gets requests for keys
/// that it holds.
pub const DRAIN_FRACTION: f64 = 0.6;
/// The longest wait that is accepted for a request that is late already, as a part of its time left.
pub const LATE_WAIT_PART: f64 = 0.15;
/// The part of the expected service time that must be left for a start to pay.
pub const START_PART: f64 = 0.6;
/// By how much each failure in a hundred makes a server look slower, in percent.
pub const FAILURE_PENALTY: f64 = 6.0;
/// How much longer a server of another failure domain may seem for each kilobyte sent, in
/// milliseconds.
pub const FAR_MS_PER_KB: f64 = 2.0;
/// How much longer it may seem at least, in milliseconds.
pub const FAR_MS: f64 = 8.0;
/// The longest time that a request waits for a server of its own failure domain while others are
/// free, in milliseconds.
pub const MAX_NEAR_WAIT_MS: u64 = 120;
/// The part of the hosts' common retry budget that is used; the rest covers uneven shares.
pub const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// Names a request that waits at the desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

/// A request that wants a server.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The service.
    pub service: names::ServiceName,
    /// The key, where the service's servers own keys.
    pub key: Option<u16>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u32,
    /// Until when an answer counts in full.
    pub objective: clock::MonoTime,
    /// Until when it must be answered.
    pub deadline: clock::MonoTime,
    /// The size of its body, in bytes.
    pub body_bytes: u64,
    /// Whether it was sent to a server before.
    pub is_retry: bool,
    /// The server that it was sent to last.
    pub avoid: Option<names::ServerName>,
}

/// Why the desk gave a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerRefusal {
    /// The wait would be too long.
    Crowded,
    /// There is no server, or none that can be reached.
    NoServer,
    /// Its time is over.
    TooLate,
    /// The retry budget is used up.
    Budget,
}

/// What the desk decided of a waiting request.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// It goes to a server.
    Assigned(WaitTicket, sync::Arc<directory::ServerRecord>),
    /// It was given up.
    GivenUp(WaitTicket, SchedulerRefusal),
}

struct Waiting {
    request: DispatchRequest,
    since: clock::MonoTime,
}

#[derive(Default)]
struct ServiceLine {
    // Most urgent first, then in order of arrival.
    queue: collections::BTreeMap<(u32, WaitTicket), Waiting>,
    budget: Option<retry::RetryBudget>,
}

/// The settings of a desk.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// How many repeats all hosts may send for each request.
    pub retry_ratio: f64,
    /// How many repeats all hosts may send besides.
    pub retry_slack: f64,
    /// How long servers serve on after they have said that they leave.
    pub drain: time::Duration,
}

/// The desk of one traffic thread.
pub struct RequestScheduler {
    settings: SchedulerSettings,
    view: sync::Arc<view::ServingView>,
    lanes: collections::BTreeMap<names::ServerName, lane::ServerLane>,
    lines: collections::BTreeMap<names::ServiceName, ServiceLine>,
    next: u64,
}

impl RequestScheduler {
    /// Creates a desk without servers.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            view: sync::Arc::new(view::ServingView::new()),
            lanes: collections::BTreeMap::new(),
            lines: collections::BTreeMap::new(),
            next: 0,
        }
    }

    /// Takes a new view of servers and grants.
    pub fn sync(&mut self, view: &sync::Arc<view::ServingView>, now: clock::MonoTime) {
        if sync::Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = sync::Arc::clone(view);
        for (name, record) in view.servers.iter() {
            match self.lanes.get_mut(name) {
                Some(lane) if lane.record.life == record.life => {
                    lane.record = sync::Arc::clone(record);
                }
                _ => {
                    let lane = lane::ServerLane::new(sync::Arc::clone(record));
                    self.lanes.insert(name.clone(), lane);
                }
            }
        }
        for (name, lane) in &mut self.lanes {
            lane.listed = view.servers.contains_key(name);
            let drains = lane.record.state == directory::ServerState::Draining;
            let until = now + self.settings.drain.mul_f64(DRAIN_FRACTION);
            lane.drained_at = lane.drained_at.or(Some(until)).filter(|_| drains);
        }
        self.lanes.retain(|_, lane| lane.running > 0 || lane.listed);
    }

    /// Takes a request. It waits until [`Self::dispatch_waiting`] decides.
    ///
    /// # Errors
    /// Fails at once when it is clear that the request cannot be served.
    pub fn enqueue(
        &mut self,
        request: DispatchRequest,
        now: clock::MonoTime,
    ) -> Result<WaitTicket, SchedulerRefusal> {
        self.draw_budget(&request)?;
        if !request.is_retry {
            self.check_wait(&request, now)?;
        }
        self.next += 1;
        let ticket = WaitTicket(self.next);
        if let Some(lane) = self.owner_lane(&request) {
            lane.waiting += 1;
        }
        let line = self.lines.entry(request.service.clone()).or_default();
        let place = (request.priority, ticket);
        line.queue.insert(
            place,
            Waiting {
                request,
                since: now,
            },
        );
        Ok(ticket)
    }

    /// Forgets a waiting request whose caller has left.
    pub fn cancel(&mut self, service: &names::ServiceName, priority: u32, ticket: WaitTicket) {
        let line = self.lines.get_mut(service);
        let removed = line.and_then(|line| line.queue.remove(&(priority, ticket)));
        if let Some(waiting) = removed
            && let Some(lane) = self.owner_lane(&waiting.request)
        {
            lane.waiting = lane.waiting.saturating_sub(1);
        }
    }

    /// Takes the end of an exchange with a server.
    pub fn finish(
        &mut self,
        life: &assignment::ServerIncarnation,
        end: estimate::ExchangeEnd,
        elapsed: time::Duration,
        now: clock::MonoTime,
    ) {
        let Some(lane) = self.lanes.get_mut(&life.server) else {
            return;
        };
        if lane.record.life != *life {
            return;
        }
        lane.running = lane.running.saturating_sub(1);
        lane.measure.note(end, elapsed, now);
    }

    /// Reports whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.lines.values().any(|line| !line.queue.is_empty())
    }

    /// Decides who goes to which server now, and who is given up.
    pub fn dispatch_waiting(&mut self, now: clock::MonoTime) -> Vec<SchedulerEvent> {
        let mut events = Vec::new();
        let services: Vec<_> = self.lines.keys().cloned().collect();
        for service in services {
            self.pump_service(&service, now, &mut events);
        }
        events
    }

    /// Returns the measured time of each server, in milliseconds.
    #[must_use]
    pub fn service_times(&self) -> Vec<(names::ServerName, f64)> {
        let lanes = self.lanes.iter();
        let known =
            lanes.filter_map(|(name, lane)| Some((name.clone(), lane.measure.service_ms()?)));
        known.collect()
    }

    fn draw_budget(&mut self, request: &DispatchRequest) -> Result<(), SchedulerRefusal> {
        let hosts = to_f64(self.view.hosts.max(1));
        let ratio = self.settings.retry_ratio * RETRY_BUDGET_FRACTION;
        let most = (self.settings.retry_slack * RETRY_BUDGET_FRACTION / hosts).max(1.0);
        let line = self.lines.entry(request.service.clone()).or_default();
        let budget = line
            .budget
            .get_or_insert_with(|| retry::RetryBudget::with_ratio(ratio, most));
        if !request.is_retry {
            budget.deposit();
            return Ok(());
        }
        if !budget.allows() {
            return Err(SchedulerRefusal::Budget);
        }
        budget.withdraw();
        Ok(())
    }

    fn owner_lane(&mut self, request: &DispatchRequest) -> Option<&mut lane::ServerLane> {
        let key = request.key?;
        let view::KeyOwner::Server(life) = self.view.owner(&request.service, key) else {
            return None;
        };
        self.lanes.get_mut(&life.server)
    }

    fn pump_service(
        &mut self,
        service: &names::ServiceName,
        now: clock::MonoTime,
        events: &mut Vec<SchedulerEvent>,
    ) {
        let Some(line) = self.lines.get_mut(service) else {
            return;
        };
        let queue = std::mem::take(&mut line.queue);
        let service_ms = self.service_ms(service);
        let mut kept = collections::BTreeMap::new();
        let mut pool_full = false;
        for lane in self.lanes.values_mut() {
            if lane.record.service == *service {
                lane.waiting = 0;
            }
        }
        for (place, waiting) in queue {
            if pool_full && waiting.request.key.is_none() && !is_over(&waiting, service_ms, now) {
                kept.insert(place, waiting);
                continue;
            }
            match self.decide(&waiting, service_ms, now) {
                choice::Decision::Send(record) => {
                    if let Some(lane) = self.lanes.get_mut(&record.life.server) {
                        lane.running += 1;
                    }
                    events.push(SchedulerEvent::Assigned(place.1, record));
                }
                choice::Decision::GiveUp(refusal) => {
                    events.push(SchedulerEvent::GivenUp(place.1, refusal));
                }
                choice::Decision::Wait => {
                    if let Some(lane) = self.owner_lane(&waiting.request) {
                        lane.waiting += 1;
                    }
                    kept.insert(place, waiting);
                }
                choice::Decision::PoolFull => {
                    pool_full = true;
                    kept.insert(place, waiting);
                }
            }
        }
        if let Some(line) = self.lines.get_mut(service) {
            line.queue = kept;
        }
    }
}

// Whether too little time is left for a server to answer.
fn is_over(waiting: &Waiting, service_ms: f64, now: clock::MonoTime) -> bool {
    millis(waiting.request.deadline.since(now)) < service_ms * START_PART
}

fn millis(span: time::Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
