//! Store records that hosts send to one another: the copies of the host that supplies this one, and
//! records that this host lacks for other reasons.

use std::collections;
use std::rc;
use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::names;
use crate::serving::replica;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;

/// How long a host waits for new records of the one that supplies it, in milliseconds.
pub const SUPPLY_WAIT_MS: u64 = 1_000;
/// The pause after a request for records that failed, in milliseconds.
pub const SUPPLY_RETRY_MS: u64 = 200;
/// The size of the records of one topic from which a response is split, in bytes.
pub const MAX_PAGE_BYTES: usize = 128 * 1_024;
/// The largest record that is accepted from another host, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Pages of topics that will replace this host's copies once they are complete.
type PendingPages = collections::BTreeMap<topic::StoreTopic, PendingTopic>;

/// The pages of one topic that have been received.
#[derive(Debug, Default)]
struct PendingTopic {
    records: Vec<topic::LogRecord>,
    next: topic::LogPosition,
}

/// A request for records that another host has answered.
#[derive(Clone, Copy, Debug)]
struct RelayRequest {
    sent: clock::MonoTime,
    wait: time::Duration,
}

impl RelayRequest {
    // A request that was sent at `sent`, for which the other host was to wait for up to `wait_ms`.
    const fn new(sent: clock::MonoTime, wait_ms: u64) -> Self {
        let wait = time::Duration::from_millis(wait_ms);
        Self { sent, wait }
    }

    // Until when the other host surely had no newer records than `relay` brings. It sends an empty one only
    // once it has waited.
    fn newest_at(&self, relay: &status::StoreRelay) -> clock::MonoTime {
        let is_empty = relay.pages.is_empty() && relay.table.is_none();
        if is_empty {
            self.sent + self.wait
        } else {
            self.sent
        }
    }
}

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Requests the records of the host that supplies this one, as long as there is one. A request to a
    // former supplier goes on beside it: where this host's own link is slow, its response still comes.
    pub(super) async fn follow_supplier(self: rc::Rc<Self>) {
        let mut sources = self.record_source.subscribe();
        // The sender lives as long as this thread.
        loop {
            let source = sources.borrow_and_update().clone();
            match source {
                upstream::RecordSource::Store => {
                    tracing::info!(event = "supplier-changed", host = "");
                }
                upstream::RecordSource::Host(host) => {
                    tracing::info!(event = "supplier-changed", host = %host.host);
                    let life = (host.host.clone(), host.incarnation);
                    if self.following.borrow_mut().insert(life) {
                        actix::spawn(rc::Rc::clone(&self).follow_host(host));
                    }
                }
            }
            let _ = sources.changed().await;
        }
    }

    // Requests a host's records again and again, as long as it is the supplier.
    async fn follow_host(self: rc::Rc<Self>, host: status::HostRecord) {
        let mut pending = PendingPages::new();
        let source = upstream::RecordSource::Host(host.clone());
        while *self.record_source.borrow() == source {
            let request = self.record_request(&pending, SUPPLY_WAIT_MS);
            let asked = self.clock.now();
            match self.status_client.records(host.peers, request).await {
                Ok(relay) => {
                    let asked = RelayRequest::new(asked, SUPPLY_WAIT_MS);
                    self.apply_relay(&host.host, relay, asked, &mut pending);
                }
                Err(error) => {
                    tracing::debug!(event = "records-not-received", host = %host.host, fault = %error);
                    tokio::time::sleep(time::Duration::from_millis(SUPPLY_RETRY_MS)).await;
                }
            }
        }
        let life = (host.host, host.incarnation);
        self.following.borrow_mut().remove(&life);
    }

    // Starts the request for store records that is due because this host lags, if any.
    pub(super) fn request_records(self: &rc::Rc<Self>) {
        let now = self.clock.now();
        let next = {
            let mut state = self.state.borrow_mut();
            let ends = state.ends();
            state.cluster.next_record_source(&ends, now)
        };
        if let Some(host) = next {
            actix::spawn(rc::Rc::clone(self).receive_records(host));
        }
    }

    // Receives the records of a host. Where it does not respond in time, another host may be asked beside
    // it.
    async fn receive_records(self: rc::Rc<Self>, host: status::HostRecord) {
        let mut receiving = std::pin::pin!(self.receive_pages(&host));
        let is_answered = tokio::select! {
            is_answered = &mut receiving => Some(is_answered),
            () = self.passed_over(&host) => None,
        };
        let in_time = is_answered.unwrap_or(false);
        self.state.borrow_mut().cluster.note_request_ended(in_time);
        if is_answered.is_none() {
            receiving.await;
        }
    }

    // Requests the pages of a host's records until they are complete. Reports whether all requests were
    // answered.
    async fn receive_pages(&self, host: &status::HostRecord) -> bool {
        let mut pending = PendingPages::new();
        loop {
            let request = self.record_request(&pending, 0);
            let asked = self.clock.now();
            let relay = match self.status_client.records(host.peers, request).await {
                Ok(relay) => relay,
                Err(error) => {
                    tracing::warn!(event = "records-not-received", host = %host.host, fault = %error);
                    return false;
                }
            };
            tracing::info!(
                event = "records-received",
                host = %host.host,
                records = relay.pages.iter().map(|page| page.records.len()).sum::<usize>()
            );
            let asked = RelayRequest::new(asked, 0);
            self.apply_relay(&host.host, relay, asked, &mut pending);
            if pending.is_empty() {
                return true;
            }
        }
    }

    // Waits until a host is passed over.
    async fn passed_over(&self, host: &status::HostRecord) {
        while !self.state.borrow().cluster.is_passed_over(&host.host) {
            tokio::time::sleep(time::Duration::from_millis(control::TICK_MS)).await;
        }
    }

    fn record_request(&self, pending: &PendingPages, wait_millis: u64) -> status::RecordRequest {
        let ends = self.state.borrow().ends();
        let pages = topic::StoreTopic::ALL.iter().map(|topic| {
            let pending = pending.get(topic);
            let from = pending.map_or(ends.end(*topic), |pending| pending.next);
            status::PageRequest {
                topic: *topic,
                era: Some(from.era),
                from: from.offset,
                is_continued: pending.is_some(),
            }
        });
        status::RecordRequest {
            pages: pages.collect(),
            routes_version: Some(ends.routes_version),
            table_version: Some(ends.table_version),
            wait_millis,
        }
    }

    fn apply_relay(
        &self,
        host: &names::HostName,
        relay: status::StoreRelay,
        asked: RelayRequest,
        pending: &mut PendingPages,
    ) {
        let newest_at = asked.newest_at(&relay);
        let age = relay.records_age_millis;
        let ends: Vec<_> = relay.pages.iter().map(page_end).collect();
        for page in relay.pages {
            if let Some(size) = too_large(&page) {
                let topic = page.topic.as_str();
                self.metrics.note_record_refused(topic);
                tracing::warn!(event = "record-refused", topic, host = %host, size);
                continue;
            }
            self.apply_page(page, pending);
        }
        if let Some(routes) = relay.routes {
            self.apply_lost_routes(host, routes);
        }
        if let Some(table) = relay.table {
            self.apply_lost_table(table);
        }
        if let Some(followed) = relay.followed {
            self.apply_followed(followed, asked.sent);
        }
        if let Some(age) = age.filter(|_| pending.is_empty()) {
            self.note_relayed(&ends, newest_at, age);
        }
    }

    // Applies that another host had no newer records at `newest_at` than those up to `ends`, which it had
    // last had confirmed `age_millis` earlier.
    fn note_relayed(
        &self,
        ends: &[(topic::StoreTopic, topic::LogPosition)],
        newest_at: clock::MonoTime,
        age_millis: u64,
    ) {
        let state = &mut *self.state.borrow_mut();
        let has_all = ends
            .iter()
            .all(|(topic, end)| state.replicas[topic.index()].position() >= *end);
        if has_all {
            let age = time::Duration::from_millis(age_millis);
            let newest_at = newest_at.saturating_sub(age);
            state.cluster.note_records_newest(newest_at);
        }
    }

    // Applies another host's routes in force, which the store has lost. They are not a part of this
    // host's copy.
    fn apply_lost_routes(&self, host: &names::HostName, routes: replica::PageRecord) {
        let size = routes.size();
        if size > MAX_RECORD_BYTES {
            let topic = topic::StoreTopic::Routes.as_str();
            self.metrics.note_record_refused(topic);
            tracing::warn!(event = "record-refused", topic, host = %host, size);
            return;
        }
        self.apply_changes(topic::StoreTopic::Routes, &[routes.into()]);
    }

    // Applies a page: records that follow those of this host's copy, or a part of all records, which
    // replace the copy once the last part is there.
    fn apply_page(&self, page: replica::RecordPage, pending: &mut PendingPages) {
        let start = page.start();
        let replica::RecordPage {
            topic,
            records,
            next,
            end,
            ..
        } = page;
        let records = records.into_iter().map(topic::LogRecord::from);
        let collected = pending.get(&topic).map(|pending| pending.next);
        if start.offset > 0 && collected.is_none() {
            self.apply_records(topic, start, records.collect(), next);
            return;
        }
        if start.offset > 0 && collected != Some(start) {
            pending.remove(&topic);
            return;
        }
        let parts = pending.entry(topic).or_default();
        if start.offset == 0 {
            parts.records.clear();
        }
        parts.records.extend(records);
        parts.next = topic::LogPosition::new(start.era, next);
        if next >= end
            && let Some(parts) = pending.remove(&topic)
        {
            let end = topic::LogPosition::new(start.era, end);
            self.replace_records(topic, parts.records, end);
        }
    }

    // The store records that another host requests, once there are any.
    pub(super) async fn send_relay(
        self: rc::Rc<Self>,
        request: status::RecordRequest,
        reply: tokio::sync::oneshot::Sender<status::StoreRelay>,
    ) {
        let mut changes = self.changes.subscribe();
        let wait = time::Duration::from_millis(request.wait_millis.min(SUPPLY_WAIT_MS));
        let until = tokio::time::Instant::now() + wait;
        loop {
            changes.mark_unchanged();
            let relay = self.relay_for(&request);
            let next_change = tokio::time::timeout_at(until, changes.changed());
            let is_empty = relay.pages.is_empty() && relay.table.is_none();
            if !is_empty || next_change.await.is_err() {
                // The other host may have stopped waiting for the reply.
                let _ = reply.send(relay);
                return;
            }
        }
    }

    fn records_age_millis(&self) -> Option<u64> {
        let now = self.clock.now();
        self.state.borrow().cluster.records_age_millis(now)
    }

    fn relay_for(&self, request: &status::RecordRequest) -> status::StoreRelay {
        let state = self.state.borrow();
        let pages = request.pages.iter().filter_map(|request| {
            let replica = &state.replicas[request.topic.index()];
            let (from, is_continued) = (request.start(), request.is_continued);
            let has_newer = replica.is_filled() && replica.position() > from;
            has_newer.then(|| replica.page(request.topic, from, is_continued, MAX_PAGE_BYTES))
        });
        let pages: Vec<_> = pages.collect();
        let sizes = pages.iter().flat_map(|page| &page.records);
        let size: usize = sizes.map(replica::PageRecord::size).sum();
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        self.metrics.relayed_bytes.inc_by(size);
        let routes = lost_routes(&state, request.routes_version);
        drop(state);
        let table = self.lost_table(request);
        status::StoreRelay {
            pages,
            routes,
            table,
            followed: self.followed_table(),
            records_age_millis: self.records_age_millis(),
        }
    }
}

// The routes in force, for a host whose routes are older, where this host's copy does not have them.
fn lost_routes(state: &control::ControlState, version: Option<u64>) -> Option<replica::PageRecord> {
    let is_older = version.is_some_and(|version| version < state.cluster.routes_version());
    let routes = state.routes.as_ref().filter(|_| is_older)?;
    let copy = &state.replicas[topic::StoreTopic::Routes.index()];
    let offset = copy.position().offset;
    let record = routes.clone();
    let is_lost = !copy.holds(&record);
    is_lost.then(|| replica::PageRecord::new(&topic::LogRecord { offset, record }))
}

// The position at which the sender's copy of a page's topic ends.
fn page_end(page: &replica::RecordPage) -> (topic::StoreTopic, topic::LogPosition) {
    let era = page.start().era;
    (page.topic, topic::LogPosition::new(era, page.end))
}

// The size of a record that is larger than the store accepts, in bytes.
fn too_large(page: &replica::RecordPage) -> Option<usize> {
    let sizes = page.records.iter().map(replica::PageRecord::size);
    sizes.filter(|size| *size > MAX_RECORD_BYTES).max()
}
