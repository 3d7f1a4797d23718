//! How much work each key brings, as the hosts measure it.

use std::collections;

use crate::names;

/// The weight of the newest report in the estimate that finds heat quickly.
pub const QUICK_WEIGHT: f64 = 0.5;
/// The weight of the newest report in the estimate that ordinary balance rests on.
pub const STEADY_WEIGHT: f64 = 0.1;
/// The work below which a key is forgotten, in slots.
pub const FORGOTTEN_BUSY: f64 = 0.002;
/// The part of the measured work that is assumed of all keys together, so that quiet keys count.
pub const IDLE_PART: f64 = 0.1;

/// The work of one key in one report.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyLoad {
    /// The key.
    pub key: u16,
    /// The work, in slots that were busy on average.
    pub busy: f32,
}

/// The running estimate for the keys of one service.
#[derive(Clone, Debug)]
pub struct LoadMap {
    weight: f64,
    busy: collections::BTreeMap<u16, f64>,
    total: f64,
}

impl LoadMap {
    /// Creates a map without work, in which the newest report has `weight`.
    #[must_use]
    pub const fn new(weight: f64) -> Self {
        Self {
            weight,
            busy: collections::BTreeMap::new(),
            total: 0.0,
        }
    }

    /// Takes the sum of the hosts' newest reports.
    pub fn note(&mut self, report: &[KeyLoad]) {
        let keep = 1.0 - self.weight;
        for busy in self.busy.values_mut() {
            *busy *= keep;
        }
        for heat in report {
            *self.busy.entry(heat.key).or_default() += f64::from(heat.busy) * self.weight;
        }
        self.busy.retain(|_, busy| *busy > FORGOTTEN_BUSY);
        self.total = self.busy.values().sum();
    }

    /// Returns the work of the keys from `first` to `last`.
    #[must_use]
    pub fn range(&self, first: u16, last: u16) -> f64 {
        let keys = f64::from(u32::from(last) - u32::from(first) + 1);
        let measured: f64 = self.busy.range(first..=last).map(|(_, busy)| busy).sum();
        measured + self.idle() * keys
    }

    /// Returns the last key of the longest part of a range that begins with `first` and has at most
    /// `most` work; none where its first key has more.
    #[must_use]
    pub fn head_within(&self, first: u16, last: u16, most: f64) -> Option<u16> {
        let idle = self.idle();
        let mut work = 0.0;
        let mut next = first;
        for (key, busy) in self.busy.range(first..=last) {
            let before = idle * f64::from(key - next);
            if work + before + idle + busy > most {
                return self.fill(next, key.checked_sub(1)?, first, most - work);
            }
            work += before + idle + busy;
            if *key == last {
                return Some(last);
            }
            next = key + 1;
        }
        self.fill(next, last, first, most - work)
    }

    /// Returns the first key of the longest part of a range that ends with `last` and has at most
    /// `most` work; none where its last key has more.
    #[must_use]
    pub fn tail_within(&self, first: u16, last: u16, most: f64) -> Option<u16> {
        let idle = self.idle();
        let mut work = 0.0;
        let mut from = None;
        for (key, busy) in self.busy.range(first..=last).rev() {
            let end = from.map_or(last, |from: u16| from - 1);
            let after = idle * f64::from(end - key);
            if work + after + idle + busy > most {
                return (*key < end).then(|| key + 1).or(from);
            }
            work += after + idle + busy;
            from = Some(*key);
        }
        Some(first)
    }

    /// Returns the key of a range with the most work, and its work.
    #[must_use]
    pub fn hottest_key(&self, first: u16, last: u16) -> Option<(u16, f64)> {
        let keys = self
            .busy
            .range(first..=last)
            .map(|(key, busy)| (*key, *busy));
        keys.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    // As many quiet keys from `next` to `last` as fit into `most`.
    fn fill(&self, next: u16, last: u16, first: u16, most: f64) -> Option<u16> {
        let before = next.checked_sub(1).filter(|before| *before >= first);
        if next > last {
            return before;
        }
        let idle = self.idle();
        let keys = f64::from(last - next) + 1.0;
        if idle * keys <= most {
            return Some(last);
        }
        let fitting = (most / idle).floor().clamp(0.0, keys);
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

    // The work that is assumed of each key.
    fn idle(&self) -> f64 {
        (self.total * IDLE_PART + 0.01) / 65_536.0
    }
}

/// The estimates of one service.
#[derive(Clone, Debug)]
pub struct KeyLoadMaps {
    /// The one that finds heat quickly.
    pub quick: LoadMap,
    /// The one that ordinary balance rests on.
    pub steady: LoadMap,
}

impl KeyLoadMaps {
    /// Creates maps without work.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            quick: LoadMap::new(QUICK_WEIGHT),
            steady: LoadMap::new(STEADY_WEIGHT),
        }
    }

    /// Takes the sum of the hosts' newest reports.
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

/// The maps of all services.
pub type ServiceLoad = collections::BTreeMap<names::ServiceName, KeyLoadMaps>;
