//! The orders that follow from the assignment table, and the handling of their outcomes.

use std::net;
use std::time;

use crate::clock;
use crate::ownership::assignment;
use crate::ownership::granter;
use crate::ownership::hold_expiry;
use crate::ownership::order;
use crate::ownership::tracked_range;
use crate::serving::directory;

/// Number of renewal orders within the time of one hold.
pub const RENEWALS_PER_HOLD: u32 = 4;

impl granter::KeyGranter {
    /// Handles the outcome of a grant order. Reports whether the granter has to decide again: the
    /// range's state changed, the order was withheld, or the server was found to have been replaced.
    pub fn note_granted(
        &mut self,
        order: &order::GrantOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) -> bool {
        self.hold_expiry
            .note_ended(&order.life, outcome.arrival(), now);
        if outcome.arrival() == hold_expiry::OrderArrival::Answered {
            self.unresponsive.remove(&order.life);
        }
        let renewal = self.hold / RENEWALS_PER_HOLD;
        if *outcome == order::OrderOutcome::Withheld {
            return self.note_withheld(&order.range, now);
        }
        let Some(tracked) = self.tracked_ranges.get_mut(&order.range) else {
            return false;
        };
        tracked.in_flight = false;
        tracked.withheld_at = None;
        let event = match outcome {
            order::OrderOutcome::Replaced => {
                self.note_responder(&order.life, order.address, outcome);
                return true;
            }
            order::OrderOutcome::Rejected => {
                tracked.next_order_at = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                self.note_responder(&order.life, order.address, outcome);
                return false;
            }
            order::OrderOutcome::Done(_) => tracked_range::RangeEvent::Accepted,
            order::OrderOutcome::Refused => tracked_range::RangeEvent::Refused,
            order::OrderOutcome::Unanswered
            | order::OrderOutcome::Unsent
            | order::OrderOutcome::Withheld => {
                tracked.next_order_at = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                return false;
            }
        };
        tracked.next_order_at = now + renewal;
        let Some(step) = self.range_chart.step_unguarded(tracked.state, event) else {
            return false;
        };
        let changed = tracked.state != step.next;
        tracked.state = step.next;
        changed
    }

    /// Handles the outcome of a release order.
    pub fn note_released(
        &mut self,
        order: &order::ReleaseOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) {
        let Some(tracked) = self.tracked_ranges.get_mut(&order.range) else {
            return;
        };
        let position = tracked
            .formers
            .iter()
            .position(|f| f.holder.life == order.life);
        let Some(position) = position else {
            return;
        };
        let former = &mut tracked.formers[position];
        former.in_flight = false;
        former.next_order_at = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
        if let order::OrderOutcome::Done(handover) = outcome {
            tracked.formers.remove(position);
            if handover.is_some() {
                tracked.handover.clone_from(handover);
            }
        }
        self.note_responder(&order.life, order.address, outcome);
    }

    /// Handles the outcome of an order to a server whose hold had expired. Reports whether the server refuses
    /// earlier grants from now on.
    pub fn note_fenced(
        &mut self,
        order: &order::FenceOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) -> bool {
        self.note_responder(&order.life, order.address, outcome);
        self.fencing.note_ended(order, outcome, now)
    }

    // Records what the outcome of an order tells of the server at the address: another one responds there, or
    // one without keys.
    fn note_responder(
        &mut self,
        life: &assignment::ServerIncarnation,
        address: net::SocketAddr,
        outcome: &order::OrderOutcome,
    ) {
        if *outcome == order::OrderOutcome::Replaced {
            self.ended.insert(life.clone());
        }
        if *outcome == order::OrderOutcome::Rejected {
            self.rejected.insert(life.clone(), address);
        }
    }

    // Orders servers whose holds have expired to refuse earlier grants. One that has restarted elsewhere has
    // no connection on which such a grant could arrive.
    pub(super) fn push_due_fences(
        &mut self,
        now: clock::MonoTime,
        servers: &directory::ServerDirectory,
        actions: &mut Vec<order::GranterAction>,
    ) {
        self.fencing.expire(now, |holder| {
            self.ended.contains(&holder.life) || tracked_range::has_other_address(holder, servers)
        });
        let orders = self.fencing.due_orders(now, &self.table);
        actions.extend(orders.into_iter().map(order::GranterAction::Fence));
    }

    // Tracks the ranges of the newest table; ranges that did not change keep their state.
    pub(super) fn sync_tracked_ranges(&mut self, now: clock::MonoTime) {
        let mut previous = std::mem::take(&mut self.tracked_ranges);
        for (service, ranges) in &self.table.services {
            for range in ranges {
                let id = tracked_range::range_id(service, range);
                let kept = previous.remove(&id);
                let tracked = kept
                    .unwrap_or_else(|| tracked_range::track_range(&self.range_chart, range, now));
                self.tracked_ranges.insert(id, tracked);
            }
        }
    }

    pub(super) fn push_due_orders(
        &mut self,
        now: clock::MonoTime,
        servers: &directory::ServerDirectory,
        actions: &mut Vec<order::GranterAction>,
    ) {
        let basis = tracked_range::GrantBasis {
            pending: self.appending.as_ref().map(|pending| &pending.table),
            hold: self.hold,
            confirmed: self.election.confirmed(),
        };
        let has_losses = self.table.lost_grants.is_some();
        let is_provisional = self.lost_grants.is_provisional();
        for (id, tracked) in &mut self.tracked_ranges {
            // Where grants may be lost, a known holder may be renewed, and no new one is granted keys.
            let may_start = !has_losses || !(is_provisional || tracked.was_moving);
            tracked
                .formers
                .retain(|former| !self.ended.contains(&former.holder.life));
            let expired = tracked_range::release_formers(
                id,
                tracked,
                now,
                &self.hold_expiry,
                servers,
                actions,
            );
            for holder in expired {
                let service = id.service.clone();
                let server = assignment::UnfencedServer { service, holder };
                self.fencing.note_expired(server, now);
            }
            let is_vacated =
                tracked.state == tracked_range::RangeState::Vacating && tracked.formers.is_empty();
            if is_vacated && may_start {
                let step = self
                    .range_chart
                    .step_unguarded(tracked.state, tracked_range::RangeEvent::Vacated);
                tracked.state = step.map_or(tracked.state, |step| step.next);
            }
            let due = tracked.is_due(now, basis.confirmed);
            let incarnation = &tracked.holder.life;
            let gone = tracked_range::has_restarted(incarnation, servers)
                || self.ended.contains(incarnation);
            let orderable = matches!(
                tracked.state,
                tracked_range::RangeState::Ordered | tracked_range::RangeState::Held
            );
            if due && !gone && orderable {
                self.hold_expiry.note_sent(&tracked.holder.life);
                let order = tracked.next_grant(id, &basis);
                actions.push(order::GranterAction::Grant(order));
            }
        }
    }
}
