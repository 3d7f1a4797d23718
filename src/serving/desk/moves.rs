//! Since when keys are on their way to another server, as this host has seen it.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::book;

/// How long keys may be on their way until requests for them are refused, in milliseconds. A former
/// holder that answers has let its keys go by then; the end of one that is silent may take long.
pub const MOVE_PATIENCE_MS: u64 = 1_000;

/// The moves under way.
#[derive(Debug, Default)]
pub struct KeyMoves {
    // By fence, which no two moves share.
    since: collections::BTreeMap<u64, clock::MonoTime>,
}

impl KeyMoves {
    /// Takes a newer book.
    pub fn sync(&mut self, book: &book::GrantBook, now: clock::MonoTime) {
        let ranges = book.services.values().flatten();
        let moving = ranges.filter(|range| !range.formers.is_empty());
        let known = std::mem::take(&mut self.since);
        for range in moving {
            let since = known.get(&range.fence).copied().unwrap_or(now);
            self.since.insert(range.fence, since);
        }
    }

    /// Reports whether the keys of a range have been on their way for longer than a move takes.
    #[must_use]
    pub fn is_overdue(&self, range: &book::RangeEntry, now: clock::MonoTime) -> bool {
        let patience = time::Duration::from_millis(MOVE_PATIENCE_MS);
        let since = self.since.get(&range.fence);
        since.is_some_and(|since| now > *since + patience)
    }
}
