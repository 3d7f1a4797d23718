//! Paces the departure of key ranges from servers of evacuated failure domains: the busiest ranges leave
//! first, in equal parts of the load, and all of them within a fraction of the bound.

use std::collections;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;

/// Within which fraction of the bound all ranges begin to leave. A range needs some 300 ms more: an append,
/// a release, a grant and another append. Hosts send to the holders for 0.4 of the bound.
pub const DEPARTURE_FRACTION: f64 = 0.2;
/// The time between two departures, as a fraction of the bound.
pub const ROUND_FRACTION: f64 = 0.05;

/// The servers whose ranges leave step by step.
pub type LeavingServers = collections::BTreeSet<assignment::ServerIncarnation>;

/// The first keys of the ranges that stay with their holders for now.
pub type StayingRanges = collections::BTreeSet<u16>;

#[derive(Clone, Copy, Debug)]
struct DepartureState {
    // By when the last ranges leave.
    until: clock::MonoTime,
    next_at: clock::MonoTime,
}

/// The departures of all services.
#[derive(Debug, Default)]
pub struct DeparturePacing {
    services: collections::BTreeMap<names::ServiceName, DepartureState>,
}

impl DeparturePacing {
    /// Creates the state of a granter that moves nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns which ranges of a service stay with servers that are `leaving` in the plan at `now`. The time
    /// for all of them begins with the first plan, also with that of a successor.
    pub fn staying(
        &mut self,
        service: &names::ServiceName,
        ranges: &[assignment::RangeEntry],
        leaving: &LeavingServers,
        loads: &key_load::LoadMap,
        bound: time::Duration,
        now: clock::MonoTime,
    ) -> StayingRanges {
        let held = ranges.iter();
        let held = held.filter(|range| leaving.contains(&range.holder.life));
        let mut held: Vec<_> = held
            .map(|range| (loads.range(range.first, range.last), range.first))
            .collect();
        if held.is_empty() {
            self.services.remove(service);
            return StayingRanges::new();
        }
        let round = bound.mul_f64(ROUND_FRACTION);
        let state = self.services.entry(service.clone());
        let state = state.or_insert_with(|| DepartureState {
            until: now + bound.mul_f64(DEPARTURE_FRACTION),
            next_at: now,
        });
        if now < state.next_at {
            return held.into_iter().map(|(_, first)| first).collect();
        }
        state.next_at = now + round;
        let rounds = rounds_left(state.until.since(now), round);
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        let load: f64 = held.iter().map(|(load, _)| load).sum();
        let count = departing_count(&held, load / f64::from(rounds), rounds);
        held.into_iter()
            .skip(count)
            .map(|(_, first)| first)
            .collect()
    }
}

// How many departures are left, with the present one.
fn rounds_left(left: time::Duration, round: time::Duration) -> u32 {
    let whole = left.as_millis() / round.as_millis().max(1);
    u32::try_from(whole).unwrap_or(u32::MAX).saturating_add(1)
}

// How many of the ranges leave: as many as have the load wanted, and at least an equal part of them, since
// most ranges may have little load.
fn departing_count(held: &[(f64, u16)], wanted: f64, rounds: u32) -> usize {
    let rounds = usize::try_from(rounds).unwrap_or(usize::MAX);
    let least = held.len().div_ceil(rounds);
    let mut load = 0.0;
    let by_load = held.iter().take_while(|(own, _)| {
        let is_wanted = load < wanted;
        load += own;
        is_wanted
    });
    by_load.count().max(least).min(held.len())
}
