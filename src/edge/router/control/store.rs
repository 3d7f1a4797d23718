//! Reads the store's topics, decodes the records and passes them to the decision modules.

use std::rc;
use std::time;

use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::edge::router::store_reader;
use crate::names;
use crate::ownership::assignment;
use crate::serving::directory;
use crate::serving::status;

/// The long-poll wait of reads of the assignment table on the granter, in milliseconds. It bounds
/// the age of the granter's confirmation that no other host has claimed the role.
pub const GRANTER_READ_WAIT_MS: u64 = 1_000;
/// The long-poll wait of other reads of routes, servers and the assignment table, in milliseconds.
pub const READ_WAIT_MS: u64 = 3_000;
/// The long-poll wait of reads of the hosts, in milliseconds.
pub const HOSTS_WAIT_MS: u64 = 20_000;
/// The upper bound of the pause between two reads of the servers, in milliseconds.
pub const SERVERS_PAUSE_MS: u64 = 400;
/// The part of the servers' drain time that this pause takes up at most.
pub const SERVERS_PAUSE_RATIO: f64 = 0.2;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) async fn follow(self: rc::Rc<Self>, topic: ports::StoreTopic) {
        let timing = || self.read_timing(topic);
        let on_update = |update| self.apply_update(topic, update);
        store_reader::follow(self.store.clone(), topic, self.clock, timing, on_update).await;
    }

    fn read_timing(&self, topic: ports::StoreTopic) -> store_reader::ReadTiming {
        let state = self.state.borrow();
        let granting = state.granter.is_granting();
        let wait_ms = match topic {
            ports::StoreTopic::Assignments if granting => GRANTER_READ_WAIT_MS,
            ports::StoreTopic::Hosts => HOSTS_WAIT_MS,
            _ => READ_WAIT_MS,
        };
        let pause = match topic {
            ports::StoreTopic::Servers => servers_pause(self.drain),
            _ => time::Duration::ZERO,
        };
        // A record of the assignment table replaces all earlier ones, which another host may have
        // sent meanwhile.
        let outdated_before = match topic {
            ports::StoreTopic::Assignments => state.granter.log_end(),
            _ => 0,
        };
        store_reader::ReadTiming {
            wait: time::Duration::from_millis(wait_ms),
            pause,
            outdated_before,
        }
    }

    fn apply_update(&self, topic: ports::StoreTopic, update: store_reader::StoreUpdate) {
        match update {
            store_reader::StoreUpdate::Snapshot(snapshot) => {
                self.note_store(topic.as_str(), false);
                self.apply_snapshot(topic, &snapshot);
            }
            store_reader::StoreUpdate::Batch(batch) => {
                self.note_store(topic.as_str(), false);
                self.apply_batch(topic, &batch);
            }
            store_reader::StoreUpdate::Unchanged(sent) => {
                self.note_store(topic.as_str(), false);
                if topic == ports::StoreTopic::Assignments {
                    self.state.borrow_mut().granter.note_confirmed(sent);
                }
            }
            store_reader::StoreUpdate::Failed(error) => {
                tracing::warn!(event = "store-call-failed", topic = topic.as_str(), fault = %error);
                self.note_store(topic.as_str(), true);
            }
        }
    }

    pub(super) fn note_store(&self, call: &'static str, lost: bool) {
        let now = self.clock.now();
        let outcome = if lost { "failed" } else { "done" };
        self.metrics.note_store_call(call, outcome);
        // A read of the hosts waits for up to `HOSTS_WAIT_MS`, too long to detect that the store is
        // back.
        if call == ports::StoreTopic::Hosts.as_str() {
            return;
        }
        let changed = self.state.borrow_mut().cluster.note_store(call, lost, now);
        if changed && lost {
            tracing::warn!(event = "store-lost");
        } else if changed {
            tracing::info!(event = "store-regained");
        }
    }

    fn apply_snapshot(&self, topic: ports::StoreTopic, snapshot: &ports::StoreSnapshot) {
        let now = self.clock.now();
        match topic {
            ports::StoreTopic::Routes => self.apply_routes(&snapshot.records),
            ports::StoreTopic::Servers => {
                let records = snapshot.records.iter();
                let records = records.filter_map(|record| self.decode_server(record));
                let records: Vec<_> = records.collect();
                let mut state = self.state.borrow_mut();
                state.cluster.replace_servers(records, now);
            }
            ports::StoreTopic::Hosts => self.apply_hosts(&snapshot.records),
            ports::StoreTopic::Assignments => self.apply_table(&snapshot.records, snapshot.end),
        }
        self.publish();
    }

    fn apply_batch(&self, topic: ports::StoreTopic, batch: &ports::StoreBatch) {
        match topic {
            ports::StoreTopic::Routes => self.apply_routes(&batch.records),
            ports::StoreTopic::Servers => self.apply_servers(&batch.records),
            ports::StoreTopic::Hosts => self.apply_hosts(&batch.records),
            ports::StoreTopic::Assignments => self.apply_table(&batch.records, batch.next),
        }
        self.publish();
    }

    fn note_rejected(&self, topic: ports::StoreTopic, error: &impl std::fmt::Display) {
        let topic = topic.as_str();
        self.metrics.note_record_refused(topic);
        tracing::warn!(event = "record-refused", topic, fault = %error);
    }

    fn apply_routes(&self, records: &[ports::KeyedRecord]) {
        for record in records {
            match self.decoder.routes(record) {
                Ok(None) => {}
                Ok(Some(routes)) => {
                    let version = routes.version;
                    let accepted = self.state.borrow_mut().cluster.note_routes(routes);
                    tracing::info!(event = "routes-read", version, in_force = accepted);
                }
                Err(error) => {
                    self.note_rejected(ports::StoreTopic::Routes, &error);
                }
            }
        }
    }

    fn decode_server(&self, record: &ports::KeyedRecord) -> Option<directory::ServerRecord> {
        match self.decoder.server(record) {
            Ok(server) => Some(server),
            Err(error) => {
                self.note_rejected(ports::StoreTopic::Servers, &error);
                None
            }
        }
    }

    fn apply_servers(&self, records: &[ports::KeyedRecord]) {
        let now = self.clock.now();
        for record in records {
            if record.value.is_none() {
                if let Ok(name) = names::ServerName::new(&record.key) {
                    tracing::info!(event = "server-removed", server = %name);
                    self.state.borrow_mut().cluster.remove_server(&name, now);
                }
            } else if let Some(server) = self.decode_server(record) {
                self.note_server(server);
            }
        }
    }

    fn note_server(&self, server: directory::ServerRecord) {
        let mut state = self.state.borrow_mut();
        let known = state.cluster.directory().find(&server.life.server);
        let unchanged = known.is_some_and(|k| k.life == server.life && k.state == server.state);
        if !unchanged {
            tracing::info!(
                event = "server-changed",
                server = %server.life.server,
                born = server.life.born,
                service = %server.service,
                state = ?server.state
            );
        }
        state.cluster.note_server(server);
    }

    fn apply_hosts(&self, records: &[ports::KeyedRecord]) {
        for record in records {
            let Ok(name) = names::HostName::new(&record.key) else {
                tracing::warn!(event = "record-refused", topic = "hosts", key = %record.key);
                continue;
            };
            let value = record.value.as_ref();
            let read = value.map(|value| serde_json::from_slice::<status::HostRecord>(value));
            match read.transpose() {
                Ok(read) => self.state.borrow_mut().cluster.note_host(&name, read),
                Err(error) => {
                    self.note_rejected(ports::StoreTopic::Hosts, &error);
                }
            }
        }
    }

    fn apply_table(&self, records: &[ports::KeyedRecord], end: u64) {
        let values = records.iter().filter_map(|record| record.value.as_ref());
        let tables = values.filter_map(|value| decode_table(value));
        let newest = tables.last();
        let now = self.clock.now();
        self.state.borrow_mut().granter.note_table(newest, end, now);
    }
}

fn decode_table(value: &[u8]) -> Option<assignment::AssignmentTable> {
    match serde_json::from_slice::<assignment::AssignmentTable>(value) {
        Ok(table) if table.is_sound() => Some(table),
        Ok(table) => {
            tracing::error!(
                event = "record-refused",
                topic = "book",
                term = table.term,
                fault = "unsound"
            );
            None
        }
        Err(error) => {
            tracing::error!(event = "record-refused", topic = "book", fault = %error);
            None
        }
    }
}

/// Returns the pause between two reads of the servers, which go on serving for `drain` after they
/// have reported that they are draining.
#[must_use]
pub fn servers_pause(drain: time::Duration) -> time::Duration {
    let longest = time::Duration::from_millis(SERVERS_PAUSE_MS);
    longest.min(drain.mul_f64(SERVERS_PAUSE_RATIO))
}
