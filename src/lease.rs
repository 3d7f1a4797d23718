//! The granter's state for one backend server: its lease, its lease orders and acknowledgements.

use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::configuration;
use crate::contract;
use crate::timing;

crate::chart_words!(
    /// The states of a server's lease.
    LeaseState { Unknown = "unknown", Held = "held", Lapsed = "lapsed" }
);
crate::chart_words!(
    /// The events of a server's lease.
    LeaseEvent {
        Reported = "reported",
        Renewed = "renewed",
        Restarted = "restarted",
        Expired = "expired",
    }
);
crate::chart_words!(
    /// The actions of a server's lease.
    LeaseAction {
        AdoptReport = "adopt-report",
        CountFromToken = "count-from-token",
        FreeShards = "free-shards",
    }
);

/// The words of the chart `lease`.
#[derive(Debug)]
pub struct LeaseVocabulary;

impl chart::ChartVocabulary for LeaseVocabulary {
    type State = LeaseState;
    type Event = LeaseEvent;
    type Guard = chart::NoGuard;
    type Action = LeaseAction;
    const SOURCE: &'static str = include_str!("../charts/lease.toml");
}

/// The state that a granter keeps for one server.
pub struct ServerLease {
    table: sync::Arc<chart::ChartTable<LeaseVocabulary>>,
    /// The server's settings.
    pub spec: configuration::ServerSpec,
    state: LeaseState,
    token: Option<contract::LeaseToken>,
    token_received_at: clock::MonoTime,
    sequence: u64,
    last_answered: u64,
    sent_at: Option<clock::MonoTime>,
    revision: u64,
    sent_revision: u64,
    acked_revision: u64,
    /// Whether the platform lists the server as leaving.
    pub listed_leaving: bool,
    /// Whether the server was removed from the configuration.
    pub removed: bool,
    draining: bool,
    /// The load that the server reported last.
    pub load: contract::LoadReport,
    releasing: Vec<crate::names::ShardId>,
}

impl ServerLease {
    /// Creates the state of a server that has not responded yet.
    #[must_use]
    pub fn new(
        table: sync::Arc<chart::ChartTable<LeaseVocabulary>>,
        spec: configuration::ServerSpec,
    ) -> Self {
        Self {
            state: table.initial(),
            table,
            listed_leaving: false,
            removed: false,
            draining: false,
            spec,
            token: None,
            token_received_at: clock::MonoTime::default(),
            sequence: 0,
            last_answered: 0,
            sent_at: None,
            revision: 1,
            sent_revision: 0,
            acked_revision: 0,
            load: contract::LoadReport::default(),
            releasing: Vec::new(),
        }
    }

    /// Returns the state of the chart `lease`.
    #[must_use]
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// Reports whether the server's shards must move away: an operator withdrew or removed it, the
    /// platform lists it as leaving, or it asks for this itself.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.spec.is_withdrawn() || self.removed || self.listed_leaving || self.draining
    }

    /// Returns the current revision of the server's grants.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest revision of its grants that the server acknowledged.
    #[must_use]
    pub const fn acked_revision(&self) -> u64 {
        self.acked_revision
    }

    /// Reports whether the server still runs requests for a shard that it released.
    #[must_use]
    pub fn is_releasing(&self, shard: &crate::names::ShardId) -> bool {
        self.releasing.contains(shard)
    }

    /// Starts a new revision after the server's grants changed.
    pub const fn raise_revision(&mut self) {
        self.revision += 1;
    }

    /// Handles an event; returns the actions of the chart `lease`.
    pub fn handle(&mut self, event: LeaseEvent) -> Vec<LeaseAction> {
        let table = sync::Arc::clone(&self.table);
        let Some(step) = table.step_unguarded(self.state, event) else {
            return Vec::new();
        };
        self.state = step.next;
        step.actions.to_vec()
    }

    /// Stores a server's status that arrived at `now`; the next lease counts from its token.
    pub fn note_status(&mut self, status: &contract::ServerStatus, now: clock::MonoTime) {
        self.token = Some(status.token);
        self.token_received_at = now;
        self.load = status.load;
        self.draining = status.draining;
        self.releasing.clone_from(&status.releasing);
    }

    /// Reports whether the status comes from another process than the last one did.
    #[must_use]
    pub fn is_other_incarnation(&self, status: &contract::ServerStatus) -> bool {
        let known = self.token.map(|token| token.incarnation);
        known.is_some_and(|known| known != status.token.incarnation)
    }

    /// Reports whether the lease has certainly lapsed, counted from when its token arrived.
    #[must_use]
    pub fn has_expired(&self, now: clock::MonoTime, timing: &timing::LeaseTiming) -> bool {
        self.state == LeaseState::Held
            && now >= self.token_received_at + timing.lease + timing.margin
    }

    /// Reports whether a message is due: the renewal interval has passed, or the grants of a server
    /// whose lease is held have changed.
    #[must_use]
    pub fn is_due(&self, now: clock::MonoTime, renew: time::Duration) -> bool {
        let changed = self.sent_revision < self.revision;
        let waited = self.sent_at.is_none_or(|sent| now >= sent + renew);
        waited || (changed && self.state == LeaseState::Held)
    }

    /// Records that a lease order or a claim was sent.
    pub const fn note_sent(&mut self, now: clock::MonoTime) {
        self.sent_at = Some(now);
    }

    /// Reports whether the server has not acknowledged its current grants.
    #[must_use]
    pub const fn needs_grants(&self) -> bool {
        self.acked_revision < self.revision
    }

    /// Builds the next order. `grants` are the current grants where the server needs them.
    pub fn next_order(
        &mut self,
        base: &contract::LeaseOrder,
        grants: Option<Vec<contract::ShardGrant>>,
    ) -> contract::LeaseOrder {
        self.sequence += 1;
        self.sent_revision = self.revision;
        contract::LeaseOrder {
            sequence: self.sequence,
            token: self.token,
            revision: self.revision,
            grants,
            ..base.clone()
        }
    }

    /// Records that an order was answered; reports whether it is newer than all answered before.
    pub fn record_reply(&mut self, order: &contract::LeaseOrder) -> bool {
        let newer = order.sequence > self.last_answered;
        self.last_answered = self.last_answered.max(order.sequence);
        newer
    }

    /// Records that the server acknowledged a revision of its grants.
    pub fn note_acked(&mut self, revision: u64) {
        self.acked_revision = self.acked_revision.max(revision);
    }

    /// Records that a restarted server has lost its grants, so that they are sent again.
    pub const fn reset_acked(&mut self) {
        self.acked_revision = 0;
        self.revision += 1;
    }
}
