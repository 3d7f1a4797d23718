//! One traffic thread: its desk, the requests that wait there, and its reports to the control thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::http_client;
use crate::edge::router::log_budget;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;
use crate::routing::specification;
use crate::routing::split;
use crate::serving::delivery;
use crate::serving::estimate;
use crate::serving::scheduler;
use crate::serving::view;

/// How often waiting requests are looked at where nothing else happens, in milliseconds.
pub const SWEEP_MS: u64 = 20;
/// The interval between two reports to the control thread, in milliseconds.
pub const REPORT_MS: u64 = 250;

/// The view that the control thread keeps.
pub type SharedView = sync::Arc<arc_swap::ArcSwap<view::ServingView>>;

/// What one traffic thread tells the control thread.
#[derive(Debug, Default)]
pub struct TrafficReport {
    /// What this host has at each server.
    pub demand: view::ServerDemand,
    /// The work of the keys of each service.
    pub heat: Vec<(names::ServiceName, Vec<key_load::KeyLoad>)>,
    /// The measured time of each server, in milliseconds.
    pub service_times: Vec<(names::ServerName, f64)>,
}

/// What a traffic thread is made of.
#[derive(Clone)]
pub struct TrafficParts<C: ports::HeaderCodec> {
    /// The headers.
    pub codec: C,
    /// The view.
    pub view: SharedView,
    /// The desk's settings.
    pub scheduler: scheduler::SchedulerSettings,
    /// The chart of a request.
    pub chart: sync::Arc<chart::ChartTable<delivery::DeliveryVocabulary>>,
    /// Whether the host is stopping: connections end with their answers.
    pub stopping: sync::Arc<atomic::AtomicBool>,
    /// Whether the host takes no new requests any longer.
    pub closed: sync::Arc<atomic::AtomicBool>,
    /// The number of requests under way.
    pub in_flight: sync::Arc<atomic::AtomicI64>,
    /// Where reports go.
    pub reports: tokio::sync::mpsc::UnboundedSender<TrafficReport>,
    /// The clock.
    pub clock: clock::SystemClock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

pub(crate) type SlotWaiters<C> =
    collections::HashMap<scheduler::WaitTicket, tokio::sync::oneshot::Sender<slots::SlotResult<C>>>;

/// One traffic thread.
pub struct TrafficThread<C: ports::HeaderCodec> {
    pub(crate) parts: TrafficParts<C>,
    pub(crate) scheduler: cell::RefCell<scheduler::RequestScheduler>,
    pub(crate) waiters: cell::RefCell<SlotWaiters<C>>,
    pub(crate) split: cell::RefCell<split::SplitCounter>,
    pub(crate) patience: cell::RefCell<collections::HashMap<names::RouteName, time::Duration>>,
    pub(crate) heat: cell::RefCell<collections::HashMap<(names::ServiceName, u16), f64>>,
    pub(crate) client: http_client::HttpClient,
    pub(crate) waiting: tokio::sync::Notify,
    pub(crate) lines: log_budget::LogBudget,
}

impl<C: ports::HeaderCodec> TrafficThread<C> {
    /// Creates a traffic thread's state and starts its timers.
    #[must_use]
    pub fn start(parts: TrafficParts<C>) -> rc::Rc<Self> {
        let thread = rc::Rc::new(Self {
            scheduler: cell::RefCell::new(scheduler::RequestScheduler::new(
                parts.scheduler.clone(),
            )),
            waiters: cell::RefCell::default(),
            split: cell::RefCell::default(),
            patience: cell::RefCell::default(),
            heat: cell::RefCell::default(),
            client: http_client::HttpClient::new(),
            waiting: tokio::sync::Notify::new(),
            lines: log_budget::LogBudget::new(),
            parts,
        });
        actix::spawn(rc::Rc::clone(&thread).sweep());
        actix::spawn(rc::Rc::clone(&thread).report());
        thread
    }

    async fn sweep(self: rc::Rc<Self>) {
        loop {
            self.waiting.notified().await;
            while self.scheduler.borrow().has_waiting() {
                tokio::time::sleep(time::Duration::from_millis(SWEEP_MS)).await;
                self.dispatch_waiting();
            }
        }
    }

    async fn report(self: rc::Rc<Self>) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(REPORT_MS)).await;
            self.client.sweep();
            self.tell_left_out();
            let report = TrafficReport {
                demand: self.demand(),
                heat: self.take_heat(),
                service_times: self.scheduler.borrow().service_times(),
            };
            // The control thread may have ended before this one.
            let _ = self.parts.reports.send(report);
        }
    }

    fn tell_left_out(&self) {
        let count = self.lines.take_left_out();
        if count > 0 {
            self.parts.metrics.lines_left_out.inc_by(count);
            tracing::warn!(event = "lines-left-out", count);
        }
        let in_flight = self.parts.in_flight.load(atomic::Ordering::Relaxed);
        self.parts.metrics.in_flight.set(in_flight);
    }

    fn take_heat(&self) -> Vec<(names::ServiceName, Vec<key_load::KeyLoad>)> {
        let counted = std::mem::take(&mut *self.heat.borrow_mut());
        let mut services = collections::BTreeMap::<_, Vec<_>>::new();
        let interval = f64::from(u32::try_from(REPORT_MS).unwrap_or(u32::MAX));
        for ((service, key), busy_ms) in counted {
            #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
            let busy = (busy_ms / interval) as f32;
            let heat = key_load::KeyLoad { key, busy };
            services.entry(service).or_default().push(heat);
        }
        services.into_iter().collect()
    }

    // Lets the desk decide and tells the waiting requests.
    pub(crate) fn dispatch_waiting(self: &rc::Rc<Self>) {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let events = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.sync(&view, now);
            scheduler.dispatch_waiting(now)
        };
        for event in events {
            let (ticket, answer) = match event {
                scheduler::SchedulerEvent::Assigned(ticket, record) => {
                    (ticket, Ok(slots::ServerSlot::new(self, record, now)))
                }
                scheduler::SchedulerEvent::GivenUp(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            // A caller that has left gives its slot back at once.
            let _ = waiter.map(|waiter| waiter.send(answer));
        }
        if self.scheduler.borrow().has_waiting() {
            self.waiting.notify_one();
        }
    }

    pub(crate) fn finish(
        &self,
        life: &assignment::ServerIncarnation,
        end: estimate::ExchangeEnd,
        elapsed: time::Duration,
    ) {
        let now = self.parts.clock.now();
        self.scheduler.borrow_mut().finish(life, end, elapsed, now);
    }

    /// Returns what this host has at each server, running or waiting.
    #[must_use]
    pub fn demand(&self) -> view::ServerDemand {
        self.scheduler.borrow().demand()
    }

    /// Asks the desk for a server.
    ///
    /// # Errors
    /// Fails at once when it is clear that the request cannot be served.
    pub fn request_slot(
        self: &rc::Rc<Self>,
        request: scheduler::DispatchRequest,
    ) -> Result<slots::SlotWait<C>, scheduler::SchedulerRefusal> {
        let now = self.parts.clock.now();
        let view = self.parts.view.load_full();
        let (service, priority) = (request.service.clone(), request.priority);
        let ticket = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.sync(&view, now);
            scheduler.enqueue(request, now)?
        };
        let (sender, answer) = tokio::sync::oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let wait = slots::SlotWait::new(self, service, priority, ticket, answer);
        self.dispatch_waiting();
        Ok(wait)
    }

    // The time by which an answer counts in full. A caller that comes back has used a part of it:
    // it states less time than the longest that its route's callers have stated.
    pub(crate) fn objective(
        &self,
        route: &specification::RouteSpec,
        patience: time::Duration,
        arrived: clock::MonoTime,
    ) -> clock::MonoTime {
        let mut longest = self.patience.borrow_mut();
        let longest = longest.entry(route.name.clone()).or_insert(patience);
        *longest = (*longest).max(patience);
        let used = longest.saturating_sub(patience);
        arrived + route.objective.saturating_sub(used)
    }
}

/// Counts a request as under way until it is dropped.
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
