//! A request's wait for a slot at a server, and the slot it is assigned. Both are released when
//! they are dropped, however the request ends.

use std::rc;
use std::sync;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::ports;
use crate::edge::router::traffic;
use crate::names;
use crate::serving::desk;
use crate::serving::directory;
use crate::serving::measure;

/// The scheduler's result for a waiting request.
pub type DeskAnswer<C> = Result<ServerSlot<C>, desk::DeskRefusal>;

/// One of a server's slots, occupied by a request.
pub struct ServerSlot<C: ports::HeaderCodec> {
    // Counts the request as in flight until its response has been streamed.
    _in_flight: traffic::InFlight,
    pub(crate) thread: rc::Rc<traffic::TrafficThread<C>>,
    /// The server.
    pub record: sync::Arc<directory::ServerRecord>,
    started: clock::MonoTime,
    pub(crate) end: measure::ExchangeEnd,
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
            end: measure::ExchangeEnd::CutShort,
        }
    }
}

impl<C: ports::HeaderCodec> Drop for ServerSlot<C> {
    fn drop(&mut self) {
        let elapsed = self.thread.parts.clock.now().since(self.started);
        self.thread.finish(&self.record.life, self.end, elapsed);
        self.thread.pump();
    }
}

/// A request that waits for a slot.
pub struct DeskWait<C: ports::HeaderCodec> {
    thread: rc::Rc<traffic::TrafficThread<C>>,
    service: names::ServiceName,
    priority: u32,
    ticket: desk::WaitTicket,
    receiver: tokio::sync::oneshot::Receiver<DeskAnswer<C>>,
}

impl<C: ports::HeaderCodec> DeskWait<C> {
    pub(crate) fn new(
        thread: &rc::Rc<traffic::TrafficThread<C>>,
        service: names::ServiceName,
        priority: u32,
        ticket: desk::WaitTicket,
        receiver: tokio::sync::oneshot::Receiver<DeskAnswer<C>>,
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
    pub async fn answer(&mut self) -> DeskAnswer<C> {
        let result = (&mut self.receiver).await;
        result.unwrap_or(Err(desk::DeskRefusal::NoServer))
    }
}

impl<C: ports::HeaderCodec> Drop for DeskWait<C> {
    fn drop(&mut self) {
        let waiter = self.thread.waiters.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            let mut desk = self.thread.desk.borrow_mut();
            desk.forget(&self.service, self.priority, self.ticket);
        }
    }
}
