//! The HTTP endpoints for the platform and for operators: readiness, metrics, the host's status,
//! and the explanation of where a key's requests go.

use std::net;
use std::sync;
use std::sync::atomic;

use actix_web::web;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::listen;
use crate::edge::router::metrics;
use crate::edge::router::shutdown_watch;
use crate::edge::router::traffic;
use crate::names;
use crate::serving::report;
use crate::serving::status;

/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// The path of the host's status.
pub const STATUS_PATH: &str = "/status";
/// The path prefix of a key's explanation; the service and the key follow.
pub const EXPLAIN_PATH: &str = "/explain";

/// The state that the endpoints report on.
#[derive(Clone)]
pub struct AdminState {
    /// This host's record.
    pub own: status::HostRecord,
    /// Whether the host is ready to serve.
    pub ready: sync::Arc<atomic::AtomicBool>,
    /// The host's shutdown.
    pub shutdown: shutdown_watch::ShutdownWatch,
    /// The number of requests in flight.
    pub in_flight: sync::Arc<atomic::AtomicI64>,
    /// The view that the control thread publishes.
    pub view: traffic::SharedView,
    /// The metrics.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
    /// The clock.
    pub clock: clock::SystemClock,
}

impl AdminState {
    fn phase(&self) -> report::HostPhase {
        if self.shutdown.times().is_some() {
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

/// Serves the platform's readiness check at `path`.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn listen_ready(
    address: net::SocketAddr,
    path: &'static str,
    state: AdminState,
) -> Result<(), std::io::Error> {
    let state = web::Data::new(state);
    listen_admin(address, move |app| {
        app.app_data(state.clone())
            .route(path, web::get().to(respond_ready));
    })
}

/// Serves the operators' endpoints.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn listen_operators(address: net::SocketAddr, state: AdminState) -> Result<(), std::io::Error> {
    let state = web::Data::new(state);
    let explain = format!("{EXPLAIN_PATH}/{{service}}/{{key}}");
    listen_admin(address, move |app| {
        app.app_data(state.clone())
            .route(METRICS_PATH, web::get().to(respond_metrics))
            .route(STATUS_PATH, web::get().to(respond_status))
            .route(&explain, web::get().to(respond_key));
    })
}

// Serves until the process ends.
fn listen_admin(
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

async fn respond_ready(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    if state.phase() == report::HostPhase::Ready {
        return actix_web::HttpResponse::Ok().finish();
    }
    actix_web::HttpResponse::ServiceUnavailable().finish()
}

async fn respond_metrics(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    match state.metrics.encode() {
        Ok(text) => actix_web::HttpResponse::Ok().body(text),
        Err(error) => {
            tracing::warn!(event = "metrics-not-written", fault = %error);
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}

async fn respond_status(state: web::Data<AdminState>) -> actix_web::HttpResponse {
    let report = report::report_host(&state.view.load(), state.facts());
    actix_web::HttpResponse::Ok().json(report)
}

async fn respond_key(
    state: web::Data<AdminState>,
    path: web::Path<(names::ServiceName, u16)>,
) -> actix_web::HttpResponse {
    let (service, key) = path.into_inner();
    let now = state.clock.now();
    match report::report_key(&state.view.load(), &service, key, now) {
        Some(report) => actix_web::HttpResponse::Ok().json(report),
        None => actix_web::HttpResponse::NotFound().finish(),
    }
}
