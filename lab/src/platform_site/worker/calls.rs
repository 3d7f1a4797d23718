//! The worker's calls over HTTP.

use std::net;
use std::sync;
use std::time;

use actix_web::web;
use zinniastack::clock::MonoClock as _;
use zinniastack::edge::listen;

use crate::grants::key_server;
use crate::http;
use crate::platform_site::connection;
use crate::platform_site::ledger;
use crate::platform_site::worker;

/// The interval at which a release checks whether the work on its keys has ended, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;
/// How long an idle connection stays open, in seconds.
const KEEP_ALIVE_S: u64 = 5;
const REQUEST_ID: &str = "x-request-id";
const EXPECT_INSTANCE: &str = "x-expect-instance";
const HANDOVER: &str = "x-lease-handover";

#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
struct GrantBody {
    from: u16,
    target: u16,
    fence: u64,
    hold_ms: u64,
}

#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
struct ReleaseBody {
    from: u16,
    target: u16,
    fence: u64,
}

/// What the handlers of one worker use.
struct WorkerService {
    state: http::Shared<worker::WorkerState>,
    surroundings: worker::WorkerSurroundings,
}

impl WorkerService {
    fn ledger(&self) -> sync::MutexGuard<'_, ledger::HoldLedger> {
        http::lock(&self.surroundings.ledger)
    }
}

/// A request at which a worker is at work. Dropping it ends the work, also when the handler is
/// cancelled because the connection was closed.
struct WorkGuard {
    service: web::Data<WorkerService>,
    work: ledger::RunningWork,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.service.ledger().note_finished(&self.work);
    }
}

/// Serves a worker and writes its entries.
///
/// # Errors
/// Fails when the listener cannot be used.
pub fn serve(
    listener: net::TcpListener,
    state: &http::Shared<worker::WorkerState>,
    surroundings: worker::WorkerSurroundings,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let address = listener.local_addr()?;
    worker::spawn_register(state, &surroundings, address);
    let service = web::Data::new(WorkerService {
        state: sync::Arc::clone(state),
        surroundings,
    });
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(service.clone())
            .app_data(web::PayloadConfig::new(http::MAX_BODY_BYTES))
            .route("/zinniastack/grant", web::post().to(handle_grant))
            .route("/zinniastack/release", web::post().to(handle_release))
            .default_service(web::to(handle_request))
    })
    .on_connect(connection::ConnectionSocket::attach)
    .keep_alive(time::Duration::from_secs(KEEP_ALIVE_S))
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(listen::spawn(server))
}

fn header(request: &actix_web::HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn is_misdirected(request: &actix_web::HttpRequest, id: &str) -> bool {
    header(request, EXPECT_INSTANCE).is_some_and(|expected| expected != id)
}

fn refuse_misdirected(request: &actix_web::HttpRequest) -> actix_web::HttpResponse {
    let mut response = actix_web::HttpResponse::MisdirectedRequest();
    if let Some(id) = header(request, REQUEST_ID) {
        response.insert_header((REQUEST_ID, id));
    }
    response.insert_header(("x-not-executed", "1")).finish()
}

// Sends the response that was kept for the connection once more, where another one is expected.
fn repeat_response(request: &actix_web::HttpRequest) {
    let socket = request.conn_data::<connection::ConnectionSocket>();
    if let Some(socket) = socket
        && let Err(error) = socket.repeat_response()
    {
        tracing::debug!(event = "response-not-repeated", fault = %error);
    }
}

// Refuses a request as a worker does that is full, and keeps the response for `repeat_response`.
fn refuse_full(request: &actix_web::HttpRequest, id: &str) -> actix_web::HttpResponse {
    let headers = [(REQUEST_ID, id), ("x-not-executed", "1")];
    if let Some(socket) = request.conn_data::<connection::ConnectionSocket>() {
        let lines = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
        let lines = lines.concat();
        socket.keep_response(format!(
            "HTTP/1.1 503 again\r\ncontent-length: 0\r\n{lines}\r\n"
        ));
    }
    let mut response = actix_web::HttpResponse::ServiceUnavailable();
    for header in headers {
        response.insert_header(header);
    }
    response.finish()
}

// Whether the worker refuses this request as one that is full.
fn takes_refusal(service: &WorkerService) -> bool {
    let faults = &mut http::lock(&service.state).faults;
    let refuses = faults.refuse_requests > 0;
    faults.refuse_requests = faults.refuse_requests.saturating_sub(1);
    refuses
}

// Responds to an order with `status` and keeps the response for `repeat_response`.
fn answer_order(
    request: &actix_web::HttpRequest,
    status: actix_web::http::StatusCode,
    handover: Option<String>,
) -> actix_web::HttpResponse {
    let id = header(request, REQUEST_ID).map(|id| (REQUEST_ID, id));
    let handover = handover.map(|handover| (HANDOVER, handover));
    let keep_alive = ("keep-alive", format!("timeout={KEEP_ALIVE_S}"));
    let headers = id.into_iter().chain(handover);
    let headers: Vec<(&str, String)> = headers.chain([keep_alive]).collect();
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let lines = lines.collect::<String>();
    let status_line = format!("HTTP/1.1 {} again\r\n", status.as_u16());
    if let Some(socket) = request.conn_data::<connection::ConnectionSocket>() {
        socket.keep_response(format!("{status_line}content-length: 0\r\n{lines}\r\n"));
    }
    let mut response = actix_web::HttpResponse::build(status);
    for header in headers {
        response.insert_header(header);
    }
    response.finish()
}

async fn handle_grant(
    service: web::Data<WorkerService>,
    request: actix_web::HttpRequest,
    body: web::Json<GrantBody>,
) -> actix_web::HttpResponse {
    let mut state = http::lock(&service.state);
    if is_misdirected(&request, &state.id) {
        return refuse_misdirected(&request);
    }
    let now = service.surroundings.clock.now();
    let order = key_server::HoldOrder {
        first: body.from,
        last: body.target,
        fence: body.fence,
        hold: time::Duration::from_millis(body.hold_ms),
        arrived: now,
        now,
    };
    let result = state.keys.grant(&order);
    if result != key_server::GrantResult::Held {
        return answer_order(&request, actix_web::http::StatusCode::CONFLICT, None);
    }
    let granted = ledger::HoldSpan::new(state.life().clone(), &order);
    service.ledger().note_granted(&granted, now);
    answer_order(&request, actix_web::http::StatusCode::OK, None)
}

// Responds when the work on the released keys has ended.
async fn handle_release(
    service: web::Data<WorkerService>,
    request: actix_web::HttpRequest,
    body: web::Json<ReleaseBody>,
) -> actix_web::HttpResponse {
    if http::lock(&service.state).faults.repeat_before_releases {
        repeat_response(&request);
    }
    let life = {
        let mut state = http::lock(&service.state);
        if is_misdirected(&request, &state.id) {
            return refuse_misdirected(&request);
        }
        state.keys.release(body.from, body.target, body.fence);
        let now = service.surroundings.clock.now();
        let life = state.life().clone();
        service
            .ledger()
            .note_released(&life, body.from, body.target, now);
        life
    };
    while service.ledger().is_at_work(&life, body.from, body.target) {
        tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    let handover = format!("{:x}", body.fence);
    answer_order(&request, actix_web::http::StatusCode::OK, Some(handover))
}

async fn handle_request(
    service: web::Data<WorkerService>,
    request: actix_web::HttpRequest,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    let id = header(&request, REQUEST_ID).unwrap_or_default();
    if http::lock(&service.state).faults.repeat_refusals {
        repeat_response(&request);
    }
    if takes_refusal(&service) {
        return refuse_full(&request, &id);
    }
    let Some((work_ms, faults, guard)) = begin(&service, &request, &id) else {
        return refuse_misdirected(&request);
    };
    tokio::time::sleep(time::Duration::from_millis(work_ms)).await;
    drop(guard);
    let echoed = if faults.swap_response_ids > 0 {
        "another".to_owned()
    } else {
        id.clone()
    };
    let mut response = actix_web::HttpResponse::Ok();
    response.insert_header((REQUEST_ID, echoed));
    response.insert_header(("x-response-signature", format!("s-{id}")));
    if let Some(bytes) = http::response_bytes(&request) {
        return response.body(vec![b'x'; bytes]);
    }
    if faults.endless_responses > 0 {
        return response.streaming(endless_body());
    }
    if faults.cut_long_responses > 0 {
        return response.streaming(cut_body());
    }
    let whole = format!(
        "{} {} {id} {}",
        request.method(),
        request.path(),
        body.len()
    );
    if faults.truncate_responses > 0 {
        let half = web::Bytes::from(whole[..whole.len() / 2].to_owned());
        let fault = std::io::Error::other("cut");
        let parts = futures_util::stream::iter([Ok(half), Err(fault)]);
        return response.streaming(parts);
    }
    response.body(whole)
}

// Begins a request, unless it is for another worker or for keys that this one does not hold.
fn begin(
    service: &web::Data<WorkerService>,
    request: &actix_web::HttpRequest,
    id: &str,
) -> Option<(u64, worker::WorkerFaults, Option<WorkGuard>)> {
    let mut state = http::lock(&service.state);
    let key = header(request, "x-shard-key");
    let key = key.and_then(|key| key.parse().ok()).unwrap_or(0);
    let now = service.surroundings.clock.now();
    if is_misdirected(request, &state.id) || (state.sharded && !state.holds(key, now)) {
        return None;
    }
    *state.runs.entry(id.to_owned()).or_default() += 1;
    let faults = state.faults;
    state.faults.truncate_responses = faults.truncate_responses.saturating_sub(1);
    state.faults.cut_long_responses = faults.cut_long_responses.saturating_sub(1);
    state.faults.swap_response_ids = faults.swap_response_ids.saturating_sub(1);
    state.faults.endless_responses = faults.endless_responses.saturating_sub(1);
    let work = ledger::RunningWork {
        life: state.life().clone(),
        id: id.to_owned(),
        key,
    };
    let guard = state.sharded.then(|| {
        service.ledger().note_begun(work.clone());
        WorkGuard {
            service: service.clone(),
            work,
        }
    });
    Some((state.work_ms, faults, guard))
}

// A long body that breaks off.
fn cut_body() -> impl futures_util::Stream<Item = Result<web::Bytes, std::io::Error>> {
    let chunk = || web::Bytes::from_static(&[b'x'; worker::CHUNK_BYTES]);
    let chunks = (0..worker::CUT_CHUNKS).map(move |_| Ok(chunk()));
    let end = std::iter::once_with(|| Err(std::io::Error::other("cut")));
    futures_util::stream::iter(chunks.chain(end))
}

fn endless_body() -> impl futures_util::Stream<Item = Result<web::Bytes, std::io::Error>> {
    futures_util::stream::unfold((), |()| async {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
        Some((
            Ok(web::Bytes::from_static(&[b'x'; worker::CHUNK_BYTES])),
            (),
        ))
    })
}
