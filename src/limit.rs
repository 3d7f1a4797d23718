//! The adaptive concurrency limit: how many requests one host runs at one server.
//!
//! Each host starts at its share of the server's slots. While requests wait, each timely response
//! raises the limit by a fraction of a slot, so that the host uses slots that other hosts leave
//! idle. When the server sheds a request or responds late, the limit is multiplied by
//! [`DECREASE_FACTOR`]. This needs no messages between hosts, so it also works while they cannot
//! reach each other.

/// The factor applied to the limit when the server sheds a request or responds late.
pub const DECREASE_FACTOR: f64 = 0.7;
/// The lowest limit, in requests.
pub const MIN_LIMIT: f64 = 1.0;

/// What the end of an exchange says of the server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSignal {
    /// The server responded in time.
    Answered,
    /// The server shed the request or responded too late.
    Overloaded,
    /// The exchange says nothing of the server's load.
    Neutral,
}

/// One host's concurrency limit at one server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slots: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit equal to the host's share of the server's slots.
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

    /// Reports whether one more request may run in addition to `running` others.
    #[must_use]
    pub fn allows(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit.max(MIN_LIMIT)
    }

    /// Returns the limit, in requests.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit after an exchange; `waiting` says whether requests wait for a slot.
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
