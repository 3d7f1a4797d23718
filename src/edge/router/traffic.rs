//! One traffic thread: its request scheduler, the requests that wait for a slot, and its reports to
//! the control thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::grant_relay;
use crate::edge::router::http_client;
use crate::edge::router::log_budget;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::shutdown_watch;
use crate::edge::router::slots;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::routing::split;
use crate::serving::delivery;
use crate::serving::demand;
use crate::serving::estimate;
use crate::serving::scheduler;
use crate::serving::view;

/// The interval at which waiting requests are reconsidered where no event does so earlier, in
/// milliseconds.
pub const DISPATCH_INTERVAL_MS: u64 = 20;
/// The interval of the reports to the control thread, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 250;

/// The view that the control thread publishes.
pub type SharedView = sync::Arc<arc_swap::ArcSwap<view::ServingView>>;

/// A traffic thread's report to the control thread.
#[derive(Debug, Default)]
pub struct TrafficReport {
    /// The requests that this host has running or waiting.
    pub demand: view::HostDemand,
    /// The load of keys and the service times since the last report.
    pub loads: demand::LoadReport,
}

/// What a traffic thread is created with.
#[derive(Clone)]
pub struct TrafficParts<C: ports::HeaderCodec> {
    /// The header codec.
    pub codec: C,
    /// The published view.
    pub view: SharedView,
    /// The scheduler's settings.
    pub scheduler: scheduler::SchedulerSettings,
    /// The chart `delivery`.
    pub chart: sync::Arc<chart::ChartTable<delivery::DeliveryVocabulary>>,
    /// The host's shutdown.
    pub shutdown: shutdown_watch::ShutdownWatch,
    /// The number of requests in flight.
    pub in_flight: sync::Arc<atomic::AtomicI64>,
    /// The grants to send for the control thread.
    pub relay: grant_relay::RelayReceiver,
    /// Receives the reports.
    pub reports: tokio::sync::mpsc::UnboundedSender<TrafficReport>,
    /// The clock.
    pub clock: clock::SystemClock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

pub(crate) type SlotWaiters<C> =
    collections::HashMap<scheduler::WaitTicket, tokio::sync::oneshot::Sender<slots::SlotResult<C>>>;

/// The state of one traffic thread.
pub struct TrafficThread<C: ports::HeaderCodec> {
    pub(crate) parts: TrafficParts<C>,
    pub(crate) scheduler: cell::RefCell<scheduler::RequestScheduler>,
    pub(crate) waiters: cell::RefCell<SlotWaiters<C>>,
    pub(crate) split: cell::RefCell<split::SplitCounter>,
    pub(crate) longest_timeouts:
        cell::RefCell<collections::HashMap<names::RouteName, time::Duration>>,
    pub(crate) key_work_ms: cell::RefCell<collections::HashMap<(names::ServiceName, u16), f64>>,
    pub(crate) client: http_client::HttpClient,
    pub(crate) queue_nonempty: tokio::sync::Notify,
    pub(crate) log_budget: log_budget::LogBudget,
}

impl<C: ports::HeaderCodec> TrafficThread<C> {
    /// Creates a traffic thread's state and starts its periodic tasks.
    #[must_use]
    pub fn start(parts: TrafficParts<C>) -> rc::Rc<Self> {
        let thread = rc::Rc::new(Self {
            scheduler: cell::RefCell::new(scheduler::RequestScheduler::new(
                parts.scheduler.clone(),
            )),
            waiters: cell::RefCell::default(),
            split: cell::RefCell::default(),
            longest_timeouts: cell::RefCell::default(),
            key_work_ms: cell::RefCell::default(),
            client: http_client::HttpClient::new().with_clock(parts.clock),
            queue_nonempty: tokio::sync::Notify::new(),
            log_budget: log_budget::LogBudget::new(),
            parts,
        });
        actix::spawn(rc::Rc::clone(&thread).dispatch_periodically());
        actix::spawn(rc::Rc::clone(&thread).report_periodically());
        let relay = grant_relay::RelayThread::new(thread.parts.clock, thread.client.clone());
        actix::spawn(relay.run(thread.parts.relay.clone()));
        thread
    }

    async fn dispatch_periodically(self: rc::Rc<Self>) {
        loop {
            self.queue_nonempty.notified().await;
            while self.scheduler.borrow().has_waiting() {
                tokio::time::sleep(time::Duration::from_millis(DISPATCH_INTERVAL_MS)).await;
                self.dispatch_waiting();
            }
        }
    }

    async fn report_periodically(self: rc::Rc<Self>) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(REPORT_INTERVAL_MS)).await;
            self.client.close_idle();
            self.update_metrics();
            let report = TrafficReport {
                demand: self.demand(),
                loads: demand::LoadReport {
                    reports: self.take_key_loads(),
                    service_times: self.scheduler.borrow_mut().take_service_times(),
                },
            };
            // The control thread may have ended before this one.
            let _ = self.parts.reports.send(report);
        }
    }

    fn update_metrics(&self) {
        let count = self.log_budget.take_suppressed();
        if count > 0 {
            self.parts.metrics.lines_left_out.inc_by(count);
            tracing::warn!(event = "lines-left-out", count);
        }
        let in_flight = self.parts.in_flight.load(atomic::Ordering::Relaxed);
        self.parts.metrics.in_flight.set(in_flight);
    }

    fn take_key_loads(&self) -> Vec<demand::ServiceReport> {
        let key_work_ms = std::mem::take(&mut *self.key_work_ms.borrow_mut());
        let mut services = collections::BTreeMap::<_, Vec<_>>::new();
        let interval = f64::from(u32::try_from(REPORT_INTERVAL_MS).unwrap_or(u32::MAX));
        for ((service, key), busy_ms) in key_work_ms {
            #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
            let busy = (busy_ms / interval) as f32;
            let load = key_load::KeyLoad { key, busy };
            services.entry(service).or_default().push(load);
        }
        let reports = services.into_iter();
        let reports = reports.map(|(service, heat)| demand::ServiceReport { service, heat });
        reports.collect()
    }

    // Lets the scheduler dispatch waiting requests and hands out its results.
    pub(crate) fn dispatch_waiting(self: &rc::Rc<Self>) {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let records_age = view.records_age(now);
        let events = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.sync(&view);
            let shutdown = self.parts.shutdown.times();
            let ended = shutdown.map(|times| scheduler.end_by(times.ends_at, now));
            let dispatched = scheduler.dispatch_waiting(now);
            ended.into_iter().flatten().chain(dispatched)
        };
        for event in events {
            let (ticket, result) = match event {
                scheduler::SchedulerEvent::Assigned(ticket, record) => {
                    self.note_records_age(records_age);
                    let slot = slots::ServerSlot::new(self, record, now, records_age);
                    (ticket, Ok(slot))
                }
                scheduler::SchedulerEvent::GivenUp(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            // Where the caller has left, the slot is dropped here and so released.
            let _ = waiter.map(|waiter| waiter.send(result));
        }
        if self.scheduler.borrow().has_waiting() {
            self.queue_nonempty.notify_one();
        }
    }

    // Counts a request that is sent by records of this age.
    fn note_records_age(&self, age: time::Duration) {
        if age > self.parts.scheduler.max_records_age() {
            self.parts.metrics.requests_outdated.inc();
        }
    }

    pub(crate) fn finish(
        &self,
        incarnation: &assignment::ServerIncarnation,
        end: estimate::ExchangeEnd,
        elapsed: time::Duration,
    ) {
        let now = self.parts.clock.now();
        self.scheduler
            .borrow_mut()
            .finish(incarnation, end, elapsed, now);
    }

    // Waits until the host, while it stops, has responded to each request.
    pub(crate) async fn ended(&self) {
        self.parts.shutdown.ended(&self.parts.clock).await;
    }

    /// Returns the requests that this host has running or waiting.
    #[must_use]
    pub fn demand(&self) -> view::HostDemand {
        self.scheduler.borrow().demand()
    }

    /// Queues a request for a slot at a server.
    ///
    /// # Errors
    /// Fails at once when the scheduler refuses the request.
    pub fn request_slot(
        self: &rc::Rc<Self>,
        request: scheduler::DispatchRequest,
    ) -> Result<slots::SlotWait<C>, scheduler::SchedulerRefusal> {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let (service, priority) = (request.service.clone(), request.priority);
        let ticket = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.sync(&view);
            scheduler.enqueue(request, now)?
        };
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let wait = slots::SlotWait::new(self, service, priority, ticket, receiver);
        self.dispatch_waiting();
        Ok(wait)
    }

    // The time by which the response meets the route's latency target. A caller that retries has
    // used up a part of the target: its time-out is shorter than the longest one seen on the route,
    // and the target is reduced by the difference.
    pub(crate) fn objective(
        &self,
        route: &specification::RouteSpec,
        timeout: time::Duration,
        arrived: clock::MonoTime,
    ) -> clock::MonoTime {
        let mut timeouts = self.longest_timeouts.borrow_mut();
        let longest = timeouts.entry(route.name.clone()).or_insert(timeout);
        *longest = (*longest).max(timeout);
        let used = longest.saturating_sub(timeout);
        arrived + route.objective.saturating_sub(used)
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight(sync::Arc<atomic::AtomicI64>);

impl InFlight {
    pub(crate) fn new(count: &sync::Arc<atomic::AtomicI64>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
