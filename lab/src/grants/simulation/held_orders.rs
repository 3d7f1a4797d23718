//! Orders that a host's machine still holds when its process is killed: sent into a cut, over a connection
//! that was open, they are sent again at growing intervals until they arrive after the cut.

use std::collections;
use std::time;

use rand::RngExt as _;

use crate::grants::simulation;
use zinniastack::clock;
use zinniastack::ownership::order;

/// When unacknowledged bytes are sent again first, in milliseconds; each later interval is twice as long.
const FIRST_RESEND_MS: u64 = 200;
/// How long after the end of a cut grants that arrive do not count, by the platform's rules, in
/// milliseconds.
const THAW_MS: u64 = 300;

/// The servers that are cut off from all hosts.
#[derive(Debug, Default)]
pub(crate) struct ServerCuts {
    // Whether such cuts are among the random faults.
    pub(crate) are_random: bool,
    unreachable: collections::BTreeSet<usize>,
    // When a cut ended last.
    ended: clock::MonoTime,
}

impl ServerCuts {
    pub(crate) fn random() -> Self {
        Self {
            are_random: true,
            ..Self::default()
        }
    }

    pub(super) fn contains(&self, server: usize) -> bool {
        self.unreachable.contains(&server)
    }
}

// A grant order that the server has not acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct HeldOrder {
    pub(crate) order: order::GrantOrder,
    // The process of the server to which its connection leads.
    born: u64,
    sent: clock::MonoTime,
    interval_ms: u64,
}

impl HeldOrder {
    pub(crate) const fn new(order: order::GrantOrder, born: u64, sent: clock::MonoTime) -> Self {
        Self {
            order,
            born,
            sent,
            interval_ms: FIRST_RESEND_MS,
        }
    }
}

impl simulation::GrantSimulation {
    /// Cuts the first `count` servers off from all hosts.
    pub fn cut_servers_off(&mut self, count: usize) {
        self.server_cuts.unreachable.extend(0..count);
    }

    /// Ends the cut of [`Self::cut_servers_off`].
    pub fn reconnect_servers(&mut self) {
        let cuts = &mut self.server_cuts;
        if !cuts.unreachable.is_empty() {
            cuts.unreachable.clear();
            cuts.ended = self.now;
        }
    }

    pub(super) fn is_cut(&self, host: usize, server: usize) -> bool {
        self.server_cuts.contains(server) || self.hosts[host].cut_from.contains(&server)
    }

    // Cuts some servers off from all hosts, often shortly before the granter is killed.
    pub(crate) fn cut_servers_off_at_random(&mut self) {
        let count = self.random.random_range(1..3);
        self.cut_servers_off(count);
        if self.chance(2) {
            let after = self.random.random_range(50..900);
            self.push(after, simulation::SimulationEvent::KillGranter);
        }
    }

    // A process of `host` has been killed that had sent `orders`.
    pub(crate) fn hold_orders(&mut self, host: usize, orders: Vec<HeldOrder>) {
        let timeout = time::Duration::from_millis(order::ORDER_TIMEOUT_MS);
        // The process has reset the connections of older ones.
        let held = orders
            .into_iter()
            .filter(|held| self.now.since(held.sent) < timeout);
        let held: Vec<_> = held.collect();
        for held in held {
            let at = held.sent + time::Duration::from_millis(held.interval_ms);
            let resend = simulation::SimulationEvent::Resend { host, held };
            self.push_at(at.max(self.now), resend);
        }
    }

    pub(super) fn resend(&mut self, host: usize, held: HeldOrder) {
        let server = self.server_of(&held.order.address);
        if self.server_cuts.contains(server) {
            let interval_ms = 2 * held.interval_ms;
            let held = HeldOrder {
                interval_ms,
                ..held
            };
            self.push(
                interval_ms,
                simulation::SimulationEvent::Resend { host, held },
            );
            return;
        }
        let counted = self.server_cuts.ended + time::Duration::from_millis(THAW_MS);
        let arrives = self.now.max(counted);
        let arrival = simulation::SimulationEvent::Grant {
            host,
            incarnation: 0,
            order: held.order,
            sending: simulation::OrderSending {
                delivery: simulation::OrderDelivery::ResponseLost,
                born: held.born,
            },
            arrived: None,
        };
        self.push_at(arrives, arrival);
    }
}
