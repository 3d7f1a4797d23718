//! The other entry hosts: this host's registration in the store, and the exchange of status
//! updates.

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

/// The interval of the status exchange with each host, in milliseconds.
pub const STATUS_EXCHANGE_INTERVAL_MS: u64 = 250;
/// The interval is extended by one for each full set of this many hosts to exchange with, so that
/// the load of a host does not grow with their number.
pub const STATUS_EXCHANGE_HOSTS_PER_INTERVAL: usize = 8;

/// The interval of the log lines about the exchanges, in milliseconds.
pub const EXCHANGE_LOG_INTERVAL_MS: u64 = 5_000;

// What this host has exchanged with other hosts since it started.
struct ExchangeCounts {
    done: u64,
    failed: u64,
    relayed_bytes: u64,
}

// The size of a message as it is sent to another host, in bytes; 0 where it cannot be encoded.
fn encoded_size(message: &impl serde::Serialize) -> u64 {
    let encoded = serde_json::to_vec(message).unwrap_or_default();
    u64::try_from(encoded.len()).unwrap_or(u64::MAX)
}

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Registers this host in the store, and removes the registration when the host stops.
    pub(super) async fn register(self: rc::Rc<Self>, stopping: tokio::sync::watch::Receiver<bool>) {
        let own = self.state.borrow().cluster.own().clone();
        let Some(record) = control::encode_record(own.host.as_str(), &own) else {
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
            tokio::time::sleep(time::Duration::from_millis(store_reader::RETRY_DELAY_MS)).await;
        }
    }

    pub(super) async fn exchange_with_hosts(self: rc::Rc<Self>) {
        loop {
            let hosts = self.exchange_targets();
            let scale =
                u32::try_from(hosts.len() / STATUS_EXCHANGE_HOSTS_PER_INTERVAL).unwrap_or(0) + 1;
            for (peers, host) in hosts {
                actix::spawn(rc::Rc::clone(&self).exchange_with_host(host, peers));
            }
            tokio::time::sleep(time::Duration::from_millis(STATUS_EXCHANGE_INTERVAL_MS) * scale)
                .await;
        }
    }

    // The host of the lower name of each pair starts the exchange. A granter also queries former
    // granters whose orders may still arrive.
    fn exchange_targets(&self) -> collections::BTreeMap<net::SocketAddr, names::HostName> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let hosts = state.cluster.hosts_to_query().into_iter();
        let hosts = hosts.map(|host| (host.peers, host.host));
        let possibly_active = state.granter.former_granters_to_query(now).into_iter();
        let possibly_active = possibly_active.map(|granter| (granter.peers, granter.host));
        hosts.chain(possibly_active).collect()
    }

    async fn exchange_with_host(self: rc::Rc<Self>, host: names::HostName, peers: net::SocketAddr) {
        let asked = self.clock.now();
        let status = self.status_for(&host);
        match self.status_client.exchange(peers, status).await {
            Ok(status) => {
                self.metrics.note_status_exchange("done");
                self.note_response(&status, asked);
                self.apply_status(status);
            }
            Err(error) => {
                self.metrics.note_status_exchange("failed");
                tracing::debug!(event = "host-unreached", host = %host, fault = %error);
            }
        }
    }

    fn note_response(&self, status: &status::HostStatusUpdate, asked: clock::MonoTime) {
        let response = former_granters::HostResponse {
            life: status.record.granter_incarnation(),
            term: status.term,
            asked,
            uptime: time::Duration::from_millis(status.uptime_millis),
        };
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_host_response(&response, now);
    }

    fn status_for(&self, host: &names::HostName) -> status::HostStatusUpdate {
        let state = self.state.borrow();
        let grants = cluster::GrantSnapshot {
            table: state.granter.table(),
            end: state.granter.log_end(),
        };
        let status = state.cluster.status_for(host, &grants, self.clock.now());
        if let Some(relay) = &status.relay {
            self.metrics.relayed_bytes.inc_by(encoded_size(relay));
        }
        status
    }

    // Logs what was exchanged with other hosts since the last line.
    pub(super) async fn log_exchanges(self: rc::Rc<Self>) {
        let mut logged = self.exchange_counts();
        loop {
            tokio::time::sleep(time::Duration::from_millis(EXCHANGE_LOG_INTERVAL_MS)).await;
            let counts = self.exchange_counts();
            tracing::info!(
                event = "hosts-exchanged",
                done = counts.done - logged.done,
                failed = counts.failed - logged.failed,
                relayed_bytes = counts.relayed_bytes - logged.relayed_bytes
            );
            logged = counts;
        }
    }

    fn exchange_counts(&self) -> ExchangeCounts {
        ExchangeCounts {
            done: self.metrics.status_exchange_count("done"),
            failed: self.metrics.status_exchange_count("failed"),
            relayed_bytes: self.metrics.relayed_bytes.get(),
        }
    }

    fn apply_status(&self, status: status::HostStatusUpdate) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(relay) = state.cluster.note_status(status, now) else {
            return;
        };
        let changed = state.cluster.note_relay(&relay, now);
        let table_changed = relay
            .book
            .is_some_and(|(table, end)| state.granter.note_table(Some(table), end, now));
        drop(state);
        if changed || table_changed {
            self.publish();
        }
    }

    pub(super) async fn serve_status_requests(
        self: rc::Rc<Self>,
        requests: tokio::sync::mpsc::UnboundedReceiver<status_exchange::StatusExchangeRequest>,
    ) {
        let mut requests = requests;
        while let Some(request) = requests.recv().await {
            let host = request.status.record.host.clone();
            self.apply_status(request.status);
            // The other host may have stopped waiting.
            let _ = request.reply.send(self.status_for(&host));
        }
    }
}
