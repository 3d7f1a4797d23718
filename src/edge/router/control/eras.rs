//! The eras of the store: it starts a new one each time it comes back from an older copy of its logs.

use std::rc;

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
            let era = *stated.borrow_and_update();
            self.state.borrow_mut().cluster.note_store_era(era);
            self.update_era();
            if stated.changed().await.is_err() {
                return;
            }
        }
    }

    // Tells the readers of the topics where this host or another has seen a higher era.
    pub(super) fn update_era(&self) {
        let era = self.state.borrow().cluster.store_era();
        let previous = *self.era.borrow();
        if era > previous {
            tracing::warn!(event = "store-restored", era, previous);
            let gauge = i64::try_from(era).unwrap_or(i64::MAX);
            self.metrics.store_era.set(gauge);
            self.era.send_replace(era);
        }
    }
}
