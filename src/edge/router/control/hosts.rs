//! The other entry hosts: this host's registration in the store, and the exchange of status
//! updates.

use std::rc;
use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::edge::router::shutdown_watch;
use crate::edge::router::status_exchange;
use crate::edge::router::store_reader;
use crate::ownership::former_granters;
use crate::ownership::order;
use crate::serving::cluster::exchange;
use crate::serving::status;
use crate::serving::topic;

/// The interval of the status exchange with each host, in milliseconds.
pub const STATUS_EXCHANGE_INTERVAL_MS: u64 = 250;

/// The interval of the log lines about the exchanges, in milliseconds.
pub const EXCHANGE_LOG_INTERVAL_MS: u64 = 5_000;

/// The mean interval between the registrations of all hosts after the store has lost them, in
/// milliseconds.
pub const REGISTRATION_INTERVAL_MS: u64 = 5;

// What this host has exchanged with other hosts, callers and servers since it started.
struct ExchangeCounts {
    done: u64,
    failed: u64,
    relayed_bytes: u64,
    request_bytes: u64,
    response_bytes: u64,
    requests_outdated: u64,
}

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Registers this host in the store, and removes the registration when the host stops.
    pub(super) async fn register(self: rc::Rc<Self>, shutdown: shutdown_watch::ShutdownWatch) {
        let own = self.state.borrow().cluster.own().clone();
        let Some(record) = control::encode_record(own.host.as_str(), &own) else {
            return;
        };
        let era = self.append_host(&record).await;
        let now = self.clock.now();
        self.state.borrow_mut().cluster.note_registered(now);
        let stopped = tokio::select! {
            _ = shutdown.begun() => true,
            () = self.keep_registered(&record, era) => false,
        };
        if stopped {
            self.append_host(&topic::KeyedRecord {
                value: None,
                ..record
            })
            .await;
        }
    }

    // Registers this host again whenever a store that came back from an older copy has lost its
    // record, which it wrote in `era`.
    async fn keep_registered(&self, record: &topic::KeyedRecord, era: u64) {
        let mut changes = self.changes.subscribe();
        let mut era = era;
        while changes.changed().await.is_ok() {
            if !self.is_unregistered(record, era) {
                continue;
            }
            tokio::time::sleep(self.registration_delay()).await;
            if self.is_unregistered(record, era) {
                tracing::info!(event = "registration-lost", era);
                era = self.append_host(record).await;
            }
        }
    }

    // Whether the copy of a later era than `era` lacks this host's record.
    fn is_unregistered(&self, record: &topic::KeyedRecord, era: u64) -> bool {
        let state = self.state.borrow();
        let copy = &state.replicas[topic::StoreTopic::Hosts.index()];
        copy.position().era > era && !copy.holds(record)
    }

    // Spreads the registrations of all hosts that a store has lost.
    fn registration_delay(&self) -> time::Duration {
        let state = self.state.borrow();
        let hosts = u64::try_from(state.cluster.other_host_count()).unwrap_or(u64::MAX);
        let longest = hosts.saturating_mul(REGISTRATION_INTERVAL_MS).max(1);
        let name = state.cluster.own().host.as_str();
        time::Duration::from_millis(xxh3::xxh3_64(name.as_bytes()) % longest)
    }

    // Returns the era of the store in which the record was appended.
    async fn append_host(&self, record: &topic::KeyedRecord) -> u64 {
        loop {
            let records = std::slice::from_ref(record);
            let hosts = topic::StoreTopic::Hosts;
            let outcome = self.store.append(hosts, records, None).await;
            self.note_append(hosts, outcome);
            if let order::AppendOutcome::Appended { era, .. } = outcome {
                return era;
            }
            tracing::warn!(event = "store-call-failed", topic = "hosts", outcome = ?outcome);
            tokio::time::sleep(time::Duration::from_millis(store_reader::RETRY_DELAY_MS)).await;
        }
    }

    pub(super) async fn exchange_with_hosts(self: rc::Rc<Self>) {
        let mut sources = self.record_source.subscribe();
        loop {
            for target in self.exchange_targets() {
                // A slow host is not asked again before it has responded.
                if self.exchanging.borrow_mut().insert(target.host.clone()) {
                    actix::spawn(rc::Rc::clone(&self).exchange_with_host(target));
                }
            }
            let interval = time::Duration::from_millis(STATUS_EXCHANGE_INTERVAL_MS);
            // Another source of records has other hosts to ask.
            let _ = tokio::time::timeout(interval, sources.changed()).await;
        }
    }

    // A granter also queries former granters whose orders may still arrive, in each round.
    fn exchange_targets(&self) -> Vec<exchange::ExchangeTarget> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let mut targets = state.cluster.exchange_targets(&state.grant_snapshot(), now);
        for granter in state.granter.former_granters_to_query(now) {
            targets.push(exchange::ExchangeTarget {
                host: granter.host,
                peers: granter.peers,
                purpose: status::ExchangePurpose::Query,
            });
        }
        targets
    }

    async fn exchange_with_host(self: rc::Rc<Self>, target: exchange::ExchangeTarget) {
        let asked = self.clock.now();
        let request = {
            let mut state = self.state.borrow_mut();
            let grants = state.grant_snapshot();
            state.cluster.note_asked(&target.host, grants.ends, asked);
            state.cluster.request_for(&target, &grants, asked)
        };
        let response = self.status_client.exchange(target.peers, request).await;
        self.exchanging.borrow_mut().remove(&target.host);
        match response {
            Ok(response) => {
                self.metrics.note_status_exchange("done");
                self.note_former_granter(&response, asked);
                let now = self.clock.now();
                self.note_supplier_status(&response, asked);
                let state = &mut *self.state.borrow_mut();
                let own = state.ends();
                state.cluster.note_confirmation(&response, &own, asked);
                state.cluster.note_response(response, now);
            }
            Err(error) => {
                self.metrics.note_status_exchange("failed");
                tracing::debug!(event = "host-unreached", host = %target.host, fault = %error);
                let now = self.clock.now();
                let cluster = &mut self.state.borrow_mut().cluster;
                cluster.note_exchange_failed(&target.host, now);
            }
        }
        self.update_era();
        self.update_reading();
    }

    // A response may prove that a former granter has stopped.
    fn note_former_granter(&self, status: &status::HostStatusUpdate, asked: clock::MonoTime) {
        let response = former_granters::HostResponse {
            life: status.record.granter_incarnation(),
            term: status.term,
            granted: status.granted,
            asked,
            uptime: time::Duration::from_millis(status.uptime_millis),
        };
        let now = self.clock.now();
        let granter = &mut self.state.borrow_mut().granter;
        granter.note_host_response(&response, now);
        if let Some(overtaken) = &status.overtaken {
            granter.note_overtaken(overtaken);
        }
    }

    // Logs what was exchanged with other hosts, and what crossed the link, since the last lines.
    pub(super) async fn log_exchanges(self: rc::Rc<Self>) {
        let mut logged = self.exchange_counts();
        loop {
            tokio::time::sleep(time::Duration::from_millis(EXCHANGE_LOG_INTERVAL_MS)).await;
            let counts = self.exchange_counts();
            tracing::info!(
                event = "hosts-exchanged",
                done = counts.done - logged.done,
                failed = counts.failed - logged.failed,
                relayed_bytes = counts.relayed_bytes - logged.relayed_bytes,
                records_age_ms = self.metrics.records_age_ms.get(),
                requests_outdated = counts.requests_outdated - logged.requests_outdated
            );
            tracing::info!(
                event = "link-used",
                request_bytes = counts.request_bytes - logged.request_bytes,
                response_bytes = counts.response_bytes - logged.response_bytes
            );
            logged = counts;
        }
    }

    fn exchange_counts(&self) -> ExchangeCounts {
        ExchangeCounts {
            done: self.metrics.status_exchange_count("done"),
            failed: self.metrics.status_exchange_count("failed"),
            relayed_bytes: self.metrics.relayed_bytes.get(),
            request_bytes: self.metrics.request_bytes.get(),
            response_bytes: self.metrics.response_bytes.get(),
            requests_outdated: self.metrics.requests_outdated.get(),
        }
    }

    pub(super) async fn serve_host_calls(
        self: rc::Rc<Self>,
        calls: tokio::sync::mpsc::UnboundedReceiver<status_exchange::HostCall>,
    ) {
        let mut calls = calls;
        while let Some(call) = calls.recv().await {
            match call {
                status_exchange::HostCall::Status { status, reply } => {
                    // The other host may have stopped waiting for the reply.
                    let _ = reply.send(self.respond_to(*status));
                }
                status_exchange::HostCall::Records { request, reply } => {
                    actix::spawn(rc::Rc::clone(&self).send_relay(request, reply));
                }
            }
        }
    }

    fn respond_to(&self, request: status::HostStatusUpdate) -> status::HostStatusUpdate {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let grants = state.grant_snapshot();
        let response = state.cluster.response_to(&request, &grants, now);
        if let Some(overtaken) = &request.overtaken {
            state.granter.note_overtaken(overtaken);
        }
        state.cluster.note_request(request, now);
        drop(state);
        self.update_era();
        response
    }
}
