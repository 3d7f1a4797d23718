//! A host's copies of the store's topics: the newest record of each key.
//!
//! A copy is filled by reads of the store, or by another host's copy. It keeps the era of the store and
//! the offsets that the store gave, so that copies can be compared and continued from one another. A
//! store that came back from an older copy gives out offsets again: records of another era never
//! continue a copy, all of them replace it.

use std::collections;
use std::sync;

use crate::serving::topic;

/// The number of removals that a copy keeps for hosts that have yet to learn of them.
pub const MAX_REMOVALS: usize = 4_096;

/// Records of one topic that one host sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordPage {
    /// The topic.
    pub topic: topic::StoreTopic,
    /// The era of the sender's copy; earlier builds send none.
    pub era: Option<u64>,
    /// The offset from which the records were selected. 0 where they replace all that the receiver
    /// has: the page, or the first of several, begins with the oldest record.
    pub from: u64,
    /// The records, in the order of the log.
    pub records: Vec<PageRecord>,
    /// The offset at which the next page begins.
    pub next: u64,
    /// The offset at which the sender's copy ends; `next` is lower where more pages follow.
    pub end: u64,
}

/// A record in a page.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PageRecord {
    /// The record's offset in the store's log.
    pub offset: u64,
    /// The key.
    pub key: String,
    /// The value as text; `None` removes the key. Bytes that are not UTF-8 are replaced: no decoder
    /// accepts such a record.
    pub value: Option<String>,
}

impl RecordPage {
    /// Returns the position from which the records were selected.
    #[must_use]
    pub fn start(&self) -> topic::LogPosition {
        topic::LogPosition::new(self.era.unwrap_or(0), self.from)
    }
}

impl PageRecord {
    /// Creates the message of a record.
    #[must_use]
    pub fn new(stored: &topic::LogRecord) -> Self {
        let value = stored.record.value.as_ref();
        Self {
            offset: stored.offset,
            key: stored.record.key.to_string(),
            value: value.map(|value| String::from_utf8_lossy(value).into_owned()),
        }
    }

    /// Returns the size of the key and the value, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, String::len)
    }
}

impl From<PageRecord> for topic::LogRecord {
    fn from(page: PageRecord) -> Self {
        Self {
            offset: page.offset,
            record: topic::KeyedRecord {
                key: sync::Arc::from(page.key),
                value: page.value.map(bytes::Bytes::from),
            },
        }
    }
}

/// Why a copy did not accept records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum ReplicaError {
    /// Records before these are missing.
    #[snafu(display("records from {from} on, but the copy ends at {end}"))]
    Gap {
        /// The offset from which the records were selected.
        from: u64,
        /// The offset at which the copy ends.
        end: u64,
    },
    /// The records end before the copy does.
    #[snafu(display("records up to {next}, but the copy ends at {end}"))]
    Outdated {
        /// The offset at which the records end.
        next: u64,
        /// The offset at which the copy ends.
        end: u64,
    },
    /// The records are of another era than the copy.
    #[snafu(display("records of era {era}, but the copy is of era {known}"))]
    OtherEra {
        /// The era of the records.
        era: u64,
        /// The era of the copy.
        known: u64,
    },
    /// A record has an offset outside the range that its page covers.
    #[snafu(display("a record at {offset} in a page from {from} to {next}"))]
    OutOfRange {
        /// The offset of the record.
        offset: u64,
        /// The offset from which the records were selected.
        from: u64,
        /// The offset at which the records end.
        next: u64,
    },
}

/// A copy of one topic.
#[derive(Debug, Default)]
pub struct TopicReplica {
    offsets: collections::BTreeMap<sync::Arc<str>, u64>,
    // The newest record of each key by its offset, removals included.
    records: collections::BTreeMap<u64, topic::KeyedRecord>,
    removals: collections::BTreeSet<u64>,
    // All removals from this offset on are kept.
    removals_from: u64,
    end: topic::LogPosition,
    is_filled: bool,
}

impl TopicReplica {
    /// Creates an empty copy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position at which the copy ends.
    #[must_use]
    pub const fn position(&self) -> topic::LogPosition {
        self.end
    }

    /// Reports whether the copy has had all records up to its end.
    #[must_use]
    pub const fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// Adds records that follow those of the copy, from a position up to the offset `next`. Returns
    /// those that change it.
    ///
    /// # Errors
    /// Fails where records before these are missing, where they are older than the copy or of another
    /// era, or where a record lies outside the range given.
    pub fn append(
        &mut self,
        from: topic::LogPosition,
        records: Vec<topic::LogRecord>,
        next: u64,
    ) -> Result<Vec<topic::LogRecord>, ReplicaError> {
        let topic::LogPosition { era, offset: from } = from;
        let topic::LogPosition {
            era: known_era,
            offset: known,
        } = self.end;
        if era != known_era {
            let known = known_era;
            return Err(ReplicaError::OtherEra { era, known });
        }
        if from > known {
            return Err(ReplicaError::Gap { from, end: known });
        }
        if next < known {
            return Err(ReplicaError::Outdated { next, end: known });
        }
        check_offsets(&records, from, next)?;
        let newer = records.into_iter().filter(|stored| stored.offset >= known);
        let newer: Vec<_> = newer.collect();
        for stored in &newer {
            self.insert(stored);
        }
        self.end.offset = next;
        self.is_filled |= from == 0;
        Ok(newer)
    }

    /// Replaces the copy with the newest record of every key, up to the position `end`. Returns the
    /// changes, with the removals of keys that are gone; none where the copy ends later.
    pub fn replace(
        &mut self,
        records: Vec<topic::LogRecord>,
        end: topic::LogPosition,
    ) -> Vec<topic::LogRecord> {
        if end < self.end {
            return Vec::new();
        }
        let offsets = std::mem::take(&mut self.offsets);
        let known = std::mem::take(&mut self.records);
        self.removals.clear();
        // The removals before this point are not known.
        self.removals_from = end.offset;
        self.end = end;
        self.is_filled = true;
        for stored in &records {
            self.insert(stored);
        }
        let gone = offsets
            .keys()
            .filter(|key| !self.offsets.contains_key(*key));
        let removals = gone.map(|key| topic::LogRecord {
            offset: end.offset.saturating_sub(1),
            record: topic::KeyedRecord {
                key: sync::Arc::clone(key),
                value: None,
            },
        });
        let removals: Vec<_> = removals.collect();
        // In another era, another record may stand at the same offset.
        let changed = records
            .into_iter()
            .filter(|stored| known.get(&stored.offset) != Some(&stored.record));
        changed.chain(removals).collect()
    }

    /// Reports whether this record is the newest of its key.
    #[must_use]
    pub fn holds(&self, record: &topic::KeyedRecord) -> bool {
        let offset = self.offsets.get(&record.key);
        let newest = offset.and_then(|offset| self.records.get(offset));
        newest == Some(record)
    }

    /// Returns the records from the position `from` on, up to about `max_bytes` and at least one.
    /// Selects all records where `from` is of another era, and where removals since `from` are no
    /// longer known, unless `is_continued` says that the receiver is collecting pages that replace all
    /// it has.
    #[must_use]
    pub fn page(
        &self,
        topic: topic::StoreTopic,
        from: topic::LogPosition,
        is_continued: bool,
        max_bytes: usize,
    ) -> RecordPage {
        let topic::LogPosition { era, offset: end } = self.end;
        let restarts = !is_continued && from.offset < self.removals_from;
        let restarts = restarts || from.era != era;
        let from = if restarts { 0 } else { from.offset };
        let mut records = Vec::new();
        let mut size = 0;
        let mut next = end;
        // A snapshot read in several calls may hold records beyond its end.
        for (offset, record) in self.records.range(from..end.max(from)) {
            if from == 0 && record.value.is_none() {
                continue;
            }
            if size >= max_bytes {
                next = *offset;
                break;
            }
            let stored = topic::LogRecord {
                offset: *offset,
                record: record.clone(),
            };
            let record = PageRecord::new(&stored);
            size += record.size();
            records.push(record);
        }
        RecordPage {
            topic,
            era: Some(era),
            from,
            records,
            next,
            end,
        }
    }

    fn insert(&mut self, stored: &topic::LogRecord) {
        let key = sync::Arc::clone(&stored.record.key);
        // The pages of a snapshot may hold a key's record that is newer than the snapshot's end.
        if self
            .offsets
            .get(&key)
            .is_some_and(|known| *known > stored.offset)
        {
            return;
        }
        if let Some(replaced) = self.offsets.insert(key, stored.offset) {
            self.records.remove(&replaced);
            self.removals.remove(&replaced);
        }
        self.records.insert(stored.offset, stored.record.clone());
        if stored.record.value.is_none() {
            self.removals.insert(stored.offset);
            self.forget_removals();
        }
    }

    // Drops the oldest removals beyond `MAX_REMOVALS`.
    fn forget_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS {
            let Some(oldest) = self.removals.pop_first() else {
                return;
            };
            if let Some(record) = self.records.remove(&oldest) {
                self.offsets.remove(&record.key);
            }
            self.removals_from = oldest + 1;
        }
    }
}

fn check_offsets(records: &[topic::LogRecord], from: u64, next: u64) -> Result<(), ReplicaError> {
    let outside = records
        .iter()
        .find(|stored| stored.offset < from || stored.offset >= next);
    match outside {
        Some(stored) => Err(ReplicaError::OutOfRange {
            offset: stored.offset,
            from,
            next,
        }),
        None => Ok(()),
    }
}
