//! A simulation in virtual time of granting on the users' platform: hosts that run the production
//! granter, a store with conditional appends and group membership, servers that hold keys, and
//! injected faults. Every step is checked.

mod checks;
mod connections;
mod event;
pub(crate) mod held_orders;
mod log;
mod orders;
mod peers;
mod stored_log;

use std::collections;
use std::net;
use std::time;

use crate::event_queue;
use crate::fixtures;
use rand::RngExt as _;
use rand::SeedableRng as _;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::serving::directory;

use crate::grants::key_server;

pub(crate) use crate::grants::simulation::event::OrderDelivery;
pub(crate) use crate::grants::simulation::event::OrderSending;
pub(crate) use crate::grants::simulation::event::SimulationEvent;

/// The interval at which a host runs its granter, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The interval of a host's reads of the store, in milliseconds.
pub const READ_MS: u64 = 200;
/// The interval at which a host renews its group membership, in milliseconds.
pub const JOIN_MS: u64 = 400;
/// The interval at which a granter queries the hosts of former granters, in milliseconds.
pub const QUERY_MS: u64 = 250;
/// How long a group membership lasts without renewal, in milliseconds.
pub const JOIN_TTL_MS: u64 = 1_200;
/// How long a server's entry lasts after its last heartbeat, in milliseconds.
pub const ENTRY_TTL_MS: u64 = 2_600;
/// The longest time that a release waits for work on its keys, in milliseconds.
pub const MAX_WORK_MS: u64 = 400;
/// The distance of a second port at which a server can be reached, for a mutation.
pub(crate) const MOVED_PORTS: u16 = 1_000;
/// How much slower than real time the servers' clocks run, in percent.
pub const SLOW_PERCENT: u32 = 2;

/// A deliberate bug that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantMutation {
    /// No mutation.
    None,
    /// A granter takes an order as carried out when it is sent, so it counts the hold from then.
    LapseFromSending,
    /// A host's clock stops while its process is frozen.
    SteadyClock,
    /// A granter sends orders after its right to renew has ended.
    EndlessRight,
    /// Orders are sent before the append that records them is confirmed.
    OrderBeforeAppend,
    /// A successor claims the granter role without having read the newest assignment table.
    UnreadClaim,
    /// A restarted host numbers its fences from 1 again.
    RepeatedFence,
    /// A server that is cut off from the store is taken for a new incarnation at another address, and
    /// so its keys for free.
    LapsedIsDead,
    /// A response from a former granter's host is taken as proof that the former granter has ended.
    AnswerIsEnd,
    /// Grants are sent over connections that were opened after the last confirmation.
    LateConnection,
    /// Grants are sent over connections over which a request was refused, as if it had been run.
    RefusedRequest,
}

pub(crate) struct SimulatedHost {
    pub(crate) incarnation: u64,
    pub(crate) started: clock::MonoTime,
    pub(crate) granter: granter::KeyGranter,
    copy: stored_log::LogCopy,
    pub(crate) directory: directory::ServerDirectory,
    pub(crate) frozen_until: clock::MonoTime,
    pub(crate) frozen_for: time::Duration,
    pub(crate) cut_from_store: bool,
    pub(crate) cut_from_hosts: bool,
    pub(crate) cut_from: collections::BTreeSet<usize>,
    // The host's connections, by server.
    pub(crate) connections: collections::BTreeMap<usize, connections::ServerConnection>,
    // The orders that were sent over such connections to servers that are cut off.
    pub(crate) held_orders: Vec<held_orders::HeldOrder>,
    pub(crate) delayed: Vec<SimulationEvent>,
}

pub(crate) struct SimulatedServer {
    pub(crate) server: key_server::KeyServer,
    pub(crate) address: net::SocketAddr,
    pub(crate) started: clock::MonoTime,
    pub(crate) alive: bool,
    pub(crate) draining: bool,
    pub(crate) cut_from_store: bool,
    pub(crate) last_heartbeat: Option<clock::MonoTime>,
    pub(crate) sequence: u64,
}

/// A simulated cluster in which hosts grant keys to servers.
pub struct GrantSimulation {
    pub(crate) now: clock::MonoTime,
    pub(crate) random: rand::rngs::StdRng,
    pub(crate) mutation: GrantMutation,
    pub(crate) queue: event_queue::EventQueue<SimulationEvent>,
    pub(crate) hosts: Vec<SimulatedHost>,
    pub(crate) servers: Vec<SimulatedServer>,
    pub(crate) log: stored_log::StoredLog,
    // Whether the random faults include a store that comes back older.
    pub(crate) has_restores: bool,
    pub(crate) store_down_until: clock::MonoTime,
    pub(crate) lossy_until: clock::MonoTime,
    pub(crate) members: collections::BTreeMap<usize, clock::MonoTime>,
    pub(crate) owner: Option<usize>,
    // The hosts that get the log from others and are not members of the group.
    pub(crate) followers: collections::BTreeSet<usize>,
    // The hosts that are not among the first ranks of their domains.
    pub(crate) unlisted: collections::BTreeSet<usize>,
    pub(crate) granted: Vec<(u16, u16, u64, assignment::ServerIncarnation)>,
    pub(crate) violations: Vec<String>,
    pub(crate) faults: u32,
    // Whether the random faults include a granter that is cut off from the store and the other hosts,
    // and servers carry out orders for their earlier incarnations.
    pub(crate) has_cut_granters: bool,
    pub(crate) server_cuts: held_orders::ServerCuts,
    // Whether orders and their answers are never lost or delayed beyond the usual.
    is_reliable: bool,
    pub(crate) gap_duration: time::Duration,
}

pub(crate) const HOSTS: usize = 4;
const SERVERS: usize = 5;

fn service() -> names::ServiceName {
    fixtures::name("stock")
}

fn address(index: usize) -> net::SocketAddr {
    let port = 8_000 + u16::try_from(index).unwrap_or(0);
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

impl GrantSimulation {
    /// Creates a simulation into which `faults` random faults will be injected.
    #[must_use]
    pub fn new(seed: u64, faults: u32, mutation: GrantMutation) -> Self {
        let mut simulation = Self {
            now: clock::MonoTime::from_millis(1_000),
            random: rand::rngs::StdRng::seed_from_u64(seed),
            mutation,
            queue: event_queue::EventQueue::new(),
            hosts: Vec::new(),
            servers: Vec::new(),
            log: stored_log::StoredLog::new(),
            has_restores: false,
            store_down_until: clock::MonoTime::from_micros(0),
            lossy_until: clock::MonoTime::from_micros(0),
            members: collections::BTreeMap::new(),
            owner: None,
            followers: collections::BTreeSet::new(),
            unlisted: collections::BTreeSet::new(),
            granted: Vec::new(),
            violations: Vec::new(),
            faults,
            has_cut_granters: false,
            server_cuts: held_orders::ServerCuts::default(),
            is_reliable: false,
            gap_duration: time::Duration::ZERO,
        };
        for index in 0..SERVERS {
            simulation.add_server(index, 1);
        }
        for host in 0..HOSTS {
            let created = Self::new_host(host, 1);
            simulation.hosts.push(created);
            simulation.schedule_host(host);
        }
        simulation.push(2_000, SimulationEvent::Fault);
        simulation
    }

    /// Lets every order arrive and be answered in time from now on.
    pub const fn make_reliable(&mut self) {
        self.is_reliable = true;
    }

    /// Creates a simulation whose random faults include a granter that is cut off from the store and
    /// the other hosts, but not from the servers. Those compare only names, like the platform's: after
    /// a restart they carry out orders for their earlier incarnations.
    #[must_use]
    pub fn with_cut_granters(seed: u64, faults: u32, mutation: GrantMutation) -> Self {
        Self {
            has_cut_granters: true,
            ..Self::new(seed, faults, mutation)
        }
    }

    /// Creates a simulation without faults in which no order or answer is lost or delayed beyond the
    /// usual.
    #[must_use]
    pub fn with_reliable_network(seed: u64) -> Self {
        Self {
            is_reliable: true,
            ..Self::new(seed, 0, GrantMutation::None)
        }
    }

    /// Creates a simulation whose random faults include servers that are cut off from all hosts, often
    /// shortly before the granter is killed.
    #[must_use]
    pub fn with_server_cuts(seed: u64, faults: u32) -> Self {
        Self {
            server_cuts: held_orders::ServerCuts::random(),
            ..Self::new(seed, faults, GrantMutation::None)
        }
    }

    /// Creates a simulation whose random faults include a store that comes back older.
    #[must_use]
    pub fn with_restores(seed: u64, faults: u32) -> Self {
        Self {
            has_restores: true,
            ..Self::new(seed, faults, GrantMutation::None)
        }
    }

    /// Runs for `duration` of simulated time, or until the first violation.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.violations.is_empty() {
            let Some((at, event)) = self.queue.pop_due(end) else {
                break;
            };
            self.record_gap(at);
            self.now = at;
            self.handle(event);
            self.check();
        }
        self.now = end;
    }

    /// Returns the violations found so far.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the time during which at least one key was held by no server.
    #[must_use]
    pub const fn gap_duration(&self) -> time::Duration {
        self.gap_duration
    }

    fn granter_incarnation(host: usize, incarnation: u64) -> assignment::GranterIncarnation {
        let port = 7_200 + u16::try_from(host).unwrap_or(0);
        assignment::GranterIncarnation {
            host: fixtures::name(&format!("h{host}")),
            incarnation,
            peers: net::SocketAddr::from(([10, 0, 0, 1], port)),
        }
    }

    pub(crate) fn new_host(host: usize, incarnation: u64) -> SimulatedHost {
        let own = Self::granter_incarnation(host, incarnation);
        let hold = time::Duration::from_secs(10);
        let created = granter::KeyGranter::new(own, hold);
        SimulatedHost {
            incarnation,
            started: clock::MonoTime::from_micros(0),
            granter: created.unwrap_or_else(|fault| unreachable!("{fault}")),
            copy: stored_log::LogCopy::default(),
            directory: directory::ServerDirectory::new(),
            frozen_until: clock::MonoTime::from_micros(0),
            frozen_for: time::Duration::ZERO,
            cut_from_store: false,
            cut_from_hosts: false,
            cut_from: collections::BTreeSet::new(),
            connections: collections::BTreeMap::new(),
            held_orders: Vec::new(),
            delayed: Vec::new(),
        }
    }

    fn schedule_host(&mut self, host: usize) {
        let spread = u64::try_from(host).unwrap_or(0) * 7;
        self.push(spread + 1, SimulationEvent::Read(host));
        self.push(spread + 50, SimulationEvent::Join(host));
        self.push(spread + TICK_MS, SimulationEvent::Tick(host));
        self.push(spread + QUERY_MS, SimulationEvent::QueryFormer(host));
    }

    pub(crate) fn add_server(&mut self, index: usize, born: u64) {
        let incarnation = assignment::ServerIncarnation {
            server: fixtures::name(&format!("s{index}")),
            born,
        };
        let server = SimulatedServer {
            server: key_server::KeyServer::new(incarnation, SLOW_PERCENT),
            address: address(index),
            started: self.now,
            alive: true,
            draining: false,
            cut_from_store: false,
            last_heartbeat: None,
            sequence: 0,
        };
        if index < self.servers.len() {
            self.servers[index] = server;
        } else {
            self.servers.push(server);
            self.push(1, SimulationEvent::Heartbeat(index));
        }
    }

    pub(crate) fn push(&mut self, after_ms: u64, event: SimulationEvent) {
        let at = self.now + time::Duration::from_millis(after_ms);
        self.push_at(at, event);
    }

    fn push_at(&mut self, at: clock::MonoTime, event: SimulationEvent) {
        self.queue.push(at, event);
    }

    pub(crate) fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_ratio(1, one_in)
    }

    fn delay(&mut self) -> u64 {
        self.random.random_range(1..6)
    }

    // The time on a host's own clock.
    fn clock_of(&self, host: usize) -> clock::MonoTime {
        if self.mutation == GrantMutation::SteadyClock {
            return self.now.saturating_sub(self.hosts[host].frozen_for);
        }
        self.now
    }

    fn host_of(event: &SimulationEvent) -> Option<(usize, Option<u64>)> {
        match event {
            SimulationEvent::Tick(host)
            | SimulationEvent::Read(host)
            | SimulationEvent::Join(host)
            | SimulationEvent::QueryFormer(host)
            | SimulationEvent::HostQuery { host, .. } => Some((*host, None)),
            SimulationEvent::Appended {
                host, incarnation, ..
            }
            | SimulationEvent::Granted {
                host, incarnation, ..
            }
            | SimulationEvent::HostResponse {
                host, incarnation, ..
            }
            | SimulationEvent::TableRelay {
                host, incarnation, ..
            }
            | SimulationEvent::Released {
                host, incarnation, ..
            }
            | SimulationEvent::Fenced {
                host, incarnation, ..
            }
            | SimulationEvent::Confirmed {
                host, incarnation, ..
            } => Some((*host, Some(*incarnation))),
            _ => None,
        }
    }

    // Drops an event for a process that has ended, and keeps one for a host that is frozen.
    fn deliver(&mut self, event: SimulationEvent) -> Option<SimulationEvent> {
        let Some((host, incarnation)) = Self::host_of(&event) else {
            return Some(event);
        };
        if incarnation.is_some_and(|incarnation| incarnation != self.hosts[host].incarnation) {
            return None;
        }
        if self.now < self.hosts[host].frozen_until {
            self.hosts[host].delayed.push(event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: SimulationEvent) {
        let Some(event) = self.deliver(event) else {
            return;
        };
        match event {
            SimulationEvent::Tick(host) => self.tick(host),
            SimulationEvent::Read(host) => self.read(host),
            SimulationEvent::Join(host) => self.join(host),
            SimulationEvent::Heartbeat(server) => self.heartbeat(server),
            SimulationEvent::Unfreeze(host) => self.unfreeze(host),
            SimulationEvent::Append {
                host,
                incarnation,
                append,
                sent,
                lost,
            } => {
                self.append(host, incarnation, append, sent, lost);
            }
            SimulationEvent::Appended {
                host,
                append,
                outcome,
                era,
                sent,
                ..
            } => self.appended(host, &append, outcome, era, sent),
            SimulationEvent::Grant {
                host,
                incarnation,
                order,
                sending,
                arrived,
            } => {
                self.grant(host, incarnation, order, sending, arrived);
            }
            SimulationEvent::Granted {
                host,
                order,
                outcome,
                ..
            } => self.note_granted(host, &order, &outcome),
            SimulationEvent::Confirm {
                host,
                incarnation,
                end,
                sent,
            } => self.answer_confirmation(host, incarnation, end, sent),
            SimulationEvent::Confirmed {
                host,
                is_unchanged,
                sent,
                ..
            } => self.note_confirmation(host, is_unchanged, sent),
            SimulationEvent::Release {
                host,
                incarnation,
                order,
            } => self.release(host, incarnation, order),
            SimulationEvent::Released {
                host,
                order,
                outcome,
                ..
            } => self.released(host, &order, &outcome),
            SimulationEvent::Fence {
                host,
                incarnation,
                order,
            } => self.fence(host, incarnation, order),
            SimulationEvent::Fenced {
                host,
                order,
                outcome,
                ..
            } => self.fenced(host, &order, &outcome),
            SimulationEvent::QueryFormer(host) => self.query_former_granters(host),
            SimulationEvent::HostQuery {
                host,
                from,
                from_incarnation,
                asked,
            } => self.answer_query(host, from, from_incarnation, asked),
            SimulationEvent::HostResponse { host, response, .. } => {
                let now = self.clock_of(host);
                self.hosts[host].granter.note_host_response(&response, now);
            }
            SimulationEvent::TableRelay {
                host,
                table,
                confirmed,
                ..
            } => self.take_lost_table(host, *table, confirmed),
            SimulationEvent::Resend { host, held } => self.resend(host, held),
            SimulationEvent::KillGranter => self.kill_granter(),
            SimulationEvent::Fault => self.inject_random_fault(),
        }
    }

    fn unfreeze(&mut self, host: usize) {
        let delayed = std::mem::take(&mut self.hosts[host].delayed);
        for event in delayed {
            // Events that arrived while the process was frozen are handled in random order.
            let after = self.random.random_range(0..5);
            self.push(after, event);
        }
    }

    fn tick(&mut self, host: usize) {
        self.push(TICK_MS, SimulationEvent::Tick(host));
        let now = self.clock_of(host);
        if self.mutation == GrantMutation::EndlessRight {
            self.hosts[host].granter.note_confirmed(now);
        }
        self.hosts[host].directory.expire(now);
        self.decide(host);
    }

    fn decide(&mut self, host: usize) {
        let now = self.clock_of(host);
        let possible = self.possible_granters(host);
        let newest = self.newest_table_elsewhere(host);
        let state = &mut self.hosts[host];
        state.granter.note_possible_granters(possible);
        state.granter.note_newest_elsewhere(newest);
        let actions = state.granter.tick(now, &[service()], &state.directory);
        for action in actions {
            self.execute(host, action);
        }
    }

    fn execute(&mut self, host: usize, action: order::GranterAction) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            order::GranterAction::Append { number, table, at } => {
                self.send_append(host, number, table, at);
            }
            order::GranterAction::Grant(order) => self.send_grant(host, order),
            order::GranterAction::Release(order) => {
                let server = self.server_of(&order.address);
                if self.is_cut(host, server) {
                    let outcome = order::OrderOutcome::Unsent;
                    self.push(
                        300,
                        SimulationEvent::Released {
                            host,
                            incarnation,
                            order,
                            outcome,
                        },
                    );
                } else {
                    let delay = self.delay();
                    self.push(
                        delay,
                        SimulationEvent::Release {
                            host,
                            incarnation,
                            order,
                        },
                    );
                }
            }
            order::GranterAction::Fence(order) => {
                let delay = self.delay();
                let fence = SimulationEvent::Fence {
                    host,
                    incarnation,
                    order,
                };
                self.push(delay, fence);
            }
            order::GranterAction::Confirm => self.send_confirmation(host),
            order::GranterAction::Yield => {
                self.members.remove(&host);
                self.hosts[host].granter.note_candidate(false);
            }
        }
    }
}
