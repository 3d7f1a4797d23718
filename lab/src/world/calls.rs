//! Messages on their way: to the log, servers and peers.

use crate::world;
use std::net;
use std::time;
use zinniastack::authority;
use zinniastack::clock;
use zinniastack::control;
use zinniastack::domain;
use zinniastack::names;
use zinniastack::peer;

impl world::LabWorld {
    fn call_log(&mut self, name: &names::HostName, life: u64, call: world::LogCall) {
        let failed = match call {
            world::LogCall::Read(_) => world::HostCall::LogFailed,
            world::LogCall::Append(_) => world::HostCall::AppendFailed,
        };
        let event = world::WorldEvent::Log {
            from: name.clone(),
            life,
            call,
        };
        let here = world::WorldNode::Host(name.clone());
        if !self.travel(&here, &world::WorldNode::Log, event) {
            let wait = time::Duration::from_millis(world::LOG_TIMEOUT_MS);
            self.push_host(name, life, failed, wait);
        }
    }

    fn call_server(
        &mut self,
        name: &names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        server: names::ServerName,
        call: world::ServerCall,
    ) {
        self.sent.orders += 1;
        let here = world::WorldNode::Host(name.clone());
        let there = world::WorldNode::Server(server.clone());
        let event = world::WorldEvent::Server {
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
        let event = world::WorldEvent::Host {
            host: peer.clone(),
            life,
            call: world::HostCall::Exchange(name.clone(), sent_at, request),
        };
        let (here, there) = (
            world::WorldNode::Host(name.clone()),
            world::WorldNode::Host(peer),
        );
        self.travel(&here, &there, event);
    }

    pub(super) fn deliver_server(
        &mut self,
        name: &names::ServerName,
        from: names::HostName,
        life: u64,
        sent_at: clock::MonoTime,
        call: world::ServerCall,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.frozen {
            server.held.push(world::WorldEvent::Server {
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
            world::ServerCall::Claim(domain, order) => {
                let reply = state.claim(&order, time);
                let answer = authority::ClaimAnswer {
                    server: name.clone(),
                    sent_at,
                    reply,
                };
                world::HostCall::ClaimReply(domain, order, answer)
            }
            world::ServerCall::Lease(domain, order) => {
                let reply = state.lease(&order, time);
                let answer = domain::LeaseAnswer {
                    server: name.clone(),
                    order,
                    sent_at,
                    reply,
                };
                world::HostCall::LeaseReply(domain, answer)
            }
        };
        let there = world::WorldNode::Host(from.clone());
        let event = world::WorldEvent::Host {
            host: from,
            life,
            call: reply,
        };
        self.travel(&world::WorldNode::Server(name.clone()), &there, event);
    }

    pub(super) fn deliver_log(&mut self, from: &names::HostName, life: u64, call: world::LogCall) {
        let (answer, failed) = match call {
            world::LogCall::Read(offset) => (
                self.log.read(offset).map(world::HostCall::LogPage),
                world::HostCall::LogFailed,
            ),
            world::LogCall::Append(record) => (
                self.log
                    .append(record.encode())
                    .map(|_| world::HostCall::Appended(record.id)),
                world::HostCall::AppendFailed,
            ),
        };
        let there = world::WorldNode::Host(from.clone());
        let connected = self.connected(&world::WorldNode::Log, &there);
        let slow = time::Duration::from_millis(self.log.faults.slow_ms);
        let call = answer.filter(|_| connected).unwrap_or(failed);
        let delay = self.delay() + slow;
        self.push_host(from, life, call, delay);
    }

    pub(super) fn deliver_host(
        &mut self,
        name: &names::HostName,
        life: u64,
        call: world::HostCall,
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
            host.held.push(world::WorldEvent::Host {
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
            world::HostCall::Tick => {
                let actions = state.tick(time);
                let next = time::Duration::from_millis(world::TICK_MS);
                self.push_host(name, life, world::HostCall::Tick, next);
                actions
            }
            world::HostCall::LogPage(page) => state.on_log_page(&page, time),
            world::HostCall::LogFailed => {
                state.on_log_failed(time);
                Vec::new()
            }
            world::HostCall::Appended(id) => {
                state.on_appended(&id, time);
                Vec::new()
            }
            world::HostCall::AppendFailed => {
                state.on_append_failed(time);
                Vec::new()
            }
            world::HostCall::ClaimReply(domain, order, answer) => {
                state.on_claim_reply(&domain, &order, &answer, time)
            }
            world::HostCall::LeaseReply(domain, answer) => {
                state.on_lease_reply(&domain, &answer, time)
            }
            world::HostCall::ExchangeReply(sent_at, reply) => {
                state.on_exchange_reply(sent_at, &reply, time)
            }
            world::HostCall::Exchange(from, sent_at, request) => {
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
        let event = world::WorldEvent::Host {
            host: from.clone(),
            life,
            call: world::HostCall::ExchangeReply(sent_at, reply),
        };
        let (here, there) = (
            world::WorldNode::Host(name.clone()),
            world::WorldNode::Host(from.clone()),
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
                self.call_log(name, life, world::LogCall::Read(from));
            }
            control::ControlAction::Append(record) => {
                self.sent.appends += 1;
                self.call_log(name, life, world::LogCall::Append(record));
            }
            control::ControlAction::Claim {
                domain,
                server,
                order,
            } => {
                let call = world::ServerCall::Claim(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Lease {
                domain,
                server,
                order,
            } => {
                let call = world::ServerCall::Lease(domain, order);
                self.call_server(name, life, time, server.name, call);
            }
            control::ControlAction::Exchange { peer, request } => {
                self.call_peer(name, time, peer, request);
            }
            control::ControlAction::Publish(_) | control::ControlAction::Note(_) => {}
        }
    }
}
