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
    /// The newest record of each key, which replaces all earlier ones, by a read sent at this time.
    Snapshot(ports::StoreSnapshot, clock::MonoTime),
    /// Records that were appended since the last update, by a read sent at this time.
    Batch(ports::StoreBatch, clock::MonoTime),
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
    /// To confirm at once that there are no new records.
    Confirm,
}

impl ReadPurpose {
    /// Returns the purpose's name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Snapshot => "snapshot",
            Self::Wait => "wait",
            Self::Confirm => "confirm",
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
    /// The position from which to read on; `None` where a snapshot is needed.
    pub from: Option<topic::LogPosition>,
}

/// What a reader follows.
#[derive(Clone, Debug)]
pub struct ReadSource<S> {
    /// The store's client.
    pub store: S,
    /// The topic.
    pub topic: topic::StoreTopic,
    /// The clock.
    pub clock: clock::SystemClock,
    /// Whether this host reads the topic.
    pub is_reading: tokio::sync::watch::Receiver<bool>,
    /// The highest era of the store that this host or another has seen.
    pub era: tokio::sync::watch::Receiver<u64>,
}

/// Follows a topic while this host reads it, until the process ends. Starts over with a snapshot where
/// the store no longer keeps the next records, where it has come back from an older copy, and after a
/// failed read: by then the snapshot is shorter than the records that it replaces.
pub async fn follow<S: ports::StorePort>(
    source: ReadSource<S>,
    position: impl Fn() -> ReadPosition,
    on_update: impl Fn(ReadPurpose, StoreUpdate),
) {
    let mut reader = TopicReader::new(source);
    // The control thread has ended where the sender is gone.
    while reader.is_reading().await {
        let ReadStep { update, pause } = reader.read(&position()).await;
        if let Some((purpose, update)) = update {
            on_update(purpose, update);
        }
        reader.pause(pause).await;
    }
}

// What a read returned, if anything, and the pause before the next one.
struct ReadStep {
    update: Option<(ReadPurpose, StoreUpdate)>,
    pause: time::Duration,
}

impl ReadStep {
    const fn new(purpose: ReadPurpose, update: StoreUpdate, pause: time::Duration) -> Self {
        let update = Some((purpose, update));
        Self { update, pause }
    }

    const fn without_update(pause: time::Duration) -> Self {
        let update = None;
        Self { update, pause }
    }
}

struct TopicReader<S> {
    source: ReadSource<S>,
    // The highest era that was known when the last read began.
    known_era: u64,
    needs_snapshot: bool,
    // Whether the last read from an offset found it gone.
    was_gone: bool,
    retry_delay: time::Duration,
}

impl<S: ports::StorePort> TopicReader<S> {
    const fn new(source: ReadSource<S>) -> Self {
        Self {
            source,
            known_era: 0,
            needs_snapshot: false,
            was_gone: false,
            retry_delay: time::Duration::from_millis(RETRY_DELAY_MS),
        }
    }

    async fn is_reading(&mut self) -> bool {
        let reading = self.source.is_reading.wait_for(|is_reading| *is_reading);
        reading.await.is_ok()
    }

    async fn read(&mut self, position: &ReadPosition) -> ReadStep {
        self.known_era = *self.source.era.borrow();
        let from = position.from.filter(|from| from.era >= self.known_era);
        match from.filter(|_| !self.needs_snapshot) {
            Some(from) => self.read_batch(from, position).await,
            None => self.read_snapshot().await,
        }
    }

    // A snapshot that is not complete starts over once the store is known to have a higher era.
    async fn read_snapshot(&mut self) -> ReadStep {
        let known = self.known_era;
        let sent = self.source.clock.now();
        let mut era = self.source.era.clone();
        let result = tokio::select! {
            biased;
            result = self.source.store.newest(self.source.topic) => result,
            Ok(_) = era.wait_for(|era| *era > known) => {
                return ReadStep::without_update(time::Duration::ZERO);
            }
        };
        let purpose = ReadPurpose::Snapshot;
        match result {
            // It was read before the store came back.
            Ok(snapshot) if snapshot.era < self.known_era => {
                ReadStep::without_update(self.next_retry_delay())
            }
            Ok(snapshot) => {
                self.note_success();
                let update = StoreUpdate::Snapshot(snapshot, sent);
                ReadStep::new(purpose, update, time::Duration::ZERO)
            }
            Err(error) => self.failed_step(purpose, error),
        }
    }

    // A read that waits ends once the store is known to have a higher era: it may wait at an offset
    // that has yet to be given out again.
    async fn read_batch(&mut self, from: topic::LogPosition, position: &ReadPosition) -> ReadStep {
        let sent = self.source.clock.now();
        let mut era = self.source.era.clone();
        let read = self
            .source
            .store
            .read(self.source.topic, from.offset, position.wait);
        let result = tokio::select! {
            biased;
            result = read => result,
            Ok(_) = era.wait_for(|era| *era > from.era) => {
                return ReadStep::without_update(time::Duration::ZERO);
            }
        };
        let purpose = ReadPurpose::Wait;
        match result {
            Ok(batch) if batch.era != from.era => {
                self.needs_snapshot = true;
                ReadStep::without_update(time::Duration::ZERO)
            }
            Ok(batch) => {
                self.note_success();
                self.was_gone = false;
                if batch.next == from.offset {
                    let update = StoreUpdate::Unchanged(sent);
                    return ReadStep::new(purpose, update, time::Duration::ZERO);
                }
                let update = StoreUpdate::Batch(batch, sent);
                ReadStep::new(purpose, update, position.pause)
            }
            Err(ports::StoreError::Gone { .. }) => self.gone_step(),
            Err(error) => self.failed_step(purpose, error),
        }
    }

    // A snapshot that the copy did not accept leaves it where it was: then the next one has to wait.
    fn gone_step(&mut self) -> ReadStep {
        self.needs_snapshot = true;
        if std::mem::replace(&mut self.was_gone, true) {
            return ReadStep::without_update(self.next_retry_delay());
        }
        ReadStep::without_update(time::Duration::ZERO)
    }

    fn failed_step(&mut self, purpose: ReadPurpose, error: ports::StoreError) -> ReadStep {
        self.needs_snapshot = true;
        let pause = self.next_retry_delay();
        ReadStep::new(purpose, StoreUpdate::Failed(error), pause)
    }

    const fn note_success(&mut self) {
        self.needs_snapshot = false;
        self.retry_delay = time::Duration::from_millis(RETRY_DELAY_MS);
    }

    fn next_retry_delay(&mut self) -> time::Duration {
        let longest = time::Duration::from_millis(MAX_RETRY_DELAY_MS);
        let next = (self.retry_delay * 2).min(longest);
        std::mem::replace(&mut self.retry_delay, next)
    }

    // A higher era ends the pause: the store is back.
    async fn pause(&mut self, pause: time::Duration) {
        if pause.is_zero() {
            return;
        }
        let known = self.known_era;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Ok(_) = self.source.era.wait_for(|era| *era > known) => {}
        }
    }
}
