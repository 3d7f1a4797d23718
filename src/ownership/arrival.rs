//! When a server's hold has lapsed for certain.
//!
//! A hold counts from the arrival of the order at the server. Its answer shows that it arrived
//! before; where none comes, the sender resets the connection, and the order cannot arrive later.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;

/// By how much a server's clock may run slow, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 2;
/// What is added to a hold for its end to be certain, in milliseconds.
pub const LAPSE_MARGIN_MS: u64 = 150;

/// What is known of the orders to one life of a server.
#[derive(Clone, Debug, Default)]
struct ArrivalMark {
    latest: Option<clock::MonoTime>,
    open: u32,
    failing_since: Option<clock::MonoTime>,
}

/// How an order ended, as far as its arrival goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderArrival {
    /// The server answered.
    Answered,
    /// No answer came; it may have arrived until its connection was reset.
    Possible,
    /// No connection was made; it cannot have arrived.
    Unsent,
}

/// The latest possible arrivals of orders.
#[derive(Debug)]
pub struct ArrivalLedger {
    hold: time::Duration,
    foreign_hold: time::Duration,
    foreign_until: clock::MonoTime,
    foreign: collections::HashSet<assignment::ServerIncarnation>,
    marks: collections::HashMap<assignment::ServerIncarnation, ArrivalMark>,
}

impl ArrivalLedger {
    /// Creates a ledger of orders with `hold`.
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

    /// Takes over former granters' book: their orders to `lives` had holds up to `hold`.
    pub fn take_over(
        &mut self,
        lives: impl Iterator<Item = assignment::ServerIncarnation>,
        hold: time::Duration,
    ) {
        self.foreign_hold = self.foreign_hold.max(hold);
        // Failures of an earlier term say nothing of now.
        for mark in self.marks.values_mut() {
            mark.failing_since = None;
        }
        // What an earlier take-over waits for still counts.
        self.foreign.extend(lives);
    }

    /// Notes that orders of former granters may arrive until `until`.
    pub const fn note_foreign_until(&mut self, until: clock::MonoTime) {
        self.foreign_until = until;
    }

    /// Notes that an order is about to be sent.
    pub fn note_sent(&mut self, life: &assignment::ServerIncarnation) {
        self.marks.entry(life.clone()).or_default().open += 1;
    }

    /// Notes that an order ended at `now`.
    pub fn note_ended(
        &mut self,
        life: &assignment::ServerIncarnation,
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

    /// Reports whether orders to that life have gone unanswered for `span`.
    #[must_use]
    pub fn is_failing(
        &self,
        life: &assignment::ServerIncarnation,
        span: time::Duration,
        now: clock::MonoTime,
    ) -> bool {
        let mark = self.marks.get(life);
        let since = mark.and_then(|mark| mark.failing_since);
        since.is_some_and(|since| now >= since + span)
    }

    /// Reports whether no hold of that life can last any longer.
    #[must_use]
    pub fn has_lapsed(&self, life: &assignment::ServerIncarnation, now: clock::MonoTime) -> bool {
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

/// Returns the time after which a hold that began has ended by any server's clock.
#[must_use]
pub fn lapse_span(hold: time::Duration) -> time::Duration {
    let drift = hold * CLOCK_DRIFT_PERCENT / 100;
    hold + drift + time::Duration::from_millis(LAPSE_MARGIN_MS)
}
