//! Handles callers' requests: finds the route and the service, dispatches the request to a server,
//! and sends the one response.

mod pump;
mod responses;

use std::rc;
use std::sync;
use std::time;

use actix_web::web;
use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::body_meter;
use crate::edge::caller_connection;
use crate::edge::reservation;
use crate::edge::response_body;
use crate::edge::router::body;
use crate::edge::router::connection_pool;
use crate::edge::router::exchange;
use crate::edge::router::local_response;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::names;
use crate::routing::specification;
use crate::serving::delivery;
use crate::serving::directory;
use crate::serving::scheduler;

/// Request bodies up to this size are buffered, in bytes, so that an attempt can be retried; longer
/// ones are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// The most of a body that has arrived before its request can be refused, in bytes: what a connection takes
/// that nobody reads.
pub const MAX_UNREAD_BYTES: u64 = 64 * 1_024;
/// The `retry-after` of requests that are refused before a route is found, in milliseconds.
pub const EARLY_RETRY_AFTER_MS: u64 = 50;
/// The response to a request that the host cannot serve before it ends.
const STOPPING: local_response::LocalResponse =
    local_response::LocalResponse::Refused(scheduler::SchedulerRefusal::Stopping);

/// The response to a request that the host would serve by records that may be outdated.
const OUTDATED: local_response::LocalResponse =
    local_response::LocalResponse::Refused(scheduler::SchedulerRefusal::Outdated);

// A caller's request, from its arrival to its response.
struct CallerRequest<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    reservation: rc::Rc<reservation::Reservation>,
    caller: actix_web::HttpRequest,
    headers: ports::CallerHeaders,
    arrived: clock::MonoTime,
    deadline: clock::MonoTime,
    objective: clock::MonoTime,
    route: sync::Arc<specification::RouteSpec>,
    service: names::ServiceName,
    key: Option<u16>,
    version: u64,
    // The longest body that the routes allow, in bytes.
    body_limit: u64,
}

/// Handles one request of a caller. While the host is stopping, the response closes the connection. A request
/// behind a response that closes the connection is not sent to a server.
pub async fn handle<C: ports::HeaderCodec>(
    caller: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let Some(thread) = caller.app_data::<rc::Rc<traffic::TrafficThread<C>>>() else {
        return actix_web::HttpResponse::InternalServerError().finish();
    };
    let thread = rc::Rc::clone(thread);
    let _in_flight = traffic::InFlight::new(&thread.parts.in_flight);
    let shared = rc::Rc::clone(&thread);
    let account = caller.app_data::<reservation::SharedAccount>().cloned();
    let has_body = reservation::has_body(&caller);
    let mut payload = Some(payload);
    let head = caller.clone();
    let request = if caller_connection::is_closing(&head) {
        let id = shared.parts.codec.read_request(head.headers()).id;
        Err((local_response::LocalResponse::NotRun, id))
    } else {
        CallerRequest::new(thread, caller)
    };
    let response = match request {
        Ok(request) => request.serve(&mut payload).await,
        Err((response, id)) => {
            responses::record_early_refusal(&shared, response, id.as_deref());
            let unread = exchange::content_length(&head).unwrap_or(0);
            let metrics = &shared.parts.metrics;
            metrics.unread_bytes.inc_by(unread.min(MAX_UNREAD_BYTES));
            let retry_after = (response.status() == 503)
                .then(|| time::Duration::from_millis(EARLY_RETRY_AFTER_MS));
            local_response::respond(response, retry_after)
        }
    };
    let mut response = response_body::hold_unread(response, payload.filter(|_| has_body));
    let is_pressed = account.is_some_and(|account| account.is_connection_pressed());
    let closes = is_pressed || shared.parts.shutdown.times().is_some();
    caller_connection::finish(&head, &mut response, closes);
    response
}

type EarlyRefusal = (local_response::LocalResponse, Option<sync::Arc<str>>);

impl<C: ports::HeaderCodec> CallerRequest<C> {
    // Finds the request's route and service.
    fn new(
        thread: rc::Rc<traffic::TrafficThread<C>>,
        caller: actix_web::HttpRequest,
    ) -> Result<Self, EarlyRefusal> {
        let arrived = thread.parts.clock.now();
        let reservation = reservation::attach(&caller);
        let headers = thread.parts.codec.read_request(caller.headers());
        let early = |response| (response, headers.id.clone());
        if reservation.is_evicted() {
            return Err(early(local_response::LocalResponse::HostFull));
        }
        let shutdown = thread.parts.shutdown.times();
        if shutdown.is_some_and(|times| times.is_closed(arrived)) {
            return Err(early(STOPPING));
        }
        let view = thread.parts.view.load();
        if view.is_outdated(arrived, thread.parts.scheduler.max_records_age()) {
            return Err(early(OUTDATED));
        }
        let routes = view
            .routes
            .as_ref()
            .ok_or_else(|| early(local_response::LocalResponse::Starting))?;
        check_limits(&caller, &routes.limits).map_err(early)?;
        let host =
            request_host(&caller).ok_or_else(|| early(local_response::LocalResponse::Malformed))?;
        let route = routes.find(&host, caller.uri().path());
        let no_route = if view.store_lost {
            local_response::LocalResponse::RoutesUnconfirmed
        } else {
            local_response::LocalResponse::NoRoute
        };
        let route = sync::Arc::clone(route.ok_or_else(|| early(no_route))?);
        let part = thread.split.borrow_mut().choose(&route);
        let service = route.parts[part].service.clone();
        let sharded = routes
            .services
            .get(&service)
            .is_some_and(|spec| spec.sharded);
        if sharded && headers.key.is_none() {
            return Err(early(local_response::LocalResponse::Malformed));
        }
        let timeout = headers.timeout.unwrap_or(route.timeout);
        let objective = thread.objective(&route, timeout, arrived);
        let version = routes.version;
        let body_limit = routes.limits.body_bytes;
        drop(view);
        Ok(Self {
            key: headers.key.filter(|_| sharded),
            deadline: arrived + timeout.min(route.timeout),
            objective,
            thread,
            reservation,
            caller,
            headers,
            arrived,
            route,
            service,
            version,
            body_limit,
        })
    }

    async fn serve(self, payload: &mut Option<web::Payload>) -> actix_web::HttpResponse {
        self.record_key_work();
        let body = match self.read_body(payload).await {
            Ok(body) => body,
            Err(response) => return self.respond_locally(response, None),
        };
        self.deliver(body).await
    }

    // Buffers the body up to `MAX_BUFFERED_BODY_BYTES`; the remainder of a longer one is streamed.
    async fn read_body(
        &self,
        payload: &mut Option<web::Payload>,
    ) -> Result<body::CallerBody, local_response::LocalResponse> {
        let Some(unread) = payload else {
            return Ok(body::CallerBody::new(bytes::Bytes::new()));
        };
        let mut head = bytes::BytesMut::new();
        let mut meter = body_meter::BodyMeter::new(&self.reservation);
        let time_left = self.deadline.since(self.thread.parts.clock.now());
        let limit = self.body_limit;
        let metrics = &self.thread.parts.metrics;
        let read = async {
            while head.len() <= MAX_BUFFERED_BODY_BYTES {
                match unread.next().await {
                    None => return Ok(true),
                    Some(Ok(chunk)) => {
                        metrics.request_bytes.inc_by(body::byte_count(&chunk));
                        let taken = meter.take(&head, &chunk);
                        taken.map_err(|_| local_response::LocalResponse::HostFull)?;
                        head.extend_from_slice(&chunk);
                    }
                    Some(Err(_)) => return Err(local_response::LocalResponse::Malformed),
                }
                if u64::try_from(head.len()).is_ok_and(|size| size > limit) {
                    return Err(local_response::LocalResponse::BodyTooLarge);
                }
            }
            Ok(false)
        };
        let is_complete = tokio::select! {
            result = tokio::time::timeout(time_left, read) => {
                result.unwrap_or(Err(local_response::LocalResponse::BodyTimeout))?
            }
            () = self.thread.ended() => return Err(STOPPING),
            () = self.reservation.evicted() => return Err(local_response::LocalResponse::HostFull),
        };
        let reserved = if is_complete {
            meter.finish(&head)
        } else {
            meter.stream()
        };
        reserved.map_err(|_| local_response::LocalResponse::HostFull)?;
        let head = head.freeze();
        let rest = payload.take().filter(|_| !is_complete);
        let Some(rest) = rest else {
            return Ok(body::CallerBody::new(head));
        };
        let reservation = rc::Rc::clone(&self.reservation);
        let payload = body::LimitedPayload::new(rest, reservation);
        Ok(body::CallerBody::with_rest(head, payload, limit))
    }

    async fn deliver(&self, body: body::CallerBody) -> actix_web::HttpResponse {
        let mut body = body;
        let table = sync::Arc::clone(&self.thread.parts.chart);
        let mut delivery = delivery::RequestDelivery::new(&table, &self.route);
        let mut avoid = None;
        let mut is_retry = false;
        let mut tried = Vec::new();
        loop {
            let request = self.dispatch_request(is_retry, avoid.take(), body.size());
            let slot = match self.thread.request_slot(request) {
                Ok(mut wait) => wait.result().await,
                Err(refusal) => Err(refusal),
            };
            let mut slot = match slot {
                Ok(slot) => slot,
                Err(refusal) => {
                    let action = delivery.handle(delivery::DeliveryEvent::GivenUp, false);
                    return self.respond_with_end(
                        action,
                        local_response::LocalResponse::Refused(refusal),
                        None,
                    );
                }
            };
            delivery.handle(delivery::DeliveryEvent::Assigned, true);
            let record = sync::Arc::clone(&slot.record);
            let choice = if tried.contains(&record.address) {
                exchange::ConnectionChoice::New
            } else {
                exchange::ConnectionChoice::Pooled
            };
            tried.push(record.address);
            let end = self.attempt(&record, choice, &mut body).await;
            let Some(end) = end else {
                let action = delivery.handle(delivery::DeliveryEvent::TimeOver, false);
                return self.respond_with_end(
                    action,
                    local_response::LocalResponse::Timeout,
                    Some(&record),
                );
            };
            // The body exceeded its limit while it was streamed, and the exchange broke off for
            // that. Where the server responded before it had read the whole body, its response is
            // forwarded.
            if body.is_too_long() && matches!(end, exchange::AttemptEnd::Broken(_)) {
                return self
                    .respond_locally(local_response::LocalResponse::BodyTooLarge, Some(&record));
            }
            // The exchange broke off because the caller did not go on sending, which says nothing of
            // the server.
            if self.reservation.is_evicted() && matches!(end, exchange::AttemptEnd::Broken(_)) {
                return self.respond_locally(local_response::LocalResponse::Broken, Some(&record));
            }
            slot.end = end.exchange_end();
            let metrics = &self.thread.parts.metrics;
            metrics.note_attempt(self.service.as_str(), end.as_str());
            let may_retry = body.is_replayable() && self.has_time_left();
            let action = delivery.handle(end.event(), may_retry);
            if action != Some(delivery::DeliveryAction::PassAnswer) {
                self.log_attempt(&slot, &end, action);
            }
            match (action, end) {
                (
                    Some(delivery::DeliveryAction::PassAnswer),
                    exchange::AttemptEnd::Answered(response)
                    | exchange::AttemptEnd::Failed(response),
                ) => return self.forward_response(response, slot),
                (Some(delivery::DeliveryAction::Enqueue), _) => {
                    is_retry = true;
                    avoid = Some(record.life.server.clone());
                }
                (action, _) => {
                    return self.respond_with_end(
                        action,
                        local_response::LocalResponse::NotRun,
                        Some(&record),
                    );
                }
            }
        }
    }

    // Whether the caller is told where a body without a length ends: HTTP/1.0 has no chunks.
    fn takes_chunks(&self) -> bool {
        self.caller.version() >= actix_web::http::Version::HTTP_11
    }

    fn buffered_bytes(&self) -> usize {
        if self.takes_chunks() {
            exchange::MAX_BUFFERED_RESPONSE_BYTES
        } else {
            exchange::MAX_UNFRAMED_RESPONSE_BYTES
        }
    }

    fn has_time_left(&self) -> bool {
        let now = self.thread.parts.clock.now();
        let shutdown = self.thread.parts.shutdown.times();
        now < self.deadline && shutdown.is_none_or(|times| now < times.ends_at)
    }

    fn dispatch_request(
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

    // Sends the request to a server. Returns `None` when the deadline passes first. Where the host ends
    // first, the request may have run.
    async fn attempt(
        &self,
        record: &directory::ServerRecord,
        choice: exchange::ConnectionChoice,
        body: &mut body::CallerBody,
    ) -> Option<exchange::AttemptEnd> {
        let now = self.thread.parts.clock.now();
        let codec = &self.thread.parts.codec;
        let time_left = self.deadline.since(now);
        let body = body.take();
        let server = &record.life.server;
        let request = exchange::build_request(codec, &self.caller, time_left, server, body);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Some(exchange::AttemptEnd::Unsent(error)),
        };
        let id = self.headers.id.as_deref();
        let options = exchange::AttemptOptions::new(choice);
        let options = options.with_buffered_bytes(self.buffered_bytes());
        let options = options.with_key(self.service_key());
        let client = &self.thread.client;
        let sent = exchange::attempt(codec, client, record.address, options, request, id);
        tokio::select! {
            end = tokio::time::timeout(time_left, sent) => end.ok(),
            () = self.thread.ended() => {
                Some(exchange::AttemptEnd::Broken("the host ends".to_owned()))
            }
            () = self.reservation.evicted() => {
                let fault = "the request gave way to others";
                Some(exchange::AttemptEnd::Broken(fault.to_owned()))
            }
        }
    }

    fn service_key(&self) -> Option<connection_pool::ServiceKey> {
        let service = self.service.clone();
        self.key
            .map(|key| connection_pool::ServiceKey { service, key })
    }

    // Adds the expected service time to the work of the request's key, whether or not the request
    // will be served. The mean over the servers of the service is used, so that the work of a key
    // does not depend on which server holds it.
    fn record_key_work(&self) {
        let Some(key) = self.key else {
            return;
        };
        let service_ms = self.thread.scheduler.borrow().service_ms(&self.service);
        let service_key = (self.service.clone(), key);
        *self
            .thread
            .key_work_ms
            .borrow_mut()
            .entry(service_key)
            .or_default() += service_ms;
    }
}

fn request_host(caller: &actix_web::HttpRequest) -> Option<String> {
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
    if exchange::content_length(caller).is_some_and(|length| length > limits.body_bytes) {
        return Err(local_response::LocalResponse::BodyTooLarge);
    }
    Ok(())
}
