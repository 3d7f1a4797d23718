//! Follows one topic of the store: the newest records, then what comes after them.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;

/// How long a reader waits after a failed call, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 200;

/// What a reader passes on.
#[derive(Debug)]
pub enum StoreNews {
    /// All records, in place of what was known.
    Snapshot(ports::StoreSnapshot),
    /// Records that came since.
    Batch(ports::StoreBatch),
    /// There was nothing newer at that time, when the call was sent.
    Unchanged(clock::MonoTime),
    /// A call failed.
    Failed(ports::StoreFault),
}

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct ReadTiming {
    /// How long the store holds a call that finds nothing.
    pub wait: time::Duration,
    /// The pause after records came, in which more gather.
    pub pause: time::Duration,
}

/// Follows a topic for as long as the process runs.
pub async fn follow<S: ports::StorePort>(
    store: S,
    topic: ports::StoreTopic,
    clock: clock::SystemClock,
    timing: impl Fn() -> ReadTiming,
    on_update: impl Fn(StoreNews),
) {
    loop {
        let snapshot = match store.newest(topic).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                on_update(StoreNews::Failed(error));
                tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let mut from = snapshot.end;
        on_update(StoreNews::Snapshot(snapshot));
        loop {
            let sent = clock.now();
            match store.read(topic, from, timing().wait).await {
                Ok(batch) if batch.records.is_empty() => on_update(StoreNews::Unchanged(sent)),
                Ok(batch) => {
                    from = batch.next;
                    on_update(StoreNews::Batch(batch));
                    tokio::time::sleep(timing().pause).await;
                }
                Err(ports::StoreFault::Gone { .. }) => break,
                Err(error) => {
                    on_update(StoreNews::Failed(error));
                    tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        }
    }
}
