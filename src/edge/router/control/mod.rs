//! The control thread: what the store, the servers, the other hosts and the traffic threads say goes
//! to the decisions, and what they want done is done here.

mod granting;
mod hosts;
pub mod store;

use std::cell;
use std::rc;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::status_exchange;
use crate::edge::router::traffic;
use crate::ownership::granter;
use crate::serving::cluster;
use crate::serving::status;
use crate::serving::view;

/// The interval of the granter's decisions, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The interval between two reports of keys' work to the granter, in milliseconds.
pub const HEAT_MS: u64 = 250;

/// What the control thread is made of.
pub struct ControlParts<S, O, D> {
    /// The store.
    pub store: S,
    /// The way to servers.
    pub orders: O,
    /// The decoder of records.
    pub decoder: D,
    /// The clock.
    pub clock: clock::SystemClock,
    /// The view for the traffic threads.
    pub view: traffic::SharedView,
    /// Whether the host can serve.
    pub ready: sync::Arc<sync::atomic::AtomicBool>,
    /// What the traffic threads report.
    pub reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
    /// What other hosts ask.
    pub questions: tokio::sync::mpsc::UnboundedReceiver<status_exchange::StatusExchangeRequest>,
    /// The interval between two joins, in milliseconds.
    pub join_interval: time::Duration,
    /// The longest hold that servers allow.
    pub max_hold: time::Duration,
    /// Who this host is.
    pub own: status::HostRecord,
    /// How long servers serve on after they have left.
    pub drain: time::Duration,
    /// Told when the host stops.
    pub stopping: tokio::sync::watch::Receiver<bool>,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

struct ControlState {
    cluster: cluster::ClusterState,
    granter: granter::KeyGranter,
    grants: view::SharedGrants,
    yielded_until: clock::MonoTime,
}

/// The control thread.
pub struct ControlThread<S, O, D> {
    state: cell::RefCell<ControlState>,
    store: S,
    orders: O,
    decoder: D,
    clock: clock::SystemClock,
    view: traffic::SharedView,
    ready: sync::Arc<sync::atomic::AtomicBool>,
    status_exchange: status_exchange::StatusExchangeClient,
    join_interval: time::Duration,
    drain: time::Duration,
    metrics: sync::Arc<metrics::RouterMetrics>,
}

impl<S, O, D> ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    /// Starts the control thread's tasks on the current arbiter.
    ///
    /// # Errors
    /// Fails when a chart is faulty.
    pub fn start(parts: ControlParts<S, O, D>) -> Result<rc::Rc<Self>, chart::ChartError> {
        let life = parts.own.granter_incarnation();
        let state = ControlState {
            cluster: cluster::ClusterState::new(parts.own, parts.clock.now(), parts.drain),
            granter: granter::KeyGranter::new(life, parts.max_hold)?,
            grants: view::SharedGrants::default(),
            yielded_until: clock::MonoTime::from_micros(0),
        };
        let thread = rc::Rc::new(Self {
            state: cell::RefCell::new(state),
            store: parts.store,
            orders: parts.orders,
            decoder: parts.decoder,
            clock: parts.clock,
            view: parts.view,
            ready: parts.ready,
            status_exchange: status_exchange::StatusExchangeClient::new(),
            join_interval: parts.join_interval,
            drain: parts.drain,
            metrics: parts.metrics,
        });
        for topic in ports::StoreTopic::ALL {
            actix::spawn(rc::Rc::clone(&thread).follow(topic));
        }
        actix::spawn(rc::Rc::clone(&thread).join(parts.stopping.clone()));
        actix::spawn(rc::Rc::clone(&thread).register(parts.stopping));
        actix::spawn(rc::Rc::clone(&thread).tick());
        actix::spawn(rc::Rc::clone(&thread).report_heat());
        actix::spawn(rc::Rc::clone(&thread).ask_hosts());
        actix::spawn(rc::Rc::clone(&thread).take_reports(parts.reports));
        actix::spawn(rc::Rc::clone(&thread).answer_hosts(parts.questions));
        Ok(thread)
    }

    // Gives the traffic threads what is known now.
    fn publish(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ControlState {
            granter, grants, ..
        } = &mut *state;
        grants.sync(granter.table(), now);
        let view = state.cluster.view(&state.grants, now);
        self.view.store(sync::Arc::new(view));
        let ready = state.cluster.is_ready(&state.grants.table);
        self.show(&state);
        self.ready.store(ready, sync::atomic::Ordering::Relaxed);
    }

    // Brings the gauges up to date.
    fn show(&self, state: &ControlState) {
        let metrics = &self.metrics;
        let version = i64::try_from(state.cluster.routes_version());
        metrics.routes_version.set(version.unwrap_or(i64::MAX));
        metrics
            .store_lost
            .set(i64::from(state.cluster.store_lost()));
        let granting = i64::from(state.granter.is_granting());
        if metrics.granting.set(granting) == 0 && granting == 1 {
            metrics.takeovers.inc();
        }
        let ranges = state.grants.table.services.values().flatten();
        let moving = ranges.filter(|range| !range.formers.is_empty()).count();
        metrics
            .ranges_moving
            .set(i64::try_from(moving).unwrap_or(i64::MAX));
    }

    async fn tick(self: rc::Rc<Self>) {
        let mut last = self.clock.now();
        loop {
            tokio::time::sleep(time::Duration::from_millis(TICK_MS)).await;
            self.decide();
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let expired = state.cluster.expire(now);
            drop(state);
            if expired
                || now.since(last)
                    >= time::Duration::from_millis(hosts::STATUS_EXCHANGE_INTERVAL_MS)
            {
                last = now;
                self.publish();
            }
        }
    }

    async fn report_heat(self: rc::Rc<Self>) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(HEAT_MS)).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            if !state.granter.is_granting() {
                continue;
            }
            let reports = state.cluster.key_loads(now);
            let times = state.cluster.service_times(now);
            state.granter.note_service_times(times);
            for report in &reports {
                state.granter.note_load(&report.service, &report.heat);
            }
        }
    }

    async fn take_reports(
        self: rc::Rc<Self>,
        reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
    ) {
        let mut reports = reports;
        while let Some(report) = reports.recv().await {
            let heat = report.heat.into_iter();
            let heat = heat.map(|(service, heat)| status::ServiceReport { service, heat });
            let mut state = self.state.borrow_mut();
            let cluster = &mut state.cluster;
            cluster.note_traffic(report.demand, heat.collect(), report.service_times);
        }
    }
}

fn write_record(key: &str, value: &impl serde::Serialize) -> Option<ports::KeyedRecord> {
    match serde_json::to_vec(value) {
        Ok(value) => Some(ports::KeyedRecord {
            key: sync::Arc::from(key),
            value: Some(bytes::Bytes::from(value)),
        }),
        Err(fault) => {
            tracing::error!(event = "record-not-written", key, fault = %fault);
            None
        }
    }
}
