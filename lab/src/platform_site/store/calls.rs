//! The store's calls over HTTP.

use std::net;
use std::sync;
use std::time;

use actix_web::http::header;
use actix_web::middleware;
use actix_web::web;
use base64::Engine as _;
use bytes::BufMut as _;
use zinniastack::edge::listen;

use crate::http;
use crate::platform_site::connection;
use crate::platform_site::store;

/// The interval at which a waiting call checks the store, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;
/// The header that states the store's era in each response.
const ERA: header::HeaderName = header::HeaderName::from_static("store-era");

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct AppendQuery {
    topic: String,
    at: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ReadQuery {
    topic: String,
    from: u64,
    wait_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct NewestQuery {
    topic: String,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct JoinBody {
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct LeaveBody {
    member: String,
}

type SharedStore = web::Data<sync::Mutex<store::StoreState>>;

/// Serves the store.
///
/// # Errors
/// Fails when the listener cannot be used.
pub fn serve(
    listener: net::TcpListener,
    state: http::Shared<store::StoreState>,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let state = web::Data::from(state);
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .wrap(middleware::from_fn(take_call))
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(http::MAX_BODY_BYTES))
            .route("/zinniastack/log-append", web::post().to(handle_append))
            .route("/zinniastack/log-read", web::get().to(handle_read))
            .route("/zinniastack/log-newest", web::get().to(handle_newest))
            .route("/zinniastack/log-join", web::post().to(handle_join))
            .route("/zinniastack/log-leave", web::post().to(handle_leave))
    })
    .on_connect(connection::ConnectionSocket::attach)
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(listen::spawn(server))
}

fn lock(store: &SharedStore) -> sync::MutexGuard<'_, store::StoreState> {
    store.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn is_down(store: &SharedStore) -> bool {
    lock(store).faults.is_down
}

// Fails calls while the store is away, and states the era in each response.
async fn take_call(
    store: SharedStore,
    request: actix_web::dev::ServiceRequest,
    next: middleware::Next<impl actix_web::body::MessageBody + 'static>,
) -> Result<actix_web::dev::ServiceResponse<impl actix_web::body::MessageBody>, actix_web::Error> {
    let mut response = if is_down(&store) {
        let failed = fail_call(&store, request.request()).await;
        request.into_response(failed)
    } else {
        next.call(request).await?.map_into_boxed_body()
    };
    let era = header::HeaderValue::from(lock(&store).era);
    response.headers_mut().insert(ERA, era);
    Ok(response)
}

// Fails a call that came, or was waiting, while the store is away.
async fn fail_call(
    store: &SharedStore,
    request: &actix_web::HttpRequest,
) -> actix_web::HttpResponse {
    let outage = lock(store).faults.outage;
    if outage == store::OutageKind::Silence {
        wait_until_back(store).await;
    }
    let socket = request.conn_data::<connection::ConnectionSocket>();
    if let Some(socket) = socket.filter(|_| outage != store::OutageKind::Refuse) {
        socket.close();
    }
    actix_web::HttpResponse::ServiceUnavailable().finish()
}

async fn wait_until_back(store: &SharedStore) {
    while is_down(store) {
        tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn handle_append(
    store: SharedStore,
    query: web::Query<AppendQuery>,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    let end = state.end(&query.topic);
    if query.at.is_some_and(|at| at != end) {
        return actix_web::HttpResponse::PreconditionFailed()
            .json(serde_json::json!({ "end": end }));
    }
    let Some(records) = decode_records(&body).filter(|records| !records.is_empty()) else {
        return actix_web::HttpResponse::BadRequest().finish();
    };
    let offset = end;
    for (key, value) in &records {
        state.append(&query.topic, key, value);
    }
    let end = state.end(&query.topic);
    if state.faults.lose_append_responses > 0 {
        state.faults.lose_append_responses -= 1;
        return actix_web::HttpResponse::GatewayTimeout().finish();
    }
    actix_web::HttpResponse::Ok().json(serde_json::json!({ "offset": offset, "end": end }))
}

// Decodes the records of an append: for each its length in four bytes, the key's length in one, the
// key and the value.
fn decode_records(body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<4>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        let (content, after) = after.split_at_checked(length)?;
        let (key_length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        rest = after;
    }
    Some(records)
}

async fn handle_read(
    store: SharedStore,
    query: web::Query<ReadQuery>,
    request: actix_web::HttpRequest,
) -> actix_web::HttpResponse {
    let wait = time::Duration::from_millis(query.wait_ms.unwrap_or(0));
    let until = time::Instant::now() + wait;
    if let Some(response) = refuse_read(&store, &query) {
        return response;
    }
    loop {
        if is_down(&store) {
            if !lock(&store).faults.keeps_waiting_reads {
                return fail_call(&store, &request).await;
            }
            wait_until_back(&store).await;
        }
        if let Some(response) = read_now(&store, &query, time::Instant::now() >= until) {
            return response;
        }
        tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

// Refuses a read from an offset beyond the log's end.
fn refuse_read(store: &SharedStore, query: &ReadQuery) -> Option<actix_web::HttpResponse> {
    let mut state = lock(store);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    (query.from > topic.end()).then(|| refuse_offset(topic))
}

fn refuse_offset(topic: &store::TopicState) -> actix_web::HttpResponse {
    let first = topic.first();
    actix_web::HttpResponse::Gone().json(serde_json::json!({ "first": first }))
}

// Returns `None` while there is no new record and the wait has not timed out.
fn read_now(
    store: &SharedStore,
    query: &ReadQuery,
    timed_out: bool,
) -> Option<actix_web::HttpResponse> {
    let mut state = lock(store);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    if query.from < topic.first() {
        return Some(refuse_offset(topic));
    }
    let mut body = bytes::BytesMut::new();
    body.put_u64(topic.end());
    body.put_u64(topic.first());
    let mut count = 0;
    for record in topic.read(query.from) {
        let key_length = u8::try_from(record.key.len()).unwrap_or(u8::MAX);
        let length = u32::try_from(1 + record.key.len() + record.value.len()).unwrap_or(u32::MAX);
        body.put_u32(length);
        body.put_u8(key_length);
        body.put_slice(record.key.as_bytes());
        body.put_slice(&record.value);
        count += 1;
    }
    (count > 0 || timed_out).then(|| actix_web::HttpResponse::Ok().body(body.freeze()))
}

async fn handle_newest(
    store: SharedStore,
    query: web::Query<NewestQuery>,
) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let items = topic.newest.values().map(|record| {
        let value = base64::engine::general_purpose::STANDARD.encode(&record.value);
        serde_json::json!({ "key": record.key, "value": value, "offset": record.offset })
    });
    let items: Vec<_> = items.collect();
    let response = serde_json::json!({ "items": items, "has_more": false, "end": topic.end() });
    actix_web::HttpResponse::Ok().json(response)
}

async fn handle_join(store: SharedStore, body: web::Json<JoinBody>) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    let owns = state.join(&body.member, time::Duration::from_millis(body.ttl_ms));
    let rows = body.topics.iter().filter(|_| owns);
    let rows: Vec<_> = rows.map(|topic| serde_json::json!([topic, 0, 0])).collect();
    let response = serde_json::json!({ "generation": state.group.generation, "parts": rows });
    actix_web::HttpResponse::Ok().json(response)
}

async fn handle_leave(store: SharedStore, body: web::Json<LeaveBody>) -> actix_web::HttpResponse {
    lock(&store).leave(&body.member);
    actix_web::HttpResponse::Ok().json(serde_json::json!({}))
}
