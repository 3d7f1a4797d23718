//! A deterministic simulation on virtual time for scripted scenarios. Hosts run the real control
//! state; servers and the log are simulated. Messages between them are delayed, lost or blocked.

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

use crate::event_queue;
use crate::log_state;
use crate::server_state;

/// The interval between two ticks of a host, in milliseconds.
pub const TICK_MS: u64 = 20;
/// The maximum delay of a normal message, in microseconds.
pub const MAX_SHORT_DELAY_US: u64 = 1_500;
/// The maximum delay of a message that gets a long delay, in microseconds.
pub const MAX_LONG_DELAY_US: u64 = 1_500_000;
/// The time after which a call to an unreachable log fails, in milliseconds.
pub const LOG_TIMEOUT_MS: u64 = 1_000;
/// The maximum difference between the rates of two clocks, apart from the plan's clock gain of the
/// hosts, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 5_000;

/// The wall clock at the start of the simulation, in milliseconds.
pub const WALL_ORIGIN_MS: u64 = 1_000_000_000;
/// The wall clocks of two hosts differ by less than this when they start, in milliseconds.
pub const WALL_SKEW_MS: u64 = 100;

/// A sender or receiver of messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimulatedNode {
    /// An entry host.
    Host(names::HostName),
    /// A backend server.
    Server(names::ServerName),
    /// The platform's log.
    Log,
}

/// A clock with its own origin and rate.
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

/// A simulated entry host.
pub struct SimulatedHost {
    /// The host's configuration.
    pub spec: configuration::HostSpec,
    /// The control state; `None` while the process is not running.
    pub state: Option<control::ControlState>,
    /// Whether the process is paused.
    pub paused: bool,
    pub(crate) clock: SimulatedClock,
    pub(crate) generation: u64,
    pub(crate) deferred: Vec<SimulationEvent>,
}

/// A simulated backend server.
pub struct SimulatedServer {
    /// The server's configuration.
    pub spec: configuration::ServerSpec,
    /// The server's state; `None` while the process is not running.
    pub state: Option<server_state::ServerState>,
    /// Whether the process is frozen.
    pub frozen: bool,
    pub(crate) clock: SimulatedClock,
    pub(crate) deferred: Vec<SimulationEvent>,
}

impl SimulatedServer {
    /// Returns the time on the server's clock.
    #[must_use]
    pub fn time(&self, now: clock::MonoTime) -> clock::MonoTime {
        self.clock.read(now)
    }
}

impl SimulatedHost {
    /// Returns the generation of the host's process. Each start and each end of the process raises
    /// it; messages of an earlier generation are dropped.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the time on the host's clock.
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

/// The setup of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// The seed of delays, clocks, incarnations and jitter.
    pub seed: u64,
    /// The failure domains with their hosts and servers.
    pub domains: Vec<DomainPlan>,
    /// The number of shards of each service.
    pub shards: u32,
    /// One message in this many, on average, gets a long delay; 0 for none.
    pub long_delay_one_in: u32,
    /// The mutation of all servers.
    pub mutation: server_state::ServerMutation,
    /// How much faster the hosts' clocks run than the servers', in parts per million.
    pub host_clock_gain_ppm: u64,
    /// The lease timing that the hosts use.
    pub timing: timing::LeaseTiming,
}

/// One failure domain of a simulation.
#[derive(Clone, Debug)]
pub struct DomainPlan {
    /// The name.
    pub name: String,
    /// The number of entry hosts.
    pub hosts: u32,
    /// The number of checked servers, which serve [`CHECKED_SERVICE`].
    pub checked: u32,
    /// The number of unchecked servers, which serve [`UNCHECKED_SERVICE`].
    pub unchecked: u32,
}

/// A simulated site: its hosts, its servers, its log and the messages in flight.
pub struct LabSimulation {
    pub(crate) now: clock::MonoTime,
    pub(crate) generator: rand::rngs::StdRng,
    pub(crate) queue: event_queue::EventQueue<SimulationEvent>,
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

/// The numbers of messages sent, including those that were lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Claims and lease renewals sent to servers.
    pub orders: u64,
    /// Appends sent to the log.
    pub appends: u64,
    /// Exchange requests between hosts.
    pub exchanges: u64,
}

/// The service that the checked servers run.
pub const CHECKED_SERVICE: &str = "stock";
/// The service that the unchecked servers run.
pub const UNCHECKED_SERVICE: &str = "files";
/// The deadline of both services, in milliseconds.
pub const DEADLINE_MS: u64 = 500;

impl LabSimulation {
    /// Creates a simulation whose hosts and servers have just started and whose log holds the
    /// configuration.
    ///
    /// # Panics
    /// Panics if the plan has an invalid name.
    #[must_use]
    pub fn new(plan: SimulationPlan) -> Self {
        let mut simulation = Self {
            now: clock::MonoTime::from_millis(1_000),
            generator: rand::rngs::StdRng::seed_from_u64(plan.seed),
            queue: event_queue::EventQueue::new(),
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

    /// Returns the virtual time.
    #[must_use]
    pub const fn now(&self) -> clock::MonoTime {
        self.now
    }

    /// Returns the shards that can have an owner.
    #[must_use]
    pub fn shards(&self) -> &[names::ShardId] {
        &self.shards
    }

    /// Returns the numbers of messages sent.
    #[must_use]
    pub const fn sent(&self) -> MessageCounts {
        self.sent
    }

    /// Returns a random number below `limit`, from the generator of the plan's seed.
    pub fn random_below(&mut self, limit: usize) -> usize {
        self.generator.random_range(0..limit)
    }

    pub(crate) fn push(&mut self, event: SimulationEvent, delay: time::Duration) {
        self.queue.push(self.now + delay, event);
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

    /// Delivers the next event, provided that it is due by `until`, and reports whether it did.
    /// When the next event is due later, the time advances to `until`.
    pub fn step(&mut self, until: clock::MonoTime) -> bool {
        if self.queue.next_at().is_none() {
            return false;
        }
        let Some((at, event)) = self.queue.pop_due(until) else {
            self.now = self.now.max(until);
            return false;
        };
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

// Returns the shards that can have an owner: those whose home has a server of the service.
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
