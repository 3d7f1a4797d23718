//! Builds a simulation from its plan: hosts, servers, clocks, and the configuration in the log.

use std::net;

use rand::RngExt as _;
use zinniastack::configuration;
use zinniastack::names;

use crate::simulation;

impl simulation::LabSimulation {
    pub(crate) fn populate(&mut self) {
        let plan = self.plan.clone();
        let mut port = 1;
        let mut next_port = || {
            port += 1;
            net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
        };
        for domain in &plan.domains {
            let name = names::DomainName::new(&domain.name).expect("a valid name");
            for number in 1..=domain.hosts {
                let host = format!("{}-h{number}", domain.name);
                let spec = configuration::HostSpec {
                    name: names::HostName::new(&host).expect("a valid name"),
                    domain: name.clone(),
                    peer: next_port(),
                    callers: next_port(),
                };
                self.add_host(spec);
            }
            for number in 1..=domain.checked {
                let server = format!("{}-s{number}", domain.name);
                self.add_server(&server, &name, next_port(), true);
            }
            for number in 1..=domain.unchecked {
                let server = format!("{}-u{number}", domain.name);
                self.add_server(&server, &name, next_port(), false);
            }
        }
        let configuration = self.configuration();
        self.shards = simulation::owned_shards(&configuration);
        self.append_patch("first", 0, configuration.to_changes());
        let hosts: Vec<_> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.start_host(host);
        }
    }

    pub(crate) fn add_host(&mut self, spec: configuration::HostSpec) {
        let clock = self.random_clock(self.plan.host_clock_gain_ppm);
        let host = simulation::SimulatedHost {
            spec: spec.clone(),
            state: None,
            paused: false,
            clock,
            generation: 0,
            deferred: Vec::new(),
        };
        self.hosts.insert(spec.name, host);
    }

    pub(crate) fn add_server(
        &mut self,
        name: &str,
        domain: &names::DomainName,
        address: net::SocketAddr,
        checked: bool,
    ) {
        let (service, fences) = if checked {
            (
                simulation::CHECKED_SERVICE,
                configuration::FenceMode::Checked,
            )
        } else {
            (
                simulation::UNCHECKED_SERVICE,
                configuration::FenceMode::Unchecked,
            )
        };
        let spec = configuration::ServerSpec {
            name: names::ServerName::new(name).expect("a valid name"),
            service: names::ServiceName::new(service).expect("a valid name"),
            domain: domain.clone(),
            address,
            fences,
            slots: 6,
            connections: 130,
            withdrawn: None,
        };
        let clock = self.random_clock(0);
        let server = simulation::SimulatedServer {
            spec: spec.clone(),
            state: None,
            frozen: false,
            clock,
            deferred: Vec::new(),
        };
        self.servers.insert(spec.name.clone(), server);
        self.restart_server(&spec.name);
    }

    pub(crate) fn random_clock(&mut self, faster_ppm: u64) -> simulation::SimulatedClock {
        simulation::SimulatedClock {
            offset_us: self.generator.random_range(0..1_000_000_000),
            rate_ppm: 1_000_000
                + faster_ppm
                + self.generator.random_range(0..=simulation::CLOCK_DRIFT_PPM),
        }
    }

    /// Returns the configuration that the simulation starts from.
    ///
    /// # Panics
    /// Panics if the plan has an invalid name.
    #[must_use]
    pub fn configuration(&self) -> configuration::Configuration {
        let domains: Vec<_> = self
            .plan
            .domains
            .iter()
            .map(|plan| configuration::DomainSpec {
                name: names::DomainName::new(&plan.name).expect("a valid name"),
                gone: None,
            })
            .collect();
        let homes: Vec<_> = domains.iter().map(|d| d.name.clone()).collect();
        let service = |name: &str, rank: u8| configuration::ServiceSpec {
            name: names::ServiceName::new(name).expect("a valid name"),
            rank: configuration::WorkRank::new(rank).expect("a valid rank"),
            shards: self.plan.shards,
            deadline_ms: simulation::DEADLINE_MS,
            floor_percent: 10,
            max_body_bytes: 1_024,
            homes: homes.clone(),
        };
        let feature = configuration::FeatureSpec {
            name: names::FeatureName::new("digest").expect("a valid name"),
            service: names::ServiceName::new(simulation::CHECKED_SERVICE).expect("a valid name"),
            rank: None,
            status: configuration::FeatureStatus::Live,
            when_stale: configuration::StalePolicy::Hold,
        };
        configuration::Configuration {
            domain: domains,
            host: self.hosts.values().map(|host| host.spec.clone()).collect(),
            service: vec![
                service(simulation::CHECKED_SERVICE, 1),
                service(simulation::UNCHECKED_SERVICE, 3),
            ],
            server: self.servers.values().map(|s| s.spec.clone()).collect(),
            feature: vec![feature],
        }
    }
}
