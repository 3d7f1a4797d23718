//! A granter's record of one server: its lease, its orders and what it acknowledged.

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

/// What a granter knows of one server.
pub struct ServerLease {
    table: sync::Arc<chart::ChartTable<LeaseVocabulary>>,
    /// The server's settings.
    pub spec: configuration::ServerSpec,
    state: LeaseState,
    token: Option<contract::LeaseToken>,
    token_at: clock::MonoTime,
    sequence: u64,
    answered: u64,
    sent_at: Option<clock::MonoTime>,
    revision: u64,
    sent_revision: u64,
    acked_revision: u64,
    /// Whether the platform lists the server as leaving.
    pub listed_leaving: bool,
    /// Whether the configuration no longer has the server.
    pub removed: bool,
    draining: bool,
    /// The latest report of its load.
    pub load: contract::LoadReport,
    releasing: Vec<crate::names::ShardId>,
}

impl ServerLease {
    /// Creates the record of a server that has not answered yet.
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
            token_at: clock::MonoTime::default(),
            sequence: 0,
            answered: 0,
            sent_at: None,
            revision: 1,
            sent_revision: 0,
            acked_revision: 0,
            load: contract::LoadReport::default(),
            releasing: Vec::new(),
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// Reports whether the server must lose its shards: the operators, the platform or the server
    /// itself says so.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.spec.is_withdrawn() || self.removed || self.listed_leaving || self.draining
    }

    /// Returns the number of the grants' current state.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest state of the grants that the server acknowledged.
    #[must_use]
    pub const fn acked_revision(&self) -> u64 {
        self.acked_revision
    }

    /// Reports whether the server still runs work of a shard that it released.
    #[must_use]
    pub fn is_releasing(&self, shard: &crate::names::ShardId) -> bool {
        self.releasing.contains(shard)
    }

    /// Notes that the server's grants changed.
    pub const fn raise_revision(&mut self) {
        self.revision += 1;
    }

    /// Takes an event; returns the chart's actions.
    pub fn handle(&mut self, event: LeaseEvent) -> Vec<LeaseAction> {
        let table = sync::Arc::clone(&self.table);
        let Some(step) = table.step_unguarded(self.state, event) else {
            return Vec::new();
        };
        self.state = step.next;
        step.actions.to_vec()
    }

    /// Counts the next lease from a server's state that arrived at `now`.
    pub fn note_status(&mut self, status: &contract::ServerStatus, now: clock::MonoTime) {
        self.token = Some(status.token);
        self.token_at = now;
        self.load = status.load;
        self.draining = status.draining;
        self.releasing.clone_from(&status.releasing);
    }

    /// Reports whether the state comes from another process than the one that is known.
    #[must_use]
    pub fn is_other_process(&self, status: &contract::ServerStatus) -> bool {
        let known = self.token.map(|token| token.incarnation);
        known.is_some_and(|known| known != status.token.incarnation)
    }

    /// Reports whether the lease has lapsed for certain, by the token that it counts from.
    #[must_use]
    pub fn has_expired(&self, now: clock::MonoTime, timing: &timing::LeaseTiming) -> bool {
        self.state == LeaseState::Held && now >= self.token_at + timing.lease + timing.margin
    }

    /// Reports whether it is time for an order.
    #[must_use]
    pub fn is_due(&self, now: clock::MonoTime, renew: time::Duration) -> bool {
        let changed = self.sent_revision < self.revision;
        let waited = self.sent_at.is_none_or(|sent| now >= sent + renew);
        waited || (changed && self.state == LeaseState::Held)
    }

    /// Notes that an order or a question was sent.
    pub const fn note_sent(&mut self, now: clock::MonoTime) {
        self.sent_at = Some(now);
    }

    /// Reports whether the server may lack its current grants.
    #[must_use]
    pub const fn needs_grants(&self) -> bool {
        self.acked_revision < self.revision
    }

    /// Makes the next order, with the grants where the server may lack them.
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

    /// Takes the answer to an order; reports whether it is newer than those before.
    pub fn take_answer(&mut self, order: &contract::LeaseOrder) -> bool {
        let newer = order.sequence > self.answered;
        self.answered = self.answered.max(order.sequence);
        newer
    }

    /// Notes that the server has the grants of a revision.
    pub fn note_acked(&mut self, revision: u64) {
        self.acked_revision = self.acked_revision.max(revision);
    }

    /// Notes that the server no longer has its grants.
    pub const fn forget_acked(&mut self) {
        self.acked_revision = 0;
        self.revision += 1;
    }
}
