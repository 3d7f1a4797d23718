//! A caller's wait at the desk, and the slot at a server that it ends in. Both are given back when
//! they are dropped, however the caller's request ends.

use std::rc;
use std::sync;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::names;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::scheduler;

/// What the desk decides.
pub type SlotResult<C> = Result<ServerSlot<C>, scheduler::SchedulerRefusal>;

/// A slot at a server.
pub struct ServerSlot<C: ports::HeaderCodec> {
    // Counts as long as the answer is on its way.
    _in_flight: traffic::InFlight,
    pub(crate) thread: rc::Rc<traffic::TrafficThread<C>>,
    /// The server.
    pub record: sync::Arc<directory::ServerRecord>,
    started: clock::MonoTime,
    pub(crate) end: estimate::ExchangeEnd,
}

impl<C: ports::HeaderCodec> ServerSlot<C> {
    pub(crate) fn new(
        thread: &rc::Rc<traffic::TrafficThread<C>>,
        record: sync::Arc<directory::ServerRecord>,
        now: clock::MonoTime,
    ) -> Self {
        Self {
            _in_flight: traffic::InFlight::new(&thread.parts.in_flight),
            thread: rc::Rc::clone(thread),
            record,
            started: now,
            end: estimate::ExchangeEnd::Cancelled,
        }
    }
}

impl<C: ports::HeaderCodec> Drop for ServerSlot<C> {
    fn drop(&mut self) {
        let elapsed = self.thread.parts.clock.now().since(self.started);
        self.thread.finish(&self.record.life, self.end, elapsed);
        self.thread.dispatch_waiting();
    }
}

/// A request that waits at the desk.
pub struct SlotWait<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    service: names::ServiceName,
    priority: u32,
    ticket: scheduler::WaitTicket,
    answer: tokio::sync::oneshot::Receiver<SlotResult<C>>,
}

impl<C: ports::HeaderCodec> SlotWait<C> {
    pub(crate) fn new(
        thread: &rc::Rc<traffic::TrafficThread<C>>,
        service: names::ServiceName,
        priority: u32,
        ticket: scheduler::WaitTicket,
        answer: tokio::sync::oneshot::Receiver<SlotResult<C>>,
    ) -> Self {
        Self {
            thread: rc::Rc::clone(thread),
            service,
            priority,
            ticket,
            answer,
        }
    }

    /// Waits until the desk has decided.
    ///
    /// # Errors
    /// Fails when the desk gives the request up.
    pub async fn result(&mut self) -> SlotResult<C> {
        let answer = (&mut self.answer).await;
        answer.unwrap_or(Err(scheduler::SchedulerRefusal::NoServer))
    }
}

impl<C: ports::HeaderCodec> Drop for SlotWait<C> {
    fn drop(&mut self) {
        let waiter = self.thread.waiters.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            let mut scheduler = self.thread.scheduler.borrow_mut();
            scheduler.cancel(&self.service, self.priority, self.ticket);
        }
    }
}
