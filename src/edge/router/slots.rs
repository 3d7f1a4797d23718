//! A request's wait for a slot at a server, and the slot it is assigned. Both are released when
//! they are dropped, however the request ends.

use std::rc;
use std::sync;
use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::names;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::scheduler;

/// The scheduler's result for a waiting request.
pub type SlotResult<C> = Result<ServerSlot<C>, scheduler::SchedulerRefusal>;

/// One of a server's slots, occupied by a request.
pub struct ServerSlot<C: ports::HeaderCodec> {
    // Counts the request as in flight until its response has been streamed.
    _in_flight: traffic::InFlight,
    pub(crate) thread: rc::Rc<traffic::TrafficThread<C>>,
    /// The server.
    pub record: sync::Arc<directory::ServerRecord>,
    started: clock::MonoTime,
    /// How old the records were by which the server was chosen.
    pub records_age: time::Duration,
    pub(crate) end: estimate::ExchangeEnd,
}

impl<C: ports::HeaderCodec> ServerSlot<C> {
    pub(crate) fn new(
        thread: &rc::Rc<traffic::TrafficThread<C>>,
        record: sync::Arc<directory::ServerRecord>,
        now: clock::MonoTime,
        records_age: time::Duration,
    ) -> Self {
        Self {
            _in_flight: traffic::InFlight::new(&thread.parts.in_flight),
            thread: rc::Rc::clone(thread),
            record,
            started: now,
            records_age,
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

/// A request that waits for a slot.
pub struct SlotWait<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    service: names::ServiceName,
    priority: u32,
    ticket: scheduler::WaitTicket,
    receiver: tokio::sync::oneshot::Receiver<SlotResult<C>>,
}

impl<C: ports::HeaderCodec> SlotWait<C> {
    pub(crate) fn new(
        thread: &rc::Rc<traffic::TrafficThread<C>>,
        service: names::ServiceName,
        priority: u32,
        ticket: scheduler::WaitTicket,
        receiver: tokio::sync::oneshot::Receiver<SlotResult<C>>,
    ) -> Self {
        Self {
            thread: rc::Rc::clone(thread),
            service,
            priority,
            ticket,
            receiver,
        }
    }

    /// Waits until the scheduler has assigned a slot.
    ///
    /// # Errors
    /// Fails when the scheduler refuses the request.
    pub async fn result(&mut self) -> SlotResult<C> {
        let result = (&mut self.receiver).await;
        result.unwrap_or(Err(scheduler::SchedulerRefusal::NoServer))
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
