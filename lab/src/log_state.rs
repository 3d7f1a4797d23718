//! The state of the stand-in for the platform's log: append-only, with offsets and limited
//! retention.

use std::collections;

use zinniastack::peer;
use zinniastack::platform;

/// The maximum number of records that one read returns.
pub const MAX_READ_RECORDS: usize = 500;

/// The injected faults of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogFaults {
    /// Whether reads and appends fail.
    pub outage: bool,
    /// The additional time of each call, in milliseconds.
    pub slow_ms: u64,
    /// The number of the next appends that take effect, but whose responses are lost.
    pub lose_answers: u32,
}

/// The state of the stand-in for the log.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    earliest: u64,
    records: collections::VecDeque<String>,
    /// The injected faults.
    pub faults: LogFaults,
}

impl LogState {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to be appended.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    /// Returns the retained records.
    pub fn records(&self) -> impl Iterator<Item = &str> {
        self.records.iter().map(String::as_str)
    }

    /// Reads records from an offset, or from the earliest retained one if that is later. Returns
    /// `None` during an outage.
    #[must_use]
    pub fn read(&self, from: u64) -> Option<platform::LogPage> {
        if self.faults.outage {
            return None;
        }
        let first = from.max(self.earliest);
        let skip = usize::try_from(first - self.earliest).unwrap_or(usize::MAX);
        let kept = self.records.iter().skip(skip).take(MAX_READ_RECORDS);
        let records = (first..)
            .zip(kept)
            .map(|(offset, text)| peer::RelayedRecord {
                offset,
                text: text.clone(),
            });
        Some(platform::LogPage {
            earliest: self.earliest,
            next: self.next(),
            records: records.collect(),
        })
    }

    /// Appends a record. Returns `None` during an outage, when nothing is appended, and when the
    /// response is lost, after the record is appended.
    pub fn append(&mut self, text: String) -> Option<platform::AppendReply> {
        if self.faults.outage {
            return None;
        }
        let offset = self.next();
        self.records.push_back(text);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return None;
        }
        Some(platform::AppendReply { offset })
    }

    /// Removes all but the newest `keep` records.
    pub fn trim(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.earliest += 1;
        }
    }

    /// Removes the newest `count` records, as a log that comes back from an older copy. Their offsets
    /// are given out again.
    pub fn restore_older(&mut self, count: usize) {
        let kept = self.records.len().saturating_sub(count);
        self.records.truncate(kept);
    }

    /// Removes all records and restarts the offsets at 0, as a log that was set up anew.
    pub fn lose_past(&mut self) {
        self.records.clear();
        self.earliest = 0;
    }
}
