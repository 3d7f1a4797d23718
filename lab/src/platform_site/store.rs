//! A stand-in for the platform's store: keyed logs, conditional appends and groups.

use std::collections;
use std::net;
use std::sync;
use std::time;

use actix_web::web;
use base64::Engine as _;
use bytes::BufMut as _;
use zinniastack::edge::listen;

use crate::http;

/// The interval at which a waiting read checks for new records, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// One record with a key.
#[derive(Clone, Debug)]
struct StoredRecord {
    offset: u64,
    key: String,
    value: Vec<u8>,
}

#[derive(Debug, Default)]
struct TopicState {
    end: u64,
    first: u64,
    records: collections::VecDeque<StoredRecord>,
    newest: collections::BTreeMap<String, StoredRecord>,
}

/// The faults injected into the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether every call is refused with 503.
    pub is_down: bool,
    /// The number of coming appends that are carried out but answered with 504.
    pub lose_append_responses: u32,
}

/// The state of the store.
#[derive(Debug, Default)]
pub struct StoreState {
    topics: collections::BTreeMap<String, TopicState>,
    members: collections::BTreeMap<String, time::Instant>,
    owner: Option<String>,
    generation: u64,
    /// The injected faults.
    pub faults: StoreFaults,
}

impl StoreState {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a record and returns its offset. An empty value removes the key.
    pub fn append(&mut self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let record = StoredRecord {
            offset: topic.end,
            key: key.to_owned(),
            value: value.to_vec(),
        };
        topic.end += 1;
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.to_owned(), record.clone());
        }
        topic.records.push_back(record);
        topic.end - 1
    }

    /// Drops all records but the newest of each key.
    pub fn compact(&mut self) {
        for topic in self.topics.values_mut() {
            topic.records.clear();
            topic.first = topic.end;
        }
    }

    /// Rebalances the group: its partition goes to another member if there is one.
    pub fn rebalance(&mut self) {
        self.generation += 1;
        let next = self
            .members
            .keys()
            .find(|member| Some(*member) != self.owner.as_ref());
        self.owner = next.cloned().or(self.owner.take());
    }

    // Adds or renews a member; returns whether it owns the partition.
    fn join(&mut self, member: &str, ttl: time::Duration) -> bool {
        let now = time::Instant::now();
        self.members.insert(member.to_owned(), now + ttl);
        self.members.retain(|_, until| now < *until);
        let lapsed = |owner: &String| !self.members.contains_key(owner);
        if self.owner.as_ref().is_none_or(lapsed) {
            self.generation += 1;
            self.owner = self.members.keys().next().cloned();
        }
        self.owner.as_deref() == Some(member)
    }
}

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

type SharedStore = web::Data<sync::Mutex<StoreState>>;

/// Serves the store.
///
/// # Errors
/// Fails when the listener cannot be used.
pub fn serve(
    listener: net::TcpListener,
    state: http::Shared<StoreState>,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let state = web::Data::from(state);
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(http::MAX_BODY_BYTES))
            .route("/zinniastack/log-append", web::post().to(handle_append))
            .route("/zinniastack/log-read", web::get().to(handle_read))
            .route("/zinniastack/log-newest", web::get().to(handle_newest))
            .route("/zinniastack/log-join", web::post().to(handle_join))
            .route("/zinniastack/log-leave", web::post().to(handle_leave))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(listen::spawn(server))
}

fn lock(store: &SharedStore) -> sync::MutexGuard<'_, StoreState> {
    store.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn is_down(store: &SharedStore) -> bool {
    lock(store).faults.is_down
}

async fn handle_append(
    store: SharedStore,
    query: web::Query<AppendQuery>,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    if state.faults.is_down {
        return actix_web::HttpResponse::ServiceUnavailable().finish();
    }
    let end = state.topics.get(&query.topic).map_or(0, |topic| topic.end);
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
    let end = state.topics.get(&query.topic).map_or(0, |topic| topic.end);
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

async fn handle_read(store: SharedStore, query: web::Query<ReadQuery>) -> actix_web::HttpResponse {
    let wait = time::Duration::from_millis(query.wait_ms.unwrap_or(0));
    let until = time::Instant::now() + wait;
    loop {
        if is_down(&store) {
            return actix_web::HttpResponse::ServiceUnavailable().finish();
        }
        if let Some(response) = read_now(&store, &query, time::Instant::now() >= until) {
            return response;
        }
        tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

// Returns `None` while there is no new record and the wait has not timed out.
fn read_now(
    store: &SharedStore,
    query: &ReadQuery,
    timed_out: bool,
) -> Option<actix_web::HttpResponse> {
    let mut state = lock(store);
    let topic = state.topics.entry(query.topic.clone()).or_default();
    if query.from < topic.first {
        let first = topic.first;
        return Some(actix_web::HttpResponse::Gone().json(serde_json::json!({ "first": first })));
    }
    let found = topic
        .records
        .iter()
        .filter(|record| record.offset >= query.from);
    let mut body = bytes::BytesMut::new();
    body.put_u64(topic.end);
    body.put_u64(topic.first);
    let mut count = 0;
    for record in found {
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
    if state.faults.is_down {
        return actix_web::HttpResponse::ServiceUnavailable().finish();
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let items = topic.newest.values().map(|record| {
        let value = base64::engine::general_purpose::STANDARD.encode(&record.value);
        serde_json::json!({ "key": record.key, "value": value, "offset": record.offset })
    });
    let items: Vec<_> = items.collect();
    let response = serde_json::json!({ "items": items, "has_more": false, "end": topic.end });
    actix_web::HttpResponse::Ok().json(response)
}

async fn handle_join(store: SharedStore, body: web::Json<JoinBody>) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    if state.faults.is_down {
        return actix_web::HttpResponse::ServiceUnavailable().finish();
    }
    let owns = state.join(&body.member, time::Duration::from_millis(body.ttl_ms));
    let rows = body.topics.iter().filter(|_| owns);
    let rows: Vec<_> = rows.map(|topic| serde_json::json!([topic, 0, 0])).collect();
    let response = serde_json::json!({ "generation": state.generation, "parts": rows });
    actix_web::HttpResponse::Ok().json(response)
}

async fn handle_leave(store: SharedStore, body: web::Json<LeaveBody>) -> actix_web::HttpResponse {
    let mut state = lock(&store);
    if state.faults.is_down {
        return actix_web::HttpResponse::ServiceUnavailable().finish();
    }
    state.members.remove(&body.member);
    actix_web::HttpResponse::Ok().json(serde_json::json!({}))
}
