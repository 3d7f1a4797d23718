//! Checks, at each grant that a worker carries out, that no key has two holders and that fences rise.

use zinniastack::clock;
use zinniastack::ownership::assignment;

use crate::grants::key_server;

/// A range of keys that one incarnation of a worker held or holds.
#[derive(Clone, Debug)]
pub struct HoldSpan {
    /// The incarnation.
    pub life: assignment::ServerIncarnation,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fence under which the keys were granted.
    pub fence: u64,
    /// When the hold ended or ends.
    pub until: clock::MonoTime,
    // When the hold would have run out without a release.
    granted_until: clock::MonoTime,
}

impl HoldSpan {
    /// Creates the span of an order that was carried out.
    #[must_use]
    pub fn new(life: assignment::ServerIncarnation, order: &key_server::HoldOrder) -> Self {
        let until = order.arrived + order.hold;
        Self {
            life,
            first: order.first,
            last: order.last,
            fence: order.fence,
            until,
            granted_until: until,
        }
    }

    fn overlaps(&self, first: u16, last: u16) -> bool {
        key_server::overlaps(self.first, self.last, first, last)
    }

    fn contains(&self, key: u16) -> bool {
        self.overlaps(key, key)
    }
}

/// A request that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningWork {
    /// The incarnation that runs it.
    pub life: assignment::ServerIncarnation,
    /// The request's id.
    pub id: String,
    /// The request's key.
    pub key: u16,
}

/// What a grant broke.
#[derive(Clone, Debug)]
pub enum HoldViolation {
    /// Another worker, or another incarnation of this one, holds the keys.
    HeldTwice {
        /// The new hold.
        granted: HoldSpan,
        /// The other one.
        other: HoldSpan,
    },
    /// Others had the keys with a fence that is as high.
    FenceNotAbove {
        /// The new hold.
        granted: HoldSpan,
        /// The other one.
        other: HoldSpan,
    },
    /// Another worker was at work on a key before its hold would have run out.
    AtWork {
        /// The new hold.
        granted: HoldSpan,
        /// The request that runs.
        work: RunningWork,
    },
}

/// All holds of the workers of one service, and what broke the rules.
#[derive(Debug, Default)]
pub struct HoldLedger {
    spans: Vec<HoldSpan>,
    works: Vec<RunningWork>,
    violations: Vec<HoldViolation>,
}

impl HoldLedger {
    /// Creates a ledger without holds.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a hold that a worker took at `now`, and checks it against those of others.
    pub fn note_granted(&mut self, granted: &HoldSpan, now: clock::MonoTime) {
        let others = self.spans.iter().filter(|span| span.life != granted.life);
        for other in others.filter(|span| span.overlaps(granted.first, granted.last)) {
            let (granted, other) = (granted.clone(), other.clone());
            if other.until > now {
                self.violations
                    .push(HoldViolation::HeldTwice { granted, other });
            } else if other.fence >= granted.fence {
                self.violations
                    .push(HoldViolation::FenceNotAbove { granted, other });
            }
        }
        let works = self.works.iter().filter(|work| {
            work.life != granted.life && granted.contains(work.key) && self.is_granted(work, now)
        });
        let at_work = works.map(|work| HoldViolation::AtWork {
            granted: granted.clone(),
            work: work.clone(),
        });
        let at_work: Vec<_> = at_work.collect();
        self.violations.extend(at_work);
        self.add(granted, now);
    }

    /// Records that an incarnation stopped holding keys at `now`.
    pub fn note_released(
        &mut self,
        life: &assignment::ServerIncarnation,
        first: u16,
        last: u16,
        now: clock::MonoTime,
    ) {
        let spans = std::mem::take(&mut self.spans);
        for span in spans {
            let ends = span.life == *life && span.until > now && span.overlaps(first, last);
            if ends {
                self.split(&span, first, last, now);
            } else {
                self.spans.push(span);
            }
        }
    }

    /// Records that an incarnation ended at `now`, with all its work.
    pub fn note_ended(&mut self, life: &assignment::ServerIncarnation, now: clock::MonoTime) {
        self.note_released(life, u16::MIN, u16::MAX, now);
        self.works.retain(|work| work.life != *life);
    }

    /// Records that a worker began a request.
    pub fn note_begun(&mut self, work: RunningWork) {
        self.works.push(work);
    }

    /// Records that a request has ended.
    pub fn note_finished(&mut self, work: &RunningWork) {
        self.works.retain(|known| known != work);
    }

    /// Reports whether an incarnation is at work on one of these keys.
    #[must_use]
    pub fn is_at_work(&self, life: &assignment::ServerIncarnation, first: u16, last: u16) -> bool {
        let mut works = self.works.iter().filter(|work| work.life == *life);
        works.any(|work| (first..=last).contains(&work.key))
    }

    /// Returns what broke the rules so far.
    #[must_use]
    pub fn violations(&self) -> &[HoldViolation] {
        &self.violations
    }

    // Whether the hold under which a request began would still run without a release.
    fn is_granted(&self, work: &RunningWork, now: clock::MonoTime) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.life == work.life);
        let newest = spans.rfind(|span| span.contains(work.key));
        newest.is_some_and(|span| span.granted_until > now)
    }

    // Adds a hold, or extends it where it was renewed.
    fn add(&mut self, granted: &HoldSpan, now: clock::MonoTime) {
        let renewed = self.spans.iter_mut().find(|span| {
            let same = span.life == granted.life && span.fence == granted.fence;
            same && (span.first, span.last) == (granted.first, granted.last) && span.until > now
        });
        if let Some(span) = renewed {
            span.until = span.until.max(granted.until);
            span.granted_until = span.until;
            return;
        }
        let life = granted.life.clone();
        self.note_released(&life, granted.first, granted.last, now);
        self.spans.push(granted.clone());
    }

    // Ends a part of a hold; the rest goes on.
    fn split(&mut self, span: &HoldSpan, first: u16, last: u16, now: clock::MonoTime) {
        if span.first < first {
            self.spans.push(HoldSpan {
                last: first - 1,
                ..span.clone()
            });
        }
        if span.last > last {
            self.spans.push(HoldSpan {
                first: last + 1,
                ..span.clone()
            });
        }
        self.spans.push(HoldSpan {
            first: span.first.max(first),
            last: span.last.min(last),
            until: now,
            ..span.clone()
        });
    }
}
