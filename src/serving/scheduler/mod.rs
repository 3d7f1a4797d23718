//! Schedules requests to servers: holds the queues, selects a server for the next request and
//! refuses requests that cannot be served in time.
//!
//! Each traffic thread has one scheduler. Under overload, it dispatches urgent requests first. It
//! refuses a request on arrival if its expected wait is too long for its latency objective, so that
//! the slots go to requests that finish in time. Each host keeps to its share of a server, so that
//! the servers' own queues stay short.

mod cold_servers;
mod evacuation;
mod host_demand;
mod selection;
mod shutdown;
mod tracked_server;
mod wait_estimate;

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::retry;
use crate::serving::demand;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::view;

/// Number of requests that all hosts together send to a server concurrently, for each of its slots.
pub const REQUESTS_PER_SLOT: f64 = 1.2;
/// Service time that is assumed before one was measured, in milliseconds.
pub const ASSUMED_SERVICE_MS: f64 = 100.0;
/// Fraction of the drain time during which a draining server still gets requests for keys that it
/// holds.
pub const DRAIN_FRACTION: f64 = 0.6;
/// Fraction of the drain time for which records that were not confirmed again speak for a server. The rest is
/// for the way of a request to the server.
pub const RECORDS_AGE_FRACTION: f64 = 0.7;
/// Longest accepted wait of a request that cannot meet its latency objective, as a fraction of the
/// time left until its deadline.
pub const LATE_WAIT_FRACTION: f64 = 0.15;
/// Fraction of the expected service time that must be left until the deadline for a request to be
/// sent.
pub const MIN_START_FRACTION: f64 = 0.6;
/// How many times the expected service time must be left until the host ends for a request to be sent:
/// one that is refused can go to another host, one that is cut off at a server may not.
pub const END_START_FACTOR: f64 = 2.0;
/// By how many percent each percent of failures raises the expected response time of a server.
pub const FAILURE_PENALTY: f64 = 6.0;
/// What each kilobyte of the body adds to the expected response time of a server in another failure
/// domain, in milliseconds.
pub const REMOTE_PENALTY_MS_PER_KB: f64 = 2.0;
/// What is added to the expected response time of a server in another failure domain whatever the
/// size of the body, in milliseconds.
pub const REMOTE_PENALTY_MS: f64 = 8.0;
/// Longest time that a request waits for a server in this host's failure domain while servers in
/// other domains are free, in milliseconds.
pub const MAX_LOCAL_WAIT_MS: u64 = 120;
/// Fraction of the retry budget of all hosts that is used. The rest covers an uneven distribution
/// of requests over the hosts.
pub const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

/// A request that is to be dispatched to a server.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The service.
    pub service: names::ServiceName,
    /// The key, where the service's servers own keys.
    pub key: Option<u16>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The time until which a response meets the latency objective.
    pub objective: clock::MonoTime,
    /// The time by which the caller must have a response.
    pub deadline: clock::MonoTime,
    /// The size of its body, in bytes.
    pub body_bytes: u64,
    /// Whether this is a retry: the request was assigned to a server before.
    pub is_retry: bool,
    /// The server of the last attempt, which is avoided if there are others.
    pub avoid: Option<names::ServerName>,
}

/// Why the scheduler refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerRefusal {
    /// The expected wait is too long.
    Crowded,
    /// No server is available for it.
    NoServer,
    /// Too little time is left until its deadline.
    TooLate,
    /// The retry budget is exhausted.
    Budget,
    /// The host ends before a server could respond.
    Stopping,
    /// The routes and the servers that the host knows may be outdated.
    Outdated,
    /// The server is cold, and this host's part of the requests that it can bear is used up.
    ColdServer,
}

/// The decision on a waiting request.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// It is assigned to a server.
    Assigned(WaitTicket, sync::Arc<directory::ServerRecord>),
    /// It is refused.
    GivenUp(WaitTicket, SchedulerRefusal),
}

struct Waiting {
    request: DispatchRequest,
    since: clock::MonoTime,
}

#[derive(Default)]
struct ServiceQueue {
    // Ordered by priority, then by arrival.
    entries: collections::BTreeMap<(u32, WaitTicket), Waiting>,
    budget: Option<retry::RetryBudget>,
}

/// The settings of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// How many retries all hosts may send for each new request.
    pub retry_ratio: f64,
    /// How many unused retries all hosts together may accumulate; the budget starts full.
    pub retry_slack: f64,
    /// How long servers go on serving after they have announced that they will end.
    pub drain: time::Duration,
}

impl SchedulerSettings {
    /// Returns the age up to which requests are sent by the records of routes and servers.
    #[must_use]
    pub fn max_records_age(&self) -> time::Duration {
        self.drain.mul_f64(RECORDS_AGE_FRACTION)
    }

    // The time from which a server that drains gets no more requests for its keys. One whose drain began
    // at an unknown time may end at any moment.
    fn drained_at(&self, known: &directory::KnownServer) -> Option<clock::MonoTime> {
        let drains = known.record.state == directory::ServerState::Draining;
        let part = self.drain.mul_f64(DRAIN_FRACTION);
        let until = known.state_since.map(|since| since + part);
        drains.then(|| until.unwrap_or_default())
    }
}

/// The request scheduler of one traffic thread.
pub struct RequestScheduler {
    settings: SchedulerSettings,
    view: sync::Arc<view::ServingView>,
    servers: collections::BTreeMap<names::ServerName, tracked_server::TrackedServer>,
    queues: collections::BTreeMap<names::ServiceName, ServiceQueue>,
    next: u64,
    // The time by which the host ends, once it is stopping.
    ends_at: Option<clock::MonoTime>,
}

impl RequestScheduler {
    /// Creates a scheduler without servers.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            view: sync::Arc::new(view::ServingView::new()),
            servers: collections::BTreeMap::new(),
            queues: collections::BTreeMap::new(),
            next: 0,
            ends_at: None,
        }
    }

    /// Applies a new view of servers and assignments, however long ago it was published.
    pub fn sync(&mut self, view: &sync::Arc<view::ServingView>) {
        if sync::Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = sync::Arc::clone(view);
        for (name, known) in view.servers.iter() {
            match self.servers.get_mut(name) {
                Some(server) if server.record.life == known.record.life => {
                    server.record = sync::Arc::clone(&known.record);
                    server.drained_at = self.settings.drained_at(known);
                }
                _ => {
                    let record = sync::Arc::clone(&known.record);
                    let drained_at = self.settings.drained_at(known);
                    let server = tracked_server::TrackedServer::new(record, drained_at);
                    self.servers.insert(name.clone(), server);
                }
            }
        }
        for (name, server) in &mut self.servers {
            server.listed = view.servers.contains_key(name);
        }
        self.servers
            .retain(|_, server| server.running > 0 || server.listed);
        self.apply_evacuations();
    }

    /// Adds a request to the queue, where it waits until [`Self::dispatch_waiting`] decides.
    ///
    /// # Errors
    /// Refuses a request that has no server, cannot be served in time, or is a retry beyond the
    /// retry budget.
    pub fn enqueue(
        &mut self,
        request: DispatchRequest,
        now: clock::MonoTime,
    ) -> Result<WaitTicket, SchedulerRefusal> {
        if self.is_outdated(now) {
            return Err(SchedulerRefusal::Outdated);
        }
        self.draw_budget(&request)?;
        if !request.is_retry {
            self.check_wait(&request, now)?;
        }
        self.next += 1;
        let ticket = WaitTicket(self.next);
        if let Some(server) = self.owner_server(&request) {
            server.waiting += 1;
        }
        let queue = self.queues.entry(request.service.clone()).or_default();
        let place = (request.priority, ticket);
        queue.entries.insert(
            place,
            Waiting {
                request,
                since: now,
            },
        );
        Ok(ticket)
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, service: &names::ServiceName, priority: u32, ticket: WaitTicket) {
        let queue = self.queues.get_mut(service);
        let removed = queue.and_then(|queue| queue.entries.remove(&(priority, ticket)));
        if let Some(waiting) = removed
            && let Some(server) = self.owner_server(&waiting.request)
        {
            server.waiting = server.waiting.saturating_sub(1);
        }
    }

    /// Records the outcome of an exchange with a server and frees its slot.
    pub fn finish(
        &mut self,
        incarnation: &assignment::ServerIncarnation,
        end: estimate::ExchangeEnd,
        elapsed: time::Duration,
        now: clock::MonoTime,
    ) {
        let Some(server) = self.servers.get_mut(&incarnation.server) else {
            return;
        };
        if server.record.life != *incarnation {
            return;
        }
        server.running = server.running.saturating_sub(1);
        server.estimate.note(end, elapsed, now);
        server.note_arrival_end(end, now);
        if end == estimate::ExchangeEnd::Answered {
            server.answered.0 += millis(elapsed);
            server.answered.1 += 1;
        }
    }

    /// Reports whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.entries.is_empty())
    }

    /// Assigns waiting requests to servers that have room and refuses those that are too late or
    /// have no server.
    pub fn dispatch_waiting(&mut self, now: clock::MonoTime) -> Vec<SchedulerEvent> {
        let mut events = Vec::new();
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_service(&service, now, &mut events);
        }
        events
    }

    /// Returns the service times of the requests that were answered since the last call.
    pub fn take_service_times(&mut self) -> Vec<demand::ServiceTime> {
        let servers = self.servers.iter_mut();
        let times = servers.filter_map(|(name, server)| {
            let (total_ms, requests) = std::mem::take(&mut server.answered);
            (requests > 0).then(|| demand::ServiceTime {
                server: name.clone(),
                total_ms,
                requests,
            })
        });
        times.collect()
    }

    fn is_outdated(&self, now: clock::MonoTime) -> bool {
        self.view.is_outdated(now, self.settings.max_records_age())
    }

    fn draw_budget(&mut self, request: &DispatchRequest) -> Result<(), SchedulerRefusal> {
        let hosts = to_f64(self.view.hosts.max(1));
        let ratio = self.settings.retry_ratio * RETRY_BUDGET_FRACTION;
        let most = (self.settings.retry_slack * RETRY_BUDGET_FRACTION / hosts).max(1.0);
        let queue = self.queues.entry(request.service.clone()).or_default();
        let budget = queue
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

    fn owner_server(
        &mut self,
        request: &DispatchRequest,
    ) -> Option<&mut tracked_server::TrackedServer> {
        let key = request.key?;
        let view::KeyOwner::Server(incarnation) = self.view.owner(&request.service, key) else {
            return None;
        };
        self.servers.get_mut(&incarnation.server)
    }

    fn dispatch_service(
        &mut self,
        service: &names::ServiceName,
        now: clock::MonoTime,
        events: &mut Vec<SchedulerEvent>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let entries = std::mem::take(&mut queue.entries);
        let service_ms = self.service_ms(service);
        let mut kept = collections::BTreeMap::new();
        let mut pool_full = false;
        for server in self.servers.values_mut() {
            if server.record.service == *service {
                server.waiting = 0;
            }
        }
        for (place, waiting) in entries {
            let fits_pool = !pool_full || waiting.request.key.is_some();
            if !fits_pool && self.end_refusal(&waiting, service_ms, now).is_none() {
                kept.insert(place, waiting);
                continue;
            }
            match self.decide(&waiting, service_ms, now) {
                selection::Decision::Send(record) => {
                    if let Some(server) = self.servers.get_mut(&record.life.server) {
                        server.running += 1;
                    }
                    events.push(SchedulerEvent::Assigned(place.1, record));
                }
                selection::Decision::GiveUp(refusal) => {
                    events.push(SchedulerEvent::GivenUp(place.1, refusal));
                }
                selection::Decision::Wait => {
                    if let Some(server) = self.owner_server(&waiting.request) {
                        server.waiting += 1;
                    }
                    kept.insert(place, waiting);
                }
                selection::Decision::PoolFull => {
                    pool_full = true;
                    kept.insert(place, waiting);
                }
            }
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.entries = kept;
        }
    }

    // Why a request may not wait any longer, if it may not: the records are outdated, or too little time is
    // left for a server to respond.
    fn end_refusal(
        &self,
        waiting: &Waiting,
        service_ms: f64,
        now: clock::MonoTime,
    ) -> Option<SchedulerRefusal> {
        if self.is_outdated(now) {
            return Some(SchedulerRefusal::Outdated);
        }
        if self.ends_before(0.0, service_ms, now) {
            return Some(SchedulerRefusal::Stopping);
        }
        let left_ms = millis(waiting.request.deadline.since(now));
        let is_late = left_ms < service_ms * MIN_START_FRACTION;
        is_late.then_some(SchedulerRefusal::TooLate)
    }
}

fn millis(span: time::Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
