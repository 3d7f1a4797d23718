//! Store records that hosts request from one another.

use std::rc;

use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::serving::status;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // Starts the request for store records that is due, if any.
    pub(super) fn request_records(self: &rc::Rc<Self>) {
        let now = self.clock.now();
        let next = {
            let mut state = self.state.borrow_mut();
            let control::ControlState {
                cluster, granter, ..
            } = &mut *state;
            cluster.next_record_request(&control::grant_snapshot(granter), now)
        };
        if let Some((host, request)) = next {
            actix::spawn(rc::Rc::clone(self).receive_records(host, request));
        }
    }

    async fn receive_records(
        self: rc::Rc<Self>,
        host: status::HostRecord,
        request: status::RecordRequest,
    ) {
        let response = self.status_client.records(host.peers, request).await;
        let is_answered = response.is_ok();
        self.state
            .borrow_mut()
            .cluster
            .note_request_ended(is_answered);
        match response {
            Ok(relay) => self.apply_relay(&host, relay),
            Err(error) => {
                tracing::warn!(event = "records-not-received", host = %host.host, fault = %error);
            }
        }
    }

    fn apply_relay(&self, host: &status::HostRecord, relay: status::StoreRelay) {
        tracing::info!(
            event = "records-received",
            host = %host.host,
            routes_version = relay.routes.as_ref().map(|routes| routes.version),
            book_end = relay.book.as_ref().map(|(_, end)| end),
            servers = relay.servers.len()
        );
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let changed = state.cluster.note_relay(&relay, now);
        let table_changed = relay
            .book
            .is_some_and(|(table, end)| state.granter.note_table(Some(table), end, now));
        drop(state);
        if changed || table_changed {
            self.publish();
        }
    }

    // The store records that another host requests.
    pub(super) fn relay_for(&self, request: &status::RecordRequest) -> status::StoreRelay {
        let state = self.state.borrow();
        let grants = control::grant_snapshot(&state.granter);
        let relay = state.cluster.relay_for(request, &grants);
        self.metrics.relayed_bytes.inc_by(encoded_size(&relay));
        relay
    }
}

// The size of a message as it is sent to another host, in bytes.
fn encoded_size(message: &impl serde::Serialize) -> u64 {
    match serde_json::to_vec(message) {
        Ok(encoded) => u64::try_from(encoded.len()).unwrap_or(u64::MAX),
        Err(error) => {
            tracing::error!(event = "records-not-encoded", fault = %error);
            0
        }
    }
}
