//! The dispatch thread: one arbiter owns the queues of all servers, so that traffic threads share
//! no lock. A traffic thread acquires a permit before it sends a request, and releases it when the
//! exchange has ended.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::configuration;
use crate::edge::controller;
use crate::limit;
use crate::names;
use crate::outcome;
use crate::peer;
use crate::queue;

/// The most requests that wait in the channel to the dispatch thread. Further ones are refused.
pub const MAX_PENDING_REQUESTS: usize = 65_536;
/// The interval at which queued requests whose callers no longer wait are removed, in milliseconds.
pub const SWEEP_MS: u64 = 20;

/// The interval at which the load of each shard is reported to the control thread, in seconds.
pub const LOAD_INTERVAL_S: u64 = 1;

type PermitResult = Result<SendPermit, outcome::RefusalReason>;

/// A request for a slot at a server.
pub struct SlotRequest {
    /// The server.
    pub server: sync::Arc<configuration::ServerSpec>,
    /// The shard that the request counts as load of.
    pub shard: names::ShardId,
    /// The number of hosts that share the server's slots.
    pub hosts: usize,
    /// The request's rank.
    pub rank: configuration::WorkRank,
    /// The floor of each rank: the least share of the server that it gets, in percent.
    pub floors: [u8; configuration::WorkRank::COUNT],
    /// When the request arrived.
    pub arrived: clock::MonoTime,
    /// The deadline of the response.
    pub deadline: clock::MonoTime,
    /// Whether the request is a retry, which counts against the retry budget.
    pub is_retry: bool,
}

struct SlotTicket {
    sender: oneshot::Sender<PermitResult>,
    server: names::ServerName,
}

struct FinishedSlot {
    server: names::ServerName,
    signal: limit::LimitSignal,
    elapsed: time::Duration,
}

/// A slot at a server, held for one request and released on [`finish`](Self::finish) or drop.
pub struct SendPermit {
    server: names::ServerName,
    finished: mpsc::UnboundedSender<FinishedSlot>,
    started: time::Instant,
    signal: limit::LimitSignal,
}

impl SendPermit {
    /// Releases the slot and reports how the exchange ended.
    pub fn finish(mut self, signal: limit::LimitSignal) {
        self.signal = signal;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let slot = FinishedSlot {
            server: self.server.clone(),
            signal: self.signal,
            elapsed: self.started.elapsed(),
        };
        // The receiver is gone if the dispatch thread ended first.
        let _ = self.finished.send(slot);
    }
}

/// A handle to the dispatch thread.
#[derive(Clone)]
pub struct DispatchHandle {
    requests: mpsc::Sender<(SlotRequest, SlotTicket)>,
}

impl DispatchHandle {
    /// Waits for a slot. If the future is dropped, the request is removed from the queue at the
    /// next sweep.
    ///
    /// # Errors
    /// Fails with the reason for which the queue refused or dropped the request.
    pub async fn acquire(&self, request: SlotRequest) -> PermitResult {
        let (sender, receiver) = oneshot::channel();
        let server = request.server.name.clone();
        let ticket = SlotTicket { sender, server };
        if self.requests.try_send((request, ticket)).is_err() {
            return Err(outcome::RefusalReason::QueueFull);
        }
        let stopping = Err(outcome::RefusalReason::Stopping);
        receiver.await.unwrap_or(stopping)
    }
}

struct Dispatcher {
    loads: collections::HashMap<names::ShardId, u32>,
    clock: clock::SystemClock,
    queues: collections::HashMap<names::ServerName, queue::ServerQueue<SlotTicket>>,
    finished: mpsc::UnboundedSender<FinishedSlot>,
}

/// Starts the dispatch loop on an arbiter.
#[must_use]
pub fn start(
    arbiter: &actix::ArbiterHandle,
    clock: clock::SystemClock,
    control: controller::ControlHandle,
) -> DispatchHandle {
    let (requests, mut incoming) = mpsc::channel(MAX_PENDING_REQUESTS);
    let (finished, mut finished_slots) = mpsc::unbounded_channel();
    let mut dispatcher = Dispatcher {
        loads: collections::HashMap::new(),
        clock,
        queues: collections::HashMap::new(),
        finished,
    };
    arbiter.spawn(async move {
        let mut report = tokio::time::interval(time::Duration::from_secs(LOAD_INTERVAL_S));
        let mut sweep = tokio::time::interval(time::Duration::from_millis(SWEEP_MS));
        loop {
            tokio::select! {
                Some(slot) = finished_slots.recv() => dispatcher.finish(&slot),
                message = incoming.recv() => match message {
                    Some((request, ticket)) => dispatcher.enqueue(&request, ticket),
                    None => break,
                },
                _ = sweep.tick() => dispatcher.sweep(),
                _ = report.tick() => control.note_loads(dispatcher.take_loads()),
            }
        }
    });
    DispatchHandle { requests }
}

impl Dispatcher {
    fn take_loads(&mut self) -> Vec<peer::ShardLoad> {
        let counted = self.loads.drain();
        let seconds = f64::from(u32::try_from(LOAD_INTERVAL_S).unwrap_or(u32::MAX));
        let loads = counted.map(|(shard, count)| peer::ShardLoad {
            shard,
            rate: f64::from(count) / seconds,
        });
        loads.collect()
    }

    fn enqueue(&mut self, request: &SlotRequest, ticket: SlotTicket) {
        let now = self.clock.now();
        let name = request.server.name.clone();
        *self.loads.entry(request.shard.clone()).or_default() += 1;
        let queue = self.queues.entry(name.clone()).or_insert_with(|| {
            let queue = queue::ServerQueue::new(request.server.slots, request.hosts);
            queue.with_floors(request.floors)
        });
        let waiting = queue::WaitingRequest {
            ticket,
            rank: request.rank,
            arrived: request.arrived,
            deadline: request.deadline,
        };
        let pushed = if request.is_retry {
            queue.push_retry(waiting, now)
        } else {
            queue.push(waiting, now)
        };
        if let Err(dropped) = pushed {
            refuse(dropped);
        }
        self.dispatch_waiting(&name);
    }

    fn finish(&mut self, slot: &FinishedSlot) {
        if let Some(queue) = self.queues.get_mut(&slot.server) {
            queue.finish(slot.signal, slot.elapsed);
        }
        self.dispatch_waiting(&slot.server);
    }

    fn sweep(&mut self) {
        let names: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.waiting() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(queue) = self.queues.get_mut(&name) {
                queue.retain(|ticket| !ticket.sender.is_closed());
            }
            self.dispatch_waiting(&name);
        }
    }

    fn dispatch_waiting(&mut self, name: &names::ServerName) {
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        let result = queue.dispatch_waiting(self.clock.now());
        result.dropped.into_iter().for_each(refuse);
        for ticket in result.permitted {
            self.permit(ticket);
        }
    }

    // If the caller no longer waits, the permit is dropped here, which releases the slot.
    fn permit(&self, ticket: SlotTicket) {
        let permit = SendPermit {
            server: ticket.server,
            finished: self.finished.clone(),
            started: time::Instant::now(),
            signal: limit::LimitSignal::Neutral,
        };
        let _ = ticket.sender.send(Ok(permit));
    }
}

fn refuse(dropped: queue::DroppedRequest<SlotTicket>) {
    let _ = dropped.ticket.sender.send(Err(dropped.reason));
}
