//! The demand and the key load of many hosts, summed along the way on which they are reported.
//!
//! Each host reports the sum of its own demand and that of the hosts that report to it; in return it
//! gets the sum of all others. Hosts that read the store exchange the sums of their domains. So what
//! a host sends does not grow with the number of hosts.

use std::collections;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::key_load;
use crate::serving::directory;
use crate::serving::view;

/// Age from which a report is ignored, in milliseconds.
pub const REPORT_STALE_MS: u64 = 1_500;
/// The demand of all other hosts at a server from which it is reported, for each of its slots. Below
/// it, the server has room for whatever one host sends.
pub const MIN_REPORTED_PER_SLOT: f64 = 0.25;

/// The load of the keys of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceReport {
    /// The service.
    pub service: names::ServiceName,
    /// The keys with load.
    pub heat: Vec<key_load::KeyLoad>,
}

/// The demand of a set of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DemandSum {
    /// The number of hosts.
    pub hosts: usize,
    /// The requests that run at a server or wait for a certain one, by server.
    pub servers: view::ServerDemand,
    /// The requests that wait for any server of a service, by service.
    pub pool_waiting: view::PoolDemand,
}

impl DemandSum {
    /// Creates the demand of one host.
    #[must_use]
    pub fn new(demand: &view::HostDemand) -> Self {
        Self {
            hosts: 1,
            servers: demand.servers.clone(),
            pool_waiting: demand.pool_waiting.clone(),
        }
    }

    /// Adds the demand of other hosts.
    pub fn add(&mut self, other: &Self) {
        self.hosts += other.hosts;
        for (server, wanted) in &other.servers {
            *self.servers.entry(server.clone()).or_default() += wanted;
        }
        for (service, waiting) in &other.pool_waiting {
            *self.pool_waiting.entry(service.clone()).or_default() += waiting;
        }
    }

    /// Returns the demand at each server. Requests that wait for any server of a service count in
    /// equal parts at all its servers.
    #[must_use]
    pub fn by_server(self, servers: &directory::ServerDirectory) -> view::ServerDemand {
        let mut sum = self.servers;
        for (service, waiting) in self.pool_waiting {
            let pool = servers.servers().filter(|record| record.service == service);
            let names: Vec<_> = pool.map(|record| record.life.server.clone()).collect();
            let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
            for name in names {
                *sum.entry(name).or_default() += f64::from(waiting) / f64::from(count);
            }
        }
        sum
    }

    /// Drops the demand at servers that have enough room for any host.
    pub fn retain_busy(&mut self, servers: &directory::ServerDirectory) {
        self.servers.retain(|name, wanted| {
            let slots = servers.find(name).map_or(0, |record| record.slots);
            *wanted >= f64::from(slots) * MIN_REPORTED_PER_SLOT
        });
    }
}

/// The requests that one server answered within a reporting interval.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceTime {
    /// The server.
    pub server: names::ServerName,
    /// The time that all of them took together, in milliseconds.
    pub total_ms: f64,
    /// The number of requests.
    pub requests: u32,
}

/// The key load and the service times that a set of hosts measured, for the granter.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// The load of keys, by service.
    pub reports: Vec<ServiceReport>,
    /// The service times of the servers that answered requests.
    pub service_times: Vec<ServiceTime>,
}

impl LoadReport {
    /// Returns the sum of several reports.
    #[must_use]
    pub fn with_sum<'a>(reports: impl Iterator<Item = &'a Self>) -> Self {
        let mut loads = collections::BTreeMap::<_, collections::BTreeMap<u16, f32>>::new();
        let mut times = collections::BTreeMap::<_, (f64, u32)>::new();
        for report in reports {
            for service in &report.reports {
                let sum = loads.entry(service.service.clone()).or_default();
                for key_load in &service.heat {
                    *sum.entry(key_load.key).or_default() += key_load.busy;
                }
            }
            for time in &report.service_times {
                let sum = times.entry(time.server.clone()).or_default();
                *sum = (sum.0 + time.total_ms, sum.1 + time.requests);
            }
        }
        let reports = loads.into_iter().map(|(service, sum)| ServiceReport {
            service,
            heat: sum
                .into_iter()
                .map(|(key, busy)| key_load::KeyLoad { key, busy })
                .collect(),
        });
        let times = times.into_iter();
        let service_times = times.map(|(server, (total_ms, requests))| ServiceTime {
            server,
            total_ms,
            requests,
        });
        Self {
            reports: reports.collect(),
            service_times: service_times.collect(),
        }
    }
}

#[derive(Debug)]
struct AgedReport<T> {
    report: T,
    received_at: clock::MonoTime,
}

impl<T> AgedReport<T> {
    const fn new(report: T, received_at: clock::MonoTime) -> Self {
        Self {
            report,
            received_at,
        }
    }

    fn is_fresh(&self, now: clock::MonoTime) -> bool {
        now.since(self.received_at) < time::Duration::from_millis(REPORT_STALE_MS)
    }
}

/// The reports that one host has received.
#[derive(Debug, Default)]
pub struct DemandReports {
    // The sums of the hosts that report to this one.
    below: collections::BTreeMap<names::HostName, AgedReport<DemandSum>>,
    // The sums of all other hosts, by the host that sent them: the one that this host reports to, or
    // the first hosts of the other domains.
    beyond: collections::BTreeMap<names::HostName, AgedReport<DemandSum>>,
    loads_below: collections::BTreeMap<names::HostName, AgedReport<LoadReport>>,
    // What the first hosts of the other domains send while this host is the granter.
    loads_beyond: collections::BTreeMap<names::HostName, AgedReport<LoadReport>>,
}

impl DemandReports {
    /// Creates the state of a host without reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the demand of a host that reports to this one, and of those that report to it.
    pub fn note_below(&mut self, host: &names::HostName, sum: DemandSum, now: clock::MonoTime) {
        self.beyond.remove(host);
        self.below.insert(host.clone(), AgedReport::new(sum, now));
    }

    /// Records the demand of hosts that report elsewhere, as `host` sent it.
    pub fn note_beyond(&mut self, host: &names::HostName, sum: DemandSum, now: clock::MonoTime) {
        self.below.remove(host);
        self.beyond.insert(host.clone(), AgedReport::new(sum, now));
    }

    /// Keeps only the sums that `senders` sent of hosts that report elsewhere: this host gets them
    /// from others now.
    pub fn retain_beyond(&mut self, senders: &collections::BTreeSet<names::HostName>) {
        self.beyond.retain(|host, _| senders.contains(host));
    }

    /// Records the key load of a host that reports to this one, and of those that report to it.
    pub fn note_loads_below(
        &mut self,
        host: &names::HostName,
        loads: LoadReport,
        now: clock::MonoTime,
    ) {
        self.loads_below
            .insert(host.clone(), AgedReport::new(loads, now));
    }

    /// Records the key load that `host` sent to this one as the granter.
    pub fn note_loads_beyond(
        &mut self,
        host: &names::HostName,
        loads: LoadReport,
        now: clock::MonoTime,
    ) {
        self.loads_beyond
            .insert(host.clone(), AgedReport::new(loads, now));
    }

    /// Drops all reports of a host that is gone.
    pub fn remove(&mut self, host: &names::HostName) {
        self.below.remove(host);
        self.beyond.remove(host);
        self.loads_below.remove(host);
        self.loads_beyond.remove(host);
    }

    /// Returns the demand of this host and of those that report to it.
    #[must_use]
    pub fn sum_below(&self, own: &view::HostDemand, now: clock::MonoTime) -> DemandSum {
        let mut sum = DemandSum::new(own);
        for report in self.below.values().filter(|report| report.is_fresh(now)) {
            sum.add(&report.report);
        }
        sum
    }

    /// Returns the demand of all hosts but `host` and those that report to it.
    #[must_use]
    pub fn sum_for(
        &self,
        host: &names::HostName,
        own: &view::HostDemand,
        now: clock::MonoTime,
    ) -> DemandSum {
        let mut sum = DemandSum::new(own);
        let below = self.below.iter().filter(|(other, _)| *other != host);
        let reports = below.chain(&self.beyond).map(|(_, report)| report);
        for report in reports.filter(|report| report.is_fresh(now)) {
            sum.add(&report.report);
        }
        sum
    }

    /// Returns the demand of all hosts but this one.
    #[must_use]
    pub fn sum_others(&self, now: clock::MonoTime) -> DemandSum {
        let mut sum = DemandSum::default();
        let reports = self.below.values().chain(self.beyond.values());
        for report in reports.filter(|report| report.is_fresh(now)) {
            sum.add(&report.report);
        }
        sum
    }

    /// Returns the key load of this host and of those that report to it, except `host` and those that
    /// report to that one.
    #[must_use]
    pub fn sum_loads_for(
        &self,
        host: &names::HostName,
        own: &LoadReport,
        now: clock::MonoTime,
    ) -> LoadReport {
        let below = self.loads_below.iter().filter(|(other, _)| *other != host);
        let fresh = below.filter(|(_, report)| report.is_fresh(now));
        let reports = fresh.map(|(_, report)| &report.report);
        LoadReport::with_sum(reports.chain([own]))
    }

    /// Returns the key load of all hosts, as the granter knows it.
    #[must_use]
    pub fn sum_loads(&self, own: &LoadReport, now: clock::MonoTime) -> LoadReport {
        let reports = self.loads_below.values().chain(self.loads_beyond.values());
        let fresh = reports.filter(|report| report.is_fresh(now));
        LoadReport::with_sum(fresh.map(|report| &report.report).chain([own]))
    }

    /// Returns the number of hosts that report to this one.
    #[must_use]
    pub fn reporting_hosts(&self, now: clock::MonoTime) -> usize {
        let fresh = self.below.values().filter(|report| report.is_fresh(now));
        fresh.count()
    }
}
