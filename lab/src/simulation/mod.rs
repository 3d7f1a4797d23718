//! A small virtual world for scripted scenarios: real control states of hosts, stand-ins of servers
//! and log, and messages between them that are delayed, lost or cut off, all on virtual time.

mod calls;

use std::collections;
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
pub const MAX_SHORT_DELAY_US: u64 = 1_500;
/// The longest delay of a message that is held up, in microseconds.
pub const MAX_LONG_DELAY_US: u64 = 1_500_000;
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
pub enum SimulatedNode {
    /// An entry host.
    Host(names::HostName),
    /// A server.
    Server(names::ServerName),
    /// The platform's log.
    Log,
}

/// A clock with an origin and a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedClock {
    pub(crate) offset_us: u64,
    pub(crate) rate_ppm: u64,
}

impl SimulatedClock {
    pub(crate) fn read(self, now: clock::MonoTime) -> clock::MonoTime {
        let micros = u128::from(now.as_micros()) * u128::from(self.rate_ppm) / 1_000_000;
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        clock::MonoTime::from_micros(self.offset_us + micros)
    }
}

/// An entry host of the world.
pub struct SimulatedHost {
    /// The host as configured.
    pub spec: configuration::HostSpec,
    /// The control state, none while the process is dead.
    pub state: Option<control::ControlState>,
    /// Whether the process is paused.
    pub paused: bool,
    pub(crate) clock: SimulatedClock,
    pub(crate) generation: u64,
    pub(crate) deferred: Vec<SimulationEvent>,
}

/// A server of the world.
pub struct SimulatedServer {
    /// The server as configured.
    pub spec: configuration::ServerSpec,
    /// The server's state, none while the process is dead.
    pub state: Option<server_state::ServerState>,
    /// Whether the process is frozen.
    pub frozen: bool,
    pub(crate) clock: SimulatedClock,
    pub(crate) deferred: Vec<SimulationEvent>,
}

impl SimulatedServer {
    /// Returns the server's own time.
    #[must_use]
    pub fn time(&self, now: clock::MonoTime) -> clock::MonoTime {
        self.clock.read(now)
    }
}

impl SimulatedHost {
    /// Returns the number of the process's life; a restart raises it.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
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
        authority::ClaimResponse,
    ),
    LeaseReply(names::DomainName, domain::LeaseResponse),
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
pub(crate) enum SimulationEvent {
    Host {
        host: names::HostName,
        generation: u64,
        call: HostCall,
    },
    Server {
        server: names::ServerName,
        from: names::HostName,
        generation: u64,
        sent_at: clock::MonoTime,
        call: ServerCall,
    },
    Log {
        from: names::HostName,
        generation: u64,
        call: LogCall,
    },
}

/// How a world is laid out.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// The seed of delays, clocks and jitter.
    pub seed: u64,
    /// The failure domains with their hosts, checked and unchecked servers.
    pub domains: Vec<DomainPlan>,
    /// The number of shards.
    pub shards: u32,
    /// One in how many messages is held up for long; 0 for none.
    pub long_delay_one_in: u32,
    /// A flaw of all servers.
    pub mutation: server_state::ServerMutation,
    /// How much faster the hosts' clocks run, in parts per million.
    pub host_clock_gain_ppm: u64,
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
pub struct LabSimulation {
    pub(crate) now: clock::MonoTime,
    pub(crate) generator: rand::rngs::StdRng,
    pub(crate) queue: collections::BTreeMap<(clock::MonoTime, u64), SimulationEvent>,
    pub(crate) event_count: u64,
    pub(crate) plan: SimulationPlan,
    /// The hosts.
    pub hosts: collections::BTreeMap<names::HostName, SimulatedHost>,
    /// The servers.
    pub servers: collections::BTreeMap<names::ServerName, SimulatedServer>,
    /// The log.
    pub log: log_state::LogState,
    pub(crate) cuts: collections::BTreeSet<(SimulatedNode, SimulatedNode)>,
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

impl LabSimulation {
    /// Creates a world whose hosts and servers have just started, with its configuration in the log.
    ///
    /// # Panics
    /// When the plan's names are no names.
    #[must_use]
    pub fn new(plan: SimulationPlan) -> Self {
        let mut simulation = Self {
            now: clock::MonoTime::from_millis(1_000),
            generator: rand::rngs::StdRng::seed_from_u64(plan.seed),
            queue: collections::BTreeMap::new(),
            event_count: 0,
            plan,
            hosts: collections::BTreeMap::new(),
            servers: collections::BTreeMap::new(),
            log: log_state::LogState::new(),
            cuts: collections::BTreeSet::new(),
            sent: MessageCounts::default(),
            shards: Vec::new(),
        };
        simulation.populate();
        simulation
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
    pub fn random_below(&mut self, limit: usize) -> usize {
        self.generator.random_range(0..limit)
    }

    pub(crate) fn push(&mut self, event: SimulationEvent, delay: time::Duration) {
        self.event_count += 1;
        self.queue
            .insert((self.now + delay, self.event_count), event);
    }

    pub(crate) fn push_host(
        &mut self,
        host: &names::HostName,
        generation: u64,
        call: HostCall,
        delay: time::Duration,
    ) {
        let host = host.clone();
        self.push(
            SimulationEvent::Host {
                host,
                generation,
                call,
            },
            delay,
        );
    }

    fn delay(&mut self) -> time::Duration {
        let one_in = self.plan.long_delay_one_in;
        let is_long = one_in > 0 && self.generator.random_range(0..one_in) == 0;
        let max_delay = if is_long {
            MAX_LONG_DELAY_US
        } else {
            MAX_SHORT_DELAY_US
        };
        time::Duration::from_micros(self.generator.random_range(100..max_delay))
    }

    fn transmit(
        &mut self,
        from: &SimulatedNode,
        to: &SimulatedNode,
        event: SimulationEvent,
    ) -> bool {
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

    pub(crate) fn deliver(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Host {
                host,
                generation,
                call,
            } => self.deliver_host(&host, generation, call),
            SimulationEvent::Server {
                server,
                from,
                generation,
                sent_at,
                call,
            } => self.deliver_server(&server, from, generation, sent_at, call),
            SimulationEvent::Log {
                from,
                generation,
                call,
            } => self.deliver_log(&from, generation, call),
        }
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
