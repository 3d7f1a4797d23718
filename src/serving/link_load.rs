//! How much of a host's network link callers and servers use.
//!
//! A host that is cut off and one whose link is full look alike from its own calls: both time out. They
//! differ in the bytes that still arrive.

use std::collections;
use std::time;

use crate::clock;

/// The time over which the used rate is averaged, in milliseconds.
pub const WINDOW_MS: u64 = 1_000;
/// The part of its rate from which a link counts as full. Heads, acknowledgements and bodies that break off
/// are not counted among the bytes.
pub const FULL_FRACTION: f64 = 0.6;
/// For how long a link still counts as full afterwards, in milliseconds: packets wait on it meanwhile.
pub const FULL_HOLD_MS: u64 = 2_000;
/// Bytes a second of a link of one megabit a second.
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// The use of one link.
#[derive(Debug)]
pub struct LinkLoad {
    // The bytes in `WINDOW_MS` from which the link is full; none where its rate is not known.
    full_bytes: Option<f64>,
    // How many bytes had crossed the link in all, at times within `WINDOW_MS` before the last one.
    totals: collections::VecDeque<(clock::MonoTime, u64)>,
    full_until: Option<clock::MonoTime>,
}

impl LinkLoad {
    /// Creates the load of an unused link with this rate in megabits a second, where it is known.
    #[must_use]
    pub fn new(link_mbps: Option<u32>) -> Self {
        let window_s = time::Duration::from_millis(WINDOW_MS).as_secs_f64();
        let bytes_per_s = |mbps| f64::from(mbps) * BYTES_PER_S_PER_MBPS;
        Self {
            full_bytes: link_mbps.map(|mbps| bytes_per_s(mbps) * window_s * FULL_FRACTION),
            totals: collections::VecDeque::new(),
            full_until: None,
        }
    }

    /// Records that `total` bytes have crossed the link since the host started.
    pub fn note_total(&mut self, total: u64, now: clock::MonoTime) {
        let window = time::Duration::from_millis(WINDOW_MS);
        while self.totals.len() > 1 && now.since(self.totals[0].0) > window {
            self.totals.pop_front();
        }
        self.totals.push_back((now, total));
        let Some(full_bytes) = self.full_bytes else {
            return;
        };
        let used = total.saturating_sub(self.totals[0].1);
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let used = used as f64;
        if used >= full_bytes {
            self.full_until = Some(now + time::Duration::from_millis(FULL_HOLD_MS));
        }
    }

    /// Reports whether the link is full, or was so a short time ago.
    #[must_use]
    pub fn is_full(&self, now: clock::MonoTime) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}
