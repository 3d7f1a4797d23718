//! How many lines about requests are logged: all of them on ordinary days, a bounded number in a
//! flood.

use std::cell;
use std::time;

/// How many lines about requests one traffic thread logs in a second.
pub const MAX_LINES_PER_S: u32 = 200;
/// One in how many answered requests is logged.
pub const ANSWERED_SAMPLE_INTERVAL: u32 = 50;

/// The lines that are left in this second.
#[derive(Debug)]
pub struct LogBudget {
    window_start: cell::Cell<time::Instant>,
    lines_left: cell::Cell<u32>,
    suppressed: cell::Cell<u64>,
    answered_count: cell::Cell<u32>,
}

impl LogBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            window_start: cell::Cell::new(time::Instant::now()),
            lines_left: cell::Cell::new(MAX_LINES_PER_S),
            suppressed: cell::Cell::new(0),
            answered_count: cell::Cell::new(0),
        }
    }

    /// Takes one line; reports whether it may be logged.
    pub fn try_take(&self) -> bool {
        let now = time::Instant::now();
        if now.duration_since(self.window_start.get()) >= time::Duration::from_secs(1) {
            self.window_start.set(now);
            self.lines_left.set(MAX_LINES_PER_S);
        }
        let lines_left = self.lines_left.get();
        if lines_left == 0 {
            self.suppressed.set(self.suppressed.get() + 1);
            return false;
        }
        self.lines_left.set(lines_left - 1);
        true
    }

    /// Reports whether this answered request is one of those that are logged.
    pub fn sample_answered(&self) -> bool {
        let count = self.answered_count.get();
        self.answered_count
            .set((count + 1) % ANSWERED_SAMPLE_INTERVAL);
        count == 0
    }

    /// Returns and forgets how many lines were left out.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.replace(0)
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}
