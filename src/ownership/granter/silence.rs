//! Detects servers that do not respond to orders, and a granter that is cut off itself.

use std::time;

use crate::clock;
use crate::names;
use crate::ownership::book;
use crate::ownership::duty;
use crate::ownership::granter;
use crate::serving::directory;

/// How long orders to most servers must have failed before the granter considers itself cut off, in
/// milliseconds.
pub const ISOLATION_MS: u64 = 300;
/// How long an unresponsive server is assigned no keys at first, in milliseconds; doubled with each
/// further time.
pub const SILENCE_MS: u64 = 3_000;
/// Upper bound of that time, in milliseconds.
pub const MAX_SILENCE_MS: u64 = 24_000;

// A server whose orders failed until its hold had expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerSilence {
    until: clock::MonoTime,
    span: time::Duration,
}

impl granter::KeyGranter {
    // Whether a server is excluded from assignments because it did not respond to orders.
    pub(super) fn is_silent(&self, life: &book::ServerLife, now: clock::MonoTime) -> bool {
        let silence = self.silences.get(life);
        silence.is_some_and(|silence| now < silence.until)
    }

    // An incarnation has ended if its address responds like a server of an unsharded service and
    // another server has registered that address.
    pub(super) fn find_ended(&mut self, servers: &directory::ServerDirectory) {
        let rejected = std::mem::take(&mut self.rejected);
        for (life, address) in rejected {
            let taken = servers
                .servers()
                .any(|record| record.address == address && record.life.server != life.server);
            if taken {
                tracing::info!(event = "server-replaced", server = %life.server, address = %address);
                self.ended.insert(life);
            }
        }
    }

    // Finds servers that do not respond to orders. If they are the majority, this host is assumed
    // to be cut off and gives the granter role to another. Servers that were unresponsive before do
    // not count on either side.
    pub(super) fn watch_silence(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) {
        let isolation = time::Duration::from_millis(ISOLATION_MS);
        let ours = servers
            .servers()
            .filter(|record| services.contains(&record.service));
        let lives: Vec<_> = ours.map(|record| record.life.clone()).collect();
        let failing = |life: &&book::ServerLife| self.ledger.is_failing(life, isolation, now);
        let failing: Vec<_> = lives.iter().filter(failing).collect();
        let is_known = |life: &book::ServerLife| self.silences.contains_key(life);
        let silent = failing.iter().filter(|life| !is_known(life)).count();
        let of = lives.iter().filter(|life| !is_known(life)).count();
        if silent * 2 > of && lives.len() > 1 {
            tracing::warn!(event = "granter-isolated", silent, of);
            self.run_duty(duty::DutyEvent::Isolated);
            return;
        }
        for life in failing {
            let held = !self.ledger.has_lapsed(life, now);
            if held || self.is_silent(life, now) {
                continue;
            }
            let first = time::Duration::from_millis(SILENCE_MS);
            let longest = time::Duration::from_millis(MAX_SILENCE_MS);
            let span = self
                .silences
                .get(life)
                .map_or(first, |s| (s.span * 2).min(longest));
            tracing::warn!(event = "server-silent", server = %life.server, span_ms = span.as_millis());
            let silence = ServerSilence {
                until: now + span,
                span,
            };
            self.silences.insert(life.clone(), silence);
        }
    }
}
