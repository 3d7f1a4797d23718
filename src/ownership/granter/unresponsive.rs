//! Servers whose orders go unanswered, and a granter that finds itself cut off.

use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::granter;
use crate::serving::directory;

/// How long orders to most servers go unanswered until the granter takes itself for cut off, in
/// milliseconds.
pub const ISOLATION_MS: u64 = 300;
/// How long a silent server gets no keys, in milliseconds, at first; doubled each time.
pub const UNRESPONSIVE_MS: u64 = 3_000;
/// The longest such time, in milliseconds.
pub const MAX_UNRESPONSIVE_MS: u64 = 24_000;

// A server whose orders went unanswered until its hold had lapsed.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnresponsiveServer {
    until: clock::MonoTime,
    span: time::Duration,
}

impl granter::KeyGranter {
    // Whether a server gets no keys because its orders went unanswered.
    pub(super) fn is_silent(
        &self,
        life: &assignment::ServerIncarnation,
        now: clock::MonoTime,
    ) -> bool {
        let silence = self.silences.get(life);
        silence.is_some_and(|silence| now < silence.until)
    }

    // A life has ended where its address answers like a server without keys, and another server
    // has registered with that address.
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

    // Finds servers whose orders go unanswered. Where they are most, the fault is taken to be on
    // this host's side, and the duty goes to another. Those that were silent before say nothing new.
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
        let failing =
            |life: &&assignment::ServerIncarnation| self.ledger.is_failing(life, isolation, now);
        let failing: Vec<_> = lives.iter().filter(failing).collect();
        let is_known = |life: &assignment::ServerIncarnation| self.silences.contains_key(life);
        let silent = failing.iter().filter(|life| !is_known(life)).count();
        let of = lives.iter().filter(|life| !is_known(life)).count();
        if silent * 2 > of && lives.len() > 1 {
            tracing::warn!(event = "granter-isolated", silent, of);
            self.run_duty(election::DutyEvent::Isolated);
            return;
        }
        for life in failing {
            let held = !self.ledger.has_lapsed(life, now);
            if held || self.is_silent(life, now) {
                continue;
            }
            let first = time::Duration::from_millis(UNRESPONSIVE_MS);
            let longest = time::Duration::from_millis(MAX_UNRESPONSIVE_MS);
            let span = self
                .silences
                .get(life)
                .map_or(first, |s| (s.span * 2).min(longest));
            tracing::warn!(event = "server-silent", server = %life.server, span_ms = span.as_millis());
            let silence = UnresponsiveServer {
                until: now + span,
                span,
            };
            self.silences.insert(life.clone(), silence);
        }
    }
}
