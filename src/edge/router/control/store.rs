//! Reads the store's topics, decodes the records and passes them to the decision modules.

use std::rc;
use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::control::evacuations;
use crate::edge::router::ports;
use crate::edge::router::store_reader;
use crate::names;
use crate::serving::directory;
use crate::serving::replica;
use crate::serving::status;
use crate::serving::topic;

/// The long-poll wait of reads of the assignment table on the granter, in milliseconds. It bounds
/// the age of the granter's confirmation that no other host has claimed the role.
pub const GRANTER_READ_WAIT_MS: u64 = 1_000;
/// The long-poll wait of other reads of routes, servers and the assignment table, in milliseconds.
pub const READ_WAIT_MS: u64 = 3_000;
/// The long-poll wait of reads of routes and servers over a full link, in milliseconds. There only a response
/// tells that there are no newer records.
pub const FULL_LINK_WAIT_MS: u64 = 500;
/// The long-poll wait of reads of the hosts, in milliseconds.
pub const HOSTS_WAIT_MS: u64 = 20_000;
/// The pause between two reads of the hosts, in milliseconds. Hosts that start together register
/// meanwhile.
pub const HOSTS_PAUSE_MS: u64 = 300;
/// The upper bound of the pause between two reads of the servers, in milliseconds.
pub const SERVERS_PAUSE_MS: u64 = 250;
/// The part of the servers' drain time that this pause takes up at most.
pub const SERVERS_PAUSE_RATIO: f64 = 0.2;
/// The pause between two reads of the assignment table, in milliseconds.
pub const ASSIGNMENTS_PAUSE_MS: u64 = 50;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) async fn follow(
        self: rc::Rc<Self>,
        topic: topic::StoreTopic,
        is_reading: tokio::sync::watch::Receiver<bool>,
    ) {
        let position = || self.read_position(topic);
        let on_update = |purpose, update| self.apply_update(topic, purpose, update);
        let source = store_reader::ReadSource {
            store: self.store.clone(),
            topic,
            clock: self.clock,
            is_reading,
            era: self.era.subscribe(),
        };
        store_reader::follow(source, position, on_update).await;
    }

    // Starts and stops the reads of the topics, and the requests to a supplier, as this host's source of
    // records changes.
    pub(super) fn update_reading(&self) {
        let now = self.clock.now();
        let state = self.state.borrow();
        let source = state.cluster.record_source();
        for (topic, reading) in topic::StoreTopic::ALL.iter().zip(&self.reading) {
            // A granter has to read for itself that no other host has claimed the role.
            let grants = *topic == topic::StoreTopic::Assignments && state.granter.is_granting();
            let reads = grants || state.cluster.reads_by(&source, *topic, now);
            reading.send_if_modified(|is_reading| std::mem::replace(is_reading, reads) != reads);
        }
        self.record_source.send_if_modified(|known| {
            let is_changed = *known != source;
            *known = source;
            is_changed
        });
    }

    fn read_position(&self, topic: topic::StoreTopic) -> store_reader::ReadPosition {
        let state = self.state.borrow();
        let granting = state.granter.is_granting();
        let is_link_full = state.cluster.is_link_full(self.clock.now());
        let wait_ms = match topic {
            topic::StoreTopic::Assignments if granting => GRANTER_READ_WAIT_MS,
            topic::StoreTopic::Hosts => HOSTS_WAIT_MS,
            topic::StoreTopic::Routes | topic::StoreTopic::Servers if is_link_full => {
                FULL_LINK_WAIT_MS
            }
            _ => READ_WAIT_MS,
        };
        let pause = match topic {
            topic::StoreTopic::Servers => servers_pause(self.drain),
            topic::StoreTopic::Hosts => time::Duration::from_millis(HOSTS_PAUSE_MS),
            topic::StoreTopic::Assignments => time::Duration::from_millis(ASSIGNMENTS_PAUSE_MS),
            topic::StoreTopic::Routes => time::Duration::ZERO,
        };
        let replica = &state.replicas[topic.index()];
        store_reader::ReadPosition {
            wait: time::Duration::from_millis(wait_ms),
            pause,
            from: replica.is_filled().then(|| replica.position()),
        }
    }

    fn apply_update(
        &self,
        topic: topic::StoreTopic,
        purpose: store_reader::ReadPurpose,
        update: store_reader::StoreUpdate,
    ) {
        let failed = matches!(update, store_reader::StoreUpdate::Failed(_));
        self.note_store(topic.as_str(), purpose.as_str(), failed);
        match update {
            store_reader::StoreUpdate::Snapshot(snapshot, sent) => {
                let end = topic::LogPosition::new(snapshot.era, snapshot.end);
                self.apply_snapshot(topic, snapshot.records, end);
                self.note_read(topic, end, sent);
            }
            store_reader::StoreUpdate::Batch(batch, sent) => {
                let from = topic::LogPosition::new(batch.era, batch.from);
                let end = topic::LogPosition::new(batch.era, batch.next);
                self.apply_records(topic, from, batch.records, batch.next);
                self.note_read(topic, end, sent);
            }
            store_reader::StoreUpdate::Unchanged(sent) => {
                if topic == topic::StoreTopic::Assignments {
                    // A response of a new era confirms nothing of the former one.
                    self.note_stated_era();
                    self.state.borrow_mut().granter.note_confirmed(sent);
                }
                self.state.borrow_mut().cluster.note_topic_read(topic, sent);
                self.note_operators_read(topic, sent);
            }
            store_reader::StoreUpdate::Failed(error) => {
                tracing::warn!(event = "store-call-failed", topic = topic.as_str(), fault = %error);
            }
        }
    }

    // Reads the assignment table's log without waiting. Reports whether it held nothing new.
    pub(super) async fn read_confirmation(&self) -> bool {
        let topic = topic::StoreTopic::Assignments;
        let from = self.state.borrow().replicas[topic.index()].position();
        let sent = self.clock.now();
        let result = self
            .store
            .read(topic, from.offset, time::Duration::ZERO)
            .await;
        let update = match result {
            Ok(batch) if batch.era != from.era => return false,
            Ok(batch) if batch.next == from.offset => store_reader::StoreUpdate::Unchanged(sent),
            Ok(batch) => store_reader::StoreUpdate::Batch(batch, sent),
            Err(error) => store_reader::StoreUpdate::Failed(error),
        };
        let is_unchanged = matches!(update, store_reader::StoreUpdate::Unchanged(_));
        self.apply_update(topic, store_reader::ReadPurpose::Confirm, update);
        is_unchanged
    }

    pub(super) fn note_store(&self, call: &'static str, purpose: &'static str, lost: bool) {
        let now = self.clock.now();
        let outcome = if lost { "failed" } else { "done" };
        self.metrics.note_store_call(call, purpose, outcome);
        // A read of the hosts waits for up to `HOSTS_WAIT_MS`, too long to detect that the store is
        // back.
        if call == topic::StoreTopic::Hosts.as_str() {
            return;
        }
        let changed = self.state.borrow_mut().cluster.note_store(call, lost, now);
        if changed && lost {
            tracing::warn!(event = "store-lost");
        } else if changed {
            tracing::info!(event = "store-regained");
        }
    }

    // Tells how far this host's own read of a topic got.
    fn note_read(&self, topic: topic::StoreTopic, end: topic::LogPosition, sent: clock::MonoTime) {
        self.state.borrow_mut().cluster.note_topic_read(topic, sent);
        if topic == topic::StoreTopic::Assignments {
            self.state.borrow_mut().granter.note_read(end, sent);
        }
        self.note_operators_read(topic, sent);
    }

    fn apply_snapshot(
        &self,
        topic: topic::StoreTopic,
        records: Vec<topic::LogRecord>,
        end: topic::LogPosition,
    ) {
        let known = self.state.borrow().replicas[topic.index()].position();
        if end < known {
            tracing::warn!(
                event = "records-ahead-of-store",
                topic = topic.as_str(),
                era = known.era,
                end = known.offset,
                store_era = end.era,
                store_end = end.offset
            );
        }
        self.replace_records(topic, records, end);
    }

    // Applies records that follow those of this host's copy. Records that do not are refused.
    pub(super) fn apply_records(
        &self,
        topic: topic::StoreTopic,
        from: topic::LogPosition,
        records: Vec<topic::LogRecord>,
        next: u64,
    ) {
        let appended = {
            let mut state = self.state.borrow_mut();
            state.replicas[topic.index()].append(from, records, next)
        };
        match appended {
            Ok(changed) => self.apply_changes(topic, &changed),
            // Another host's copy was read meanwhile, or all records of a new era are read next.
            Err(
                replica::ReplicaError::Outdated { .. } | replica::ReplicaError::OtherEra { .. },
            ) => {}
            Err(error) => self.note_rejected(topic, &error),
        }
    }

    // Replaces this host's copy with the store's, or with another host's.
    pub(super) fn replace_records(
        &self,
        topic: topic::StoreTopic,
        records: Vec<topic::LogRecord>,
        end: topic::LogPosition,
    ) {
        let now = self.clock.now();
        let changed = {
            let mut state = self.state.borrow_mut();
            state.cluster.note_store_era(end.era);
            let replica = &mut state.replicas[topic.index()];
            let is_restored = replica.is_filled() && end.era > replica.position().era;
            let listed = evacuations::listed_keys(topic, &records);
            let changed = replica.replace(records, end);
            if is_restored {
                state.cluster.note_store_restored(now);
                tracing::info!(
                    event = "records-restored",
                    topic = topic.as_str(),
                    era = end.era,
                    end = end.offset,
                    changed = changed.len()
                );
            }
            if is_restored && topic == topic::StoreTopic::Hosts {
                registered_only(changed)
            } else if is_restored && topic == topic::StoreTopic::Routes {
                evacuations::without_lost(changed, &listed)
            } else {
                changed
            }
        };
        self.update_era();
        self.apply_changes(topic, &changed);
    }

    pub(super) fn apply_changes(&self, topic: topic::StoreTopic, changed: &[topic::LogRecord]) {
        match topic {
            topic::StoreTopic::Routes => {
                self.apply_routes(changed);
                self.apply_evacuations(changed);
            }
            topic::StoreTopic::Servers => self.apply_servers(changed),
            topic::StoreTopic::Hosts => self.apply_hosts(changed),
            topic::StoreTopic::Assignments => self.apply_table(changed),
        }
        self.publish();
        self.changes.send_modify(|count| *count += 1);
    }

    pub(super) fn note_rejected(&self, topic: topic::StoreTopic, error: &impl std::fmt::Display) {
        let topic = topic.as_str();
        self.metrics.note_record_refused(topic);
        tracing::warn!(event = "record-refused", topic, fault = %error);
    }

    fn apply_routes(&self, records: &[topic::LogRecord]) {
        for stored in records {
            match self.decoder.routes(&stored.record) {
                Ok(None) => {}
                Ok(Some(routes)) => {
                    let version = routes.version;
                    let mut state = self.state.borrow_mut();
                    let accepted = state.cluster.note_routes(routes);
                    if accepted {
                        state.routes = Some(stored.record.clone());
                    }
                    tracing::info!(event = "routes-read", version, in_force = accepted);
                }
                Err(error) => {
                    self.note_rejected(topic::StoreTopic::Routes, &error);
                }
            }
        }
    }

    fn apply_servers(&self, records: &[topic::LogRecord]) {
        let now = self.clock.now();
        for topic::LogRecord { record, .. } in records {
            if record.value.is_none() {
                if let Ok(name) = names::ServerName::new(&record.key) {
                    tracing::info!(event = "server-removed", server = %name);
                    self.state.borrow_mut().cluster.remove_server(&name, now);
                }
                continue;
            }
            match self.decoder.server(record) {
                Ok(server) => self.note_server(server, now),
                Err(error) => self.note_rejected(topic::StoreTopic::Servers, &error),
            }
        }
        let mut state = self.state.borrow_mut();
        if state.replicas[topic::StoreTopic::Servers.index()].is_filled() {
            state.cluster.note_servers_known();
        }
    }

    fn note_server(&self, server: directory::ServerRecord, now: clock::MonoTime) {
        self.log_server(&server);
        self.note_cold_time(&server);
        self.state.borrow_mut().cluster.note_server(server, now);
    }

    // Counts a cold time that is ignored; the first one of each incarnation is logged.
    fn note_cold_time(&self, server: &directory::ServerRecord) {
        if server.cold_remaining.is_some() {
            return;
        }
        self.metrics.cold_times_ignored.inc();
        let state = self.state.borrow();
        let known = state.cluster.directory().find(&server.life.server);
        let is_first =
            known.is_none_or(|known| known.life != server.life || known.cold_remaining.is_some());
        if is_first {
            tracing::warn!(
                event = "cold-time-ignored",
                server = %server.life.server,
                born = server.life.born,
                fault = "the remaining cold time is negative or not a sensible number"
            );
        }
    }

    // Logs what a server's record changes.
    fn log_server(&self, server: &directory::ServerRecord) {
        let state = self.state.borrow();
        if !state.cluster.names_service(&server.service) {
            tracing::debug!(
                event = "server-of-unnamed-service",
                server = %server.life.server,
                service = %server.service
            );
            return;
        }
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
        let former = known.filter(|known| known.life.born < server.life.born);
        if let Some(former) = former {
            self.metrics.server_restarts.inc();
            tracing::info!(
                event = "server-restarted",
                server = %server.life.server,
                born = server.life.born,
                former = former.life.born,
                same_address = former.address == server.address
            );
        }
    }

    fn apply_hosts(&self, records: &[topic::LogRecord]) {
        for topic::LogRecord { record, .. } in records {
            let Ok(name) = names::HostName::new(&record.key) else {
                tracing::warn!(event = "record-refused", topic = "hosts", key = %record.key);
                continue;
            };
            let value = record.value.as_ref();
            let read = value.map(|value| serde_json::from_slice::<status::HostRecord>(value));
            match read.transpose() {
                Ok(read) => self.state.borrow_mut().cluster.note_host(&name, read),
                Err(error) => {
                    self.note_rejected(topic::StoreTopic::Hosts, &error);
                }
            }
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.replicas[topic::StoreTopic::Hosts.index()].is_filled() {
            state.cluster.note_hosts_known(now);
        }
    }

    fn apply_table(&self, records: &[topic::LogRecord]) {
        let now = self.clock.now();
        let topic = topic::StoreTopic::Assignments;
        let mut refused = Vec::new();
        let mut state = self.state.borrow_mut();
        for stored in records {
            refused.extend(state.assembly.apply(stored).err());
        }
        if !records.is_empty() && state.assembly.is_mixed() {
            tracing::error!(
                event = "table-formats-mixed",
                fault = "a host of an earlier build writes the assignment table; stop those hosts"
            );
        }
        let end = state.replicas[topic.index()].position();
        match state.assembly.table(end.offset) {
            Ok(table) if table.is_some() || end.offset == 0 => {
                state.granter.note_table(table, end, now);
            }
            Ok(_) => {}
            Err(error) => {
                state.granter.note_table(None, end, now);
                refused.push(error);
            }
        }
        drop(state);
        for error in refused {
            self.note_rejected(topic, &error);
        }
    }
}

// A host that a restored store does not have may only have to register again.
fn registered_only(changed: Vec<topic::LogRecord>) -> Vec<topic::LogRecord> {
    let registered = changed.into_iter().filter(|c| c.record.value.is_some());
    registered.collect()
}

/// Returns the pause between two reads of the servers, which go on serving for `drain` after they
/// have reported that they are draining.
#[must_use]
pub fn servers_pause(drain: time::Duration) -> time::Duration {
    let longest = time::Duration::from_millis(SERVERS_PAUSE_MS);
    longest.min(drain.mul_f64(SERVERS_PAUSE_RATIO))
}
