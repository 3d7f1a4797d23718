//! The state of the platform's log: append-only, with offsets and limited retention.

use std::collections;

use zinniastack::peer;
use zinniastack::platform;

/// How many records one read returns at the most.
pub const MAX_READ_RECORDS: usize = 500;

/// How the log misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogFaults {
    /// Whether reads and appends fail.
    pub outage: bool,
    /// How much longer each call takes, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next appends take effect without an answer.
    pub lose_answers: u32,
}

/// The log's state.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    earliest: u64,
    records: collections::VecDeque<String>,
    /// How the log misbehaves.
    pub faults: LogFaults,
}

impl LogState {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset that the next append gets.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    /// Returns the records that are kept.
    pub fn records(&self) -> impl Iterator<Item = &str> {
        self.records.iter().map(String::as_str)
    }

    /// Reads from an offset on; none during an outage.
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

    /// Appends a record; none during an outage, or where the answer is lost.
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

    /// Forgets all but the newest records.
    pub fn trim(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.earliest += 1;
        }
    }

    /// Loses everything, as a log that was set up anew.
    pub fn lose_past(&mut self) {
        self.records.clear();
        self.earliest = 0;
    }
}
