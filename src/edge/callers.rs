//! The HTTP front end for callers: parses a request, has it driven to its end and writes the
//! response.

use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;

use crate::admission;
use crate::chart;
use crate::clock;
use crate::clock::MonoClock as _;
use crate::contract;
use crate::edge::body_meter;
use crate::edge::caller_connection;
use crate::edge::caller_listener;
use crate::edge::controller;
use crate::edge::dispatcher;
use crate::edge::exchange;
use crate::edge::metrics;
use crate::edge::request_driver;
use crate::edge::reservation;
use crate::edge::response_body;
use crate::flow;
use crate::names;
use crate::outcome;
use crate::table;

/// The request header that states whether the request is idempotent, and so may be retried after it
/// may have run: `true` or `false`. By default the HTTP method decides.
pub const IDEMPOTENT_HEADER: &str = "zinnia-idempotent";
/// The largest body that is buffered, in bytes. A larger one is streamed, and its request never
/// retried, if its `content-length` is known; without one, the request is refused.
pub const BUFFERED_BODY_BYTES: u64 = 256 * 1_024;
/// The `retry-after` header of responses to requests that were refused for a transient reason, in
/// seconds.
pub const RETRY_AFTER_S: u64 = 1;

/// What the traffic threads share. All of it is immutable or atomic.
pub struct CallerContext {
    /// The clock, the same as the control thread's.
    pub clock: clock::SystemClock,
    /// The routing table.
    pub table: controller::SharedTable,
    /// The handle of the dispatch thread.
    pub dispatch: dispatcher::DispatchHandle,
    /// The state chart `request`.
    pub chart: sync::Arc<chart::ChartTable<flow::RequestVocabulary>>,
    /// The host's metrics.
    pub metrics: sync::Arc<metrics::HostMetrics>,
    /// Whether the host is stopping.
    pub stopping: atomic::AtomicBool,
    /// Becomes true when the host ends at once, without completing the requests in flight.
    pub ending: tokio::sync::watch::Sender<bool>,
}

impl CallerContext {
    /// Waits until the host ends at once.
    pub(crate) async fn ended(&self) {
        let mut ending = self.ending.subscribe();
        // The sender lives as long as this context.
        let _ = ending.wait_for(|ending| *ending).await;
    }
}

/// A request that ended without a response of its owner.
pub(crate) struct RefusedRequest {
    pub(crate) reason: outcome::RefusalReason,
    pub(crate) outcome: outcome::RequestOutcome,
    pub(crate) step: &'static str,
    pub(crate) peer: Option<names::ServerName>,
    pub(crate) id: Option<names::RequestId>,
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

/// Serves one request of a caller.
pub async fn handle(
    head: actix_web::HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> actix_web::HttpResponse {
    let arrived = context.clock.now();
    let _guard = InFlightGuard::new(&context.metrics);
    let reservation = reservation::attach(&head);
    let mut payload = Some(payload);
    let result = if caller_connection::is_closing(&head) {
        Err(refuse_unread(&head))
    } else {
        serve(&head, &mut payload, &context, arrived, &reservation).await
    };
    let elapsed = context.clock.now().since(arrived);
    context.metrics.latency.observe(elapsed.as_secs_f64());
    let mut response = match result {
        Ok(response) => {
            context.metrics.answered.inc();
            response_body::reserve_body(response, reservation)
        }
        Err(refused) => {
            context.metrics.count_refusal(refused.reason);
            let unread = payload.filter(|_| reservation::has_body(&head));
            response_body::hold_unread(refusal_response(&refused), unread)
        }
    };
    let is_pressed = head
        .app_data::<reservation::SharedAccount>()
        .is_some_and(reservation::SharedAccount::is_connection_pressed);
    let closes = is_pressed || context.stopping.load(atomic::Ordering::Relaxed);
    caller_connection::finish(&head, &mut response, closes);
    response
}

// The response to a request behind a response that closes the connection.
fn refuse_unread(head: &actix_web::HttpRequest) -> RefusedRequest {
    let refused = RefusedRequest::new(outcome::RefusalReason::Unread, "accept-request");
    match parse(head) {
        Ok(envelope) => refused.with_id(&envelope.id),
        Err(_) => refused,
    }
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
    payload: &mut Option<web::Payload>,
    context: &CallerContext,
    arrived: clock::MonoTime,
    reservation: &reservation::Reservation,
) -> Result<actix_web::HttpResponse, RefusedRequest> {
    let envelope = parse(head)?;
    if reservation.is_evicted() {
        let full = outcome::RefusalReason::HostFull;
        return Err(RefusedRequest::new(full, "accept-request").with_id(&envelope.id));
    }
    let table = context.table.load_full();
    let now = context.clock.now();
    let admitted = admission::check(&table, &envelope, arrived, now)
        .map_err(|reason| RefusedRequest::new(reason, "check-request").with_id(&envelope.id))?;
    let deadline = admitted.deadline;
    let limit = admitted.lookup.service.max_body_bytes;
    let reading = read_body(payload, &envelope, limit, context, deadline, reservation);
    let body = reading.await?;
    let client = head.app_data::<exchange::OwnerClient>();
    let Some(client) = client else {
        return Err(RefusedRequest::new(
            outcome::RefusalReason::Starting,
            "find-client",
        ));
    };
    let request_driver = request_driver::RequestDriver {
        head,
        context,
        client,
        envelope: &envelope,
        arrived,
        deadline,
    };
    request_driver.run(body).await
}

fn header<'a>(head: &'a actix_web::HttpRequest, name: &str) -> Option<&'a str> {
    head.headers().get(name).map(|v| v.to_str().unwrap_or(""))
}

// Parses the path and the headers.
fn parse(head: &actix_web::HttpRequest) -> Result<admission::RequestEnvelope, RefusedRequest> {
    let malformed = || RefusedRequest::new(outcome::RefusalReason::Malformed, "parse-request");
    let id = header(head, contract::REQUEST_ID_HEADER).ok_or_else(malformed)?;
    let id = names::RequestId::new(id).map_err(|_| malformed())?;
    let malformed_with_id = || malformed().with_id(&id);
    let service = head
        .match_info()
        .get("service")
        .ok_or_else(malformed_with_id)?;
    let key = head.match_info().get("key").ok_or_else(malformed_with_id)?;
    let key = names::KeyName::new(key).map_err(|_| malformed_with_id())?;
    let deadline_ms = header(head, contract::DEADLINE_HEADER)
        .map(|text| text.parse().map_err(|_| malformed_with_id()))
        .transpose()?;
    let feature = header(head, contract::FEATURE_HEADER)
        .map(|text| names::FeatureName::new(text).map_err(|_| malformed_with_id()))
        .transpose()?;
    let idempotent = match header(head, IDEMPOTENT_HEADER) {
        None => head.method().is_idempotent(),
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(malformed_with_id()),
    };
    let body_bytes = header(head, http::header::CONTENT_LENGTH.as_str())
        .map(|text| text.parse().map_err(|_| malformed_with_id()))
        .transpose()?;
    Ok(admission::RequestEnvelope {
        service: service.into(),
        key,
        id: id.clone(),
        deadline_ms,
        feature,
        idempotent,
        body_bytes,
    })
}

// Small bodies are read whole before a slot is requested, so that a slow caller occupies no slot.
async fn read_body(
    payload: &mut Option<web::Payload>,
    envelope: &admission::RequestEnvelope,
    limit: u64,
    context: &CallerContext,
    deadline: clock::MonoTime,
    reservation: &reservation::Reservation,
) -> Result<exchange::WorkBody, RefusedRequest> {
    let refuse = |reason| RefusedRequest::new(reason, "read-body").with_id(&envelope.id);
    if let Some(length) = envelope.body_bytes
        && length > BUFFERED_BODY_BYTES
    {
        let held = body_meter::BodyMeter::new(reservation).stream();
        held.map_err(|_| refuse(outcome::RefusalReason::HostFull))?;
        if let Some(payload) = payload.take() {
            return Ok(exchange::WorkBody::Stream(length, payload));
        }
    }
    let limit = usize::try_from(limit.min(BUFFERED_BODY_BYTES)).unwrap_or(usize::MAX);
    let Some(unread) = payload else {
        return Ok(exchange::WorkBody::Buffered(web::Bytes::new()));
    };
    let mut buffer = web::BytesMut::new();
    let mut meter = body_meter::BodyMeter::new(reservation);
    loop {
        let left = deadline.since(context.clock.now());
        let next = tokio::select! {
            next = tokio::time::timeout(left, unread.next()) => next,
            () = context.ended() => return Err(refuse(outcome::RefusalReason::Stopping)),
            () = reservation.evicted() => return Err(refuse(outcome::RefusalReason::HostFull)),
        };
        let next = next.map_err(|_| refuse(outcome::RefusalReason::DeadlineQueued))?;
        let Some(chunk) = next else {
            *payload = None;
            let held = meter.finish(&buffer);
            held.map_err(|_| refuse(outcome::RefusalReason::HostFull))?;
            return Ok(exchange::WorkBody::Buffered(buffer.freeze()));
        };
        let chunk = chunk.map_err(|_| refuse(outcome::RefusalReason::BodyIncomplete))?;
        if buffer.len() + chunk.len() > limit {
            return Err(refuse(outcome::RefusalReason::BodyTooLarge));
        }
        let held = meter.take(&buffer, &chunk);
        held.map_err(|_| refuse(outcome::RefusalReason::HostFull))?;
        buffer.extend_from_slice(&chunk);
    }
}

pub(crate) fn owner_response(
    response: exchange::WorkResponse,
    id: &names::RequestId,
    from_gate: bool,
) -> actix_web::HttpResponse {
    let mut builder = actix_web::HttpResponse::build(response.status);
    for (name, value) in response.headers {
        builder.append_header((name, value));
    }
    builder.insert_header((contract::REQUEST_ID_HEADER, id.as_str()));
    // A gate's response carries the outcome header already.
    if !from_gate {
        let ran = outcome::RequestOutcome::Ran.as_str();
        builder.insert_header((contract::OUTCOME_HEADER, ran));
    }
    builder.body(response.body)
}

fn refusal_response(refused: &RefusedRequest) -> actix_web::HttpResponse {
    let status = http::StatusCode::from_u16(refused.reason.status())
        .unwrap_or(http::StatusCode::SERVICE_UNAVAILABLE);
    let mut builder = actix_web::HttpResponse::build(status);
    if refused.reason == outcome::RefusalReason::HostFull {
        // The remainder of the body is not read.
        builder.force_close();
    }
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

/// Makes the response to a request that reaches a host after it has stopped accepting, from the head of
/// the request.
#[must_use]
pub fn stopping_refusal(head: &str) -> String {
    let id = caller_listener::header(head, contract::REQUEST_ID_HEADER);
    let id = id.filter(|id| names::RequestId::new(id).is_ok());
    let reason = outcome::RefusalReason::Stopping;
    let refusal = outcome::RefusalBody {
        reason,
        outcome: outcome::RequestOutcome::NotRun,
        step: "accept-request".into(),
        peer: None,
        request_id: id.map(str::to_owned),
    };
    let body = serde_json::to_string(&refusal).unwrap_or_default();
    let retry_after = RETRY_AFTER_S.to_string();
    let mut headers = vec![
        (contract::OUTCOME_HEADER, refusal.outcome.as_str()),
        (contract::REASON_HEADER, reason.as_str()),
        ("retry-after", &retry_after),
        ("content-type", "application/json"),
    ];
    headers.extend(id.map(|id| (contract::REQUEST_ID_HEADER, id)));
    caller_listener::refusal_text(reason.status(), &headers, &body)
}

/// Refuses a path that names no service and key.
pub async fn handle_unknown(
    head: actix_web::HttpRequest,
    context: web::Data<CallerContext>,
) -> actix_web::HttpResponse {
    let reason = outcome::RefusalReason::UnknownService;
    context.metrics.count_refusal(reason);
    let mut response = refusal_response(&RefusedRequest::new(reason, "parse-request"));
    let is_stopping = context.stopping.load(atomic::Ordering::Relaxed);
    caller_connection::finish(&head, &mut response, is_stopping);
    response
}

/// Adds the callers' routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/{service}/{key}").to(handle))
        .service(web::resource("/{service}/{key}/{rest:.*}").to(handle))
        .default_service(web::to(handle_unknown));
}

/// Creates the shared routing table, empty until the control thread publishes one.
#[must_use]
pub fn empty_table() -> controller::SharedTable {
    sync::Arc::new(arc_swap::ArcSwap::from_pointee(
        table::RoutingTable::default(),
    ))
}

/// How long a stopping host still accepts connections after it reports itself unready, in
/// milliseconds.
pub const LAME_DUCK_MS: u64 = 1_000;

/// Returns [`LAME_DUCK_MS`] as a duration.
#[must_use]
pub const fn lame_duck() -> time::Duration {
    time::Duration::from_millis(LAME_DUCK_MS)
}
