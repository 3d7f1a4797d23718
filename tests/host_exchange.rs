//! Tests how records and demand spread among the entry hosts, in virtual time and without a network.

use std::time;

use zinnia_lab::host_simulation;
use zinniastack::serving::upstream;

/// Time for the hosts to find their sources after the start.
const SETTLED: time::Duration = time::Duration::from_secs(3);
/// The number of failure domains of the users' largest site.
const DOMAINS: usize = 5;

fn settled(count: usize) -> host_simulation::HostSimulation {
    let mut hosts = host_simulation::HostSimulation::new(1, count, DOMAINS);
    hosts.run(SETTLED);
    hosts
}

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

// Guards against calls to the store that are hosts times records: with 118 hosts a quiet day had 27,072.
fn store_calls_do_not_grow_with_the_hosts(count: usize) {
    let mut hosts = settled(count);
    let before: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    for _ in 0..20 {
        hosts.append();
        hosts.run(millis(500));
    }
    let after: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    assert_eq!(hosts.readers(), DOMAINS);
    assert_eq!(hosts.informed(), count);
    // Ten seconds: a read for each of 20 records, and one for each wait.
    let calls = after - before;
    let bound = u64::try_from(DOMAINS).expect("few domains") * (20 + 10 + 20);
    assert!(
        calls <= bound,
        "{count} hosts made {calls} calls, bound {bound}"
    );
}

fn thirty_hosts_call_the_store_by_domain() {
    store_calls_do_not_grow_with_the_hosts(30);
}

fn hosts_of_the_large_site_call_the_store_by_domain() {
    store_calls_do_not_grow_with_the_hosts(118);
}

fn three_hundred_hosts_call_the_store_by_domain() {
    store_calls_do_not_grow_with_the_hosts(300);
}

fn a_thousand_hosts_call_the_store_by_domain() {
    store_calls_do_not_grow_with_the_hosts(1_000);
}

// Guards against demand that is too old to be counted: with one exchange for each pair of hosts, spread
// over rounds, 118 hosts took 3.75 s for all, and reports are ignored after 1.5 s.
fn demand_is_known_within_a_second(count: usize, lost_per_mille: u32) {
    let mut hosts = settled(count);
    hosts.lost_per_mille = lost_per_mille;
    hosts.run(millis(3_000));
    hosts.set_demand(7, 1_001.0);
    hosts.run(millis(1_000));
    let expected = 1_000.0;
    let others = (0..count).filter(|host| *host != 7);
    let known = others
        .filter(|host| hosts.known_demand(*host) >= expected)
        .count();
    // Of 100 hosts, three may be in the middle of a time-out.
    assert!(
        known * 100 >= (count - 1) * 97,
        "{known} of {count} hosts know the demand"
    );
}

fn thirty_hosts_know_the_demand() {
    demand_is_known_within_a_second(30, 0);
}

fn hosts_of_the_large_site_know_the_demand() {
    demand_is_known_within_a_second(118, 0);
}

fn three_hundred_hosts_know_the_demand() {
    demand_is_known_within_a_second(300, 0);
}

fn a_thousand_hosts_know_the_demand() {
    demand_is_known_within_a_second(1_000, 0);
}

// Every host counts each other one once, whichever way its report takes.
fn counts_each_host_once(count: usize) {
    let hosts = settled(count);
    let others = f64::from(u32::try_from(count - 1).expect("few hosts"));
    for host in 0..count {
        let known = hosts.known_demand(host);
        assert!(
            (known - others).abs() < 0.01,
            "host {host} knows {known} of {others}"
        );
    }
}

fn thirty_hosts_are_counted_once() {
    counts_each_host_once(30);
}

fn hosts_of_the_large_site_are_counted_once() {
    counts_each_host_once(118);
}

fn three_hundred_hosts_are_counted_once() {
    counts_each_host_once(300);
}

fn five_hosts_are_counted_once() {
    counts_each_host_once(5);
}

// Guards against messages that grow with the hosts.
fn messages_of_a_host_are_bounded() {
    for count in [118, 300, 1_000] {
        let mut hosts = settled(count);
        let before: Vec<_> = hosts.hosts.iter().map(|host| host.messages).collect();
        hosts.run(millis(5_000));
        let sent = hosts
            .hosts
            .iter()
            .zip(before)
            .map(|(host, before)| host.messages - before);
        let most = sent.max().unwrap_or(0);
        // Four a second to its source and to other domains, and responses to the hosts it supplies.
        let bound = 5 * 4 * 130;
        assert!(
            most <= bound,
            "{count} hosts: one sent {most} messages in 5 s"
        );
    }
}

// The host that a domain's others get their records from.
fn reader_of(hosts: &host_simulation::HostSimulation, domain: usize) -> usize {
    let of_domain = (domain..hosts.hosts.len()).step_by(DOMAINS);
    let mut readers = of_domain.filter(|host| {
        hosts.hosts[*host]
            .cluster
            .reads(host_simulation::TOPIC, hosts.now)
    });
    readers.next().expect("the domain has a reader")
}

// Guards against a domain that learns nothing because the host that reads for it is gone.
fn a_lost_reader_is_replaced() {
    let mut hosts = settled(118);
    let reader = reader_of(&hosts, 0);
    hosts.hosts[reader].is_up = false;
    hosts.append();
    // The users' bounds for leaving servers and configurations are 2 to 3 s.
    hosts.run(millis(2_000));
    assert_eq!(hosts.informed(), 117);
    assert_eq!(hosts.readers(), DOMAINS);
}

/// The users' shortest bound for leaving servers and configurations, in milliseconds.
const APPLY_MS: u64 = 2_000;

// The hosts of a domain in the order in which they would supply the others.
fn ranked(hosts: &host_simulation::HostSimulation, domain: usize) -> Vec<usize> {
    let records = hosts.hosts.iter().map(|host| host.cluster.own());
    let registry = records.map(|record| (record.host.clone(), record.clone()));
    let registry = registry.collect();
    let rank = |host: &usize| {
        let own = hosts.hosts[*host].cluster.own().clone();
        upstream::UpstreamSelection::new(own).rank(&registry)
    };
    let mut ranked: Vec<_> = (domain..hosts.hosts.len()).step_by(DOMAINS).collect();
    ranked.sort_by_key(rank);
    ranked
}

// Takes the first `count` hosts of each domain down just before a record is appended, and runs until the
// users' bound. Returns how many of the others do not have the record.
fn uninformed_after_a_loss(count: usize, hosts: &mut host_simulation::HostSimulation) -> usize {
    for domain in 0..DOMAINS {
        for host in &ranked(hosts, domain)[..count] {
            hosts.hosts[*host].is_up = false;
        }
    }
    hosts.append();
    hosts.run(millis(APPLY_MS));
    let up = hosts.hosts.iter().filter(|host| host.is_up);
    up.count() - hosts.informed()
}

// Guards against hosts that go on by an old version: their supplier, and the hosts that would come after it,
// lost power, and they waited for each in turn until a call to it had failed.
fn records_spread_when_all_suppliers_are_lost() {
    for count in 1..=4 {
        let mut hosts = settled(60);
        assert_eq!(
            uninformed_after_a_loss(count, &mut hosts),
            0,
            "{count} lost"
        );
    }
}

// Guards against a half of all hosts that loses power and hides a record from the other half.
fn records_spread_when_half_of_the_hosts_are_lost() {
    for seed in 0..20_u64 {
        let mut hosts = host_simulation::HostSimulation::new(seed, 60, DOMAINS);
        hosts.run(SETTLED);
        for (index, host) in hosts.hosts.iter_mut().enumerate() {
            let number = u64::try_from(index).expect("few hosts");
            host.is_up = !(number * 7 + seed * 13).is_multiple_of(20) && (number + seed) % 9 > 4;
        }
        hosts.append();
        hosts.run(millis(APPLY_MS));
        let up = hosts.hosts.iter().filter(|host| host.is_up).count();
        assert_eq!(hosts.informed(), up, "seed {seed}");
    }
}

// Guards against hosts that return to a supplier that has started again and has no records yet.
fn records_spread_while_suppliers_start_again() {
    let mut hosts = settled(60);
    uninformed_after_a_loss(3, &mut hosts);
    for host in 0..hosts.hosts.len() {
        if !hosts.hosts[host].is_up {
            hosts.restart(host);
            // It cannot reach the store for a while.
            hosts.hosts[host].is_rejected = true;
        }
    }
    hosts.run(millis(300));
    hosts.append();
    hosts.run(millis(APPLY_MS));
    let informed = hosts
        .hosts
        .iter()
        .filter(|host| !host.is_rejected && host.replica.position() == hosts.store_end);
    let sound = hosts.hosts.iter().filter(|host| !host.is_rejected);
    assert_eq!(informed.count(), sound.count());
}

// Guards against hosts that go on calling the store once another host can supply them: of a domain whose
// reader is lost, each may read once until the next one has responded.
fn a_lost_reader_makes_the_others_read_once() {
    const LOST_MS: u64 = 2_000;
    let mut hosts = settled(118);
    let before: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    let reader = reader_of(&hosts, 0);
    hosts.hosts[reader].is_up = false;
    hosts.run(millis(LOST_MS));
    let after: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    assert_eq!(hosts.readers(), DOMAINS);
    let by_domain = u64::try_from(118_usize.div_ceil(DOMAINS)).expect("few hosts");
    let readers = u64::try_from(DOMAINS).expect("few domains");
    let most = by_domain + readers * (LOST_MS / host_simulation::WAIT_MS + 1);
    assert!(after - before <= most, "{} calls", after - before);
}

// Guards against a domain that learns nothing because the store rejects the host that reads for it.
fn a_rejected_reader_is_replaced() {
    let mut hosts = settled(118);
    let reader = reader_of(&hosts, 0);
    hosts.hosts[reader].is_rejected = true;
    hosts.run(millis(1_500));
    hosts.append();
    hosts.run(millis(500));
    assert_eq!(
        hosts.informed(),
        118,
        "the rejected host is informed by others"
    );
}

// The host is served again; the others return to it.
fn a_reader_that_is_served_again_is_taken_back() {
    let mut hosts = settled(118);
    let reader = reader_of(&hosts, 0);
    hosts.hosts[reader].is_rejected = true;
    hosts.run(millis(3_000));
    hosts.hosts[reader].is_rejected = false;
    hosts.run(millis(5_000));
    assert_eq!(hosts.readers(), DOMAINS);
    assert_eq!(reader_of(&hosts, 0), reader);
}

// Guards against a store that is called by every host because it rejects all.
fn few_hosts_call_a_store_that_is_down() {
    let mut hosts = settled(118);
    for host in &mut hosts.hosts {
        host.is_rejected = true;
    }
    hosts.run(millis(3_000));
    let before: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    hosts.run(millis(5_000));
    let after: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    let readers = u64::try_from(DOMAINS * 3).expect("few readers");
    let most = readers * 5_000 / host_simulation::STORE_RETRY_MS + 2 * readers;
    assert!(after - before <= most, "{} calls in 5 s", after - before);
    for host in &mut hosts.hosts {
        host.is_rejected = false;
    }
    hosts.append();
    hosts.run(millis(2_500));
    assert_eq!(hosts.informed(), 118);
}

// A third of all hosts is rejected, whichever these are.
fn a_third_of_the_hosts_rejected_stops_none() {
    for seed in 0..20_usize {
        let mut hosts = settled(118);
        for (index, host) in hosts.hosts.iter_mut().enumerate() {
            host.is_rejected = (index * 7 + seed * 5).is_multiple_of(3);
        }
        hosts.run(millis(2_000));
        hosts.append();
        hosts.run(millis(1_500));
        assert_eq!(hosts.informed(), 118, "seed {seed}");
    }
}

// Guards against lost messages that delay a record beyond the users' bounds.
fn records_spread_in_spite_of_lost_messages() {
    let mut hosts = settled(300);
    hosts.lost_per_mille = 30;
    hosts.run(millis(3_000));
    hosts.append();
    hosts.run(millis(1_000));
    let informed = hosts.informed();
    assert!(
        informed * 100 >= 300 * 99,
        "{informed} of 300 hosts are informed"
    );
}

// Guards against hosts that keep what a restored store has lost until the log has grown past the end of
// their copies.
fn follows_a_restored_store(count: usize, lost_per_mille: u32) {
    let mut hosts = settled(count);
    for _ in 0..5 {
        hosts.append();
    }
    hosts.run(millis(1_000));
    assert_eq!(hosts.informed(), count);
    hosts.lost_per_mille = lost_per_mille;
    hosts.restore(4);
    hosts.run(millis(1_000));
    hosts.append();
    hosts.run(millis(1_000));
    let informed = hosts.informed();
    assert!(
        informed * 100 >= count * 99,
        "{informed} of {count} hosts are informed"
    );
}

fn five_hosts_follow_a_restored_store() {
    follows_a_restored_store(5, 0);
}

fn hosts_of_the_large_site_follow_a_restored_store() {
    follows_a_restored_store(118, 0);
}

fn three_hundred_hosts_follow_a_restored_store_in_spite_of_lost_messages() {
    follows_a_restored_store(300, 30);
}

// Guards against calls that a new era causes without a pause.
fn reads_a_restored_store_once_by_domain() {
    let mut hosts = settled(118);
    let before: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    hosts.restore(0);
    hosts.run(millis(1_000));
    let after: u64 = hosts.hosts.iter().map(|host| host.store_calls).sum();
    assert_eq!(hosts.informed(), 118);
    // For each domain a read that ends its wait, and one that hears of the era meanwhile.
    let bound = 2 * u64::try_from(DOMAINS).expect("few domains");
    assert!(after - before <= bound, "{} calls", after - before);
}

macro_rules! host_exchange_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

host_exchange_cases! {
    thirty_hosts_call_the_store_by_domain,
    hosts_of_the_large_site_call_the_store_by_domain,
    three_hundred_hosts_call_the_store_by_domain,
    a_thousand_hosts_call_the_store_by_domain,
    thirty_hosts_know_the_demand,
    hosts_of_the_large_site_know_the_demand,
    three_hundred_hosts_know_the_demand,
    a_thousand_hosts_know_the_demand,
    thirty_hosts_are_counted_once,
    hosts_of_the_large_site_are_counted_once,
    three_hundred_hosts_are_counted_once,
    five_hosts_are_counted_once,
    messages_of_a_host_are_bounded,
    a_lost_reader_is_replaced,
    records_spread_when_all_suppliers_are_lost,
    records_spread_when_half_of_the_hosts_are_lost,
    records_spread_while_suppliers_start_again,
    a_lost_reader_makes_the_others_read_once,
    a_rejected_reader_is_replaced,
    a_reader_that_is_served_again_is_taken_back,
    few_hosts_call_a_store_that_is_down,
    a_third_of_the_hosts_rejected_stops_none,
    records_spread_in_spite_of_lost_messages,
    five_hosts_follow_a_restored_store,
    hosts_of_the_large_site_follow_a_restored_store,
    three_hundred_hosts_follow_a_restored_store_in_spite_of_lost_messages,
    reads_a_restored_store_once_by_domain,
}
