//! Follows one topic of the store: reads a snapshot, then the records after it.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;

/// The pause after a failed call, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 200;

/// What a reader reports.
#[derive(Debug)]
pub enum StoreUpdate {
    /// The newest record of each key, which replaces all earlier ones.
    Snapshot(ports::StoreSnapshot),
    /// Records that were appended since the last update.
    Batch(ports::StoreBatch),
    /// The read that was sent at this time returned no new records.
    Unchanged(clock::MonoTime),
    /// A call to the store failed.
    Failed(ports::StoreError),
}

/// The timing of the reads of a topic.
#[derive(Clone, Copy, Debug)]
pub struct ReadTiming {
    /// How long the store waits for new records before it returns none.
    pub wait: time::Duration,
    /// The pause after a read that returned records, so that the next read returns more at once.
    pub pause: time::Duration,
    /// The offset below which all records are outdated: the next read starts there at the earliest.
    pub outdated_before: u64,
}

/// Follows a topic until the process ends. Starts over with a snapshot where the store no longer
/// keeps the next records, and after a failed read: by then the snapshot is shorter than the records
/// that it replaces.
pub async fn follow<S: ports::StorePort>(
    store: S,
    topic: ports::StoreTopic,
    clock: clock::SystemClock,
    timing: impl Fn() -> ReadTiming,
    on_update: impl Fn(StoreUpdate),
) {
    loop {
        let snapshot = match store.newest(topic).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                on_update(StoreUpdate::Failed(error));
                tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let mut from = snapshot.end;
        on_update(StoreUpdate::Snapshot(snapshot));
        loop {
            let sent = clock.now();
            let timing = timing();
            from = from.max(timing.outdated_before);
            match store.read(topic, from, timing.wait).await {
                Ok(batch) if batch.records.is_empty() => on_update(StoreUpdate::Unchanged(sent)),
                Ok(batch) => {
                    from = batch.next;
                    on_update(StoreUpdate::Batch(batch));
                    tokio::time::sleep(timing.pause).await;
                }
                Err(ports::StoreError::Gone { .. }) => break,
                Err(error) => {
                    on_update(StoreUpdate::Failed(error));
                    tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
                    break;
                }
            }
        }
    }
}
