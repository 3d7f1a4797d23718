//! HTTP stand-ins with JSON bodies for the platform's log and host list, and for backend servers.

use std::collections;
use std::net;
use std::sync;
use std::time;

use actix_web::web;

use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::contract;
use zinniastack::edge::listen;
use zinniastack::names;
use zinniastack::platform;

use crate::host_list;
use crate::log_state;
use crate::server_state;

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// A request with this header gets a response body of that many bytes, at most [`MAX_BODY_BYTES`].
pub const RESPONSE_BYTES_HEADER: &str = "x-response-bytes";

/// Returns the size of the response body that a request calls for, in bytes.
#[must_use]
pub fn response_bytes(request: &actix_web::HttpRequest) -> Option<usize> {
    let value = request.headers().get(RESPONSE_BYTES_HEADER)?;
    let bytes = value.to_str().ok()?.parse::<usize>().ok()?;
    Some(bytes.min(MAX_BODY_BYTES))
}

/// A state that is shared by HTTP handlers and tests.
pub type Shared<T> = sync::Arc<sync::Mutex<T>>;

/// Creates a shared state.
pub fn shared<T>(state: T) -> Shared<T> {
    sync::Arc::new(sync::Mutex::new(state))
}

/// Locks a shared state, even if another holder of the lock panicked.
pub fn lock<T>(state: &Shared<T>) -> sync::MutexGuard<'_, T> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The query of a log read.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReadQuery {
    /// The offset to read from.
    pub from: u64,
}

/// Serves the stand-in for the log.
///
/// # Errors
/// Fails if the listener cannot be used.
pub fn serve_log(
    listener: net::TcpListener,
    state: Shared<log_state::LogState>,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let state = web::Data::new(state);
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/records", web::get().to(read_records))
            .route("/records", web::post().to(append_record))
            .route("/faults", web::post().to(set_log_faults))
            .route("/trim/{keep}", web::post().to(trim_log))
            .route("/restore-older/{count}", web::post().to(restore_older_log))
    });
    Ok(listen::spawn(
        server.workers(1).disable_signals().listen(listener)?.run(),
    ))
}

async fn delay_log_call(state: &Shared<log_state::LogState>) {
    let slow = lock(state).faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(time::Duration::from_millis(slow)).await;
    }
}

async fn read_records(
    query: web::Query<ReadQuery>,
    state: web::Data<Shared<log_state::LogState>>,
) -> actix_web::HttpResponse {
    delay_log_call(&state).await;
    let page = lock(&state).read(query.from);
    page.map_or_else(unavailable, |page| actix_web::HttpResponse::Ok().json(page))
}

async fn append_record(
    text: String,
    state: web::Data<Shared<log_state::LogState>>,
) -> actix_web::HttpResponse {
    delay_log_call(&state).await;
    let reply = lock(&state).append(text);
    reply.map_or_else(unavailable, |reply| {
        actix_web::HttpResponse::Ok().json(reply)
    })
}

async fn set_log_faults(
    faults: web::Json<log_state::LogFaults>,
    state: web::Data<Shared<log_state::LogState>>,
) -> actix_web::HttpResponse {
    lock(&state).faults = faults.into_inner();
    actix_web::HttpResponse::NoContent().finish()
}

async fn trim_log(
    keep: web::Path<usize>,
    state: web::Data<Shared<log_state::LogState>>,
) -> actix_web::HttpResponse {
    lock(&state).trim(keep.into_inner());
    actix_web::HttpResponse::NoContent().finish()
}

async fn restore_older_log(
    count: web::Path<usize>,
    state: web::Data<Shared<log_state::LogState>>,
) -> actix_web::HttpResponse {
    lock(&state).restore_older(count.into_inner());
    actix_web::HttpResponse::NoContent().finish()
}

fn unavailable() -> actix_web::HttpResponse {
    actix_web::HttpResponse::ServiceUnavailable().finish()
}

/// The state of the HTTP stand-in for the host list.
pub struct HostListService {
    state: Shared<host_list::HostListState>,
    clock: clock::SystemClock,
}

/// Serves the stand-in for the host list.
///
/// # Errors
/// Fails if the listener cannot be used.
pub fn serve_hosts(
    listener: net::TcpListener,
    state: Shared<host_list::HostListState>,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let service = web::Data::new(HostListService {
        state,
        clock: clock::SystemClock::new(),
    });
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(service.clone())
            .route("/hosts", web::get().to(list_hosts))
            .route("/hosts", web::post().to(set_host))
    });
    Ok(listen::spawn(
        server.workers(1).disable_signals().listen(listener)?.run(),
    ))
}

async fn list_hosts(service: web::Data<HostListService>) -> actix_web::HttpResponse {
    let listing = lock(&service.state).list(service.clock.now());
    actix_web::HttpResponse::Ok().json(listing)
}

async fn set_host(
    entry: web::Json<platform::ListedServer>,
    service: web::Data<HostListService>,
) -> actix_web::HttpResponse {
    let entry = entry.into_inner();
    lock(&service.state).set(entry.name, entry.state, service.clock.now());
    actix_web::HttpResponse::NoContent().finish()
}

/// The injected faults of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerFaults {
    /// Whether claims, lease orders and requests wait until this is reset.
    pub frozen: bool,
    /// Whether the server asks for its shards to be moved away.
    pub draining: bool,
    /// Whether responses carry the id of another request.
    pub crossed: bool,
    /// The additional time of each request, in milliseconds.
    pub slow_ms: u64,
    /// The load that the server reports, in percent of the true one; `None` for the true load.
    pub reported_percent: Option<u32>,
}

/// The state of an HTTP stand-in for a backend server.
pub struct ServerService {
    state: Shared<server_state::ServerState>,
    faults: Shared<ServerFaults>,
    clock: clock::SystemClock,
    service_time: time::Duration,
    cold_start: time::Duration,
    warm: Shared<collections::BTreeSet<names::ShardId>>,
}

/// A request that is running. Dropping it ends the request, also when the handler is cancelled
/// because the connection was closed.
struct RunningWork<'a> {
    service: &'a ServerService,
    shard: names::ShardId,
}

impl Drop for RunningWork<'_> {
    fn drop(&mut self) {
        lock(&self.service.state).finish(&self.shard);
    }
}

impl ServerService {
    /// Creates a server that takes `service_time` for a request.
    #[must_use]
    pub fn new(setup: server_state::ServerSetup, service_time: time::Duration) -> Self {
        let clock = clock::SystemClock::new();
        Self {
            state: shared(server_state::ServerState::new(setup, clock.now())),
            faults: shared(ServerFaults::default()),
            clock,
            service_time,
            cold_start: time::Duration::ZERO,
            warm: shared(collections::BTreeSet::new()),
        }
    }

    /// Sets the additional time of the first request of each shard.
    #[must_use]
    pub const fn with_cold_start(mut self, cold_start: time::Duration) -> Self {
        self.cold_start = cold_start;
        self
    }

    fn time_for(&self, shard: &names::ShardId) -> time::Duration {
        let slow = time::Duration::from_millis(lock(&self.faults).slow_ms);
        let cold = lock(&self.warm).insert(shard.clone());
        let extra = if cold {
            self.cold_start
        } else {
            time::Duration::ZERO
        };
        self.service_time + slow + extra
    }

    /// Returns the server's state.
    #[must_use]
    pub const fn state(&self) -> &Shared<server_state::ServerState> {
        &self.state
    }

    /// Returns the server's faults.
    #[must_use]
    pub const fn faults(&self) -> &Shared<ServerFaults> {
        &self.faults
    }

    async fn wait_while_frozen(&self) {
        while lock(&self.faults).frozen {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }
}

/// Serves a stand-in for a backend server.
///
/// # Errors
/// Fails if the listener cannot be used.
pub fn serve_server(
    listener: net::TcpListener,
    service: web::Data<ServerService>,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(service.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/claim", web::post().to(claim))
            .route("/lease", web::post().to(lease))
            .route("/journal", web::get().to(journal))
            .route("/faults", web::post().to(set_server_faults))
            .route("/work/{path:.*}", web::to(work))
    });
    Ok(listen::spawn(
        server.workers(1).disable_signals().listen(listener)?.run(),
    ))
}

async fn claim(
    order: web::Json<contract::ClaimOrder>,
    service: web::Data<ServerService>,
) -> actix_web::HttpResponse {
    service.wait_while_frozen().await;
    let reply = lock(&service.state).claim(&order, service.clock.now());
    actix_web::HttpResponse::Ok().json(reply)
}

async fn lease(
    order: web::Json<contract::LeaseOrder>,
    service: web::Data<ServerService>,
) -> actix_web::HttpResponse {
    service.wait_while_frozen().await;
    let mut reply = lock(&service.state).lease(&order, service.clock.now());
    if let Some(percent) = lock(&service.faults).reported_percent {
        let load = &mut reply.status.load;
        load.running = load.running * percent / 100;
        load.finished = load.finished * u64::from(percent) / 100;
    }
    actix_web::HttpResponse::Ok().json(reply)
}

async fn journal(service: web::Data<ServerService>) -> actix_web::HttpResponse {
    let entries = lock(&service.state).journal().to_vec();
    actix_web::HttpResponse::Ok().json(entries)
}

async fn set_server_faults(
    faults: web::Json<ServerFaults>,
    service: web::Data<ServerService>,
) -> actix_web::HttpResponse {
    let faults = faults.into_inner();
    lock(&service.state).draining = faults.draining;
    *lock(&service.faults) = faults;
    actix_web::HttpResponse::NoContent().finish()
}

/// The response body of a request that the server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkReceipt {
    /// The request's id.
    pub id: names::RequestId,
    /// The shard that the request was sent for.
    pub shard: names::ShardId,
    /// The size of the request body, in bytes.
    pub bytes: usize,
}

async fn work(
    head: actix_web::HttpRequest,
    body: web::Bytes,
    service: web::Data<ServerService>,
) -> actix_web::HttpResponse {
    service.wait_while_frozen().await;
    let Some(work) = read_work(&head) else {
        return actix_web::HttpResponse::BadRequest().finish();
    };
    let accepted = lock(&service.state).begin(&work, service.clock.now());
    if let Err(refusal) = accepted {
        return actix_web::HttpResponse::ServiceUnavailable()
            .insert_header((contract::REQUEST_ID_HEADER, work.entry.id.as_str()))
            .insert_header((contract::OUTCOME_HEADER, "not-run"))
            .insert_header((contract::REASON_HEADER, refusal.as_str()))
            .finish();
    }
    let running = RunningWork {
        service: &service,
        shard: work.entry.shard.clone(),
    };
    let duration = service.time_for(&work.entry.shard);
    tokio::time::sleep(duration).await;
    service.wait_while_frozen().await;
    drop(running);
    if !lock(&service.state).may_answer(service.clock.now()) {
        return actix_web::HttpResponse::InternalServerError().finish();
    }
    let crossed = lock(&service.faults).crossed;
    let echo = if crossed {
        "another-request"
    } else {
        work.entry.id.as_str()
    };
    let mut response = actix_web::HttpResponse::Ok();
    response.insert_header((contract::REQUEST_ID_HEADER, echo));
    if let Some(bytes) = response_bytes(&head) {
        return response.body(vec![b'x'; bytes]);
    }
    response.json(WorkReceipt {
        id: work.entry.id.clone(),
        shard: work.entry.shard,
        bytes: body.len(),
    })
}

fn read_work(head: &actix_web::HttpRequest) -> Option<server_state::ServerWork> {
    let text = |name: &str| head.headers().get(name)?.to_str().ok();
    let feature = text(contract::FEATURE_HEADER).map(names::FeatureName::new);
    Some(server_state::ServerWork {
        entry: server_state::JournalEntry {
            id: text(contract::REQUEST_ID_HEADER)?.parse().ok()?,
            shard: text(contract::SHARD_HEADER)?.parse().ok()?,
            feature: feature.transpose().ok()?,
        },
        fence: text(contract::FENCE_HEADER)?.parse().ok()?,
        left_ms: text(contract::DEADLINE_HEADER)?.parse().ok()?,
    })
}
