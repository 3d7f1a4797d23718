//! The state of the stand-in for the platform's host list, which lags.

use std::collections;
use std::time;

use zinniastack::clock;
use zinniastack::names;
use zinniastack::platform;

/// The history of the host list.
#[derive(Clone, Debug)]
pub struct HostListState {
    lag: time::Duration,
    changes: Vec<ListChange>,
}

#[derive(Clone, Debug)]
struct ListChange {
    at: clock::MonoTime,
    server: names::ServerName,
    state: platform::ListedState,
}

impl HostListState {
    /// Creates an empty list that shows each change after `lag`.
    #[must_use]
    pub const fn new(lag: time::Duration) -> Self {
        Self {
            lag,
            changes: Vec::new(),
        }
    }

    /// Records a change of a server's state.
    pub fn set(
        &mut self,
        server: names::ServerName,
        state: platform::ListedState,
        now: clock::MonoTime,
    ) {
        self.changes.push(ListChange {
            at: now,
            server,
            state,
        });
    }

    /// Returns the list as of `lag` ago.
    #[must_use]
    pub fn list(&self, now: clock::MonoTime) -> platform::HostListing {
        let cutoff = now.saturating_sub(self.lag);
        let mut states = collections::BTreeMap::new();
        for change in self.changes.iter().filter(|change| change.at <= cutoff) {
            states.insert(change.server.clone(), change.state);
        }
        let servers = states
            .into_iter()
            .map(|(name, state)| platform::ListedServer { name, state });
        platform::HostListing {
            servers: servers.collect(),
        }
    }
}
