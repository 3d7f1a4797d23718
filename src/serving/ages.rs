//! Since when ranges of keys are moving or held, as this host has observed it.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;

/// How long a range may be moving before requests for its keys are refused, in milliseconds. A
/// former holder that responds has released its keys by then; the hold of an unresponsive one may
/// take much longer to expire.
pub const MOVE_TIMEOUT_MS: u64 = 1_000;

// When this host first saw an assignment, and when it first saw it without former holders.
#[derive(Clone, Copy, Debug)]
struct RangeAge {
    assigned: clock::MonoTime,
    held: Option<clock::MonoTime>,
}

/// The ages of all assignments by fence, which is unique to an assignment.
#[derive(Clone, Debug, Default)]
pub struct RangeAges {
    ages: collections::BTreeMap<u64, RangeAge>,
}

impl RangeAges {
    /// Returns the ages of the assignments in a newer table.
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

    /// Reports whether a range has been moving for longer than [`MOVE_TIMEOUT_MS`].
    #[must_use]
    pub fn is_overdue(&self, range: &assignment::RangeEntry, now: clock::MonoTime) -> bool {
        let timeout = time::Duration::from_millis(MOVE_TIMEOUT_MS);
        let age = self.ages.get(&range.fence);
        age.is_some_and(|age| age.held.is_none() && now > age.assigned + timeout)
    }

    /// Returns when this host first saw that the holder of a range has its keys.
    #[must_use]
    pub fn held_since(&self, range: &assignment::RangeEntry) -> Option<clock::MonoTime> {
        self.ages.get(&range.fence)?.held
    }
}
