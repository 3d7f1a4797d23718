//! Fault injection into a simulation: processes end, pause and restart, and connections are cut.

use std::time;

use rand::RngExt as _;
use zinniastack::configuration;
use zinniastack::control;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::record;

use crate::server_state;
use crate::simulation;

impl simulation::LabSimulation {
    /// Appends a patch to the log directly, as an operator can.
    ///
    /// # Panics
    /// Panics if `id` is not a valid record id.
    pub fn append_patch(
        &mut self,
        id: &str,
        base: u64,
        changes: Vec<configuration::ConfigurationChange>,
    ) {
        let id = names::RecordId::new(id).expect("a valid record id");
        let body = record::RecordBody::Patch(record::PatchBody { base, changes });
        let record = record::LogRecord::new(id, body);
        self.log.append(record.encode());
    }

    /// Submits a patch through a host; does nothing while the host's process is not running.
    ///
    /// # Panics
    /// Panics if `id` is not a valid record id.
    pub fn submit(
        &mut self,
        host: &names::HostName,
        id: &str,
        base: u64,
        changes: Vec<configuration::ConfigurationChange>,
    ) {
        let id = names::RecordId::new(id).expect("a valid record id");
        let body = record::RecordBody::Patch(record::PatchBody { base, changes });
        let entry = self.hosts.get_mut(host).and_then(|h| h.state.as_mut());
        if let Some(state) = entry {
            state.submit(record::LogRecord::new(id, body));
        }
    }

    /// Starts or restarts a host's process with a new random incarnation and an empty state.
    ///
    /// # Panics
    /// Panics if a state chart is invalid.
    pub fn start_host(&mut self, name: &names::HostName) {
        let incarnation = self.generator.random();
        let seed = self.generator.random();
        let skew = self.generator.random_range(0..simulation::WALL_SKEW_MS);
        let timing = self.plan.timing;
        let bootstrap = self.hosts.values().map(|h| h.spec.peer).collect();
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let settings = control::ControlSettings {
            identity: peer::HostIdentity {
                host: name.clone(),
                incarnation,
            },
            domain: host.spec.domain.clone(),
            bootstrap,
            timing,
            wall_origin_ms: simulation::WALL_ORIGIN_MS + skew - host.clock.offset_us / 1_000,
            seed,
        };
        host.state = Some(control::ControlState::new(settings).expect("valid charts"));
        host.paused = false;
        host.deferred.clear();
        host.generation += 1;
        let generation = host.generation;
        self.push_host(
            name,
            generation,
            simulation::HostCall::Tick,
            time::Duration::from_millis(1),
        );
    }

    /// Ends a host's process.
    pub fn kill_host(&mut self, name: &names::HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.state = None;
            host.deferred.clear();
            host.generation += 1;
        }
    }

    /// Pauses a host's process. Its messages are queued until it resumes.
    pub fn pause_host(&mut self, name: &names::HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = true;
        }
    }

    /// Resumes a paused host, which then gets the queued messages.
    pub fn resume_host(&mut self, name: &names::HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = false;
            let deferred = std::mem::take(&mut host.deferred);
            for event in deferred {
                self.deliver(event);
            }
        }
    }

    /// Ends a server's process.
    pub fn kill_server(&mut self, name: &names::ServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state = None;
            server.frozen = false;
            server.deferred.clear();
        }
    }

    /// Starts or restarts a server's process with an empty state.
    pub fn restart_server(&mut self, name: &names::ServerName) {
        let incarnation = self.generator.random();
        let mutation = self.plan.mutation;
        let now = self.now;
        if let Some(server) = self.servers.get_mut(name) {
            let setup = server_state::ServerSetup {
                fences: server.spec.fences,
                slots: server.spec.slots,
                incarnation,
            };
            let time = server.clock.read(now);
            let state = server_state::ServerState::new(setup, time).with_mutation(mutation);
            server.state = Some(state);
            server.frozen = false;
            server.deferred.clear();
        }
    }

    /// Freezes a server's process. Its messages are queued until it thaws.
    pub fn freeze_server(&mut self, name: &names::ServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.frozen = true;
        }
    }

    /// Thaws a frozen server, which then gets the queued messages.
    pub fn thaw_server(&mut self, name: &names::ServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.frozen = false;
            let deferred = std::mem::take(&mut server.deferred);
            for event in deferred {
                self.deliver(event);
            }
        }
    }

    /// Cuts the connection between two nodes, in both directions.
    pub fn cut(&mut self, left: &simulation::SimulatedNode, right: &simulation::SimulatedNode) {
        self.cuts.insert((left.clone(), right.clone()));
        self.cuts.insert((right.clone(), left.clone()));
    }

    /// Cuts all connections between a failure domain and the other domains and the log.
    pub fn cut_domain(&mut self, domain: &names::DomainName) {
        let (inside, outside): (Vec<_>, Vec<_>) = self
            .nodes()
            .into_iter()
            .partition(|node| self.domain_of(node) == Some(domain));
        for left in &inside {
            for right in &outside {
                self.cut(left, right);
            }
        }
    }

    pub(crate) fn nodes(&self) -> Vec<simulation::SimulatedNode> {
        let hosts = self
            .hosts
            .keys()
            .cloned()
            .map(simulation::SimulatedNode::Host);
        let servers = self
            .servers
            .keys()
            .cloned()
            .map(simulation::SimulatedNode::Server);
        hosts
            .chain(servers)
            .chain([simulation::SimulatedNode::Log])
            .collect()
    }

    pub(crate) fn domain_of(&self, node: &simulation::SimulatedNode) -> Option<&names::DomainName> {
        match node {
            simulation::SimulatedNode::Host(name) => {
                self.hosts.get(name).map(|host| &host.spec.domain)
            }
            simulation::SimulatedNode::Server(name) => {
                self.servers.get(name).map(|s| &s.spec.domain)
            }
            simulation::SimulatedNode::Log => None,
        }
    }

    /// Restores all connections that were cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Reports whether the connection between two nodes is not cut.
    #[must_use]
    pub fn connected(
        &self,
        left: &simulation::SimulatedNode,
        right: &simulation::SimulatedNode,
    ) -> bool {
        !self.cuts.contains(&(left.clone(), right.clone()))
    }
}
