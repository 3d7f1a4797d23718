//! The confirmation of the granter's right that orders over new connections wait for.
//!
//! An order names a server and not its start. A connection leads to one process and ends with it, so
//! an order goes over a connection that was opened while no other host had claimed the granter role:
//! what a later granter releases is released at the same process, which refuses the order then. One
//! over which the process has run a request for the range needs no confirmation.

use std::time;

use crate::clock;
use crate::ownership::granter;
use crate::ownership::order;

/// Delay after a confirmation before the next one, in milliseconds.
pub const CONFIRM_PAUSE_MS: u64 = 20;
/// The same after one that failed.
pub const CONFIRM_RETRY_MS: u64 = 150;
/// Delay before an order that was withheld is tried without a confirmation, in milliseconds: another
/// connection may be free again, or the server may have ended.
pub const WITHHELD_RETRY_MS: u64 = 500;

/// Which confirmation is needed, and whether one is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoleConfirmation {
    // The right must be confirmed at this time or later.
    required: clock::MonoTime,
    is_running: bool,
    next_at: clock::MonoTime,
}

impl RoleConfirmation {
    pub(super) const fn new() -> Self {
        let origin = clock::MonoTime::from_micros(0);
        Self {
            required: origin,
            is_running: false,
            next_at: origin,
        }
    }

    pub(super) fn require(&mut self, at: clock::MonoTime) {
        self.required = self.required.max(at);
    }

    // Reports whether a confirmation has to be sent now, and takes note of it.
    pub(super) fn begin(&mut self, confirmed: clock::MonoTime, now: clock::MonoTime) -> bool {
        let is_due = confirmed < self.required && now >= self.next_at;
        let begins = is_due && !self.is_running;
        self.is_running |= begins;
        begins
    }

    const fn end(&mut self, next_at: clock::MonoTime) {
        self.is_running = false;
        self.next_at = next_at;
    }
}

impl granter::KeyGranter {
    // Handles an order that was withheld: it goes out once the right has been confirmed after that.
    // Reports whether it had not been withheld before.
    pub(super) fn note_withheld(&mut self, range: &order::RangeId, now: clock::MonoTime) -> bool {
        let confirmed = self.election.confirmed();
        let Some(tracked) = self.tracked_ranges.get_mut(range) else {
            return false;
        };
        let before = tracked.withheld_at.filter(|at| confirmed < *at);
        let since = before.unwrap_or(now);
        tracked.in_flight = false;
        tracked.withheld_at = Some(since);
        tracked.next_order_at = now + time::Duration::from_millis(WITHHELD_RETRY_MS);
        self.confirmation.require(since);
        before.is_none()
    }

    /// Records that the confirmation that the granter asked for has ended, and whether the log held
    /// nothing new. What was read is reported like any other read.
    pub fn note_confirmation_ended(&mut self, is_unchanged: bool, now: clock::MonoTime) {
        let pause_ms = if is_unchanged {
            CONFIRM_PAUSE_MS
        } else {
            CONFIRM_RETRY_MS
        };
        let pause = time::Duration::from_millis(pause_ms);
        self.confirmation.end(now + pause);
    }
}
