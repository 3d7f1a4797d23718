//! Each shard's request rate at one host, as an exponential moving average over counting intervals.

use std::collections;

use crate::names;
use crate::peer;

/// The weight of the newest interval in the moving average.
pub const SMOOTHING_FACTOR: f64 = 0.3;
/// The rate below which a shard is no longer tracked, in requests per second.
pub const MIN_RATE_PER_S: f64 = 0.5;

/// The request rates of the shards that were used lately.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    rates: collections::BTreeMap<names::ShardId, f64>,
}

impl LoadEstimator {
    /// Creates an estimator without shards.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the rates counted in one interval. A shard that is not listed had no requests.
    pub fn note(&mut self, counted: &[peer::ShardLoad]) {
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - SMOOTHING_FACTOR;
        }
        for load in counted {
            let rate = self.rates.entry(load.shard.clone()).or_default();
            *rate += load.rate * SMOOTHING_FACTOR;
        }
        self.rates.retain(|_, rate| *rate >= MIN_RATE_PER_S);
    }

    /// Returns the smoothed rate of each shard.
    pub fn loads(&self) -> impl Iterator<Item = peer::ShardLoad> {
        self.rates.iter().map(|(shard, rate)| peer::ShardLoad {
            shard: shard.clone(),
            rate: *rate,
        })
    }

    /// Returns the shards with the highest rates, at most `count`.
    #[must_use]
    pub fn heaviest(&self, count: usize) -> Vec<peer::ShardLoad> {
        let mut loads: Vec<_> = self.loads().collect();
        loads.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        loads.truncate(count);
        loads
    }
}
