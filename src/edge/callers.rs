//! The callers' front end: parses a request, runs its flow, and writes the answer.

use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;

use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::contract;
use crate::door;
use crate::edge::controller;
use crate::edge::dispatcher;
use crate::edge::exchange;
use crate::edge::metrics;
use crate::flow;
use crate::limit;
use crate::names;
use crate::outcome;
use crate::table;

/// The header by which a caller says that a request may run twice.
pub const IDEMPOTENT_HEADER: &str = "zinnia-idempotent";
/// Bodies above this size are passed on as they come, and never sent again, in bytes.
pub const BUFFERED_BODY_BYTES: u64 = 256 * 1_024;
/// What a refused caller is told to wait, in seconds.
pub const RETRY_AFTER_S: u64 = 1;

/// What the traffic threads share: all of it immutable or atomic.
pub struct CallerContext {
    /// The clock that the control thread reads as well.
    pub clock: clock::SystemClock,
    /// The routing table.
    pub table: controller::SharedTable,
    /// The way to the dispatch thread.
    pub dispatch: dispatcher::DispatchHandle,
    /// The chart `request`.
    pub chart: sync::Arc<chart::ChartTable<flow::RequestVocabulary>>,
    /// The host's metrics.
    pub metrics: sync::Arc<metrics::HostMetrics>,
    /// Whether the host is stopping.
    pub stopping: atomic::AtomicBool,
}

/// How a request ended without its owner's answer.
struct RefusedRequest {
    reason: outcome::RefusalReason,
    outcome: outcome::RequestOutcome,
    step: &'static str,
    peer: Option<names::ServerName>,
    id: Option<names::RequestId>,
}

impl RefusedRequest {
    const fn new(reason: outcome::RefusalReason, step: &'static str) -> Self {
        Self {
            reason,
            outcome: outcome::RequestOutcome::NotRun,
            step,
            peer: None,
            id: None,
        }
    }

    fn with_id(mut self, id: &names::RequestId) -> Self {
        self.id = Some(id.clone());
        self
    }
}

/// Handles one caller's request.
pub async fn handle(
    head: actix_web::HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> actix_web::HttpResponse {
    let arrived = context.clock.now();
    let _guard = InFlightGuard::new(&context.metrics);
    let result = serve(&head, payload, &context, arrived).await;
    let elapsed = context.clock.now().since(arrived);
    context.metrics.latency.observe(elapsed.as_secs_f64());
    let mut response = match result {
        Ok(response) => {
            context.metrics.answered.inc();
            response
        }
        Err(refused) => {
            context.metrics.count_refusal(refused.reason);
            refusal_response(&refused)
        }
    };
    if context.stopping.load(atomic::Ordering::Relaxed) {
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

struct InFlightGuard<'a>(&'a metrics::HostMetrics);

impl<'a> InFlightGuard<'a> {
    fn new(metrics: &'a metrics::HostMetrics) -> Self {
        metrics.begin_request();
        Self(metrics)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

async fn serve(
    head: &actix_web::HttpRequest,
    payload: web::Payload,
    context: &CallerContext,
    arrived: clock::MonoTime,
) -> Result<actix_web::HttpResponse, RefusedRequest> {
    let envelope = parse(head)?;
    let table = context.table.load_full();
    let now = context.clock.now();
    let pass = door::check(&table, &envelope, arrived, now)
        .map_err(|reason| RefusedRequest::new(reason, "check-request").with_id(&envelope.id))?;
    let deadline = pass.deadline;
    let limit = pass.lookup.service.max_body_bytes;
    let body = read_body(payload, &envelope, limit, context, deadline).await?;
    let client = head.app_data::<exchange::OwnerClient>();
    let Some(client) = client else {
        return Err(RefusedRequest::new(
            outcome::RefusalReason::Starting,
            "find-client",
        ));
    };
    let journey = RequestJourney {
        head,
        context,
        client,
        envelope: &envelope,
        arrived,
        deadline,
    };
    journey.run(body).await
}

fn header<'a>(head: &'a actix_web::HttpRequest, name: &str) -> Option<&'a str> {
    head.headers().get(name).map(|v| v.to_str().unwrap_or(""))
}

/// Reads the request's head.
fn parse(head: &actix_web::HttpRequest) -> Result<door::RequestEnvelope, RefusedRequest> {
    let malformed = || RefusedRequest::new(outcome::RefusalReason::Malformed, "parse-request");
    let id = header(head, contract::REQUEST_ID_HEADER).ok_or_else(malformed)?;
    let id = names::RequestId::new(id).map_err(|_| malformed())?;
    let faulty = || malformed().with_id(&id);
    let service = head.match_info().get("service").ok_or_else(faulty)?;
    let key = head.match_info().get("key").ok_or_else(faulty)?;
    let key = names::KeyName::new(key).map_err(|_| faulty())?;
    let deadline_ms = header(head, contract::DEADLINE_HEADER)
        .map(|text| text.parse().map_err(|_| faulty()))
        .transpose()?;
    let feature = header(head, contract::FEATURE_HEADER)
        .map(|text| names::FeatureName::new(text).map_err(|_| faulty()))
        .transpose()?;
    let idempotent = match header(head, IDEMPOTENT_HEADER) {
        None => head.method().is_idempotent(),
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(faulty()),
    };
    let body_bytes = header(head, http::header::CONTENT_LENGTH.as_str())
        .map(|text| text.parse().map_err(|_| faulty()))
        .transpose()?;
    Ok(door::RequestEnvelope {
        service: service.into(),
        key,
        id: id.clone(),
        deadline_ms,
        feature,
        idempotent,
        body_bytes,
    })
}

// Small bodies are read whole before a slot is asked for, so that a slow caller holds none.
async fn read_body(
    mut payload: web::Payload,
    envelope: &door::RequestEnvelope,
    limit: u64,
    context: &CallerContext,
    deadline: clock::MonoTime,
) -> Result<exchange::WorkBody, RefusedRequest> {
    let refuse = |reason| RefusedRequest::new(reason, "read-body").with_id(&envelope.id);
    if let Some(length) = envelope.body_bytes
        && length > BUFFERED_BODY_BYTES
    {
        return Ok(exchange::WorkBody::Stream(length, payload));
    }
    let limit = usize::try_from(limit.min(BUFFERED_BODY_BYTES)).unwrap_or(usize::MAX);
    let mut whole = web::BytesMut::new();
    loop {
        let left = deadline.since(context.clock.now());
        let next = tokio::time::timeout(left, payload.next()).await;
        let next = next.map_err(|_| refuse(outcome::RefusalReason::DeadlineQueued))?;
        let Some(piece) = next else {
            return Ok(exchange::WorkBody::Whole(whole.freeze()));
        };
        let piece = piece.map_err(|_| refuse(outcome::RefusalReason::BodyIncomplete))?;
        if whole.len() + piece.len() > limit {
            return Err(refuse(outcome::RefusalReason::BodyTooLarge));
        }
        whole.extend_from_slice(&piece);
    }
}

/// One request between the door and its answer.
struct RequestJourney<'a> {
    head: &'a actix_web::HttpRequest,
    context: &'a CallerContext,
    client: &'a exchange::OwnerClient,
    envelope: &'a door::RequestEnvelope,
    arrived: clock::MonoTime,
    deadline: clock::MonoTime,
}

/// What the flow's current state waits for.
struct JourneyState {
    flow: flow::RequestFlow,
    permit: Option<dispatcher::SendPermit>,
    body: Option<exchange::WorkBody>,
    answer: Option<exchange::WorkAnswer>,
    reason: outcome::RefusalReason,
    peer: Option<names::ServerName>,
    signal: limit::LimitSignal,
}

impl RequestJourney<'_> {
    async fn run(
        &self,
        body: exchange::WorkBody,
    ) -> Result<actix_web::HttpResponse, RefusedRequest> {
        let replayable = matches!(body, exchange::WorkBody::Whole(_));
        let chart = sync::Arc::clone(&self.context.chart);
        let flow =
            flow::RequestFlow::new(chart, self.envelope.idempotent).with_replayable(replayable);
        let mut state = JourneyState {
            flow,
            permit: None,
            body: Some(body),
            answer: None,
            reason: outcome::RefusalReason::DeadlineQueued,
            peer: None,
            signal: limit::LimitSignal::Neutral,
        };
        let mut event = self.find_gate();
        loop {
            let facts = self.facts(&mut state, event);
            let actions = state.flow.handle(event, facts);
            let mut next = None;
            for action in actions {
                match action {
                    flow::RequestAction::PassOn => {
                        next = Some(self.pass_on(&mut state).await);
                    }
                    flow::RequestAction::Enqueue => {
                        next = Some(self.wait_for_slot(&mut state).await);
                    }
                    flow::RequestAction::SendToOwner => {
                        next = Some(self.exchange(&mut state).await);
                    }
                    flow::RequestAction::EnqueueAgain => {
                        self.context.metrics.count_retry(state.reason);
                        next = Some(self.wait_for_slot(&mut state).await);
                    }
                    other => settle(&mut state, other),
                }
            }
            match next {
                Some(following) => event = following,
                None => return self.answer(state),
            }
        }
    }

    fn facts(&self, state: &mut JourneyState, event: flow::RequestEvent) -> flow::RequestFacts {
        let now = self.context.clock.now();
        let table = self.context.table.load();
        let feature = door::check_feature(&table, self.envelope, now);
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

    fn find_gate(&self) -> flow::RequestEvent {
        let table = self.context.table.load();
        let key = self.envelope.key.as_str();
        let lookup = table.lookup(&self.envelope.service, key);
        let route = lookup.and_then(|lookup| lookup.route);
        let gate = route.and_then(|route| table.gate_of(&route.server.name));
        let passed_on = self.head.headers().contains_key(exchange::FORWARDED_HEADER);
        if gate.is_some() && !passed_on {
            flow::RequestEvent::GateElsewhere
        } else {
            flow::RequestEvent::GateHere
        }
    }

    async fn pass_on(&self, state: &mut JourneyState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let key = self.envelope.key.as_str();
        let lookup = table.lookup(&self.envelope.service, key);
        let route = lookup.and_then(|lookup| lookup.route);
        let gate = route.and_then(|route| table.gate_of(&route.server.name));
        let Some(gate) = gate else {
            return flow::RequestEvent::ConnectFailed;
        };
        self.context.metrics.passed_on.inc();
        let target = exchange::WorkTarget::Gate(gate);
        self.send(state, target, table.hosts).await
    }

    async fn send(
        &self,
        state: &mut JourneyState,
        target: exchange::WorkTarget<'_>,
        hosts: usize,
    ) -> flow::RequestEvent {
        let order = exchange::WorkOrder {
            target,
            id: &self.envelope.id,
            head: self.head,
            left: self.deadline.since(self.context.clock.now()),
        };
        let body = take_body(state);
        let sent = self.client.send(&order, hosts, body);
        let waited = tokio::time::timeout(order.left, sent).await;
        note_end(state, waited)
    }

    // The route is looked up afresh each time: after a refusal the owner may be another.
    async fn wait_for_slot(&self, state: &mut JourneyState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let now = self.context.clock.now();
        let pass = match door::check(&table, self.envelope, self.arrived, now) {
            Ok(pass) => pass,
            Err(reason) => {
                state.reason = reason;
                return flow::RequestEvent::QueueRefused;
            }
        };
        state.peer = Some(pass.route.server.name.clone());
        let request = dispatcher::SlotRequest {
            server: sync::Arc::clone(&pass.route.server),
            hosts: match table.gate_of(&pass.route.server.name) {
                None => 1,
                Some(_) => table.hosts,
            },
            rank: pass.rank,
            floors: table.floors(),
            arrived: self.arrived,
            deadline: self.deadline,
            again: state.flow.retries() > 0,
        };
        let left = self.deadline.since(now);
        let waited = tokio::time::timeout(left, self.context.dispatch.acquire(request)).await;
        match waited {
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

    async fn exchange(&self, state: &mut JourneyState) -> flow::RequestEvent {
        let table = self.context.table.load_full();
        let now = self.context.clock.now();
        let key = self.envelope.key.as_str();
        let lookup = table.lookup(&self.envelope.service, key);
        let route = lookup
            .as_ref()
            .ok_or(outcome::RefusalReason::UnknownService)
            .and_then(|lookup| Ok((lookup, door::check_route(&table, lookup, now)?)));
        let (lookup, route) = match route {
            Ok(found) => found,
            Err(reason) => {
                state.reason = reason;
                return flow::RequestEvent::RefusedNotRun;
            }
        };
        if state.peer.as_ref() != Some(&route.server.name) {
            state.reason = outcome::RefusalReason::WrongFence;
            return flow::RequestEvent::RefusedNotRun;
        }
        let target = exchange::WorkTarget::Owner(route, &lookup.shard);
        self.send(state, target, table.hosts).await
    }

    fn answer(&self, state: JourneyState) -> Result<actix_web::HttpResponse, RefusedRequest> {
        if let Some(answer) = state.answer {
            let passed = state.flow.was_passed_on();
            return Ok(owner_response(answer, &self.envelope.id, passed));
        }
        Err(RefusedRequest {
            reason: state.reason,
            outcome: state.flow.outcome(),
            step: match state.flow.outcome() {
                outcome::RequestOutcome::Unknown => "exchange",
                _ => "dispatch",
            },
            peer: state.peer,
            id: Some(self.envelope.id.clone()),
        })
    }
}

fn settle(state: &mut JourneyState, action: flow::RequestAction) {
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
        // The exchange is a future that ended with its timeout, and the ticket likewise; the
        // reasons of the other answers were set by what led to them.
        _ => {}
    }
}

fn take_body(state: &mut JourneyState) -> exchange::WorkBody {
    match state.body.take() {
        Some(exchange::WorkBody::Whole(bytes)) => {
            state.body = Some(exchange::WorkBody::Whole(bytes.clone()));
            exchange::WorkBody::Whole(bytes)
        }
        Some(stream) => stream,
        None => exchange::WorkBody::Whole(web::Bytes::new()),
    }
}

type WaitedExchange =
    Result<Result<exchange::WorkAnswer, exchange::WorkFailure>, tokio::time::error::Elapsed>;

fn note_end(state: &mut JourneyState, waited: WaitedExchange) -> flow::RequestEvent {
    match waited {
        Err(_) => {
            state.signal = limit::LimitSignal::Overloaded;
            flow::RequestEvent::DeadlinePassed
        }
        Ok(Ok(answer)) => {
            state.signal = limit::LimitSignal::Answered;
            state.answer = Some(answer);
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
            let peer = state.peer.as_ref().map(names::ServerName::as_str);
            tracing::debug!(event = "exchange-broken", step = "exchange", peer, fault);
            flow::RequestEvent::ExchangeBroken
        }
    }
}

fn owner_response(
    answer: exchange::WorkAnswer,
    id: &names::RequestId,
    passed_on: bool,
) -> actix_web::HttpResponse {
    let mut builder = actix_web::HttpResponse::build(answer.status);
    for (name, value) in answer.headers {
        builder.append_header((name, value));
    }
    builder.insert_header((contract::REQUEST_ID_HEADER, id.as_str()));
    // A gate's answer says itself what became of the request.
    if !passed_on {
        let ran = outcome::RequestOutcome::Ran.as_str();
        builder.insert_header((contract::OUTCOME_HEADER, ran));
    }
    builder.body(answer.body)
}

fn refusal_response(refused: &RefusedRequest) -> actix_web::HttpResponse {
    let status = http::StatusCode::from_u16(refused.reason.status())
        .unwrap_or(http::StatusCode::SERVICE_UNAVAILABLE);
    let mut builder = actix_web::HttpResponse::build(status);
    builder.insert_header((contract::OUTCOME_HEADER, refused.outcome.as_str()));
    builder.insert_header((contract::REASON_HEADER, refused.reason.as_str()));
    if refused.reason.is_transient() {
        builder.insert_header((http::header::RETRY_AFTER, RETRY_AFTER_S.to_string()));
    }
    if let Some(id) = &refused.id {
        builder.insert_header((contract::REQUEST_ID_HEADER, id.as_str()));
    }
    builder.json(outcome::RefusalBody {
        reason: refused.reason,
        outcome: refused.outcome,
        step: refused.step.into(),
        peer: refused.peer.as_ref().map(ToString::to_string),
        request_id: refused.id.as_ref().map(ToString::to_string),
    })
}

/// Answers a path that names no service and key.
pub async fn handle_unknown(context: web::Data<CallerContext>) -> actix_web::HttpResponse {
    let reason = outcome::RefusalReason::UnknownService;
    context.metrics.count_refusal(reason);
    refusal_response(&RefusedRequest::new(reason, "parse-request"))
}

/// Returns the table's service and key routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/{service}/{key}").to(handle))
        .service(web::resource("/{service}/{key}/{rest:.*}").to(handle))
        .default_service(web::to(handle_unknown));
}

/// Returns an empty table to publish into.
#[must_use]
pub fn empty_table() -> controller::SharedTable {
    sync::Arc::new(arc_swap::ArcSwap::from_pointee(
        table::RoutingTable::default(),
    ))
}

/// How long a stopping host still takes new connections, in milliseconds.
pub const LAME_DUCK_MS: u64 = 1_000;

/// Returns the lame-duck time.
#[must_use]
pub const fn lame_duck() -> time::Duration {
    time::Duration::from_millis(LAME_DUCK_MS)
}
