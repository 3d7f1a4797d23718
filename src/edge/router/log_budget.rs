//! Rate limit for the log lines about requests, so that an overload does not flood the log.

use std::cell;
use std::time;

/// The number of lines about requests that one traffic thread logs in a second.
pub const MAX_LINES_PER_S: u32 = 200;
/// One in this many successfully answered requests is logged.
pub const ANSWERED_SAMPLE_INTERVAL: u32 = 50;

/// The budget of log lines for the current second.
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

    /// Takes one line from the budget. Returns false, and counts the line as suppressed, when none
    /// is left.
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

    /// Reports whether this answered request is one of the sampled ones.
    pub fn sample_answered(&self) -> bool {
        let count = self.answered_count.get();
        self.answered_count
            .set((count + 1) % ANSWERED_SAMPLE_INTERVAL);
        count == 0
    }

    /// Returns the number of suppressed lines and resets it.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.replace(0)
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}
