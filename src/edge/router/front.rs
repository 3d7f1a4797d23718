//! Callers' requests: from the route to the one answer.

use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::web;
use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::answer;
use crate::edge::router::body;
use crate::edge::router::exchange;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::edge::router::traffic;
use crate::edge::router::wire;
use crate::names;
use crate::routing::specification;
use crate::serving::desk;
use crate::serving::directory;
use crate::serving::measure;
use crate::serving::verdict;

/// Bodies up to this size are held whole, in bytes, so that they can be sent again.
pub const HELD_BODY_BYTES: usize = 1 << 20;
/// The shortest time after which a refused caller is told to come back, in milliseconds.
pub const MIN_RETURN_MS: f64 = 40.0;
/// When a caller whose request was not looked at is told to come back, in milliseconds.
pub const EARLY_RETURN_MS: u64 = 50;
/// The part of a caller's time left that it may be told to wait.
pub const MAX_RETURN_PART: f64 = 0.32;

// One caller's request on its way.
struct CallerRequest<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    caller: actix_web::HttpRequest,
    facts: ports::CallerFacts,
    arrived: clock::MonoTime,
    deadline: clock::MonoTime,
    objective: clock::MonoTime,
    route: sync::Arc<specification::RouteSpec>,
    service: names::ServiceName,
    key: Option<u16>,
    version: u64,
    // The longest body that it may have, in bytes.
    body_limit: u64,
}

/// Answers a caller's request.
pub async fn handle<C: ports::HeaderCodec>(
    caller: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let Some(thread) = caller.app_data::<rc::Rc<traffic::TrafficThread<C>>>() else {
        return actix_web::HttpResponse::InternalServerError().finish();
    };
    let thread = rc::Rc::clone(thread);
    let _in_flight = traffic::InFlight::new(&thread.parts.in_flight);
    let stopping = rc::Rc::clone(&thread);
    let mut response = match CallerRequest::new(thread, caller) {
        Ok(request) => request.serve(payload).await,
        Err((own, id)) => {
            note_own(&stopping, own, id.as_deref());
            let back = (own.status() == 503).then(|| time::Duration::from_millis(EARLY_RETURN_MS));
            answer::respond(own, back)
        }
    };
    if stopping.parts.stopping.load(atomic::Ordering::Relaxed) {
        let close = actix_web::http::header::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(actix_web::http::header::CONNECTION, close);
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

type EarlyAnswer = (answer::OwnAnswer, Option<sync::Arc<str>>);

impl<C: ports::HeaderCodec> CallerRequest<C> {
    // Finds the request's route and service.
    fn new(
        thread: rc::Rc<traffic::TrafficThread<C>>,
        caller: actix_web::HttpRequest,
    ) -> Result<Self, EarlyAnswer> {
        let arrived = thread.parts.clock.now();
        let facts = thread.parts.codec.read_request(caller.headers());
        let early = |own| (own, facts.id.clone());
        if thread.parts.closed.load(atomic::Ordering::Relaxed) {
            return Err(early(answer::OwnAnswer::Stopping));
        }
        let view = thread.parts.view.load();
        let routes = view
            .routes
            .as_ref()
            .ok_or_else(|| early(answer::OwnAnswer::Starting))?;
        check_limits(&caller, &routes.limits).map_err(early)?;
        let host = host_of(&caller).ok_or_else(|| early(answer::OwnAnswer::Malformed))?;
        let route = routes.find(&host, caller.uri().path());
        let route = sync::Arc::clone(route.ok_or_else(|| early(answer::OwnAnswer::NoRoute))?);
        let part = thread.split.borrow_mut().choose(&route);
        let service = route.parts[part].service.clone();
        let sharded = routes
            .services
            .get(&service)
            .is_some_and(|spec| spec.sharded);
        if sharded && facts.key.is_none() {
            return Err(early(answer::OwnAnswer::Malformed));
        }
        let patience = facts.patience.unwrap_or(route.timeout);
        let objective = thread.objective(&route, patience, arrived);
        let version = routes.version;
        let body_limit = routes.limits.body_bytes;
        drop(view);
        Ok(Self {
            key: facts.key.filter(|_| sharded),
            deadline: arrived + patience.min(route.timeout),
            objective,
            thread,
            caller,
            facts,
            arrived,
            route,
            service,
            version,
            body_limit,
        })
    }

    async fn serve(self, payload: web::Payload) -> actix_web::HttpResponse {
        self.note_work();
        let held = match self.read_body(payload).await {
            Ok(held) => held,
            Err(own) => return self.answer_own(own, None),
        };
        self.deliver(held).await
    }

    // Reads a body that is small enough to be held; a longer one is passed on as it comes.
    async fn read_body(&self, payload: web::Payload) -> Result<body::HeldBody, answer::OwnAnswer> {
        let mut payload = payload;
        let mut head = bytes::BytesMut::new();
        let left = self.deadline.since(self.thread.parts.clock.now());
        let limit = self.body_limit;
        let read = async {
            while head.len() <= HELD_BODY_BYTES {
                match payload.next().await {
                    None => return Ok(true),
                    Some(Ok(part)) => head.extend_from_slice(&part),
                    Some(Err(_)) => return Err(answer::OwnAnswer::Malformed),
                }
                if u64::try_from(head.len()).is_ok_and(|size| size > limit) {
                    return Err(answer::OwnAnswer::BodyTooLarge);
                }
            }
            Ok(false)
        };
        let whole = tokio::time::timeout(left, read).await;
        let whole = whole.unwrap_or(Err(answer::OwnAnswer::BodyTimeout))?;
        let head = head.freeze();
        if whole {
            return Ok(body::HeldBody::new(head));
        }
        Ok(body::HeldBody::with_rest(head, payload, limit))
    }

    async fn deliver(&self, held: body::HeldBody) -> actix_web::HttpResponse {
        let mut held = held;
        let table = sync::Arc::clone(&self.thread.parts.chart);
        let mut course = verdict::DeliveryCourse::new(&table, &self.route);
        let mut avoid = None;
        let mut again = false;
        loop {
            let wish = self.wish(again, avoid.take(), held.size());
            let slot = match self.thread.ask_desk(wish) {
                Ok(mut wait) => wait.answer().await,
                Err(refusal) => Err(refusal),
            };
            let mut slot = match slot {
                Ok(slot) => slot,
                Err(refusal) => {
                    let action = course.handle(verdict::DeliveryEvent::GivenUp, false);
                    return self.answer_end(action, answer::OwnAnswer::Refused(refusal), None);
                }
            };
            course.handle(verdict::DeliveryEvent::Assigned, true);
            let record = sync::Arc::clone(&slot.record);
            let end = self.attempt(&record, &mut held).await;
            let Some(end) = end else {
                let action = course.handle(verdict::DeliveryEvent::TimeOver, false);
                return self.answer_end(action, answer::OwnAnswer::Timeout, Some(&record));
            };
            if held.is_over() {
                return self.answer_own(answer::OwnAnswer::BodyTooLarge, Some(&record));
            }
            slot.end = end.measure();
            let metrics = &self.thread.parts.metrics;
            metrics.note_attempt(self.service.as_str(), end.as_str());
            let may_again = held.can_repeat() && self.has_time();
            let action = course.handle(end.event(), may_again);
            if action != Some(verdict::DeliveryAction::PassAnswer) {
                self.note_attempt(&record, &end, action);
            }
            match (action, end) {
                (
                    Some(verdict::DeliveryAction::PassAnswer),
                    exchange::AttemptEnd::Answered(answer) | exchange::AttemptEnd::Failed(answer),
                ) => return self.pass_answer(answer, slot),
                (Some(verdict::DeliveryAction::Enqueue), _) => {
                    again = true;
                    avoid = Some(record.life.server.clone());
                }
                (action, _) => {
                    return self.answer_end(action, answer::OwnAnswer::NotRun, Some(&record));
                }
            }
        }
    }

    fn has_time(&self) -> bool {
        self.thread.parts.clock.now() < self.deadline
    }

    fn wish(
        &self,
        again: bool,
        avoid: Option<names::ServerName>,
        body_bytes: u64,
    ) -> desk::ServerWish {
        desk::ServerWish {
            service: self.service.clone(),
            key: self.key,
            priority: self.route.priority,
            objective: self.objective,
            deadline: self.deadline,
            body_bytes,
            again,
            avoid,
        }
    }

    // Sends the request to a server; no end where the time was over first.
    async fn attempt(
        &self,
        record: &directory::ServerRecord,
        held: &mut body::HeldBody,
    ) -> Option<exchange::AttemptEnd> {
        let now = self.thread.parts.clock.now();
        let codec = &self.thread.parts.codec;
        let left = self.deadline.since(now);
        let body = held.take();
        let server = &record.life.server;
        let built = exchange::build_request(codec, &self.caller, left, server, body);
        let request = match built {
            Ok(request) => request,
            Err(fault) => return Some(exchange::AttemptEnd::Unsent(fault)),
        };
        let id = self.facts.id.as_deref();
        let client = &self.thread.client;
        let sent = exchange::attempt(codec, client, record.address, request, id);
        tokio::time::timeout(left, sent).await.ok()
    }

    fn pass_answer(
        &self,
        answer: exchange::ServerAnswer,
        slot: slots::ServerSlot<C>,
    ) -> actix_web::HttpResponse {
        let status = actix_web::http::StatusCode::from_u16(answer.head.status.as_u16());
        let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
        let mut response = actix_web::HttpResponse::build(status);
        for (name, value) in &answer.head.headers {
            let name = name.as_str();
            if exchange::CONNECTION_HEADERS.contains(&name) || name == "content-length" {
                continue;
            }
            response.append_header((name, value.as_bytes()));
        }
        self.note_answered(&slot, status.as_u16());
        let Some(rest) = answer.rest else {
            drop(slot);
            return response.body(answer.first);
        };
        let length = answer.head.headers.get(hyper::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let parts = stream_rest(answer.first, rest, slot);
        match length {
            Some(length) => response.body(actix_web::body::SizedStream::new(length, parts)),
            None => response.body(actix_web::body::BodyStream::new(parts)),
        }
    }

    fn note_answered(&self, slot: &slots::ServerSlot<C>, status: u16) {
        let elapsed = self.thread.parts.clock.now().since(self.arrived);
        let failed = status >= 500;
        let end = if failed { "failed" } else { "answered" };
        let metrics = &self.thread.parts.metrics;
        metrics.note_end(self.route.name.as_str(), end, elapsed.as_secs_f64());
        if (failed || self.thread.lines.samples_answered()) && self.thread.lines.take() {
            tracing::info!(
                event = "request-answered",
                id = self.facts.id.as_deref().unwrap_or(""),
                route = %self.route.name,
                service = %self.service,
                key = self.key,
                version = self.version,
                server = %slot.record.life.server,
                status,
                after_ms = elapsed.as_millis()
            );
        }
    }

    fn answer_end(
        &self,
        action: Option<verdict::DeliveryAction>,
        refused: answer::OwnAnswer,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let own = match action {
            Some(verdict::DeliveryAction::Refuse) => refused,
            Some(verdict::DeliveryAction::TellTimeout) => answer::OwnAnswer::Timeout,
            _ => answer::OwnAnswer::Broken,
        };
        self.answer_own(own, record)
    }

    fn answer_own(
        &self,
        own: answer::OwnAnswer,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let now = self.thread.parts.clock.now();
        let elapsed = now.since(self.arrived);
        let route = self.route.name.as_str();
        self.thread
            .parts
            .metrics
            .note_end(route, own.as_str(), elapsed.as_secs_f64());
        if self.thread.lines.take() {
            tracing::info!(
                event = "request-ended",
                id = self.facts.id.as_deref().unwrap_or(""),
                route,
                service = %self.service,
                key = self.key,
                version = self.version,
                term = self.thread.parts.view.load().book.term,
                status = own.status(),
                cause = own.as_str(),
                server = record.map_or("", |record| record.life.server.as_str()),
                after_ms = elapsed.as_millis()
            );
        }
        let back = (own.status() == 503).then(|| self.return_after(now));
        answer::respond(own, back)
    }

    // Every request counts as work of its key, served or not, by the mean time of the service's
    // servers: so the work does not depend on which server holds the key.
    fn note_work(&self) {
        let Some(key) = self.key else {
            return;
        };
        let service_ms = self.thread.desk.borrow().service_ms(&self.service);
        let place = (self.service.clone(), key);
        *self.thread.heat.borrow_mut().entry(place).or_default() += service_ms;
    }

    // When a refused caller may come back: when room is likely, spread out, and in time.
    fn return_after(&self, now: clock::MonoTime) -> time::Duration {
        let patience = self.facts.patience.unwrap_or(self.route.timeout);
        let left = (self.arrived + patience).since(now).as_secs_f64() * 1_000.0;
        let wish = self.wish(false, None, 0);
        let wait = self.thread.desk.borrow().expected_wait(&wish, now);
        let wait = wait.as_secs_f64() * 1_000.0 + MIN_RETURN_MS;
        let spread = wait * rand::random_range(0.8..1.6);
        let most = (left * MAX_RETURN_PART).max(0.0);
        time::Duration::from_secs_f64(spread.min(most * rand::random_range(0.7..1.0)) / 1_000.0)
    }

    fn note_attempt(
        &self,
        record: &directory::ServerRecord,
        end: &exchange::AttemptEnd,
        action: Option<verdict::DeliveryAction>,
    ) {
        if !self.thread.lines.take() {
            return;
        }
        tracing::info!(
            event = "attempt-ended",
            id = self.facts.id.as_deref().unwrap_or(""),
            route = %self.route.name,
            server = %record.life.server,
            key = self.key,
            then = ?action,
            fault = end.fault()
        );
    }
}

fn note_own<C: ports::HeaderCodec>(
    thread: &traffic::TrafficThread<C>,
    own: answer::OwnAnswer,
    id: Option<&str>,
) {
    thread.parts.metrics.note_end("", own.as_str(), 0.0);
    if thread.lines.take() {
        let id = id.unwrap_or("");
        tracing::info!(
            event = "request-ended",
            id,
            status = own.status(),
            cause = own.as_str()
        );
    }
}

type BodyPart = Result<bytes::Bytes, std::io::Error>;

// Passes the rest of an answer on as it comes; the slot ends with it.
fn stream_rest<C: ports::HeaderCodec>(
    first: bytes::Bytes,
    rest: wire::WireRest,
    slot: slots::ServerSlot<C>,
) -> impl futures_util::Stream<Item = BodyPart> {
    let head = futures_util::stream::once(async move { Ok(first) });
    let state = Some((rest, slot));
    let tail = futures_util::stream::unfold(state, |state| async move {
        let (mut rest, mut slot) = state?;
        match rest.next_part().await {
            Ok(Some(part)) => Some((Ok(part), Some((rest, slot)))),
            Ok(None) => {
                slot.end = measure::ExchangeEnd::Answered;
                slot.thread.client.keep(rest);
                None
            }
            Err(fault) => {
                tracing::info!(event = "answer-cut", fault = %fault);
                slot.end = measure::ExchangeEnd::Broken;
                Some((Err(std::io::Error::other(fault.to_string())), None))
            }
        }
    });
    head.chain(tail)
}

fn host_of(caller: &actix_web::HttpRequest) -> Option<String> {
    let value = caller.headers().get(actix_web::http::header::HOST)?;
    let text = value.to_str().ok()?;
    let name = text.rsplit_once(':').map_or(text, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn check_limits(
    caller: &actix_web::HttpRequest,
    limits: &specification::CallerLimits,
) -> Result<(), answer::OwnAnswer> {
    let target = caller
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = caller.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if target + headers > limits.head_bytes {
        return Err(answer::OwnAnswer::HeadTooLarge);
    }
    if exchange::stated_length(caller).is_some_and(|length| length > limits.body_bytes) {
        return Err(answer::OwnAnswer::BodyTooLarge);
    }
    Ok(())
}
