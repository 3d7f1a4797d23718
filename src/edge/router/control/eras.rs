//! The eras of the store: it starts a new one each time it comes back from an older copy of its logs.

use std::rc;

use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Waits for the store's responses to state a higher era, until the process ends.
    pub(super) async fn watch_era(self: rc::Rc<Self>) {
        let mut stated = self.store.era();
        loop {
            stated.borrow_and_update();
            self.note_stated_era();
            if stated.changed().await.is_err() {
                return;
            }
        }
    }

    // Takes account of the era that the store's responses have stated so far.
    pub(super) fn note_stated_era(&self) {
        let era = *self.store.era().borrow();
        self.state.borrow_mut().cluster.note_store_era(era);
        self.update_era();
    }

    // Tells the readers of the topics where this host or another has seen a higher era.
    pub(super) fn update_era(&self) {
        let era = self.state.borrow().cluster.store_era();
        let previous = *self.era.borrow();
        if era > previous {
            // The first era that a host sees says nothing of a return.
            if previous > 0 {
                tracing::warn!(event = "store-restored", era, previous);
            }
            let gauge = i64::try_from(era).unwrap_or(i64::MAX);
            self.metrics.store_era.set(gauge);
            let now = self.clock.now();
            self.state.borrow_mut().granter.note_era(era, now);
            self.era.send_replace(era);
        }
    }
}
