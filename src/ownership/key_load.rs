//! The load of each key, as the hosts measure it.

use std::collections;

use crate::names;

/// Weight of the newest report in the quick moving average, which detects sudden load.
pub const QUICK_WEIGHT: f64 = 0.5;
/// Weight of the newest report in the steady moving average, which ordinary balancing uses.
pub const STEADY_WEIGHT: f64 = 0.1;
/// Load below which a key is dropped from the estimate, in busy slots.
pub const MIN_KEY_LOAD: f64 = 0.002;
/// Fraction of the measured load that is spread evenly over all keys, so that idle keys count too.
pub const IDLE_LOAD_FRACTION: f64 = 0.1;

/// The load of one key in one report.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyLoad {
    /// The key.
    pub key: u16,
    /// The load, in slots that the key kept busy on average.
    pub busy: f32,
}

/// A moving average of the load of each key of one service.
#[derive(Clone, Debug)]
pub struct LoadMap {
    weight: f64,
    busy: collections::BTreeMap<u16, f64>,
    total: f64,
}

impl LoadMap {
    /// Creates a map without load, in which the newest report has the given weight, from 0 to 1.
    #[must_use]
    pub const fn new(weight: f64) -> Self {
        Self {
            weight,
            busy: collections::BTreeMap::new(),
            total: 0.0,
        }
    }

    /// Adds a report, the sum over all hosts, to the moving average.
    pub fn note(&mut self, report: &[KeyLoad]) {
        let keep = 1.0 - self.weight;
        for busy in self.busy.values_mut() {
            *busy *= keep;
        }
        for key_load in report {
            *self.busy.entry(key_load.key).or_default() += f64::from(key_load.busy) * self.weight;
        }
        self.busy.retain(|_, busy| *busy > MIN_KEY_LOAD);
        self.total = self.busy.values().sum();
    }

    /// Returns the load of the keys from `first` to `last`, in busy slots.
    #[must_use]
    pub fn range(&self, first: u16, last: u16) -> f64 {
        let keys = f64::from(u32::from(last) - u32::from(first) + 1);
        let measured: f64 = self.busy.range(first..=last).map(|(_, busy)| busy).sum();
        measured + self.idle() * keys
    }

    /// Returns the last key of the longest sub-range that begins at `first` and has a load of at
    /// most `max_load`; none where the first key alone exceeds it.
    #[must_use]
    pub fn head_within(&self, first: u16, last: u16, max_load: f64) -> Option<u16> {
        let idle = self.idle();
        let mut load = 0.0;
        let mut next = first;
        for (key, busy) in self.busy.range(first..=last) {
            let before = idle * f64::from(key - next);
            if load + before + idle + busy > max_load {
                return self.fill(next, key.checked_sub(1)?, first, max_load - load);
            }
            load += before + idle + busy;
            if *key == last {
                return Some(last);
            }
            next = key + 1;
        }
        self.fill(next, last, first, max_load - load)
    }

    /// Returns the first key of the longest sub-range that ends at `last` and has a load of at most
    /// `max_load`; none where the last key alone exceeds it.
    #[must_use]
    pub fn tail_within(&self, first: u16, last: u16, max_load: f64) -> Option<u16> {
        let idle = self.idle();
        let mut load = 0.0;
        let mut from = None;
        for (key, busy) in self.busy.range(first..=last).rev() {
            let end = from.map_or(last, |from: u16| from - 1);
            let after = idle * f64::from(end - key);
            if load + after + idle + busy > max_load {
                return (*key < end).then(|| key + 1).or(from);
            }
            load += after + idle + busy;
            from = Some(*key);
        }
        Some(first)
    }

    /// Returns the key with the highest measured load in a range, and its load.
    #[must_use]
    pub fn busiest_key(&self, first: u16, last: u16) -> Option<(u16, f64)> {
        let keys = self
            .busy
            .range(first..=last)
            .map(|(key, busy)| (*key, *busy));
        keys.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    // Returns the last of as many idle keys from `next` to `last` as fit into `max_load`.
    fn fill(&self, next: u16, last: u16, first: u16, max_load: f64) -> Option<u16> {
        let before = next.checked_sub(1).filter(|before| *before >= first);
        if next > last {
            return before;
        }
        let idle = self.idle();
        let keys = f64::from(last - next) + 1.0;
        if idle * keys <= max_load {
            return Some(last);
        }
        let fitting = (max_load / idle).floor().clamp(0.0, keys);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "within the range"
        )]
        let fitting = fitting as u16;
        match fitting {
            0 => before,
            fitting => Some(next + (fitting - 1)),
        }
    }

    // The load that is assumed of each idle key.
    fn idle(&self) -> f64 {
        (self.total * IDLE_LOAD_FRACTION + 0.01) / 65_536.0
    }
}

/// Both moving averages of one service.
#[derive(Clone, Debug)]
pub struct KeyLoadMaps {
    /// Detects sudden load.
    pub quick: LoadMap,
    /// The base of ordinary balancing.
    pub steady: LoadMap,
}

impl KeyLoadMaps {
    /// Creates maps without load.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            quick: LoadMap::new(QUICK_WEIGHT),
            steady: LoadMap::new(STEADY_WEIGHT),
        }
    }

    /// Adds a report, the sum over all hosts, to both averages.
    pub fn note(&mut self, report: &[KeyLoad]) {
        self.quick.note(report);
        self.steady.note(report);
    }
}

impl Default for KeyLoadMaps {
    fn default() -> Self {
        Self::new()
    }
}

/// The moving averages of all services.
pub type ServiceLoad = collections::BTreeMap<names::ServiceName, KeyLoadMaps>;
