//! Tests how a host that lags behind gets store records from the other hosts.

use std::collections;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::catch_up;
use zinniastack::serving::cluster;
use zinniastack::serving::replica;
use zinniastack::serving::status;
use zinniastack::serving::topic;

/// The number of entry hosts of the larger grown site.
const HOSTS: u32 = 31;
/// What the slowest link of that site carries in a second (10 Mbit/s), in bytes.
const LINK_BYTES_PER_S: usize = 1_250_000;
/// The size of the records that a lagging host lacks: routes, servers and assignments, in bytes.
const MISSING_BYTES: usize = 600_000;
/// The offset at which the other hosts' copies end.
const KNOWN_END: u64 = 7;

fn host(number: u32) -> cluster::ClusterState {
    let record = status::HostRecord {
        host: fixtures::name(&format!("host-{number:02}")),
        incarnation: 1,
        domain: fixtures::name("north"),
        peers: ([10, 0, 0, 1], 7_200).into(),
        link_mbps: None,
    };
    let created = cluster::ClusterState::new(record, fixtures::at(0), time::Duration::from_secs(2));
    created.expect("the chart is valid")
}

fn ends(end: u64) -> topic::TopicEnds {
    topic::TopicEnds {
        ends: [end; 4],
        ..topic::TopicEnds::default()
    }
}

fn grants(end: u64) -> cluster::GrantSnapshot {
    cluster::GrantSnapshot {
        granter: None,
        term: 0,
        overtaken: None,
        granted: assignment::TableVersion::default(),
        ends: ends(end),
    }
}

fn encoded_bytes(message: &impl serde::Serialize) -> usize {
    let encoded = serde_json::to_vec(message);
    encoded.expect("the message is encoded").len()
}

// What a host that has everything sends to one that has nothing.
fn relay() -> status::StoreRelay {
    let mut replica = replica::TopicReplica::new();
    let record = |offset: u64| topic::LogRecord {
        offset,
        record: topic::KeyedRecord {
            key: format!("record-{offset}").into(),
            value: Some(vec![b'x'; MISSING_BYTES / 1_000].into()),
        },
    };
    let appended = replica.append(
        topic::LogPosition::default(),
        (0..1_000).map(record).collect(),
        1_000,
    );
    appended.expect("the records follow");
    let page = replica.page(
        topic::StoreTopic::Servers,
        topic::LogPosition::default(),
        false,
        usize::MAX,
    );
    status::StoreRelay {
        pages: vec![page],
        routes: None,
        table: None,
        followed: None,
        records_age_millis: None,
    }
}

// Lets `from` send `to` a status update, which says that it has records up to `end`.
fn notify(from: &cluster::ClusterState, to: &mut cluster::ClusterState, end: u64, now_ms: u64) {
    let now = fixtures::at(now_ms);
    let query = to.request_for(&target(from), &grants(0), now);
    to.note_response(from.response_to(&query, &grants(end), now), now);
}

fn target(host: &cluster::ClusterState) -> cluster::exchange::ExchangeTarget {
    cluster::exchange::ExchangeTarget {
        host: host.own().host.clone(),
        peers: host.own().peers,
        purpose: status::ExchangePurpose::Query,
    }
}

// A host that the store rejects and that lacks all records, and all other hosts, which have them.
struct LaggingCase {
    lagging: cluster::ClusterState,
    others: Vec<cluster::ClusterState>,
}

impl LaggingCase {
    fn new() -> Self {
        let mut lagging = host(0);
        lagging.note_store("servers", true, fixtures::at(0));
        Self {
            lagging,
            others: (1..HOSTS).map(host).collect(),
        }
    }

    // Runs a second from `start_ms` on, in which `is_answered` says whether a request for records
    // is answered. Returns the hosts that were asked.
    fn run_second(&mut self, start_ms: u64, is_answered: bool) -> Vec<names::HostName> {
        for other in &self.others {
            notify(other, &mut self.lagging, KNOWN_END, start_ms);
        }
        let mut sources = Vec::new();
        for tick in 0..10 {
            let now = fixtures::at(start_ms + tick * 100);
            if let Some(source) = self.lagging.next_record_source(&ends(0), now) {
                sources.push(source.host);
                self.lagging.note_request_ended(is_answered);
            }
        }
        sources
    }
}

// Guards against hosts that all send the table and the servers to one that lags: more than its link
// carries, so that it reads neither the store nor the other hosts' updates any more.
fn sends_a_lagging_host_no_more_than_its_link_carries() {
    let mut case = LaggingCase::new();
    let mut received = 0;
    for other in &case.others {
        let query = case
            .lagging
            .request_for(&target(other), &grants(0), fixtures::at(0));
        received += encoded_bytes(&other.response_to(&query, &grants(KNOWN_END), fixtures::at(0)));
    }
    let first = case.run_second(0, true).len();
    assert!(first > 0, "no records were requested");
    // Once answered, the host has what it lacked.
    received += encoded_bytes(&relay());
    assert!(
        received <= LINK_BYTES_PER_S,
        "a second of updates and records has {received} bytes"
    );
}

// Guards against requests in parallel, each of which delays the others.
fn has_one_request_in_flight() {
    let mut case = LaggingCase::new();
    case.run_second(0, true);
    let first = case
        .lagging
        .next_record_source(&ends(0), fixtures::at(1_100));
    assert!(first.is_some());
    let second = case
        .lagging
        .next_record_source(&ends(0), fixtures::at(2_100));
    assert!(second.is_none(), "a second request while one is in flight");
}

// Guards against a host that goes on requesting records from one that does not respond.
fn requests_from_another_host_after_a_failure() {
    let mut case = LaggingCase::new();
    let mut sources = case.run_second(0, false);
    sources.extend(case.run_second(1_000, false));
    let distinct: collections::BTreeSet<_> = sources.iter().collect();
    assert!(distinct.len() > 1, "only {sources:?} was asked");
}

// Guards against many lagging hosts that all request the records from the same one.
fn spreads_the_requests_of_many_hosts() {
    let mut requests = collections::BTreeMap::<_, usize>::new();
    for number in 0..HOSTS {
        let mut lagging = host(number);
        lagging.note_store("routes", true, fixtures::at(0));
        for other in (0..HOSTS).filter(|other| *other != number) {
            notify(&host(other), &mut lagging, KNOWN_END, 0);
        }
        let source = lagging.next_record_source(&ends(0), fixtures::at(catch_up::STORE_WAIT_MS));
        let source = source.expect("a request is due");
        *requests.entry(source.host).or_default() += 1;
    }
    let most = requests.values().max().copied().unwrap_or(0);
    assert!(most <= 5, "one host gets {most} of {HOSTS} requests");
}

// Guards against a host that reads every record twice, from the store and from another host. Seen in
// trouble-1 at EMOV: a waiting read of the store missed a new version for as long as it waited, so a
// host that stays behind does request it.
fn waits_for_the_store_before_it_requests() {
    let (mut reader, other) = (host(0), host(1));
    notify(&other, &mut reader, 7, 0);
    let wait_ms = catch_up::STORE_WAIT_MS;
    assert!(
        reader
            .next_record_source(&ends(6), fixtures::at(0))
            .is_none()
    );
    let caught_up = reader.next_record_source(&ends(7), fixtures::at(wait_ms));
    assert!(
        caught_up.is_none(),
        "the store returned the record meanwhile"
    );
    let lagging = reader.next_record_source(&ends(6), fixtures::at(wait_ms + 1));
    assert!(lagging.is_none(), "the wait begins anew");
    let due = reader.next_record_source(&ends(6), fixtures::at(2 * wait_ms + 1));
    assert!(due.is_some());
}

// Guards against a host that waits for a restored store's log to grow past the end of its copy.
fn requests_records_of_a_later_era() {
    let (mut reader, other) = (host(0), host(1));
    let restored = topic::TopicEnds {
        eras: [1; 4],
        ..ends(5)
    };
    assert!(ends(7).is_behind(&restored));
    assert!(!restored.is_behind(&ends(7)));
    assert_eq!(ends(7).max(restored), restored);
    let query = reader.request_for(&target(&other), &grants(0), fixtures::at(0));
    let known = cluster::GrantSnapshot {
        ends: restored,
        ..grants(0)
    };
    let response = other.response_to(&query, &known, fixtures::at(0));
    reader.note_response(response, fixtures::at(0));
    let wait_ms = catch_up::STORE_WAIT_MS;
    let waiting = reader.next_record_source(&ends(7), fixtures::at(0));
    assert!(waiting.is_none(), "the store may return the records");
    let due = reader.next_record_source(&ends(7), fixtures::at(wait_ms));
    assert!(due.is_some());
}

// Guards against a host that starts after the store came back from an older copy and serves by routes
// that all others have replaced: its copies end where theirs do.
fn requests_routes_that_the_store_has_lost() {
    let (mut started, other) = (host(0), host(1));
    let with_version = |routes_version| topic::TopicEnds {
        routes_version,
        ..ends(5)
    };
    let query = started.request_for(&target(&other), &grants(0), fixtures::at(0));
    let known = cluster::GrantSnapshot {
        ends: with_version(12),
        ..grants(0)
    };
    let response = other.response_to(&query, &known, fixtures::at(0));
    started.note_response(response, fixtures::at(0));
    let own = with_version(10);
    assert!(started.next_record_source(&own, fixtures::at(0)).is_none());
    let due = started.next_record_source(&own, fixtures::at(catch_up::STORE_WAIT_MS));
    assert!(due.is_some());
    assert!(!with_version(12).is_behind(&own));
}

// Guards against a host that hears of a restored store only from the store.
fn tells_other_hosts_the_era() {
    let (mut reader, mut other) = (host(0), host(1));
    other.note_store_era(2);
    notify(&other, &mut reader, 0, 0);
    assert_eq!(reader.store_era(), 2);
    other.note_store_era(1);
    assert_eq!(other.store_era(), 2);
}

macro_rules! catch_up_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

catch_up_cases! {
    sends_a_lagging_host_no_more_than_its_link_carries,
    has_one_request_in_flight,
    requests_from_another_host_after_a_failure,
    spreads_the_requests_of_many_hosts,
    waits_for_the_store_before_it_requests,
    requests_records_of_a_later_era,
    requests_routes_that_the_store_has_lost,
    tells_other_hosts_the_era,
}
