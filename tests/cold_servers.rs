//! Tests when a server counts as cold, which hosts may send to it, and what happens to the requests.

use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
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

/// When the host may send to cold servers.
const SETTLED_MS: u64 = cold::SETTLING_MS;

fn record(server: &str, born: u64, sequence: u64, cold_ms: u64) -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name(server),
            born,
        },
        service: fixtures::name("orders"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: fixtures::name("north"),
        slots: 4,
        state: directory::ServerState::Ready,
        sequence,
        cold_remaining: Some(time::Duration::from_millis(cold_ms)),
    }
}

fn routes(per_s: f64) -> specification::RouteSet {
    let service = specification::ServiceSpec {
        name: fixtures::name("orders"),
        sharded: true,
        max_connections: 1,
        cold: specification::ColdLimit::new(time::Duration::from_secs(3), per_s),
    };
    let limits = fixtures::routes(1).limits;
    let set = specification::RouteSet::new(1, Vec::new(), vec![service], limits);
    set.expect("the route set is valid")
}

// A host that knows itself and the server `old`, and has yet to register.
fn new_host(per_s: f64) -> cluster::ClusterState {
    let own = status::HostRecord {
        host: fixtures::name("a"),
        incarnation: 1,
        domain: fixtures::name("north"),
        peers: ([10, 0, 0, 1], 7_200).into(),
        link_mbps: None,
    };
    let state = cluster::ClusterState::new(own, fixtures::at(0), time::Duration::from_secs(2));
    let bounds = cold::ColdBounds::new().with_excess(1.5).with_slack(8.0);
    let state = state.expect("the chart is valid");
    let mut state = state.with_cold_bounds(bounds);
    state.note_routes(routes(per_s));
    state.note_server(record("old", 1, 1, 0), fixtures::at(0));
    state.note_servers_known();
    state
}

fn settled_host() -> cluster::ClusterState {
    let mut state = new_host(3.9);
    state.note_registered(fixtures::at(0));
    state.note_hosts_known(fixtures::at(0));
    state
}

fn cold_servers(state: &mut cluster::ClusterState, now_ms: u64) -> cold::ColdServers {
    let now = fixtures::at(now_ms);
    state.check_supply(now);
    let view = state.view(&view::SharedGrants::default(), now);
    sync::Arc::unwrap_or_clone(view.cold)
}

fn cold_until(state: &mut cluster::ClusterState, server: &str, now_ms: u64) -> Option<u64> {
    let servers = cold_servers(state, now_ms);
    let share = servers.get(&fixtures::name::<names::ServerName>(server))?;
    Some(share.until.as_millis())
}

fn counts_a_server_as_cold_from_its_start() {
    let mut state = settled_host();
    assert_eq!(cold_until(&mut state, "old", SETTLED_MS), None);
    state.note_server(record("new", 2, 1, 0), fixtures::at(SETTLED_MS));
    let until = Some(SETTLED_MS + 3_000);
    assert_eq!(cold_until(&mut state, "new", SETTLED_MS), until);
    assert_eq!(cold_until(&mut state, "new", SETTLED_MS + 3_000), None);
    // A later start under a known name.
    state.note_server(record("old", 2, 1, 0), fixtures::at(SETTLED_MS + 50));
    assert_eq!(
        cold_until(&mut state, "old", SETTLED_MS + 50),
        Some(SETTLED_MS + 3_050)
    );
}

// Guards against a server that counts as started anew because its record was removed and written again.
fn keeps_cold_times_over_a_removal() {
    let mut state = settled_host();
    state.note_server(record("new", 2, 1, 0), fixtures::at(20_000));
    state.remove_server(&fixtures::name("new"), fixtures::at(21_000));
    state.note_server(record("new", 2, 2, 0), fixtures::at(22_000));
    assert_eq!(cold_until(&mut state, "new", 22_000), Some(23_000));
}

fn counts_a_server_that_becomes_cold_again_at_once() {
    let mut state = settled_host();
    state.note_server(record("old", 1, 2, 700), fixtures::at(20_000));
    assert_eq!(cold_until(&mut state, "old", 20_000), Some(20_700));
    // The same record, read again, tells nothing new.
    state.note_server(record("old", 1, 2, 700), fixtures::at(20_500));
    assert_eq!(cold_until(&mut state, "old", 20_500), Some(20_700));
}

fn limits_nothing_without_a_rate() {
    let mut state = new_host(0.0);
    state.note_server(record("new", 2, 1, 900), fixtures::at(0));
    assert!(cold_servers(&mut state, 0).is_empty());
}

// Guards against hosts that take a share although others do not know them, or they do not know others.
fn sends_nothing_where_the_list_of_hosts_may_be_incomplete() {
    let quota = |state: &mut cluster::ClusterState, now_ms: u64| {
        state.note_server(record("new", 2, 1, 60_000), fixtures::at(1));
        let servers = cold_servers(state, now_ms);
        servers.values().map(|share| share.quota).sum::<u32>()
    };
    let mut state = settled_host();
    assert_eq!(quota(&mut state, SETTLED_MS - 1), 0);
    assert_eq!(quota(&mut state, SETTLED_MS), 3);
    state.note_store("servers", true, fixtures::at(SETTLED_MS));
    assert_eq!(quota(&mut state, SETTLED_MS + cold::LIST_GRACE_MS), 0);
    let mut unregistered = new_host(3.9);
    unregistered.note_hosts_known(fixtures::at(0));
    assert_eq!(quota(&mut unregistered, SETTLED_MS), 0);
    let mut alone = new_host(3.9);
    alone.note_registered(fixtures::at(0));
    assert_eq!(quota(&mut alone, SETTLED_MS), 0);
}

// Guards against hosts with different lists that all consider themselves members.
fn keeps_the_sum_with_lists_that_lack_hosts() {
    for allowed in [0, 1, 3, 4, 8, 13, 40] {
        let margin = usize::try_from(cold::margin(allowed)).expect("a small number");
        for hosts in 1..70_usize {
            let names: Vec<names::HostName> = (0..hosts)
                .map(|index| fixtures::name(&format!("host-{index}")))
                .collect();
            let quotas = names.iter().enumerate().map(|(own, name)| {
                // Each lacks others: those that follow it, by steps that differ.
                let lacks =
                    |other: usize| (1..=margin).any(|step| (own + step * 7) % hosts == other);
                let others = names.iter().enumerate();
                let others = others.filter(|(other, _)| *other != own && !lacks(*other));
                let others: Vec<_> = others.map(|(_, name)| name).collect();
                cold::host_quota(allowed, &fixtures::name("s"), name, others.into_iter())
            });
            let sum: u32 = quotas.sum();
            assert!(sum <= allowed, "{hosts} hosts send {sum} of {allowed}");
        }
    }
}

/// A scheduler with a view in which servers are cold until 3,000 ms.
struct ColdCase {
    scheduler: scheduler::RequestScheduler,
}

impl ColdCase {
    // `servers` are names with the quotas of cold servers; `s` holds all keys.
    fn new(servers: &[(&str, Option<u32>)]) -> Self {
        let known = servers.iter().map(|(name, _)| {
            let known = directory::KnownServer {
                record: sync::Arc::new(record(name, 1, 1, 0)),
                state_since: None,
                cold: cold::ColdTimes::new(),
            };
            (fixtures::name(name), known)
        });
        let until = fixtures::at(3_000);
        let shares = servers.iter().filter_map(|(name, quota)| {
            let quota = (*quota)?;
            Some((fixtures::name(name), cold::ColdShare { until, quota }))
        });
        let range = assignment::RangeEntry {
            first: 0,
            last: assignment::MAX_KEY,
            fence: 1,
            holder: assignment::KeyHolder {
                life: record("s", 1, 1, 0).life,
                address: ([10, 0, 0, 1], 80).into(),
            },
            formers: Vec::new(),
        };
        let mut table = assignment::AssignmentTable::default();
        table.services.insert(fixtures::name("orders"), vec![range]);
        let view = view::ServingView {
            servers: sync::Arc::new(known.collect()),
            table: sync::Arc::new(table),
            cold: sync::Arc::new(shares.collect()),
            ..view::ServingView::new()
        };
        let mut scheduler = scheduler::RequestScheduler::new(scheduler::SchedulerSettings {
            domain: fixtures::name("north"),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            drain: time::Duration::from_secs(2),
        });
        scheduler.sync(&sync::Arc::new(view));
        Self { scheduler }
    }

    fn request(key: Option<u16>, objective_ms: u64) -> scheduler::DispatchRequest {
        scheduler::DispatchRequest {
            service: fixtures::name("orders"),
            key,
            priority: 1,
            objective: fixtures::at(objective_ms),
            deadline: fixtures::at(objective_ms + 500),
            body_bytes: 0,
            is_retry: false,
            avoid: None,
        }
    }

    // Returns the servers of the requests that are sent.
    fn dispatch(&mut self, now: clock::MonoTime) -> Vec<String> {
        let events = self.scheduler.dispatch_waiting(now).into_iter();
        let assigned = events.filter_map(|event| match event {
            scheduler::SchedulerEvent::Assigned(_, record) => Some(record.life.server.to_string()),
            scheduler::SchedulerEvent::GivenUp(..) => None,
        });
        assigned.collect()
    }

    fn enqueue(&mut self, key: Option<u16>, objective_ms: u64) -> Result<(), Refusal> {
        let request = Self::request(key, objective_ms);
        self.scheduler.enqueue(request, fixtures::at(0)).map(drop)
    }
}

type Refusal = scheduler::SchedulerRefusal;

fn prefers_warm_servers_and_then_uses_cold_ones() {
    let mut case = ColdCase::new(&[("cold", Some(2)), ("closed", Some(0)), ("warm", None)]);
    let mut sent = Vec::new();
    for _ in 0..10 {
        let _ = case.enqueue(None, 5_000);
        sent.extend(case.dispatch(fixtures::at(0)));
    }
    assert_eq!(sent, ["warm", "warm", "warm", "warm", "cold", "cold"]);
}

fn waits_for_a_cold_holder_only_within_the_objective() {
    let mut case = ColdCase::new(&[("s", Some(0))]);
    assert_eq!(case.enqueue(Some(7), 300), Err(Refusal::ColdServer));
    let request = ColdCase::request(Some(7), 300);
    let retry_after = case.scheduler.expected_wait(&request, fixtures::at(1_000));
    assert_eq!(retry_after, time::Duration::from_secs(2));
    assert_eq!(case.enqueue(Some(7), 5_000), Ok(()));
    assert!(case.dispatch(fixtures::at(2_990)).is_empty());
    assert_eq!(case.dispatch(fixtures::at(3_000)), ["s"]);
}

// Guards against retries that exceed the quota: they are not checked on arrival.
fn counts_retries_and_requests_that_have_ended() {
    let mut case = ColdCase::new(&[("s", Some(1))]);
    assert_eq!(case.enqueue(Some(7), 900), Ok(()));
    assert_eq!(case.dispatch(fixtures::at(0)), ["s"]);
    let end = estimate::ExchangeEnd::Full;
    let elapsed = time::Duration::from_millis(50);
    let life = record("s", 1, 1, 0).life;
    case.scheduler.finish(&life, end, elapsed, fixtures::at(50));
    let mut retry = ColdCase::request(Some(7), 900);
    retry.is_retry = true;
    let queued = case.scheduler.enqueue(retry, fixtures::at(50));
    queued.expect("the request is queued");
    let events = case.scheduler.dispatch_waiting(fixtures::at(50));
    let refused = matches!(
        events[..],
        [scheduler::SchedulerEvent::GivenUp(_, Refusal::ColdServer)]
    );
    assert!(refused, "{events:?}");
    assert_eq!(case.enqueue(Some(7), 5_000), Ok(()));
    let free_ms = 50 + cold::ARRIVAL_WINDOW_MS;
    assert!(case.dispatch(fixtures::at(free_ms - 1)).is_empty());
    assert_eq!(case.dispatch(fixtures::at(free_ms)), ["s"]);
}

// Guards against a host that stops while others already take its part.
fn sends_nothing_to_cold_servers_while_it_stops() {
    let mut case = ColdCase::new(&[("s", Some(5))]);
    let end = fixtures::at(2_000);
    assert!(case.scheduler.end_by(end, fixtures::at(0)).is_empty());
    assert_eq!(case.enqueue(Some(7), 900), Err(Refusal::Stopping));
}

macro_rules! cold_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

cold_cases! {
    counts_a_server_as_cold_from_its_start,
    keeps_cold_times_over_a_removal,
    counts_a_server_that_becomes_cold_again_at_once,
    limits_nothing_without_a_rate,
    sends_nothing_where_the_list_of_hosts_may_be_incomplete,
    keeps_the_sum_with_lists_that_lack_hosts,
    prefers_warm_servers_and_then_uses_cold_ones,
    waits_for_a_cold_holder_only_within_the_objective,
    counts_retries_and_requests_that_have_ended,
    sends_nothing_to_cold_servers_while_it_stops,
}
