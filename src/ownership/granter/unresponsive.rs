//! Detects servers that do not respond to orders, and a granter that is cut off itself.

use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::serving::directory;

/// How long orders to most servers must have failed before the granter considers itself cut off, in
/// milliseconds.
pub const ISOLATION_TIMEOUT_MS: u64 = 300;
/// How long an unresponsive server is assigned no keys at first, in milliseconds; doubled with each
/// further time.
pub const UNRESPONSIVE_MS: u64 = 3_000;
/// Upper bound of that time, in milliseconds.
pub const MAX_UNRESPONSIVE_MS: u64 = 24_000;

// A server whose orders failed until its hold had expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnresponsiveServer {
    until: clock::MonoTime,
    exclusion: time::Duration,
}

impl granter::KeyGranter {
    // Whether a server is excluded from assignments because it did not respond to orders.
    pub(super) fn is_excluded(
        &self,
        incarnation: &assignment::ServerIncarnation,
        now: clock::MonoTime,
    ) -> bool {
        let entry = self.unresponsive.get(incarnation);
        entry.is_some_and(|entry| now < entry.until)
    }

    // An incarnation has ended if its address responds like a server of an unsharded service and
    // another server has registered that address.
    pub(super) fn detect_replaced(&mut self, servers: &directory::ServerDirectory) {
        let rejected = std::mem::take(&mut self.rejected);
        for (incarnation, address) in rejected {
            let taken = servers.servers().any(|record| {
                record.address == address && record.life.server != incarnation.server
            });
            if taken {
                tracing::info!(
                    event = "server-replaced",
                    server = %incarnation.server,
                    address = %address
                );
                self.ended.insert(incarnation);
            }
        }
    }

    // Finds servers that do not respond to orders. If they are the majority, this host is assumed
    // to be cut off and gives the granter role to another. Servers that were unresponsive before do
    // not count on either side.
    pub(super) fn detect_unresponsive(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) {
        let isolation = time::Duration::from_millis(ISOLATION_TIMEOUT_MS);
        let ours = servers
            .servers()
            .filter(|record| services.contains(&record.service));
        let incarnations: Vec<_> = ours.map(|record| record.life.clone()).collect();
        let failing = |incarnation: &&assignment::ServerIncarnation| {
            self.hold_expiry.is_failing(incarnation, isolation, now)
        };
        let failing: Vec<_> = incarnations.iter().filter(failing).collect();
        let is_known = |incarnation: &assignment::ServerIncarnation| {
            self.unresponsive.contains_key(incarnation)
        };
        let silent = failing
            .iter()
            .filter(|incarnation| !is_known(incarnation))
            .count();
        let of = incarnations
            .iter()
            .filter(|incarnation| !is_known(incarnation))
            .count();
        if silent * 2 > of && incarnations.len() > 1 {
            tracing::warn!(event = "granter-isolated", silent, of);
            self.apply_election_event(election::ElectionEvent::Isolated);
            return;
        }
        for incarnation in failing {
            let held = !self.hold_expiry.has_expired(incarnation, now);
            if held || self.is_excluded(incarnation, now) {
                continue;
            }
            let first = time::Duration::from_millis(UNRESPONSIVE_MS);
            let longest = time::Duration::from_millis(MAX_UNRESPONSIVE_MS);
            let exclusion = self
                .unresponsive
                .get(incarnation)
                .map_or(first, |s| (s.exclusion * 2).min(longest));
            tracing::warn!(
                event = "server-silent",
                server = %incarnation.server,
                span_ms = exclusion.as_millis()
            );
            let entry = UnresponsiveServer {
                until: now + exclusion,
                exclusion,
            };
            self.unresponsive.insert(incarnation.clone(), entry);
        }
    }
}
