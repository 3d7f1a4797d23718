//! Responses to callers: a server's response that is forwarded, or a local one, with the log line
//! and the metrics of the request's end.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::exchange;
use crate::edge::router::front;
use crate::edge::router::front::pump;
use crate::edge::router::local_response;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::edge::router::traffic;
use crate::memory::limits;
use crate::serving::delivery;
use crate::serving::directory;

/// Added to the expected wait in `retry-after`, in milliseconds.
pub const MIN_RETRY_AFTER_MS: f64 = 40.0;
/// The largest part of a caller's remaining time that `retry-after` takes up.
pub const MAX_RETRY_AFTER_SHARE: f64 = 0.32;

impl<C: ports::HeaderCodec> front::CallerRequest<C> {
    pub(super) fn forward_response(
        &self,
        server_response: exchange::ServerResponse,
        slot: slots::ServerSlot<C>,
    ) -> actix_web::HttpResponse {
        let headers = &server_response.head.headers;
        let length = headers.get(hyper::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if server_response.remainder.is_some() && length.is_none() && !self.takes_chunks() {
            let broken = local_response::LocalResponse::Broken;
            return self.respond_locally(broken, Some(&slot.record));
        }
        let status = actix_web::http::StatusCode::from_u16(server_response.head.status.as_u16());
        let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
        let mut response = actix_web::HttpResponse::build(status);
        for (name, value) in headers {
            let name = name.as_str();
            if exchange::CONNECTION_HEADERS.contains(&name) || name == "content-length" {
                continue;
            }
            response.append_header((name, value.as_bytes()));
        }
        self.log_answered(&slot, status.as_u16());
        let buffered = u64::try_from(server_response.prefix.len()).unwrap_or(u64::MAX);
        let metrics = &self.thread.parts.metrics;
        metrics.response_bytes.inc_by(length.unwrap_or(buffered));
        let Some(body) = server_response.remainder else {
            drop(slot);
            return response.body(server_response.prefix);
        };
        if self.reservation.hold_more(limits::STREAM_BYTES).is_err() {
            let broken = local_response::LocalResponse::Broken;
            return self.respond_locally(broken, Some(&slot.record));
        }
        let remainder = pump::ResponseRemainder {
            body,
            is_reusable: server_response.is_reusable,
            slot,
            reservation: std::rc::Rc::clone(&self.reservation),
        };
        let chunks = pump::stream_body(server_response.prefix, remainder, self.caller_deadline());
        match length {
            Some(length) => response.body(actix_web::body::SizedStream::new(length, chunks)),
            None => response.body(actix_web::body::BodyStream::new(chunks)),
        }
    }

    fn log_answered(&self, slot: &slots::ServerSlot<C>, status: u16) {
        let elapsed = self.thread.parts.clock.now().since(self.arrived);
        let failed = status >= 500;
        let end = if failed { "failed" } else { "answered" };
        let metrics = &self.thread.parts.metrics;
        metrics.note_end(self.route.name.as_str(), end, elapsed.as_secs_f64());
        if (failed || self.thread.log_budget.sample_answered()) && self.thread.log_budget.try_take()
        {
            tracing::info!(
                event = "request-answered",
                id = self.headers.id.as_deref().unwrap_or(""),
                route = %self.route.name,
                service = %self.service,
                key = self.key,
                version = self.version,
                server = %slot.record.life.server,
                records_age_ms = slot.records_age.as_millis(),
                status,
                after_ms = elapsed.as_millis()
            );
        }
    }

    pub(super) fn respond_with_end(
        &self,
        action: Option<delivery::DeliveryAction>,
        refused: local_response::LocalResponse,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let response = match action {
            Some(delivery::DeliveryAction::Refuse) => refused,
            Some(delivery::DeliveryAction::TellTimeout) => local_response::LocalResponse::Timeout,
            _ => local_response::LocalResponse::Broken,
        };
        self.respond_locally(response, record)
    }

    pub(super) fn respond_locally(
        &self,
        response: local_response::LocalResponse,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let now = self.thread.parts.clock.now();
        let elapsed = now.since(self.arrived);
        let route = self.route.name.as_str();
        self.thread
            .parts
            .metrics
            .note_end(route, response.as_str(), elapsed.as_secs_f64());
        if self.thread.log_budget.try_take() {
            tracing::info!(
                event = "request-ended",
                id = self.headers.id.as_deref().unwrap_or(""),
                route,
                service = %self.service,
                key = self.key,
                version = self.version,
                term = self.thread.parts.view.load().table.term,
                status = response.status(),
                cause = response.as_str(),
                server = record.map_or("", |record| record.life.server.as_str()),
                after_ms = elapsed.as_millis()
            );
        }
        let retry_after = match response {
            // Other hosts can serve the caller now.
            front::STOPPING | front::OUTDATED => {
                Some(time::Duration::from_millis(front::EARLY_RETRY_AFTER_MS))
            }
            _ => (response.status() == 503).then(|| self.retry_after(now)),
        };
        local_response::respond(response, retry_after)
    }

    // The time until which the caller waits, which may be later than the route's time-out.
    fn caller_deadline(&self) -> clock::MonoTime {
        self.arrived + self.headers.timeout.unwrap_or(self.route.timeout)
    }

    // The `retry-after` of a refused request: the expected wait for a slot, randomized so that
    // refused callers do not return all at once, and early enough for a retry within the caller's
    // time-out.
    fn retry_after(&self, now: clock::MonoTime) -> time::Duration {
        let left_ms = self.caller_deadline().since(now).as_secs_f64() * 1_000.0;
        let request = self.dispatch_request(false, None, 0);
        let wait = self.thread.scheduler.borrow().expected_wait(&request, now);
        let wait_ms = wait.as_secs_f64() * 1_000.0 + MIN_RETRY_AFTER_MS;
        let spread_ms = wait_ms * rand::random_range(0.8..1.6);
        let max_ms = (left_ms * MAX_RETRY_AFTER_SHARE).max(0.0);
        time::Duration::from_secs_f64(
            spread_ms.min(max_ms * rand::random_range(0.7..1.0)) / 1_000.0,
        )
    }

    pub(super) fn log_attempt(
        &self,
        slot: &slots::ServerSlot<C>,
        end: &exchange::AttemptEnd,
        action: Option<delivery::DeliveryAction>,
    ) {
        if !self.thread.log_budget.try_take() {
            return;
        }
        tracing::info!(
            event = "attempt-ended",
            id = self.headers.id.as_deref().unwrap_or(""),
            route = %self.route.name,
            server = %slot.record.life.server,
            key = self.key,
            records_age_ms = slot.records_age.as_millis(),
            then = ?action,
            fault = end.error_text()
        );
    }
}

pub(super) fn record_early_refusal<C: ports::HeaderCodec>(
    thread: &traffic::TrafficThread<C>,
    response: local_response::LocalResponse,
    id: Option<&str>,
) {
    thread.parts.metrics.note_end("", response.as_str(), 0.0);
    if thread.log_budget.try_take() {
        let id = id.unwrap_or("");
        tracing::info!(
            event = "request-ended",
            id,
            status = response.status(),
            cause = response.as_str()
        );
    }
}
