//! Responses that an entry host makes itself, without one of a server.

use std::time;

use crate::edge::caller_listener;
use crate::edge::router::front;
use crate::serving::scheduler;

/// Why a host responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// No route matches.
    NoRoute,
    /// No route matches, but newer routes may exist: the store rejects this host.
    RoutesUnconfirmed,
    /// No set of routes is known yet.
    Starting,
    /// A required header is missing or malformed, or the body could not be read.
    Malformed,
    /// The request's head is too large.
    HeadTooLarge,
    /// The request's body is too large.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// The host's memory is used up, or the request gave way to others; it did not run.
    HostFull,
    /// The scheduler refused the request; it did not run.
    Refused(scheduler::SchedulerRefusal),
    /// No server accepted the request; it did not run.
    NotRun,
    /// The outcome is unknown: a server may have run the request.
    Broken,
    /// The request's deadline has passed.
    Timeout,
}

impl LocalResponse {
    /// All local responses.
    pub const ALL: [Self; 18] = [
        Self::NoRoute,
        Self::RoutesUnconfirmed,
        Self::Starting,
        Self::Malformed,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::BodyTimeout,
        Self::HostFull,
        Self::Refused(scheduler::SchedulerRefusal::Crowded),
        Self::Refused(scheduler::SchedulerRefusal::NoServer),
        Self::Refused(scheduler::SchedulerRefusal::TooLate),
        Self::Refused(scheduler::SchedulerRefusal::Budget),
        Self::Refused(scheduler::SchedulerRefusal::Stopping),
        Self::Refused(scheduler::SchedulerRefusal::ColdServer),
        Self::Refused(scheduler::SchedulerRefusal::Outdated),
        Self::NotRun,
        Self::Broken,
        Self::Timeout,
    ];

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::BodyTimeout => 408,
            Self::RoutesUnconfirmed
            | Self::Starting
            | Self::HostFull
            | Self::Refused(_)
            | Self::NotRun => 503,
            Self::Broken => 502,
            Self::Timeout => 504,
        }
    }

    /// Returns the cause as it is named in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::RoutesUnconfirmed => "routes-unconfirmed",
            Self::Starting => "starting",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::HostFull => "host-full",
            Self::Refused(scheduler::SchedulerRefusal::Crowded) => "crowded",
            Self::Refused(scheduler::SchedulerRefusal::NoServer) => "no-server",
            Self::Refused(scheduler::SchedulerRefusal::TooLate) => "too-late",
            Self::Refused(scheduler::SchedulerRefusal::Budget) => "retry-budget",
            Self::Refused(scheduler::SchedulerRefusal::Stopping) => "stopping",
            Self::Refused(scheduler::SchedulerRefusal::ColdServer) => "cold-server",
            Self::Refused(scheduler::SchedulerRefusal::Outdated) => "records-outdated",
            Self::NotRun => "not-run",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
        }
    }
}

/// Makes the response to a request that reaches a host after it has stopped accepting.
#[must_use]
pub fn stopping_refusal(_head: &str) -> String {
    let local = LocalResponse::Refused(scheduler::SchedulerRefusal::Stopping);
    let delay = time::Duration::from_millis(front::EARLY_RETRY_AFTER_MS);
    let retry_after = retry_after_text(delay);
    let headers = [("retry-after", retry_after.as_str())];
    caller_listener::refusal_text(local.status(), &headers, local.as_str())
}

fn retry_after_text(delay: time::Duration) -> String {
    format!("{:.3}", delay.as_secs_f64())
}

/// Builds the HTTP response; `retry_after` becomes its `retry-after` header.
#[must_use]
pub fn respond(
    local: LocalResponse,
    retry_after: Option<time::Duration>,
) -> actix_web::HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(local.status());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = actix_web::HttpResponse::build(status);
    if local == LocalResponse::HostFull {
        // The remainder of the body is not read.
        response.force_close();
    }
    if let Some(delay) = retry_after {
        response.insert_header(("retry-after", retry_after_text(delay)));
    }
    response.body(local.as_str())
}
