//! Follows one topic of the store: the newest records, then what comes after them.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;

/// How long a reader waits after a failed call, in milliseconds.
pub const RETRY_MS: u64 = 200;

/// What a reader passes on.
#[derive(Debug)]
pub enum StoreUpdate {
    /// All records, in place of what was known.
    Snapshot(ports::StoreSnapshot),
    /// Records that came since.
    Batch(ports::StoreBatch),
    /// There was nothing newer at that time, when the call was sent.
    Nothing(clock::MonoTime),
    /// A call failed.
    Failed(ports::StoreError),
}

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace {
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
    pace: impl Fn() -> ReadPace,
    tell: impl Fn(StoreUpdate),
) {
    loop {
        let snapshot = match store.newest(topic).await {
            Ok(snapshot) => snapshot,
            Err(fault) => {
                tell(StoreUpdate::Failed(fault));
                tokio::time::sleep(time::Duration::from_millis(RETRY_MS)).await;
                continue;
            }
        };
        let mut from = snapshot.end;
        tell(StoreUpdate::Snapshot(snapshot));
        loop {
            let sent = clock.now();
            match store.read(topic, from, pace().wait).await {
                Ok(batch) if batch.records.is_empty() => tell(StoreUpdate::Nothing(sent)),
                Ok(batch) => {
                    from = batch.next;
                    tell(StoreUpdate::Batch(batch));
                    tokio::time::sleep(pace().pause).await;
                }
                Err(ports::StoreError::Gone { .. }) => break,
                Err(fault) => {
                    tell(StoreUpdate::Failed(fault));
                    tokio::time::sleep(time::Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }
}
