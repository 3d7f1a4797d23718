//! The orders that follow from the book, and what their ends say.

use std::time;

use crate::clock;
use crate::ownership::arrival;
use crate::ownership::granter;
use crate::ownership::order;
use crate::ownership::range_run;
use crate::serving::directory;

/// How many orders a hold is renewed by.
pub const RENEWALS_PER_HOLD: u32 = 4;

impl granter::KeyGranter {
    /// Takes the end of an order. Reports whether it was the first to be done.
    pub fn note_granted(
        &mut self,
        order: &order::GrantOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) -> bool {
        self.ledger.note_ended(&order.life, outcome.arrival(), now);
        if outcome.arrival() == arrival::OrderArrival::Answered {
            self.silences.remove(&order.life);
        }
        let renewal = self.hold / RENEWALS_PER_HOLD;
        let Some(run) = self.runs.get_mut(&order.range) else {
            return false;
        };
        run.open = false;
        let event = match outcome {
            order::OrderOutcome::Replaced => {
                self.ended.insert(order.life.clone());
                return true;
            }
            order::OrderOutcome::Rejected => {
                self.rejected.insert(order.life.clone(), order.address);
                run.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                return false;
            }
            order::OrderOutcome::Done(_) => range_run::RangeEvent::Accepted,
            order::OrderOutcome::Refused => range_run::RangeEvent::Refused,
            order::OrderOutcome::Unanswered | order::OrderOutcome::Unsent => {
                run.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                return false;
            }
        };
        run.next_call = now + renewal;
        let Some(step) = self.range_chart.step_unguarded(run.state, event) else {
            return false;
        };
        let news = run.state != step.next;
        run.state = step.next;
        news
    }

    /// Takes the end of a release.
    pub fn note_released(
        &mut self,
        order: &order::ReleaseOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) {
        let Some(run) = self.runs.get_mut(&order.range) else {
            return;
        };
        let position = run.formers.iter().position(|f| f.holder.life == order.life);
        let Some(position) = position else {
            return;
        };
        let former = &mut run.formers[position];
        former.open = false;
        former.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
        if *outcome == order::OrderOutcome::Rejected {
            self.rejected.insert(order.life.clone(), order.address);
        }
        if *outcome == order::OrderOutcome::Replaced {
            self.ended.insert(order.life.clone());
        }
        if let order::OrderOutcome::Done(handover) = outcome {
            run.formers.remove(position);
            if handover.is_some() {
                run.handover.clone_from(handover);
            }
        }
    }

    // Makes the runs those of the book's ranges, keeping what is known of unchanged ones.
    pub(super) fn sync_runs(&mut self, now: clock::MonoTime) {
        let mut former = std::mem::take(&mut self.runs);
        for (service, ranges) in &self.table.services {
            for range in ranges {
                let id = range_run::range_id(service, range);
                let kept = former.remove(&id);
                let run = kept.unwrap_or_else(|| range_run::new_run(&self.range_chart, range, now));
                self.runs.insert(id, run);
            }
        }
    }

    pub(super) fn order_all(
        &mut self,
        now: clock::MonoTime,
        servers: &directory::ServerDirectory,
        actions: &mut Vec<order::GranterAction>,
    ) {
        for (id, run) in &mut self.runs {
            run.formers
                .retain(|former| !self.ended.contains(&former.holder.life));
            range_run::release_formers(id, run, now, &self.ledger, servers, actions);
            if run.state == range_run::RangeState::Vacating && run.formers.is_empty() {
                let step = self
                    .range_chart
                    .step_unguarded(run.state, range_run::RangeEvent::Vacated);
                run.state = step.map_or(run.state, |step| step.next);
            }
            let due = !run.open && now >= run.next_call;
            let life = &run.holder.life;
            let gone = range_run::is_reborn(life, servers) || self.ended.contains(life);
            let orderable = matches!(
                run.state,
                range_run::RangeState::Ordered | range_run::RangeState::Held
            );
            if due && !gone && orderable {
                run.open = true;
                self.ledger.note_sent(&run.holder.life);
                actions.push(order::GranterAction::Grant(order::GrantOrder {
                    range: id.clone(),
                    life: run.holder.life.clone(),
                    address: run.holder.address,
                    hold: self.hold,
                    handover: run.handover.clone(),
                }));
            }
        }
    }
}
