//! What a host knows and what it passes on to others.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::ownership::book;
use zinniastack::routing::specification;
use zinniastack::serving::directory;
use zinniastack::serving::knowledge;
use zinniastack::serving::news;

fn host(text: &str) -> knowledge::HostKnowledge {
    host_with_drain(text, time::Duration::from_secs(2))
}

fn host_with_drain(text: &str, drain: time::Duration) -> knowledge::HostKnowledge {
    knowledge::HostKnowledge::new(
        news::HostRecord {
            host: fixtures::name(text),
            incarnation: 1,
            domain: fixtures::name("north"),
            peers: ([10, 0, 0, 1], 7_200).into(),
        },
        fixtures::at(0),
        drain,
    )
}

fn server(
    text: &str,
    born: u64,
    sequence: u64,
    state: directory::ServerState,
) -> directory::ServerRecord {
    directory::ServerRecord {
        life: book::ServerLife {
            server: fixtures::name(text),
            born,
        },
        service: fixtures::name("stock"),
        address: ([10, 0, 0, 2], 80).into(),
        domain: fixtures::name("north"),
        slots: 4,
        state,
        sequence,
    }
}

const READY: directory::ServerState = directory::ServerState::Ready;
const DRAINING: directory::ServerState = directory::ServerState::Draining;

fn routes(version: u64) -> specification::RouteSet {
    let limits = specification::CallerLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout: time::Duration::from_secs(1),
        idle_timeout: time::Duration::from_secs(1),
    };
    specification::RouteSet::new(version, Vec::new(), Vec::new(), limits).expect("it is sound")
}

// What `from` tells `to`, and what of it `to` takes of the store.
fn tell(
    from: &mut knowledge::HostKnowledge,
    to: &mut knowledge::HostKnowledge,
) -> Option<news::StoreRelay> {
    let book = book::GrantBook::default();
    let grants = knowledge::GrantKnowledge {
        book: &book,
        end: 0,
    };
    let asked = to.news_for(&from.own().host.clone(), &grants, fixtures::at(0));
    from.note_news(asked, fixtures::at(0));
    let told = from.news_for(&to.own().host.clone(), &grants, fixtures::at(0));
    let relay = to.note_news(told, fixtures::at(0));
    if let Some(relay) = &relay {
        to.note_relay(relay, fixtures::at(0));
    }
    relay
}

fn never_takes_a_version_back() {
    let mut knowledge = host("a");
    assert!(knowledge.note_routes(routes(5)));
    assert!(!knowledge.note_routes(routes(3)));
    assert!(!knowledge.note_routes(routes(5)));
    assert_eq!(knowledge.routes_version(), 5);
}

// trouble-1 at EMOV: a read of the store missed a version for as long as it waited.
fn passes_a_newer_version_on_whatever_the_store_does() {
    let (mut from, mut to) = (host("a"), host("b"));
    from.note_routes(routes(5));
    assert!(tell(&mut from, &mut to).is_some());
    assert_eq!(to.routes_version(), 5);
    assert!(tell(&mut from, &mut to).is_none(), "it is told once");
}

fn passes_servers_on_to_a_host_that_the_store_turns_away() {
    let (mut from, mut to) = (host("a"), host("b"));
    from.replace_servers(vec![server("s1", 1, 1, READY)], fixtures::at(0));
    assert!(tell(&mut from, &mut to).is_none(), "its own store tells it");
    to.note_store("servers", true, fixtures::at(0));
    assert!(tell(&mut from, &mut to).is_some());
    assert_eq!(to.directory().servers().count(), 1);
    // incident inc-b3f4: the same list went between zones four times a second.
    assert!(tell(&mut from, &mut to).is_none(), "nothing has changed");
}

fn counts_the_store_as_back_when_every_call_is_answered() {
    let mut knowledge = host("a");
    assert!(knowledge.note_store("servers", true, fixtures::at(0)));
    assert!(!knowledge.note_store("routes", true, fixtures::at(0)));
    assert!(!knowledge.note_store("servers", false, fixtures::at(0)));
    assert!(knowledge.store_lost());
    assert!(knowledge.note_store("routes", false, fixtures::at(0)));
    assert!(!knowledge.store_lost());
}

fn drops_a_removed_server_at_once() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 1, READY));
    knowledge.remove_server(&fixtures::name("s1"), fixtures::at(10));
    assert_eq!(knowledge.directory().servers().count(), 0);
}

fn keeps_a_lapsed_server_for_a_moment_after_an_outage() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 1, READY));
    knowledge.note_store("servers", true, fixtures::at(10));
    knowledge.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(knowledge.directory().servers().count(), 1);
    assert!(knowledge.expire(fixtures::at(20 + directory::RETURN_SPAN_MS)));
    assert_eq!(knowledge.directory().servers().count(), 0);
}

// A site whose servers serve on for a second only.
fn keeps_a_lapsed_server_no_longer_than_it_serves_on() {
    let drain = time::Duration::from_secs(1);
    let mut knowledge = host_with_drain("a", drain);
    knowledge.note_server(server("s1", 1, 1, READY));
    knowledge.note_store("servers", true, fixtures::at(10));
    knowledge.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(knowledge.directory().servers().count(), 1);
    assert!(knowledge.expire(fixtures::at(20) + drain.mul_f64(directory::RETURN_PART)));
    assert_eq!(knowledge.directory().servers().count(), 0);
}

fn keeps_no_leaving_server_that_lapsed() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 1, DRAINING));
    knowledge.note_store("servers", true, fixtures::at(10));
    knowledge.remove_server(&fixtures::name("s1"), fixtures::at(20));
    assert_eq!(knowledge.directory().servers().count(), 0);
}

fn ignores_an_entry_that_comes_late() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 5, DRAINING));
    knowledge.note_server(server("s1", 1, 4, READY));
    let state = knowledge
        .directory()
        .find(&fixtures::name("s1"))
        .map(|record| record.state);
    assert_eq!(state, Some(DRAINING));
}

fn ignores_a_late_entry_of_a_removed_server() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 5, READY));
    knowledge.remove_server(&fixtures::name("s1"), fixtures::at(10));
    knowledge.note_server(server("s1", 1, 4, READY));
    assert_eq!(knowledge.directory().servers().count(), 0);
}

fn takes_a_server_that_was_born_again() {
    let mut knowledge = host("a");
    knowledge.note_server(server("s1", 1, 5, DRAINING));
    knowledge.note_server(server("s1", 2, 1, READY));
    let born = knowledge
        .directory()
        .find(&fixtures::name("s1"))
        .map(|record| record.life.born);
    assert_eq!(born, Some(2));
}

macro_rules! knowledge_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

knowledge_cases! {
    never_takes_a_version_back,
    passes_a_newer_version_on_whatever_the_store_does,
    passes_servers_on_to_a_host_that_the_store_turns_away,
    counts_the_store_as_back_when_every_call_is_answered,
    drops_a_removed_server_at_once,
    keeps_a_lapsed_server_for_a_moment_after_an_outage,
    keeps_a_lapsed_server_no_longer_than_it_serves_on,
    keeps_no_leaving_server_that_lapsed,
    ignores_an_entry_that_comes_late,
    ignores_a_late_entry_of_a_removed_server,
    takes_a_server_that_was_born_again,
}
