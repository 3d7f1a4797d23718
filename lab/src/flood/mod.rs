//! A simulation in virtual time of overload (a "flood"): the production queues, limits and request
//! flows of several hosts in front of simulated servers, which have slots and shed requests when all
//! slots are taken.

mod request;

use std::collections;
use std::sync;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::event_queue;
use zinniastack::chart;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::flow;
use zinniastack::outcome;
use zinniastack::queue;

/// The interval at which queues drop waiting requests that are too late to serve, in milliseconds.
pub const SWEEP_MS: u64 = 5;
/// The greatest latency that the quantiles distinguish, in microseconds.
pub const MAX_TIME_US: u64 = 60_000_000;
/// The load of each rank outside floods, as a fraction of the capacity.
pub const CALM_SHARES: [f64; configuration::WorkRank::COUNT] = [0.25, 0.15, 0.10];
/// The load of the flooding rank, as a multiple of the capacity.
pub const FLOOD_SHARE: f64 = 10.0;

/// The size and the timing of a simulated site.
#[derive(Clone, Copy, Debug)]
pub struct FloodSite {
    /// The site's name in the output of `zinnia-lab measure`.
    pub name: &'static str,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of servers.
    pub servers: usize,
    /// The requests that a server runs at once.
    pub slots: u32,
    /// The mean service time of a request, in microseconds.
    pub service_us: u64,
    /// The one-way network latency between two failure domains, in microseconds.
    pub network_us: u64,
    /// The one-way network latency within a failure domain, in microseconds.
    pub intra_domain_us: u64,
    /// The deadline of each rank, in milliseconds.
    pub deadlines_ms: [u64; configuration::WorkRank::COUNT],
    /// The share of each server that a rank gets at least while its requests wait, in percent.
    pub floors: [u8; configuration::WorkRank::COUNT],
}

/// The users' two sites, with all ranks on one pool of servers.
pub const SITES: [FloodSite; 2] = [
    FloodSite {
        name: "manizales",
        hosts: 5,
        servers: 20,
        slots: 6,
        service_us: 20_000,
        network_us: 500,
        intra_domain_us: 100,
        deadlines_ms: [500, 2_000, 30_000],
        floors: [0, 20, 10],
    },
    FloodSite {
        name: "coastline",
        hosts: 5,
        servers: 20,
        slots: 3,
        service_us: 20_000,
        network_us: 1_500,
        intra_domain_us: 100,
        deadlines_ms: [2_000, 1_000, 30_000],
        floors: [0, 20, 10],
    },
];

/// A phase of the run, which has its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FloodPhase {
    /// Normal load, before the first flood.
    Calm,
    /// The least urgent rank floods.
    LowFlood,
    /// Normal load after that flood.
    AfterLow,
    /// The most urgent rank floods.
    HighFlood,
    /// Normal load after that flood.
    AfterHigh,
}

impl FloodPhase {
    /// The phases in their order.
    pub const ALL: [Self; 5] = [
        Self::Calm,
        Self::LowFlood,
        Self::AfterLow,
        Self::HighFlood,
        Self::AfterHigh,
    ];

    /// Returns the phase's name in the output of `zinnia-lab measure`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::LowFlood => "flood-rank-3",
            Self::AfterLow => "after-rank-3",
            Self::HighFlood => "flood-rank-1",
            Self::AfterHigh => "after-rank-1",
        }
    }

    fn share(self, rank: usize) -> f64 {
        match (self, rank) {
            (Self::LowFlood, 2) | (Self::HighFlood, 0) => FLOOD_SHARE,
            _ => CALM_SHARES[rank],
        }
    }
}

/// The outcomes of one rank's requests that arrived in one phase.
#[derive(Clone, Debug, Default)]
pub struct RankTally {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered by their deadline.
    pub on_time: u64,
    /// Requests that ran, but whose answer came too late.
    pub late: u64,
    /// Requests refused, by reason.
    pub refused: collections::BTreeMap<outcome::RefusalReason, u64>,
    /// The latencies of the requests answered by their deadline, in microseconds.
    pub latencies_us: Vec<u64>,
}

impl RankTally {
    /// Returns the fraction of the offered requests that was answered by the deadline.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        ratio(self.on_time, self.offered)
    }

    /// Returns a quantile (0 to 1) of the latencies of requests answered by their deadline, in
    /// microseconds.
    #[must_use]
    pub fn quantile_us(&self, part: f64) -> u64 {
        let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new_with_max(MAX_TIME_US, 3) else {
            return 0;
        };
        for value in &self.latencies_us {
            histogram.saturating_record(*value);
        }
        histogram.value_at_quantile(part)
    }
}

/// Returns `part` divided by `whole`, or by 1 if `whole` is 0.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    to_f64(part) / to_f64(whole.max(1))
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The results of a whole run.
#[derive(Clone, Debug, Default)]
pub struct FloodReport {
    /// The outcomes, by phase of arrival, then by rank.
    pub tallies: collections::BTreeMap<FloodPhase, [RankTally; configuration::WorkRank::COUNT]>,
    /// The requests that the servers finished, by the phase in which they finished.
    pub finished: collections::BTreeMap<FloodPhase, u64>,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Requests that ran although their outcome said that they had not.
    pub not_run_but_ran: u64,
    /// Retries sent to servers.
    pub retried: u64,
    /// First attempts sent to servers.
    pub sent: u64,
    /// For each phase after a flood, the time from its start until the requests of every rank are
    /// answered by their deadline again, in milliseconds.
    pub recovery_ms: collections::BTreeMap<FloodPhase, u64>,
}

struct FloodRequest {
    rank: usize,
    server: usize,
    host: usize,
    phase: FloodPhase,
    arrived: clock::MonoTime,
    deadline: clock::MonoTime,
    flow: flow::RequestFlow,
    runs: u32,
    sent_at: clock::MonoTime,
    closed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FloodEvent {
    Arrive(usize),
    AtGate(usize),
    AtServer(usize),
    Served(usize),
    Answered(usize),
    Shed(usize),
    Sweep,
}

struct FloodServer {
    running: u32,
    backlog: collections::VecDeque<usize>,
}

/// One run of a simulated site under a queue policy.
pub struct FloodRun {
    site: FloodSite,
    policy: queue::QueuePolicy,
    phase_ms: u64,
    generator: rand::rngs::StdRng,
    now: clock::MonoTime,
    events: event_queue::EventQueue<FloodEvent>,
    requests: Vec<FloodRequest>,
    queues: Vec<queue::ServerQueue<usize>>,
    servers: Vec<FloodServer>,
    chart: sync::Arc<chart::ChartTable<flow::RequestVocabulary>>,
    report: FloodReport,
}

impl FloodRun {
    /// Creates a run whose phases last `phase_ms` milliseconds each.
    ///
    /// # Errors
    /// Fails when the chart `request` is invalid.
    pub fn new(
        site: FloodSite,
        policy: queue::QueuePolicy,
        seed: u64,
        phase_ms: u64,
    ) -> Result<Self, chart::ChartError> {
        let queue = || {
            queue::ServerQueue::new(site.slots, 1)
                .with_policy(policy)
                .with_floors(site.floors)
        };
        let server = || FloodServer {
            running: 0,
            backlog: collections::VecDeque::new(),
        };
        Ok(Self {
            site,
            policy,
            phase_ms,
            generator: rand::rngs::StdRng::seed_from_u64(seed),
            now: clock::MonoTime::default(),
            events: event_queue::EventQueue::new(),
            requests: Vec::new(),
            queues: (0..site.hosts * site.servers).map(|_| queue()).collect(),
            servers: (0..site.servers).map(|_| server()).collect(),
            chart: sync::Arc::new(chart::ChartTable::new()?),
            report: FloodReport::default(),
        })
    }

    /// Returns the number of requests that the servers can finish in one phase.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let servers = u32::try_from(self.site.servers).unwrap_or(u32::MAX);
        let slots = f64::from(self.site.slots) * f64::from(servers);
        slots * to_f64(self.phase_ms) * 1_000.0 / to_f64(self.site.service_us)
    }

    /// Runs all phases.
    #[must_use]
    pub fn run(mut self) -> FloodReport {
        for rank in 0..configuration::WorkRank::COUNT {
            self.schedule_arrival(rank);
        }
        self.push(FloodEvent::Sweep, time::Duration::from_millis(SWEEP_MS));
        let phases = FloodPhase::ALL.len() as u64;
        let end = clock::MonoTime::from_millis(self.phase_ms * phases);
        while let Some((at, event)) = self.events.pop_due(end) {
            self.now = at;
            self.handle(event);
        }
        self.count_open_requests();
        self.report
    }

    fn phase(&self) -> FloodPhase {
        let position = self.now.as_millis() / self.phase_ms;
        let position = usize::try_from(position).unwrap_or(usize::MAX);
        FloodPhase::ALL[position.min(FloodPhase::ALL.len() - 1)]
    }

    fn push(&mut self, event: FloodEvent, delay: time::Duration) {
        self.events.push(self.now + delay, event);
    }

    fn schedule_arrival(&mut self, rank: usize) {
        let per_second = self.capacity() * 1_000.0 / to_f64(self.phase_ms);
        let rate = per_second * self.phase().share(rank);
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        let gap = time::Duration::from_secs_f64(-uniform.ln() / rate);
        // Caps the gap, so that one drawn at a low rate does not put off the next phase's higher rate.
        let longest = time::Duration::from_millis(self.phase_ms / 50);
        self.push(FloodEvent::Arrive(rank), gap.min(longest));
    }

    fn handle(&mut self, event: FloodEvent) {
        match event {
            FloodEvent::Arrive(rank) => {
                self.arrive(rank);
                self.schedule_arrival(rank);
            }
            FloodEvent::AtGate(id) => self.enqueue(id, false),
            FloodEvent::AtServer(id) => self.at_server(id),
            FloodEvent::Served(id) => self.served(id),
            FloodEvent::Answered(id) => self.answered(id),
            FloodEvent::Shed(id) => self.shed(id),
            FloodEvent::Sweep => {
                for queue_index in 0..self.queues.len() {
                    if self.queues[queue_index].waiting() > 0 {
                        self.dispatch_waiting(queue_index);
                    }
                }
                self.push(FloodEvent::Sweep, time::Duration::from_millis(SWEEP_MS));
            }
        }
    }

    fn arrive(&mut self, rank: usize) {
        let deadline = time::Duration::from_millis(self.site.deadlines_ms[rank]);
        let mut request = FloodRequest {
            rank,
            server: self.generator.random_range(0..self.site.servers),
            host: self.generator.random_range(0..self.site.hosts),
            phase: self.phase(),
            arrived: self.now,
            deadline: self.now + deadline,
            flow: flow::RequestFlow::new(sync::Arc::clone(&self.chart), rank == 0),
            runs: 0,
            sent_at: self.now,
            closed: false,
        };
        let facts = flow::RequestFacts::default();
        request.flow.handle(flow::RequestEvent::GateHere, facts);
        self.tally(request.phase, rank).offered += 1;
        let hop = self.hop_to_gate(request.host, request.server);
        self.requests.push(request);
        self.push(FloodEvent::AtGate(self.requests.len() - 1), hop);
    }

    fn tally(&mut self, phase: FloodPhase, rank: usize) -> &mut RankTally {
        &mut self.report.tallies.entry(phase).or_default()[rank]
    }

    // Returns the index of the request's queue. By rank, all requests to a server wait at one host,
    // its gate; in the first-in-first-out baseline, each waits at the host where it arrived.
    fn queue_index(&self, id: usize) -> usize {
        let request = &self.requests[id];
        let host = match self.policy {
            queue::QueuePolicy::ByRank => request.server % self.site.hosts,
            queue::QueuePolicy::FirstInFirstOut => request.host,
        };
        host * self.site.servers + request.server
    }

    fn hop_to_gate(&self, host: usize, server: usize) -> time::Duration {
        let here = host == server % self.site.hosts;
        if here || self.policy == queue::QueuePolicy::FirstInFirstOut {
            return time::Duration::ZERO;
        }
        time::Duration::from_micros(self.site.network_us)
    }

    fn hop_to_server(&self) -> time::Duration {
        time::Duration::from_micros(match self.policy {
            queue::QueuePolicy::ByRank => self.site.intra_domain_us,
            queue::QueuePolicy::FirstInFirstOut => self.site.network_us,
        })
    }

    // A request that is open at the end counts as late if its deadline has passed, otherwise not at
    // all.
    fn count_open_requests(&mut self) {
        let now = self.now;
        let open: Vec<_> = self
            .requests
            .iter()
            .filter(|request| !request.closed)
            .map(|request| (request.phase, request.rank, now > request.deadline))
            .collect();
        for (phase, rank, late) in open {
            let tally = self.tally(phase, rank);
            if late {
                tally.late += 1;
            } else {
                tally.offered -= 1;
            }
        }
    }
}
