//! The times of a host's graceful shutdown.

use std::time;

use crate::clock;

/// How long a stopping host goes on accepting requests, in milliseconds. The platform takes a host
/// out of use after two failed readiness checks, which are one second apart.
pub const LAME_DUCK_MS: u64 = 2_600;
/// The part of the grace period that is kept in reserve for sending the last responses and for the end
/// of the process, in milliseconds.
pub const SHUTDOWN_MARGIN_MS: u64 = 400;

/// The times of a shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// From when new requests are refused.
    pub closes_at: clock::MonoTime,
    /// By when each request has its response.
    pub ends_at: clock::MonoTime,
}

impl ShutdownTimes {
    /// Creates the times of a shutdown that begins at `now` and ends the process within `grace`.
    #[must_use]
    pub fn new(now: clock::MonoTime, grace: time::Duration) -> Self {
        let limit = grace.saturating_sub(time::Duration::from_millis(SHUTDOWN_MARGIN_MS));
        let lame_duck = time::Duration::from_millis(LAME_DUCK_MS).min(limit);
        Self {
            closes_at: now + lame_duck,
            ends_at: now + limit,
        }
    }

    /// Reports whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self, now: clock::MonoTime) -> bool {
        now >= self.closes_at
    }
}
