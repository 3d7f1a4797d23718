//! The duty of granting: which host has it, by the book's terms.

use std::time;

use crate::chart;
use crate::clock;

crate::chart_words!(
    /// The states of the duty at one host.
    ElectionState {
        Watching = "watching",
        Claiming = "claiming",
        Granting = "granting",
    }
);
crate::chart_words!(
    /// The events of the duty.
    DutyEvent {
        ClaimDue = "claim-due",
        ClaimAppended = "claim-appended",
        AppendConflict = "append-conflict",
        NewerTermSeen = "newer-term-seen",
        RightEnded = "right-ended",
        Isolated = "isolated",
    }
);
crate::chart_words!(
    /// The actions of the duty.
    ElectionAction {
        AppendClaim = "append-claim",
        TakeUp = "take-up",
        StandDown = "stand-down",
        YieldDuty = "yield-duty",
    }
);

/// The words of the chart `granting`.
#[derive(Debug)]
pub struct ElectionVocabulary;

impl chart::ChartVocabulary for ElectionVocabulary {
    type State = ElectionState;
    type Event = DutyEvent;
    type Guard = chart::NoGuard;
    type Action = ElectionAction;
    const SOURCE: &'static str = include_str!("../../charts/granting.toml");
}

/// How long a granter may go on after the last sign that no other has claimed, in milliseconds.
/// It bridges outages of the log; a successor waits as long before it takes a silent server's hold
/// for ended.
pub const MAX_UNCONFIRMED_MS: u64 = 12_000;

/// The duty at one host.
pub struct GranterElection {
    table: chart::ChartTable<ElectionVocabulary>,
    state: ElectionState,
    confirmed: clock::MonoTime,
}

impl GranterElection {
    /// Creates the duty of a host that watches.
    ///
    /// # Errors
    /// Fails when the chart `granting` is faulty.
    pub fn new() -> Result<Self, chart::ChartError> {
        let table: chart::ChartTable<ElectionVocabulary> = chart::ChartTable::new()?;
        Ok(Self {
            state: table.initial(),
            table,
            confirmed: clock::MonoTime::from_micros(0),
        })
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> ElectionState {
        self.state
    }

    /// Takes an event; returns the chart's actions.
    pub fn handle(&mut self, event: DutyEvent) -> Vec<ElectionAction> {
        let Some(step) = self.table.step_unguarded(self.state, event) else {
            return Vec::new();
        };
        self.state = step.next;
        step.actions.to_vec()
    }

    /// Notes that no other host had claimed at `at`.
    pub fn confirm(&mut self, at: clock::MonoTime) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Reports whether the right to order holds at `now`.
    #[must_use]
    pub fn has_right(&self, now: clock::MonoTime) -> bool {
        let right = time::Duration::from_millis(MAX_UNCONFIRMED_MS);
        self.state == ElectionState::Granting && now < self.confirmed + right
    }
}
