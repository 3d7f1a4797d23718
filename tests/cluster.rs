//! Tests the cluster state of a host and the status updates that it sends to other hosts.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::routing::specification;
use zinniastack::serving::cluster;
use zinniastack::serving::demand;
use zinniastack::serving::directory;
use zinniastack::serving::status;
use zinniastack::serving::topic;
use zinniastack::serving::view;

fn host(text: &str) -> cluster::ClusterState {
    host_with_drain(text, time::Duration::from_secs(2))
}

fn host_with_drain(text: &str, drain: time::Duration) -> cluster::ClusterState {
    cluster::ClusterState::new(
        status::HostRecord {
            host: fixtures::name(text),
            incarnation: 1,
            domain: fixtures::name("north"),
            peers: ([10, 0, 0, 1], 7_200).into(),
            link_mbps: None,
        },
        fixtures::at(0),
        drain,
    )
    .expect("the chart is valid")
}

fn server(
    text: &str,
    born: u64,
    sequence: u64,
    state: directory::ServerState,
) -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name(text),
            born,
        },
        service: fixtures::name("stock"),
        address: ([10, 0, 0, 2], 80).into(),
        domain: fixtures::name("north"),
        slots: 4,
        state,
        sequence,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

const READY: directory::ServerState = directory::ServerState::Ready;
const DRAINING: directory::ServerState = directory::ServerState::Draining;

fn never_takes_a_version_back() {
    let mut cluster = host("a");
    assert!(cluster.note_routes(fixtures::routes(5)));
    assert!(!cluster.note_routes(fixtures::routes(3)));
    assert!(!cluster.note_routes(fixtures::routes(5)));
    assert_eq!(cluster.routes_version(), 5);
}

fn grants(ends: [u64; 4]) -> cluster::GrantSnapshot {
    cluster::GrantSnapshot {
        granter: None,
        term: 0,
        overtaken: None,
        granted: assignment::TableVersion::default(),
        ends: topic::TopicEnds {
            ends,
            ..topic::TopicEnds::default()
        },
    }
}

// Exchanges status updates between two hosts of a domain in which each reads the store.
fn exchange_at(from: &mut cluster::ClusterState, to: &mut cluster::ClusterState, now_ms: u64) {
    let now = fixtures::at(now_ms);
    let own = from.own().clone();
    to.note_host(&own.host, Some(own.clone()));
    let targets = to.exchange_targets(&grants([0; 4]), now);
    let target = targets.iter().find(|target| target.host == own.host);
    let target = target.expect("the host is a target");
    let request = to.request_for(target, &grants([0; 4]), now);
    let response = from.response_to(&request, &grants([0; 4]), now);
    from.note_request(request, now);
    to.note_response(response, now);
}

fn counts_other_hosts_waiting_requests_in_equal_parts_at_all_servers() {
    let (mut from, mut to) = (host("a"), host("b"));
    to.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    to.note_server(server("s2", 1, 1, READY), fixtures::at(0));
    let demand = view::HostDemand {
        servers: [(fixtures::name("s1"), 2.0)].into(),
        pool_waiting: [(fixtures::name("stock"), 3)].into(),
    };
    from.note_traffic(demand, demand::LoadReport::default());
    exchange_at(&mut from, &mut to, 0);
    let view = to.view(&view::SharedGrants::default(), fixtures::at(0));
    let expected = [(fixtures::name("s1"), 3.5), (fixtures::name("s2"), 1.5)];
    assert_eq!(*view.demand, expected.into());
}

// Guards against a granter that no claim names: its host is not among the first ranks of its domain.
fn counts_granters_that_other_hosts_name_as_possible_ones() {
    let (from, mut to) = (host("a"), host("b"));
    let low = assignment::GranterIncarnation {
        host: fixtures::name("low"),
        incarnation: 1,
        peers: ([10, 0, 0, 9], 7_200).into(),
    };
    let known = cluster::GrantSnapshot {
        granter: Some(low.clone()),
        ..grants([0; 4])
    };
    to.note_host(&from.own().host, Some(from.own().clone()));
    let targets = to.exchange_targets(&grants([0; 4]), fixtures::at(0));
    let request = to.request_for(&targets[0], &grants([0; 4]), fixtures::at(0));
    let response = from.response_to(&request, &known, fixtures::at(0));
    to.note_response(response, fixtures::at(0));
    assert!(to.possible_granters().contains(&low));
}

fn counts_the_store_as_back_when_every_call_is_answered() {
    let mut cluster = host("a");
    assert!(cluster.note_store("servers", true, fixtures::at(0)));
    assert!(!cluster.note_store("routes", true, fixtures::at(0)));
    assert!(!cluster.note_store("servers", false, fixtures::at(0)));
    assert!(cluster.store_lost());
    assert!(cluster.note_store("routes", false, fixtures::at(0)));
    assert!(!cluster.store_lost());
}

fn drops_a_removed_server_at_once() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(10));
    assert_eq!(cluster.directory().servers().count(), 0);
}

fn keeps_a_lapsed_server_for_a_moment_after_an_outage() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(cluster.directory().servers().count(), 1);
    assert!(cluster.expire(fixtures::at(20 + directory::REREGISTRATION_TIMEOUT_MS)));
    assert_eq!(cluster.directory().servers().count(), 0);
}

// With a drain time of 1 s, a server that lapsed must be dropped before the usual time-out.
fn keeps_a_lapsed_server_no_longer_than_it_serves_on() {
    let drain = time::Duration::from_secs(1);
    let mut cluster = host_with_drain("a", drain);
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(cluster.directory().servers().count(), 1);
    assert!(
        cluster.expire(fixtures::at(20) + drain.mul_f64(directory::REREGISTRATION_DRAIN_FRACTION))
    );
    assert_eq!(cluster.directory().servers().count(), 0);
}

// Guards against a server that is given up because a restored store has yet to get its entry again.
fn keeps_a_server_that_a_restored_store_has_lost_for_a_moment() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    cluster.note_store_restored(fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(10));
    assert_eq!(cluster.directory().servers().count(), 1);
    cluster.note_server(server("s1", 1, 2, READY), fixtures::at(10));
    cluster.expire(fixtures::at(10 + directory::REREGISTRATION_TIMEOUT_MS));
    assert_eq!(cluster.directory().servers().count(), 1);
}

// Guards against a host that has left and is asked for records again, because a restored store has its
// old record.
fn ignores_the_record_of_a_host_that_has_left() {
    let mut cluster = host("a");
    let other = host("b").own().clone();
    cluster.note_host(&other.host, Some(other.clone()));
    cluster.note_host(&other.host, None);
    cluster.note_host(&other.host, Some(other.clone()));
    assert_eq!(cluster.other_host_count(), 0);
    let restarted = status::HostRecord {
        incarnation: 2,
        ..other.clone()
    };
    cluster.note_host(&other.host, Some(restarted));
    assert_eq!(cluster.other_host_count(), 1);
}

fn keeps_no_leaving_server_that_lapsed() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, DRAINING), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(cluster.directory().servers().count(), 0);
}

fn state_since(cluster: &cluster::ClusterState) -> Option<clock::MonoTime> {
    let view = cluster.view(&view::SharedGrants::default(), fixtures::at(5_000));
    let known = view.servers.get::<names::ServerName>(&fixtures::name("s1"));
    known.expect("the server is known").state_since
}

// Guards against a drain time that counts from another time than that at which the host learned of the
// drain. Later records of the same state do not renew it.
fn tells_when_it_learned_that_a_server_drains() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(0));
    cluster.note_server(server("s1", 1, 2, READY), fixtures::at(100));
    cluster.note_server(server("s1", 1, 3, DRAINING), fixtures::at(200));
    cluster.note_server(server("s1", 1, 4, DRAINING), fixtures::at(900));
    assert_eq!(state_since(&cluster), Some(fixtures::at(200)));
}

// Guards against a host that has just started and counts from its start the time of a drain that began
// before.
fn knows_not_since_when_a_server_drains_that_it_found_draining() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 3, DRAINING), fixtures::at(200));
    cluster.note_server(server("s1", 1, 4, DRAINING), fixtures::at(900));
    assert_eq!(state_since(&cluster), None);
}

// Guards against the same of a server that has started again since the host had its last record.
fn knows_not_since_when_a_server_drains_that_was_born_again() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 3, READY), fixtures::at(200));
    cluster.note_server(server("s1", 2, 1, DRAINING), fixtures::at(900));
    assert_eq!(state_since(&cluster), None);
}

fn ignores_an_entry_that_comes_late() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, DRAINING), fixtures::at(0));
    cluster.note_server(server("s1", 1, 4, READY), fixtures::at(0));
    let state = cluster
        .directory()
        .find(&fixtures::name("s1"))
        .map(|record| record.state);
    assert_eq!(state, Some(DRAINING));
}

fn ignores_a_late_entry_of_a_removed_server() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(10));
    cluster.note_server(server("s1", 1, 4, READY), fixtures::at(10));
    assert_eq!(cluster.directory().servers().count(), 0);
}

// Guards against a server that has left and comes into use again, because the store came back from an
// older copy that has its last entry.
fn ignores_the_last_entry_of_a_removed_server() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(10));
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(10));
    assert_eq!(cluster.directory().servers().count(), 0);
    cluster.note_server(server("s1", 1, 6, READY), fixtures::at(10));
    assert_eq!(cluster.directory().servers().count(), 1);
}

// The store may have lost an entry that its server writes again unchanged.
fn takes_back_a_lapsed_server_with_its_last_entry() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(20));
    cluster.expire(fixtures::at(20 + directory::REREGISTRATION_TIMEOUT_MS));
    assert_eq!(cluster.directory().servers().count(), 1);
}

// Guards against a live server that stays unused: its entry comes back unchanged after it was dropped.
fn takes_back_a_dropped_server_with_its_last_entry() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    cluster.expire(fixtures::at(20 + directory::REREGISTRATION_TIMEOUT_MS));
    assert_eq!(cluster.directory().servers().count(), 0);
    cluster.note_server(server("s1", 1, 4, READY), fixtures::at(2_000));
    assert_eq!(cluster.directory().servers().count(), 0);
    cluster.note_server(server("s1", 1, 5, READY), fixtures::at(2_000));
    assert_eq!(cluster.directory().servers().count(), 1);
}

fn ignores_the_last_entry_of_a_leaving_server_that_lapsed() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, DRAINING), fixtures::at(0));
    cluster.note_store("servers", true, fixtures::at(10));
    cluster.remove_server(&fixtures::name("s1"), fixtures::at(20));
    cluster.note_server(server("s1", 1, 5, DRAINING), fixtures::at(20));
    assert_eq!(cluster.directory().servers().count(), 0);
}

// Guards against a host that starts after the store came back from an older copy and uses a server that
// has left: the others know it, the copy does not.
fn learns_from_another_host_which_servers_have_left() {
    let (mut from, mut to) = (host("a"), host("b"));
    from.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    from.remove_server(&fixtures::name("s1"), fixtures::at(10));
    to.note_server(server("s1", 1, 4, READY), fixtures::at(10));
    to.note_server(server("s2", 1, 1, READY), fixtures::at(10));
    exchange_at(&mut from, &mut to, 20);
    let names: Vec<_> = to
        .directory()
        .servers()
        .map(|record| record.life.server.clone())
        .collect();
    assert_eq!(names, [fixtures::name("s2")]);
    to.note_server(server("s1", 1, 5, READY), fixtures::at(20));
    assert_eq!(to.directory().servers().count(), 1);
    to.note_server(server("s1", 2, 1, READY), fixtures::at(20));
    exchange_at(&mut from, &mut to, 30);
    assert_eq!(
        to.directory().servers().count(),
        2,
        "a newer start is unknown to the other"
    );
}

// Guards against a server that another host gave up in an outage and that is known to be alive.
fn keeps_a_server_whose_entry_another_host_may_get_again() {
    let (mut from, mut to) = (host("a"), host("b"));
    from.note_server(server("s1", 1, 5, READY), fixtures::at(0));
    from.note_store("servers", true, fixtures::at(5));
    from.remove_server(&fixtures::name("s1"), fixtures::at(10));
    to.note_server(server("s1", 1, 5, READY), fixtures::at(10));
    exchange_at(&mut from, &mut to, 20);
    assert_eq!(to.directory().servers().count(), 1);
}

fn takes_a_server_that_was_born_again() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 5, DRAINING), fixtures::at(0));
    cluster.note_server(server("s1", 2, 1, READY), fixtures::at(0));
    let born = cluster
        .directory()
        .find(&fixtures::name("s1"))
        .map(|record| record.life.born);
    assert_eq!(born, Some(2));
}

// The record of another start of `text` at another address, of a service that the routes may not name.
fn server_of_service(text: &str, service: &str, born: u64) -> directory::ServerRecord {
    directory::ServerRecord {
        service: fixtures::name(service),
        address: ([10, 0, 0, 9], 80).into(),
        ..server(text, born, 1, READY)
    }
}

fn routes_with_services(version: u64, services: &[&str]) -> specification::RouteSet {
    let none = fixtures::routes(version);
    let services = services.iter().map(|service| specification::ServiceSpec {
        name: fixtures::name(service),
        sharded: true,
        max_connections: 1,
        cold: None,
    });
    specification::RouteSet::new(version, Vec::new(), services.collect(), none.limits)
        .expect("the route set is valid")
}

fn known_service(cluster: &cluster::ClusterState, text: &str) -> Option<String> {
    let record = cluster.directory().find(&fixtures::name(text))?;
    Some(record.service.to_string())
}

// Guards against another writer's entry, of a service that no routes name, under the name of a server: it
// counted as a later start of that server at another address, which frees the server's keys at once.
fn keeps_a_server_beside_an_entry_of_an_unnamed_service() {
    let mut cluster = host("a");
    cluster.note_routes(routes_with_services(1, &["stock"]));
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(1));
    cluster.note_server(server_of_service("s1", "lotes", 2), fixtures::at(1));
    let known = cluster.directory().find(&fixtures::name("s1")).cloned();
    assert_eq!(known.as_deref(), Some(&server("s1", 1, 1, READY)));
    cluster.note_server(server("s1", 1, 2, READY), fixtures::at(1));
    cluster.note_routes(routes_with_services(2, &["stock", "lotes"]));
    let known = cluster.directory().find(&fixtures::name("s1")).cloned();
    assert_eq!(known.as_deref(), Some(&server("s1", 1, 2, READY)));
}

// Guards against the same at a host that reads the servers before the routes.
fn knows_no_server_of_an_unnamed_service_once_it_has_routes() {
    let mut cluster = host("a");
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(1));
    cluster.note_server(server_of_service("s2", "lotes", 2), fixtures::at(1));
    cluster.note_routes(routes_with_services(1, &["stock"]));
    assert_eq!(known_service(&cluster, "s1").as_deref(), Some("stock"));
    assert_eq!(known_service(&cluster, "s2"), None);
}

// Guards against servers that register before the routes that name their service, and are not used.
fn takes_a_server_once_its_service_is_named() {
    let mut cluster = host("a");
    cluster.note_routes(routes_with_services(1, &["stock"]));
    cluster.note_server(server_of_service("s1", "lotes", 2), fixtures::at(1));
    cluster.note_server(server_of_service("s2", "lotes", 2), fixtures::at(1));
    cluster.remove_server(&fixtures::name("s2"), fixtures::at(10));
    assert_eq!(known_service(&cluster, "s1"), None);
    cluster.note_routes(routes_with_services(2, &["stock", "lotes"]));
    assert_eq!(known_service(&cluster, "s1").as_deref(), Some("lotes"));
    assert_eq!(known_service(&cluster, "s2"), None);
}

// Guards against a server that drains and is lost because the routes no longer name its service.
fn keeps_the_servers_of_a_service_that_is_no_longer_named() {
    let mut cluster = host("a");
    cluster.note_routes(routes_with_services(1, &["stock"]));
    cluster.note_server(server("s1", 1, 1, READY), fixtures::at(1));
    cluster.note_routes(routes_with_services(2, &[]));
    assert_eq!(known_service(&cluster, "s1").as_deref(), Some("stock"));
    cluster.note_server(server("s1", 1, 2, DRAINING), fixtures::at(1));
    cluster.note_routes(routes_with_services(3, &["stock"]));
    let known = cluster.directory().find(&fixtures::name("s1")).cloned();
    assert_eq!(known.as_deref(), Some(&server("s1", 1, 2, DRAINING)));
}

macro_rules! cluster_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

cluster_cases! {
    never_takes_a_version_back,
    counts_other_hosts_waiting_requests_in_equal_parts_at_all_servers,
    counts_granters_that_other_hosts_name_as_possible_ones,
    counts_the_store_as_back_when_every_call_is_answered,
    drops_a_removed_server_at_once,
    keeps_a_lapsed_server_for_a_moment_after_an_outage,
    keeps_a_lapsed_server_no_longer_than_it_serves_on,
    keeps_a_server_that_a_restored_store_has_lost_for_a_moment,
    ignores_the_record_of_a_host_that_has_left,
    keeps_no_leaving_server_that_lapsed,
    tells_when_it_learned_that_a_server_drains,
    knows_not_since_when_a_server_drains_that_it_found_draining,
    knows_not_since_when_a_server_drains_that_was_born_again,
    ignores_an_entry_that_comes_late,
    ignores_a_late_entry_of_a_removed_server,
    ignores_the_last_entry_of_a_removed_server,
    takes_back_a_lapsed_server_with_its_last_entry,
    takes_back_a_dropped_server_with_its_last_entry,
    ignores_the_last_entry_of_a_leaving_server_that_lapsed,
    takes_a_server_that_was_born_again,
    learns_from_another_host_which_servers_have_left,
    keeps_a_server_whose_entry_another_host_may_get_again,
    keeps_a_server_beside_an_entry_of_an_unnamed_service,
    knows_no_server_of_an_unnamed_service_once_it_has_routes,
    takes_a_server_once_its_service_is_named,
    keeps_the_servers_of_a_service_that_is_no_longer_named,
}
