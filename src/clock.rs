//! Monotonic time as the decision modules see it.

use std::ops;
use std::time;

/// A point on one process's monotonic clock, in microseconds since its own origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Creates a point `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time from `earlier` to `self`, zero where `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `span` before this one, or the origin.
    #[must_use]
    pub fn saturating_sub(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl ops::Add<time::Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A source of monotonic time.
pub trait MonoClock {
    /// Returns the current time.
    fn now(&self) -> MonoTime;
}

/// The machine's clock since boot, which goes on while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: time::Duration,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl MonoClock for SystemClock {
    fn now(&self) -> MonoTime {
        MonoTime(micros(since_boot().saturating_sub(self.origin)))
    }
}

// The steady clock stops while a machine is suspended; a lease at a server does not.
fn since_boot() -> time::Duration {
    let read = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(read.tv_nsec).unwrap_or(0);
    time::Duration::new(seconds, nanos)
}
