//! Tests by which records a host sends requests while its network link is full, so that its records arrive
//! late.

use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::cluster;
use zinniastack::serving::directory;
use zinniastack::serving::estimate;
use zinniastack::serving::scheduler;
use zinniastack::serving::status;
use zinniastack::serving::topic;
use zinniastack::serving::view;

const LINK_MBPS: u32 = 12;
/// The bytes that such a link carries in `STEP_MS`.
const STEP_BYTES: u64 = 150_000;
const STEP_MS: u64 = 100;
const DRAIN: time::Duration = time::Duration::from_millis(2_500);
/// Between the confirmation of the records and the request: longer than a server goes on serving once it has
/// said that it leaves.
const OLD_MS: u64 = 3_000;

fn host_record(text: &str) -> status::HostRecord {
    status::HostRecord {
        host: fixtures::name(text),
        incarnation: 1,
        domain: fixtures::name("north"),
        peers: ([10, 0, 0, 1], 7_200).into(),
        link_mbps: Some(LINK_MBPS),
    }
}

fn server() -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name("s1"),
            born: 1,
        },
        service: fixtures::name("stock"),
        address: ([10, 0, 0, 2], 80).into(),
        domain: fixtures::name("north"),
        slots: 1,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

fn key_range() -> assignment::RangeEntry {
    let holder = assignment::KeyHolder {
        life: server().life,
        address: server().address,
    };
    assignment::RangeEntry {
        first: 0,
        last: assignment::MAX_KEY,
        fence: 1,
        holder,
        formers: Vec::new(),
    }
}

fn grants(version: u64) -> cluster::GrantSnapshot {
    let mut ends = topic::TopicEnds {
        routes_version: version,
        ..topic::TopicEnds::default()
    };
    ends.set(
        topic::StoreTopic::Servers,
        topic::LogPosition::new(0, version),
    );
    cluster::GrantSnapshot {
        granter: None,
        term: 0,
        overtaken: None,
        granted: assignment::TableVersion::default(),
        ends,
    }
}

/// A host that reads the store, and the scheduler of its traffic thread.
struct HostCase {
    cluster: cluster::ClusterState,
    scheduler: scheduler::RequestScheduler,
    link_bytes: u64,
}

impl HostCase {
    // A host whose records were confirmed at 0.
    fn new() -> Self {
        let own = host_record("a");
        let started = fixtures::at(0);
        let cluster = cluster::ClusterState::new(own, started, DRAIN);
        let mut cluster = cluster.expect("the chart is valid");
        cluster.note_hosts_known(started);
        cluster.note_server(server(), started);
        cluster.note_servers_known();
        cluster.note_records_newest(started);
        let settings = scheduler::SchedulerSettings {
            domain: fixtures::name("north"),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            drain: DRAIN,
        };
        Self {
            cluster,
            scheduler: scheduler::RequestScheduler::new(settings),
            link_bytes: 0,
        }
    }

    // Lets so many bytes cross the host's link in each step until `until_ms`.
    fn use_link(&mut self, step_bytes: u64, until_ms: u64) {
        for step in 0..=until_ms / STEP_MS {
            self.link_bytes += step_bytes;
            let now = fixtures::at(step * STEP_MS);
            self.cluster.note_link_total(self.link_bytes, now);
        }
    }

    fn publish(&mut self, now_ms: u64) {
        let mut grants = view::SharedGrants::default();
        let mut table = assignment::AssignmentTable::default();
        table
            .services
            .insert(fixtures::name("stock"), vec![key_range()]);
        grants.sync(&table, fixtures::at(0));
        let view = self.cluster.view(&grants, fixtures::at(now_ms));
        self.scheduler.sync(&sync::Arc::new(view));
    }

    // Reports whether a request is sent to the server.
    fn sends(&mut self, key: Option<u16>, now_ms: u64) -> bool {
        self.publish(now_ms);
        let now = fixtures::at(now_ms);
        let request = scheduler::DispatchRequest {
            service: fixtures::name::<names::ServiceName>("stock"),
            key,
            priority: 0,
            objective: fixtures::at(now_ms + 1_000),
            deadline: fixtures::at(now_ms + 10_000),
            body_bytes: 0,
            is_retry: false,
            avoid: None,
        };
        // A request that is not queued is refused.
        let _ = self.scheduler.enqueue(request, now);
        let events = self.scheduler.dispatch_waiting(now);
        events
            .iter()
            .any(|event| matches!(event, scheduler::SchedulerEvent::Assigned(..)))
    }

    // Applies the response of another host whose records are `age_ms` old, to a request sent at `asked_ms`.
    fn confirm(&mut self, version: u64, age_ms: u64, asked_ms: u64) {
        let other = cluster::ClusterState::new(host_record("b"), fixtures::at(0), DRAIN);
        let other = other.expect("the chart is valid");
        let target = cluster::exchange::ExchangeTarget {
            host: fixtures::name("b"),
            peers: host_record("b").peers,
            purpose: status::ExchangePurpose::Query,
        };
        let asked = fixtures::at(asked_ms);
        let request = self.cluster.request_for(&target, &grants(1), asked);
        let response = status::HostStatusUpdate {
            records_age_millis: Some(age_ms),
            ..other.response_to(&request, &grants(version), asked)
        };
        let own = grants(1).ends;
        self.cluster.note_confirmation(&response, &own, asked);
    }
}

// Guards against requests to a server that had said three seconds earlier that it leaves: the host's link was
// full, and its record of the server 2.4 s old.
fn sends_nothing_by_old_records_while_its_link_is_full() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    assert!(!case.sends(None, OLD_MS));
}

fn sends_no_keys_by_old_records_while_its_link_is_full() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    assert!(!case.sends(Some(7), OLD_MS));
}

// A request that came in time may wait until the records are old.
fn refuses_what_waits_once_its_records_are_old() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    case.confirm(1, 0, OLD_MS);
    assert!(case.sends(None, OLD_MS));
    let later_ms = 2 * OLD_MS;
    assert!(!case.sends(None, OLD_MS));
    case.use_link(STEP_BYTES, later_ms);
    case.publish(later_ms);
    let life = server().life;
    let end = estimate::ExchangeEnd::Answered;
    let now = fixtures::at(later_ms);
    case.scheduler
        .finish(&life, end, time::Duration::from_millis(100), now);
    let events = case.scheduler.dispatch_waiting(now);
    let is_refused =
        |event: &scheduler::SchedulerEvent| matches!(event, scheduler::SchedulerEvent::GivenUp(..));
    assert!(!events.is_empty() && events.iter().all(is_refused));
}

fn goes_on_by_old_records_while_it_is_cut_off() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES / 10, OLD_MS);
    case.cluster.note_store("servers", true, fixtures::at(100));
    assert!(case.sends(None, OLD_MS));
}

fn goes_on_by_records_that_are_confirmed_over_a_full_link() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    case.confirm(1, 0, OLD_MS - 700);
    assert!(case.sends(None, OLD_MS));
}

fn is_not_confirmed_by_a_host_with_newer_records() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    case.confirm(2, 0, OLD_MS - 700);
    assert!(!case.sends(None, OLD_MS));
}

fn is_not_confirmed_by_a_host_with_old_records() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    case.confirm(1, OLD_MS - 700, OLD_MS - 700);
    assert!(!case.sends(None, OLD_MS));
}

// Guards against a draining server that gets requests for its keys for the whole time that a host allows itself
// from when it learns of the drain, though the drain may have begun when it had last heard of the server.
fn counts_a_drain_from_when_the_server_was_last_known_to_be_ready() {
    let mut case = HostCase::new();
    case.use_link(STEP_BYTES, OLD_MS);
    let draining = directory::ServerRecord {
        state: directory::ServerState::Draining,
        sequence: 2,
        ..server()
    };
    case.cluster.note_server(draining, fixtures::at(OLD_MS));
    case.confirm(1, 0, OLD_MS);
    assert!(!case.sends(Some(7), OLD_MS));
}

macro_rules! link_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

link_cases! {
    sends_nothing_by_old_records_while_its_link_is_full,
    sends_no_keys_by_old_records_while_its_link_is_full,
    refuses_what_waits_once_its_records_are_old,
    goes_on_by_old_records_while_it_is_cut_off,
    goes_on_by_records_that_are_confirmed_over_a_full_link,
    is_not_confirmed_by_a_host_with_newer_records,
    is_not_confirmed_by_a_host_with_old_records,
    counts_a_drain_from_when_the_server_was_last_known_to_be_ready,
}
