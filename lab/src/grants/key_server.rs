//! A simulated server that holds keys under grants, as the platform's pages describe it.

use std::time;

use zinniastack::clock;
use zinniastack::ownership::assignment;

/// A range of keys and the highest fence that the server has seen for it.
#[derive(Clone, Copy, Debug)]
struct FencedKeys {
    first: u16,
    last: u16,
    fence: u64,
}

/// A range of keys that the server holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldKeys {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fence under which they are held.
    pub fence: u64,
    /// When the hold expires, on the simulation's clock.
    pub until: clock::MonoTime,
}

/// An order to hold keys.
#[derive(Clone, Copy, Debug)]
pub struct HoldOrder {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fence of the grant.
    pub fence: u64,
    /// How long to hold the keys, counted from the order's arrival.
    pub hold: time::Duration,
    /// When the order arrived.
    pub arrived: clock::MonoTime,
    /// When the order is carried out, which may be later than its arrival.
    pub now: clock::MonoTime,
}

/// The result of a grant order at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The server holds the keys.
    Held,
    /// The hold had expired when the order was carried out, as it counts from the order's arrival.
    Expired,
    /// The server has seen a higher fence for some of the keys.
    Refused,
}

/// The state of one incarnation of a server.
#[derive(Debug)]
pub struct KeyServer {
    /// Which incarnation this is.
    pub incarnation: assignment::ServerIncarnation,
    slow_percent: u32,
    seen: Vec<FencedKeys>,
    held: Vec<HeldKeys>,
}

impl KeyServer {
    /// Creates a server that holds no keys, whose clock runs `slow_percent` percent slow.
    #[must_use]
    pub const fn new(incarnation: assignment::ServerIncarnation, slow_percent: u32) -> Self {
        Self {
            incarnation,
            slow_percent,
            seen: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Carries out a grant order.
    pub fn grant(&mut self, order: &HoldOrder) -> GrantResult {
        if self.has_seen_higher_fence(order.first, order.last, order.fence) {
            return GrantResult::Refused;
        }
        self.record_fence(order.first, order.last, order.fence);
        let hold = order.hold + order.hold * self.slow_percent / 100;
        let until = order.arrived + hold;
        if until <= order.now {
            return GrantResult::Expired;
        }
        let longer = self.held.iter().any(|held| {
            let covers = held.first <= order.first && order.last <= held.last;
            covers && held.fence == order.fence && held.until >= until
        });
        // An order that is carried out late does not shorten the hold of a newer one.
        if longer {
            return GrantResult::Held;
        }
        self.remove_held(order.first, order.last);
        self.held.push(HeldKeys {
            first: order.first,
            last: order.last,
            fence: order.fence,
            until,
        });
        GrantResult::Held
    }

    /// Carries out a release order.
    pub fn release(&mut self, first: u16, last: u16, fence: u64) {
        self.record_fence(first, last, fence);
        self.remove_held(first, last);
    }

    /// Returns the key ranges that the server holds at `now`.
    pub fn held(&self, now: clock::MonoTime) -> impl Iterator<Item = &HeldKeys> {
        self.held.iter().filter(move |held| now < held.until)
    }

    fn has_seen_higher_fence(&self, first: u16, last: u16, fence: u64) -> bool {
        let overlapping = self
            .seen
            .iter()
            .filter(|s| overlaps(s.first, s.last, first, last));
        overlapping.clone().any(|seen| seen.fence > fence)
    }

    fn record_fence(&mut self, first: u16, last: u16, fence: u64) {
        self.seen
            .retain(|s| s.fence > fence || s.first < first || s.last > last);
        self.seen.push(FencedKeys { first, last, fence });
    }

    // Removes a range of keys from the held ranges, splitting those that extend beyond it.
    fn remove_held(&mut self, first: u16, last: u16) {
        let held = std::mem::take(&mut self.held);
        for keys in held {
            if !overlaps(keys.first, keys.last, first, last) {
                self.held.push(keys);
                continue;
            }
            if keys.first < first {
                self.held.push(HeldKeys {
                    last: first - 1,
                    ..keys
                });
            }
            if keys.last > last {
                self.held.push(HeldKeys {
                    first: last + 1,
                    ..keys
                });
            }
        }
    }
}

/// Reports whether two ranges of keys have a key in common.
#[must_use]
pub const fn overlaps(first: u16, last: u16, other_first: u16, other_last: u16) -> bool {
    first <= other_last && other_first <= last
}
