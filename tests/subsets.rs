//! Tests how servers without keys are dealt out to hosts.

use std::collections;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::serving::status;
use zinniastack::serving::subset;
use zinniastack::serving::upstream;

const ROOM: f64 = 2.4;

fn host_record(number: usize) -> status::HostRecord {
    status::HostRecord {
        host: fixtures::name(&format!("h{number}")),
        incarnation: 1,
        domain: fixtures::name("north"),
        peers: ([10, 0, 0, 1], 80).into(),
        link_mbps: None,
    }
}

fn registry(hosts: usize) -> upstream::HostRegistry {
    let records = (0..hosts).map(host_record);
    records
        .map(|record| (record.host.clone(), record))
        .collect()
}

fn server_names(servers: usize) -> Vec<names::ServerName> {
    let names = (0..servers).map(|number| fixtures::name(&format!("s{number}")));
    names.collect()
}

// Returns the subset of each host.
fn deal(hosts: usize, servers: usize) -> Vec<collections::BTreeSet<names::ServerName>> {
    let registry = registry(hosts);
    let servers = server_names(servers);
    let subsets = (0..hosts).map(|number| {
        let place = subset::HostPlace::new(&host_record(number), &registry);
        let window = subset::ServerWindow::new(place, servers.iter());
        let size = window.size(ROOM, hosts, 0.0);
        let positions = window.positions().iter();
        let chosen = positions.filter(|(_, position)| **position < size);
        chosen.map(|(name, _)| name.clone()).collect()
    });
    subsets.collect()
}

// The largest number of servers that are new in the subset of a host.
fn most_new(
    before: &[collections::BTreeSet<names::ServerName>],
    after: &[collections::BTreeSet<names::ServerName>],
) -> usize {
    let pairs = before.iter().zip(after);
    let new = pairs.map(|(before, after)| after.difference(before).count());
    new.max().unwrap_or(0)
}

// Guards against servers that most hosts use while others are idle.
fn deals_servers_evenly() {
    for (hosts, servers) in [(65, 40), (22, 13), (33, 129), (9, 33), (300, 7)] {
        let mut counts = collections::BTreeMap::<_, usize>::new();
        let subsets = deal(hosts, servers);
        for server in subsets.iter().flatten() {
            *counts.entry(server).or_default() += 1;
        }
        assert_eq!(counts.len(), servers, "{hosts} hosts leave servers out");
        let least = counts.values().min().expect("there are servers");
        let most = counts.values().max().expect("there are servers");
        assert!(most - least <= 2, "{hosts} {servers}: {least} to {most}");
    }
}

// Guards against connections that are all opened anew when one host or server comes or goes.
fn keeps_subsets_when_a_host_or_server_joins() {
    for hosts in 20..90 {
        let before = deal(hosts, 40);
        assert!(most_new(&before, &deal(hosts + 1, 40)) <= 2, "{hosts}");
        assert!(most_new(&deal(hosts + 1, 40), &before) <= 2, "{hosts}");
        assert!(most_new(&before, &deal(hosts, 41)) <= 2, "{hosts}");
        assert!(most_new(&deal(hosts, 41), &before) <= 2, "{hosts}");
    }
}

// Guards against a busy host that is confined to a subset without room for its requests.
fn grows_with_the_demand_of_the_host() {
    let place = subset::HostPlace::default();
    let servers = server_names(40);
    let window = subset::ServerWindow::new(place, servers.iter());
    let few = window.size(ROOM, 65, 1.0);
    let many = window.size(ROOM, 65, 24.0);
    assert!(few < many || few == 40, "{few} {many}");
    let place = subset::HostPlace { rank: 3, hosts: 22 };
    let window = subset::ServerWindow::new(place, servers.iter());
    assert_eq!(window.size(ROOM, 65, 1.0), subset::MIN_SUBSET_SERVERS);
    assert_eq!(window.size(ROOM, 65, 24.0), 10);
    assert_eq!(window.size(ROOM, 65, 1e12), 40);
}

// Guards against a division by the number of servers where a domain has none.
fn takes_a_domain_without_servers() {
    let window = subset::ServerWindow::new(subset::HostPlace::default(), [].iter());
    assert_eq!(window.size(ROOM, 65, 1.0), 0);
}

macro_rules! subset_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

subset_cases! {
    deals_servers_evenly,
    keeps_subsets_when_a_host_or_server_joins,
    grows_with_the_demand_of_the_host,
    takes_a_domain_without_servers,
}
