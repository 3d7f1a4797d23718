//! The retry budget: limits retries to a fraction of first attempts.

/// The part of a retry that each first attempt adds to the budget.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// The most retries that the budget can hold.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// A budget that first attempts fill and retries use up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget with [`RETRIES_PER_REQUEST`] and [`MAX_SAVED_RETRIES`].
    #[must_use]
    pub const fn new() -> Self {
        Self::with_ratio(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
    }

    /// Creates a full budget of `capacity` retries, to which each first attempt adds `ratio`.
    #[must_use]
    pub const fn with_ratio(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            capacity,
            balance: capacity,
        }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.capacity);
    }

    /// Reports whether the budget covers one retry.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry from the budget.
    pub fn withdraw(&mut self) {
        self.balance -= 1.0;
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
