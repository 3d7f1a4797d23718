//! The granter role: which host has it, by the terms in the assignment table.

use std::time;

use crate::chart;
use crate::clock;

crate::chart_words!(
    /// The states of a host with regard to the granter role.
    ElectionState {
        Watching = "watching",
        Claiming = "claiming",
        Granting = "granting",
        Reclaiming = "reclaiming",
    }
);
crate::chart_words!(
    /// The events that change a host's state.
    ElectionEvent {
        ClaimDue = "claim-due",
        ClaimAppended = "claim-appended",
        AppendConflict = "append-conflict",
        NewerTermSeen = "newer-term-seen",
        RightEnded = "right-ended",
        Isolated = "isolated",
        StoreRestored = "store-restored",
    }
);
crate::chart_words!(
    /// The actions on a change of state.
    ElectionAction {
        AppendClaim = "append-claim",
        TakeUp = "take-up",
        StandDown = "stand-down",
        YieldDuty = "yield-duty",
    }
);

/// The vocabulary of the chart `granting`.
#[derive(Debug)]
pub struct ElectionVocabulary;

impl chart::ChartVocabulary for ElectionVocabulary {
    type State = ElectionState;
    type Event = ElectionEvent;
    type Guard = chart::NoGuard;
    type Action = ElectionAction;
    const SOURCE: &'static str = include_str!("../../charts/granting.toml");
}

/// How long a granter may go on sending orders after the log last showed that no other host had
/// claimed the role, in milliseconds. It covers outages of the log; a successor must wait as long
/// before it takes the hold of an unresponsive server as expired.
pub const MAX_UNCONFIRMED_MS: u64 = 12_000;

/// The granter role as seen by one host.
pub struct GranterElection {
    table: chart::ChartTable<ElectionVocabulary>,
    state: ElectionState,
    confirmed: clock::MonoTime,
}

impl GranterElection {
    /// Creates the state of a host that watches the log.
    ///
    /// # Errors
    /// Fails when the chart `granting` is invalid.
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

    /// Applies an event and returns the chart's actions, none where the state ignores the event.
    pub fn handle(&mut self, event: ElectionEvent) -> Vec<ElectionAction> {
        let Some(step) = self.table.step_unguarded(self.state, event) else {
            return Vec::new();
        };
        self.state = step.next;
        step.actions.to_vec()
    }

    /// Records that no other host had claimed the role at `at`.
    pub fn confirm(&mut self, at: clock::MonoTime) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns the last time at which no other host had claimed the role.
    #[must_use]
    pub const fn confirmed(&self) -> clock::MonoTime {
        self.confirmed
    }

    /// Reports whether this host may send orders at `now`.
    #[must_use]
    pub fn may_order(&self, now: clock::MonoTime) -> bool {
        let grants = matches!(
            self.state,
            ElectionState::Granting | ElectionState::Reclaiming
        );
        grants && self.is_confirmed(now)
    }

    /// Reports whether the log held nothing newer within the last `MAX_UNCONFIRMED_MS`.
    #[must_use]
    pub fn is_confirmed(&self, now: clock::MonoTime) -> bool {
        now < self.confirmed + time::Duration::from_millis(MAX_UNCONFIRMED_MS)
    }
}
