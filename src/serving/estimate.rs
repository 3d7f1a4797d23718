//! Moving averages of a server's service time and failure rate, from the requests of this host.

use std::time;

use crate::clock;

/// Weight of the newest service time in the moving average.
pub const SERVICE_TIME_WEIGHT: f64 = 0.08;
/// Weight of the newest outcome in the moving average of the failure rate.
pub const FAILURE_WEIGHT: f64 = 0.1;
/// Back-off after the first failed connection to a server, in milliseconds; doubled with each
/// further one.
pub const CONNECT_BACKOFF_MS: u64 = 250;
/// Upper bound of the back-off, in milliseconds.
pub const MAX_CONNECT_BACKOFF_MS: u64 = 2_000;

/// The outcome of an exchange with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The server responded.
    Answered,
    /// The server responded with an error of its own.
    Failed,
    /// The server did not run the request because it had no free slot.
    Full,
    /// The server did not run the request because it does not hold the key or is not the intended
    /// server.
    WrongServer,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The connection could not be opened.
    Unsent,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}

/// The estimates of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerEstimate {
    service_ms: Option<f64>,
    failure_rate: f64,
    backoff: Option<time::Duration>,
    backoff_until: Option<clock::MonoTime>,
}

impl ServerEstimate {
    /// Creates the estimates of a server without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of an exchange that lasted `elapsed`.
    pub fn note(&mut self, end: ExchangeEnd, elapsed: time::Duration, now: clock::MonoTime) {
        match end {
            ExchangeEnd::Answered => self.note_time(elapsed, SERVICE_TIME_WEIGHT),
            // The request would have taken at least as long.
            ExchangeEnd::Cancelled if self.service_ms.is_none_or(|ms| millis(elapsed) > ms) => {
                self.note_time(elapsed, SERVICE_TIME_WEIGHT);
            }
            _ => {}
        }
        let failed = match end {
            ExchangeEnd::Answered => 0.0,
            ExchangeEnd::Failed | ExchangeEnd::Broken | ExchangeEnd::Full | ExchangeEnd::Unsent => {
                1.0
            }
            ExchangeEnd::WrongServer | ExchangeEnd::Cancelled => return,
        };
        self.failure_rate += (failed - self.failure_rate) * FAILURE_WEIGHT;
        match end {
            ExchangeEnd::Unsent => self.back_off(now),
            ExchangeEnd::Answered => self.backoff = None,
            _ => {}
        }
    }

    fn note_time(&mut self, elapsed: time::Duration, weight: f64) {
        let newest = millis(elapsed);
        let known = self.service_ms.unwrap_or(newest);
        self.service_ms = Some(known + (newest - known) * weight);
    }

    fn back_off(&mut self, now: clock::MonoTime) {
        let first = time::Duration::from_millis(CONNECT_BACKOFF_MS);
        let longest = time::Duration::from_millis(MAX_CONNECT_BACKOFF_MS);
        let backoff = self.backoff.map_or(first, |last| (last * 2).min(longest));
        self.backoff = Some(backoff);
        self.backoff_until = Some(now + backoff);
    }

    /// Returns the mean service time, in milliseconds, once one was measured.
    #[must_use]
    pub const fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// Returns the failure rate of recent exchanges, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Reports whether the server gets no requests at `now` because of failed connections.
    #[must_use]
    pub fn is_backing_off(&self, now: clock::MonoTime) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }
}

fn millis(span: time::Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
