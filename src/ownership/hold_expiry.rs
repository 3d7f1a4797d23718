//! The time by which a server's hold has certainly expired.
//!
//! A hold counts from the arrival of the order at the server. A response shows that the order
//! arrived earlier. Where no response comes, the sender resets the connection; after that the
//! order cannot arrive. A process that was killed resets nothing: `fencing` is for what its machine
//! may still send.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;

/// By how much a server's clock may run slow, in percent of the hold.
pub const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Safety margin added to a hold before it counts as expired, in milliseconds.
pub const EXPIRY_MARGIN_MS: u64 = 150;

/// The orders to one incarnation of a server.
#[derive(Clone, Debug, Default)]
struct OrderHistory {
    latest_arrival: Option<clock::MonoTime>,
    in_flight: u32,
    failing_since: Option<clock::MonoTime>,
    // Whether the last order was not sent, since no connection may carry it.
    is_withheld: bool,
}

/// Whether an order that ended can have arrived at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderArrival {
    /// It arrived: the server responded.
    Answered,
    /// It may have arrived at any time until the connection was reset.
    Possible,
    /// It cannot have arrived: no connection was opened.
    Unsent,
    /// It was not sent, since no connection may carry it. The server may well respond.
    Withheld,
}

/// Tracks the latest possible arrival of orders at each server.
#[derive(Debug)]
pub struct HoldExpiry {
    hold: time::Duration,
    former_hold: time::Duration,
    former_orders_until: clock::MonoTime,
    former_servers: collections::HashSet<assignment::ServerIncarnation>,
    histories: collections::HashMap<assignment::ServerIncarnation, OrderHistory>,
}

impl HoldExpiry {
    /// Creates the state of a granter that sends orders with `hold`.
    #[must_use]
    pub fn new(hold: time::Duration) -> Self {
        Self {
            hold,
            former_hold: hold,
            former_orders_until: clock::MonoTime::from_micros(0),
            former_servers: collections::HashSet::new(),
            histories: collections::HashMap::new(),
        }
    }

    /// Takes account of former granters, whose orders to `incarnations` had holds of up to `hold`.
    pub fn take_over(
        &mut self,
        incarnations: impl Iterator<Item = assignment::ServerIncarnation>,
        hold: time::Duration,
    ) {
        self.former_hold = self.former_hold.max(hold);
        // Failures in an earlier term say nothing about the server's present state.
        for history in self.histories.values_mut() {
            history.failing_since = None;
        }
        // Servers noted at an earlier take-over may still have holds from that time.
        self.former_servers.extend(incarnations);
    }

    /// Records that orders of former granters may arrive until `until`.
    pub const fn note_former_orders_until(&mut self, until: clock::MonoTime) {
        self.former_orders_until = until;
    }

    /// Records that an order is about to be sent.
    pub fn note_sent(&mut self, incarnation: &assignment::ServerIncarnation) {
        self.histories
            .entry(incarnation.clone())
            .or_default()
            .in_flight += 1;
    }

    /// Records that an order ended at `now`.
    pub fn note_ended(
        &mut self,
        incarnation: &assignment::ServerIncarnation,
        arrival: OrderArrival,
        now: clock::MonoTime,
    ) {
        let history = self.histories.entry(incarnation.clone()).or_default();
        history.in_flight = history.in_flight.saturating_sub(1);
        if matches!(arrival, OrderArrival::Answered | OrderArrival::Possible) {
            history.latest_arrival = history.latest_arrival.max(Some(now));
        }
        history.is_withheld = arrival == OrderArrival::Withheld;
        history.failing_since = match arrival {
            OrderArrival::Answered => None,
            OrderArrival::Possible | OrderArrival::Unsent => history.failing_since.or(Some(now)),
            OrderArrival::Withheld => history.failing_since,
        };
    }

    /// Reports whether orders to an incarnation have failed for at least `span`. An order that was
    /// withheld says nothing about the server.
    #[must_use]
    pub fn is_failing(
        &self,
        incarnation: &assignment::ServerIncarnation,
        span: time::Duration,
        now: clock::MonoTime,
    ) -> bool {
        let history = self.histories.get(incarnation);
        let history = history.filter(|history| !history.is_withheld);
        let since = history.and_then(|history| history.failing_since);
        since.is_some_and(|since| now >= since + span)
    }

    /// Reports whether every hold of an incarnation has expired by `now`.
    #[must_use]
    pub fn has_expired(
        &self,
        incarnation: &assignment::ServerIncarnation,
        now: clock::MonoTime,
    ) -> bool {
        let former_end = self.former_orders_until + expiry_delay(self.former_hold);
        let former_expired = !self.former_servers.contains(incarnation) || now >= former_end;
        let Some(history) = self.histories.get(incarnation) else {
            return former_expired;
        };
        let own_expired = history
            .latest_arrival
            .is_none_or(|at| now >= at + expiry_delay(self.hold));
        former_expired && history.in_flight == 0 && own_expired
    }
}

/// Returns how long after its start a hold has expired by the clock of any server.
#[must_use]
pub fn expiry_delay(hold: time::Duration) -> time::Duration {
    let drift = hold * CLOCK_DRIFT_PERCENT / 100;
    hold + drift + time::Duration::from_millis(EXPIRY_MARGIN_MS)
}
