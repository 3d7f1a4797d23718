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
use crate::serving::status;

/// The interval of the status exchange with each host, in milliseconds.
pub const STATUS_EXCHANGE_INTERVAL_MS: u64 = 250;
/// The number of other hosts above which the exchange with all of them takes more than one
/// interval: one more for each full set of this many hosts. So the exchanges of a host in one
/// interval do not grow with the number of hosts.
pub const STATUS_EXCHANGE_HOSTS_PER_INTERVAL: usize = 8;

/// The interval of the log lines about the exchanges, in milliseconds.
pub const EXCHANGE_LOG_INTERVAL_MS: u64 = 5_000;

// What this host has exchanged with other hosts since it started.
struct ExchangeCounts {
    done: u64,
    failed: u64,
    relayed_bytes: u64,
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
        let mut round = 0;
        loop {
            for (peers, host) in self.exchange_targets(round) {
                actix::spawn(rc::Rc::clone(&self).exchange_with_host(host, peers));
            }
            round += 1;
            tokio::time::sleep(time::Duration::from_millis(STATUS_EXCHANGE_INTERVAL_MS)).await;
        }
    }

    // The host of the lower name of each pair starts the exchange. Where there are many hosts, each
    // round takes a part of them, so that the messages of one exchange do not delay those of the
    // others. A granter also queries former granters whose orders may still arrive, in each round.
    fn exchange_targets(
        &self,
        round: usize,
    ) -> collections::BTreeMap<net::SocketAddr, names::HostName> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let rounds = state.cluster.other_host_count() / STATUS_EXCHANGE_HOSTS_PER_INTERVAL + 1;
        let hosts = state.cluster.hosts_to_query().into_iter().enumerate();
        let hosts = hosts.filter(|(index, _)| index % rounds == round % rounds);
        let hosts = hosts.map(|(_, host)| (host.peers, host.host));
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
        let grants = control::grant_snapshot(&state.granter);
        state.cluster.status_for(host, &grants, self.clock.now())
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
        self.state.borrow_mut().cluster.note_status(status, now);
    }

    pub(super) async fn serve_host_calls(
        self: rc::Rc<Self>,
        calls: tokio::sync::mpsc::UnboundedReceiver<status_exchange::HostCall>,
    ) {
        let mut calls = calls;
        while let Some(call) = calls.recv().await {
            // The other host may have stopped waiting for the reply.
            match call {
                status_exchange::HostCall::Status { status, reply } => {
                    let host = status.record.host.clone();
                    self.apply_status(*status);
                    let _ = reply.send(self.status_for(&host));
                }
                status_exchange::HostCall::Records { request, reply } => {
                    let _ = reply.send(self.relay_for(&request));
                }
            }
        }
    }
}
