//! The answers that a host gives itself.

use std::time;

use crate::serving::scheduler;

/// Why a request is answered by this host itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// No route fits.
    NoRoute,
    /// No set of routes is known yet.
    Starting,
    /// The host is about to end.
    Stopping,
    /// A header is missing or malformed.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// No server can take it; it did not run.
    Refused(scheduler::SchedulerRefusal),
    /// No server took it; it did not run.
    NotRun,
    /// Its end is not known.
    Broken,
    /// The time is over.
    Timeout,
}

impl LocalResponse {
    /// All of them.
    pub const ALL: [Self; 14] = [
        Self::NoRoute,
        Self::Starting,
        Self::Stopping,
        Self::Malformed,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::BodyTimeout,
        Self::Refused(scheduler::SchedulerRefusal::Crowded),
        Self::Refused(scheduler::SchedulerRefusal::NoServer),
        Self::Refused(scheduler::SchedulerRefusal::TooLate),
        Self::Refused(scheduler::SchedulerRefusal::Budget),
        Self::NotRun,
        Self::Broken,
        Self::Timeout,
    ];

    /// Returns the status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::BodyTimeout => 408,
            Self::Starting | Self::Stopping | Self::Refused(_) | Self::NotRun => 503,
            Self::Broken => 502,
            Self::Timeout => 504,
        }
    }

    /// Returns the cause's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::Refused(scheduler::SchedulerRefusal::Crowded) => "crowded",
            Self::Refused(scheduler::SchedulerRefusal::NoServer) => "no-server",
            Self::Refused(scheduler::SchedulerRefusal::TooLate) => "too-late",
            Self::Refused(scheduler::SchedulerRefusal::Budget) => "retry-budget",
            Self::NotRun => "not-run",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
        }
    }
}

/// Writes an answer of this host's own; `back` tells a refused caller when to come back.
#[must_use]
pub fn respond(own: LocalResponse, back: Option<time::Duration>) -> actix_web::HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(own.status());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = actix_web::HttpResponse::build(status);
    if let Some(back) = back {
        response.insert_header(("retry-after", format!("{:.3}", back.as_secs_f64())));
    }
    response.body(own.as_str())
}
