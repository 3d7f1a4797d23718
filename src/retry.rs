//! The retry budget: repeats as a fraction of fresh requests.

/// How much of a repeat each fresh request pays for.
pub const REPEATS_PER_REQUEST: f64 = 0.1;
/// How many repeats may be saved up.
pub const MAX_SAVED_REPEATS: f64 = 10.0;

/// A budget that fresh requests fill and repeats draw from.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    most: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_ratio(REPEATS_PER_REQUEST, MAX_SAVED_REPEATS)
    }

    /// Creates a full budget of `most` repeats that each fresh request fills by `ratio`.
    #[must_use]
    pub const fn with_ratio(ratio: f64, most: f64) -> Self {
        Self {
            ratio,
            most,
            saved: most,
        }
    }

    /// Counts a fresh request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.most);
    }

    /// Reports whether a repeat is allowed.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.saved >= 1.0
    }

    /// Draws one repeat.
    pub fn withdraw(&mut self) {
        self.saved -= 1.0;
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
