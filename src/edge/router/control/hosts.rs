//! The other entry hosts: this host's entry in the store, and the exchange of news.

use std::collections;
use std::net;
use std::rc;
use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::edge::router::status_exchange;
use crate::edge::router::store_reader;
use crate::names;
use crate::ownership::former_granters;
use crate::ownership::order;
use crate::serving::cluster;
use crate::serving::status;

/// The interval between two exchanges of news with a host, in milliseconds.
pub const STATUS_EXCHANGE_INTERVAL_MS: u64 = 250;
/// The number of hosts from which on the interval grows in proportion.
pub const STATUS_EXCHANGE_HOSTS_PER_INTERVAL: usize = 8;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Tells the other hosts of this one, and of its end.
    pub(super) async fn register(self: rc::Rc<Self>, stopping: tokio::sync::watch::Receiver<bool>) {
        let own = self.state.borrow().cluster.own().clone();
        let Some(record) = control::write_record(own.host.as_str(), &own) else {
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

    pub(super) async fn ask_hosts(self: rc::Rc<Self>) {
        loop {
            let hosts = self.hosts_to_query();
            let stretch =
                u32::try_from(hosts.len() / STATUS_EXCHANGE_HOSTS_PER_INTERVAL).unwrap_or(0) + 1;
            for (peers, host) in hosts {
                actix::spawn(rc::Rc::clone(&self).ask_host(host, peers));
            }
            tokio::time::sleep(time::Duration::from_millis(STATUS_EXCHANGE_INTERVAL_MS) * stretch)
                .await;
        }
    }

    // Each pair of hosts has one that asks; a granter also asks those that granted before.
    fn hosts_to_query(&self) -> collections::BTreeMap<net::SocketAddr, names::HostName> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let hosts = state.cluster.hosts_to_query().into_iter();
        let hosts = hosts.map(|host| (host.peers, host.host));
        let doubted = state.granter.former_granters_to_query(now).into_iter();
        let doubted = doubted.map(|life| (life.peers, life.host));
        hosts.chain(doubted).collect()
    }

    async fn ask_host(self: rc::Rc<Self>, host: names::HostName, peers: net::SocketAddr) {
        let asked = self.clock.now();
        let news = self.status_for(&host);
        match self.status_exchange.exchange(peers, news).await {
            Ok(news) => {
                self.note_host_response(&news, asked);
                self.take_status(news);
            }
            Err(fault) => {
                tracing::debug!(event = "host-unreached", host = %host, fault = %fault);
            }
        }
    }

    fn note_host_response(&self, news: &status::HostStatusUpdate, asked: clock::MonoTime) {
        let answer = former_granters::HostResponse {
            life: news.record.granter_incarnation(),
            term: news.term,
            asked,
            uptime: time::Duration::from_millis(news.uptime_millis),
        };
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_host_response(&answer, now);
    }

    fn status_for(&self, host: &names::HostName) -> status::HostStatusUpdate {
        let state = self.state.borrow();
        let grants = cluster::GrantSnapshot {
            table: state.granter.table(),
            end: state.granter.log_end(),
        };
        state.cluster.status_for(host, &grants, self.clock.now())
    }

    fn take_status(&self, news: status::HostStatusUpdate) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(relay) = state.cluster.note_status(news, now) else {
            return;
        };
        let changed = state.cluster.note_relay(&relay, now);
        let table = relay
            .book
            .is_some_and(|(table, end)| state.granter.note_table(Some(table), end, now));
        drop(state);
        if changed || table {
            self.publish();
        }
    }

    pub(super) async fn answer_hosts(
        self: rc::Rc<Self>,
        questions: tokio::sync::mpsc::UnboundedReceiver<status_exchange::StatusExchangeRequest>,
    ) {
        let mut questions = questions;
        while let Some(question) = questions.recv().await {
            let host = question.news.record.host.clone();
            self.take_status(question.news);
            // The asking host may have given up.
            let _ = question.reply.send(self.status_for(&host));
        }
    }
}
