//! The operators' records about failure domains: decodes them, and reports what changes.

use std::collections;
use std::sync;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::ownership::assignment;
use crate::serving::evacuation;
use crate::serving::status;
use crate::serving::topic;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) fn apply_evacuations(&self, records: &[topic::LogRecord]) {
        let now = self.clock.now();
        for stored in records {
            match self.decoder.evacuation(&stored.record) {
                Ok(None) => {}
                Ok(Some(record)) => {
                    let mut state = self.state.borrow_mut();
                    let era = state.replicas[topic::StoreTopic::Routes.index()]
                        .position()
                        .era;
                    let position = topic::LogPosition::new(era, stored.offset);
                    state.cluster.note_evacuation(record, position, now);
                }
                Err(error) => self.note_rejected(topic::StoreTopic::Routes, &error),
            }
        }
        let mut state = self.state.borrow_mut();
        if state.replicas[topic::StoreTopic::Routes.index()].is_filled() {
            state.cluster.note_operators_read();
        }
    }

    // Records what the status of another host, requested at `asked`, says of the operators' topic.
    pub(super) fn note_supplier_status(
        &self,
        status: &status::HostStatusUpdate,
        asked: clock::MonoTime,
    ) {
        let mut state = self.state.borrow_mut();
        let ends = state.ends();
        state.cluster.note_supplier_status(status, &ends, asked);
    }

    // Records that a read of the operators' topic, sent at `sent`, has been applied.
    pub(super) fn note_operators_read(&self, topic: topic::StoreTopic, sent: clock::MonoTime) {
        if topic == topic::StoreTopic::Routes {
            self.state.borrow_mut().cluster.note_operators_current(sent);
        }
    }

    // Whether a host that starts has read the operators' topic: routes alone may come from another host.
    pub(super) fn knows_evacuations(state: &control::ControlState, now: clock::MonoTime) -> bool {
        let is_read = state.replicas[topic::StoreTopic::Routes.index()].is_filled();
        is_read && !state.cluster.awaits_statements(now)
    }

    // Logs and counts what has changed for failure domains.
    pub(super) fn report_evacuations(&self, state: &mut control::ControlState) {
        for notice in state.cluster.take_evacuation_notices() {
            match notice {
                evacuation::EvacuationNotice::Evacuated(domain, keyed) => tracing::warn!(
                    event = "domain-evacuated",
                    domain = %domain,
                    keyed_ms = keyed.as_millis()
                ),
                evacuation::EvacuationNotice::TakenBack(domain) => {
                    tracing::info!(event = "domain-taken-back", domain = %domain);
                }
                evacuation::EvacuationNotice::Ignored(domain, cause) => {
                    let cause = cause.as_str();
                    self.metrics.note_evacuation_ignored(cause);
                    tracing::warn!(event = "evacuation-ignored", domain = %domain, cause);
                }
            }
        }
        let evacuated = state.cluster.evacuated();
        let domains = i64::try_from(evacuated.evacuated().count());
        self.metrics
            .domains_evacuated
            .set(domains.unwrap_or(i64::MAX));
        self.metrics.ranges_evacuating.set(evacuating_ranges(state));
    }
}

// The number of ranges that servers of evacuated domains hold.
fn evacuating_ranges(state: &control::ControlState) -> i64 {
    let evacuated = state.cluster.evacuated();
    if evacuated.is_empty() {
        return 0;
    }
    let directory = state.cluster.directory();
    let ranges = state.grants.table.services.values().flatten();
    let held = ranges.filter(|range: &&assignment::RangeEntry| {
        let record = directory.find(&range.holder.life.server);
        record.is_some_and(|record| evacuated.is_evacuated(&record.domain))
    });
    i64::try_from(held.count()).unwrap_or(i64::MAX)
}

/// The keys that a copy of the operators' topic lists; none for other topics.
pub(super) fn listed_keys(
    topic: topic::StoreTopic,
    records: &[topic::LogRecord],
) -> collections::BTreeSet<sync::Arc<str>> {
    let listed = records
        .iter()
        .filter(|_| topic == topic::StoreTopic::Routes);
    listed
        .map(|stored| sync::Arc::clone(&stored.record.key))
        .collect()
}

/// Drops the removals that no record states: the store came back from an older copy and has lost the requests.
pub(super) fn without_lost(
    changed: Vec<topic::LogRecord>,
    listed: &collections::BTreeSet<sync::Arc<str>>,
) -> Vec<topic::LogRecord> {
    let changed = changed.into_iter();
    let stated = changed.filter(|c| c.record.value.is_some() || listed.contains(&c.record.key));
    stated.collect()
}
