//! The time by which a server's hold has certainly expired.
//!
//! A hold counts from the arrival of the order at the server. A response shows that the order
//! arrived earlier. Where no response comes, the sender resets the connection; after that the
//! order cannot arrive.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::book;

/// By how much a server's clock may run slow, in percent of the hold.
pub const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Safety margin added to a hold before it counts as expired, in milliseconds.
pub const LAPSE_MARGIN_MS: u64 = 150;

/// The orders to one incarnation of a server.
#[derive(Clone, Debug, Default)]
struct ArrivalMark {
    latest: Option<clock::MonoTime>,
    open: u32,
    failing_since: Option<clock::MonoTime>,
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
}

/// Tracks the latest possible arrival of orders at each server.
#[derive(Debug)]
pub struct ArrivalLedger {
    hold: time::Duration,
    foreign_hold: time::Duration,
    foreign_until: clock::MonoTime,
    foreign: collections::HashSet<book::ServerLife>,
    marks: collections::HashMap<book::ServerLife, ArrivalMark>,
}

impl ArrivalLedger {
    /// Creates the state of a granter that sends orders with `hold`.
    #[must_use]
    pub fn new(hold: time::Duration) -> Self {
        Self {
            hold,
            foreign_hold: hold,
            foreign_until: clock::MonoTime::from_micros(0),
            foreign: collections::HashSet::new(),
            marks: collections::HashMap::new(),
        }
    }

    /// Takes account of former granters, whose orders to `lives` had holds of up to `hold`.
    pub fn take_over(
        &mut self,
        lives: impl Iterator<Item = book::ServerLife>,
        hold: time::Duration,
    ) {
        self.foreign_hold = self.foreign_hold.max(hold);
        // Failures in an earlier term say nothing about the server's present state.
        for mark in self.marks.values_mut() {
            mark.failing_since = None;
        }
        // Servers noted at an earlier take-over may still have holds from that time.
        self.foreign.extend(lives);
    }

    /// Records that orders of former granters may arrive until `until`.
    pub const fn note_foreign_until(&mut self, until: clock::MonoTime) {
        self.foreign_until = until;
    }

    /// Records that an order is about to be sent.
    pub fn note_sent(&mut self, life: &book::ServerLife) {
        self.marks.entry(life.clone()).or_default().open += 1;
    }

    /// Records that an order ended at `now`.
    pub fn note_ended(
        &mut self,
        life: &book::ServerLife,
        arrival: OrderArrival,
        now: clock::MonoTime,
    ) {
        let mark = self.marks.entry(life.clone()).or_default();
        mark.open = mark.open.saturating_sub(1);
        if arrival != OrderArrival::Unsent {
            mark.latest = mark.latest.max(Some(now));
        }
        mark.failing_since = match arrival {
            OrderArrival::Answered => None,
            OrderArrival::Possible | OrderArrival::Unsent => mark.failing_since.or(Some(now)),
        };
    }

    /// Reports whether orders to an incarnation have failed for at least `span`.
    #[must_use]
    pub fn is_failing(
        &self,
        life: &book::ServerLife,
        span: time::Duration,
        now: clock::MonoTime,
    ) -> bool {
        let mark = self.marks.get(life);
        let since = mark.and_then(|mark| mark.failing_since);
        since.is_some_and(|since| now >= since + span)
    }

    /// Reports whether every hold of an incarnation has expired by `now`.
    #[must_use]
    pub fn has_lapsed(&self, life: &book::ServerLife, now: clock::MonoTime) -> bool {
        let foreign_end = self.foreign_until + lapse_span(self.foreign_hold);
        let foreign_over = !self.foreign.contains(life) || now >= foreign_end;
        let Some(mark) = self.marks.get(life) else {
            return foreign_over;
        };
        let latest = mark
            .latest
            .is_none_or(|at| now >= at + lapse_span(self.hold));
        foreign_over && mark.open == 0 && latest
    }
}

/// Returns how long after its start a hold has expired by the clock of any server.
#[must_use]
pub fn lapse_span(hold: time::Duration) -> time::Duration {
    let drift = hold * CLOCK_DRIFT_PERCENT / 100;
    hold + drift + time::Duration::from_millis(LAPSE_MARGIN_MS)
}
