//! What servers report of their own load in their responses, and how long it is used.
//!
//! The load that this answers: many hosts send to a server, so that what one of them has running there says
//! little of its queue, and the speed of its machine changes from moment to moment. The figures change many
//! times a second, so a report is used for a short time only. A server that fails, or that has requests of
//! this host and responds to none, is not believed.

use std::time;

use crate::clock;

/// Age from which a report is ignored, in milliseconds: some two service times, in which the queue that it
/// describes has been worked off.
pub const LOAD_STALE_MS: u64 = 400;
/// Failure rate of recent exchanges from which a server's reports are ignored: two failures within a few
/// requests. A server that fails at once reports itself idle.
pub const UNTRUSTED_FAILURE_RATE: f64 = 0.15;
/// Number of service times without a response to any of this host's requests from which a server counts as
/// stalled.
pub const STALL_SERVICE_TIMES: f64 = 3.0;
/// Upper bound of a believable number of requests or slots.
pub const MAX_COUNT: u32 = 100_000;
/// Upper bound of a believable pace, in percent.
pub const MAX_PACE_PERCENT: u32 = 10_000;

/// The load that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    running: u32,
    waiting: u32,
    slots: u32,
    pace_percent: u32,
}

impl ServerLoad {
    /// Creates a report of a machine at its usual pace, unless a figure is not believable.
    #[must_use]
    pub const fn new(running: u32, waiting: u32, slots: u32) -> Option<Self> {
        if running > MAX_COUNT || waiting > MAX_COUNT || slots == 0 || slots > MAX_COUNT {
            return None;
        }
        Some(Self {
            running,
            waiting,
            slots,
            pace_percent: 100,
        })
    }

    /// Sets the time that work takes at the moment, in percent of the usual time, unless it is not
    /// believable.
    #[must_use]
    pub const fn with_pace(mut self, percent: u32) -> Option<Self> {
        if percent == 0 || percent > MAX_PACE_PERCENT {
            return None;
        }
        self.pace_percent = percent;
        Some(self)
    }

    /// Returns the time that work takes at the moment, relative to the usual time.
    #[must_use]
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent) / 100.0
    }

    /// Returns the number of requests at the server, relative to its slots.
    #[must_use]
    pub fn fill(&self) -> f64 {
        f64::from(self.running) / f64::from(self.slots)
            + f64::from(self.waiting) / f64::from(self.slots)
    }

    /// Returns how long a further request waits at the server for one of its slots, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, service_ms: f64) -> f64 {
        let ahead = f64::from(self.running) + f64::from(self.waiting) + 1.0;
        let queued = (ahead - f64::from(self.slots)).max(0.0);
        queued / f64::from(self.slots) * service_ms * self.pace()
    }
}

/// What a response says of its server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadHeader {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is malformed or not believable.
    Malformed,
    /// The load.
    Stated(ServerLoad),
}

/// The newest load report of one server, and whether it is believed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    newest: Option<(ServerLoad, clock::MonoTime)>,
    // When this host's requests at the server last made progress, while there are any.
    progress_at: Option<clock::MonoTime>,
}

impl LoadState {
    /// Creates the state of a server without a report.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            newest: None,
            progress_at: None,
        }
    }

    /// Records a report.
    pub const fn note(&mut self, load: ServerLoad, now: clock::MonoTime) {
        self.newest = Some((load, now));
    }

    /// Records that a request was sent, or one of `running` ended.
    pub const fn note_progress(&mut self, running: u32, now: clock::MonoTime) {
        self.progress_at = if running > 0 { Some(now) } else { None };
    }

    /// Records that a request was sent; the time without a response counts from the first.
    pub fn note_start(&mut self, now: clock::MonoTime) {
        self.progress_at.get_or_insert(now);
    }

    /// Returns the newest report unless it is old, or the server fails or stalls.
    #[must_use]
    pub fn believed(
        &self,
        failure_rate: f64,
        service_ms: f64,
        now: clock::MonoTime,
    ) -> Option<&ServerLoad> {
        let (load, received_at) = self.newest.as_ref()?;
        let is_old = now.since(*received_at) >= time::Duration::from_millis(LOAD_STALE_MS);
        let silent_ms = self
            .progress_at
            .map_or(0.0, |at| now.since(at).as_secs_f64() * 1_000.0);
        let is_stalled = silent_ms > service_ms * STALL_SERVICE_TIMES * load.pace().max(1.0);
        let is_failing = failure_rate >= UNTRUSTED_FAILURE_RATE;
        (!is_old && !is_stalled && !is_failing).then_some(load)
    }
}
