//! A position in the log: an offset together with the last record before it. An offset alone does
//! not say to which history it belongs, since a restored log gives out its last offsets again.

use crate::platform;
use crate::replay;

/// Identifies the text of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RecordMark {
    /// The hash of the text.
    pub digest: u64,
    /// The size of the text, in bytes.
    pub bytes: u64,
}

impl RecordMark {
    /// Creates the mark of a text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self {
            digest: xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
            bytes: text.len() as u64,
        }
    }
}

/// How a page of the log compares with a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionCheck {
    /// The record before the position is the one that was applied, or there is none to compare.
    Current,
    /// The page does not show the record before the position.
    Unread,
    /// The log no longer retains the record at the position.
    Trimmed,
    /// The log ends before the position.
    Shorter,
    /// The log has another record before the position.
    Replaced,
}

impl PositionCheck {
    /// Returns the word for log lines and metrics.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unread => "unread",
            Self::Trimmed => "trimmed",
            Self::Shorter => "shorter",
            Self::Replaced => "replaced",
        }
    }
}

impl replay::ReplayState {
    /// Compares the position after the last applied record with a page of the log.
    #[must_use]
    pub fn check_position(&self, page: &platform::LogPage) -> PositionCheck {
        if page.next < self.next_offset {
            return PositionCheck::Shorter;
        }
        if page.earliest > self.next_offset {
            return PositionCheck::Trimmed;
        }
        let Some((last, mark)) = self.next_offset.checked_sub(1).zip(self.last_record) else {
            return PositionCheck::Current;
        };
        if last < page.earliest {
            return PositionCheck::Current;
        }
        let stored = page.records.iter().find(|record| record.offset == last);
        match stored {
            None => PositionCheck::Unread,
            Some(record) if RecordMark::new(&record.text) == mark => PositionCheck::Current,
            Some(_) => PositionCheck::Replaced,
        }
    }
}
