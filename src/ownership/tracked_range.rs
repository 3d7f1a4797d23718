//! A range of keys as the granter tracks it: its state in the chart `key-range`, and its orders.

use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::hold_expiry;
use crate::ownership::order;
use crate::serving::directory;

crate::chart_words!(
    /// The states of a range.
    RangeState {
        Vacating = "vacating",
        Ordered = "ordered",
        Held = "held",
        Refused = "refused",
    }
);
crate::chart_words!(
    /// The events of a range.
    RangeEvent {
        Vacated = "vacated",
        Accepted = "accepted",
        Refused = "refused",
    }
);
crate::chart_words!(
    /// The actions on a change of a range's state.
    RangeAction {
        Order = "order",
        NoteHeld = "note-held",
        RaiseFence = "raise-fence",
    }
);

/// The vocabulary of the chart `key-range`.
#[derive(Debug)]
pub struct RangeVocabulary;

impl chart::ChartVocabulary for RangeVocabulary {
    type State = RangeState;
    type Event = RangeEvent;
    type Guard = chart::NoGuard;
    type Action = RangeAction;
    const SOURCE: &'static str = include_str!("../../charts/key-range.toml");
}

pub(crate) struct FormerHolder {
    pub(crate) holder: assignment::KeyHolder,
    pub(crate) in_flight: bool,
    pub(crate) next_order_at: clock::MonoTime,
}

// What the granter's orders are based on.
#[derive(Clone, Copy)]
pub(crate) struct GrantBasis<'a> {
    // The table that is being appended.
    pub(crate) pending: Option<&'a assignment::AssignmentTable>,
    pub(crate) hold: time::Duration,
    // When the granter's right was last confirmed.
    pub(crate) confirmed: clock::MonoTime,
}

pub(crate) struct TrackedRange {
    pub(crate) state: RangeState,
    pub(crate) holder: assignment::KeyHolder,
    pub(crate) formers: Vec<FormerHolder>,
    // Whether the range had former holders when it was first tracked.
    pub(crate) was_moving: bool,
    pub(crate) handover: Option<sync::Arc<str>>,
    pub(crate) in_flight: bool,
    pub(crate) next_order_at: clock::MonoTime,
    // When the last order was withheld: the right must be confirmed after that.
    pub(crate) withheld_at: Option<clock::MonoTime>,
}

impl TrackedRange {
    // Whether an order is due, given the time of the last confirmation of the granter's right.
    pub(crate) fn is_due(&self, now: clock::MonoTime, confirmed: clock::MonoTime) -> bool {
        let may_go = self.withheld_at.is_some_and(|at| confirmed >= at);
        !self.in_flight && (may_go || now >= self.next_order_at)
    }

    // Returns the next grant order, which is in flight from now on.
    pub(crate) fn next_grant(
        &mut self,
        id: &order::RangeId,
        basis: &GrantBasis<'_>,
    ) -> order::GrantOrder {
        self.in_flight = true;
        order::GrantOrder {
            range: id.clone(),
            life: self.holder.life.clone(),
            address: self.holder.address,
            hold: basis.hold,
            handover: self.handover.clone(),
            connected_by: basis.confirmed,
            // An append without an outcome may have changed the range.
            may_be_proven: basis.pending.is_none_or(|t| t.has_range(id)),
        }
    }
}

// Pushes the release orders that are due. Returns the former holders that are dropped because their holds
// have expired without a response.
pub(crate) fn release_formers(
    id: &order::RangeId,
    tracked: &mut TrackedRange,
    now: clock::MonoTime,
    hold_expiry: &hold_expiry::HoldExpiry,
    servers: &directory::ServerDirectory,
    actions: &mut Vec<order::GranterAction>,
) -> Vec<assignment::KeyHolder> {
    tracked
        .formers
        .retain(|former| !has_other_address(&former.holder, servers));
    let is_expired = |former: &mut FormerHolder| hold_expiry.has_expired(&former.holder.life, now);
    let expired = tracked.formers.extract_if(.., is_expired);
    let expired = expired.map(|former| former.holder).collect();
    for former in &mut tracked.formers {
        if former.in_flight || now < former.next_order_at {
            continue;
        }
        former.in_flight = true;
        actions.push(order::GranterAction::Release(order::ReleaseOrder {
            range: id.clone(),
            life: former.holder.life.clone(),
            address: former.holder.address,
        }));
    }
    expired
}

// Whether the server has restarted at another address. At the same address a later incarnation may
// hold the keys: orders name the server and not its start.
pub(crate) fn has_other_address(
    holder: &assignment::KeyHolder,
    servers: &directory::ServerDirectory,
) -> bool {
    let record = servers.find(&holder.life.server);
    has_restarted(&holder.life, servers)
        && record.is_some_and(|record| record.address != holder.address)
}

// Whether the server has registered a later incarnation: this one has ended.
pub(crate) fn has_restarted(
    incarnation: &assignment::ServerIncarnation,
    servers: &directory::ServerDirectory,
) -> bool {
    let record = servers.find(&incarnation.server);
    record.is_some_and(|record| record.life.born > incarnation.born)
}

pub(crate) fn range_id(
    service: &names::ServiceName,
    range: &assignment::RangeEntry,
) -> order::RangeId {
    order::RangeId {
        service: service.clone(),
        first: range.first,
        last: range.last,
        fence: range.fence,
    }
}

pub(crate) fn track_range(
    table: &chart::ChartTable<RangeVocabulary>,
    range: &assignment::RangeEntry,
    now: clock::MonoTime,
) -> TrackedRange {
    let formers = range.formers.iter().map(|holder| FormerHolder {
        holder: holder.clone(),
        in_flight: false,
        next_order_at: now,
    });
    TrackedRange {
        state: table.initial(),
        holder: range.holder.clone(),
        formers: formers.collect(),
        was_moving: !range.formers.is_empty(),
        handover: None,
        in_flight: false,
        next_order_at: now,
        withheld_at: None,
    }
}
