//! The operators' listener: patches, status, explanations, metrics and health.

use std::sync;

use actix_web::web;

use crate::configuration;
use crate::edge::callers;
use crate::edge::controller;
use crate::edge::metrics;
use crate::names;
use crate::record;
use crate::replay;

/// The largest patch that is accepted, in bytes.
pub const MAX_PATCH_BYTES: usize = record::MAX_RECORD_BYTES;

/// What the handlers of the operators' listener share.
pub struct OperatorContext {
    /// The handle of the control thread.
    pub control: controller::ControlHandle,
    /// The context that the traffic threads share.
    pub callers: web::Data<callers::CallerContext>,
    /// The host's metrics.
    pub metrics: sync::Arc<metrics::HostMetrics>,
}

/// A patch as an operator submits it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PatchSubmission {
    /// The patch's id, by which its status can be queried.
    pub id: names::RecordId,
    /// The configuration version that the changes are based on.
    pub base: u64,
    /// The changes.
    pub changes: Vec<configuration::ConfigurationChange>,
}

/// Whether a shard is assigned, and whether the assignment is in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AssignmentStatus {
    /// This host knows of no owner.
    None,
    /// The owner holds the grant, which is not in the log yet.
    Provisional,
    /// The owner holds the grant, which is in the log.
    InPlace,
}

impl AssignmentStatus {
    /// Returns the status as it is shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Provisional => "provisional",
            Self::InPlace => "in place",
        }
    }
}

/// Where a key's requests go, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyExplanation {
    /// The service.
    pub service: names::ServiceName,
    /// The key.
    pub key: String,
    /// The key's shard.
    pub shard: names::ShardId,
    /// The failure domain whose granter assigns the shard.
    pub home: Option<names::DomainName>,
    /// The owner.
    pub owner: Option<names::ServerName>,
    /// The fence of the owner's grant.
    pub fence: Option<String>,
    /// Whether the assignment is in the log. Until it is, it may be lost with its granter.
    pub standing: AssignmentStatus,
    /// Whether this host may send requests to the owner now: it needs a table lease for an
    /// unchecked one.
    pub may_send: bool,
    /// A sentence that says which grant made the owner, or why there is none.
    pub because: String,
}

async fn submit_patch(
    submission: web::Json<PatchSubmission>,
    context: web::Data<OperatorContext>,
) -> actix_web::HttpResponse {
    let submission = submission.into_inner();
    let id = submission.id.clone();
    let body = record::PatchBody {
        base: submission.base,
        changes: submission.changes,
    };
    let record = record::LogRecord::new(id.clone(), record::RecordBody::Patch(body));
    let verdict = context.control.submit(record).await;
    let known = context.control.patch_status(id.clone()).await;
    let status = controller::PatchStatus {
        spread: known.and_then(|status| status.spread),
        id,
        verdict,
    };
    let mut builder = match &status.verdict {
        Some(replay::PatchVerdict::Accepted { .. }) => actix_web::HttpResponse::Ok(),
        Some(replay::PatchVerdict::Stale { .. }) => actix_web::HttpResponse::Conflict(),
        Some(replay::PatchVerdict::Invalid(_)) => actix_web::HttpResponse::UnprocessableEntity(),
        None => actix_web::HttpResponse::Accepted(),
    };
    builder.json(status)
}

async fn show_patch(
    id: web::Path<names::RecordId>,
    context: web::Data<OperatorContext>,
) -> actix_web::HttpResponse {
    match context.control.patch_status(id.into_inner()).await {
        Some(status) => actix_web::HttpResponse::Ok().json(status),
        None => actix_web::HttpResponse::NotFound().finish(),
    }
}

async fn status(context: web::Data<OperatorContext>) -> actix_web::HttpResponse {
    match context.control.status().await {
        Some(status) => actix_web::HttpResponse::Ok().json(status),
        None => actix_web::HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn explain(
    path: web::Path<(String, String)>,
    context: web::Data<OperatorContext>,
) -> actix_web::HttpResponse {
    use crate::clock::MonoClock as _;
    let (service, key) = path.into_inner();
    let table = context.callers.table.load_full();
    let Some(lookup) = table.lookup(&service, &key) else {
        return actix_web::HttpResponse::NotFound().finish();
    };
    let now = context.callers.clock.now();
    let route = lookup.route;
    let logged = context.control.assigned_fence(lookup.shard.clone()).await;
    let standing = match route.map(|route| &route.fence) {
        None => AssignmentStatus::None,
        Some(fence) if logged.as_ref() == Some(fence) => AssignmentStatus::InPlace,
        Some(_) => AssignmentStatus::Provisional,
    };
    let homes = &lookup.service.homes;
    let home = homes[lookup.shard.index as usize % homes.len()].clone();
    let explanation = KeyExplanation {
        service: lookup.service.name.clone(),
        key,
        home: Some(route.map_or(home, |route| route.server.domain.clone())),
        owner: route.map(|route| route.server.name.clone()),
        fence: route.map(|route| route.fence.to_string()),
        standing,
        may_send: route.is_some_and(|route| table.may_send(&route.server, now)),
        because: describe_grant(lookup.route),
        shard: lookup.shard,
    };
    actix_web::HttpResponse::Ok().json(explanation)
}

fn describe_grant(route: Option<&crate::table::ShardRoute>) -> String {
    match route {
        None => "no server holds the shard, or this host has no table of its domain yet".into(),
        Some(route) => format!(
            "granted by host {} as grant {} of its term {}",
            route.fence.term.host, route.fence.sequence, route.fence.term.number
        ),
    }
}

async fn metrics_page(context: web::Data<OperatorContext>) -> actix_web::HttpResponse {
    actix_web::HttpResponse::Ok()
        .content_type(metrics::CONTENT_TYPE)
        .body(context.metrics.encode())
}

async fn health() -> actix_web::HttpResponse {
    actix_web::HttpResponse::Ok().body("ok\n")
}

async fn ready(context: web::Data<OperatorContext>) -> actix_web::HttpResponse {
    let stopping = context
        .callers
        .stopping
        .load(sync::atomic::Ordering::Relaxed);
    if stopping {
        return actix_web::HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if context.callers.table.load().version == 0 {
        return actix_web::HttpResponse::ServiceUnavailable().body("no configuration yet\n");
    }
    actix_web::HttpResponse::Ok().body("ready\n")
}

/// Adds the operators' routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_PATCH_BYTES))
        .route("/patches", web::post().to(submit_patch))
        .route("/patches/{id}", web::get().to(show_patch))
        .route("/status", web::get().to(status))
        .route("/explain/{service}/{key}", web::get().to(explain))
        .route("/metrics", web::get().to(metrics_page))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready));
}
