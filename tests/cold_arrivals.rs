//! Plays many hosts that send to one cold server, without a network, and checks the bound on arrivals in
//! every sliding second. It guards against a server that crashes because the hosts together send it more
//! than it can bear, each of them unaware of the others.

use std::collections;
use std::sync;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::routing::specification;
use zinniastack::serving::cluster;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::estimate;
use zinniastack::serving::scheduler;
use zinniastack::serving::status;
use zinniastack::serving::view;

const STEP_MS: u64 = 20;
const VIEW_MS: u64 = 100;
/// When the server starts; the hosts have settled by then.
const SERVER_START_MS: u64 = 12_000;
const CUT_MS: u64 = 16_000;
const CUT_END_MS: u64 = 40_000;
const END_MS: u64 = 45_000;
/// How long a host takes to notice that its records are outdated, at most.
const NOTICE_MS: u64 = 6_500;
const RATE_PER_S: f64 = 3.9;
const ALLOWED: usize = 13;

#[derive(Clone, Copy, Debug, Default)]
struct PlayCase {
    hosts: usize,
    // The longest time on the way to the server.
    delay_ms: u64,
    restarts: bool,
    // Hosts that are cut off from the others, and hosts that start meanwhile.
    cut: usize,
    late: usize,
}

struct PlayHost {
    record: status::HostRecord,
    state: cluster::ClusterState,
    scheduler: scheduler::RequestScheduler,
    knows_hosts_at: u64,
    notices_cut_at: Option<u64>,
}

struct Play {
    case: PlayCase,
    rng: rand::rngs::StdRng,
    now_ms: u64,
    hosts: collections::BTreeMap<usize, PlayHost>,
    next_incarnation: u64,
    // Ends of attempts, by time.
    ends: collections::BTreeMap<u64, Vec<(usize, u64, estimate::ExchangeEnd)>>,
    arrivals: Vec<u64>,
}

fn life() -> assignment::ServerIncarnation {
    assignment::ServerIncarnation {
        server: fixtures::name("s-1"),
        born: 1,
    }
}

fn server() -> directory::ServerRecord {
    directory::ServerRecord {
        life: life(),
        service: fixtures::name("orders"),
        address: ([10, 0, 0, 9], 80).into(),
        domain: fixtures::name("north"),
        slots: 400,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

fn routes() -> specification::RouteSet {
    let service = specification::ServiceSpec {
        name: fixtures::name("orders"),
        sharded: false,
        max_connections: 550,
        cold: specification::ColdLimit::new(time::Duration::from_mins(1), RATE_PER_S),
    };
    let limits = fixtures::routes(1).limits;
    let set = specification::RouteSet::new(1, Vec::new(), vec![service], limits);
    set.expect("the route set is valid")
}

impl Play {
    fn new(case: PlayCase, seed: u64) -> Self {
        let mut play = Self {
            case,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            now_ms: 0,
            hosts: collections::BTreeMap::new(),
            next_incarnation: 0,
            ends: collections::BTreeMap::new(),
            arrivals: Vec::new(),
        };
        for index in 0..case.hosts {
            play.start_host(index);
        }
        play
    }

    fn is_cut(&self) -> bool {
        self.case.cut > 0 && (CUT_MS..CUT_END_MS).contains(&self.now_ms)
    }

    // Starts a host, or starts it again. It registers at once, and reads the list of hosts after that.
    fn start_host(&mut self, index: usize) {
        self.next_incarnation += 1;
        let record = status::HostRecord {
            host: fixtures::name(&format!("host-{index}")),
            incarnation: self.next_incarnation,
            domain: fixtures::name("north"),
            peers: ([10, 0, 0, 1], 7_200).into(),
            link_mbps: None,
        };
        let now = fixtures::at(self.now_ms);
        let state = cluster::ClusterState::new(record.clone(), now, time::Duration::from_secs(2));
        let bounds = cold::ColdBounds::new().with_excess(1.5).with_slack(8.0);
        let mut state = state.expect("the chart is valid").with_cold_bounds(bounds);
        state.note_routes(routes());
        state.note_servers_known();
        state.note_registered(now);
        if self.now_ms >= SERVER_START_MS {
            state.note_server(server(), now);
        }
        let scheduler = scheduler::RequestScheduler::new(scheduler::SchedulerSettings {
            domain: fixtures::name("north"),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            drain: time::Duration::from_secs(2),
        });
        let host = PlayHost {
            record,
            state,
            scheduler,
            knows_hosts_at: self.now_ms + self.rng.random_range(0..1_000),
            notices_cut_at: None,
        };
        self.hosts.insert(index, host);
    }

    // Tells the hosts of one another, and of the store, as far as they are not cut off.
    fn spread_records(&mut self) {
        let is_cut = self.is_cut();
        let records: Vec<_> = self
            .hosts
            .values()
            .map(|host| host.record.clone())
            .collect();
        let now = fixtures::at(self.now_ms);
        for (index, host) in &mut self.hosts {
            if is_cut && *index < self.case.cut {
                let notices = self.now_ms + self.rng.random_range(300..NOTICE_MS);
                let notices = *host.notices_cut_at.get_or_insert(notices);
                host.state
                    .note_store("servers", self.now_ms >= notices, now);
            } else if self.now_ms >= host.knows_hosts_at {
                host.state.note_store("servers", false, now);
                for record in &records {
                    host.state.note_host(&record.host, Some(record.clone()));
                }
                host.state.note_hosts_known(now);
            }
            host.state.check_supply(now);
            let grants = view::SharedGrants::default();
            let view = host.state.view(&grants, now);
            host.scheduler.sync(&sync::Arc::new(view));
        }
    }

    fn end_attempts(&mut self) {
        let ended = self.ends.remove(&self.now_ms).unwrap_or_default();
        for (index, incarnation, end) in ended {
            let host = self.hosts.get_mut(&index).expect("the host is known");
            if host.record.incarnation == incarnation {
                let elapsed = time::Duration::from_millis(100);
                let now = fixtures::at(self.now_ms);
                host.scheduler.finish(&life(), end, elapsed, now);
            }
        }
    }

    // Lets each host send as much as it may.
    fn send(&mut self) {
        let now = fixtures::at(self.now_ms);
        let request = scheduler::DispatchRequest {
            service: fixtures::name("orders"),
            key: None,
            priority: 1,
            objective: now + time::Duration::from_secs(8),
            deadline: now + time::Duration::from_secs(9),
            body_bytes: 0,
            is_retry: false,
            avoid: None,
        };
        for index in self.hosts.keys().copied().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&index).expect("the host is known");
            // A refusal only says that enough requests wait.
            let _ = host.scheduler.enqueue(request.clone(), now);
            let incarnation = host.record.incarnation;
            let events = host.scheduler.dispatch_waiting(now);
            let assigned = events
                .iter()
                .filter(|event| matches!(event, scheduler::SchedulerEvent::Assigned(..)));
            for _ in 0..assigned.count() {
                self.attempt(index, incarnation);
            }
        }
    }

    fn attempt(&mut self, index: usize, incarnation: u64) {
        let delay_ms = self.rng.random_range(0..=self.case.delay_ms);
        let arrives = self.now_ms + delay_ms;
        let answered = arrives + self.rng.random_range(20..400);
        // A caller that disconnects, or a connection that breaks, ends an attempt at any time after it
        // was sent.
        let given_up = self.now_ms + self.rng.random_range(0..400);
        let (end, at) = match self.rng.random_range(0..10) {
            0 => (estimate::ExchangeEnd::Cancelled, given_up),
            1 => (estimate::ExchangeEnd::Broken, given_up),
            2 => (estimate::ExchangeEnd::WrongServer, answered),
            3 => (estimate::ExchangeEnd::Full, answered),
            _ => (estimate::ExchangeEnd::Answered, answered),
        };
        if end != estimate::ExchangeEnd::WrongServer {
            self.arrivals.push(arrives);
        }
        let at = (at / STEP_MS + 1) * STEP_MS;
        self.ends
            .entry(at)
            .or_default()
            .push((index, incarnation, end));
    }

    fn run(&mut self) {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            if self.now_ms == SERVER_START_MS {
                let now = fixtures::at(self.now_ms);
                for host in self.hosts.values_mut() {
                    host.state.note_server(server(), now);
                }
            }
            if self.case.restarts && self.now_ms.is_multiple_of(500) {
                let index = self.rng.random_range(0..self.case.hosts);
                self.start_host(index);
            }
            if self.now_ms == CUT_MS + 1_000 {
                for index in 0..self.case.late {
                    self.start_host(self.case.hosts + index);
                }
            }
            self.end_attempts();
            if self.now_ms.is_multiple_of(VIEW_MS) {
                self.spread_records();
            }
            self.send();
        }
    }
}

fn keeps_the_bound(case: PlayCase) {
    for seed in 1..=3 {
        let mut play = Play::new(case, seed);
        play.run();
        let mut arrivals = play.arrivals;
        arrivals.sort_unstable();
        let most = arrivals.iter().enumerate().map(|(first, at)| {
            let within = arrivals[first..].partition_point(|other| *other <= at + 1_000);
            (within, *at)
        });
        let (most, at) = most.max().expect("requests have arrived");
        assert!(
            most <= ALLOWED,
            "seed {seed}: {most} within a second of {at} ms"
        );
        let span_ms = u32::try_from(END_MS - SERVER_START_MS).expect("a small number");
        let count = u32::try_from(arrivals.len()).expect("a small number");
        let rate = f64::from(count) * 1_000.0 / f64::from(span_ms);
        println!("seed {seed}: at most {most} within a second, {rate:.1} a second");
        // The server bears this rate, so it is not left idle.
        assert!(rate >= RATE_PER_S / 2.0, "seed {seed}: {rate:.1} a second");
    }
}

// Guards against a hash that selects the same hosts for all servers, which would carry all their load.
fn selects_different_hosts_for_different_servers() {
    let names: Vec<names::HostName> = (0..33)
        .map(|index| fixtures::name(&format!("host-{index}")))
        .collect();
    let members = |server: &str| {
        let server = fixtures::name(server);
        let quota = |own: &names::HostName| {
            let others: Vec<_> = names.iter().filter(|name| *name != own).collect();
            cold::host_quota(13, &server, own, others.into_iter())
        };
        names.iter().map(quota).collect::<Vec<_>>()
    };
    assert_eq!(members("s-1").iter().sum::<u32>(), 13 - cold::margin(13));
    assert_ne!(members("s-1"), members("s-2"));
}

macro_rules! play_cases {
    ($($name:ident: $case:expr;)*) => {
        mod cases {
            use super::PlayCase;

            #[test]
            fn selects_different_hosts_for_different_servers() {
                super::selects_different_hosts_for_different_servers();
            }

            $(#[test]
            fn $name() {
                super::keeps_the_bound($case);
            })*
        }
    };
}

play_cases! {
    keeps_the_bound_with_33_hosts:
        PlayCase { hosts: 33, delay_ms: 50, ..PlayCase::default() };
    keeps_the_bound_with_65_hosts_on_slow_links:
        PlayCase { hosts: 65, delay_ms: 500, ..PlayCase::default() };
    keeps_the_bound_with_6_hosts_that_have_several_requests_each:
        PlayCase { hosts: 6, delay_ms: 300, ..PlayCase::default() };
    keeps_the_bound_while_hosts_restart:
        PlayCase { hosts: 33, delay_ms: 300, restarts: true, ..PlayCase::default() };
    keeps_the_bound_through_a_cut_while_hosts_start:
        PlayCase { hosts: 33, delay_ms: 300, cut: 11, late: 20, ..PlayCase::default() };
    keeps_the_bound_with_65_hosts_through_a_cut_and_restarts:
        PlayCase { hosts: 65, delay_ms: 500, restarts: true, cut: 21, late: 8 };
}
