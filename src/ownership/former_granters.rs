//! Granters of earlier terms, which may go on sending orders for a limited time.
//!
//! A granter that is frozen or cut off from the log does not learn of a successor. Until its time
//! is over, or another host's response proves that it has stopped, it may renew holds that the
//! successor does not know of.

use std::collections;
use std::time;

use crate::clock;
use crate::ownership::assignment;
use crate::ownership::election;

/// How long after a granter has stopped its orders may still arrive, in milliseconds. By then each
/// has had a response, or its connection has been reset unless the process was killed.
pub const ORDERS_IN_FLIGHT_MS: u64 = 700;

/// Another host's response to a status request.
#[derive(Clone, Debug)]
pub struct HostResponse {
    /// The process that responded.
    pub life: assignment::GranterIncarnation,
    /// The term of the newest assignment table that it knows.
    pub term: u64,
    /// The version of the newest table by which its process has ordered.
    pub granted: assignment::TableVersion,
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
pub struct FormerGranters {
    own: assignment::GranterIncarnation,
    term: u64,
    formers: collections::BTreeMap<assignment::GranterIncarnation, FormerGranter>,
}

impl FormerGranters {
    /// Creates the state of a host that has not claimed the granter role.
    #[must_use]
    pub const fn new(own: assignment::GranterIncarnation) -> Self {
        Self {
            own,
            term: 0,
            formers: collections::BTreeMap::new(),
        }
    }

    /// Returns the former granters that a claim based on `table` must name, except this process.
    #[must_use]
    pub fn predecessors(
        &self,
        table: &assignment::AssignmentTable,
    ) -> Vec<assignment::GranterIncarnation> {
        let known = table.former_granters.iter().chain(&table.granter);
        let known = known.filter(|incarnation| **incarnation != self.own);
        let known: collections::BTreeSet<_> = known.cloned().collect();
        known.into_iter().collect()
    }

    /// Records that this host's claim for `term`, which names `formers`, is in the log.
    pub fn take_over(
        &mut self,
        term: u64,
        formers: &[assignment::GranterIncarnation],
        now: clock::MonoTime,
    ) {
        self.term = term;
        let span = time::Duration::from_millis(election::MAX_UNCONFIRMED_MS + ORDERS_IN_FLIGHT_MS);
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
    pub fn note_host_response(&mut self, response: &HostResponse, now: clock::MonoTime) -> bool {
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
                now.saturating_sub(response.uptime)
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
        response: &HostResponse,
        incarnation: &assignment::GranterIncarnation,
        former: &FormerGranter,
        now: clock::MonoTime,
    ) -> bool {
        let possibly_active = now < former.until && response.asked > former.since;
        let other = is_same_host(&response.life, incarnation) && response.life != *incarnation;
        let succeeded = response.life == *incarnation && response.term >= self.term;
        possibly_active && (other || succeeded)
    }

    // Whether this is an earlier process of this host, which ended before this process started.
    fn is_own_predecessor(&self, incarnation: &assignment::GranterIncarnation) -> bool {
        is_same_host(&self.own, incarnation) && self.own != *incarnation
    }

    // Records that a former granter sent its last order before `last`.
    fn note_ended(&mut self, incarnation: &assignment::GranterIncarnation, last: clock::MonoTime) {
        if let Some(former) = self.formers.get_mut(incarnation) {
            let arrived = last + time::Duration::from_millis(ORDERS_IN_FLIGHT_MS);
            former.until = former.until.min(arrived);
        }
    }

    /// Returns the former granters whose orders may still arrive at `now`.
    pub fn possibly_active(
        &self,
        now: clock::MonoTime,
    ) -> impl Iterator<Item = &assignment::GranterIncarnation> {
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
fn is_same_host(
    one: &assignment::GranterIncarnation,
    other: &assignment::GranterIncarnation,
) -> bool {
    one.host == other.host && one.peers == other.peers
}
