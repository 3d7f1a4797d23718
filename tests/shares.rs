//! Tests how many schedulers share the servers of a service, played together in virtual time against
//! simple servers with slots and a bounded queue.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use xxhash_rust::xxh3;
use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::estimate;
use zinniastack::serving::load_report;
use zinniastack::serving::scheduler;
use zinniastack::serving::scheduler::share;
use zinniastack::serving::subset;
use zinniastack::serving::view;

const HOSTS: usize = 65;
const SERVERS: usize = 8;
const SLOTS: u32 = 2;
const QUEUE: usize = 8;
const SERVICE_MS: f64 = 130.0;
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_500;
// How old the other hosts' totals are when they arrive, and how often they do.
const REPORT_MS: u64 = 250;
const TICK_MS: u64 = 20;
const LENGTH_MS: u64 = 20_000;
// The start, in which estimates and queues settle, is not measured.
const SETTLING_MS: u64 = 2_000;
const SEEDS: [u64; 4] = [1, 2, 3, 4];
// What callers of deployment B need: under 2 of 100 requests that reach servers find them full.
const MAX_FULL_SHARE: f64 = 0.02;
const MIN_BUSY: f64 = 0.8;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick,
    Report,
    Done { server: usize, job: Job },
}

// A request at a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    host: usize,
    arrived_ms: u64,
    sent_ms: u64,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: collections::VecDeque<Job>,
    busy_ms: u64,
}

/// What a play has counted after its start.
#[derive(Debug, Default)]
struct PlayCounts {
    arrived: u32,
    refused: u32,
    sent: u32,
    full: u32,
    on_time: u32,
    late: u32,
    given_up: u32,
}

impl PlayCounts {
    fn full_share(&self) -> f64 {
        f64::from(self.full) / f64::from(self.sent.max(1))
    }

    fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived.max(1))
    }
}

/// How a play is set up.
#[derive(Clone, Copy)]
struct PlaySetup {
    // What arrives, relative to what the servers complete.
    load: f64,
    // The number of hosts at which requests arrive.
    callers_at: usize,
    keyed: bool,
    seed: u64,
}

impl PlaySetup {
    fn new(load: f64) -> Self {
        Self {
            load,
            callers_at: HOSTS,
            keyed: true,
            seed: 1,
        }
    }
}

struct Play {
    setup: PlaySetup,
    schedulers: Vec<scheduler::RequestScheduler>,
    arrivals: Vec<collections::HashMap<scheduler::WaitTicket, u64>>,
    servers: Vec<Server>,
    view: view::ServingView,
    // The demand of each host as it was when the totals on their way were summed.
    reported: Vec<view::HostDemand>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    draws: u64,
    counts: PlayCounts,
}

impl Play {
    fn new(setup: PlaySetup) -> Self {
        let settings = scheduler::SchedulerSettings {
            domain: fixtures::name("north"),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            drain: time::Duration::from_secs(2),
        };
        let new_scheduler = || scheduler::RequestScheduler::new(settings.clone());
        Self {
            setup,
            schedulers: (0..HOSTS).map(|_| new_scheduler()).collect(),
            arrivals: vec![collections::HashMap::new(); HOSTS],
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            view: serving_view(setup.keyed),
            reported: vec![view::HostDemand::default(); HOSTS],
            events: collections::BinaryHeap::new(),
            draws: setup.seed << 32,
            counts: PlayCounts::default(),
        }
    }

    // Returns a number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let bits = xxh3::xxh3_64(&self.draws.to_le_bytes()) >> 32;
        f64::from(u32::try_from(bits).expect("32 bits")) / f64::from(u32::MAX)
    }

    fn draw_index(&mut self, count: usize) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        #[expect(clippy::cast_precision_loss, reason = "small")]
        let index = (self.draw() * count as f64) as usize;
        index.min(count - 1)
    }

    fn add(&mut self, at_ms: u64, event: Event) {
        self.draws += 1;
        self.events.push(cmp::Reverse((at_ms, self.draws, event)));
    }

    // Plays the whole length; returns what was counted, and the share of the slots that were busy.
    fn run(mut self) -> (PlayCounts, f64) {
        self.report(0);
        self.add(0, Event::Tick);
        self.add(0, Event::Arrival);
        while let Some(cmp::Reverse((now_ms, _, event))) = self.events.pop() {
            if now_ms >= LENGTH_MS {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now_ms),
                Event::Tick => self.tick(now_ms),
                Event::Report => self.report(now_ms),
                Event::Done { server, job } => self.complete(server, &job, now_ms),
            }
        }
        let busy_ms: u64 = self.servers.iter().map(|server| server.busy_ms).sum();
        let slots = u64::try_from(SERVERS).expect("small") * u64::from(SLOTS);
        #[expect(clippy::cast_precision_loss, reason = "small")]
        let busy = busy_ms as f64 / (slots * (LENGTH_MS - SETTLING_MS)) as f64;
        (self.counts, busy)
    }

    fn is_measured(now_ms: u64) -> bool {
        now_ms >= SETTLING_MS
    }

    fn arrive(&mut self, now_ms: u64) {
        let slots = f64::from(SLOTS) * f64::from(u32::try_from(SERVERS).expect("small"));
        let per_ms = self.setup.load * slots / SERVICE_MS;
        // Several requests may arrive within one millisecond.
        let mut rest = -self.draw().max(1e-9).ln() / per_ms;
        loop {
            let host = self.draw_index(self.setup.callers_at);
            let key = self.draw_index(SERVERS);
            self.enqueue(host, key, now_ms);
            if rest >= 1.0 {
                break;
            }
            rest += -self.draw().max(1e-9).ln() / per_ms;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        self.add(now_ms + rest.round() as u64, Event::Arrival);
    }

    fn enqueue(&mut self, host: usize, key: usize, now_ms: u64) {
        let mut request = keyed_request(key, now_ms);
        request.key = request.key.filter(|_| self.setup.keyed);
        self.counts.arrived += u32::from(Self::is_measured(now_ms));
        match self.schedulers[host].enqueue(request, fixtures::at(now_ms)) {
            Ok(ticket) => {
                self.arrivals[host].insert(ticket, now_ms);
                self.dispatch(host, now_ms);
            }
            Err(_) => self.counts.refused += u32::from(Self::is_measured(now_ms)),
        }
    }

    fn dispatch(&mut self, host: usize, now_ms: u64) {
        for event in self.schedulers[host].dispatch_waiting(fixtures::at(now_ms)) {
            match event {
                scheduler::SchedulerEvent::Assigned(ticket, record) => {
                    let arrived_ms = self.arrivals[host].remove(&ticket).expect("it arrived");
                    let name = record.life.server.as_str();
                    let server: usize = name[1..].parse().expect("a number");
                    let sent_ms = now_ms;
                    self.send(
                        server,
                        Job {
                            host,
                            arrived_ms,
                            sent_ms,
                        },
                    );
                }
                scheduler::SchedulerEvent::GivenUp(ticket, _) => {
                    self.arrivals[host].remove(&ticket);
                    self.counts.given_up += u32::from(Self::is_measured(now_ms));
                }
            }
        }
    }

    fn send(&mut self, server: usize, job: Job) {
        let now_ms = job.sent_ms;
        self.counts.sent += u32::from(Self::is_measured(now_ms));
        let state = &mut self.servers[server];
        if state.running < usize::try_from(SLOTS).expect("small") {
            self.start(server, job, now_ms);
        } else if state.queue.len() < QUEUE {
            state.queue.push_back(job);
        } else {
            self.counts.full += u32::from(Self::is_measured(now_ms));
            let end = estimate::ExchangeEnd::Broken;
            self.finish(server, &job, end, now_ms);
        }
    }

    fn start(&mut self, server: usize, job: Job, now_ms: u64) {
        let service_ms = SERVICE_MS * (0.5 + self.draw());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let done_ms = now_ms + service_ms.round() as u64;
        let state = &mut self.servers[server];
        state.running += 1;
        let measured_from = now_ms.max(SETTLING_MS);
        state.busy_ms += done_ms.min(LENGTH_MS).saturating_sub(measured_from);
        self.add(done_ms, Event::Done { server, job });
    }

    fn complete(&mut self, server: usize, job: &Job, now_ms: u64) {
        let state = &mut self.servers[server];
        state.running -= 1;
        let next = state.queue.pop_front();
        if let Some(next) = next {
            self.start(server, next, now_ms);
        }
        if Self::is_measured(job.arrived_ms) {
            let is_late = now_ms - job.arrived_ms > OBJECTIVE_MS;
            self.counts.late += u32::from(is_late);
            self.counts.on_time += u32::from(!is_late);
        }
        self.finish(server, job, estimate::ExchangeEnd::Answered, now_ms);
        self.dispatch(job.host, now_ms);
    }

    fn finish(&mut self, server: usize, job: &Job, end: estimate::ExchangeEnd, now_ms: u64) {
        let elapsed = time::Duration::from_millis(now_ms - job.sent_ms);
        let scheduler = &mut self.schedulers[job.host];
        scheduler.finish(&incarnation(server), end, elapsed, fixtures::at(now_ms));
    }

    fn tick(&mut self, now_ms: u64) {
        for host in 0..HOSTS {
            if self.schedulers[host].has_waiting() {
                self.dispatch(host, now_ms);
            }
        }
        self.add(now_ms + TICK_MS, Event::Tick);
    }

    // The totals of one interval ago arrive, and those of the present are summed.
    fn report(&mut self, now_ms: u64) {
        let mut total = view::ServerDemand::new();
        for demand in &self.reported {
            for (name, wanted) in by_server(demand) {
                *total.entry(name).or_default() += wanted;
            }
        }
        let hosts = self.schedulers.iter_mut().zip(&mut self.reported);
        for (host, (scheduler, reported)) in hosts.enumerate() {
            let mut others = total.clone();
            for (name, wanted) in by_server(reported) {
                *others.entry(name).or_default() -= wanted;
            }
            let view = view::ServingView {
                demand: sync::Arc::new(others),
                published_at: fixtures::at(now_ms),
                host: Some(fixtures::name(&format!("h{host}"))),
                place: subset::HostPlace {
                    rank: host,
                    hosts: HOSTS,
                },
                ..self.view.clone()
            };
            scheduler.sync(&sync::Arc::new(view));
            *reported = scheduler.demand();
        }
        self.add(now_ms + REPORT_MS, Event::Report);
    }
}

// Requests that wait for any server count in equal parts at all of them.
fn by_server(demand: &view::HostDemand) -> view::ServerDemand {
    let mut servers = demand.servers.clone();
    let waiting = demand.pool_waiting.values().sum::<u32>();
    for server in 0..SERVERS {
        let part = f64::from(waiting) / f64::from(u32::try_from(SERVERS).expect("small"));
        *servers.entry(incarnation(server).server).or_default() += part;
    }
    servers
}

fn keyed_request(key: usize, now_ms: u64) -> scheduler::DispatchRequest {
    scheduler::DispatchRequest {
        service: fixtures::name("orders"),
        key: u16::try_from(key).ok(),
        priority: 1,
        objective: fixtures::at(now_ms + OBJECTIVE_MS),
        deadline: fixtures::at(now_ms + DEADLINE_MS),
        body_bytes: 0,
        is_retry: false,
        avoid: None,
    }
}

fn server_name(server: usize) -> names::ServerName {
    fixtures::name(&format!("s{server}"))
}

fn incarnation(server: usize) -> assignment::ServerIncarnation {
    assignment::ServerIncarnation {
        server: server_name(server),
        born: 1,
    }
}

fn serving_view(keyed: bool) -> view::ServingView {
    let servers = (0..SERVERS).map(|server| {
        let record = directory::ServerRecord {
            life: incarnation(server),
            service: fixtures::name("orders"),
            address: ([10, 0, 0, 1], 80).into(),
            domain: fixtures::name("north"),
            slots: SLOTS,
            state: directory::ServerState::Ready,
            sequence: 1,
            cold_remaining: Some(time::Duration::ZERO),
        };
        let known = directory::KnownServer {
            record: sync::Arc::new(record),
            state_since: None,
            cold: cold::ColdTimes::new(),
        };
        (server_name(server), known)
    });
    let mut table = assignment::AssignmentTable::default();
    if keyed {
        let ranges = (0..SERVERS).map(|server| {
            let key = u16::try_from(server).expect("a small number");
            assignment::RangeEntry {
                first: key,
                last: key,
                fence: 1,
                holder: assignment::KeyHolder {
                    life: incarnation(server),
                    address: ([10, 0, 0, 1], 80).into(),
                },
                formers: Vec::new(),
            }
        });
        table
            .services
            .insert(fixtures::name("orders"), ranges.collect());
    }
    view::ServingView {
        servers: sync::Arc::new(servers.collect()),
        table: sync::Arc::new(table),
        hosts: HOSTS,
        ..view::ServingView::new()
    }
}

fn run(setup: PlaySetup) -> (PlayCounts, f64) {
    let (counts, busy) = Play::new(setup).run();
    println!(
        "load {} at {} hosts keyed {}: full {:.3}, busy {busy:.3}, on time {:.3}, {counts:?}",
        setup.load,
        setup.callers_at,
        setup.keyed,
        counts.full_share(),
        counts.on_time_share(),
    );
    (counts, busy)
}

// Plays with several seeds: the share of requests that find a server full varies between plays of this length.
fn run_seeds(setup: PlaySetup) -> (PlayCounts, f64) {
    let plays: Vec<_> = SEEDS.map(|seed| run(PlaySetup { seed, ..setup })).into();
    let busy: f64 = plays.iter().map(|(_, busy)| busy).sum();
    let mut sum = PlayCounts::default();
    for (counts, _) in &plays {
        sum.arrived += counts.arrived;
        sum.refused += counts.refused;
        sum.sent += counts.sent;
        sum.full += counts.full;
        sum.on_time += counts.on_time;
        sum.late += counts.late;
        sum.given_up += counts.given_up;
    }
    (
        sum,
        busy / f64::from(u32::try_from(plays.len()).expect("small")),
    )
}

// Prints the figures that `docs/design/SERVER-SHARES.md` states.
fn prints_all_plays() {
    for keyed in [true, false] {
        for load in [0.5, 0.7, 0.9, 1.1, 1.5, 3.0] {
            run(PlaySetup {
                keyed,
                ..PlaySetup::new(load)
            });
        }
        for load in [0.7, 0.9, 1.5] {
            run(PlaySetup {
                keyed,
                callers_at: 3,
                ..PlaySetup::new(load)
            });
        }
    }
}

// Guards against many hosts that each have one request running at a server with few slots: of every 100
// requests that reached the servers, 29 found them full.
fn few_requests_find_a_server_full() {
    let (counts, busy) = run_seeds(PlaySetup::new(1.5));
    assert!(counts.full_share() < MAX_FULL_SHARE, "{counts:?}");
    assert!(busy > MIN_BUSY, "{busy}");
    assert!(counts.on_time_share() > 0.4, "{counts:?}");
}

// Guards against hosts that all send to the server without keys that seemed free a moment ago: of every 100
// requests that reached the servers, 33 found them full.
fn few_requests_find_a_server_without_keys_full() {
    let (counts, busy) = run_seeds(PlaySetup {
        keyed: false,
        ..PlaySetup::new(1.5)
    });
    assert!(counts.full_share() < MAX_FULL_SHARE, "{counts:?}");
    assert!(busy > MIN_BUSY, "{busy}");
    assert!(counts.on_time_share() > 0.4, "{counts:?}");
}

// Guards against tokens that hold requests back while servers have room.
fn sends_at_once_where_there_is_room() {
    let (counts, _) = run(PlaySetup::new(0.5));
    assert!(counts.on_time_share() > 0.97, "{counts:?}");
}

// Guards against a server that is idle because its few callers each have less than one request of its room.
fn keeps_servers_busy_for_few_hosts() {
    let (counts, busy) = run(PlaySetup {
        callers_at: 3,
        ..PlaySetup::new(1.5)
    });
    assert!(busy > 0.9, "{busy} {counts:?}");
}

const MS_PER_TOKEN: f64 = 400.0;

// Returns a metered share of a server with 2 slots, and a token that fills at its rate.
fn metered() -> (share::ServerShare, share::ShareToken) {
    let room = f64::from(SLOTS) * scheduler::REQUESTS_PER_SLOT;
    let share = share::ServerShare::new(room, 1.0, 7.0);
    let mut token = share::ShareToken::new("h1", &server_name(1), room, HOSTS);
    token.fill(1.0, fixtures::at(0));
    token.fill(1.0, fixtures::at(1_000));
    (share, token)
}

// Guards against a share below one that is rounded up to one request for each host.
fn fills_a_token_at_the_rate_of_the_share() {
    let (share, mut token) = metered();
    assert!(share.is_metered());
    // 0.3 of a request runs at a time, so one of 120 ms may start each 400 ms.
    let rate = share.rate_per_ms(MS_PER_TOKEN * 0.3);
    assert!(token.allows(false));
    token.draw();
    let wait_ms = token.wait_ms(1.0, rate);
    assert!((wait_ms - MS_PER_TOKEN).abs() < 1e-6, "{wait_ms}");
    token.fill(rate, fixtures::at(1_390));
    assert!(!token.allows(false));
    token.fill(rate, fixtures::at(1_410));
    assert!(token.allows(false));
}

// Guards against a host that saves up tokens and sends a burst when demand comes.
fn holds_one_token_at_most() {
    let (share, mut token) = metered();
    token.fill(share.rate_per_ms(1.0), fixtures::at(60_000));
    token.draw();
    assert!(!token.allows(false));
}

// Guards against new requests that take each token before a retry.
fn lets_an_overdue_retry_start_before_its_token_is_full() {
    let (share, mut token) = metered();
    token.draw();
    assert!(token.allows(true));
    token.draw();
    assert!(!token.allows(true), "it has borrowed one already");
    let rate = share.rate_per_ms(MS_PER_TOKEN * 0.3);
    assert!(token.wait_ms(1.0, rate) > MS_PER_TOKEN);
}

// Guards against hosts that start together and all send at once: of 65 hosts, few may have a full token.
fn starts_hosts_with_tokens_that_differ() {
    let room = f64::from(SLOTS) * scheduler::REQUESTS_PER_SLOT;
    let tokens = (0..HOSTS)
        .map(|host| share::ShareToken::new(&format!("h{host}"), &server_name(1), room, HOSTS));
    let tokens: Vec<_> = tokens.collect();
    let ready = tokens.iter().filter(|token| token.allows(false)).count();
    assert!(ready <= 3, "{ready}");
    let after_half = tokens.iter().filter(|token| token.wait_ms(1.0, 1.0) < 0.5);
    let after_half = after_half.count();
    assert!(
        (HOSTS / 3..HOSTS * 2 / 3).contains(&after_half),
        "{after_half}"
    );
}

// Returns a scheduler whose host is one of `HOSTS` and knows no demand of the others.
fn without_totals() -> scheduler::RequestScheduler {
    let mut play = Play::new(PlaySetup::new(1.0));
    let view = view::ServingView {
        is_demand_known: false,
        ..play.view.clone()
    };
    play.schedulers[0].sync(&sync::Arc::new(view));
    play.schedulers.swap_remove(0)
}

// Guards against a host that has no totals, as after its start, and takes a server for its own.
fn takes_an_equal_part_without_totals() {
    let mut scheduler = without_totals();
    let mut sent = 0;
    for _ in 0..10 {
        let request = keyed_request(0, 0);
        if scheduler.enqueue(request, fixtures::at(0)).is_ok() {
            sent += scheduler.dispatch_waiting(fixtures::at(0)).len();
        }
    }
    assert!(sent <= 1, "{sent} were sent");
}

// Guards against requests that wait in vain until their deadlines: what a share below one cannot send in time
// is refused on arrival.
fn refuses_on_arrival_what_its_share_cannot_serve() {
    let mut scheduler = without_totals();
    let results = (0..10).map(|_| scheduler.enqueue(keyed_request(0, 0), fixtures::at(0)));
    let refused = results.filter(|result| *result == Err(scheduler::SchedulerRefusal::Crowded));
    assert!(refused.count() >= 9);
}

// Returns a scheduler whose host is alone, and the load that each server but `idle` has reported.
fn with_loads(keyed: bool, idle: usize) -> scheduler::RequestScheduler {
    let mut play = Play::new(PlaySetup {
        keyed,
        ..PlaySetup::new(1.0)
    });
    play.view.hosts = 1;
    let mut scheduler = play.schedulers.swap_remove(0);
    scheduler.sync(&sync::Arc::new(play.view));
    let full = load_report::ServerLoad::new(SLOTS, 8, SLOTS).expect("it is believable");
    for server in (0..SERVERS).filter(|server| *server != idle) {
        scheduler.note_load(&incarnation(server), full, fixtures::at(0));
    }
    scheduler
}

// Guards against a choice that knows this host's requests only, where other hosts have filled the server.
fn chooses_the_server_that_reports_room() {
    for idle in 0..SERVERS {
        let mut scheduler = with_loads(false, idle);
        let request = scheduler::DispatchRequest {
            key: None,
            ..keyed_request(0, 0)
        };
        let queued = scheduler.enqueue(request, fixtures::at(1));
        queued.expect("the request is queued");
        let events = scheduler.dispatch_waiting(fixtures::at(1));
        let chosen = events.iter().any(|event| {
            matches!(event, scheduler::SchedulerEvent::Assigned(_, record)
                if record.life == incarnation(idle))
        });
        assert!(chosen, "{idle}: {events:?}");
    }
}

// Guards against a request that is sent to wait in the queue of a server until it is late.
fn refuses_what_would_wait_too_long_at_the_server() {
    let mut scheduler = with_loads(true, 1);
    let refused = scheduler.enqueue(keyed_request(0, 0), fixtures::at(1));
    assert_eq!(refused, Err(scheduler::SchedulerRefusal::Crowded));
    let idle = scheduler.enqueue(keyed_request(1, 0), fixtures::at(1));
    assert!(idle.is_ok());
    let later = load_report::LOAD_STALE_MS + 1;
    let stale = scheduler.enqueue(keyed_request(0, later), fixtures::at(later));
    assert!(stale.is_ok());
}

macro_rules! share_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

share_cases! {
    prints_all_plays,
    few_requests_find_a_server_full,
    few_requests_find_a_server_without_keys_full,
    sends_at_once_where_there_is_room,
    keeps_servers_busy_for_few_hosts,
    fills_a_token_at_the_rate_of_the_share,
    holds_one_token_at_most,
    lets_an_overdue_retry_start_before_its_token_is_full,
    starts_hosts_with_tokens_that_differ,
    takes_an_equal_part_without_totals,
    refuses_on_arrival_what_its_share_cannot_serve,
    chooses_the_server_that_reports_room,
    refuses_what_would_wait_too_long_at_the_server,
}
