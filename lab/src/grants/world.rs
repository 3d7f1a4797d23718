//! Granting on the users' platform, on virtual time: hosts with the real decisions, a store with
//! conditional appends and a group, servers that hold keys, and faults. Every step is checked.

use std::cmp;
use std::collections;
use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::book;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::ownership::succession;
use zinniastack::serving::directory;

use crate::grants::key_server;

/// The interval of a host's decisions, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The interval of a host's reads of the store, in milliseconds.
pub const READ_MS: u64 = 200;
/// The interval of a host's joins, in milliseconds.
pub const JOIN_MS: u64 = 400;
/// The interval of a granter's questions to former granters, in milliseconds.
pub const ASK_MS: u64 = 250;
/// How long a join lasts, in milliseconds.
pub const JOIN_TTL_MS: u64 = 1_200;
/// After how long without a sign a server's entry goes, in milliseconds.
pub const ENTRY_MS: u64 = 2_600;
/// The longest work on a key that a release waits for, in milliseconds.
pub const MAX_WORK_MS: u64 = 400;
/// How much slower than it should a server's clock may run, in percent.
pub const SLOW_PERCENT: u32 = 2;

/// A deliberate flaw, which the checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantFlaw {
    /// None.
    None,
    /// A lapse counts from the sending of the last order.
    LapseFromSending,
    /// The hosts' clocks stop while they are frozen.
    SteadyClock,
    /// A granter orders after its right to renew has ended.
    EndlessRight,
    /// Orders go out before the append that they rest on.
    OrderBeforeAppend,
    /// A successor claims without having read the newest book.
    UnreadClaim,
    /// Fences begin anew with each claim.
    RepeatedFence,
    /// A server whose entry lapsed is taken for ended.
    LapsedIsDead,
    /// A former granter's host that answers is taken for its end.
    AnswerIsEnd,
}

#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Tick(usize),
    Read(usize),
    Join(usize),
    Beat(usize),
    Thaw(usize),
    Append {
        host: usize,
        life: u64,
        book: book::GrantBook,
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
        answer: succession::HostAnswer,
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
    at: clock::MonoTime,
    number: u64,
    pub(crate) event: WorldEvent,
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

pub(crate) struct WorldHost {
    pub(crate) life: u64,
    pub(crate) started: clock::MonoTime,
    pub(crate) granter: granter::KeyGranter,
    pub(crate) directory: directory::ServerDirectory,
    pub(crate) frozen_until: clock::MonoTime,
    pub(crate) frozen_for: time::Duration,
    pub(crate) cut_from_store: bool,
    pub(crate) cut_from: collections::BTreeSet<usize>,
    // Servers to which it keeps a connection.
    connected: collections::BTreeSet<usize>,
    pub(crate) delayed: Vec<WorldEvent>,
}

pub(crate) struct WorldServer {
    pub(crate) server: key_server::KeyServer,
    pub(crate) address: net::SocketAddr,
    pub(crate) alive: bool,
    pub(crate) draining: bool,
    pub(crate) cut_from_store: bool,
    pub(crate) beat: Option<clock::MonoTime>,
    pub(crate) sequence: u64,
}

/// The virtual world.
pub struct GrantWorld {
    pub(crate) now: clock::MonoTime,
    pub(crate) random: rand::rngs::StdRng,
    pub(crate) flaw: GrantFlaw,
    pub(crate) number: u64,
    pub(crate) queue: collections::BinaryHeap<QueuedEvent>,
    pub(crate) hosts: Vec<WorldHost>,
    pub(crate) servers: Vec<WorldServer>,
    pub(crate) log: Vec<book::GrantBook>,
    pub(crate) store_down_until: clock::MonoTime,
    pub(crate) lossy_until: clock::MonoTime,
    pub(crate) members: collections::BTreeMap<usize, clock::MonoTime>,
    pub(crate) owner: Option<usize>,
    pub(crate) granted: Vec<(u16, u16, u64, book::ServerLife)>,
    pub(crate) violations: Vec<String>,
    pub(crate) faults: u32,
    // Whether messages are held up and lost now and then.
    calm: bool,
    pub(crate) unheld: time::Duration,
}

pub(crate) const HOSTS: usize = 4;
const SERVERS: usize = 5;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("'{text}' is a name"))
}

fn service() -> names::ServiceName {
    name("stock")
}

fn address(index: usize) -> net::SocketAddr {
    let port = 8_000 + u16::try_from(index).unwrap_or(0);
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

impl GrantWorld {
    /// Creates a world that starts now, with `faults` faults to come.
    #[must_use]
    pub fn new(seed: u64, faults: u32, flaw: GrantFlaw) -> Self {
        let mut world = Self {
            now: clock::MonoTime::from_millis(1_000),
            random: rand::rngs::StdRng::seed_from_u64(seed),
            flaw,
            number: 0,
            queue: collections::BinaryHeap::new(),
            hosts: Vec::new(),
            servers: Vec::new(),
            log: Vec::new(),
            store_down_until: clock::MonoTime::from_micros(0),
            lossy_until: clock::MonoTime::from_micros(0),
            members: collections::BTreeMap::new(),
            owner: None,
            granted: Vec::new(),
            violations: Vec::new(),
            faults,
            calm: false,
            unheld: time::Duration::ZERO,
        };
        for index in 0..SERVERS {
            world.add_server(index, 1);
        }
        for host in 0..HOSTS {
            let created = Self::new_host(host, 1);
            world.hosts.push(created);
            world.schedule_host(host);
        }
        world.push(2_000, WorldEvent::Fault);
        world
    }

    /// Creates a world without faults in which no message is held up or lost.
    #[must_use]
    pub fn with_calm(seed: u64) -> Self {
        Self {
            calm: true,
            ..Self::new(seed, 0, GrantFlaw::None)
        }
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.violations.is_empty() {
            let due = self.queue.peek().is_some_and(|next| next.at <= end);
            let Some(next) = due.then(|| self.queue.pop()).flatten() else {
                break;
            };
            self.note_unheld(next.at);
            self.now = next.at;
            self.handle(next.event);
            self.check();
        }
        self.now = end;
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns for how long some key was held by no server.
    #[must_use]
    pub const fn unheld(&self) -> time::Duration {
        self.unheld
    }

    /// Reports whether every key is held.
    #[must_use]
    pub fn is_covered(&self) -> bool {
        let mut held: Vec<_> = self
            .servers
            .iter()
            .filter(|server| server.alive)
            .flat_map(|server| server.server.held(self.now))
            .map(|held| (held.first, held.last))
            .collect();
        held.sort_unstable();
        let mut next = 0_u32;
        for (first, last) in held {
            if u32::from(first) > next {
                return false;
            }
            next = next.max(u32::from(last) + 1);
        }
        next > u32::from(book::MAX_KEY)
    }

    /// Describes servers and hosts, for a failed case.
    #[must_use]
    pub fn describe(&self) -> String {
        let servers = self.servers.iter().map(|server| {
            let held: Vec<_> = server.server.held(self.now).collect();
            format!(
                "{:?} alive={} held={held:?}",
                server.server.life, server.alive
            )
        });
        let hosts = self.hosts.iter().map(|host| {
            let granting = host.granter.is_granting();
            let (end, frozen) = (host.granter.book_end(), host.frozen_until);
            format!("granting={granting} end={end} frozen-until={frozen:?}")
        });
        let book = format!("{:?}", self.log.last());
        let lines: Vec<_> = servers.chain(hosts).chain([book]).collect();
        lines.join("\n")
    }

    fn note_unheld(&mut self, until: clock::MonoTime) {
        if !self.is_covered() {
            self.unheld += until.since(self.now);
        }
    }

    fn granter_life(host: usize, life: u64) -> book::GranterLife {
        let port = 7_200 + u16::try_from(host).unwrap_or(0);
        book::GranterLife {
            host: name(&format!("h{host}")),
            incarnation: life,
            peers: net::SocketAddr::from(([10, 0, 0, 1], port)),
        }
    }

    pub(crate) fn new_host(host: usize, life: u64) -> WorldHost {
        let own = Self::granter_life(host, life);
        let hold = time::Duration::from_secs(10);
        let created = granter::KeyGranter::new(own, hold);
        WorldHost {
            life,
            started: clock::MonoTime::from_micros(0),
            granter: created.unwrap_or_else(|fault| unreachable!("{fault}")),
            directory: directory::ServerDirectory::new(),
            frozen_until: clock::MonoTime::from_micros(0),
            frozen_for: time::Duration::ZERO,
            cut_from_store: false,
            cut_from: collections::BTreeSet::new(),
            connected: collections::BTreeSet::new(),
            delayed: Vec::new(),
        }
    }

    fn schedule_host(&mut self, host: usize) {
        let spread = u64::try_from(host).unwrap_or(0) * 7;
        self.push(spread + 1, WorldEvent::Read(host));
        self.push(spread + 50, WorldEvent::Join(host));
        self.push(spread + TICK_MS, WorldEvent::Tick(host));
        self.push(spread + ASK_MS, WorldEvent::Ask(host));
    }

    pub(crate) fn add_server(&mut self, index: usize, born: u64) {
        let life = book::ServerLife {
            server: name(&format!("s{index}")),
            born,
        };
        let server = WorldServer {
            server: key_server::KeyServer::new(life, SLOW_PERCENT),
            address: address(index),
            alive: true,
            draining: false,
            cut_from_store: false,
            beat: None,
            sequence: 0,
        };
        if index < self.servers.len() {
            self.servers[index] = server;
        } else {
            self.servers.push(server);
            self.push(1, WorldEvent::Beat(index));
        }
    }

    pub(crate) fn push(&mut self, after_ms: u64, event: WorldEvent) {
        let at = self.now + time::Duration::from_millis(after_ms);
        self.push_at(at, event);
    }

    fn push_at(&mut self, at: clock::MonoTime, event: WorldEvent) {
        self.number += 1;
        let number = self.number;
        self.queue.push(QueuedEvent { at, number, event });
    }

    pub(crate) fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_ratio(1, one_in)
    }

    fn delay(&mut self) -> u64 {
        self.random.random_range(1..6)
    }

    // The time by a host's own clock.
    fn clock_of(&self, host: usize) -> clock::MonoTime {
        if self.flaw == GrantFlaw::SteadyClock {
            return self.now.back(self.hosts[host].frozen_for);
        }
        self.now
    }

    fn store_serves(&self, host: usize) -> bool {
        self.now >= self.store_down_until && !self.hosts[host].cut_from_store
    }

    fn host_of(event: &WorldEvent) -> Option<(usize, Option<u64>)> {
        match event {
            WorldEvent::Tick(host)
            | WorldEvent::Read(host)
            | WorldEvent::Join(host)
            | WorldEvent::Ask(host)
            | WorldEvent::Question { host, .. } => Some((*host, None)),
            WorldEvent::Appended { host, life, .. }
            | WorldEvent::Granted { host, life, .. }
            | WorldEvent::Answer { host, life, .. }
            | WorldEvent::Released { host, life, .. } => Some((*host, Some(*life))),
            _ => None,
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        if let Some((host, life)) = Self::host_of(&event) {
            if life.is_some_and(|life| life != self.hosts[host].life) {
                return;
            }
            if self.now < self.hosts[host].frozen_until {
                self.hosts[host].delayed.push(event);
                return;
            }
        }
        match event {
            WorldEvent::Tick(host) => self.tick(host),
            WorldEvent::Read(host) => self.read(host),
            WorldEvent::Join(host) => self.join(host),
            WorldEvent::Beat(server) => self.beat(server),
            WorldEvent::Thaw(host) => self.thaw(host),
            WorldEvent::Append {
                host,
                life,
                book,
                at,
                sent,
                lost,
            } => {
                self.append(host, life, book, at, sent, lost);
            }
            WorldEvent::Appended {
                host,
                outcome,
                sent,
                ..
            } => {
                let now = self.clock_of(host);
                self.hosts[host].granter.note_appended(outcome, sent, now);
                self.decide(host);
            }
            WorldEvent::Grant {
                host,
                life,
                order,
                fate,
                arrived,
            } => {
                self.grant(host, life, order, fate, arrived);
            }
            WorldEvent::Granted {
                host,
                order,
                outcome,
                ..
            } => {
                let now = self.clock_of(host);
                if outcome == order::OrderOutcome::Done(None) {
                    let server = self.server_of(&order.address);
                    self.hosts[host].connected.insert(server);
                }
                let news = self.hosts[host].granter.note_granted(&order, &outcome, now);
                if news {
                    self.decide(host);
                }
            }
            WorldEvent::Release { host, life, order } => self.release(host, life, order),
            WorldEvent::Released {
                host,
                order,
                outcome,
                ..
            } => {
                let now = self.clock_of(host);
                self.hosts[host]
                    .granter
                    .note_released(&order, &outcome, now);
                self.decide(host);
            }
            WorldEvent::Ask(host) => self.ask(host),
            WorldEvent::Question {
                host,
                from,
                from_life,
                asked,
            } => self.answer(host, from, from_life, asked),
            WorldEvent::Answer { host, answer, .. } => {
                let now = self.clock_of(host);
                self.hosts[host].granter.note_answer(&answer, now);
            }
            WorldEvent::Fault => self.strike(),
        }
    }

    // A granter asks the hosts of those that granted before. Hosts reach each other always here.
    fn ask(&mut self, host: usize) {
        self.push(ASK_MS, WorldEvent::Ask(host));
        let asked = self.clock_of(host);
        let from_life = self.hosts[host].life;
        for former in self.hosts[host].granter.granters_in_doubt(asked) {
            let delay = self.delay();
            let position = (0..HOSTS).find(|h| Self::granter_life(*h, 0).host == former.host);
            let question = WorldEvent::Question {
                host: position.unwrap_or(host),
                from: host,
                from_life,
                asked,
            };
            self.push(delay, question);
        }
    }

    fn answer(&mut self, host: usize, from: usize, from_life: u64, asked: clock::MonoTime) {
        let mut life = Self::granter_life(host, self.hosts[host].life);
        if self.flaw == GrantFlaw::AnswerIsEnd {
            life.incarnation += 1_000;
        }
        let answer = succession::HostAnswer {
            life,
            term: self.hosts[host].granter.book().term,
            asked,
            uptime: self.now.since(self.hosts[host].started),
        };
        let delay = self.delay();
        let answer = WorldEvent::Answer {
            host: from,
            life: from_life,
            answer,
        };
        self.push(delay, answer);
    }

    fn thaw(&mut self, host: usize) {
        let delayed = std::mem::take(&mut self.hosts[host].delayed);
        for event in delayed {
            // What waited for the process is found in any order.
            let after = self.random.random_range(0..5);
            self.push(after, event);
        }
    }

    fn tick(&mut self, host: usize) {
        self.push(TICK_MS, WorldEvent::Tick(host));
        let now = self.clock_of(host);
        if self.flaw == GrantFlaw::EndlessRight {
            self.hosts[host].granter.note_confirmed(now);
        }
        self.hosts[host].directory.expire(now);
        self.decide(host);
    }

    fn decide(&mut self, host: usize) {
        let now = self.clock_of(host);
        let state = &mut self.hosts[host];
        let actions = state.granter.tick(now, &[service()], &state.directory);
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: order::GranterAction) {
        let life = self.hosts[host].life;
        match action {
            order::GranterAction::Append { book, at } => self.send_append(host, book, at),
            order::GranterAction::Grant(order) => self.send_grant(host, order),
            order::GranterAction::Release(order) => {
                let server = self.server_of(&order.address);
                if self.hosts[host].cut_from.contains(&server) {
                    let outcome = order::OrderOutcome::Unsent;
                    self.push(
                        300,
                        WorldEvent::Released {
                            host,
                            life,
                            order,
                            outcome,
                        },
                    );
                } else {
                    let delay = self.delay();
                    self.push(delay, WorldEvent::Release { host, life, order });
                }
            }
            order::GranterAction::Yield => {
                self.members.remove(&host);
                self.hosts[host].granter.note_candidate(false);
            }
        }
    }

    fn send_append(&mut self, host: usize, book: book::GrantBook, at: u64) {
        let life = self.hosts[host].life;
        let sent = self.clock_of(host);
        if self.flaw == GrantFlaw::OrderBeforeAppend {
            let outcome = order::AppendOutcome::Appended { end: at + 1 };
            self.push(
                0,
                WorldEvent::Appended {
                    host,
                    life,
                    outcome,
                    sent,
                },
            );
        }
        if !self.store_serves(host) {
            let outcome = order::AppendOutcome::Refused;
            self.push(
                5,
                WorldEvent::Appended {
                    host,
                    life,
                    outcome,
                    sent,
                },
            );
            return;
        }
        let lossy = self.now < self.lossy_until;
        let lost = lossy && self.chance(3);
        let slow = if lost && self.chance(2) {
            self.random.random_range(100..4_000)
        } else {
            0
        };
        let delay = self.delay() + slow;
        self.push(
            delay,
            WorldEvent::Append {
                host,
                life,
                book,
                at,
                sent,
                lost,
            },
        );
    }

    fn append(
        &mut self,
        host: usize,
        life: u64,
        book: book::GrantBook,
        at: u64,
        sent: clock::MonoTime,
        lost: bool,
    ) {
        let end = u64::try_from(self.log.len()).unwrap_or(u64::MAX);
        let outcome = if at == end {
            self.log.push(book);
            order::AppendOutcome::Appended { end: end + 1 }
        } else {
            order::AppendOutcome::Conflict
        };
        let outcome = if lost {
            order::AppendOutcome::Unknown
        } else {
            outcome
        };
        let delay = if lost { 1_500 } else { self.delay() };
        self.push(
            delay,
            WorldEvent::Appended {
                host,
                life,
                outcome,
                sent,
            },
        );
    }

    fn server_of(&self, address: &net::SocketAddr) -> usize {
        let position = self
            .servers
            .iter()
            .position(|server| server.address == *address);
        position.unwrap_or_else(|| unreachable!("{address} is a server's"))
    }

    fn send_grant(&mut self, host: usize, order: order::GrantOrder) {
        let life = self.hosts[host].life;
        let server = self.server_of(&order.address);
        if self.hosts[host].cut_from.contains(&server) || !self.servers[server].alive {
            // A kept connection that went silent takes one order; no further one is made.
            let kept = self.hosts[host].connected.remove(&server);
            let sent = kept || (!self.calm && self.chance(20));
            let (after, outcome) = if sent {
                (order::ORDER_TIMEOUT_MS, order::OrderOutcome::Unanswered)
            } else {
                (300, order::OrderOutcome::Unsent)
            };
            self.push(
                after,
                WorldEvent::Granted {
                    host,
                    life,
                    order,
                    outcome,
                },
            );
            return;
        }
        let fate = match self.random.random_range(0..40) {
            _ if self.calm => OrderFate::Answered,
            0 => OrderFate::AnswerLost,
            1 => OrderFate::AppliedLate,
            _ => OrderFate::Answered,
        };
        // Some orders are held up on their way, until shortly before the sender gives up.
        let held_up = !self.calm && self.chance(6);
        let delay = if held_up {
            self.random.random_range(100..490)
        } else {
            self.delay()
        };
        if self.flaw == GrantFlaw::LapseFromSending {
            let now = self.clock_of(host);
            let outcome = order::OrderOutcome::Done(None);
            self.hosts[host].granter.note_granted(&order, &outcome, now);
        }
        let unanswered = order::OrderOutcome::Unanswered;
        let known = WorldEvent::Granted {
            host,
            life,
            order: order.clone(),
            outcome: unanswered,
        };
        if fate != OrderFate::Answered {
            self.push(order::ORDER_TIMEOUT_MS, known);
        }
        self.push(
            delay,
            WorldEvent::Grant {
                host,
                life,
                order,
                fate,
                arrived: None,
            },
        );
    }

    fn grant(
        &mut self,
        host: usize,
        life: u64,
        order: order::GrantOrder,
        fate: OrderFate,
        arrived: Option<clock::MonoTime>,
    ) {
        let index = self.server_of(&order.address);
        let late = fate == OrderFate::AppliedLate && arrived.is_none();
        if late {
            let arrived = Some(self.now);
            let after = self.random.random_range(2_000..9_000);
            self.push(
                after,
                WorldEvent::Grant {
                    host,
                    life,
                    order,
                    fate,
                    arrived,
                },
            );
            return;
        }
        let server = &mut self.servers[index];
        if !server.alive {
            if fate == OrderFate::Answered {
                let outcome = order::OrderOutcome::Unanswered;
                let ended = WorldEvent::Granted {
                    host,
                    life,
                    order,
                    outcome,
                };
                self.push(order::ORDER_TIMEOUT_MS, ended);
            }
            return;
        }
        let same = server.server.life == order.life;
        let outcome = if same {
            let taken = server.server.grant(&key_server::HoldOrder {
                first: order.range.first,
                last: order.range.last,
                fence: order.range.fence,
                hold: order.hold,
                arrived: arrived.unwrap_or(self.now),
                now: self.now,
            });
            if taken == key_server::GrantTaken::Held {
                self.note_granted_keys(&order);
            }
            match taken {
                key_server::GrantTaken::Refused => order::OrderOutcome::Refused,
                _ => order::OrderOutcome::Done(None),
            }
        } else {
            order::OrderOutcome::Replaced
        };
        if fate == OrderFate::Answered && self.flaw != GrantFlaw::LapseFromSending {
            let delay = self.delay();
            self.push(
                delay,
                WorldEvent::Granted {
                    host,
                    life,
                    order,
                    outcome,
                },
            );
        }
    }

    // A key goes to another life only under a fence above all that other lives had.
    fn note_granted_keys(&mut self, order: &order::GrantOrder) {
        let range = &order.range;
        let higher = self.granted.iter().find(|(first, last, fence, life)| {
            key_server::overlaps(*first, *last, range.first, range.last)
                && *life != order.life
                && *fence >= range.fence
        });
        if let Some((_, _, fence, life)) = higher {
            let text = format!(
                "{:?}: {:?} takes {}..{} under {}, {:?} had {}",
                self.now, order.life, range.first, range.last, range.fence, life, fence
            );
            self.violations.push(text);
        }
        let entry = (range.first, range.last, range.fence, order.life.clone());
        if !self.granted.contains(&entry) {
            self.granted.push(entry);
        }
    }

    fn release(&mut self, host: usize, life: u64, order: order::ReleaseOrder) {
        let index = self.server_of(&order.address);
        let working = self.random.random_range(0..MAX_WORK_MS);
        let server = &mut self.servers[index];
        let outcome = if !server.alive {
            order::OrderOutcome::Unanswered
        } else if server.server.life == order.life {
            let range = &order.range;
            server.server.release(range.first, range.last, range.fence);
            order::OrderOutcome::Done(None)
        } else {
            order::OrderOutcome::Replaced
        };
        let lost = !self.calm && self.chance(20);
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
            WorldEvent::Released {
                host,
                life,
                order,
                outcome,
            },
        );
    }

    fn read(&mut self, host: usize) {
        self.push(READ_MS, WorldEvent::Read(host));
        let now = self.clock_of(host);
        if !self.store_serves(host) {
            self.hosts[host].directory.note_store_lost(now);
            return;
        }
        let records = self.entries();
        let end = u64::try_from(self.log.len()).unwrap_or(u64::MAX);
        let unread = self.flaw == GrantFlaw::UnreadClaim && self.chance(3);
        let newest = if unread {
            self.log.first().cloned()
        } else {
            self.log.last().cloned()
        };
        let forgets = self.flaw == GrantFlaw::RepeatedFence && self.hosts[host].life > 1;
        let newest = newest.map(|book| book::GrantBook {
            next_fence: if forgets { 1 } else { book.next_fence },
            ..book
        });
        let state = &mut self.hosts[host];
        state.directory.replace(records, now);
        let known = state.granter.book_end() == end && end > 0;
        if known || end == 0 {
            state.granter.note_confirmed(now);
        }
        state.granter.note_book(newest, end, now);
    }

    fn entries(&self) -> Vec<directory::ServerRecord> {
        let there = self.servers.iter().filter(|server| {
            let entry = time::Duration::from_millis(ENTRY_MS);
            server.beat.is_some_and(|beat| self.now.since(beat) < entry)
        });
        there.map(|server| self.record_of(server)).collect()
    }

    fn record_of(&self, server: &WorldServer) -> directory::ServerRecord {
        let mut life = server.server.life.clone();
        if self.flaw == GrantFlaw::LapsedIsDead && server.cut_from_store {
            life.born += 1_000;
        }
        directory::ServerRecord {
            life,
            service: service(),
            address: server.address,
            domain: name("north"),
            slots: 4,
            state: if server.draining {
                directory::ServerState::Draining
            } else {
                directory::ServerState::Ready
            },
            sequence: server.sequence,
        }
    }

    fn join(&mut self, host: usize) {
        self.push(JOIN_MS, WorldEvent::Join(host));
        if !self.store_serves(host) {
            self.hosts[host].granter.note_candidate(false);
            return;
        }
        self.members.insert(host, self.now);
        let ttl = time::Duration::from_millis(JOIN_TTL_MS);
        let now = self.now;
        self.members.retain(|_, joined| now.since(*joined) < ttl);
        if !self
            .owner
            .is_some_and(|owner| self.members.contains_key(&owner))
        {
            self.owner = self.members.keys().next().copied();
        }
        let candidate = self.owner == Some(host);
        self.hosts[host].granter.note_candidate(candidate);
    }

    fn beat(&mut self, index: usize) {
        self.push(870, WorldEvent::Beat(index));
        let down = self.now < self.store_down_until;
        let now = self.now;
        let server = &mut self.servers[index];
        if server.alive && !server.cut_from_store && !down {
            server.beat = Some(now);
            server.sequence += 1;
        }
    }

    // No key is held by two servers that are up.
    fn check(&mut self) {
        let now = self.now;
        let alive: Vec<_> = self.servers.iter().filter(|server| server.alive).collect();
        let mut found = None;
        for (index, one) in alive.iter().enumerate() {
            for other in &alive[index + 1..] {
                for held in one.server.held(now) {
                    let both = other.server.held(now);
                    let both = both
                        .filter(|h| key_server::overlaps(h.first, h.last, held.first, held.last));
                    for second in both {
                        found = Some(format!(
                            "{now:?}: {:?} holds {held:?}, {:?} holds {second:?}",
                            one.server.life, other.server.life
                        ));
                    }
                }
            }
        }
        self.violations.extend(found);
    }
}
