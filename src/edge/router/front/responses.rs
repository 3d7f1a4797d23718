//! How a caller's request ends: the server's answer passed on, or an answer of this host's own, with
//! its line in the log.

use std::time;

use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::exchange;
use crate::edge::router::front;
use crate::edge::router::http_client;
use crate::edge::router::local_response;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::edge::router::traffic;
use crate::serving::delivery;
use crate::serving::directory;
use crate::serving::estimate;

/// The shortest time after which a refused caller is told to come back, in milliseconds.
pub const MIN_RETURN_MS: f64 = 40.0;
/// The part of a caller's time left that it may be told to wait.
pub const MAX_RETURN_PART: f64 = 0.32;

impl<C: ports::HeaderCodec> front::CallerRequest<C> {
    pub(super) fn pass_answer(
        &self,
        answer: exchange::ServerResponse,
        slot: slots::ServerSlot<C>,
    ) -> actix_web::HttpResponse {
        let status = actix_web::http::StatusCode::from_u16(answer.head.status.as_u16());
        let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
        let mut response = actix_web::HttpResponse::build(status);
        for (name, value) in &answer.head.headers {
            let name = name.as_str();
            if exchange::CONNECTION_HEADERS.contains(&name) || name == "content-length" {
                continue;
            }
            response.append_header((name, value.as_bytes()));
        }
        self.note_answered(&slot, status.as_u16());
        let Some(body) = answer.body else {
            drop(slot);
            return response.body(answer.first);
        };
        let length = answer.head.headers.get(hyper::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let parts = stream_rest(answer.first, body, slot);
        match length {
            Some(length) => response.body(actix_web::body::SizedStream::new(length, parts)),
            None => response.body(actix_web::body::BodyStream::new(parts)),
        }
    }

    fn note_answered(&self, slot: &slots::ServerSlot<C>, status: u16) {
        let elapsed = self.thread.parts.clock.now().since(self.arrived);
        let failed = status >= 500;
        let end = if failed { "failed" } else { "answered" };
        let metrics = &self.thread.parts.metrics;
        metrics.note_end(self.route.name.as_str(), end, elapsed.as_secs_f64());
        if (failed || self.thread.lines.samples_answered()) && self.thread.lines.take() {
            tracing::info!(
                event = "request-answered",
                id = self.facts.id.as_deref().unwrap_or(""),
                route = %self.route.name,
                service = %self.service,
                key = self.key,
                version = self.version,
                server = %slot.record.life.server,
                status,
                after_ms = elapsed.as_millis()
            );
        }
    }

    pub(super) fn answer_end(
        &self,
        action: Option<delivery::DeliveryAction>,
        refused: local_response::LocalResponse,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let own = match action {
            Some(delivery::DeliveryAction::Refuse) => refused,
            Some(delivery::DeliveryAction::TellTimeout) => local_response::LocalResponse::Timeout,
            _ => local_response::LocalResponse::Broken,
        };
        self.answer_own(own, record)
    }

    pub(super) fn answer_own(
        &self,
        own: local_response::LocalResponse,
        record: Option<&directory::ServerRecord>,
    ) -> actix_web::HttpResponse {
        let now = self.thread.parts.clock.now();
        let elapsed = now.since(self.arrived);
        let route = self.route.name.as_str();
        self.thread
            .parts
            .metrics
            .note_end(route, own.as_str(), elapsed.as_secs_f64());
        if self.thread.lines.take() {
            tracing::info!(
                event = "request-ended",
                id = self.facts.id.as_deref().unwrap_or(""),
                route,
                service = %self.service,
                key = self.key,
                version = self.version,
                term = self.thread.parts.view.load().table.term,
                status = own.status(),
                cause = own.as_str(),
                server = record.map_or("", |record| record.life.server.as_str()),
                after_ms = elapsed.as_millis()
            );
        }
        let back = (own.status() == 503).then(|| self.return_after(now));
        local_response::respond(own, back)
    }

    // When a refused caller may come back: when room is likely, spread out, and in time.
    fn return_after(&self, now: clock::MonoTime) -> time::Duration {
        let patience = self.facts.patience.unwrap_or(self.route.timeout);
        let left = (self.arrived + patience).since(now).as_secs_f64() * 1_000.0;
        let request = self.request(false, None, 0);
        let wait = self.thread.scheduler.borrow().expected_wait(&request, now);
        let wait = wait.as_secs_f64() * 1_000.0 + MIN_RETURN_MS;
        let spread = wait * rand::random_range(0.8..1.6);
        let most = (left * MAX_RETURN_PART).max(0.0);
        time::Duration::from_secs_f64(spread.min(most * rand::random_range(0.7..1.0)) / 1_000.0)
    }

    pub(super) fn note_attempt(
        &self,
        record: &directory::ServerRecord,
        end: &exchange::AttemptEnd,
        action: Option<delivery::DeliveryAction>,
    ) {
        if !self.thread.lines.take() {
            return;
        }
        tracing::info!(
            event = "attempt-ended",
            id = self.facts.id.as_deref().unwrap_or(""),
            route = %self.route.name,
            server = %record.life.server,
            key = self.key,
            then = ?action,
            fault = end.fault()
        );
    }
}

pub(super) fn note_own<C: ports::HeaderCodec>(
    thread: &traffic::TrafficThread<C>,
    own: local_response::LocalResponse,
    id: Option<&str>,
) {
    thread.parts.metrics.note_end("", own.as_str(), 0.0);
    if thread.lines.take() {
        let id = id.unwrap_or("");
        tracing::info!(
            event = "request-ended",
            id,
            status = own.status(),
            cause = own.as_str()
        );
    }
}

type BodyPart = Result<bytes::Bytes, std::io::Error>;

// Passes the rest of an answer on as it comes; the slot ends with it.
fn stream_rest<C: ports::HeaderCodec>(
    first: bytes::Bytes,
    body: http_client::ResponseBody,
    slot: slots::ServerSlot<C>,
) -> impl futures_util::Stream<Item = BodyPart> {
    let head = futures_util::stream::once(async move { Ok(first) });
    let state = Some((body, slot));
    let tail = futures_util::stream::unfold(state, |state| async move {
        let (mut body, mut slot) = state?;
        match body.next_part().await {
            Ok(Some(part)) => Some((Ok(part), Some((body, slot)))),
            Ok(None) => {
                slot.end = estimate::ExchangeEnd::Answered;
                slot.thread.client.keep(body);
                None
            }
            Err(fault) => {
                tracing::info!(event = "answer-cut", fault = %fault);
                slot.end = estimate::ExchangeEnd::Broken;
                Some((Err(std::io::Error::other(fault.to_string())), None))
            }
        }
    });
    head.chain(tail)
}
