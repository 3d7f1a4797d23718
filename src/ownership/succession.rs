//! Granters of earlier terms, which may go on sending orders for a limited time.
//!
//! A granter that is frozen or cut off from the log does not learn of a successor. Until its time
//! is over, or another host's response proves that it has stopped, it may renew holds that the
//! successor does not know of.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::book;
use crate::ownership::duty;

/// How long after a granter has stopped its orders may still arrive, in milliseconds. By then each
/// has had a response or its connection has been reset.
pub const ORDERS_UNDER_WAY_MS: u64 = 700;

/// Another host's response to a status request.
#[derive(Clone, Debug)]
pub struct HostAnswer {
    /// The process that responded.
    pub life: book::GranterLife,
    /// The term of the newest assignment table that it knows.
    pub term: u64,
    /// When the request was sent, by this host's clock.
    pub asked: clock::MonoTime,
    /// How long its process had run when it responded.
    pub uptime: time::Duration,
}

// One former granter.
#[derive(Clone, Copy, Debug)]
struct FormerGranter {
    since: clock::MonoTime,
    // The time by which all of its orders have arrived.
    until: clock::MonoTime,
}

/// The former granters whose orders this host, as their successor, must expect.
#[derive(Debug)]
pub struct GranterSuccession {
    own: book::GranterLife,
    term: u64,
    formers: collections::BTreeMap<book::GranterLife, FormerGranter>,
}

impl GranterSuccession {
    /// Creates the state of a host that has not claimed the granter role.
    #[must_use]
    pub const fn new(own: book::GranterLife) -> Self {
        Self {
            own,
            term: 0,
            formers: collections::BTreeMap::new(),
        }
    }

    /// Returns the former granters that a claim based on `book` must name, other than this process.
    #[must_use]
    pub fn predecessors(&self, book: &book::GrantBook) -> Vec<book::GranterLife> {
        let known = book.former_granters.iter().chain(&book.granter);
        let known = known.filter(|incarnation| **incarnation != self.own);
        let known: collections::BTreeSet<_> = known.cloned().collect();
        known.into_iter().collect()
    }

    /// Records that this host's claim for `term`, which names `formers`, is in the log.
    pub fn take_over(&mut self, term: u64, formers: &[book::GranterLife], now: clock::MonoTime) {
        self.term = term;
        let span = time::Duration::from_millis(duty::RENEWAL_RIGHT_MS + ORDERS_UNDER_WAY_MS);
        for incarnation in formers {
            let former = FormerGranter {
                since: now,
                until: now + span,
            };
            self.formers.insert(incarnation.clone(), former);
            if self.is_own_predecessor(incarnation) {
                self.note_ended(incarnation, now);
            }
        }
    }

    /// Handles another host's response. Reports whether it proves that a former granter has
    /// stopped.
    pub fn note_answer(&mut self, response: &HostAnswer, now: clock::MonoTime) -> bool {
        let ended: Vec<_> = self
            .formers
            .iter()
            .filter(|(incarnation, former)| self.proves_end(response, incarnation, former, now))
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in &ended {
            // An earlier process of the host ended before the responding process started.
            let other = response.life != *incarnation;
            let last = if other {
                now.back(response.uptime)
            } else {
                now
            };
            self.note_ended(incarnation, last);
        }
        !ended.is_empty()
    }

    // A host runs one process at a time, and a process that responds to a request sent after the
    // claim was running after the claim. If it is another process of the former granter's host, the
    // former granter has ended. If it is the former granter itself and it knows the claim, it sends
    // no more orders.
    fn proves_end(
        &self,
        response: &HostAnswer,
        incarnation: &book::GranterLife,
        former: &FormerGranter,
        now: clock::MonoTime,
    ) -> bool {
        let in_doubt = now < former.until && response.asked > former.since;
        let other = is_same_host(&response.life, incarnation) && response.life != *incarnation;
        let succeeded = response.life == *incarnation && response.term >= self.term;
        in_doubt && (other || succeeded)
    }

    // Whether this is an earlier process of this host, which ended before this process started.
    fn is_own_predecessor(&self, incarnation: &book::GranterLife) -> bool {
        is_same_host(&self.own, incarnation) && self.own != *incarnation
    }

    // Records that a former granter sent its last order before `last`.
    fn note_ended(&mut self, incarnation: &book::GranterLife, last: clock::MonoTime) {
        if let Some(former) = self.formers.get_mut(incarnation) {
            let arrived = last + time::Duration::from_millis(ORDERS_UNDER_WAY_MS);
            former.until = former.until.min(arrived);
        }
    }

    /// Returns the former granters whose orders may still arrive at `now`.
    pub fn in_doubt(&self, now: clock::MonoTime) -> impl Iterator<Item = &book::GranterLife> {
        let formers = self.formers.iter();
        let active = formers.filter(move |(_, former)| now < former.until);
        active.map(|(incarnation, _)| incarnation)
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

// Whether two processes belong to one host. The address alone does not tell: it may have passed to
// another host.
fn is_same_host(one: &book::GranterLife, other: &book::GranterLife) -> bool {
    one.host == other.host && one.peers == other.peers
}
