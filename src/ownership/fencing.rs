//! Servers whose holds have expired without a response, by the chart `fencing`.
//!
//! That a hold has expired does not show that no grant for it is on its way: a machine may go on sending
//! the bytes of a process that was killed, until a network partition ends. So the granter orders such a
//! server to release all keys that it has lost, under the newest fence, until it confirms. After that the
//! server refuses earlier grants.

use std::collections;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::order;

/// Minimum time between two orders to one server, in milliseconds.
pub const FENCE_INTERVAL_MS: u64 = 200;
/// Time-out of the connection for such an order, in milliseconds: it has ended when the next one is due.
pub const FENCE_CONNECT_TIMEOUT_MS: u64 = 150;
/// How long an unresponsive server is ordered, in milliseconds. Kernels stop sending the bytes of an ended
/// process after some 100 s.
pub const FENCING_SPAN_MS: u64 = 120_000;
/// Maximum number of servers that are ordered at a time.
pub const MAX_FENCES_IN_FLIGHT: usize = 256;

crate::chart_words!(
    /// The states of a server.
    FencingState {
        Unfenced = "unfenced",
        Ordered = "ordered",
        Fenced = "fenced",
    }
);
crate::chart_words!(
    /// The events of a server.
    FencingEvent {
        /// Another hold of the server has expired.
        Expired = "expired",
        Ordered = "ordered",
        Confirmed = "confirmed",
        Failed = "failed",
    }
);
crate::chart_words!(
    /// The actions on a transition.
    FencingAction {
        /// Drop the server from those that have yet to confirm.
        Forget = "forget",
    }
);

/// The words of the chart `fencing`.
#[derive(Debug)]
pub struct FencingVocabulary;

impl chart::ChartVocabulary for FencingVocabulary {
    type State = FencingState;
    type Event = FencingEvent;
    type Guard = chart::NoGuard;
    type Action = FencingAction;
    const SOURCE: &'static str = include_str!("../../charts/fencing.toml");
}

#[derive(Debug)]
struct PendingFence {
    state: FencingState,
    server: assignment::UnfencedServer,
    // The number of the order in flight.
    number: u64,
    since: clock::MonoTime,
    // When the next order is due, unless one is in flight.
    next_at: clock::MonoTime,
}

impl PendingFence {
    fn new(state: FencingState, server: assignment::UnfencedServer, now: clock::MonoTime) -> Self {
        Self {
            state,
            server,
            number: 0,
            since: now,
            next_at: now,
        }
    }

    fn is_due(&self, now: clock::MonoTime) -> bool {
        self.state == FencingState::Unfenced && now >= self.next_at
    }

    // The order for all keys that the table does not assign to the server.
    fn order(&self, table: &assignment::AssignmentTable) -> order::FenceOrder {
        let assignment::UnfencedServer { service, holder } = &self.server;
        let fence = table.newest_fence();
        let lost = table.keys_of_others(service, &holder.life.server);
        let ranges = lost.into_iter().map(|(first, last)| order::RangeId {
            service: service.clone(),
            first,
            last,
            fence,
        });
        order::FenceOrder {
            number: self.number,
            life: holder.life.clone(),
            address: holder.address,
            ranges: ranges.collect(),
        }
    }
}

/// The servers that have yet to confirm that they refuse earlier grants.
pub struct ServerFencing {
    table: chart::ChartTable<FencingVocabulary>,
    // By name: an order names the server and not its start, and so does a grant that is on its way.
    servers: collections::BTreeMap<names::ServerName, PendingFence>,
    last_number: u64,
}

impl ServerFencing {
    /// Creates the state of a granter that knows of no such server.
    ///
    /// # Errors
    /// Fails when the chart `fencing` is invalid.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            table: chart::ChartTable::new()?,
            servers: collections::BTreeMap::new(),
            last_number: 0,
        })
    }

    /// Replaces all servers with those of the table that was claimed.
    pub fn take_over(&mut self, servers: &[assignment::UnfencedServer], now: clock::MonoTime) {
        self.servers.clear();
        for server in servers {
            self.note_expired(server.clone(), now);
        }
    }

    /// Records that a hold of a server has expired without a response.
    pub fn note_expired(&mut self, server: assignment::UnfencedServer, now: clock::MonoTime) {
        let name = server.holder.life.server.clone();
        let Some(pending) = self.servers.get_mut(&name) else {
            let pending = PendingFence::new(self.table.initial(), server, now);
            self.servers.insert(name, pending);
            return;
        };
        pending.server = server;
        let event = FencingEvent::Expired;
        if let Some(step) = self.table.step_unguarded(pending.state, event) {
            pending.state = step.next;
            pending.next_at = now;
        }
    }

    /// Handles the outcome of an order. Reports whether the server refuses earlier grants from now on.
    pub fn note_ended(
        &mut self,
        order: &order::FenceOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) -> bool {
        let name = &order.life.server;
        let pending = self.servers.get_mut(name);
        let Some(pending) = pending.filter(|pending| pending.number == order.number) else {
            return false;
        };
        let event = match outcome {
            order::OrderOutcome::Done(_) | order::OrderOutcome::Replaced => FencingEvent::Confirmed,
            order::OrderOutcome::Refused
            | order::OrderOutcome::Rejected
            | order::OrderOutcome::Unanswered
            | order::OrderOutcome::Unsent
            | order::OrderOutcome::Withheld => FencingEvent::Failed,
        };
        let Some(step) = self.table.step_unguarded(pending.state, event) else {
            return false;
        };
        pending.state = step.next;
        pending.next_at = now.max(pending.next_at);
        let is_fenced = step.actions.contains(&FencingAction::Forget);
        if is_fenced {
            tracing::info!(
                event = "server-fenced",
                server = %name,
                after_ms = now.since(pending.since).as_millis(),
                outcome = ?outcome
            );
            self.servers.remove(name);
        }
        is_fenced
    }

    /// Drops servers of which `is_ended` is true, and those that have not responded for too long.
    pub fn expire(
        &mut self,
        now: clock::MonoTime,
        is_ended: impl Fn(&assignment::KeyHolder) -> bool,
    ) {
        let span = time::Duration::from_millis(FENCING_SPAN_MS);
        self.servers.retain(|name, pending| {
            let is_overdue = now >= pending.since + span;
            if is_overdue {
                tracing::warn!(event = "server-not-fenced", server = %name);
            }
            !is_overdue && !is_ended(&pending.server.holder)
        });
    }

    /// Returns the servers, for the assignment table.
    #[must_use]
    pub fn servers(&self) -> Vec<assignment::UnfencedServer> {
        let servers = self.servers.values();
        servers.map(|pending| pending.server.clone()).collect()
    }

    /// Reports whether a server has yet to confirm.
    #[must_use]
    pub fn is_unfenced(&self, name: &names::ServerName) -> bool {
        self.servers.contains_key(name)
    }

    /// Returns the orders that are due at `now`.
    pub fn due_orders(
        &mut self,
        now: clock::MonoTime,
        table: &assignment::AssignmentTable,
    ) -> Vec<order::FenceOrder> {
        let pending = self.servers.values();
        let in_flight = pending.filter(|pending| pending.state == FencingState::Ordered);
        let room = MAX_FENCES_IN_FLIGHT.saturating_sub(in_flight.count());
        let pending = self.servers.values_mut();
        let mut due: Vec<_> = pending.filter(|pending| pending.is_due(now)).collect();
        due.sort_by_key(|pending| pending.next_at);
        due.truncate(room);
        let mut orders = Vec::new();
        for pending in due {
            let event = FencingEvent::Ordered;
            if let Some(step) = self.table.step_unguarded(pending.state, event) {
                self.last_number += 1;
                pending.number = self.last_number;
                pending.state = step.next;
                pending.next_at = now + time::Duration::from_millis(FENCE_INTERVAL_MS);
                orders.push(pending.order(table));
            }
        }
        orders
    }
}
