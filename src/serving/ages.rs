//! Since when ranges of keys are on their way or held, as this host has seen it.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;

/// How long keys may be on their way until requests for them are refused, in milliseconds. A former
/// holder that answers has let its keys go by then; the end of one that is silent may take long.
pub const MOVE_TIMEOUT_MS: u64 = 1_000;

// One assignment of keys.
#[derive(Clone, Copy, Debug)]
struct RangeAge {
    assigned: clock::MonoTime,
    held: Option<clock::MonoTime>,
}

/// The ages of all assignments, by fence, which no two assignments share.
#[derive(Clone, Debug, Default)]
pub struct RangeAges {
    ages: collections::BTreeMap<u64, RangeAge>,
}

impl RangeAges {
    /// Returns the ages with a newer book.
    #[must_use]
    pub fn with_table(&self, table: &assignment::AssignmentTable, now: clock::MonoTime) -> Self {
        let ranges = table.services.values().flatten();
        let ages = ranges.map(|range| (range.fence, self.age_in(range, now)));
        Self {
            ages: ages.collect(),
        }
    }

    fn age_in(&self, range: &assignment::RangeEntry, now: clock::MonoTime) -> RangeAge {
        let known = self.ages.get(&range.fence);
        let assigned = known.map_or(now, |age| age.assigned);
        let held = known.and_then(|age| age.held);
        let held = held.or_else(|| range.formers.is_empty().then_some(now));
        RangeAge { assigned, held }
    }

    /// Reports whether the keys of a range have been on their way for longer than a move takes.
    #[must_use]
    pub fn is_overdue(&self, range: &assignment::RangeEntry, now: clock::MonoTime) -> bool {
        let patience = time::Duration::from_millis(MOVE_TIMEOUT_MS);
        let age = self.ages.get(&range.fence);
        age.is_some_and(|age| age.held.is_none() && now > age.assigned + patience)
    }

    /// Returns when this host first saw that the holder has the keys of a range.
    #[must_use]
    pub fn held_since(&self, range: &assignment::RangeEntry) -> Option<clock::MonoTime> {
        self.ages.get(&range.fence)?.held
    }
}
