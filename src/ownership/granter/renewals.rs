//! When ranges are renewed: each at a phase of its own, so that the renewals of a large fleet do not fall due
//! all at once.
//!
//! Ranges that are granted together, as all of them are at the start, would otherwise be renewed in the same
//! tick for good. The granter then opens a connection to a server for each of its ranges, and its other duties
//! wait behind thousands of orders.

use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::ownership::order;

/// Returns when a range that was renewed at `now` is renewed next: at its phase within `interval`, at most
/// one interval later.
#[must_use]
pub fn due_at(
    range: &order::RangeId,
    interval: time::Duration,
    now: clock::MonoTime,
) -> clock::MonoTime {
    let interval_us = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
    let latest_us = (now + interval).as_micros();
    let phase_us = phase(range) % interval_us.max(1);
    let late_us = latest_us.saturating_sub(phase_us) % interval_us.max(1);
    clock::MonoTime::from_micros(latest_us - late_us)
}

fn phase(range: &order::RangeId) -> u64 {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.update(range.service.as_str().as_bytes());
    hasher.update(&range.first.to_le_bytes());
    hasher.digest()
}
