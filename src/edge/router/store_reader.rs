//! Follows one topic of the store while this host reads it: a snapshot first where the host has
//! none, then the records after those that it has.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;
use crate::serving::topic;

/// The pause after a failed call, in milliseconds; doubled with each further one.
pub const RETRY_DELAY_MS: u64 = 200;
/// Upper bound of that pause, in milliseconds.
pub const MAX_RETRY_DELAY_MS: u64 = 800;

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

/// Why a topic is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPurpose {
    /// To get the newest record of each key.
    Snapshot,
    /// To wait for records.
    Wait,
}

impl ReadPurpose {
    /// Returns the purpose's name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Snapshot => "snapshot",
            Self::Wait => "wait",
        }
    }
}

/// The next read of a topic.
#[derive(Clone, Copy, Debug)]
pub struct ReadPosition {
    /// How long the store waits for new records before it returns none.
    pub wait: time::Duration,
    /// The pause after a read that returned records, so that the next read returns more at once.
    pub pause: time::Duration,
    /// The offset from which to read on; `None` where a snapshot is needed.
    pub from: Option<u64>,
}

/// Follows a topic while `is_reading` holds, until the process ends. Starts over with a snapshot where
/// the store no longer keeps the next records, and after a failed read: by then the snapshot is
/// shorter than the records that it replaces.
pub async fn follow<S: ports::StorePort>(
    store: S,
    topic: topic::StoreTopic,
    clock: clock::SystemClock,
    mut is_reading: tokio::sync::watch::Receiver<bool>,
    position: impl Fn() -> ReadPosition,
    on_update: impl Fn(ReadPurpose, StoreUpdate),
) {
    let mut needs_snapshot = false;
    let mut retry_delay = time::Duration::from_millis(RETRY_DELAY_MS);
    loop {
        // The control thread has ended where the sender is gone.
        if is_reading.wait_for(|is_reading| *is_reading).await.is_err() {
            return;
        }
        let sent = clock.now();
        let position = position();
        let from = position.from.filter(|_| !needs_snapshot);
        let purpose = from.map_or(ReadPurpose::Snapshot, |_| ReadPurpose::Wait);
        let (update, pause) = match from {
            None => match store.newest(topic).await {
                Ok(snapshot) => (StoreUpdate::Snapshot(snapshot), time::Duration::ZERO),
                Err(error) => (StoreUpdate::Failed(error), retry_delay),
            },
            Some(from) => match store.read(topic, from, position.wait).await {
                Ok(batch) if batch.next == from => {
                    (StoreUpdate::Unchanged(sent), time::Duration::ZERO)
                }
                Ok(batch) => (StoreUpdate::Batch(batch), position.pause),
                Err(ports::StoreError::Gone { .. }) => {
                    needs_snapshot = true;
                    continue;
                }
                Err(error) => (StoreUpdate::Failed(error), retry_delay),
            },
        };
        let failed = matches!(update, StoreUpdate::Failed(_));
        needs_snapshot = failed;
        let longest = time::Duration::from_millis(MAX_RETRY_DELAY_MS);
        retry_delay = if failed {
            (retry_delay * 2).min(longest)
        } else {
            time::Duration::from_millis(RETRY_DELAY_MS)
        };
        on_update(purpose, update);
        if pause > time::Duration::ZERO {
            tokio::time::sleep(pause).await;
        }
    }
}
