//! Tests from where each host gets the store's records.

use std::collections;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::serving::status;
use zinniastack::serving::upstream;

fn record(number: usize, domain: &str, link_mbps: u32) -> status::HostRecord {
    status::HostRecord {
        host: fixtures::name(&format!("{domain}-{number:04}")),
        incarnation: 1,
        domain: fixtures::name(domain),
        peers: ([10, 0, 0, 1], 7_200).into(),
        link_mbps: Some(link_mbps),
    }
}

// A domain of `count` hosts, of which the last two have the fastest links.
fn domain(count: usize) -> Vec<status::HostRecord> {
    let link_mbps = |number| if number + 2 >= count { 200 } else { 20 };
    let numbers = 0..count;
    numbers
        .map(|number| record(number, "north", link_mbps(number)))
        .collect()
}

fn registry(records: &[status::HostRecord]) -> upstream::HostRegistry {
    let entries = records.iter();
    let entries = entries.map(|record| (record.host.clone(), record.clone()));
    entries.collect()
}

fn selections(records: &[status::HostRecord]) -> Vec<upstream::UpstreamSelection> {
    let records = records.iter().cloned();
    records.map(upstream::UpstreamSelection::new).collect()
}

// For each host, the one that supplies it; `None` where it reads the store.
fn suppliers(
    records: &[status::HostRecord],
    selections: &[upstream::UpstreamSelection],
) -> Vec<Option<names::HostName>> {
    let hosts = registry(records);
    let sources = selections.iter().map(|selection| selection.source(&hosts));
    let suppliers = sources.map(|source| match source {
        upstream::RecordSource::Store => None,
        upstream::RecordSource::Host(record) => Some(record.host),
    });
    suppliers.collect()
}

fn reader_count(suppliers: &[Option<names::HostName>]) -> usize {
    suppliers
        .iter()
        .filter(|supplier| supplier.is_none())
        .count()
}

fn every_host_of_a_small_domain_reads() {
    let records = domain(upstream::MAX_READING_HOSTS);
    let suppliers = suppliers(&records, &selections(&records));
    assert_eq!(reader_count(&suppliers), records.len());
}

// Guards against calls to the store that grow with the hosts, and against hosts that supply more others
// than their links carry.
fn one_host_of_a_domain_reads(count: usize) {
    let records = domain(count);
    let suppliers = suppliers(&records, &selections(&records));
    assert_eq!(reader_count(&suppliers), 1);
    let mut supplied = collections::BTreeMap::<_, usize>::new();
    for supplier in suppliers.iter().flatten() {
        *supplied.entry(supplier.clone()).or_default() += 1;
    }
    let most = supplied.values().max().copied().unwrap_or(0);
    let relays = count.div_ceil(upstream::HOSTS_PER_RELAY);
    assert!(
        most <= 2 * upstream::HOSTS_PER_RELAY + relays,
        "one host supplies {most}"
    );
}

fn one_of_10_reads() {
    one_host_of_a_domain_reads(10);
}

fn one_of_24_reads() {
    one_host_of_a_domain_reads(24);
}

fn one_of_60_reads() {
    one_host_of_a_domain_reads(60);
}

fn one_of_200_reads() {
    one_host_of_a_domain_reads(200);
}

fn one_of_1200_reads() {
    one_host_of_a_domain_reads(1_200);
}

fn the_reader_has_a_fast_link() {
    let records = domain(24);
    let suppliers = suppliers(&records, &selections(&records));
    let readers = records.iter().zip(&suppliers);
    let reader = readers
        .filter(|(_, supplier)| supplier.is_none())
        .map(|(record, _)| record);
    let links: Vec<_> = reader.map(|record| record.link_mbps).collect();
    assert_eq!(links, [Some(200)]);
}

// Follows the suppliers of a host up to one that reads the store.
fn reaches_a_reader(
    start: &names::HostName,
    records: &[status::HostRecord],
    suppliers: &[Option<names::HostName>],
) -> bool {
    let mut current = start.clone();
    for _ in 0..records.len() {
        let index = records.iter().position(|record| record.host == current);
        match &suppliers[index.expect("the host is registered")] {
            None => return true,
            Some(supplier) => current = supplier.clone(),
        }
    }
    false
}

// Guards against hosts that wait for each other: whatever each of them has noticed, every chain of
// suppliers ends at a host that reads the store.
fn no_hosts_supply_each_other() {
    let records = domain(70);
    for seed in 0..200_usize {
        let mut selections = selections(&records);
        for (index, selection) in selections.iter_mut().enumerate() {
            for step in 0..seed % 7 {
                let other = &records[(seed * 31 + index * 17 + step * 13) % records.len()];
                if (index + step + seed).is_multiple_of(2) {
                    selection.note_failure(&other.host, fixtures::at(0));
                } else {
                    selection.note_response(&other.host, true, fixtures::at(0));
                }
            }
        }
        let suppliers = suppliers(&records, &selections);
        for record in &records {
            assert!(
                reaches_a_reader(&record.host, &records, &suppliers),
                "seed {seed}: {} is supplied in a circle",
                record.host
            );
        }
    }
}

// The hosts of a domain in the order of their ranks.
fn ranked(records: &[status::HostRecord]) -> Vec<status::HostRecord> {
    let mut left = records.to_vec();
    let mut order = Vec::new();
    while !left.is_empty() {
        let mut selection = upstream::UpstreamSelection::new(record(9_999, "north", 0));
        for known in &order {
            let known: &status::HostRecord = known;
            for _ in 0..3 {
                selection.note_failure(&known.host, fixtures::at(0));
            }
        }
        let best = match selection.source(&registry(records)) {
            upstream::RecordSource::Host(best) => best,
            upstream::RecordSource::Store => left[0].clone(),
        };
        left.retain(|record| record.host != best.host);
        order.push(best);
    }
    order
}

fn the_next_host_takes_over_from_a_lost_one() {
    let records = domain(24);
    let order = ranked(&records);
    let hosts = registry(&records);
    let mut second = upstream::UpstreamSelection::new(order[1].clone());
    let mut last = upstream::UpstreamSelection::new(order[23].clone());
    for selection in [&mut second, &mut last] {
        selection.note_failure(&order[0].host, fixtures::at(0));
    }
    assert_eq!(second.source(&hosts), upstream::RecordSource::Store);
    assert_eq!(
        last.source(&hosts),
        upstream::RecordSource::Host(order[1].clone())
    );
}

fn a_lost_host_is_queried_again_and_taken_back() {
    let records = domain(24);
    let order = ranked(&records);
    let hosts = registry(&records);
    let mut last = upstream::UpstreamSelection::new(order[23].clone());
    last.note_failure(&order[0].host, fixtures::at(0));
    assert_eq!(last.retried(&hosts, fixtures::at(0)), None);
    let due = last.retried(&hosts, fixtures::at(upstream::RETRY_MS));
    assert_eq!(due, Some(order[0].clone()));
    last.note_response(&order[0].host, false, fixtures::at(upstream::RETRY_MS));
    assert_eq!(
        last.source(&hosts),
        upstream::RecordSource::Host(order[0].clone())
    );
}

// Guards against a store that all hosts call because it rejects those that usually do.
fn few_hosts_read_a_store_that_rejects_all() {
    let records = domain(24);
    let mut selections = selections(&records);
    for selection in &mut selections {
        for record in &records {
            selection.note_response(&record.host, true, fixtures::at(0));
        }
    }
    let suppliers = suppliers(&records, &selections);
    assert_eq!(reader_count(&suppliers), upstream::MAX_STORE_READERS);
}

// Hosts that were removed without a notice stay registered; they must not make others read the store.
fn hosts_that_are_gone_do_not_count() {
    let records = domain(24);
    let order = ranked(&records);
    let gone: Vec<_> = order[..6]
        .iter()
        .map(|record| record.host.clone())
        .collect();
    let mut selections = selections(&records);
    for selection in &mut selections {
        for host in &gone {
            for _ in 0..4 {
                selection.note_failure(host, fixtures::at(0));
            }
        }
    }
    let suppliers = suppliers(&records, &selections);
    let living = records.iter().zip(&suppliers);
    let living = living.filter(|(record, _)| !gone.contains(&record.host));
    let readers: Vec<_> = living.filter(|(_, supplier)| supplier.is_none()).collect();
    assert_eq!(readers.len(), 1);
}

macro_rules! upstream_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

upstream_cases! {
    every_host_of_a_small_domain_reads,
    one_of_10_reads,
    one_of_24_reads,
    one_of_60_reads,
    one_of_200_reads,
    one_of_1200_reads,
    the_reader_has_a_fast_link,
    no_hosts_supply_each_other,
    the_next_host_takes_over_from_a_lost_one,
    a_lost_host_is_queried_again_and_taken_back,
    few_hosts_read_a_store_that_rejects_all,
    hosts_that_are_gone_do_not_count,
}
