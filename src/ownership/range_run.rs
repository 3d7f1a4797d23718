//! One range of keys at the granter: its course by the chart `key-range`, and its orders.

use std::sync;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::arrival;
use crate::ownership::assignment;
use crate::ownership::order;
use crate::serving::directory;

crate::chart_words!(
    /// The states of one range at the granter.
    RangeState {
        Vacating = "vacating",
        Ordered = "ordered",
        Held = "held",
        Refused = "refused",
    }
);
crate::chart_words!(
    /// The events of one range.
    RangeEvent {
        Vacated = "vacated",
        Accepted = "accepted",
        Refused = "refused",
    }
);
crate::chart_words!(
    /// The actions of one range.
    RangeAction {
        Order = "order",
        NoteHeld = "note-held",
        RaiseFence = "raise-fence",
    }
);

/// The words of the chart `key-range`.
#[derive(Debug)]
pub struct RangeVocabulary;

impl chart::ChartVocabulary for RangeVocabulary {
    type State = RangeState;
    type Event = RangeEvent;
    type Guard = chart::NoGuard;
    type Action = RangeAction;
    const SOURCE: &'static str = include_str!("../../charts/key-range.toml");
}

pub(crate) struct FormerState {
    pub(crate) holder: assignment::KeyHolder,
    pub(crate) open: bool,
    pub(crate) next_call: clock::MonoTime,
}

pub(crate) struct RangeRun {
    pub(crate) state: RangeState,
    pub(crate) holder: assignment::KeyHolder,
    pub(crate) formers: Vec<FormerState>,
    pub(crate) handover: Option<sync::Arc<str>>,
    pub(crate) open: bool,
    pub(crate) next_call: clock::MonoTime,
}

pub(crate) fn release_formers(
    id: &order::RangeId,
    run: &mut RangeRun,
    now: clock::MonoTime,
    ledger: &arrival::ArrivalLedger,
    servers: &directory::ServerDirectory,
    actions: &mut Vec<order::GranterAction>,
) {
    run.formers.retain(|former| {
        let life = &former.holder.life;
        !is_reborn(life, servers) && !ledger.has_lapsed(life, now)
    });
    for former in &mut run.formers {
        if former.open || now < former.next_call {
            continue;
        }
        former.open = true;
        actions.push(order::GranterAction::Release(order::ReleaseOrder {
            range: id.clone(),
            life: former.holder.life.clone(),
            address: former.holder.address,
        }));
    }
}

// A server that started again holds nothing of its life before.
pub(crate) fn is_reborn(
    life: &assignment::ServerIncarnation,
    servers: &directory::ServerDirectory,
) -> bool {
    let record = servers.find(&life.server);
    record.is_some_and(|record| record.life.born > life.born)
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

pub(crate) fn new_run(
    table: &chart::ChartTable<RangeVocabulary>,
    range: &assignment::RangeEntry,
    now: clock::MonoTime,
) -> RangeRun {
    let formers = range.formers.iter().map(|holder| FormerState {
        holder: holder.clone(),
        open: false,
        next_call: now,
    });
    RangeRun {
        state: table.initial(),
        holder: range.holder.clone(),
        formers: formers.collect(),
        handover: None,
        open: false,
        next_call: now,
    }
}
