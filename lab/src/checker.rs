//! Checks the invariants of ownership after every event of a simulation: each shard has at most one
//! owner and is never served under a lower fence than before, and on no host does the configuration
//! version decrease or an assignment disappear.

use std::collections;
use std::time;

use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::fence;
use zinniastack::names;

use crate::simulation;

/// The maximum number of violations that are kept; later ones are dropped.
pub const MAX_VIOLATIONS: usize = 8;

/// Checks the invariants of a simulation and measures how long shards are unserved.
#[derive(Debug, Default)]
pub struct SimulationChecker {
    violations: Vec<String>,
    accepted: collections::BTreeMap<names::ShardId, fence::GrantFence>,
    versions: collections::BTreeMap<names::HostName, VersionSeen>,
    assigned: collections::BTreeMap<names::HostName, AssignmentsSeen>,
    sendable: collections::BTreeMap<names::ShardId, Vec<SendableRoute>>,
    unserved_since: collections::BTreeMap<names::ShardId, clock::MonoTime>,
    longest_unserved: time::Duration,
    moves: u64,
    owners: collections::BTreeMap<names::ShardId, names::ServerName>,
}

#[derive(Debug)]
struct VersionSeen {
    generation: u64,
    version: u64,
}

#[derive(Debug)]
struct AssignmentsSeen {
    generation: u64,
    offset: u64,
    fences: collections::BTreeMap<names::ShardId, fence::GrantFence>,
}

#[derive(Debug)]
struct SendableRoute {
    server: names::ServerName,
    at: clock::MonoTime,
}

impl SimulationChecker {
    /// Creates a checker without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the descriptions of the violations, the earliest first.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the longest time for which a shard was unserved since the last mark.
    #[must_use]
    pub fn longest_unserved(&self, simulation: &simulation::LabSimulation) -> time::Duration {
        let open = self.unserved_since.values();
        let open = open.map(|since| simulation.now().since(*since)).max();
        self.longest_unserved.max(open.unwrap_or_default())
    }

    /// Returns the number of changes of a shard's owner since the last mark.
    #[must_use]
    pub const fn moves(&self) -> u64 {
        self.moves
    }

    /// Returns the number of shards that some host can serve.
    #[must_use]
    pub fn served(&self, simulation: &simulation::LabSimulation) -> usize {
        shards(simulation).len() - self.unserved_since.len()
    }

    /// Resets the measurements: the longest unserved time and the number of moves.
    pub fn mark(&mut self, now: clock::MonoTime) {
        self.longest_unserved = time::Duration::ZERO;
        self.moves = 0;
        self.unserved_since
            .values_mut()
            .for_each(|since| *since = now);
    }

    /// Checks the current state of the simulation.
    pub fn check(&mut self, simulation: &simulation::LabSimulation) {
        self.check_versions(simulation);
        self.check_assignments(simulation);
        self.check_owners(simulation);
        self.check_requests(simulation);
    }

    fn report(&mut self, simulation: &simulation::LabSimulation, violation: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            let millis = simulation.now().as_millis();
            self.violations.push(format!("at {millis} ms: {violation}"));
        }
    }

    fn check_versions(&mut self, simulation: &simulation::LabSimulation) {
        for (name, host) in &simulation.hosts {
            let Some(state) = &host.state else {
                continue;
            };
            let version = state.replay().state().version;
            let generation = host.generation();
            let seen = self
                .versions
                .get(name)
                .filter(|seen| seen.generation == generation);
            let decreased = seen.is_some_and(|seen| seen.version > version);
            if decreased {
                self.report(
                    simulation,
                    &format!("configuration version decreased at {name}"),
                );
            }
            self.versions.insert(
                name.clone(),
                VersionSeen {
                    generation,
                    version,
                },
            );
        }
    }

    fn check_assignments(&mut self, simulation: &simulation::LabSimulation) {
        for (name, host) in &simulation.hosts {
            let Some(state) = &host.state else {
                continue;
            };
            let replay = state.replay().state();
            let generation = host.generation();
            let seen = self
                .assigned
                .get(name)
                .filter(|seen| seen.generation == generation);
            if seen.is_some_and(|seen| seen.offset == replay.next_offset) {
                continue;
            }
            let fences: collections::BTreeMap<_, _> = replay
                .assignments
                .iter()
                .map(|(shard, assignment)| (shard.clone(), assignment.fence.clone()))
                .collect();
            let lost = seen.and_then(|seen| {
                let mut old = seen.fences.iter();
                let lost = old.find(|(shard, fence)| fences.get(shard) < Some(fence));
                lost.map(|(shard, _)| shard.clone())
            });
            if let Some(shard) = lost.filter(|shard| !is_home_given_up(simulation, name, shard)) {
                self.report(
                    simulation,
                    &format!("assignment of {shard} lost or replaced by a lower fence at {name}"),
                );
            }
            let offset = replay.next_offset;
            let seen = AssignmentsSeen {
                generation,
                offset,
                fences,
            };
            self.assigned.insert(name.clone(), seen);
        }
    }

    fn check_owners(&mut self, simulation: &simulation::LabSimulation) {
        let mut owners: collections::BTreeMap<names::ShardId, Vec<names::ServerName>> =
            collections::BTreeMap::new();
        for (name, server) in &simulation.servers {
            let Some(state) = server.state.as_ref().filter(|state| state.is_checked()) else {
                continue;
            };
            for shard in state.owned(server.time(simulation.now())) {
                owners.entry(shard.clone()).or_default().push(name.clone());
            }
        }
        self.record_sendable(simulation);
        for (shard, routes) in &self.sendable {
            let servers = routes.iter().map(|route| route.server.clone());
            owners.entry(shard.clone()).or_default().extend(servers);
        }
        for (shard, servers) in owners {
            let Some(first) = servers.first() else {
                continue;
            };
            if servers.len() > 1 {
                let list: Vec<_> = servers.iter().map(ToString::to_string).collect();
                self.report(
                    simulation,
                    &format!("{shard} has several owners: {}", list.join(", ")),
                );
            }
            self.record_owner(&shard, first);
        }
    }

    fn record_owner(&mut self, shard: &names::ShardId, server: &names::ServerName) {
        let former = self.owners.insert(shard.clone(), server.clone());
        if former.is_some_and(|former| former != *server) {
            self.moves += 1;
        }
    }

    // An unchecked server counts as an owner while any host may send to it, and for one request
    // deadline after that, because the last request sent may still be running.
    fn record_sendable(&mut self, simulation: &simulation::LabSimulation) {
        let now = simulation.now();
        let deadline = time::Duration::from_millis(simulation::DEADLINE_MS);
        for routes in self.sendable.values_mut() {
            routes.retain(|route| now.since(route.at) < deadline);
        }
        for host in simulation.hosts.values().filter(|host| !host.paused) {
            let Some(state) = &host.state else {
                continue;
            };
            let table = state.routing();
            let Some(service) = table.service(simulation::UNCHECKED_SERVICE) else {
                continue;
            };
            let time = host.time(now);
            for (index, route) in (0..).zip(service.routes()) {
                let open = route.filter(|route| table.may_send(&route.server, time));
                let Some(route) = open else {
                    continue;
                };
                let shard = names::ShardId::new(service.spec.name.clone(), index);
                let known = self.sendable.entry(shard).or_default();
                let server = route.server.name.clone();
                match known.iter_mut().find(|known| known.server == server) {
                    Some(known) => known.at = now,
                    None => known.push(SendableRoute { server, at: now }),
                }
            }
        }
    }

    // Determines for each host and shard whether a request sent now would be accepted.
    fn check_requests(&mut self, simulation: &simulation::LabSimulation) {
        let mut served = collections::BTreeSet::new();
        for (name, host) in simulation.hosts.iter().filter(|(_, host)| !host.paused) {
            let Some(state) = &host.state else {
                continue;
            };
            let sender = simulation::SimulatedNode::Host(name.clone());
            let time = host.time(simulation.now());
            let table = state.routing();
            for service in table.services() {
                for (index, route) in (0..).zip(service.routes()) {
                    let Some(route) = route.filter(|route| table.may_send(&route.server, time))
                    else {
                        continue;
                    };
                    let shard = names::ShardId::new(service.spec.name.clone(), index);
                    if accepts(simulation, &sender, &shard, route) {
                        self.record_accepted(simulation, &shard, &route.fence);
                        served.insert(shard);
                    }
                }
            }
        }
        self.record_served(simulation, &served);
    }

    fn record_accepted(
        &mut self,
        simulation: &simulation::LabSimulation,
        shard: &names::ShardId,
        fence: &fence::GrantFence,
    ) {
        let higher = self.accepted.get(shard).filter(|known| *known > fence);
        if let Some(known) = higher {
            let violation =
                format!("{shard} served under fence {fence} after the higher fence {known}");
            self.report(simulation, &violation);
        } else {
            self.accepted.insert(shard.clone(), fence.clone());
        }
    }

    fn record_served(
        &mut self,
        simulation: &simulation::LabSimulation,
        served: &collections::BTreeSet<names::ShardId>,
    ) {
        for shard in shards(simulation) {
            if !served.contains(&shard) {
                self.unserved_since.entry(shard).or_insert(simulation.now());
                continue;
            }
            if let Some(since) = self.unserved_since.remove(&shard) {
                let duration = simulation.now().since(since);
                self.longest_unserved = self.longest_unserved.max(duration);
            }
        }
    }
}

// Reports whether the shard's configured home was given up. Such a shard is assigned anew, so its
// old assignment may disappear.
fn is_home_given_up(
    simulation: &simulation::LabSimulation,
    host: &names::HostName,
    shard: &names::ShardId,
) -> bool {
    let state = simulation
        .hosts
        .get(host)
        .and_then(|host| host.state.as_ref());
    let configuration = state.map(|state| &state.replay().state().configuration);
    configuration.is_some_and(|configuration| {
        let service = configuration.find_service(&shard.service);
        let home = service.map(|spec| &spec.homes[shard.index as usize % spec.homes.len()]);
        let domain = home.and_then(|home| configuration.find_domain(home));
        domain.is_some_and(configuration::DomainSpec::is_gone)
    })
}

fn accepts(
    simulation: &simulation::LabSimulation,
    sender: &simulation::SimulatedNode,
    shard: &names::ShardId,
    route: &zinniastack::table::ShardRoute,
) -> bool {
    let Some(server) = simulation.servers.get(&route.server.name) else {
        return false;
    };
    let receiver = simulation::SimulatedNode::Server(route.server.name.clone());
    let Some(state) = server.state.as_ref().filter(|_| !server.frozen) else {
        return false;
    };
    if !simulation.connected(sender, &receiver) {
        return false;
    }
    let held = state.fence_of(shard) == Some(&route.fence);
    !state.is_checked() || (held && state.has_lease(server.time(simulation.now())))
}

fn shards(simulation: &simulation::LabSimulation) -> Vec<names::ShardId> {
    simulation.shards().to_vec()
}
