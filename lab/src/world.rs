//! A small virtual world for scripted scenarios: real control states of hosts, stand-ins of servers
//! and log, and messages between them that are delayed, lost or cut off, all on virtual time.

use std::collections;
use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use zinniastack::authority;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::control;
use zinniastack::domain;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::platform;
use zinniastack::record;
use zinniastack::timing;

use crate::log_state;
use crate::server_state;

/// The interval between two ticks of a host, in milliseconds.
pub const TICK_MS: u64 = 20;
/// The longest usual delay of a message, in microseconds.
pub const USUAL_DELAY_US: u64 = 1_500;
/// The longest delay of a message that is held up, in microseconds.
pub const HELD_UP_DELAY_US: u64 = 1_500_000;
/// After what time a call to the log that is lost counts as failed, in milliseconds.
pub const LOG_TIMEOUT_MS: u64 = 1_000;
/// How far clocks run apart at the most, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 5_000;

/// The wall clock when the world began, in milliseconds.
pub const WALL_ORIGIN_MS: u64 = 1_000_000_000;
/// How far the hosts' wall clocks are apart at the most, in milliseconds.
pub const WALL_SKEW_MS: u64 = 100;

/// A party of the world.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorldNode {
    /// An entry host.
    Host(names::HostName),
    /// A server.
    Server(names::ServerName),
    /// The platform's log.
    Log,
}

/// A clock with an origin and a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct WorldClock {
    pub(crate) offset_us: u64,
    pub(crate) rate_ppm: u64,
}

impl WorldClock {
    pub(crate) fn read(self, now: clock::MonoTime) -> clock::MonoTime {
        let micros = u128::from(now.as_micros()) * u128::from(self.rate_ppm) / 1_000_000;
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        clock::MonoTime::from_micros(self.offset_us + micros)
    }
}

/// An entry host of the world.
pub struct WorldHost {
    /// The host as configured.
    pub spec: configuration::HostSpec,
    /// The control state, none while the process is dead.
    pub state: Option<control::ControlState>,
    /// Whether the process is paused.
    pub paused: bool,
    pub(crate) clock: WorldClock,
    pub(crate) life: u64,
    pub(crate) held: Vec<WorldEvent>,
}

/// A server of the world.
pub struct WorldServer {
    /// The server as configured.
    pub spec: configuration::ServerSpec,
    /// The server's state, none while the process is dead.
    pub state: Option<server_state::ServerState>,
    /// Whether the process is frozen.
    pub frozen: bool,
    pub(crate) clock: WorldClock,
    pub(crate) held: Vec<WorldEvent>,
}

impl WorldServer {
    /// Returns the server's own time.
    #[must_use]
    pub fn time(&self, now: clock::MonoTime) -> clock::MonoTime {
        self.clock.read(now)
    }
}

impl WorldHost {
    /// Returns the number of the process's life; a restart raises it.
    #[must_use]
    pub const fn life(&self) -> u64 {
        self.life
    }

    /// Returns the host's own time.
    #[must_use]
    pub fn time(&self, now: clock::MonoTime) -> clock::MonoTime {
        self.clock.read(now)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum HostCall {
    Tick,
    LogPage(platform::LogPage),
    LogFailed,
    Appended(names::RecordId),
    AppendFailed,
    ClaimReply(
        names::DomainName,
        contract::ClaimOrder,
        authority::ClaimAnswer,
    ),
    LeaseReply(names::DomainName, domain::LeaseAnswer),
    Exchange(names::HostName, clock::MonoTime, peer::ExchangeRequest),
    ExchangeReply(clock::MonoTime, peer::ExchangeReply),
}

#[derive(Clone, Debug)]
pub(crate) enum ServerCall {
    Claim(names::DomainName, contract::ClaimOrder),
    Lease(names::DomainName, contract::LeaseOrder),
}

#[derive(Clone, Debug)]
pub(crate) enum LogCall {
    Read(u64),
    Append(record::LogRecord),
}

#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Host {
        host: names::HostName,
        life: u64,
        call: HostCall,
    },
    Server {
        server: names::ServerName,
        from: names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        call: ServerCall,
    },
    Log {
        from: names::HostName,
        life: u64,
        call: LogCall,
    },
}

/// How a world is laid out.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// The seed of delays, clocks and jitter.
    pub seed: u64,
    /// The failure domains with their hosts, checked and unchecked servers.
    pub domains: Vec<DomainPlan>,
    /// The number of shards.
    pub shards: u32,
    /// One in how many messages is held up for long; 0 for none.
    pub hold_up_one_in: u32,
    /// A flaw of all servers.
    pub flaw: server_state::ServerFlaw,
    /// How much faster the hosts' clocks run, in parts per million.
    pub fast_hosts_ppm: u64,
    /// The spans that the hosts use.
    pub timing: timing::LeaseTiming,
}

/// One failure domain of a plan.
#[derive(Clone, Debug)]
pub struct DomainPlan {
    /// The name.
    pub name: String,
    /// The number of entry hosts.
    pub hosts: u32,
    /// The number of checked servers.
    pub checked: u32,
    /// The number of unchecked servers, of a service of their own.
    pub unchecked: u32,
}

/// The world.
pub struct LabWorld {
    pub(crate) now: clock::MonoTime,
    pub(crate) generator: rand::rngs::StdRng,
    pub(crate) queue: collections::BTreeMap<(clock::MonoTime, u64), WorldEvent>,
    pub(crate) counter: u64,
    pub(crate) plan: WorldPlan,
    /// The hosts.
    pub hosts: collections::BTreeMap<names::HostName, WorldHost>,
    /// The servers.
    pub servers: collections::BTreeMap<names::ServerName, WorldServer>,
    /// The log.
    pub log: log_state::LogState,
    pub(crate) cuts: collections::BTreeSet<(WorldNode, WorldNode)>,
    pub(crate) sent: MessageCounts,
    pub(crate) shards: Vec<names::ShardId>,
}

/// How many messages the world has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Claims and renewals to servers.
    pub orders: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Exchanges between hosts.
    pub exchanges: u64,
}

/// The service of the checked servers.
pub const CHECKED_SERVICE: &str = "stock";
/// The service of the unchecked servers.
pub const UNCHECKED_SERVICE: &str = "files";
/// The deadline of both services, in milliseconds.
pub const DEADLINE_MS: u64 = 500;

impl LabWorld {
    /// Creates a world whose hosts and servers have just started, with its configuration in the log.
    ///
    /// # Panics
    /// When the plan's names are no names.
    #[must_use]
    pub fn new(plan: WorldPlan) -> Self {
        let mut world = Self {
            now: clock::MonoTime::from_millis(1_000),
            generator: rand::rngs::StdRng::seed_from_u64(plan.seed),
            queue: collections::BTreeMap::new(),
            counter: 0,
            plan,
            hosts: collections::BTreeMap::new(),
            servers: collections::BTreeMap::new(),
            log: log_state::LogState::new(),
            cuts: collections::BTreeSet::new(),
            sent: MessageCounts::default(),
            shards: Vec::new(),
        };
        world.lay_out();
        world
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> clock::MonoTime {
        self.now
    }

    /// Returns all shards that have servers.
    #[must_use]
    pub fn shards(&self) -> &[names::ShardId] {
        &self.shards
    }

    /// Returns how many messages were carried.
    #[must_use]
    pub const fn sent(&self) -> MessageCounts {
        self.sent
    }

    /// Returns a number below `limit` from the world's seed.
    pub fn draw(&mut self, limit: usize) -> usize {
        self.generator.random_range(0..limit)
    }

    pub(crate) fn push(&mut self, event: WorldEvent, delay: time::Duration) {
        self.counter += 1;
        self.queue.insert((self.now + delay, self.counter), event);
    }

    pub(crate) fn push_host(
        &mut self,
        host: &names::HostName,
        life: u64,
        call: HostCall,
        delay: time::Duration,
    ) {
        let host = host.clone();
        self.push(WorldEvent::Host { host, life, call }, delay);
    }

    fn delay(&mut self) -> time::Duration {
        let one_in = self.plan.hold_up_one_in;
        let held_up = one_in > 0 && self.generator.random_range(0..one_in) == 0;
        let longest = if held_up {
            HELD_UP_DELAY_US
        } else {
            USUAL_DELAY_US
        };
        time::Duration::from_micros(self.generator.random_range(100..longest))
    }

    fn travel(&mut self, from: &WorldNode, to: &WorldNode, event: WorldEvent) -> bool {
        if !self.connected(from, to) {
            return false;
        }
        let delay = self.delay();
        self.push(event, delay);
        true
    }

    /// Lets the next event happen; reports whether there is one before `until`.
    pub fn step(&mut self, until: clock::MonoTime) -> bool {
        let Some(entry) = self.queue.first_entry() else {
            return false;
        };
        let at = entry.key().0;
        if at > until {
            self.now = self.now.max(until);
            return false;
        }
        let event = entry.remove();
        self.now = self.now.max(at);
        self.deliver(event);
        true
    }

    pub(crate) fn deliver(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Host { host, life, call } => self.deliver_host(&host, life, call),
            WorldEvent::Server {
                server,
                from,
                life,
                sent_at,
                call,
            } => self.deliver_server(&server, from, life, sent_at, call),
            WorldEvent::Log { from, life, call } => self.deliver_log(&from, life, call),
        }
    }

    fn deliver_host(&mut self, name: &names::HostName, life: u64, call: HostCall) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.life != life {
            return;
        }
        if host.paused {
            let host_name = name.clone();
            host.held.push(WorldEvent::Host {
                host: host_name,
                life,
                call,
            });
            return;
        }
        let time = host.clock.read(now);
        let Some(state) = &mut host.state else {
            return;
        };
        let actions = match call {
            HostCall::Tick => {
                let actions = state.tick(time);
                let next = time::Duration::from_millis(TICK_MS);
                self.push_host(name, life, HostCall::Tick, next);
                actions
            }
            HostCall::LogPage(page) => state.on_log_page(&page, time),
            HostCall::LogFailed => {
                state.on_log_failed(time);
                Vec::new()
            }
            HostCall::Appended(id) => {
                state.on_appended(&id, time);
                Vec::new()
            }
            HostCall::AppendFailed => {
                state.on_append_failed(time);
                Vec::new()
            }
            HostCall::ClaimReply(domain, order, answer) => {
                state.on_claim_reply(&domain, &order, &answer, time)
            }
            HostCall::LeaseReply(domain, answer) => state.on_lease_reply(&domain, &answer, time),
            HostCall::ExchangeReply(sent_at, reply) => {
                state.on_exchange_reply(sent_at, &reply, time)
            }
            HostCall::Exchange(from, sent_at, request) => {
                let reply = state.on_exchange(&request, time);
                self.answer_exchange(name, &from, sent_at, reply);
                Vec::new()
            }
        };
        for action in actions {
            self.perform(name, life, time, action);
        }
    }

    fn answer_exchange(
        &mut self,
        name: &names::HostName,
        from: &names::HostName,
        sent_at: clock::MonoTime,
        reply: peer::ExchangeReply,
    ) {
        let Some(life) = self.hosts.get(from).map(|host| host.life) else {
            return;
        };
        let event = WorldEvent::Host {
            host: from.clone(),
            life,
            call: HostCall::ExchangeReply(sent_at, reply),
        };
        let (here, there) = (WorldNode::Host(name.clone()), WorldNode::Host(from.clone()));
        self.travel(&here, &there, event);
    }

    fn perform(
        &mut self,
        name: &names::HostName,
        life: u64,
        time: clock::MonoTime,
        action: control::ControlAction,
    ) {
        match action {
            control::ControlAction::ReadLog { from } => {
                self.call_log(name, life, LogCall::Read(from));
            }
            control::ControlAction::Append(record) => {
                self.sent.appends += 1;
                self.call_log(name, life, LogCall::Append(record));
            }
            control::ControlAction::Claim {
                domain,
                server,
                order,
            } => {
                let call = ServerCall::Claim(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Lease {
                domain,
                server,
                order,
            } => {
                let call = ServerCall::Lease(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Exchange { peer, request } => {
                self.call_peer(name, time, peer, request);
            }
            control::ControlAction::Publish(_) | control::ControlAction::Note(_) => {}
        }
    }

    fn call_log(&mut self, name: &names::HostName, life: u64, call: LogCall) {
        let failed = match call {
            LogCall::Read(_) => HostCall::LogFailed,
            LogCall::Append(_) => HostCall::AppendFailed,
        };
        let event = WorldEvent::Log {
            from: name.clone(),
            life,
            call,
        };
        let here = WorldNode::Host(name.clone());
        if !self.travel(&here, &WorldNode::Log, event) {
            let wait = time::Duration::from_millis(LOG_TIMEOUT_MS);
            self.push_host(name, life, failed, wait);
        }
    }

    fn call_server(
        &mut self,
        name: &names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        server: names::ServerName,
        call: ServerCall,
    ) {
        self.sent.orders += 1;
        let here = WorldNode::Host(name.clone());
        let there = WorldNode::Server(server.clone());
        let event = WorldEvent::Server {
            server,
            from: name.clone(),
            life,
            sent_at,
            call,
        };
        self.travel(&here, &there, event);
    }

    fn call_peer(
        &mut self,
        name: &names::HostName,
        sent_at: clock::MonoTime,
        address: net::SocketAddr,
        request: peer::ExchangeRequest,
    ) {
        self.sent.exchanges += 1;
        let found = self.hosts.values().find(|host| host.spec.peer == address);
        let Some((peer, life)) = found.map(|host| (host.spec.name.clone(), host.life)) else {
            return;
        };
        let event = WorldEvent::Host {
            host: peer.clone(),
            life,
            call: HostCall::Exchange(name.clone(), sent_at, request),
        };
        let (here, there) = (WorldNode::Host(name.clone()), WorldNode::Host(peer));
        self.travel(&here, &there, event);
    }

    fn deliver_server(
        &mut self,
        name: &names::ServerName,
        from: names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        call: ServerCall,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.frozen {
            server.held.push(WorldEvent::Server {
                server: name.clone(),
                from,
                life,
                sent_at,
                call,
            });
            return;
        }
        let time = server.clock.read(now);
        let Some(state) = &mut server.state else {
            return;
        };
        let reply = match call {
            ServerCall::Claim(domain, order) => {
                let reply = state.claim(&order, time);
                let answer = authority::ClaimAnswer {
                    server: name.clone(),
                    sent_at,
                    reply,
                };
                HostCall::ClaimReply(domain, order, answer)
            }
            ServerCall::Lease(domain, order) => {
                let reply = state.lease(&order, time);
                let answer = domain::LeaseAnswer {
                    server: name.clone(),
                    order,
                    sent_at,
                    reply,
                };
                HostCall::LeaseReply(domain, answer)
            }
        };
        let there = WorldNode::Host(from.clone());
        let event = WorldEvent::Host {
            host: from,
            life,
            call: reply,
        };
        self.travel(&WorldNode::Server(name.clone()), &there, event);
    }

    fn deliver_log(&mut self, from: &names::HostName, life: u64, call: LogCall) {
        let (answer, failed) = match call {
            LogCall::Read(offset) => (
                self.log.read(offset).map(HostCall::LogPage),
                HostCall::LogFailed,
            ),
            LogCall::Append(record) => (
                self.log
                    .append(record.encode())
                    .map(|_| HostCall::Appended(record.id)),
                HostCall::AppendFailed,
            ),
        };
        let there = WorldNode::Host(from.clone());
        let connected = self.connected(&WorldNode::Log, &there);
        let slow = time::Duration::from_millis(self.log.faults.slow_ms);
        let call = answer.filter(|_| connected).unwrap_or(failed);
        let delay = self.delay() + slow;
        self.push_host(from, life, call, delay);
    }
}

// A shard whose home has no server of its service can have no owner.
pub(crate) fn owned_shards(configuration: &configuration::Configuration) -> Vec<names::ShardId> {
    let mut shards = Vec::new();
    for service in &configuration.service {
        for index in 0..service.shards {
            let home = configuration.home_of(service, index);
            let servers = home.map(|home| configuration.servers_of(home));
            let served = servers.is_some_and(|mut s| s.any(|s| s.service == service.name));
            if served {
                shards.push(names::ShardId::new(service.name.clone(), index));
            }
        }
    }
    shards
}
