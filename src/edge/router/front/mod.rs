//! Callers' requests: from the route to the one answer.

mod responses;

use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::web;
use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::body;
use crate::edge::router::exchange;
use crate::edge::router::local_response;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::names;
use crate::routing::specification;
use crate::serving::delivery;
use crate::serving::directory;
use crate::serving::scheduler;

/// Bodies up to this size are held whole, in bytes, so that they can be sent again.
pub const HELD_BODY_BYTES: usize = 1 << 20;
/// When a caller whose request was not looked at is told to come back, in milliseconds.
pub const EARLY_RETURN_MS: u64 = 50;

// One caller's request on its way.
struct CallerRequest<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    caller: actix_web::HttpRequest,
    facts: ports::CallerHeaders,
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
            responses::note_own(&stopping, own, id.as_deref());
            let back = (own.status() == 503).then(|| time::Duration::from_millis(EARLY_RETURN_MS));
            local_response::respond(own, back)
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

type EarlyAnswer = (local_response::LocalResponse, Option<sync::Arc<str>>);

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
            return Err(early(local_response::LocalResponse::Stopping));
        }
        let view = thread.parts.view.load();
        let routes = view
            .routes
            .as_ref()
            .ok_or_else(|| early(local_response::LocalResponse::Starting))?;
        check_limits(&caller, &routes.limits).map_err(early)?;
        let host =
            host_of(&caller).ok_or_else(|| early(local_response::LocalResponse::Malformed))?;
        let route = routes.find(&host, caller.uri().path());
        let route =
            sync::Arc::clone(route.ok_or_else(|| early(local_response::LocalResponse::NoRoute))?);
        let part = thread.split.borrow_mut().choose(&route);
        let service = route.parts[part].service.clone();
        let sharded = routes
            .services
            .get(&service)
            .is_some_and(|spec| spec.sharded);
        if sharded && facts.key.is_none() {
            return Err(early(local_response::LocalResponse::Malformed));
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
    async fn read_body(
        &self,
        payload: web::Payload,
    ) -> Result<body::HeldBody, local_response::LocalResponse> {
        let mut payload = payload;
        let mut head = bytes::BytesMut::new();
        let left = self.deadline.since(self.thread.parts.clock.now());
        let limit = self.body_limit;
        let read = async {
            while head.len() <= HELD_BODY_BYTES {
                match payload.next().await {
                    None => return Ok(true),
                    Some(Ok(part)) => head.extend_from_slice(&part),
                    Some(Err(_)) => return Err(local_response::LocalResponse::Malformed),
                }
                if u64::try_from(head.len()).is_ok_and(|size| size > limit) {
                    return Err(local_response::LocalResponse::BodyTooLarge);
                }
            }
            Ok(false)
        };
        let whole = tokio::time::timeout(left, read).await;
        let whole = whole.unwrap_or(Err(local_response::LocalResponse::BodyTimeout))?;
        let head = head.freeze();
        if whole {
            return Ok(body::HeldBody::new(head));
        }
        Ok(body::HeldBody::with_rest(head, payload, limit))
    }

    async fn deliver(&self, held: body::HeldBody) -> actix_web::HttpResponse {
        let mut held = held;
        let table = sync::Arc::clone(&self.thread.parts.chart);
        let mut course = delivery::RequestDelivery::new(&table, &self.route);
        let mut avoid = None;
        let mut is_retry = false;
        loop {
            let request = self.request(is_retry, avoid.take(), held.size());
            let slot = match self.thread.request_slot(request) {
                Ok(mut wait) => wait.result().await,
                Err(refusal) => Err(refusal),
            };
            let mut slot = match slot {
                Ok(slot) => slot,
                Err(refusal) => {
                    let action = course.handle(delivery::DeliveryEvent::GivenUp, false);
                    return self.answer_end(
                        action,
                        local_response::LocalResponse::Refused(refusal),
                        None,
                    );
                }
            };
            course.handle(delivery::DeliveryEvent::Assigned, true);
            let record = sync::Arc::clone(&slot.record);
            let end = self.attempt(&record, &mut held).await;
            let Some(end) = end else {
                let action = course.handle(delivery::DeliveryEvent::TimeOver, false);
                return self.answer_end(
                    action,
                    local_response::LocalResponse::Timeout,
                    Some(&record),
                );
            };
            // An answer that the server gave before it had the whole body is passed on.
            if held.is_over() && matches!(end, exchange::AttemptEnd::Broken(_)) {
                return self.answer_own(local_response::LocalResponse::BodyTooLarge, Some(&record));
            }
            slot.end = end.measure();
            let metrics = &self.thread.parts.metrics;
            metrics.note_attempt(self.service.as_str(), end.as_str());
            let may_again = held.can_repeat() && self.has_time();
            let action = course.handle(end.event(), may_again);
            if action != Some(delivery::DeliveryAction::PassAnswer) {
                self.note_attempt(&record, &end, action);
            }
            match (action, end) {
                (
                    Some(delivery::DeliveryAction::PassAnswer),
                    exchange::AttemptEnd::Answered(answer) | exchange::AttemptEnd::Failed(answer),
                ) => return self.pass_answer(answer, slot),
                (Some(delivery::DeliveryAction::Enqueue), _) => {
                    is_retry = true;
                    avoid = Some(record.life.server.clone());
                }
                (action, _) => {
                    return self.answer_end(
                        action,
                        local_response::LocalResponse::NotRun,
                        Some(&record),
                    );
                }
            }
        }
    }

    fn has_time(&self) -> bool {
        self.thread.parts.clock.now() < self.deadline
    }

    fn request(
        &self,
        is_retry: bool,
        avoid: Option<names::ServerName>,
        body_bytes: u64,
    ) -> scheduler::DispatchRequest {
        scheduler::DispatchRequest {
            service: self.service.clone(),
            key: self.key,
            priority: self.route.priority,
            objective: self.objective,
            deadline: self.deadline,
            body_bytes,
            is_retry,
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

    // Every request counts as work of its key, served or not, by the mean time of the service's
    // servers: so the work does not depend on which server holds the key.
    fn note_work(&self) {
        let Some(key) = self.key else {
            return;
        };
        let service_ms = self.thread.scheduler.borrow().service_ms(&self.service);
        let place = (self.service.clone(), key);
        *self.thread.heat.borrow_mut().entry(place).or_default() += service_ms;
    }
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
) -> Result<(), local_response::LocalResponse> {
    let target = caller
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = caller.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if target + headers > limits.head_bytes {
        return Err(local_response::LocalResponse::HeadTooLarge);
    }
    if exchange::stated_length(caller).is_some_and(|length| length > limits.body_bytes) {
        return Err(local_response::LocalResponse::BodyTooLarge);
    }
    Ok(())
}
