//! Tests how a host that lags behind gets store records from the other hosts.

use std::collections;
use std::net;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::catch_up;
use zinniastack::serving::cluster;
use zinniastack::serving::directory;
use zinniastack::serving::status;

/// The number of entry hosts of the larger grown site.
const HOSTS: u32 = 31;
/// The number of keyed servers of that site.
const SERVERS: u16 = 415;
/// The number of ranges in the assignment table.
const RANGES: u16 = 600;
/// What the slowest link of that site carries in a second (10 Mbit/s), in bytes.
const LINK_BYTES_PER_S: usize = 1_250_000;
/// The offset at which the log of the table ends.
const KNOWN_END: u64 = 2;

fn host(number: u32) -> cluster::ClusterState {
    let record = status::HostRecord {
        host: fixtures::name(&format!("host-{number:02}")),
        incarnation: 1,
        domain: fixtures::name("north"),
        peers: ([10, 0, 0, 1], 7_200).into(),
    };
    cluster::ClusterState::new(record, fixtures::at(0), time::Duration::from_secs(2))
}

fn incarnation(number: u16) -> assignment::ServerIncarnation {
    assignment::ServerIncarnation {
        server: fixtures::name(&format!("i-{number:010}")),
        born: 1_786_938_331_092,
    }
}

fn server(number: u16) -> directory::ServerRecord {
    directory::ServerRecord {
        life: incarnation(number),
        service: fixtures::name("stock"),
        address: address(),
        domain: fixtures::name("north"),
        slots: 3,
        state: directory::ServerState::Ready,
        sequence: 1,
    }
}

fn address() -> net::SocketAddr {
    ([10, 2, 64, 105], 8_008).into()
}

fn table() -> assignment::AssignmentTable {
    let range = |number: u16| assignment::RangeEntry {
        first: number * 100,
        last: number * 100 + 99,
        fence: u64::from(number) + 1,
        holder: assignment::KeyHolder {
            life: incarnation(number % SERVERS),
            address: address(),
        },
        formers: Vec::new(),
    };
    let ranges = (0..RANGES).map(range).collect();
    assignment::AssignmentTable {
        next_fence: u64::from(RANGES) + 1,
        services: [(fixtures::name("stock"), ranges)].into(),
        ..assignment::AssignmentTable::default()
    }
}

fn encoded_bytes(message: &impl serde::Serialize) -> usize {
    let encoded = serde_json::to_vec(message);
    encoded.expect("the message is encoded").len()
}

// What a lagging host receives in a second: the size of all status updates and records, in bytes, the
// hosts that it requested records from, and the records.
struct CatchUpRound {
    received: usize,
    sources: Vec<names::HostName>,
    relays: Vec<status::StoreRelay>,
}

// A host that the store rejects, and all other hosts, which know routes, servers and a table.
struct LaggingCase {
    lagging: cluster::ClusterState,
    others: Vec<cluster::ClusterState>,
    table: assignment::AssignmentTable,
}

impl LaggingCase {
    fn new() -> Self {
        let mut lagging = host(0);
        lagging.note_store("servers", true, fixtures::at(0));
        let others = (1..HOSTS).map(|number| {
            let mut other = host(number);
            other.replace_servers((0..SERVERS).map(server).collect(), fixtures::at(0));
            other.note_routes(fixtures::routes(5));
            other
        });
        Self {
            lagging,
            others: others.collect(),
            table: table(),
        }
    }

    // Runs a second from `start_ms` on, in which `is_answered` says whether a request for records
    // is answered.
    fn run_second(&mut self, start_ms: u64, is_answered: bool) -> CatchUpRound {
        let known = cluster::GrantSnapshot {
            table: &self.table,
            end: KNOWN_END,
        };
        let empty = assignment::AssignmentTable::default();
        let missing = cluster::GrantSnapshot {
            table: &empty,
            end: 0,
        };
        let mut round = CatchUpRound {
            received: 0,
            sources: Vec::new(),
            relays: Vec::new(),
        };
        let now = fixtures::at(start_ms);
        for other in &mut self.others {
            let request = self.lagging.status_for(&other.own().host, &missing, now);
            other.note_status(request, now);
            let update = other.status_for(&self.lagging.own().host, &known, now);
            round.received += encoded_bytes(&update);
            self.lagging.note_status(update, now);
        }
        for tick in 0..10 {
            let now = fixtures::at(start_ms + tick * 100);
            let Some((source, request)) = self.lagging.next_record_request(&missing, now) else {
                continue;
            };
            let mut others = self.others.iter();
            let other = others.find(|other| other.own().host == source.host);
            let relay = other.expect("the host exists").relay_for(&request, &known);
            round.received += encoded_bytes(&relay);
            round.sources.push(source.host);
            round.relays.push(relay);
            self.lagging.note_request_ended(is_answered);
        }
        round
    }
}

// Guards against hosts that all send the table and the servers to one that lags: more than its link
// carries, so that it reads neither the store nor the other hosts' updates any more.
fn sends_a_lagging_host_no_more_than_its_link_carries() {
    let mut case = LaggingCase::new();
    let round = case.run_second(0, true);
    let received = round.received;
    assert!(
        received <= LINK_BYTES_PER_S,
        "a second of updates and records has {received} bytes"
    );
    let relay = round.relays.first().expect("records were requested");
    let routes = relay.routes.as_ref().map(|routes| routes.version);
    assert_eq!(routes, Some(5));
    assert_eq!(relay.servers.len(), usize::from(SERVERS));
    assert_eq!(relay.book, Some((table(), KNOWN_END)));
}

// Guards against requests in parallel, each of which delays the others.
fn has_one_request_in_flight() {
    let mut case = LaggingCase::new();
    case.run_second(0, true);
    let missing = assignment::AssignmentTable::default();
    let missing = cluster::GrantSnapshot {
        table: &missing,
        end: 0,
    };
    let first = case
        .lagging
        .next_record_request(&missing, fixtures::at(1_100));
    assert!(first.is_some());
    let second = case
        .lagging
        .next_record_request(&missing, fixtures::at(2_100));
    assert!(second.is_none(), "a second request while one is in flight");
}

// Guards against a host that goes on requesting records from one that does not respond.
fn requests_from_another_host_after_a_failure() {
    let mut case = LaggingCase::new();
    let mut sources = case.run_second(0, false).sources;
    sources.extend(case.run_second(1_000, false).sources);
    let distinct: collections::BTreeSet<_> = sources.iter().collect();
    assert!(distinct.len() > 1, "only {sources:?} was asked");
}

// Guards against many lagging hosts that all request the records from the same one.
fn spreads_the_requests_of_many_hosts() {
    let newest = assignment::AssignmentTable::default();
    let known = cluster::GrantSnapshot {
        table: &newest,
        end: KNOWN_END,
    };
    let mut requests = collections::BTreeMap::<_, usize>::new();
    for number in 0..HOSTS {
        let mut lagging = host(number);
        lagging.note_store("routes", true, fixtures::at(0));
        for other in (0..HOSTS).filter(|other| *other != number) {
            let update = host(other).status_for(&lagging.own().host, &known, fixtures::at(0));
            lagging.note_status(update, fixtures::at(0));
        }
        let missing = cluster::GrantSnapshot {
            table: &newest,
            end: 0,
        };
        let (source, _) = lagging
            .next_record_request(&missing, fixtures::at(0))
            .expect("a request is due");
        *requests.entry(source.host).or_default() += 1;
    }
    let most = requests.values().max().copied().unwrap_or(0);
    assert!(most <= 5, "one host gets {most} of {HOSTS} requests");
}

// Guards against a host that reads every record twice, from the store and from another host.
fn waits_for_the_store_before_it_requests() {
    let table = assignment::AssignmentTable::default();
    let grants = |end| cluster::GrantSnapshot { table: &table, end };
    let (mut reader, other) = (host(0), host(1));
    let update = other.status_for(&reader.own().host, &grants(7), fixtures::at(0));
    reader.note_status(update, fixtures::at(0));
    let wait_ms = catch_up::STORE_WAIT_MS;
    let early = reader.next_record_request(&grants(6), fixtures::at(0));
    assert!(early.is_none());
    let caught_up = reader.next_record_request(&grants(7), fixtures::at(wait_ms));
    assert!(
        caught_up.is_none(),
        "the store returned the record meanwhile"
    );
    let lagging = reader.next_record_request(&grants(6), fixtures::at(wait_ms + 1));
    assert!(lagging.is_none(), "the wait begins anew");
    let due = reader.next_record_request(&grants(6), fixtures::at(2 * wait_ms + 1));
    assert!(due.is_some());
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
}
