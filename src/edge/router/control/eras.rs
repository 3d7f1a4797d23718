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
            self.note_era(era);
            if stated.changed().await.is_err() {
                return;
            }
        }
    }

    fn note_era(&self, era: u64) {
        let era = i64::try_from(era).unwrap_or(i64::MAX);
        let previous = self.metrics.store_era.get();
        if era > previous {
            self.metrics.store_era.set(era);
            tracing::warn!(event = "store-restored", era, previous);
        }
    }
}
