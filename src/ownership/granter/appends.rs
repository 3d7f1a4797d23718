//! The appends of the assignment table: which one is pending, and what its outcome means.

use std::time;

use crate::clock;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::ownership::order;
use crate::serving::topic;

/// Delay before a failed append is tried again, in milliseconds.
pub const APPEND_RETRY_MS: u64 = 250;
/// Delay before an append without an outcome is tried again, in milliseconds.
pub const APPEND_TIMEOUT_MS: u64 = 2_000;

// An append without an outcome.
#[derive(Debug)]
pub(super) struct PendingAppend {
    pub(super) number: u64,
    pub(super) table: assignment::AssignmentTable,
}

impl granter::KeyGranter {
    /// Returns the number of the append that has no outcome yet.
    #[must_use]
    pub fn pending_append(&self) -> Option<u64> {
        self.appending.as_ref().map(|pending| pending.number)
    }

    /// Handles the outcome of the append `number` that was sent at `sent`. An append that is no
    /// longer pending has been decided by a read of the log.
    pub fn note_appended(
        &mut self,
        number: u64,
        outcome: order::AppendOutcome,
        sent: clock::MonoTime,
        now: clock::MonoTime,
    ) {
        if self.pending_append() != Some(number) {
            return;
        }
        match outcome {
            order::AppendOutcome::Appended { era, end } => {
                let pending = self.appending.as_ref();
                let planned = pending.map(|pending| pending.table.version.era);
                self.note_era(era, now);
                if planned != Some(era) {
                    return;
                }
                let end = topic::LogPosition { era, offset: end };
                self.end = self.end.max(Some(end));
                self.era.has_followed = true;
                self.election.confirm(sent);
                if let Some(appended) = self.appending.take() {
                    let previous = std::mem::replace(&mut self.table, appended.table);
                    self.apply_append(&previous, now);
                }
            }
            order::AppendOutcome::Conflict => {
                // The next read of the log returns the record that caused the conflict.
                self.append_retry = now + time::Duration::from_millis(APPEND_RETRY_MS);
            }
            order::AppendOutcome::Refused | order::AppendOutcome::Unknown => {
                self.append_retry = now + time::Duration::from_millis(APPEND_RETRY_MS);
            }
        }
    }

    fn apply_append(&mut self, previous: &assignment::AssignmentTable, now: clock::MonoTime) {
        let state = self.election.state();
        if state == election::ElectionState::Claiming {
            self.take_over_former(previous, now);
            self.fencing.take_over(&self.table.unfenced_servers, now);
        }
        if state != election::ElectionState::Granting {
            self.start_lost_grants(now);
            self.apply_election_event(election::ElectionEvent::ClaimAppended);
        }
        self.granted = self.table.version;
        self.sync_tracked_ranges(now);
    }

    // Takes account of former granters, which may go on sending orders until their time is over by
    // their own clocks.
    fn take_over_former(&mut self, previous: &assignment::AssignmentTable, now: clock::MonoTime) {
        let formers = &self.table.former_granters;
        self.former_granters
            .take_over(self.table.term, formers, now);
        let has_formers = !formers.is_empty();
        let ranges = previous.services.values().flatten();
        let holders = ranges.flat_map(|range| range.formers.iter().chain([&range.holder]));
        let incarnations = holders
            .map(|holder| holder.life.clone())
            .filter(|_| has_formers);
        let hold = time::Duration::from_millis(previous.longest_hold_millis);
        self.hold_expiry.take_over(incarnations, hold);
        self.unresponsive.clear();
    }
}
