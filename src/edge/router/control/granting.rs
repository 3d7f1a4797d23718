//! The granter role: membership in the group of hosts that may grant, appends to the assignment
//! table's log, and orders to servers.

use std::rc;
use std::time;

use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::edge::router::shutdown_watch;
use crate::ownership::assignment;
use crate::ownership::order;
use crate::serving::topic;

/// How long a host that yielded the granter role stays out of the group, in milliseconds.
pub const YIELD_BACKOFF_MS: u64 = 4_000;
/// The name of the calls about the granter role in logs and metrics.
const ELECTION_CALL: &str = "duty";

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) async fn join(self: rc::Rc<Self>, shutdown: shutdown_watch::ShutdownWatch) {
        let mut has_joined = false;
        loop {
            tokio::time::sleep(self.join_interval).await;
            if shutdown.times().is_some() {
                self.leave().await;
                return;
            }
            if !self.is_eligible() {
                if std::mem::take(&mut has_joined) {
                    self.leave().await;
                }
                continue;
            }
            has_joined = true;
            let sent = self.clock.now();
            match self.store.join().await {
                Ok(candidate) => {
                    self.note_store(ELECTION_CALL, "join", false);
                    self.state.borrow_mut().granter.note_joined(candidate, sent);
                }
                Err(error) => {
                    tracing::warn!(event = "store-call-failed", topic = "duty", fault = %error);
                    self.note_store(ELECTION_CALL, "join", true);
                    self.state.borrow_mut().granter.note_candidate(false);
                }
            }
        }
    }

    // Whether this host is a member of the group of hosts that may grant.
    fn is_eligible(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let may_grant = state.cluster.may_grant(now) || state.granter.is_granting();
        may_grant && now >= state.yielded_until
    }

    async fn leave(&self) {
        self.state.borrow_mut().granter.note_candidate(false);
        if let Err(error) = self.store.leave().await {
            tracing::warn!(event = "store-call-failed", topic = "duty", fault = %error);
        }
    }

    // Lets the granter decide and starts the actions it returns.
    pub(super) fn decide(self: &rc::Rc<Self>) {
        let now = self.clock.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let services = state.cluster.sharded_services();
            let control::ControlState {
                cluster, granter, ..
            } = &mut *state;
            if granter.awaits_claim() {
                granter.note_possible_granters(cluster.possible_granters());
                granter.note_newest_elsewhere(cluster.newest_table(now));
            }
            granter.note_evacuated(cluster.evacuated());
            granter.tick(now, &services, cluster.directory())
        };
        for action in actions {
            match action {
                order::GranterAction::Append { number, table, at } => {
                    actix::spawn(rc::Rc::clone(self).append_table(number, table, at));
                }
                order::GranterAction::Grant(order) => {
                    actix::spawn(rc::Rc::clone(self).send_grant(order));
                }
                order::GranterAction::Release(order) => {
                    actix::spawn(rc::Rc::clone(self).send_release(order));
                }
                order::GranterAction::Fence(order) => {
                    actix::spawn(rc::Rc::clone(self).send_fence(order));
                }
                order::GranterAction::Confirm => {
                    actix::spawn(rc::Rc::clone(self).confirm_role());
                }
                order::GranterAction::Yield => {
                    actix::spawn(rc::Rc::clone(self).yield_role());
                }
            }
        }
    }

    async fn yield_role(self: rc::Rc<Self>) {
        let backoff = time::Duration::from_millis(YIELD_BACKOFF_MS);
        self.state.borrow_mut().yielded_until = self.clock.now() + backoff;
        self.leave().await;
    }

    // Confirms that no other host has claimed the granter role, and lets the granter decide.
    async fn confirm_role(self: rc::Rc<Self>) {
        let is_unchanged = self.read_confirmation().await;
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_confirmation_ended(is_unchanged, now);
        self.decide();
    }

    async fn append_table(
        self: rc::Rc<Self>,
        number: u64,
        table: assignment::AssignmentTable,
        at: u64,
    ) {
        let sent = self.clock.now();
        let assignments = topic::StoreTopic::Assignments;
        let planned = topic::LogPosition::new(table.version.era, at);
        if self.state.borrow().replicas[assignments.index()].position() != planned {
            // This host's copy of the log has changed since the table was planned.
            let outcome = order::AppendOutcome::Conflict;
            let granter = &mut self.state.borrow_mut().granter;
            granter.note_appended(number, outcome, sent, sent);
            return;
        }
        let records = self.state.borrow().assembly.changed_records(&table);
        let records = match records {
            Ok(records) => records,
            Err(error) => {
                tracing::error!(event = "record-not-written", key = "book", fault = %error);
                return;
            }
        };
        let count = records.len();
        let outcome = self.store.append(assignments, &records, Some(at)).await;
        self.note_append(assignments, outcome);
        self.note_late_append(number, at);
        let moving = table
            .services
            .values()
            .flatten()
            .filter(|range| !range.formers.is_empty());
        tracing::info!(
            event = "book-appended",
            term = table.term,
            number,
            at,
            records = count,
            moving = moving.count(),
            outcome = ?outcome
        );
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_appended(number, outcome, sent, now);
        if let order::AppendOutcome::Appended { era, end } = outcome {
            self.apply_appended(records, topic::LogPosition::new(era, at), end);
        }
        self.publish();
        self.decide();
    }

    // Reports the outcome of an append that a read of the log has already shown, or that the log
    // has overtaken.
    fn note_late_append(&self, number: u64, at: u64) {
        let pending = self.state.borrow().granter.pending_append();
        if pending != Some(number) {
            self.metrics.late_append_outcomes.inc();
            tracing::info!(event = "append-outcome-late", number, at, pending = ?pending);
        }
    }

    // Adds the records of a successful append to this host's copy, so that it need not read them.
    fn apply_appended(&self, records: Vec<topic::KeyedRecord>, at: topic::LogPosition, end: u64) {
        let records = (at.offset..).zip(records);
        let records = records.map(|(offset, record)| topic::LogRecord { offset, record });
        self.apply_records(topic::StoreTopic::Assignments, at, records.collect(), end);
    }

    // Counts an append to the store.
    pub(super) fn note_append(&self, topic: topic::StoreTopic, outcome: order::AppendOutcome) {
        let outcome = match outcome {
            order::AppendOutcome::Appended { .. } => "done",
            order::AppendOutcome::Conflict => "conflict",
            order::AppendOutcome::Refused | order::AppendOutcome::Unknown => "failed",
        };
        self.metrics
            .note_store_call(topic.as_str(), "append", outcome);
    }

    async fn send_grant(self: rc::Rc<Self>, order: order::GrantOrder) {
        let outcome = self.orders.grant(&order).await;
        self.metrics.note_order("grant", outcome.as_str());
        let now = self.clock.now();
        let term = self.state.borrow().granter.table().term;
        let is_withheld = outcome == order::OrderOutcome::Withheld;
        if !is_withheld && !matches!(outcome, order::OrderOutcome::Done(_)) {
            tracing::warn!(
                event = "grant-unanswered",
                term,
                server = %order.life.server,
                born = order.life.born,
                first = order.range.first,
                last = order.range.last,
                fence = order.range.fence,
                outcome = ?outcome
            );
        }
        let mut state = self.state.borrow_mut();
        let changed = state.granter.note_granted(&order, &outcome, now);
        drop(state);
        if changed {
            let event = if is_withheld {
                "grant-withheld"
            } else {
                "grant-ended"
            };
            log_order(event, term, &order.range, &order.life, &outcome);
            self.decide();
        }
    }

    async fn send_release(self: rc::Rc<Self>, order: order::ReleaseOrder) {
        let outcome = self.orders.release(&order).await;
        self.metrics.note_order("release", outcome.as_str());
        let now = self.clock.now();
        let term = self.state.borrow().granter.table().term;
        log_order("release-ended", term, &order.range, &order.life, &outcome);
        self.state
            .borrow_mut()
            .granter
            .note_released(&order, &outcome, now);
        self.decide();
    }

    async fn send_fence(self: rc::Rc<Self>, order: order::FenceOrder) {
        let outcome = self.orders.fence(&order).await;
        self.metrics.note_order("fence", outcome.as_str());
        let now = self.clock.now();
        let is_fenced = {
            let granter = &mut self.state.borrow_mut().granter;
            granter.note_fenced(&order, &outcome, now)
        };
        if is_fenced {
            self.decide();
        }
    }
}

// Logs the outcome of an order, with what tells it from other orders to the server.
fn log_order(
    event: &'static str,
    term: u64,
    range: &order::RangeId,
    life: &assignment::ServerIncarnation,
    outcome: &order::OrderOutcome,
) {
    tracing::info!(
        event,
        term,
        server = %life.server,
        born = life.born,
        first = range.first,
        last = range.last,
        fence = range.fence,
        outcome = ?outcome
    );
}
