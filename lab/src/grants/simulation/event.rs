//! What happens in the world, and in which order.

use std::cmp;

use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::former_granters;
use zinniastack::ownership::order;

#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    Tick(usize),
    Read(usize),
    Join(usize),
    Beat(usize),
    Thaw(usize),
    Append {
        host: usize,
        life: u64,
        table: assignment::AssignmentTable,
        at: u64,
        sent: clock::MonoTime,
        lost: bool,
    },
    Appended {
        host: usize,
        life: u64,
        outcome: order::AppendOutcome,
        sent: clock::MonoTime,
    },
    Grant {
        host: usize,
        life: u64,
        order: order::GrantOrder,
        fate: OrderFate,
        arrived: Option<clock::MonoTime>,
    },
    Granted {
        host: usize,
        life: u64,
        order: order::GrantOrder,
        outcome: order::OrderOutcome,
    },
    Release {
        host: usize,
        life: u64,
        order: order::ReleaseOrder,
    },
    Released {
        host: usize,
        life: u64,
        order: order::ReleaseOrder,
        outcome: order::OrderOutcome,
    },
    Ask(usize),
    Question {
        host: usize,
        from: usize,
        from_life: u64,
        asked: clock::MonoTime,
    },
    Answer {
        host: usize,
        life: u64,
        answer: former_granters::HostResponse,
    },
    Fault,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFate {
    Answered,
    AnswerLost,
    AppliedLate,
}

pub(crate) struct QueuedEvent {
    pub(super) at: clock::MonoTime,
    pub(super) number: u64,
    pub(crate) event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
