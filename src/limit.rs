//! The adaptive limit: how many requests one host runs at one server.
//!
//! Each host starts at its share of the server's slots. A host that has more to do than its limit
//! allows raises it a little with each answer, so that it takes up what other hosts leave unused;
//! when the server sheds or answers late, the limit falls. Hosts that are cut off from each other
//! need no message for that: the server's own refusals tell them.

/// The factor by which the limit falls when the server sheds or is late.
pub const DECREASE_FACTOR: f64 = 0.7;
/// The lowest limit.
pub const MIN_LIMIT: f64 = 1.0;

/// How an exchange with a server ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSignal {
    /// It was answered in time.
    Answered,
    /// The server shed it, or was too late.
    Overloaded,
    /// It says nothing of the server's load.
    Neutral,
}

/// The limit of one host at one server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slots: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit at the host's share of the server's slots.
    #[must_use]
    pub fn new(slots: u32, hosts: usize) -> Self {
        let slots = f64::from(slots.max(1));
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let share = slots / f64::from(hosts);
        Self {
            limit: share.max(MIN_LIMIT),
            slots,
        }
    }

    /// Reports whether one more request may run beside `running` others.
    #[must_use]
    pub fn allows(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit.max(MIN_LIMIT)
    }

    /// Returns the limit.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.limit
    }

    /// Takes the end of an exchange; `waiting` says whether more requests wait for a slot.
    pub fn note(&mut self, signal: LimitSignal, waiting: bool) {
        match signal {
            LimitSignal::Answered if waiting => {
                self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
            }
            LimitSignal::Overloaded => {
                self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            }
            LimitSignal::Answered | LimitSignal::Neutral => {}
        }
    }
}
