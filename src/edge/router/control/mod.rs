//! The control thread: passes what the store, the servers, the other hosts and the traffic threads
//! report to the decision modules, and performs the actions they return.

mod eras;
mod evacuations;
mod granting;
mod hosts;
mod lost_tables;
mod records;
pub mod store;

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::shutdown_watch;
use crate::edge::router::status_exchange;
use crate::edge::router::traffic;
use crate::names;
use crate::ownership::granter;
use crate::ownership::table_records;
use crate::serving::cluster;
use crate::serving::cold;
use crate::serving::replica;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;
use crate::serving::view;

/// The interval of the granter's decisions, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The interval at which the granter is given the load of keys, in milliseconds.
pub const LOAD_REPORT_INTERVAL_MS: u64 = 250;

/// What the control thread is created with.
pub struct ControlParts<S, O, D> {
    /// The store's client.
    pub store: S,
    /// The sender of orders.
    pub orders: O,
    /// The decoder of records.
    pub decoder: D,
    /// The clock.
    pub clock: clock::SystemClock,
    /// The view that is published to the traffic threads.
    pub view: traffic::SharedView,
    /// Whether the host is ready to serve.
    pub ready: sync::Arc<sync::atomic::AtomicBool>,
    /// The reports of the traffic threads.
    pub reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
    /// The calls of other hosts.
    pub host_calls: tokio::sync::mpsc::UnboundedReceiver<status_exchange::HostCall>,
    /// The interval at which the host renews its membership in the group of hosts that may grant.
    pub join_interval: time::Duration,
    /// The longest hold that servers accept.
    pub max_hold: time::Duration,
    /// This host's record.
    pub own: status::HostRecord,
    /// How long servers go on serving after they have reported that they are draining.
    pub drain: time::Duration,
    /// The time within which the last request must have reached an evacuated failure domain.
    pub evacuate: time::Duration,
    /// The bound on the requests that arrive at cold servers.
    pub cold_bounds: cold::ColdBounds,
    /// The host's shutdown.
    pub shutdown: shutdown_watch::ShutdownWatch,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

struct ControlState {
    cluster: cluster::ClusterState,
    granter: granter::KeyGranter,
    // In the order of `StoreTopic::ALL`.
    replicas: [replica::TopicReplica; 4],
    // The record of the routes in force.
    routes: Option<topic::KeyedRecord>,
    assembly: table_records::TableAssembly,
    grants: view::SharedGrants,
    yielded_until: clock::MonoTime,
}

impl ControlState {
    // The positions at which this host's copies of the topics end.
    fn ends(&self) -> topic::TopicEnds {
        let mut ends = topic::TopicEnds::default();
        for topic in topic::StoreTopic::ALL {
            ends.set(topic, self.replicas[topic.index()].position());
        }
        ends.routes_version = self.cluster.routes_version();
        ends.table_version = self.granter.table().version;
        ends
    }

    // What this host knows of the assignments, for the exchange with other hosts.
    fn grant_snapshot(&self) -> cluster::GrantSnapshot {
        let table = self.granter.table();
        cluster::GrantSnapshot {
            granter: table.granter.clone(),
            term: table.term,
            overtaken: self.granter.overtaken().cloned(),
            granted: self.granter.granted_version(),
            ends: self.ends(),
        }
    }
}

/// The state of the control thread.
pub struct ControlThread<S, O, D> {
    state: cell::RefCell<ControlState>,
    store: S,
    orders: O,
    decoder: D,
    clock: clock::SystemClock,
    view: traffic::SharedView,
    ready: sync::Arc<sync::atomic::AtomicBool>,
    status_client: status_exchange::StatusExchangeClient,
    // The hosts to which a status update is under way.
    exchanging: cell::RefCell<collections::BTreeSet<names::HostName>>,
    // Whether this host reads each topic of the store, in the order of `StoreTopic::ALL`.
    reading: [tokio::sync::watch::Sender<bool>; 4],
    // The hosts whose records are requested, with their incarnations: the supplier, and former ones that
    // have yet to respond.
    following: cell::RefCell<collections::BTreeSet<(names::HostName, u64)>>,
    // Where this host gets the store's records from.
    record_source: tokio::sync::watch::Sender<upstream::RecordSource>,
    // The highest era of the store that this host or another has seen.
    era: tokio::sync::watch::Sender<u64>,
    // Counts the changes of this host's copies of the topics.
    changes: tokio::sync::watch::Sender<u64>,
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
    /// Fails when a chart is not valid.
    pub fn start(parts: ControlParts<S, O, D>) -> Result<rc::Rc<Self>, chart::ChartError> {
        let incarnation = parts.own.granter_incarnation();
        let cluster = cluster::ClusterState::new(parts.own, parts.clock.now(), parts.drain)?;
        let state = ControlState {
            cluster: cluster
                .with_evacuate(parts.evacuate)
                .with_cold_bounds(parts.cold_bounds),
            granter: granter::KeyGranter::new(incarnation, parts.max_hold)?,
            replicas: topic::StoreTopic::ALL.map(|_| replica::TopicReplica::new()),
            routes: None,
            assembly: table_records::TableAssembly::new(),
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
            status_client: status_exchange::StatusExchangeClient::new(),
            exchanging: cell::RefCell::default(),
            reading: topic::StoreTopic::ALL.map(|_| tokio::sync::watch::Sender::new(false)),
            following: cell::RefCell::default(),
            record_source: tokio::sync::watch::Sender::new(upstream::RecordSource::Store),
            era: tokio::sync::watch::Sender::new(0),
            changes: tokio::sync::watch::Sender::new(0),
            join_interval: parts.join_interval,
            drain: parts.drain,
            metrics: parts.metrics,
        });
        for topic in topic::StoreTopic::ALL {
            let is_reading = thread.reading[topic.index()].subscribe();
            actix::spawn(rc::Rc::clone(&thread).follow(topic, is_reading));
        }
        thread.update_reading();
        actix::spawn(rc::Rc::clone(&thread).watch_era());
        actix::spawn(rc::Rc::clone(&thread).follow_supplier());
        actix::spawn(rc::Rc::clone(&thread).join(parts.shutdown.clone()));
        actix::spawn(rc::Rc::clone(&thread).register(parts.shutdown));
        actix::spawn(rc::Rc::clone(&thread).tick());
        actix::spawn(rc::Rc::clone(&thread).report_key_loads());
        actix::spawn(rc::Rc::clone(&thread).exchange_with_hosts());
        actix::spawn(rc::Rc::clone(&thread).log_exchanges());
        actix::spawn(rc::Rc::clone(&thread).receive_reports(parts.reports));
        actix::spawn(rc::Rc::clone(&thread).serve_host_calls(parts.host_calls));
        Ok(thread)
    }

    // Publishes the current view to the traffic threads.
    fn publish(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ControlState {
            granter, grants, ..
        } = &mut *state;
        grants.sync(granter.table(), now);
        let view = state.cluster.view(&state.grants, now);
        self.note_cold(&view.cold, now);
        self.metrics.note_records_age(view.records_age(now));
        self.view.store(sync::Arc::new(view));
        let ready = state.cluster.is_ready(&state.grants.table);
        let ready = ready && Self::knows_evacuations(&state, now);
        self.update_gauges(&state);
        self.report_evacuations(&mut state);
        self.ready.store(ready, sync::atomic::Ordering::Relaxed);
    }

    // Logs which servers have become cold or warm since the last view.
    fn note_cold(&self, servers: &cold::ColdServers, now: clock::MonoTime) {
        self.metrics.note_cold(servers);
        let last = self.view.load();
        for (server, share) in servers {
            if !last.cold.contains_key(server) {
                let for_ms = share.until.since(now).as_millis();
                tracing::info!(event = "server-cold", server = %server, for_ms, quota = share.quota);
            }
        }
        let warm = last.cold.keys().filter(|name| !servers.contains_key(*name));
        for server in warm {
            tracing::info!(event = "server-warm", server = %server);
        }
    }

    fn update_gauges(&self, state: &ControlState) {
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
            self.check_supply();
            self.check_link();
            self.update_reading();
            self.request_records();
            let now = self.clock.now();
            let expired = self.state.borrow_mut().cluster.expire(now);
            if expired
                || now.since(last)
                    >= time::Duration::from_millis(hosts::STATUS_EXCHANGE_INTERVAL_MS)
            {
                last = now;
                self.publish();
            }
        }
    }

    fn check_supply(&self) {
        let now = self.clock.now();
        if self.state.borrow_mut().cluster.check_supply(now) {
            tracing::warn!(event = "supply-lost");
        }
    }

    fn check_link(&self) {
        let now = self.clock.now();
        let bytes = self.metrics.link_bytes();
        self.state.borrow_mut().cluster.note_link_total(bytes, now);
    }

    async fn report_key_loads(self: rc::Rc<Self>) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(LOAD_REPORT_INTERVAL_MS)).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            if !state.granter.is_granting() {
                continue;
            }
            let loads = state.cluster.sum_loads(now);
            state.granter.note_service_times(&loads.service_times);
            for report in &loads.reports {
                state.granter.note_load(&report.service, &report.heat);
            }
        }
    }

    async fn receive_reports(
        self: rc::Rc<Self>,
        reports: tokio::sync::mpsc::UnboundedReceiver<traffic::TrafficReport>,
    ) {
        let mut reports = reports;
        while let Some(report) = reports.recv().await {
            let mut state = self.state.borrow_mut();
            state.cluster.note_traffic(report.demand, report.loads);
        }
    }
}

fn encode_record(key: &str, value: &impl serde::Serialize) -> Option<topic::KeyedRecord> {
    match serde_json::to_vec(value) {
        Ok(value) => Some(topic::KeyedRecord {
            key: sync::Arc::from(key),
            value: Some(bytes::Bytes::from(value)),
        }),
        Err(error) => {
            tracing::error!(event = "record-not-written", key, fault = %error);
            None
        }
    }
}
