//! The spans of time that leases and authority rest on.

use std::time;

/// The interval between two renewals of a server's lease, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 100;
/// The length of a server's lease from its token on, in milliseconds.
pub const LEASE_MS: u64 = 1_100;
/// How long one acknowledged round gives a granter authority, in milliseconds.
pub const AUTHORITY_MS: u64 = 400;
/// The allowance for clocks that run at different rates, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 50;
/// The silence after which a host suspects that a domain has no granter, in milliseconds.
pub const GRANTER_TIMEOUT_MS: u64 = 300;
/// The extra silence for each place in the order of candidates, in milliseconds.
pub const CANDIDATE_STEP_MS: u64 = 40;
/// The extra silence for candidates outside the domain, in milliseconds.
pub const OUTSIDE_DELAY_MS: u64 = 150;
/// How lately a host must have been heard of to count as able to claim, in milliseconds.
pub const CANDIDATE_STALE_MS: u64 = 400;
/// The extra silence for candidates outside a domain that has a host able to claim, in milliseconds.
pub const OUTSIDE_STANDBY_MS: u64 = 2_000;
/// The time within which a claim must reach its majority, in milliseconds.
pub const CLAIM_TIMEOUT_MS: u64 = 150;
/// The interval between two exchanges with peers, in milliseconds.
pub const EXCHANGE_INTERVAL_MS: u64 = 100;
/// How long a host may send to unchecked servers after it asked their granter, in milliseconds.
pub const TABLE_LEASE_MS: u64 = 500;
/// The interval between two log reads and two flushes of records, in milliseconds.
pub const LOG_INTERVAL_MS: u64 = 100;
/// The pause before an append is tried again, in milliseconds.
pub const APPEND_RETRY_MS: u64 = 250;
/// How long a host counts as in contact after it last heard of the log or a peer, in milliseconds.
pub const CONTACT_TIMEOUT_MS: u64 = 5_000;

/// The spans that decisions use. All hosts of a site must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Between two renewals.
    pub renew: time::Duration,
    /// From a token to the lapse of the lease counted from it.
    pub lease: time::Duration,
    /// From the sending of an acknowledged round to the end of the authority it gives.
    pub authority: time::Duration,
    /// The allowance for clock rates.
    pub margin: time::Duration,
    /// From a host's question to its granter to the end of the table lease it gives.
    pub table_lease: time::Duration,
}

impl LeaseTiming {
    /// Creates the timing that sites use.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            renew: time::Duration::from_millis(RENEW_INTERVAL_MS),
            lease: time::Duration::from_millis(LEASE_MS),
            authority: time::Duration::from_millis(AUTHORITY_MS),
            margin: time::Duration::from_millis(CLOCK_MARGIN_MS),
            table_lease: time::Duration::from_millis(TABLE_LEASE_MS),
        }
    }

    /// Changes the clock margin.
    #[must_use]
    pub const fn with_margin(mut self, margin: time::Duration) -> Self {
        self.margin = margin;
        self
    }

    /// Returns the lease's length in milliseconds.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        u64::try_from(self.lease.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self::new()
    }
}
