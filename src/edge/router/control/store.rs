//! What the store says: read, decoded and passed to the decisions.

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

/// How long the store holds a read of the book by the host that grants, in milliseconds: what the
/// duty's right rests on is at most that old.
pub const GRANTER_WAIT_MS: u64 = 1_000;
/// How long the store holds a read of routes, servers or the book, in milliseconds.
pub const READ_WAIT_MS: u64 = 3_000;
/// How long the store holds a read of the hosts, in milliseconds.
pub const HOSTS_WAIT_MS: u64 = 20_000;
/// The pause between two reads of the servers' entries, in milliseconds, at most.
pub const SERVERS_PAUSE_MS: u64 = 400;
/// The part of the time for which leaving servers serve on that this pause takes at most.
pub const SERVERS_PAUSE_PART: f64 = 0.2;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) async fn follow(self: rc::Rc<Self>, topic: ports::StoreTopic) {
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
        let pause = match topic {
            ports::StoreTopic::Servers => servers_pause(self.drain),
            _ => time::Duration::ZERO,
        };
        store_reader::ReadPace {
            wait: time::Duration::from_millis(wait_ms),
            pause,
        }
    }

    fn take_store_news(&self, topic: ports::StoreTopic, news: store_reader::StoreUpdate) {
        match news {
            store_reader::StoreUpdate::Snapshot(snapshot) => {
                self.note_store(topic.as_str(), false);
                self.take_snapshot(topic, &snapshot);
            }
            store_reader::StoreUpdate::Batch(batch) => {
                self.note_store(topic.as_str(), false);
                self.take_batch(topic, &batch);
            }
            store_reader::StoreUpdate::Nothing(sent) => {
                self.note_store(topic.as_str(), false);
                if topic == ports::StoreTopic::Book {
                    self.state.borrow_mut().granter.note_confirmed(sent);
                }
            }
            store_reader::StoreUpdate::Failed(fault) => {
                tracing::warn!(event = "store-call-failed", topic = topic.as_str(), fault = %fault);
                self.note_store(topic.as_str(), true);
            }
        }
    }

    pub(super) fn note_store(&self, call: &'static str, lost: bool) {
        let now = self.clock.now();
        let outcome = if lost { "failed" } else { "done" };
        self.metrics.note_store_call(call, outcome);
        // A read of the hosts waits long for news; it tells too late that the store is back.
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

    fn take_snapshot(&self, topic: ports::StoreTopic, snapshot: &ports::StoreSnapshot) {
        let now = self.clock.now();
        match topic {
            ports::StoreTopic::Routes => self.take_routes(&snapshot.records),
            ports::StoreTopic::Servers => {
                let records = snapshot.records.iter();
                let records = records.filter_map(|record| self.decode_server(record));
                let records: Vec<_> = records.collect();
                let mut state = self.state.borrow_mut();
                state.cluster.replace_servers(records, now);
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
                    let taken = self.state.borrow_mut().cluster.note_routes(routes);
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
        state.cluster.note_server(server);
    }

    fn take_hosts(&self, records: &[ports::KeyedRecord]) {
        for record in records {
            let Ok(name) = names::HostName::new(&record.key) else {
                tracing::warn!(event = "record-refused", topic = "hosts", key = %record.key);
                continue;
            };
            let value = record.value.as_ref();
            let read = value.map(|value| serde_json::from_slice::<status::HostRecord>(value));
            match read.transpose() {
                Ok(read) => self.state.borrow_mut().cluster.note_host(&name, read),
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
        self.state.borrow_mut().granter.note_table(newest, end, now);
    }
}

fn read_book(value: &[u8]) -> Option<assignment::AssignmentTable> {
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
        Err(fault) => {
            tracing::error!(event = "record-refused", topic = "book", fault = %fault);
            None
        }
    }
}

/// Returns the pause between two reads of the servers' entries, where servers serve on for `drain`
/// after they have left.
#[must_use]
pub fn servers_pause(drain: time::Duration) -> time::Duration {
    let longest = time::Duration::from_millis(SERVERS_PAUSE_MS);
    longest.min(drain.mul_f64(SERVERS_PAUSE_PART))
}
