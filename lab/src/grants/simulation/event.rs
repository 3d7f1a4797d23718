//! The events of the simulation.

use crate::grants::simulation::held_orders;
use crate::grants::simulation::stored_log;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::former_granters;
use zinniastack::ownership::order;
use zinniastack::serving::topic;

#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    Tick(usize),
    Read(usize),
    Join(usize),
    Heartbeat(usize),
    Unfreeze(usize),
    Append {
        host: usize,
        incarnation: u64,
        append: stored_log::TableAppend,
        sent: clock::MonoTime,
        lost: bool,
    },
    Appended {
        host: usize,
        incarnation: u64,
        append: stored_log::TableAppend,
        outcome: order::AppendOutcome,
        // The era in which the store responded.
        era: u64,
        sent: clock::MonoTime,
    },
    Grant {
        host: usize,
        incarnation: u64,
        order: order::GrantOrder,
        sending: OrderSending,
        arrived: Option<clock::MonoTime>,
    },
    Confirm {
        host: usize,
        incarnation: u64,
        // The end of the log as the host knows it.
        end: topic::LogPosition,
        sent: clock::MonoTime,
    },
    Confirmed {
        host: usize,
        incarnation: u64,
        is_unchanged: bool,
        sent: clock::MonoTime,
    },
    Granted {
        host: usize,
        incarnation: u64,
        order: order::GrantOrder,
        outcome: order::OrderOutcome,
    },
    Release {
        host: usize,
        incarnation: u64,
        order: order::ReleaseOrder,
    },
    Released {
        host: usize,
        incarnation: u64,
        order: order::ReleaseOrder,
        outcome: order::OrderOutcome,
    },
    Fence {
        host: usize,
        incarnation: u64,
        order: order::FenceOrder,
    },
    Fenced {
        host: usize,
        incarnation: u64,
        order: order::FenceOrder,
        outcome: order::OrderOutcome,
    },
    QueryFormer(usize),
    HostQuery {
        host: usize,
        from: usize,
        from_incarnation: u64,
        asked: clock::MonoTime,
    },
    HostResponse {
        host: usize,
        incarnation: u64,
        response: former_granters::HostResponse,
    },
    // A table that the store has lost, from another host.
    TableRelay {
        host: usize,
        incarnation: u64,
        table: Box<assignment::AssignmentTable>,
        // When the log was last known to hold nothing newer.
        confirmed: Option<clock::MonoTime>,
    },
    // The machine of a killed process sends an order again.
    Resend {
        host: usize,
        held: held_orders::HeldOrder,
    },
    KillGranter,
    Fault,
}

// What happens to a grant order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderDelivery {
    Answered,
    ResponseLost,
    // The server receives the order in time but carries it out seconds later.
    AppliedLate,
}

// How a grant order is sent, and to which process of the server its connection leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderSending {
    pub(crate) delivery: OrderDelivery,
    pub(crate) born: u64,
}
