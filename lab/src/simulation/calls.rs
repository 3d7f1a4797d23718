//! Sends and delivers messages between hosts, servers and the log.

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
    fn call_log(&mut self, name: &names::HostName, generation: u64, call: simulation::LogCall) {
        let failed = match call {
            simulation::LogCall::Read(_) => simulation::HostCall::LogFailed,
            simulation::LogCall::Append(_) => simulation::HostCall::AppendFailed,
        };
        let event = simulation::SimulationEvent::Log {
            from: name.clone(),
            generation,
            call,
        };
        let sender = simulation::SimulatedNode::Host(name.clone());
        if !self.transmit(&sender, &simulation::SimulatedNode::Log, event) {
            let wait = time::Duration::from_millis(simulation::LOG_TIMEOUT_MS);
            self.push_host(name, generation, failed, wait);
        }
    }

    fn call_server(
        &mut self,
        name: &names::HostName,
        generation: u64,
        sent_at: clock::MonoTime,
        server: names::ServerName,
        call: simulation::ServerCall,
    ) {
        self.sent.orders += 1;
        let sender = simulation::SimulatedNode::Host(name.clone());
        let receiver = simulation::SimulatedNode::Server(server.clone());
        let event = simulation::SimulationEvent::Server {
            server,
            from: name.clone(),
            generation,
            sent_at,
            call,
        };
        self.transmit(&sender, &receiver, event);
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
        let Some((peer, generation)) = found.map(|host| (host.spec.name.clone(), host.generation))
        else {
            return;
        };
        let event = simulation::SimulationEvent::Host {
            host: peer.clone(),
            generation,
            call: simulation::HostCall::Exchange(name.clone(), sent_at, request),
        };
        let (sender, receiver) = (
            simulation::SimulatedNode::Host(name.clone()),
            simulation::SimulatedNode::Host(peer),
        );
        self.transmit(&sender, &receiver, event);
    }

    pub(super) fn deliver_server(
        &mut self,
        name: &names::ServerName,
        from: names::HostName,
        generation: u64,
        sent_at: clock::MonoTime,
        call: simulation::ServerCall,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.frozen {
            server.deferred.push(simulation::SimulationEvent::Server {
                server: name.clone(),
                from,
                generation,
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
                let response = authority::ClaimResponse {
                    server: name.clone(),
                    sent_at,
                    reply,
                };
                simulation::HostCall::ClaimReply(domain, order, response)
            }
            simulation::ServerCall::Lease(domain, order) => {
                let reply = state.lease(&order, time);
                let response = domain::LeaseResponse {
                    server: name.clone(),
                    order,
                    sent_at,
                    reply,
                };
                simulation::HostCall::LeaseReply(domain, response)
            }
        };
        let receiver = simulation::SimulatedNode::Host(from.clone());
        let event = simulation::SimulationEvent::Host {
            host: from,
            generation,
            call: reply,
        };
        self.transmit(
            &simulation::SimulatedNode::Server(name.clone()),
            &receiver,
            event,
        );
    }

    pub(super) fn deliver_log(
        &mut self,
        from: &names::HostName,
        generation: u64,
        call: simulation::LogCall,
    ) {
        let (response, failed) = match call {
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
        let receiver = simulation::SimulatedNode::Host(from.clone());
        let connected = self.connected(&simulation::SimulatedNode::Log, &receiver);
        let slow = time::Duration::from_millis(self.log.faults.slow_ms);
        let call = response.filter(|_| connected).unwrap_or(failed);
        let delay = self.delay() + slow;
        self.push_host(from, generation, call, delay);
    }

    pub(super) fn deliver_host(
        &mut self,
        name: &names::HostName,
        generation: u64,
        call: simulation::HostCall,
    ) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.generation != generation {
            return;
        }
        if host.paused {
            let host_name = name.clone();
            host.deferred.push(simulation::SimulationEvent::Host {
                host: host_name,
                generation,
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
                self.push_host(name, generation, simulation::HostCall::Tick, next);
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
            simulation::HostCall::ClaimReply(domain, order, response) => {
                state.on_claim_reply(&domain, &order, &response, time)
            }
            simulation::HostCall::LeaseReply(domain, response) => {
                state.on_lease_reply(&domain, &response, time)
            }
            simulation::HostCall::ExchangeReply(sent_at, reply) => {
                state.on_exchange_reply(sent_at, &reply, time)
            }
            simulation::HostCall::Exchange(from, sent_at, request) => {
                let reply = state.on_exchange(&request, time);
                self.reply_to_exchange(name, &from, sent_at, reply);
                Vec::new()
            }
        };
        for action in actions {
            self.perform(name, generation, time, action);
        }
    }

    fn reply_to_exchange(
        &mut self,
        name: &names::HostName,
        from: &names::HostName,
        sent_at: clock::MonoTime,
        reply: peer::ExchangeReply,
    ) {
        let Some(generation) = self.hosts.get(from).map(|host| host.generation) else {
            return;
        };
        let event = simulation::SimulationEvent::Host {
            host: from.clone(),
            generation,
            call: simulation::HostCall::ExchangeReply(sent_at, reply),
        };
        let (sender, receiver) = (
            simulation::SimulatedNode::Host(name.clone()),
            simulation::SimulatedNode::Host(from.clone()),
        );
        self.transmit(&sender, &receiver, event);
    }

    fn perform(
        &mut self,
        name: &names::HostName,
        generation: u64,
        time: clock::MonoTime,
        action: control::ControlAction,
    ) {
        match action {
            control::ControlAction::ReadLog { from } => {
                self.call_log(name, generation, simulation::LogCall::Read(from));
            }
            control::ControlAction::Append(record) => {
                self.sent.appends += 1;
                self.call_log(name, generation, simulation::LogCall::Append(record));
            }
            control::ControlAction::Claim {
                domain,
                server,
                order,
            } => {
                let call = simulation::ServerCall::Claim(domain, order);
                self.call_server(name, generation, time, server.name, call);
            }
            control::ControlAction::Lease {
                domain,
                server,
                order,
            } => {
                let call = simulation::ServerCall::Lease(domain, order);
                self.call_server(name, generation, time, server.name, call);
            }
            control::ControlAction::Exchange { peer, request } => {
                self.call_peer(name, time, peer, request);
            }
            control::ControlAction::Publish(_) | control::ControlAction::LogEvent(_) => {}
        }
    }
}
