//! The retry budget: repeats as a fraction of fresh requests.

/// How much of a repeat each fresh request pays for.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// How many repeats may be saved up.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// A budget that fresh requests fill and repeats draw from.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_ratio(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
    }

    /// Creates a full budget of `capacity` repeats that each fresh request fills by `ratio`.
    #[must_use]
    pub const fn with_ratio(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            capacity,
            balance: capacity,
        }
    }

    /// Counts a fresh request.
    pub fn note_fresh(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.capacity);
    }

    /// Reports whether a repeat is allowed.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.balance >= 1.0
    }

    /// Draws one repeat.
    pub fn draw(&mut self) {
        self.balance -= 1.0;
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
