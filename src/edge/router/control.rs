//! The control thread: what the store, the servers, the other hosts and the traffic threads say goes
//! to the decisions, and what they want done is done here.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::gossip;
use crate::edge::router::metrics;
use crate::edge::router::ports;
use crate::edge::router::store_reader;
use crate::edge::router::traffic;
use crate::names;
use crate::ownership::book;
use crate::ownership::granter;
use crate::ownership::order;
use crate::ownership::succession;
use crate::serving::directory;
use crate::serving::knowledge;
use crate::serving::news;
use crate::serving::view;

/// The interval of the granter's decisions, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The interval between two exchanges of news with a host, in milliseconds.
pub const GOSSIP_MS: u64 = 250;
/// The number of hosts from which on the interval grows in proportion.
pub const GOSSIP_HOSTS: usize = 8;
/// The interval between two reports of keys' work to the granter, in milliseconds.
pub const HEAT_MS: u64 = 250;
/// How long a host that gave the duty away does not take it, in milliseconds.
pub const YIELD_MS: u64 = 4_000;
/// How long the store holds a read of the book by the host that grants, in milliseconds: what the
/// duty's right rests on is at most that old.
pub const GRANTER_WAIT_MS: u64 = 1_000;
/// How long the store holds a read of routes, servers or the book, in milliseconds.
pub const READ_WAIT_MS: u64 = 3_000;
/// How long the store holds a read of the hosts, in milliseconds.
pub const HOSTS_WAIT_MS: u64 = 20_000;
/// The pause between two reads of the servers' entries, in milliseconds.
pub const SERVERS_PAUSE_MS: u64 = 400;

/// The name of the calls about the duty in logs.
const DUTY_CALL: &str = "duty";

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
    pub questions: tokio::sync::mpsc::UnboundedReceiver<gossip::GossipQuestion>,
    /// The interval between two joins, in milliseconds.
    pub join_interval: time::Duration,
    /// The longest hold that servers allow.
    pub max_hold: time::Duration,
    /// Who this host is.
    pub own: news::HostRecord,
    /// Told when the host stops.
    pub stopping: tokio::sync::watch::Receiver<bool>,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
}

struct ControlState {
    knowledge: knowledge::HostKnowledge,
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
    gossip: gossip::GossipClient,
    join_interval: time::Duration,
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
        let life = book::GranterLife {
            host: parts.own.host.clone(),
            incarnation: parts.own.incarnation,
            peers: parts.own.peers,
        };
        let state = ControlState {
            knowledge: knowledge::HostKnowledge::new(parts.own, parts.clock.now()),
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
            gossip: gossip::GossipClient::new(),
            join_interval: parts.join_interval,
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

    async fn follow(self: rc::Rc<Self>, topic: ports::StoreTopic) {
        let pace = || self.pace(topic);
        let tell = |news| self.take_store_news(topic, news);
        store_reader::follow(self.store.clone(), topic, self.clock, pace, tell).await;
    }

    fn pace(&self, topic: ports::StoreTopic) -> store_reader::ReadPace {
        let granting = self.state.borrow().granter.is_granting();
        let wait_ms = match topic {
            ports::StoreTopic::Book if granting => GRANTER_WAIT_MS,
            ports::StoreTopic::Hosts => HOSTS_WAIT_MS,
            _ => READ_WAIT_MS,
        };
        let pause_ms = match topic {
            ports::StoreTopic::Servers => SERVERS_PAUSE_MS,
            _ => 0,
        };
        store_reader::ReadPace {
            wait: time::Duration::from_millis(wait_ms),
            pause: time::Duration::from_millis(pause_ms),
        }
    }

    fn take_store_news(&self, topic: ports::StoreTopic, news: store_reader::StoreNews) {
        match news {
            store_reader::StoreNews::Snapshot(snapshot) => {
                self.note_store(topic.as_str(), false);
                self.take_snapshot(topic, &snapshot);
            }
            store_reader::StoreNews::Batch(batch) => {
                self.note_store(topic.as_str(), false);
                self.take_batch(topic, &batch);
            }
            store_reader::StoreNews::Nothing(sent) => {
                self.note_store(topic.as_str(), false);
                if topic == ports::StoreTopic::Book {
                    self.state.borrow_mut().granter.note_confirmed(sent);
                }
            }
            store_reader::StoreNews::Failed(fault) => {
                tracing::warn!(event = "store-call-failed", topic = topic.as_str(), fault = %fault);
                self.note_store(topic.as_str(), true);
            }
        }
    }

    fn note_store(&self, call: &'static str, lost: bool) {
        let now = self.clock.now();
        let outcome = if lost { "failed" } else { "done" };
        self.metrics.note_store_call(call, outcome);
        // A read of the hosts waits long for news; it tells too late that the store is back.
        if call == ports::StoreTopic::Hosts.as_str() {
            return;
        }
        let changed = self
            .state
            .borrow_mut()
            .knowledge
            .note_store(call, lost, now);
        if changed && lost {
            tracing::warn!(event = "store-lost");
        } else if changed {
            tracing::info!(event = "store-regained");
        }
    }

    fn take_snapshot(&self, topic: ports::StoreTopic, snapshot: &ports::StoreSnapshot) {
        let now = self.clock.now();
        match topic {
            ports::StoreTopic::Routes => self.take_routes(&snapshot.records),
            ports::StoreTopic::Servers => {
                let records = snapshot.records.iter();
                let records = records.filter_map(|record| self.decode_server(record));
                let records: Vec<_> = records.collect();
                let mut state = self.state.borrow_mut();
                state.knowledge.replace_servers(records, now);
            }
            ports::StoreTopic::Hosts => self.take_hosts(&snapshot.records),
            ports::StoreTopic::Book => self.take_book(&snapshot.records, snapshot.end),
        }
        self.publish();
    }

    fn take_batch(&self, topic: ports::StoreTopic, batch: &ports::StoreBatch) {
        match topic {
            ports::StoreTopic::Routes => self.take_routes(&batch.records),
            ports::StoreTopic::Servers => self.take_servers(&batch.records),
            ports::StoreTopic::Hosts => self.take_hosts(&batch.records),
            ports::StoreTopic::Book => self.take_book(&batch.records, batch.next),
        }
        self.publish();
    }

    fn note_refused(&self, topic: ports::StoreTopic, fault: &impl std::fmt::Display) {
        let topic = topic.as_str();
        self.metrics.note_record_refused(topic);
        tracing::warn!(event = "record-refused", topic, fault = %fault);
    }

    fn take_routes(&self, records: &[ports::KeyedRecord]) {
        for record in records {
            match self.decoder.routes(record) {
                Ok(None) => {}
                Ok(Some(routes)) => {
                    let version = routes.version;
                    let taken = self.state.borrow_mut().knowledge.note_routes(routes);
                    tracing::info!(event = "routes-read", version, in_force = taken);
                }
                Err(fault) => {
                    self.note_refused(ports::StoreTopic::Routes, &fault);
                }
            }
        }
    }

    fn decode_server(&self, record: &ports::KeyedRecord) -> Option<directory::ServerRecord> {
        match self.decoder.server(record) {
            Ok(server) => Some(server),
            Err(fault) => {
                self.note_refused(ports::StoreTopic::Servers, &fault);
                None
            }
        }
    }

    fn take_servers(&self, records: &[ports::KeyedRecord]) {
        let now = self.clock.now();
        for record in records {
            if record.value.is_none() {
                if let Ok(name) = names::ServerName::new(&record.key) {
                    tracing::info!(event = "server-removed", server = %name);
                    self.state.borrow_mut().knowledge.remove_server(&name, now);
                }
            } else if let Some(server) = self.decode_server(record) {
                self.note_server(server);
            }
        }
    }

    fn note_server(&self, server: directory::ServerRecord) {
        let mut state = self.state.borrow_mut();
        let known = state.knowledge.directory().find(&server.life.server);
        let same = known.is_some_and(|k| k.life == server.life && k.state == server.state);
        if !same {
            tracing::info!(
                event = "server-changed",
                server = %server.life.server,
                born = server.life.born,
                service = %server.service,
                state = ?server.state
            );
        }
        state.knowledge.note_server(server);
    }

    fn take_hosts(&self, records: &[ports::KeyedRecord]) {
        for record in records {
            let Ok(name) = names::HostName::new(&record.key) else {
                tracing::warn!(event = "record-refused", topic = "hosts", key = %record.key);
                continue;
            };
            let value = record.value.as_ref();
            let read = value.map(|value| serde_json::from_slice::<news::HostRecord>(value));
            match read.transpose() {
                Ok(read) => self.state.borrow_mut().knowledge.note_host(&name, read),
                Err(fault) => {
                    self.note_refused(ports::StoreTopic::Hosts, &fault);
                }
            }
        }
    }

    fn take_book(&self, records: &[ports::KeyedRecord], end: u64) {
        let values = records.iter().filter_map(|record| record.value.as_ref());
        let books = values.filter_map(|value| read_book(value));
        let newest = books.last();
        let now = self.clock.now();
        self.state.borrow_mut().granter.note_book(newest, end, now);
    }

    // Gives the traffic threads what is known now.
    fn publish(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ControlState {
            granter, grants, ..
        } = &mut *state;
        grants.sync(granter.book(), now);
        let view = state.knowledge.view(&state.grants, now);
        self.view.store(sync::Arc::new(view));
        let ready = state.knowledge.is_ready(&state.grants.book);
        self.show(&state);
        self.ready.store(ready, sync::atomic::Ordering::Relaxed);
    }

    // Brings the gauges up to date.
    fn show(&self, state: &ControlState) {
        let metrics = &self.metrics;
        let version = i64::try_from(state.knowledge.routes_version());
        metrics.routes_version.set(version.unwrap_or(i64::MAX));
        metrics
            .store_lost
            .set(i64::from(state.knowledge.store_lost()));
        let granting = i64::from(state.granter.is_granting());
        if metrics.granting.set(granting) == 0 && granting == 1 {
            metrics.takeovers.inc();
        }
        let ranges = state.grants.book.services.values().flatten();
        let moving = ranges.filter(|range| !range.formers.is_empty()).count();
        metrics
            .ranges_moving
            .set(i64::try_from(moving).unwrap_or(i64::MAX));
    }

    async fn join(self: rc::Rc<Self>, stopping: tokio::sync::watch::Receiver<bool>) {
        loop {
            tokio::time::sleep(self.join_interval).await;
            if *stopping.borrow() {
                self.leave().await;
                return;
            }
            let yielding = self.clock.now() < self.state.borrow().yielded_until;
            if yielding {
                continue;
            }
            match self.store.join().await {
                Ok(candidate) => {
                    self.note_store(DUTY_CALL, false);
                    self.state.borrow_mut().granter.note_candidate(candidate);
                }
                Err(fault) => {
                    tracing::warn!(event = "store-call-failed", topic = "duty", fault = %fault);
                    self.note_store(DUTY_CALL, true);
                    self.state.borrow_mut().granter.note_candidate(false);
                }
            }
        }
    }

    async fn leave(&self) {
        self.state.borrow_mut().granter.note_candidate(false);
        if let Err(fault) = self.store.leave().await {
            tracing::warn!(event = "store-call-failed", topic = "duty", fault = %fault);
        }
    }

    // Tells the other hosts of this one, and of its end.
    async fn register(self: rc::Rc<Self>, stopping: tokio::sync::watch::Receiver<bool>) {
        let own = self.state.borrow().knowledge.own().clone();
        let Some(record) = write_record(own.host.as_str(), &own) else {
            return;
        };
        self.append_host(&record).await;
        let mut stopping = stopping;
        if stopping.wait_for(|stopping| *stopping).await.is_ok() {
            self.append_host(&ports::KeyedRecord {
                value: None,
                ..record
            })
            .await;
        }
    }

    async fn append_host(&self, record: &ports::KeyedRecord) {
        loop {
            let outcome = self
                .store
                .append(ports::StoreTopic::Hosts, record, None)
                .await;
            if let order::AppendOutcome::Appended { .. } = outcome {
                return;
            }
            tracing::warn!(event = "store-call-failed", topic = "hosts", outcome = ?outcome);
            tokio::time::sleep(time::Duration::from_millis(store_reader::RETRY_MS)).await;
        }
    }

    async fn tick(self: rc::Rc<Self>) {
        let mut last = self.clock.now();
        loop {
            tokio::time::sleep(time::Duration::from_millis(TICK_MS)).await;
            self.decide();
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let expired = state.knowledge.expire(now);
            drop(state);
            if expired || now.since(last) >= time::Duration::from_millis(GOSSIP_MS) {
                last = now;
                self.publish();
            }
        }
    }

    // Lets the granter decide and does what it wants.
    fn decide(self: &rc::Rc<Self>) {
        let now = self.clock.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let services = state.knowledge.sharded_services();
            let ControlState {
                knowledge, granter, ..
            } = &mut *state;
            granter.tick(now, &services, knowledge.directory())
        };
        for action in actions {
            match action {
                order::GranterAction::Append { book, at } => {
                    actix::spawn(rc::Rc::clone(self).append_book(book, at));
                }
                order::GranterAction::Grant(order) => {
                    actix::spawn(rc::Rc::clone(self).send_grant(order));
                }
                order::GranterAction::Release(order) => {
                    actix::spawn(rc::Rc::clone(self).send_release(order));
                }
                order::GranterAction::Yield => {
                    actix::spawn(rc::Rc::clone(self).yield_duty());
                }
            }
        }
    }

    async fn yield_duty(self: rc::Rc<Self>) {
        let span = time::Duration::from_millis(YIELD_MS);
        self.state.borrow_mut().yielded_until = self.clock.now() + span;
        self.leave().await;
    }

    async fn append_book(self: rc::Rc<Self>, book: book::GrantBook, at: u64) {
        let sent = self.clock.now();
        let Some(record) = write_record("book", &book) else {
            return;
        };
        let outcome = self
            .store
            .append(ports::StoreTopic::Book, &record, Some(at))
            .await;
        let changes = book
            .services
            .values()
            .flatten()
            .filter(|range| !range.formers.is_empty());
        tracing::info!(
            event = "book-appended",
            term = book.term,
            at,
            moving = changes.count(),
            outcome = ?outcome
        );
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_appended(outcome, sent, now);
        self.publish();
        self.decide();
    }

    async fn send_grant(self: rc::Rc<Self>, order: order::GrantOrder) {
        let outcome = self.orders.grant(&order).await;
        self.metrics.note_order("grant", outcome.as_str());
        let now = self.clock.now();
        if !matches!(outcome, order::OrderOutcome::Done(_)) {
            tracing::warn!(
                event = "grant-unanswered",
                server = %order.life.server,
                first = order.range.first,
                last = order.range.last,
                fence = order.range.fence,
                outcome = ?outcome
            );
        }
        let mut state = self.state.borrow_mut();
        let news = state.granter.note_granted(&order, &outcome, now);
        drop(state);
        if news {
            self.decide();
        }
    }

    async fn send_release(self: rc::Rc<Self>, order: order::ReleaseOrder) {
        let outcome = self.orders.release(&order).await;
        self.metrics.note_order("release", outcome.as_str());
        let now = self.clock.now();
        tracing::info!(
            event = "release-ended",
            server = %order.life.server,
            first = order.range.first,
            last = order.range.last,
            fence = order.range.fence,
            outcome = ?outcome
        );
        self.state
            .borrow_mut()
            .granter
            .note_released(&order, &outcome, now);
        self.decide();
    }

    async fn report_heat(self: rc::Rc<Self>) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(HEAT_MS)).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            if !state.granter.is_granting() {
                continue;
            }
            let reports = state.knowledge.heat(now);
            let times = state.knowledge.service_times(now);
            state.granter.note_service_times(times);
            for report in &reports {
                state.granter.note_heat(&report.service, &report.heat);
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
            let heat = heat.map(|(service, heat)| news::ServiceReport { service, heat });
            let mut state = self.state.borrow_mut();
            let knowledge = &mut state.knowledge;
            knowledge.note_traffic(report.demand, heat.collect(), report.service_times);
        }
    }

    async fn ask_hosts(self: rc::Rc<Self>) {
        loop {
            let hosts = self.hosts_to_ask();
            let stretch = u32::try_from(hosts.len() / GOSSIP_HOSTS).unwrap_or(0) + 1;
            for (peers, host) in hosts {
                actix::spawn(rc::Rc::clone(&self).ask_host(host, peers));
            }
            tokio::time::sleep(time::Duration::from_millis(GOSSIP_MS) * stretch).await;
        }
    }

    // Each pair of hosts has one that asks; a granter also asks those that granted before.
    fn hosts_to_ask(&self) -> collections::BTreeMap<net::SocketAddr, names::HostName> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let hosts = state.knowledge.hosts_to_ask().into_iter();
        let hosts = hosts.map(|host| (host.peers, host.host));
        let doubted = state.granter.granters_in_doubt(now).into_iter();
        let doubted = doubted.map(|life| (life.peers, life.host));
        hosts.chain(doubted).collect()
    }

    async fn ask_host(self: rc::Rc<Self>, host: names::HostName, peers: net::SocketAddr) {
        let asked = self.clock.now();
        let news = self.news_for(&host);
        match self.gossip.exchange(peers, news).await {
            Ok(news) => {
                self.note_answer(&news, asked);
                self.take_news(news);
            }
            Err(fault) => {
                tracing::debug!(event = "host-unreached", host = %host, fault = %fault);
            }
        }
    }

    fn note_answer(&self, news: &news::HostNews, asked: clock::MonoTime) {
        let record = &news.record;
        let answer = succession::HostAnswer {
            life: book::GranterLife {
                host: record.host.clone(),
                incarnation: record.incarnation,
                peers: record.peers,
            },
            term: news.term,
            asked,
            uptime: time::Duration::from_millis(news.uptime_millis),
        };
        let now = self.clock.now();
        self.state.borrow_mut().granter.note_answer(&answer, now);
    }

    fn news_for(&self, host: &names::HostName) -> news::HostNews {
        let state = self.state.borrow();
        let grants = knowledge::GrantKnowledge {
            book: state.granter.book(),
            end: state.granter.book_end(),
        };
        state.knowledge.news_for(host, &grants, self.clock.now())
    }

    fn take_news(&self, news: news::HostNews) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(relay) = state.knowledge.note_news(news, now) else {
            return;
        };
        let changed = state.knowledge.note_relay(&relay, now);
        let book = relay
            .book
            .is_some_and(|(book, end)| state.granter.note_book(Some(book), end, now));
        drop(state);
        if changed || book {
            self.publish();
        }
    }

    async fn answer_hosts(
        self: rc::Rc<Self>,
        questions: tokio::sync::mpsc::UnboundedReceiver<gossip::GossipQuestion>,
    ) {
        let mut questions = questions;
        while let Some(question) = questions.recv().await {
            let host = question.news.record.host.clone();
            self.take_news(question.news);
            // The asking host may have given up.
            let _ = question.reply.send(self.news_for(&host));
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

fn read_book(value: &[u8]) -> Option<book::GrantBook> {
    match serde_json::from_slice::<book::GrantBook>(value) {
        Ok(book) if book.is_sound() => Some(book),
        Ok(book) => {
            tracing::error!(
                event = "record-refused",
                topic = "book",
                term = book.term,
                fault = "unsound"
            );
            None
        }
        Err(fault) => {
            tracing::error!(event = "record-refused", topic = "book", fault = %fault);
            None
        }
    }
}
