//! The intervals, lease lengths and time-outs behind leases and granters' authority.

use std::time;

/// The interval between renewals of a server's lease, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 100;
/// The length of a server's lease, counted from its token, in milliseconds.
pub const LEASE_MS: u64 = 1_100;
/// How long a round acknowledged by a majority of witnesses gives a granter authority, counted from
/// the sending of the round, in milliseconds.
pub const AUTHORITY_MS: u64 = 400;
/// The margin added to leases and authority because clocks run at different rates, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 50;
/// How long a host must not hear of a domain's granter before it tries to claim the domain, in
/// milliseconds. The candidate delays below are added to it.
pub const GRANTER_TIMEOUT_MS: u64 = 300;
/// The extra delay per position in the order of candidates, in milliseconds.
pub const CANDIDATE_STEP_MS: u64 = 40;
/// The extra delay of candidates outside the domain, in milliseconds.
pub const OUTSIDE_DELAY_MS: u64 = 150;
/// The age of the last contact from which a host does not count as able to claim, in milliseconds.
pub const CANDIDATE_STALE_MS: u64 = 400;
/// The extra delay of candidates outside a domain that has a host able to claim, in milliseconds.
pub const OUTSIDE_STANDBY_MS: u64 = 2_000;
/// The time within which a claim must reach a majority of witnesses, in milliseconds.
pub const CLAIM_TIMEOUT_MS: u64 = 150;
/// The interval between exchanges with peers, in milliseconds.
pub const EXCHANGE_INTERVAL_MS: u64 = 100;
/// The length of a table lease, which allows a host to send to unchecked servers, in milliseconds.
/// It is counted from when the host sent its request to the servers' granter.
pub const TABLE_LEASE_MS: u64 = 500;
/// The interval between reads of the log and between flushes of records, in milliseconds.
pub const LOG_INTERVAL_MS: u64 = 100;
/// The delay before a failed append is retried, in milliseconds.
pub const APPEND_RETRY_MS: u64 = 250;
/// How long a host counts as in contact after its last response from the log or a peer, in
/// milliseconds.
pub const CONTACT_TIMEOUT_MS: u64 = 5_000;

/// The durations that leases and authority depend on. All hosts of a site must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// The interval between renewals.
    pub renew: time::Duration,
    /// The length of a lease, counted from its token.
    pub lease: time::Duration,
    /// How long a round acknowledged by a majority gives authority, counted from its sending.
    pub authority: time::Duration,
    /// The margin for clocks that run at different rates.
    pub margin: time::Duration,
    /// The length of a table lease, counted from the sending of the request to the granter.
    pub table_lease: time::Duration,
}

impl LeaseTiming {
    /// Creates the timing with the default values of this module.
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

    /// Sets the margin for clock rates.
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
