//! The duty of granting: the group of hosts that may have it, appends of the book, and orders.

use std::rc;
use std::time;

use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::ownership::assignment;
use crate::ownership::order;

/// How long a host that gave the duty away does not take it, in milliseconds.
pub const YIELD_MS: u64 = 4_000;
/// The name of the calls about the duty in logs.
const DUTY_CALL: &str = "duty";

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    pub(super) async fn join(self: rc::Rc<Self>, stopping: tokio::sync::watch::Receiver<bool>) {
        loop {
            tokio::time::sleep(self.join_interval).await;
            if *stopping.borrow() {
                self.leave().await;
                return;
            }
            let yielding = self.clock.now() < self.state.borrow().yielded_until;
            if yielding {
                continue;
            }
            match self.store.join().await {
                Ok(candidate) => {
                    self.note_store(DUTY_CALL, false);
                    self.state.borrow_mut().granter.note_candidate(candidate);
                }
                Err(fault) => {
                    tracing::warn!(event = "store-call-failed", topic = "duty", fault = %fault);
                    self.note_store(DUTY_CALL, true);
                    self.state.borrow_mut().granter.note_candidate(false);
                }
            }
        }
    }

    async fn leave(&self) {
        self.state.borrow_mut().granter.note_candidate(false);
        if let Err(fault) = self.store.leave().await {
            tracing::warn!(event = "store-call-failed", topic = "duty", fault = %fault);
        }
    }

    // Lets the granter decide and does what it wants.
    pub(super) fn decide(self: &rc::Rc<Self>) {
        let now = self.clock.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let services = state.cluster.sharded_services();
            let control::ControlState {
                cluster, granter, ..
            } = &mut *state;
            granter.tick(now, &services, cluster.directory())
        };
        for action in actions {
            match action {
                order::GranterAction::Append { table, at } => {
                    actix::spawn(rc::Rc::clone(self).append_table(table, at));
                }
                order::GranterAction::Grant(order) => {
                    actix::spawn(rc::Rc::clone(self).send_grant(order));
                }
                order::GranterAction::Release(order) => {
                    actix::spawn(rc::Rc::clone(self).send_release(order));
                }
                order::GranterAction::Yield => {
                    actix::spawn(rc::Rc::clone(self).yield_duty());
                }
            }
        }
    }

    async fn yield_duty(self: rc::Rc<Self>) {
        let span = time::Duration::from_millis(YIELD_MS);
        self.state.borrow_mut().yielded_until = self.clock.now() + span;
        self.leave().await;
    }

    async fn append_table(self: rc::Rc<Self>, table: assignment::AssignmentTable, at: u64) {
        let sent = self.clock.now();
        let Some(record) = control::write_record("book", &table) else {
            return;
        };
        let outcome = self
            .store
            .append(ports::StoreTopic::Book, &record, Some(at))
            .await;
        let changes = table
            .services
            .values()
            .flatten()
            .filter(|range| !range.formers.is_empty());
        tracing::info!(
            event = "book-appended",
            term = table.term,
            at,
            moving = changes.count(),
            outcome = ?outcome
        );
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .granter
            .note_appended(outcome, sent, now);
        self.publish();
        self.decide();
    }

    async fn send_grant(self: rc::Rc<Self>, order: order::GrantOrder) {
        let outcome = self.orders.grant(&order).await;
        self.metrics.note_order("grant", outcome.as_str());
        let now = self.clock.now();
        if !matches!(outcome, order::OrderOutcome::Done(_)) {
            tracing::warn!(
                event = "grant-unanswered",
                server = %order.life.server,
                first = order.range.first,
                last = order.range.last,
                fence = order.range.fence,
                outcome = ?outcome
            );
        }
        let mut state = self.state.borrow_mut();
        let news = state.granter.note_granted(&order, &outcome, now);
        drop(state);
        if news {
            self.decide();
        }
    }

    async fn send_release(self: rc::Rc<Self>, order: order::ReleaseOrder) {
        let outcome = self.orders.release(&order).await;
        self.metrics.note_order("release", outcome.as_str());
        let now = self.clock.now();
        tracing::info!(
            event = "release-ended",
            server = %order.life.server,
            first = order.range.first,
            last = order.range.last,
            fence = order.range.fence,
            outcome = ?outcome
        );
        self.state
            .borrow_mut()
            .granter
            .note_released(&order, &outcome, now);
        self.decide();
    }
}
