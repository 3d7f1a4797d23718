//! How many lines about requests are logged: all of them on ordinary days, a bounded number in a
//! flood.

use std::cell;
use std::time;

/// How many lines about requests one traffic thread logs in a second.
pub const LINES_PER_S: u32 = 200;
/// One in how many answered requests is logged.
pub const ANSWERED_ONE_IN: u32 = 50;

/// The lines that are left in this second.
#[derive(Debug)]
pub struct LogBudget {
    second: cell::Cell<time::Instant>,
    left: cell::Cell<u32>,
    left_out: cell::Cell<u64>,
    answered: cell::Cell<u32>,
}

impl LogBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            second: cell::Cell::new(time::Instant::now()),
            left: cell::Cell::new(LINES_PER_S),
            left_out: cell::Cell::new(0),
            answered: cell::Cell::new(0),
        }
    }

    /// Takes one line; reports whether it may be logged.
    pub fn take(&self) -> bool {
        let now = time::Instant::now();
        if now.duration_since(self.second.get()) >= time::Duration::from_secs(1) {
            self.second.set(now);
            self.left.set(LINES_PER_S);
        }
        let left = self.left.get();
        if left == 0 {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.left.set(left - 1);
        true
    }

    /// Reports whether this answered request is one of those that are logged.
    pub fn samples_answered(&self) -> bool {
        let count = self.answered.get();
        self.answered.set((count + 1) % ANSWERED_ONE_IN);
        count == 0
    }

    /// Returns and forgets how many lines were left out.
    pub fn take_left_out(&self) -> u64 {
        self.left_out.replace(0)
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}
