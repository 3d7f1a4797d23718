//! A simulation in virtual time of the entry hosts among themselves: hosts that run the production
//! decisions on where records come from and to whom demand is reported, and a store with one log.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::cluster;
use zinniastack::serving::cluster::exchange;
use zinniastack::serving::demand;
use zinniastack::serving::replica;
use zinniastack::serving::status;
use zinniastack::serving::topic;
use zinniastack::serving::upstream;
use zinniastack::serving::view;

use crate::event_queue;
use crate::fixtures;

/// The topic whose records are simulated.
pub const TOPIC: topic::StoreTopic = topic::StoreTopic::Routes;
/// The interval of the status exchange, in milliseconds.
pub const EXCHANGE_MS: u64 = 250;
/// The interval at which a host checks where it gets its records from, in milliseconds.
pub const CHECK_MS: u64 = 100;
/// The delay of a message between two hosts, in milliseconds.
pub const MESSAGE_MS: u64 = 2;
/// The delay of a response of the store, in milliseconds.
pub const STORE_MS: u64 = 5;
/// The time after which a call between hosts without a response fails, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_100;
/// The long-poll wait of reads of the store and of requests for records, in milliseconds.
pub const WAIT_MS: u64 = 1_000;
/// The interval of a host's requests to its supplier, in milliseconds. They stand for requests that
/// wait for records.
pub const POLL_MS: u64 = 50;
/// The time after which a request for records without a response fails, in milliseconds.
pub const RECORDS_TIMEOUT_MS: u64 = 2_000;
/// The pause after a call of the store that failed, in milliseconds.
pub const STORE_RETRY_MS: u64 = 400;

#[derive(Clone, Debug)]
enum HostEvent {
    Exchange(usize),
    Check(usize),
    // A read of the store, or a request to the supplier; outdated where another one was scheduled
    // since.
    Read {
        host: usize,
        number: u64,
    },
    Request {
        to: usize,
        from: usize,
        update: Box<status::HostStatusUpdate>,
    },
    Response {
        to: usize,
        update: Box<status::HostStatusUpdate>,
    },
    Failed {
        host: usize,
        target: names::HostName,
    },
}

/// A simulated entry host.
pub struct SimulatedHost {
    /// Its production state.
    pub cluster: cluster::ClusterState,
    /// Its copy of the topic.
    pub replica: replica::TopicReplica,
    /// Whether it is up.
    pub is_up: bool,
    /// Whether the store rejects its calls.
    pub is_rejected: bool,
    /// The number of its calls to the store.
    pub store_calls: u64,
    /// The number of messages that it sent to other hosts.
    pub messages: u64,
    /// The size of these messages, in bytes.
    pub bytes: u64,
    // The number of the next read's event.
    next_read: u64,
    // Where it gets its records from.
    source: upstream::RecordSource,
}

/// Simulated entry hosts in several failure domains, and the store.
pub struct HostSimulation {
    /// The present time.
    pub now: clock::MonoTime,
    /// The hosts.
    pub hosts: Vec<SimulatedHost>,
    /// How many of 1,000 messages between hosts are lost.
    pub lost_per_mille: u32,
    /// The position at which the store's log ends.
    pub store_end: topic::LogPosition,
    random: rand::rngs::StdRng,
    queue: event_queue::EventQueue<HostEvent>,
    by_name: collections::BTreeMap<names::HostName, usize>,
}

impl HostSimulation {
    /// Creates `count` hosts in `domains` failure domains that know each other.
    #[must_use]
    pub fn new(seed: u64, count: usize, domains: usize) -> Self {
        let records: Vec<_> = (0..count).map(|index| record(index, domains)).collect();
        let now = clock::MonoTime::from_millis(1_000);
        let mut simulation = Self {
            now,
            hosts: Vec::new(),
            lost_per_mille: 0,
            store_end: topic::LogPosition::new(0, 1),
            random: rand::rngs::StdRng::seed_from_u64(seed),
            queue: event_queue::EventQueue::new(),
            by_name: collections::BTreeMap::new(),
        };
        for (index, own) in records.iter().enumerate() {
            let mut cluster = new_cluster(own, now);
            for other in &records {
                cluster.note_host(&other.host, Some(other.clone()));
            }
            cluster.note_hosts_known(now);
            simulation.by_name.insert(own.host.clone(), index);
            let source = cluster.record_source();
            simulation.hosts.push(SimulatedHost {
                cluster,
                replica: replica::TopicReplica::new(),
                is_up: true,
                is_rejected: false,
                store_calls: 0,
                messages: 0,
                bytes: 0,
                next_read: 0,
                source,
            });
            simulation.set_demand(index, 1.0);
            for event in [HostEvent::Exchange(index), HostEvent::Check(index)] {
                let delay = simulation.random.random_range(0..EXCHANGE_MS);
                simulation.push(delay, event);
            }
            simulation.push_read(index, 0);
        }
        simulation
    }

    /// Sets how many requests of a host run at the one server that all of them use.
    pub fn set_demand(&mut self, host: usize, requests: f64) {
        let demand = view::HostDemand {
            servers: [(fixtures::name("s1"), requests)].into(),
            ..view::HostDemand::default()
        };
        let cluster = &mut self.hosts[host].cluster;
        cluster.note_traffic(demand, demand::LoadReport::default());
    }

    /// Returns the sum of the other hosts' demand, as a host knows it.
    #[must_use]
    pub fn known_demand(&self, host: usize) -> f64 {
        let view = self.hosts[host]
            .cluster
            .view(&view::SharedGrants::default(), self.now);
        view.demand.values().sum()
    }

    /// Appends a record to the store's log; the hosts that wait for it read it.
    pub fn append(&mut self) {
        self.store_end.offset += 1;
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_up && self.hosts[host].cluster.reads(TOPIC, self.now) {
                self.push_read(host, STORE_MS);
            }
        }
    }

    /// Lets the store come back from an older copy, without the last `lost` records.
    pub fn restore(&mut self, lost: u64) {
        self.store_end.era += 1;
        self.store_end.offset -= lost;
    }

    /// Starts a host that is down again: it knows the other hosts, and has no records.
    pub fn restart(&mut self, host: usize) {
        let own = self.hosts[host].cluster.own().clone();
        let mut cluster = new_cluster(&own, self.now);
        let others = self.hosts.iter().map(|other| other.cluster.own().clone());
        for other in others.collect::<Vec<_>>() {
            cluster.note_host(&other.host, Some(other.clone()));
        }
        cluster.note_hosts_known(self.now);
        let state = &mut self.hosts[host];
        state.source = cluster.record_source();
        state.cluster = cluster;
        state.replica = replica::TopicReplica::new();
        state.is_up = true;
        self.set_demand(host, 1.0);
    }

    /// Runs for `duration` of simulated time.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_due(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns how many hosts that are up have all records of the log.
    #[must_use]
    pub fn informed(&self) -> usize {
        let up = self.hosts.iter().filter(|host| host.is_up);
        up.filter(|host| host.replica.position() == self.store_end)
            .count()
    }

    /// Returns how many hosts read the store.
    #[must_use]
    pub fn readers(&self) -> usize {
        let up = self.hosts.iter().filter(|host| host.is_up);
        up.filter(|host| host.cluster.reads(TOPIC, self.now))
            .count()
    }

    fn push(&mut self, delay_ms: u64, event: HostEvent) {
        let at = self.now + time::Duration::from_millis(delay_ms);
        self.queue.push(at, event);
    }

    // Schedules a host's next read, in place of one that is scheduled already.
    fn push_read(&mut self, host: usize, delay_ms: u64) {
        let number = self.queue.next_number();
        self.hosts[host].next_read = number;
        self.push(delay_ms, HostEvent::Read { host, number });
    }

    fn handle(&mut self, event: HostEvent) {
        match event {
            HostEvent::Exchange(host) => self.exchange(host),
            HostEvent::Check(host) => self.check(host),
            HostEvent::Read { host, number } if self.hosts[host].next_read == number => {
                self.read(host);
            }
            HostEvent::Read { .. } => {}
            HostEvent::Request { to, from, update } => self.request(to, from, *update),
            HostEvent::Response { to, update } => {
                if self.hosts[to].is_up {
                    let now = self.now;
                    self.hosts[to].cluster.note_response(*update, now);
                    self.follow_source(to);
                }
            }
            HostEvent::Failed { host, target } => {
                let now = self.now;
                self.hosts[host].cluster.note_exchange_failed(&target, now);
                self.follow_source(host);
            }
        }
    }

    fn grants(&self, host: usize) -> cluster::GrantSnapshot {
        let mut ends = topic::TopicEnds::default();
        ends.set(TOPIC, self.hosts[host].replica.position());
        cluster::GrantSnapshot {
            granter: None,
            term: 0,
            overtaken: None,
            granted: assignment::TableVersion::default(),
            ends,
        }
    }

    fn exchange(&mut self, host: usize) {
        self.push(EXCHANGE_MS, HostEvent::Exchange(host));
        if self.hosts[host].is_up {
            self.send_requests(host);
        }
    }

    // A host whose source of records has changed gives up its request to the former one, and exchanges
    // status updates at once.
    fn follow_source(&mut self, host: usize) {
        let source = self.hosts[host].cluster.record_source();
        if self.hosts[host].source != source {
            self.hosts[host].source = source;
            self.push_read(host, MESSAGE_MS);
            self.send_requests(host);
        }
    }

    fn send_requests(&mut self, host: usize) {
        let grants = self.grants(host);
        let targets = self.hosts[host].cluster.exchange_targets(&grants, self.now);
        for target in targets {
            self.send_request(host, &target, &grants);
        }
    }

    fn send_request(
        &mut self,
        from: usize,
        target: &exchange::ExchangeTarget,
        grants: &cluster::GrantSnapshot,
    ) {
        let now = self.now;
        let cluster = &mut self.hosts[from].cluster;
        cluster.note_asked(&target.host, grants.ends, now);
        let update = cluster.request_for(target, grants, now);
        self.count(from, &update);
        let to = self.by_name[&target.host];
        if !self.hosts[to].is_up || self.is_lost() {
            let target = target.host.clone();
            self.push(CALL_TIMEOUT_MS, HostEvent::Failed { host: from, target });
            return;
        }
        let update = Box::new(update);
        self.push(MESSAGE_MS, HostEvent::Request { to, from, update });
    }

    fn request(&mut self, to: usize, from: usize, update: status::HostStatusUpdate) {
        if !self.hosts[to].is_up {
            return;
        }
        let grants = self.grants(to);
        let now = self.now;
        let cluster = &mut self.hosts[to].cluster;
        let response = cluster.response_to(&update, &grants, now);
        cluster.note_request(update, now);
        self.count(to, &response);
        let update = Box::new(response);
        self.push(MESSAGE_MS, HostEvent::Response { to: from, update });
    }

    // Adds a message that a host sends to its counts.
    fn count(&mut self, host: usize, update: &status::HostStatusUpdate) {
        let size = serde_json::to_vec(update).map_or(0, |encoded| encoded.len());
        let host = &mut self.hosts[host];
        host.messages += 1;
        host.bytes += u64::try_from(size).unwrap_or(u64::MAX);
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.lost_per_mille
    }

    // A host's check of whether its source responds and whether it lags.
    fn check(&mut self, host: usize) {
        self.push(CHECK_MS, HostEvent::Check(host));
        if !self.hosts[host].is_up {
            return;
        }
        let now = self.now;
        let ends = self.grants(host).ends;
        self.hosts[host].cluster.check_supply(now);
        self.follow_source(host);
        self.check_era(host);
        if let Some(source) = self.hosts[host].cluster.next_record_source(&ends, now) {
            let source = self.by_name[&source.host];
            let answered = self.hosts[source].is_up;
            if answered {
                self.copy_records(source, host);
            }
            self.hosts[host].cluster.note_request_ended(answered);
        }
    }

    // A host that waits for records of the store reads it at once where it hears of a new era.
    fn check_era(&mut self, host: usize) {
        let state = &self.hosts[host];
        let is_behind = state.cluster.store_era() > state.replica.position().era;
        if is_behind && state.cluster.reads(TOPIC, self.now) {
            self.push_read(host, STORE_MS);
        }
    }

    // One read of the store, or one request to the host that supplies this one.
    fn read(&mut self, host: usize) {
        if !self.hosts[host].is_up {
            self.push_read(host, CHECK_MS);
            return;
        }
        let delay = match self.hosts[host].cluster.record_source() {
            upstream::RecordSource::Store => self.read_store(host),
            upstream::RecordSource::Host(record) => {
                let source = self.by_name[&record.host];
                let answers = self.hosts[source].is_up;
                if answers && !self.is_lost() {
                    self.copy_records(source, host);
                }
                if answers { POLL_MS } else { RECORDS_TIMEOUT_MS }
            }
        };
        self.push_read(host, delay);
    }

    fn read_store(&mut self, host: usize) -> u64 {
        let now = self.now;
        let end = self.store_end;
        let state = &mut self.hosts[host];
        state.store_calls += 1;
        let rejected = state.is_rejected;
        state.cluster.note_store("routes", rejected, now);
        if rejected {
            return STORE_RETRY_MS;
        }
        state.cluster.note_store_era(end.era);
        let from = state.replica.position();
        if from.era < end.era {
            state.replica.replace(records(0, end.offset), end);
            return WAIT_MS;
        }
        let records = records(from.offset, end.offset);
        let appended = state.replica.append(from, records, end.offset);
        debug_assert!(appended.is_ok());
        WAIT_MS
    }

    fn copy_records(&mut self, source: usize, host: usize) {
        let from = self.hosts[host].replica.position();
        let replica = &self.hosts[source].replica;
        if !replica.is_filled() || replica.position() <= from {
            return;
        }
        let page = replica.page(TOPIC, from, false, usize::MAX);
        let start = page.start();
        let records = page.records.into_iter().map(topic::LogRecord::from);
        let records: Vec<_> = records.collect();
        let replica = &mut self.hosts[host].replica;
        if start.offset == 0 {
            replica.replace(records, topic::LogPosition::new(start.era, page.end));
        } else {
            let appended = replica.append(start, records, page.next);
            debug_assert!(appended.is_ok());
        }
    }
}

fn new_cluster(own: &status::HostRecord, now: clock::MonoTime) -> cluster::ClusterState {
    let drain = time::Duration::from_secs(3);
    let created = cluster::ClusterState::new(own.clone(), now, drain);
    created.expect("the chart is valid")
}

fn record(index: usize, domains: usize) -> status::HostRecord {
    status::HostRecord {
        host: fixtures::name(&format!("host-{index:05}")),
        incarnation: 1,
        domain: fixtures::name(&format!("domain-{}", index % domains)),
        peers: ([10, 0, 0, 1], 7_200).into(),
        link_mbps: Some(20),
    }
}

fn records(from: u64, end: u64) -> Vec<topic::LogRecord> {
    let record = |offset| topic::LogRecord {
        offset,
        record: topic::KeyedRecord {
            key: "config".into(),
            value: Some(bytes::Bytes::from_static(b"{}")),
        },
    };
    (from..end).map(record).collect()
}
