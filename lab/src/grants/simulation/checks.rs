//! The checks that run after every step of the simulation, and a description of its state.

use crate::grants::key_server;
use crate::grants::simulation;
use zinniastack::clock;
use zinniastack::ownership::assignment;

impl simulation::GrantSimulation {
    /// Reports whether every key is held by some live server.
    #[must_use]
    pub fn is_covered(&self) -> bool {
        let mut held: Vec<_> = self
            .servers
            .iter()
            .filter(|server| server.alive)
            .flat_map(|server| server.server.held(self.now))
            .map(|held| (held.first, held.last))
            .collect();
        held.sort_unstable();
        let mut next = 0_u32;
        for (first, last) in held {
            if u32::from(first) > next {
                return false;
            }
            next = next.max(u32::from(last) + 1);
        }
        next > u32::from(assignment::MAX_KEY)
    }

    /// Describes the servers, the hosts and the newest assignment table, for the message of a failed
    /// test.
    #[must_use]
    pub fn describe(&self) -> String {
        let servers = self.servers.iter().map(|server| {
            let held: Vec<_> = server.server.held(self.now).collect();
            format!(
                "{:?} alive={} held={held:?}",
                server.server.incarnation, server.alive
            )
        });
        let hosts = self.hosts.iter().map(|host| {
            let granting = host.granter.is_granting();
            let (end, frozen) = (host.granter.log_end().offset, host.frozen_until);
            format!("granting={granting} end={end} frozen-until={frozen:?}")
        });
        let table = format!("{:?}", self.log);
        let lines: Vec<_> = servers.chain(hosts).chain([table]).collect();
        lines.join("\n")
    }

    // Adds the time until `until` to the ownership gap if some key is held by no server.
    pub(super) fn record_gap(&mut self, until: clock::MonoTime) {
        if !self.is_covered() {
            self.gap_duration += until.since(self.now);
        }
    }

    // Records a violation if two live servers hold the same key.
    pub(super) fn check(&mut self) {
        let now = self.now;
        let alive: Vec<_> = self.servers.iter().filter(|server| server.alive).collect();
        let mut found = None;
        for (index, one) in alive.iter().enumerate() {
            for other in &alive[index + 1..] {
                for held in one.server.held(now) {
                    let both = other.server.held(now);
                    let both = both
                        .filter(|h| key_server::overlaps(h.first, h.last, held.first, held.last));
                    for second in both {
                        found = Some(format!(
                            "{now:?}: {:?} holds {held:?}, {:?} holds {second:?}",
                            one.server.incarnation, other.server.incarnation
                        ));
                    }
                }
            }
        }
        self.violations.extend(found);
    }
}
