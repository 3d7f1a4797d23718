//! Drives one request: performs the actions that its state machine asks for and reports each result
//! back to it as an event.

use std::sync;

use actix_web::web;

use crate::admission;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::contract;
use crate::edge::callers;
use crate::edge::dispatcher;
use crate::edge::exchange;
use crate::edge::reservation;
use crate::flow;
use crate::gate;
use crate::limit;
use crate::names;
use crate::outcome;
use crate::table;

/// An admitted request and what is needed to forward, queue and send it.
pub(crate) struct RequestDriver<'a> {
    pub(crate) head: &'a actix_web::HttpRequest,
    pub(crate) context: &'a callers::CallerContext,
    pub(crate) client: &'a exchange::OwnerClient,
    pub(crate) envelope: &'a admission::RequestEnvelope,
    pub(crate) arrived: clock::MonoTime,
    pub(crate) deadline: clock::MonoTime,
}

/// The state machine of a request and the resources that it holds.
struct DriverState {
    flow: flow::RequestFlow,
    permit: Option<dispatcher::SendPermit>,
    body: Option<exchange::WorkBody>,
    response: Option<exchange::WorkResponse>,
    reason: outcome::RefusalReason,
    server: Option<names::ServerName>,
    signal: limit::LimitSignal,
}

impl RequestDriver<'_> {
    pub(crate) async fn run(
        &self,
        body: exchange::WorkBody,
    ) -> Result<actix_web::HttpResponse, callers::RefusedRequest> {
        let replayable = matches!(body, exchange::WorkBody::Buffered(_));
        let chart = sync::Arc::clone(&self.context.chart);
        let flow =
            flow::RequestFlow::new(chart, self.envelope.idempotent).with_replayable(replayable);
        let mut state = DriverState {
            flow,
            permit: None,
            body: Some(body),
            response: None,
            reason: outcome::RefusalReason::DeadlineQueued,
            server: None,
            signal: limit::LimitSignal::Neutral,
        };
        let mut event = self.first_event();
        loop {
            let facts = self.facts(&mut state, event);
            let actions = state.flow.handle(event, facts);
            let mut next = None;
            for action in actions {
                match action {
                    flow::RequestAction::PassOn => {
                        next = Some(self.forward(&mut state).await);
                    }
                    flow::RequestAction::Enqueue => {
                        next = Some(self.wait_for_slot(&mut state).await);
                    }
                    flow::RequestAction::SendToOwner => {
                        next = Some(self.send_to_owner(&mut state).await);
                    }
                    flow::RequestAction::EnqueueAgain => {
                        self.context.metrics.count_retry(state.reason);
                        next = Some(self.wait_for_slot(&mut state).await);
                    }
                    other => apply_action(&mut state, other),
                }
            }
            match next {
                Some(next_event) => event = next_event,
                None => return self.respond(state),
            }
        }
    }

    fn facts(&self, state: &mut DriverState, event: flow::RequestEvent) -> flow::RequestFacts {
        let now = self.context.clock.now();
        let table = self.context.table.load();
        let feature = admission::check_feature(&table, self.envelope, now);
        if event == flow::RequestEvent::Permitted
            && let Err(reason) = feature
        {
            state.reason = reason;
        }
        flow::RequestFacts {
            feature_retired: feature.is_err(),
            no_time_left: now >= self.deadline,
        }
    }

    fn gate<'t>(&self, table: &'t table::RoutingTable) -> Option<&'t gate::GateHost> {
        let key = self.envelope.key.as_str();
        let route = table.lookup(&self.envelope.service, key)?.route?;
        table.gate_of(&route.server.name)
    }

    fn first_event(&self) -> flow::RequestEvent {
        if self.context.clock.now() >= self.deadline {
            return flow::RequestEvent::DeadlinePassed;
        }
        let table = self.context.table.load();
        let forwarded = self.head.headers().contains_key(exchange::FORWARDED_HEADER);
        if self.gate(&table).is_some() && !forwarded {
            flow::RequestEvent::GateElsewhere
        } else {
            flow::RequestEvent::GateHere
        }
    }

    async fn forward(&self, state: &mut DriverState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let Some(gate) = self.gate(&table) else {
            return flow::RequestEvent::ConnectFailed;
        };
        self.context.metrics.forwarded.inc();
        let target = exchange::WorkTarget::Gate(gate);
        self.send(state, target, table.hosts).await
    }

    async fn send(
        &self,
        state: &mut DriverState,
        target: exchange::WorkTarget<'_>,
        hosts: usize,
    ) -> flow::RequestEvent {
        let request = exchange::WorkRequest {
            target,
            id: &self.envelope.id,
            head: self.head,
            time_left: self.deadline.since(self.context.clock.now()),
        };
        let body = take_body(state);
        let sending = self.client.send(&request, hosts, body);
        let result = tokio::select! {
            result = tokio::time::timeout(request.time_left, sending) => result,
            () = self.context.ended() => {
                let fault = "the host ends".to_owned();
                Ok(Err(exchange::WorkFailure::Broken(fault)))
            }
            () = reservation::evicted(self.head) => {
                let fault = "the request gave way to others".to_owned();
                Ok(Err(exchange::WorkFailure::Broken(fault)))
            }
        };
        apply_result(state, result)
    }

    // Looks the route up again for each attempt, because the owner may have changed since a
    // refusal.
    async fn wait_for_slot(&self, state: &mut DriverState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let now = self.context.clock.now();
        let admitted = match admission::check(&table, self.envelope, self.arrived, now) {
            Ok(admitted) => admitted,
            Err(reason) => {
                state.reason = reason;
                return flow::RequestEvent::QueueRefused;
            }
        };
        state.server = Some(admitted.route.server.name.clone());
        let request = dispatcher::SlotRequest {
            server: sync::Arc::clone(&admitted.route.server),
            shard: admitted.lookup.shard.clone(),
            hosts: match table.gate_of(&admitted.route.server.name) {
                None => 1,
                Some(_) => table.hosts,
            },
            rank: admitted.rank,
            floors: table.floors(),
            arrived: self.arrived,
            deadline: self.deadline,
            is_retry: state.flow.retries() > 0,
        };
        let time_left = self.deadline.since(now);
        let acquired = tokio::select! {
            biased;
            () = self.context.ended() => Ok(Err(outcome::RefusalReason::Stopping)),
            acquired = tokio::time::timeout(time_left, self.context.dispatch.acquire(request)) => {
                acquired
            }
        };
        match acquired {
            Err(_) => flow::RequestEvent::DeadlinePassed,
            Ok(Err(reason)) => {
                state.reason = reason;
                flow::RequestEvent::QueueRefused
            }
            Ok(Ok(permit)) => {
                state.permit = Some(permit);
                state.signal = limit::LimitSignal::Neutral;
                flow::RequestEvent::Permitted
            }
        }
    }

    async fn send_to_owner(&self, state: &mut DriverState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let now = self.context.clock.now();
        let key = self.envelope.key.as_str();
        let lookup = table.lookup(&self.envelope.service, key);
        let route = lookup
            .as_ref()
            .ok_or(outcome::RefusalReason::UnknownService)
            .and_then(|lookup| Ok((lookup, admission::check_route(&table, lookup, now)?)));
        let (lookup, route) = match route {
            Ok(found) => found,
            Err(reason) => {
                state.reason = reason;
                return flow::RequestEvent::RefusedNotRun;
            }
        };
        if state.server.as_ref() != Some(&route.server.name) {
            state.reason = outcome::RefusalReason::WrongFence;
            return flow::RequestEvent::RefusedNotRun;
        }
        let target = exchange::WorkTarget::Owner(route, &lookup.shard);
        self.send(state, target, table.hosts).await
    }

    fn respond(
        &self,
        state: DriverState,
    ) -> Result<actix_web::HttpResponse, callers::RefusedRequest> {
        if let Some(response) = state.response {
            let from_gate = state.flow.was_forwarded();
            return Ok(callers::owner_response(
                response,
                &self.envelope.id,
                from_gate,
            ));
        }
        Err(callers::RefusedRequest {
            reason: state.reason.with_outcome(state.flow.outcome()),
            outcome: state.flow.outcome(),
            step: match state.flow.outcome() {
                outcome::RequestOutcome::Unknown => "exchange",
                _ => "dispatch",
            },
            peer: state.server,
            id: Some(self.envelope.id.clone()),
        })
    }
}

fn apply_action(state: &mut DriverState, action: flow::RequestAction) {
    match action {
        flow::RequestAction::ReleasePermit => {
            let signal = state.signal;
            if let Some(permit) = state.permit.take() {
                permit.finish(signal);
            }
        }
        flow::RequestAction::AnswerDeadlineNotRun => {
            state.reason = outcome::RefusalReason::DeadlineQueued;
        }
        flow::RequestAction::AnswerDeadlineUnknown => {
            state.reason = outcome::RefusalReason::DeadlineSent;
        }
        // `cancel-exchange` and `leave-queue` need no code: the timeout has dropped the future that
        // held the exchange or the queue ticket. The reasons of the other responses were set by the
        // results that led to them.
        _ => {}
    }
}

fn take_body(state: &mut DriverState) -> exchange::WorkBody {
    match state.body.take() {
        Some(exchange::WorkBody::Buffered(bytes)) => {
            state.body = Some(exchange::WorkBody::Buffered(bytes.clone()));
            exchange::WorkBody::Buffered(bytes)
        }
        Some(stream) => stream,
        None => exchange::WorkBody::Buffered(web::Bytes::new()),
    }
}

type TimedResult =
    Result<Result<exchange::WorkResponse, exchange::WorkFailure>, tokio::time::error::Elapsed>;

fn apply_result(state: &mut DriverState, result: TimedResult) -> flow::RequestEvent {
    match result {
        Err(_) => {
            state.signal = limit::LimitSignal::Overloaded;
            flow::RequestEvent::DeadlinePassed
        }
        Ok(Ok(response)) => {
            state.signal = limit::LimitSignal::Answered;
            state.response = Some(response);
            flow::RequestEvent::AnsweredWhole
        }
        Ok(Err(exchange::WorkFailure::NotConnected)) => {
            state.reason = outcome::RefusalReason::Unreachable;
            flow::RequestEvent::ConnectFailed
        }
        Ok(Err(exchange::WorkFailure::Refused(refusal))) => {
            state.reason = refusal.into();
            let overloaded = matches!(
                refusal,
                contract::ServerRefusal::Shed | contract::ServerRefusal::Late
            );
            if overloaded {
                state.signal = limit::LimitSignal::Overloaded;
            }
            flow::RequestEvent::RefusedNotRun
        }
        Ok(Err(exchange::WorkFailure::Broken(fault))) => {
            state.reason = outcome::RefusalReason::ExchangeBroken;
            let peer = state.server.as_ref().map(names::ServerName::as_str);
            tracing::debug!(event = "exchange-broken", step = "exchange", peer, fault);
            flow::RequestEvent::ExchangeBroken
        }
    }
}
