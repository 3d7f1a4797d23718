//! The mapping from keys to shards.

use xxhash_rust::xxh3;

use crate::names;

/// Returns the index of the shard that holds a key. The result depends only on the service, the key
/// and the number of shards.
#[must_use]
pub fn shard_of(service: &names::ServiceName, key: &str, shards: u32) -> u32 {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    let hash = xxh3::xxh3_64_with_seed(key.as_bytes(), seed);
    let scaled = (u128::from(hash) * u128::from(shards)) >> u64::BITS;
    u32::try_from(scaled).unwrap_or(0)
}
