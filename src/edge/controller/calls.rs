//! Calls to the log, the host list, servers and other entry hosts, and the handling of their
//! responses.

use crate::authority;
use crate::clock::MonoClock as _;
use crate::configuration;
use crate::contract;
use crate::domain;
use crate::edge::controller;
use crate::edge::ports;
use crate::names;
use crate::peer;
use crate::record;
use actix::ActorFutureExt as _;
use actix::AsyncContext as _;
use actix::WrapFuture as _;

impl<L, S, P> controller::ControlActor<L, S, P>
where
    L: ports::PlatformLog + ports::HostList + Unpin,
    S: ports::ServerPort + Unpin,
    P: ports::PeerPort + Unpin,
{
    pub(super) fn read_log(&self, from: u64, ctx: &mut actix::Context<Self>) {
        let platform = self.ports.platform.clone();
        let call = async move { platform.read(from).await };
        let task = call.into_actor(self).map(|result, actor, ctx| {
            let now = actor.clock.now();
            match result {
                Ok(page) => {
                    let actions = actor.state.on_log_page(&page, now);
                    actor.perform_all(actions, ctx);
                }
                Err(error) => {
                    actor.metrics.count_port_error(&error);
                    actor.state.on_log_failed(now);
                }
            }
        });
        ctx.spawn(task);
    }

    pub(super) fn append(&self, record: record::LogRecord, ctx: &mut actix::Context<Self>) {
        let platform = self.ports.platform.clone();
        let id = record.id.clone();
        let call = async move { platform.append(&record).await };
        let task = call.into_actor(self).map(move |result, actor, _| {
            let now = actor.clock.now();
            match result {
                Ok(_) => actor.state.on_appended(&id, now),
                Err(error) => {
                    actor.metrics.count_port_error(&error);
                    actor.state.on_append_failed(now);
                }
            }
        });
        ctx.spawn(task);
    }

    pub(super) fn claim(
        &self,
        domain: names::DomainName,
        server: configuration::ServerSpec,
        order: contract::ClaimOrder,
        ctx: &mut actix::Context<Self>,
    ) {
        let servers = self.ports.servers.clone();
        let sent_at = self.clock.now();
        let name = server.name.clone();
        let sent = order.clone();
        let call = async move { servers.claim(&server, &order).await };
        let task = call.into_actor(self).map(move |result, actor, ctx| {
            let reply = match result {
                Ok(reply) => reply,
                Err(error) => return actor.metrics.count_port_error(&error),
            };
            let response = authority::ClaimResponse {
                server: name,
                sent_at,
                reply,
            };
            let now = actor.clock.now();
            let actions = actor.state.on_claim_reply(&domain, &sent, &response, now);
            actor.perform_all(actions, ctx);
        });
        ctx.spawn(task);
    }

    pub(super) fn lease(
        &self,
        domain: names::DomainName,
        server: configuration::ServerSpec,
        order: contract::LeaseOrder,
        ctx: &mut actix::Context<Self>,
    ) {
        let servers = self.ports.servers.clone();
        let sent_at = self.clock.now();
        let name = server.name.clone();
        let sent = order.clone();
        let call = async move { servers.lease(&server, &sent).await };
        let task = call.into_actor(self).map(move |result, actor, ctx| {
            let reply = match result {
                Ok(reply) => reply,
                Err(error) => return actor.metrics.count_port_error(&error),
            };
            let response = domain::LeaseResponse {
                server: name,
                order,
                sent_at,
                reply,
            };
            let now = actor.clock.now();
            let actions = actor.state.on_lease_reply(&domain, &response, now);
            actor.perform_all(actions, ctx);
        });
        ctx.spawn(task);
    }

    pub(super) fn exchange(
        &self,
        peer: std::net::SocketAddr,
        request: peer::ExchangeRequest,
        ctx: &mut actix::Context<Self>,
    ) {
        let peers = self.ports.peers.clone();
        let sent_at = self.clock.now();
        let call = async move { peers.exchange(peer, &request).await };
        let task = call
            .into_actor(self)
            .map(move |result, actor, ctx| match result {
                Ok(reply) => {
                    let now = actor.clock.now();
                    let actions = actor.state.on_exchange_reply(sent_at, &reply, now);
                    actor.perform_all(actions, ctx);
                }
                Err(error) => actor.metrics.count_port_error(&error),
            });
        ctx.spawn(task);
    }

    pub(super) fn read_hosts(&self, ctx: &mut actix::Context<Self>) {
        let platform = self.ports.platform.clone();
        let call = async move { platform.list().await };
        let task = call.into_actor(self).map(|result, actor, _| match result {
            Ok(listing) => actor.state.on_host_listing(&listing),
            Err(error) => actor.metrics.count_port_error(&error),
        });
        ctx.spawn(task);
    }
}
