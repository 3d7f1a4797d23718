//! Tests how a host that lags behind gets store records from the other hosts.

use std::net;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::ownership::assignment;
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

// Guards against hosts that all send the table and the servers to one that lags: more than its link
// carries, so that it reads neither the store nor the other hosts' updates any more.
fn sends_a_lagging_host_no_more_than_its_link_carries() {
    let mut lagging = host(0);
    lagging.note_store("servers", true, fixtures::at(0));
    let (newest, oldest) = (table(), assignment::AssignmentTable::default());
    let known = cluster::GrantSnapshot {
        table: &newest,
        end: 2,
    };
    let missing = cluster::GrantSnapshot {
        table: &oldest,
        end: 0,
    };
    let mut received = 0;
    for number in 1..HOSTS {
        let mut other = host(number);
        other.replace_servers((0..SERVERS).map(server).collect(), fixtures::at(0));
        let request = lagging.status_for(&other.own().host, &missing, fixtures::at(0));
        other.note_status(request, fixtures::at(0));
        let update = other.status_for(&lagging.own().host, &known, fixtures::at(0));
        received += encoded_bytes(&update);
    }
    assert!(
        received <= LINK_BYTES_PER_S,
        "a round of updates has {received} bytes"
    );
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
}
