//! A stand-in for a worker: it registers itself in the store, holds keys under grants, and signs its
//! responses.

use std::collections;
use std::net;
use std::sync;
use std::time;

use actix_web::web;
use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::edge::listen;
use zinniastack::ownership::assignment;

use crate::grants::key_server;
use crate::http;
use crate::platform_site::store;

/// The interval at which a worker renews its entry in the store, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;

/// The faults injected into a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaults {
    /// The number of coming responses that break off in the middle of the body.
    pub truncate_responses: u32,
    /// The number of coming responses that carry another request's id.
    pub swap_response_ids: u32,
    /// The number of coming responses whose body never ends.
    pub endless_responses: u32,
}

/// The state of a worker.
#[derive(Debug)]
pub struct WorkerState {
    id: String,
    service: String,
    sharded: bool,
    keys: key_server::KeyServer,
    draining: bool,
    stopped: bool,
    sequence: u64,
    runs: collections::BTreeMap<String, u32>,
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
    /// The injected faults.
    pub faults: WorkerFaults,
}

impl WorkerState {
    /// Creates a worker that holds no keys.
    ///
    /// # Panics
    /// Panics when `id` is not a valid name.
    #[must_use]
    pub fn new(id: &str, service: &str, sharded: bool) -> Self {
        let server = id.parse().expect("an id is a name");
        let incarnation = assignment::ServerIncarnation { server, born: 1 };
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            sharded,
            keys: key_server::KeyServer::new(incarnation, 0),
            draining: false,
            stopped: false,
            sequence: 0,
            runs: collections::BTreeMap::new(),
            work_ms: 5,
            faults: WorkerFaults::default(),
        }
    }

    /// Marks the worker as draining in its entry.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Stops the worker's registration: at the next heartbeat it removes its entry from the store.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns how often each request ran.
    #[must_use]
    pub const fn runs(&self) -> &collections::BTreeMap<String, u32> {
        &self.runs
    }

    /// Returns the key ranges that the worker holds at `now`.
    #[must_use]
    pub fn held(&self, now: clock::MonoTime) -> Vec<(u16, u16)> {
        self.keys
            .held(now)
            .map(|held| (held.first, held.last))
            .collect()
    }

    fn holds(&self, key: u16, now: clock::MonoTime) -> bool {
        self.keys
            .held(now)
            .any(|held| (held.first..=held.last).contains(&key))
    }
}

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

type SharedWorker = web::Data<sync::Mutex<WorkerState>>;

/// Serves a worker and writes its entries.
///
/// # Errors
/// Fails when the listener cannot be used.
pub fn serve(
    listener: net::TcpListener,
    state: &http::Shared<WorkerState>,
    store: http::Shared<store::StoreState>,
    clock: clock::SystemClock,
) -> std::io::Result<actix_web::dev::ServerHandle> {
    let address = listener.local_addr()?;
    let shared = web::Data::from(sync::Arc::clone(state));
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(shared.clone())
            .app_data(web::Data::new(clock))
            .app_data(web::PayloadConfig::new(http::MAX_BODY_BYTES))
            .route("/zinniastack/grant", web::post().to(handle_grant))
            .route("/zinniastack/release", web::post().to(handle_release))
            .default_service(web::to(handle_request))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    actix::spawn(register(sync::Arc::clone(state), store, address));
    Ok(listen::spawn(server))
}

async fn register(
    state: http::Shared<WorkerState>,
    store: http::Shared<store::StoreState>,
    address: net::SocketAddr,
) {
    loop {
        {
            let mut worker = http::lock(&state);
            let mut store = http::lock(&store);
            worker.sequence += 1;
            if worker.stopped {
                store.append("keyed.servers", &worker.id, &[]);
                return;
            }
            let entry = serde_json::json!({
                "service": worker.service, "address": address, "zone": "north", "version": "v1",
                "slots": 4, "state": if worker.draining { "draining" } else { "ready" },
                "cold_remaining_ms": 0, "sequence": worker.sequence, "born": 1,
            });
            if !store.faults.is_down {
                store.append("keyed.servers", &worker.id, entry.to_string().as_bytes());
            }
        }
        tokio::time::sleep(time::Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

fn lock(worker: &SharedWorker) -> sync::MutexGuard<'_, WorkerState> {
    worker.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

async fn handle_grant(
    worker: SharedWorker,
    clock: web::Data<clock::SystemClock>,
    body: web::Json<GrantBody>,
) -> actix_web::HttpResponse {
    let mut state = lock(&worker);
    let result = state.keys.grant(&key_server::HoldOrder {
        first: body.from,
        last: body.target,
        fence: body.fence,
        hold: time::Duration::from_millis(body.hold_ms),
        arrived: clock.now(),
        now: clock.now(),
    });
    if result == key_server::GrantResult::Held {
        return actix_web::HttpResponse::Ok().finish();
    }
    actix_web::HttpResponse::Conflict().finish()
}

async fn handle_release(
    worker: SharedWorker,
    body: web::Json<ReleaseBody>,
) -> actix_web::HttpResponse {
    let mut state = lock(&worker);
    state.keys.release(body.from, body.target, body.fence);
    let handover = format!("{:x}", body.fence);
    actix_web::HttpResponse::Ok()
        .insert_header(("x-lease-handover", handover))
        .finish()
}

async fn handle_request(
    worker: SharedWorker,
    clock: web::Data<clock::SystemClock>,
    request: actix_web::HttpRequest,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    let text = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let id = text("x-request-id").unwrap_or_default();
    let (work_ms, faults) = {
        let mut state = lock(&worker);
        let key = text("x-shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        let expected = text("x-expect-instance").is_none_or(|expected| expected == state.id);
        if !expected || (state.sharded && !state.holds(key, clock.now())) {
            return actix_web::HttpResponse::MisdirectedRequest()
                .insert_header(("x-not-executed", "1"))
                .insert_header(("x-request-id", id))
                .finish();
        }
        *state.runs.entry(id.clone()).or_default() += 1;
        let faults = state.faults;
        state.faults.truncate_responses = faults.truncate_responses.saturating_sub(1);
        state.faults.swap_response_ids = faults.swap_response_ids.saturating_sub(1);
        state.faults.endless_responses = faults.endless_responses.saturating_sub(1);
        (state.work_ms, faults)
    };
    tokio::time::sleep(time::Duration::from_millis(work_ms)).await;
    let echoed = if faults.swap_response_ids > 0 {
        "another".to_owned()
    } else {
        id.clone()
    };
    let mut response = actix_web::HttpResponse::Ok();
    response.insert_header(("x-request-id", echoed));
    response.insert_header(("x-response-signature", format!("s-{id}")));
    if faults.endless_responses > 0 {
        return response.streaming(endless_body());
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

fn endless_body() -> impl futures_util::Stream<Item = Result<web::Bytes, std::io::Error>> {
    futures_util::stream::unfold((), |()| async {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
        Some((Ok(web::Bytes::from_static(&[b'x'; 16_384])), ()))
    })
}
