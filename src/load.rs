//! What one host sends for each shard, smoothed over the intervals in which it was counted.

use std::collections;

use crate::names;
use crate::peer;

/// The weight of the newest interval.
pub const NEWEST_WEIGHT: f64 = 0.3;
/// The rate below which a shard is forgotten, in requests a second.
pub const MIN_RATE: f64 = 0.5;

/// The loads of shards.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    rates: collections::BTreeMap<names::ShardId, f64>,
}

impl LoadEstimator {
    /// Creates an empty book.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what was counted in one interval; shards without a count had no request.
    pub fn note(&mut self, counted: &[peer::ShardLoad]) {
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - NEWEST_WEIGHT;
        }
        for load in counted {
            let rate = self.rates.entry(load.shard.clone()).or_default();
            *rate += load.rate * NEWEST_WEIGHT;
        }
        self.rates.retain(|_, rate| *rate >= MIN_RATE);
    }

    /// Returns the loads.
    pub fn loads(&self) -> impl Iterator<Item = peer::ShardLoad> {
        self.rates.iter().map(|(shard, rate)| peer::ShardLoad {
            shard: shard.clone(),
            rate: *rate,
        })
    }

    /// Returns the heaviest loads, at most `count`.
    #[must_use]
    pub fn heaviest(&self, count: usize) -> Vec<peer::ShardLoad> {
        let mut loads: Vec<_> = self.loads().collect();
        loads.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        loads.truncate(count);
        loads
    }
}
