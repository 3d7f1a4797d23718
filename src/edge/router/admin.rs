//! The listeners for the few questions of the platform and of operators: whether a host is ready,
//! what it knows, where a key's requests go, its metrics.

use std::net;
use std::sync;
use std::sync::atomic;

use actix_web::web;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::listen;
use crate::edge::router::metrics;
use crate::edge::router::traffic;
use crate::names;
use crate::serving::report;
use crate::serving::status;

/// Where metrics are served.
pub const METRICS_PATH: &str = "/metrics";
/// Where operators ask what a host knows.
pub const STATUS_PATH: &str = "/status";
/// Where operators ask for a key, with the service and the key after it.
pub const EXPLAIN_PATH: &str = "/explain";

/// What the answers are made of.
#[derive(Clone)]
pub struct AdminState {
    /// Who the host is.
    pub own: status::HostRecord,
    /// Whether it can serve.
    pub ready: sync::Arc<atomic::AtomicBool>,
    /// Whether it is stopping.
    pub stopping: sync::Arc<atomic::AtomicBool>,
    /// The requests under way.
    pub in_flight: sync::Arc<atomic::AtomicI64>,
    /// What the host knows.
    pub view: traffic::SharedView,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
    /// The clock.
    pub clock: clock::SystemClock,
}

impl AdminState {
    fn phase(&self) -> report::HostPhase {
        if self.stopping.load(atomic::Ordering::Relaxed) {
            return report::HostPhase::Stopping;
        }
        if self.ready.load(atomic::Ordering::Relaxed) {
            return report::HostPhase::Ready;
        }
        report::HostPhase::Starting
    }

    fn facts(&self) -> report::HostFacts {
        report::HostFacts {
            host: self.own.host.clone(),
            domain: self.own.domain.clone(),
            phase: self.phase(),
            granting: self.metrics.granting.get() > 0,
            store_lost: self.metrics.store_lost.get() > 0,
            in_flight: self.in_flight.load(atomic::Ordering::Relaxed),
        }
    }
}

/// Answers the platform, which asks at `path` whether the host is ready.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn listen_ready(
    address: net::SocketAddr,
    path: &'static str,
    state: AdminState,
) -> Result<(), std::io::Error> {
    let state = web::Data::new(state);
    listen_quietly(address, move |app| {
        app.app_data(state.clone())
            .route(path, web::get().to(answer_ready));
    })
}

/// Answers operators.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn listen_operators(address: net::SocketAddr, state: AdminState) -> Result<(), std::io::Error> {
    let state = web::Data::new(state);
    let explain = format!("{EXPLAIN_PATH}/{{service}}/{{key}}");
    listen_quietly(address, move |app| {
        app.app_data(state.clone())
            .route(METRICS_PATH, web::get().to(answer_metrics))
            .route(STATUS_PATH, web::get().to(answer_status))
            .route(&explain, web::get().to(answer_key));
    })
}

// Listens until the process ends.
fn listen_quietly(
    address: net::SocketAddr,
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> Result<(), std::io::Error> {
    let server =
        actix_web::HttpServer::new(move || actix_web::App::new().configure(|app| configure(app)))
            .workers(1)
            .disable_signals()
            .bind(address)?
            .run();
    drop(listen::spawn(server));
    Ok(())
}

async fn answer_ready(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    if state.phase() == report::HostPhase::Ready {
        return actix_web::HttpResponse::Ok().finish();
    }
    actix_web::HttpResponse::ServiceUnavailable().finish()
}

async fn answer_metrics(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    match state.metrics.encode() {
        Ok(text) => actix_web::HttpResponse::Ok().body(text),
        Err(fault) => {
            tracing::warn!(event = "metrics-not-written", fault = %fault);
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}

async fn answer_status(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    let report = report::report_host(&state.view.load(), state.facts());
    actix_web::HttpResponse::Ok().json(report)
}

async fn answer_key(
    state: web::Data<AdminState>,
    asked: web::Path<(names::ServiceName, u16)>,
) -> actix_web::HttpResponse {
    let (service, key) = asked.into_inner();
    let now = state.clock.now();
    match report::report_key(&state.view.load(), &service, key, now) {
        Some(report) => actix_web::HttpResponse::Ok().json(report),
        None => actix_web::HttpResponse::NotFound().finish(),
    }
}
