//! The steps of one request in a flood, from the queue to its outcome.

use crate::flood;
use rand::RngExt as _;
use std::time;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::flow;
use zinniastack::limit;
use zinniastack::outcome;
use zinniastack::queue;

impl flood::FloodRun {
    pub(super) fn enqueue(&mut self, id: usize, is_retry: bool) {
        let queue_index = self.queue_index(id);
        let request = &self.requests[id];
        let number = u8::try_from(request.rank + 1).unwrap_or(u8::MAX);
        let Ok(rank) = configuration::WorkRank::new(number) else {
            return;
        };
        let waiting = queue::WaitingRequest {
            ticket: id,
            rank,
            arrived: request.arrived,
            deadline: request.deadline,
        };
        let queue = &mut self.queues[queue_index];
        let pushed = if is_retry {
            queue.push_retry(waiting, self.now)
        } else {
            queue.push(waiting, self.now)
        };
        if let Err(dropped) = pushed {
            self.refuse(dropped.ticket, dropped.reason);
        }
        self.dispatch_waiting(queue_index);
    }

    pub(super) fn refuse(&mut self, id: usize, reason: outcome::RefusalReason) {
        let facts = flow::RequestFacts::default();
        let request = &mut self.requests[id];
        request.flow.handle(flow::RequestEvent::QueueRefused, facts);
        request.closed = true;
        let reported_not_run = request.flow.outcome() == outcome::RequestOutcome::NotRun;
        let (phase, rank, ran) = (request.phase, request.rank, request.runs > 0);
        let arrived = request.arrived;
        self.record_missed_deadline(phase, arrived);
        if reported_not_run && ran {
            self.report.not_run_but_ran += 1;
        }
        *self.tally(phase, rank).refused.entry(reason).or_default() += 1;
    }

    pub(super) fn dispatch_waiting(&mut self, queue_index: usize) {
        let result = self.queues[queue_index].dispatch_waiting(self.now);
        for dropped in result.dropped {
            self.refuse(dropped.ticket, dropped.reason);
        }
        for id in result.permitted {
            let facts = flow::RequestFacts::default();
            let request = &mut self.requests[id];
            request.flow.handle(flow::RequestEvent::Permitted, facts);
            request.sent_at = self.now;
            if request.flow.retries() == 0 {
                self.report.sent += 1;
            } else {
                self.report.retried += 1;
            }
            let hop = self.hop_to_server();
            self.push(flood::FloodEvent::AtServer(id), hop);
        }
    }

    pub(super) fn at_server(&mut self, id: usize) {
        let server = self.requests[id].server;
        let full = self.servers[server].running >= self.site.slots;
        if !full {
            self.start(id);
        } else if self.policy == queue::QueuePolicy::FirstInFirstOut {
            self.servers[server].backlog.push_back(id);
        } else {
            let hop = self.hop_to_server();
            self.push(flood::FloodEvent::Shed(id), hop);
        }
    }

    fn start(&mut self, id: usize) {
        let server = self.requests[id].server;
        self.servers[server].running += 1;
        self.requests[id].runs += 1;
        if self.requests[id].runs > 1 {
            self.report.doubled += 1;
        }
        let spread = self.generator.random_range(0.5..1.5);
        let mean = time::Duration::from_micros(self.site.service_us);
        self.push(flood::FloodEvent::Served(id), mean.mul_f64(spread));
    }

    pub(super) fn served(&mut self, id: usize) {
        let server = self.requests[id].server;
        self.servers[server].running -= 1;
        *self.report.finished.entry(self.phase()).or_default() += 1;
        if let Some(next) = self.servers[server].backlog.pop_front() {
            self.start(next);
        }
        let hop = self.hop_to_server();
        self.push(flood::FloodEvent::Answered(id), hop);
    }

    pub(super) fn answered(&mut self, id: usize) {
        let facts = flow::RequestFacts::default();
        let queue_index = self.queue_index(id);
        let now = self.now;
        let request = &mut self.requests[id];
        request
            .flow
            .handle(flow::RequestEvent::AnsweredWhole, facts);
        request.closed = true;
        let elapsed = now.since(request.sent_at);
        let (host, server) = (request.host, request.server);
        let back = now + self.hop_to_gate(host, server);
        let request = &self.requests[id];
        let total = back.since(request.arrived);
        let on_time = back <= request.deadline;
        let (phase, rank, arrived) = (request.phase, request.rank, request.arrived);
        let tally = self.tally(phase, rank);
        if on_time {
            tally.on_time += 1;
            let micros = u64::try_from(total.as_micros()).unwrap_or(u64::MAX);
            tally.latencies_us.push(micros);
        } else {
            tally.late += 1;
        }
        if !on_time {
            self.record_missed_deadline(phase, arrived);
        }
        self.queues[queue_index].finish(limit::LimitSignal::Answered, elapsed);
        self.dispatch_waiting(queue_index);
    }

    // The recovery time runs from a flood's end to the last arrival that was not answered in time.
    pub(super) fn record_missed_deadline(
        &mut self,
        phase: flood::FloodPhase,
        arrived: clock::MonoTime,
    ) {
        if matches!(
            phase,
            flood::FloodPhase::AfterLow | flood::FloodPhase::AfterHigh
        ) {
            let since = arrived.as_millis() % self.phase_ms;
            let recovery = self.report.recovery_ms.entry(phase).or_default();
            *recovery = since.max(*recovery);
        }
    }

    pub(super) fn shed(&mut self, id: usize) {
        let queue_index = self.queue_index(id);
        let facts = flow::RequestFacts {
            no_time_left: self.now >= self.requests[id].deadline,
            ..flow::RequestFacts::default()
        };
        let elapsed = self.now.since(self.requests[id].sent_at);
        let request = &mut self.requests[id];
        let actions = request
            .flow
            .handle(flow::RequestEvent::RefusedNotRun, facts);
        self.queues[queue_index].finish(limit::LimitSignal::Overloaded, elapsed);
        if actions.contains(&flow::RequestAction::EnqueueAgain) {
            self.enqueue(id, true);
        } else {
            self.refuse(id, outcome::RefusalReason::ServerShed);
        }
        self.dispatch_waiting(queue_index);
    }
}
