//! Granters of earlier terms, which may go on ordering until their right to renew has ended.
//!
//! A granter that is frozen, or cut from the log, does not learn of a successor. Until its right has
//! ended, or its end is proved, the holds that it renewed may be longer than the successor knows.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;
use crate::ownership::election;

/// How long after a granter's last moment its orders may arrive, in milliseconds: they are answered
/// or reset by then.
pub const ORDERS_IN_FLIGHT_MS: u64 = 700;

/// What another host said of itself when it was asked.
#[derive(Clone, Debug)]
pub struct HostResponse {
    /// The process that answered.
    pub life: assignment::GranterIncarnation,
    /// The term of the newest book that it knows.
    pub term: u64,
    /// When it was asked, by this host's clock.
    pub asked: clock::MonoTime,
    /// How long its process had run when it answered.
    pub uptime: time::Duration,
}

// One former granter.
#[derive(Clone, Copy, Debug)]
struct FormerGranter {
    since: clock::MonoTime,
    // When the last of its orders has arrived.
    until: clock::MonoTime,
}

/// The former granters of which this host, as their successor, must take account.
#[derive(Debug)]
pub struct FormerGranters {
    own: assignment::GranterIncarnation,
    term: u64,
    formers: collections::BTreeMap<assignment::GranterIncarnation, FormerGranter>,
}

impl FormerGranters {
    /// Creates the succession of a host that has not claimed yet.
    #[must_use]
    pub const fn new(own: assignment::GranterIncarnation) -> Self {
        Self {
            own,
            term: 0,
            formers: collections::BTreeMap::new(),
        }
    }

    /// Returns the granters that a claim on `table` succeeds.
    #[must_use]
    pub fn predecessors(
        &self,
        table: &assignment::AssignmentTable,
    ) -> Vec<assignment::GranterIncarnation> {
        let known = table.former_granters.iter().chain(&table.granter);
        let known = known.filter(|life| **life != self.own);
        let known: collections::BTreeSet<_> = known.cloned().collect();
        known.into_iter().collect()
    }

    /// Notes that this host's claim for `term`, which succeeds `formers`, is in the log.
    pub fn take_over(
        &mut self,
        term: u64,
        formers: &[assignment::GranterIncarnation],
        now: clock::MonoTime,
    ) {
        self.term = term;
        let span = time::Duration::from_millis(election::MAX_UNCONFIRMED_MS + ORDERS_IN_FLIGHT_MS);
        for life in formers {
            let former = FormerGranter {
                since: now,
                until: now + span,
            };
            self.formers.insert(life.clone(), former);
            if self.is_own_predecessor(life) {
                self.note_ended(life, now);
            }
        }
    }

    /// Takes another host's answer. Reports whether it proves the end of a former granter.
    pub fn note_host_response(&mut self, answer: &HostResponse, now: clock::MonoTime) -> bool {
        let ended: Vec<_> = self
            .formers
            .iter()
            .filter(|(life, former)| self.proves_end(answer, life, former, now))
            .map(|(life, _)| life.clone())
            .collect();
        for life in &ended {
            // An earlier process of the host ended before this one began.
            let other = answer.life != *life;
            let last = if other {
                now.saturating_sub(answer.uptime)
            } else {
                now
            };
            self.note_ended(life, last);
        }
        !ended.is_empty()
    }

    // A host runs one process at a time. What answers a question that was asked after the claim was
    // alive after the former granter was; where it is the former granter itself and knows the claim,
    // it orders no longer.
    fn proves_end(
        &self,
        answer: &HostResponse,
        life: &assignment::GranterIncarnation,
        former: &FormerGranter,
        now: clock::MonoTime,
    ) -> bool {
        let possibly_active = now < former.until && answer.asked > former.since;
        let other = is_same_host(&answer.life, life) && answer.life != *life;
        let succeeded = answer.life == *life && answer.term >= self.term;
        possibly_active && (other || succeeded)
    }

    // An earlier process of this host has ended before this one began.
    fn is_own_predecessor(&self, life: &assignment::GranterIncarnation) -> bool {
        is_same_host(&self.own, life) && self.own != *life
    }

    // Notes that a former granter sent its last order before `last`.
    fn note_ended(&mut self, life: &assignment::GranterIncarnation, last: clock::MonoTime) {
        if let Some(former) = self.formers.get_mut(life) {
            let arrived = last + time::Duration::from_millis(ORDERS_IN_FLIGHT_MS);
            former.until = former.until.min(arrived);
        }
    }

    /// Returns the former granters that may order still at `now`.
    pub fn possibly_active(
        &self,
        now: clock::MonoTime,
    ) -> impl Iterator<Item = &assignment::GranterIncarnation> {
        let formers = self.formers.iter();
        let doubted = formers.filter(move |(_, former)| now < former.until);
        doubted.map(|(life, _)| life)
    }

    /// Returns the time by which all orders of former granters have arrived.
    #[must_use]
    pub fn orders_until(&self) -> clock::MonoTime {
        let untils = self.formers.values().map(|former| former.until);
        untils
            .max()
            .unwrap_or_else(|| clock::MonoTime::from_micros(0))
    }
}

// Whether two processes are of one host: an address alone may go to another host.
fn is_same_host(
    one: &assignment::GranterIncarnation,
    other: &assignment::GranterIncarnation,
) -> bool {
    one.host == other.host && one.peers == other.peers
}
