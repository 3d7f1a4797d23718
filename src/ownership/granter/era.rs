//! The granter when the store comes back from an older copy of its logs, which starts a new era: the
//! log no longer tells what was granted, and what this host knows does.

use std::time;

use crate::clock;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::ownership::lost_grants;
use crate::serving::topic;

/// How long a host that did not grant waits for the former granter to claim its role in a new era of
/// the store, in milliseconds.
pub const ERA_CLAIM_DELAY_MS: u64 = 1_000;
/// The same for a host that did not follow the log in the era before, in milliseconds. One that did
/// can go on with renewals.
pub const PROVISIONAL_CLAIM_DELAY_MS: u64 = 2_000;

/// How long before the store was seen to be back a host that did not grant must have sent its last read
/// of the log, in milliseconds, to count as having followed it to the end. A read waits for 3 s at most.
pub const FOLLOWED_WITHIN_MS: u64 = 3_500;
/// How long after a return a host waits for a newer table that another host knows, in milliseconds. By
/// then no former granter sends orders any more.
pub const NEWER_TABLE_WAIT_MS: u64 = election::MAX_UNCONFIRMED_MS;

/// The era of a store that has never come back from an older copy.
pub const FIRST_ERA: u64 = 1;

// Takes a table without a version, of an earlier build, as one of the first era while that lasts.
pub(super) const fn with_first_era(
    table: assignment::AssignmentTable,
    era: u64,
) -> assignment::AssignmentTable {
    let mut table = table;
    if era <= FIRST_ERA && table.version.revision == 0 {
        table.version.era = era;
    }
    table
}

/// What the granter knows of the store's present era.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraState {
    pub(super) number: u64,
    // Since when it is known.
    pub(super) seen: clock::MonoTime,
    // Whether this process has read a log whose last table was of the era then present.
    pub(super) has_followed: bool,
    // Whether the log holds other records behind this granter's table.
    pub(super) must_rewrite: bool,
}

impl granter::KeyGranter {
    /// Records that a response of the store stated `era`.
    pub fn note_era(&mut self, era: u64, now: clock::MonoTime) {
        if era <= self.era.number {
            return;
        }
        self.era.number = era;
        self.era.seen = now;
        // Whether an append on its way is in the log is not known, and nothing was done by it.
        self.appending = None;
        self.append_retry = now;
        tracing::info!(
            event = "granter-era-seen",
            era,
            known_era = self.table.version.era,
            revision = self.table.version.revision,
            granting = self.is_granting()
        );
        self.apply_election_event(election::ElectionEvent::StoreRestored);
    }

    /// Reports whether no table of the store's present era is known.
    #[must_use]
    pub const fn awaits_claim(&self) -> bool {
        !self.is_in_force()
    }

    /// Returns the known table where the store has lost it.
    #[must_use]
    pub fn lost_table(&self) -> Option<&assignment::AssignmentTable> {
        let is_lost = !self.is_in_force() && self.table.version.revision > 0;
        is_lost.then_some(&self.table)
    }

    /// Returns when the log was last known to hold nothing newer than the known table, `None` where
    /// this host has not followed it.
    #[must_use]
    pub fn followed_until(&self) -> Option<clock::MonoTime> {
        let followed = self.era.has_followed;
        followed.then(|| self.election.confirmed())
    }

    /// Sets the newest table that another host knows.
    pub const fn note_newest_elsewhere(&mut self, newest: Option<assignment::KnownTable>) {
        self.newest_elsewhere = newest;
    }

    /// Handles a table that the store has lost and another host knows. Reports whether it was taken.
    pub fn note_lost_table(&mut self, lost: assignment::AssignmentTable) -> bool {
        let is_claiming = self.election.state() == election::ElectionState::Claiming;
        let is_lost = !self.is_in_force() && lost.version.era < self.era.number;
        if is_claiming || !is_lost || !self.is_preferred(lost.version, lost.term) {
            return false;
        }
        tracing::info!(
            event = "lost-table-taken",
            era = lost.version.era,
            revision = lost.version.revision,
            known_era = self.table.version.era,
            known_revision = self.table.version.revision
        );
        self.take_table(lost);
        true
    }

    /// Handles what another host answered to a request sent at `asked`: by its reads, the log had held
    /// nothing newer than the table of the version given until `age` before. What was before this
    /// process began has no time on its clock, and counts for nothing.
    pub fn note_followed_elsewhere(
        &mut self,
        version: assignment::TableVersion,
        asked: clock::MonoTime,
        age: time::Duration,
    ) {
        let is_watching = self.election.state() == election::ElectionState::Watching;
        let is_same = self.table.version == version && version.revision > 0;
        let is_since_start = asked.since(clock::MonoTime::from_micros(0)) >= age;
        if is_watching && is_same && is_since_start {
            self.era.has_followed = true;
            self.election.confirm(asked.saturating_sub(age));
        }
    }

    // Whether a lost table goes before the known one. To a granter, one of its own term is an append of
    // its own without an outcome, by which it has ordered nothing.
    fn is_preferred(&self, version: assignment::TableVersion, term: u64) -> bool {
        let is_newer = version > self.table.version;
        is_newer && (!self.is_granting() || term > self.table.term)
    }

    // Whether another host knows a table that a claim has to be based on.
    fn is_newer_elsewhere(&self) -> bool {
        let newest = self.newest_elsewhere;
        !self.is_in_force() && newest.is_some_and(|k| self.is_preferred(k.version, k.term))
    }

    // Whether this host waits for such a table before it claims.
    pub(super) fn awaits_newer_table(&self, now: clock::MonoTime) -> bool {
        let wait = time::Duration::from_millis(NEWER_TABLE_WAIT_MS);
        self.is_newer_elsewhere() && now < self.era.seen + wait
    }

    /// Sets the other hosts that may have granted: those that may read the store, and those that other
    /// hosts name. The claim adds the granters that the claimed table names.
    pub fn note_possible_granters(&mut self, hosts: Vec<assignment::GranterIncarnation>) {
        self.possible_granters = hosts;
    }

    /// Returns the newest known table that a claim in a later era did not know.
    #[must_use]
    pub const fn overtaken(&self) -> Option<&assignment::OvertakenTable> {
        self.overtaken.as_ref()
    }

    /// Handles another host's report of a table that a claim did not know: the granters that it names
    /// may have granted.
    pub fn note_overtaken(&mut self, overtaken: &assignment::OvertakenTable) {
        if self.is_granting() {
            self.lost_grants.note_overtaken(overtaken, &self.own);
        }
    }

    // Remembers the table that `newest` replaces where the claim of a new era did not know it.
    pub(super) fn note_overtaken_by(&mut self, newest: &assignment::AssignmentTable) {
        let base = newest.lost_grants.as_ref().map(|record| record.base);
        let is_unknown = base.is_some_and(|base| self.table.version > base);
        if is_unknown && self.table.version.era < newest.version.era {
            self.overtaken = Some(assignment::OvertakenTable {
                version: self.table.version,
                granters: self.table.named_granters().cloned().collect(),
            });
        }
    }

    /// Returns the version of the newest table by which this process has ordered.
    #[must_use]
    pub const fn granted_version(&self) -> assignment::TableVersion {
        self.granted
    }

    /// Reports whether the granter may only renew holds at `now`, because the store may have lost
    /// grants.
    #[must_use]
    pub fn has_possible_losses(&self, now: clock::MonoTime) -> bool {
        self.is_granting() && self.lost_grants.is_possible(self.longest_hold(), now)
    }

    // Whether the log ends with a table of the store's present era, or has never lost one.
    pub(super) const fn is_in_force(&self) -> bool {
        self.table.version.era == self.era.number
    }

    // The end of the log in the store's present era, where it is known.
    pub(super) fn present_end(&self) -> Option<u64> {
        let end = self.end.filter(|end| end.era == self.era.number)?;
        Some(end.offset)
    }

    pub(super) fn longest_hold(&self) -> time::Duration {
        let named = time::Duration::from_millis(self.table.longest_hold_millis);
        named.max(self.hold)
    }

    // Whether a table of the log is newer than the known one. What the store came back with is older,
    // and a mixture of two tables has the lowest version.
    pub(super) fn is_newer(&self, newest: &assignment::AssignmentTable) -> bool {
        newest.version > self.table.version || self.table.version.revision == 0
    }

    // Handles a log that ends with no table at `end`.
    pub(super) fn note_no_table(&mut self, end: topic::LogPosition) {
        if end.offset == 0 && end.era <= FIRST_ERA && self.table.version.revision == 0 {
            self.table.version.era = end.era;
            self.era.has_followed = true;
        }
        self.note_foreign_records(end);
    }

    // Reports that the log of the present era ends with records that are not this granter's table:
    // its own has to be written again.
    pub(super) fn note_foreign_records(&mut self, end: topic::LogPosition) {
        let grants = self.election.state() == election::ElectionState::Granting;
        if grants && self.is_in_force() && end.offset > 0 {
            self.era.must_rewrite = true;
        }
    }

    // Whether this host may lack grants of the era of its table. A granter may renew while its right
    // lasts: until then others take keys only by a release, after which the server refuses it. Another
    // host has to have followed the log.
    fn is_provisional(&self, now: clock::MonoTime) -> bool {
        let is_complete = self.is_granting() || self.has_followed_to_the_end();
        !(self.era.has_followed && is_complete && self.election.is_confirmed(now))
    }

    fn has_followed_to_the_end(&self) -> bool {
        let within = time::Duration::from_millis(FOLLOWED_WITHIN_MS);
        self.era.seen < self.election.confirmed() + within
    }

    // Whether a candidate may claim. In a new era the former granter comes first.
    pub(super) fn is_claim_due(&self, now: clock::MonoTime) -> bool {
        let delay_ms = match self.is_provisional(now) {
            _ if self.is_in_force() => 0,
            true => PROVISIONAL_CLAIM_DELAY_MS,
            false => ERA_CLAIM_DELAY_MS,
        };
        let is_due = now >= self.era.seen + time::Duration::from_millis(delay_ms);
        is_due && !self.awaits_newer_table(now)
    }

    // The table that claims the granter role.
    pub(super) fn claim(&self, now: clock::MonoTime) -> assignment::AssignmentTable {
        let next = self.table.next_version(self.era.number);
        let lost_grants = if self.is_in_force() {
            next.lost_grants
        } else {
            Some(self.possible_losses(now))
        };
        assignment::AssignmentTable {
            term: next.term + 1,
            former_granters: self.former_granters.predecessors(&self.table),
            granter: Some(self.own.clone()),
            longest_hold_millis: u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX),
            lost_grants,
            ..next
        }
    }

    fn possible_losses(&self, now: clock::MonoTime) -> assignment::LostGrantsRecord {
        let earlier = self.table.lost_grants.clone();
        let base = earlier.as_ref().map_or(self.table.version, |e| e.base);
        let was_provisional = earlier.as_ref().is_some_and(|e| e.is_provisional);
        let named = earlier.iter().flat_map(|e| &e.hosts);
        let recorded = self.table.named_granters();
        let mut hosts: Vec<assignment::GranterIncarnation> = Vec::new();
        for life in self.possible_granters.iter().chain(named).chain(recorded) {
            let is_known = hosts.iter().any(|known| known.host == life.host);
            if life.host != self.own.host && !is_known {
                hosts.push(life.clone());
            }
        }
        assignment::LostGrantsRecord {
            base,
            is_provisional: was_provisional
                || self.is_provisional(now)
                || self.is_newer_elsewhere(),
            hosts,
        }
    }

    // Takes account of grants that the store may have lost, once the claim is in the log.
    pub(super) fn start_lost_grants(&mut self, now: clock::MonoTime) {
        let record = self.table.lost_grants.as_ref();
        let started = self.started.unwrap_or(now);
        self.lost_grants =
            lost_grants::LostGrants::with_claim(record, self.table.term, started, now);
        if let Some(record) = record {
            tracing::info!(
                event = "era-claimed",
                era = self.era.number,
                term = self.table.term,
                base_era = record.base.era,
                base_revision = record.base.revision,
                provisional = record.is_provisional,
                possible_granters = record.hosts.len()
            );
        }
    }
}
