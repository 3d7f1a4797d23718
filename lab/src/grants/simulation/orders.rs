//! The orders that granters send to servers, and how the servers carry them out.

use crate::grants::key_server;
use crate::grants::simulation;
use crate::grants::simulation::held_orders;
use rand::RngExt as _;
use std::net;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::fencing;
use zinniastack::ownership::order;

impl simulation::GrantSimulation {
    pub(super) fn send_grant(&mut self, host: usize, order: order::GrantOrder) {
        let incarnation = self.hosts[host].incarnation;
        let server = self.server_of(&order.address);
        if self.is_cut(host, server) || !self.servers[server].alive {
            // An order sent over a connection that was open before the server became unreachable
            // gets no answer; after that, connecting mostly fails, and the order is unsent.
            let known = self.hosts[host].connections.remove(&server);
            let known = known.filter(|known| known.has_answered);
            let has_connection = known.is_some();
            if let Some(known) = known.filter(|_| self.server_cuts.contains(server)) {
                let held = held_orders::HeldOrder::new(order.clone(), known.born, self.now);
                self.hosts[host].held_orders.push(held);
            }
            let sent = has_connection || (!self.is_reliable && self.chance(20));
            let (after, outcome) = if sent {
                (order::ORDER_TIMEOUT_MS, order::OrderOutcome::Unanswered)
            } else {
                (300, order::OrderOutcome::Unsent)
            };
            self.push(
                after,
                simulation::SimulationEvent::Granted {
                    host,
                    incarnation,
                    order,
                    outcome,
                },
            );
            return;
        }
        let Some(born) = self.connect(host, server, &order) else {
            let outcome = order::OrderOutcome::Withheld;
            let withheld = simulation::SimulationEvent::Granted {
                host,
                incarnation,
                order,
                outcome,
            };
            let delay = self.delay();
            self.push(delay, withheld);
            return;
        };
        let delivery = match self.random.random_range(0..40) {
            _ if self.is_reliable => simulation::OrderDelivery::Answered,
            0 => simulation::OrderDelivery::ResponseLost,
            1 => simulation::OrderDelivery::AppliedLate,
            _ => simulation::OrderDelivery::Answered,
        };
        // Some orders are delayed until shortly before the sender times out.
        let is_delayed = !self.is_reliable && self.chance(6);
        let delay = if is_delayed {
            self.random.random_range(100..490)
        } else {
            self.delay()
        };
        if self.mutation == simulation::GrantMutation::LapseFromSending {
            let now = self.clock_of(host);
            let outcome = order::OrderOutcome::Done(None);
            self.hosts[host].granter.note_granted(&order, &outcome, now);
        }
        let unanswered = order::OrderOutcome::Unanswered;
        let timed_out = simulation::SimulationEvent::Granted {
            host,
            incarnation,
            order: order.clone(),
            outcome: unanswered,
        };
        if delivery != simulation::OrderDelivery::Answered {
            self.push(order::ORDER_TIMEOUT_MS, timed_out);
        }
        self.push(
            delay,
            simulation::SimulationEvent::Grant {
                host,
                incarnation,
                order,
                sending: simulation::OrderSending { delivery, born },
                arrived: None,
            },
        );
    }

    pub(super) fn grant(
        &mut self,
        host: usize,
        incarnation: u64,
        order: order::GrantOrder,
        sending: simulation::OrderSending,
        arrived: Option<clock::MonoTime>,
    ) {
        let index = self.server_of(&order.address);
        let delivery = sending.delivery;
        let is_postponed = delivery == simulation::OrderDelivery::AppliedLate && arrived.is_none();
        if is_postponed {
            let arrived = Some(self.now);
            let after = self.random.random_range(2_000..9_000);
            self.push(
                after,
                simulation::SimulationEvent::Grant {
                    host,
                    incarnation,
                    order,
                    sending,
                    arrived,
                },
            );
            return;
        }
        let server = &mut self.servers[index];
        // The connection ended with the process that it led to.
        if !server.alive || server.server.incarnation.born != sending.born {
            if delivery == simulation::OrderDelivery::Answered {
                let outcome = order::OrderOutcome::Unanswered;
                let ended = simulation::SimulationEvent::Granted {
                    host,
                    incarnation,
                    order,
                    outcome,
                };
                self.push(order::ORDER_TIMEOUT_MS, ended);
            }
            return;
        }
        // An order that the process before a restart had received ended with that process.
        if arrived.is_some_and(|arrived| arrived < server.started) {
            return;
        }
        let life = server.server.incarnation.clone();
        let is_named = self.has_cut_granters && life.server == order.life.server;
        let outcome = if is_named || life == order.life {
            let result = server.server.grant(&key_server::HoldOrder {
                first: order.range.first,
                last: order.range.last,
                fence: order.range.fence,
                hold: order.hold,
                arrived: arrived.unwrap_or(self.now),
                now: self.now,
            });
            if result == key_server::GrantResult::Held {
                self.note_granted_keys(&order, life);
            }
            match result {
                key_server::GrantResult::Refused => order::OrderOutcome::Refused,
                _ => order::OrderOutcome::Done(None),
            }
        } else {
            order::OrderOutcome::Replaced
        };
        if delivery == simulation::OrderDelivery::Answered
            && self.mutation != simulation::GrantMutation::LapseFromSending
        {
            let delay = self.delay();
            self.push(
                delay,
                simulation::SimulationEvent::Granted {
                    host,
                    incarnation,
                    order,
                    outcome,
                },
            );
        }
    }

    // Records a violation if a key is granted to another server incarnation under a fence that is not
    // above all fences under which other incarnations had it. The same grant at a later incarnation of
    // the server is no other grant.
    fn note_granted_keys(
        &mut self,
        order: &order::GrantOrder,
        life: assignment::ServerIncarnation,
    ) {
        let range = &order.range;
        let higher = self
            .granted
            .iter()
            .find(|(first, last, fence, incarnation)| {
                let same = (*first, *last, *fence) == (range.first, range.last, range.fence)
                    && incarnation.server == life.server;
                key_server::overlaps(*first, *last, range.first, range.last)
                    && *incarnation != life
                    && *fence >= range.fence
                    && !same
            });
        if let Some((_, _, fence, incarnation)) = higher {
            let text = format!(
                "{:?}: {:?} takes {}..{} under {}, {:?} had {}",
                self.now, life, range.first, range.last, range.fence, incarnation, fence
            );
            self.violations.push(text);
        }
        let entry = (range.first, range.last, range.fence, life);
        if !self.granted.contains(&entry) {
            self.granted.push(entry);
        }
    }

    pub(super) fn release(&mut self, host: usize, incarnation: u64, order: order::ReleaseOrder) {
        let index = self.server_of(&order.address);
        let working = self.random.random_range(0..simulation::MAX_WORK_MS);
        let is_cut = self.is_cut(host, index);
        let server = &mut self.servers[index];
        let outcome = if is_cut || !server.alive {
            order::OrderOutcome::Unanswered
        } else if server.server.incarnation.server == order.life.server {
            let range = &order.range;
            server.server.release(range.first, range.last, range.fence);
            order::OrderOutcome::Done(None)
        } else {
            order::OrderOutcome::Replaced
        };
        let lost = !self.is_reliable && self.chance(20);
        let lost = lost || is_cut;
        let outcome = if lost {
            order::OrderOutcome::Unanswered
        } else {
            outcome
        };
        let after = if lost {
            order::RELEASE_TIMEOUT_MS
        } else {
            working + 2
        };
        self.push(
            after,
            simulation::SimulationEvent::Released {
                host,
                incarnation,
                order,
                outcome,
            },
        );
    }

    pub(super) fn note_granted(
        &mut self,
        host: usize,
        order: &order::GrantOrder,
        outcome: &order::OrderOutcome,
    ) {
        let now = self.clock_of(host);
        if *outcome == order::OrderOutcome::Done(None) {
            self.note_answered(host, order);
        }
        let granter = &mut self.hosts[host].granter;
        if granter.note_granted(order, outcome, now) {
            self.decide(host);
        }
    }

    pub(super) fn released(
        &mut self,
        host: usize,
        order: &order::ReleaseOrder,
        outcome: &order::OrderOutcome,
    ) {
        let now = self.clock_of(host);
        let granter = &mut self.hosts[host].granter;
        granter.note_released(order, outcome, now);
        self.decide(host);
    }

    pub(super) fn fenced(
        &mut self,
        host: usize,
        order: &order::FenceOrder,
        outcome: &order::OrderOutcome,
    ) {
        let now = self.clock_of(host);
        let granter = &mut self.hosts[host].granter;
        if granter.note_fenced(order, outcome, now) {
            self.decide(host);
        }
    }

    pub(super) fn fence(&mut self, host: usize, incarnation: u64, order: order::FenceOrder) {
        let index = self.server_of(&order.address);
        let is_cut = self.is_cut(host, index);
        // The response is lost, where there is a connection.
        let is_lost = !self.is_reliable && self.chance(20);
        let server = &mut self.servers[index];
        let (after, outcome) = if is_cut || !server.alive {
            (
                fencing::FENCE_CONNECT_TIMEOUT_MS,
                order::OrderOutcome::Unsent,
            )
        } else if server.server.incarnation.server == order.life.server {
            for range in &order.ranges {
                server.server.release(range.first, range.last, range.fence);
            }
            if is_lost {
                (order::ORDER_TIMEOUT_MS, order::OrderOutcome::Unanswered)
            } else {
                (2, order::OrderOutcome::Done(None))
            }
        } else {
            (2, order::OrderOutcome::Replaced)
        };
        let ended = simulation::SimulationEvent::Fenced {
            host,
            incarnation,
            order,
            outcome,
        };
        self.push(after, ended);
    }

    pub(super) fn server_of(&self, address: &net::SocketAddr) -> usize {
        let position = self.servers.iter().position(|server| {
            let port = server.address.port();
            [port, port + simulation::MOVED_PORTS].contains(&address.port())
        });
        position.unwrap_or_else(|| unreachable!("{address} is a server's"))
    }
}
