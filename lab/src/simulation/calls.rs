//! Messages on their way: to the log, servers and peers.

use crate::simulation;
use std::net;
use std::time;
use zinniastack::authority;
use zinniastack::clock;
use zinniastack::control;
use zinniastack::domain;
use zinniastack::names;
use zinniastack::peer;

impl simulation::LabSimulation {
    fn call_log(&mut self, name: &names::HostName, life: u64, call: simulation::LogCall) {
        let failed = match call {
            simulation::LogCall::Read(_) => simulation::HostCall::LogFailed,
            simulation::LogCall::Append(_) => simulation::HostCall::AppendFailed,
        };
        let event = simulation::SimulationEvent::Log {
            from: name.clone(),
            life,
            call,
        };
        let here = simulation::SimulatedNode::Host(name.clone());
        if !self.travel(&here, &simulation::SimulatedNode::Log, event) {
            let wait = time::Duration::from_millis(simulation::LOG_TIMEOUT_MS);
            self.push_host(name, life, failed, wait);
        }
    }

    fn call_server(
        &mut self,
        name: &names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        server: names::ServerName,
        call: simulation::ServerCall,
    ) {
        self.sent.orders += 1;
        let here = simulation::SimulatedNode::Host(name.clone());
        let there = simulation::SimulatedNode::Server(server.clone());
        let event = simulation::SimulationEvent::Server {
            server,
            from: name.clone(),
            life,
            sent_at,
            call,
        };
        self.travel(&here, &there, event);
    }

    fn call_peer(
        &mut self,
        name: &names::HostName,
        sent_at: clock::MonoTime,
        address: net::SocketAddr,
        request: peer::ExchangeRequest,
    ) {
        self.sent.exchanges += 1;
        let found = self.hosts.values().find(|host| host.spec.peer == address);
        let Some((peer, life)) = found.map(|host| (host.spec.name.clone(), host.life)) else {
            return;
        };
        let event = simulation::SimulationEvent::Host {
            host: peer.clone(),
            life,
            call: simulation::HostCall::Exchange(name.clone(), sent_at, request),
        };
        let (here, there) = (
            simulation::SimulatedNode::Host(name.clone()),
            simulation::SimulatedNode::Host(peer),
        );
        self.travel(&here, &there, event);
    }

    pub(super) fn deliver_server(
        &mut self,
        name: &names::ServerName,
        from: names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        call: simulation::ServerCall,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.frozen {
            server.held.push(simulation::SimulationEvent::Server {
                server: name.clone(),
                from,
                life,
                sent_at,
                call,
            });
            return;
        }
        let time = server.clock.read(now);
        let Some(state) = &mut server.state else {
            return;
        };
        let reply = match call {
            simulation::ServerCall::Claim(domain, order) => {
                let reply = state.claim(&order, time);
                let answer = authority::ClaimResponse {
                    server: name.clone(),
                    sent_at,
                    reply,
                };
                simulation::HostCall::ClaimReply(domain, order, answer)
            }
            simulation::ServerCall::Lease(domain, order) => {
                let reply = state.lease(&order, time);
                let answer = domain::LeaseResponse {
                    server: name.clone(),
                    order,
                    sent_at,
                    reply,
                };
                simulation::HostCall::LeaseReply(domain, answer)
            }
        };
        let there = simulation::SimulatedNode::Host(from.clone());
        let event = simulation::SimulationEvent::Host {
            host: from,
            life,
            call: reply,
        };
        self.travel(
            &simulation::SimulatedNode::Server(name.clone()),
            &there,
            event,
        );
    }

    pub(super) fn deliver_log(
        &mut self,
        from: &names::HostName,
        life: u64,
        call: simulation::LogCall,
    ) {
        let (answer, failed) = match call {
            simulation::LogCall::Read(offset) => (
                self.log.read(offset).map(simulation::HostCall::LogPage),
                simulation::HostCall::LogFailed,
            ),
            simulation::LogCall::Append(record) => (
                self.log
                    .append(record.encode())
                    .map(|_| simulation::HostCall::Appended(record.id)),
                simulation::HostCall::AppendFailed,
            ),
        };
        let there = simulation::SimulatedNode::Host(from.clone());
        let connected = self.connected(&simulation::SimulatedNode::Log, &there);
        let slow = time::Duration::from_millis(self.log.faults.slow_ms);
        let call = answer.filter(|_| connected).unwrap_or(failed);
        let delay = self.delay() + slow;
        self.push_host(from, life, call, delay);
    }

    pub(super) fn deliver_host(
        &mut self,
        name: &names::HostName,
        life: u64,
        call: simulation::HostCall,
    ) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.life != life {
            return;
        }
        if host.paused {
            let host_name = name.clone();
            host.held.push(simulation::SimulationEvent::Host {
                host: host_name,
                life,
                call,
            });
            return;
        }
        let time = host.clock.read(now);
        let Some(state) = &mut host.state else {
            return;
        };
        let actions = match call {
            simulation::HostCall::Tick => {
                let actions = state.tick(time);
                let next = time::Duration::from_millis(simulation::TICK_MS);
                self.push_host(name, life, simulation::HostCall::Tick, next);
                actions
            }
            simulation::HostCall::LogPage(page) => state.on_log_page(&page, time),
            simulation::HostCall::LogFailed => {
                state.on_log_failed(time);
                Vec::new()
            }
            simulation::HostCall::Appended(id) => {
                state.on_appended(&id, time);
                Vec::new()
            }
            simulation::HostCall::AppendFailed => {
                state.on_append_failed(time);
                Vec::new()
            }
            simulation::HostCall::ClaimReply(domain, order, answer) => {
                state.on_claim_reply(&domain, &order, &answer, time)
            }
            simulation::HostCall::LeaseReply(domain, answer) => {
                state.on_lease_reply(&domain, &answer, time)
            }
            simulation::HostCall::ExchangeReply(sent_at, reply) => {
                state.on_exchange_reply(sent_at, &reply, time)
            }
            simulation::HostCall::Exchange(from, sent_at, request) => {
                let reply = state.on_exchange(&request, time);
                self.answer_exchange(name, &from, sent_at, reply);
                Vec::new()
            }
        };
        for action in actions {
            self.perform(name, life, time, action);
        }
    }

    fn answer_exchange(
        &mut self,
        name: &names::HostName,
        from: &names::HostName,
        sent_at: clock::MonoTime,
        reply: peer::ExchangeReply,
    ) {
        let Some(life) = self.hosts.get(from).map(|host| host.life) else {
            return;
        };
        let event = simulation::SimulationEvent::Host {
            host: from.clone(),
            life,
            call: simulation::HostCall::ExchangeReply(sent_at, reply),
        };
        let (here, there) = (
            simulation::SimulatedNode::Host(name.clone()),
            simulation::SimulatedNode::Host(from.clone()),
        );
        self.travel(&here, &there, event);
    }

    fn perform(
        &mut self,
        name: &names::HostName,
        life: u64,
        time: clock::MonoTime,
        action: control::ControlAction,
    ) {
        match action {
            control::ControlAction::ReadLog { from } => {
                self.call_log(name, life, simulation::LogCall::Read(from));
            }
            control::ControlAction::Append(record) => {
                self.sent.appends += 1;
                self.call_log(name, life, simulation::LogCall::Append(record));
            }
            control::ControlAction::Claim {
                domain,
                server,
                order,
            } => {
                let call = simulation::ServerCall::Claim(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Lease {
                domain,
                server,
                order,
            } => {
                let call = simulation::ServerCall::Lease(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Exchange { peer, request } => {
                self.call_peer(name, time, peer, request);
            }
            control::ControlAction::Publish(_) | control::ControlAction::LogEvent(_) => {}
        }
    }
}
