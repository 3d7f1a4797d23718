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
use crate::edge::router::log_budget;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::edge::router::wire;
use crate::names;
use crate::ownership::book;
use crate::ownership::heat;
use crate::routing::specification;
use crate::routing::split;
use crate::serving::desk;
use crate::serving::measure;
use crate::serving::verdict;
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
    /// The requests that this host has running or waiting for each server.
    pub demand: view::ServerDemand,
    /// The load of each service's keys.
    pub key_loads: Vec<(names::ServiceName, Vec<heat::KeyHeat>)>,
    /// The estimated service time of each server, in milliseconds.
    pub service_times: Vec<(names::ServerName, f64)>,
}

/// What a traffic thread is created with.
#[derive(Clone)]
pub struct TrafficParts<C: ports::HeaderCodec> {
    /// The header codec.
    pub codec: C,
    /// The published view.
    pub view: SharedView,
    /// The scheduler's settings.
    pub desk: desk::DeskSettings,
    /// The chart `delivery`.
    pub chart: sync::Arc<chart::ChartTable<verdict::DeliveryVocabulary>>,
    /// Whether the host is stopping: responses close their connections.
    pub stopping: sync::Arc<atomic::AtomicBool>,
    /// Whether new requests are refused.
    pub closed: sync::Arc<atomic::AtomicBool>,
    /// The number of requests in flight.
    pub in_flight: sync::Arc<atomic::AtomicI64>,
    /// Receives the reports.
    pub reports: tokio::sync::mpsc::UnboundedSender<TrafficReport>,
    /// The clock.
    pub clock: clock::SystemClock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

pub(crate) type DeskWaiters<C> =
    collections::HashMap<desk::WaitTicket, tokio::sync::oneshot::Sender<slots::DeskAnswer<C>>>;

/// The state of one traffic thread.
pub struct TrafficThread<C: ports::HeaderCodec> {
    pub(crate) parts: TrafficParts<C>,
    pub(crate) desk: cell::RefCell<desk::ServiceDesk>,
    pub(crate) waiters: cell::RefCell<DeskWaiters<C>>,
    pub(crate) split: cell::RefCell<split::SplitCounter>,
    pub(crate) longest_timeouts:
        cell::RefCell<collections::HashMap<names::RouteName, time::Duration>>,
    pub(crate) key_work_ms: cell::RefCell<collections::HashMap<(names::ServiceName, u16), f64>>,
    pub(crate) client: wire::WireClient,
    pub(crate) queue_nonempty: tokio::sync::Notify,
    pub(crate) log_budget: log_budget::LogBudget,
}

impl<C: ports::HeaderCodec> TrafficThread<C> {
    /// Creates a traffic thread's state and starts its periodic tasks.
    #[must_use]
    pub fn start(parts: TrafficParts<C>) -> rc::Rc<Self> {
        let thread = rc::Rc::new(Self {
            desk: cell::RefCell::new(desk::ServiceDesk::new(parts.desk.clone())),
            waiters: cell::RefCell::default(),
            split: cell::RefCell::default(),
            longest_timeouts: cell::RefCell::default(),
            key_work_ms: cell::RefCell::default(),
            client: wire::WireClient::new(),
            queue_nonempty: tokio::sync::Notify::new(),
            log_budget: log_budget::LogBudget::new(),
            parts,
        });
        actix::spawn(rc::Rc::clone(&thread).dispatch_periodically());
        actix::spawn(rc::Rc::clone(&thread).report_periodically());
        thread
    }

    async fn dispatch_periodically(self: rc::Rc<Self>) {
        loop {
            self.queue_nonempty.notified().await;
            while self.desk.borrow().has_waiting() {
                tokio::time::sleep(time::Duration::from_millis(DISPATCH_INTERVAL_MS)).await;
                self.pump();
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
                key_loads: self.take_key_loads(),
                service_times: self.desk.borrow().service_times(),
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

    fn take_key_loads(&self) -> Vec<(names::ServiceName, Vec<heat::KeyHeat>)> {
        let key_work_ms = std::mem::take(&mut *self.key_work_ms.borrow_mut());
        let mut services = collections::BTreeMap::<_, Vec<_>>::new();
        let interval = f64::from(u32::try_from(REPORT_INTERVAL_MS).unwrap_or(u32::MAX));
        for ((service, key), busy_ms) in key_work_ms {
            #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
            let busy = (busy_ms / interval) as f32;
            let load = heat::KeyHeat { key, busy };
            services.entry(service).or_default().push(load);
        }
        services.into_iter().collect()
    }

    // Lets the scheduler dispatch waiting requests and hands out its results.
    pub(crate) fn pump(self: &rc::Rc<Self>) {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let events = {
            let mut desk = self.desk.borrow_mut();
            desk.sync(&view, now);
            desk.pump(now)
        };
        for event in events {
            let (ticket, result) = match event {
                desk::DeskEvent::Assigned(ticket, record) => {
                    (ticket, Ok(slots::ServerSlot::new(self, record, now)))
                }
                desk::DeskEvent::GivenUp(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            // Where the caller has left, the slot is dropped here and so released.
            let _ = waiter.map(|waiter| waiter.send(result));
        }
        if self.desk.borrow().has_waiting() {
            self.queue_nonempty.notify_one();
        }
    }

    pub(crate) fn finish(
        &self,
        life: &book::ServerLife,
        end: measure::ExchangeEnd,
        elapsed: time::Duration,
    ) {
        let now = self.parts.clock.now();
        self.desk.borrow_mut().finish(life, end, elapsed, now);
    }

    /// Returns the requests that this host has running or waiting for each server.
    #[must_use]
    pub fn demand(&self) -> view::ServerDemand {
        self.desk.borrow().demand()
    }

    /// Queues a request for a slot at a server.
    ///
    /// # Errors
    /// Fails at once when the scheduler refuses the request.
    pub fn ask_desk(
        self: &rc::Rc<Self>,
        request: desk::ServerWish,
    ) -> Result<slots::DeskWait<C>, desk::DeskRefusal> {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let (service, priority) = (request.service.clone(), request.priority);
        let ticket = {
            let mut desk = self.desk.borrow_mut();
            desk.sync(&view, now);
            desk.enqueue(request, now)?
        };
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let wait = slots::DeskWait::new(self, service, priority, ticket, receiver);
        self.pump();
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
