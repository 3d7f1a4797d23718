//! The simulated store: appends, reads, the servers' entries, and the group of hosts whose owner is the
//! candidate for the granter role.

use crate::fixtures;
use crate::grants::simulation;
use crate::grants::simulation::stored_log;
use rand::RngExt as _;
use std::time;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::order;
use zinniastack::serving::directory;
use zinniastack::serving::topic;

impl simulation::GrantSimulation {
    pub(super) fn send_append(
        &mut self,
        host: usize,
        number: u64,
        table: assignment::AssignmentTable,
        at: u64,
    ) {
        let sent = self.clock_of(host);
        let records = self.hosts[host].copy.assembly.changed_records(&table);
        let records = records.unwrap_or_else(|fault| unreachable!("{fault}"));
        let end = at + u64::try_from(records.len()).unwrap_or(0);
        let append = stored_log::TableAppend {
            number,
            table,
            records,
            at,
        };
        if self.mutation == simulation::GrantMutation::OrderBeforeAppend {
            let outcome = order::AppendOutcome::Appended {
                era: self.log.era,
                end,
            };
            self.push_appended(0, host, append.clone(), outcome, sent);
        }
        if !self.store_serves(host) {
            let outcome = order::AppendOutcome::Refused;
            self.push_appended(5, host, append, outcome, sent);
            return;
        }
        let lossy = self.now < self.lossy_until;
        let lost = lossy && self.chance(3);
        let slow = if lost && self.chance(2) {
            self.random.random_range(100..4_000)
        } else {
            0
        };
        let delay = self.delay() + slow;
        let incarnation = self.hosts[host].incarnation;
        self.push(
            delay,
            simulation::SimulationEvent::Append {
                host,
                incarnation,
                append,
                sent,
                lost,
            },
        );
    }

    fn push_appended(
        &mut self,
        after_ms: u64,
        host: usize,
        append: stored_log::TableAppend,
        outcome: order::AppendOutcome,
        sent: clock::MonoTime,
    ) {
        let appended = simulation::SimulationEvent::Appended {
            host,
            incarnation: self.hosts[host].incarnation,
            append,
            outcome,
            era: self.log.era,
            sent,
        };
        self.push(after_ms, appended);
    }

    pub(super) fn append(
        &mut self,
        host: usize,
        incarnation: u64,
        append: stored_log::TableAppend,
        sent: clock::MonoTime,
        lost: bool,
    ) {
        let outcome = self.log.append(append.clone(), self.now);
        let outcome = if lost {
            order::AppendOutcome::Unknown
        } else {
            outcome
        };
        let delay = if lost { 1_500 } else { self.delay() };
        if incarnation == self.hosts[host].incarnation {
            self.push_appended(delay, host, append, outcome, sent);
        }
    }

    pub(super) fn appended(
        &mut self,
        host: usize,
        append: &stored_log::TableAppend,
        outcome: order::AppendOutcome,
        era: u64,
        sent: clock::MonoTime,
    ) {
        let now = self.clock_of(host);
        let state = &mut self.hosts[host];
        if let order::AppendOutcome::Appended { .. } = outcome {
            state.copy.note_appended(era, append);
        }
        state
            .granter
            .note_appended(append.number, outcome, sent, now);
        self.decide(host);
    }

    pub(super) fn read(&mut self, host: usize) {
        self.push(simulation::READ_MS, simulation::SimulationEvent::Read(host));
        let now = self.clock_of(host);
        if !self.store_serves(host) {
            self.hosts[host].directory.note_store_lost(now);
            return;
        }
        let records = self.entries();
        let newest = self.hosts[host].copy.read(&self.log);
        let unread = self.mutation == simulation::GrantMutation::UnreadClaim && self.chance(3);
        let newest = if unread { self.log.first() } else { newest };
        let forgets = self.mutation == simulation::GrantMutation::RepeatedFence
            && self.hosts[host].incarnation > 1;
        let newest = newest.map(|table| assignment::AssignmentTable {
            next_fence: if forgets { 1 } else { table.next_fence },
            ..table
        });
        let end = self.log.end();
        let state = &mut self.hosts[host];
        state.directory.replace(records, now);
        let end = topic::LogPosition {
            era: state.copy.era,
            offset: end,
        };
        let known = state.granter.log_end() == end && end.offset > 0;
        state.granter.note_era(end.era, now);
        if known || end.offset == 0 {
            state.granter.note_confirmed(now);
        }
        state.granter.note_table(newest, end, now);
        state.granter.note_read(end, now);
    }

    pub(super) fn send_confirmation(&mut self, host: usize) {
        let confirm = simulation::SimulationEvent::Confirm {
            host,
            incarnation: self.hosts[host].incarnation,
            end: self.hosts[host].granter.log_end(),
            sent: self.clock_of(host),
        };
        let delay = self.delay();
        self.push(delay, confirm);
    }

    pub(super) fn answer_confirmation(
        &mut self,
        host: usize,
        incarnation: u64,
        end: topic::LogPosition,
        sent: clock::MonoTime,
    ) {
        let newest = topic::LogPosition {
            era: self.log.era,
            offset: self.log.end(),
        };
        let confirmed = simulation::SimulationEvent::Confirmed {
            host,
            incarnation,
            is_unchanged: self.store_serves(host) && newest == end,
            sent,
        };
        let delay = self.delay();
        self.push(delay, confirmed);
    }

    pub(super) fn note_confirmation(
        &mut self,
        host: usize,
        is_unchanged: bool,
        sent: clock::MonoTime,
    ) {
        let now = self.clock_of(host);
        let granter = &mut self.hosts[host].granter;
        if is_unchanged {
            granter.note_confirmed(sent);
        }
        granter.note_confirmation_ended(is_unchanged, now);
        self.decide(host);
    }

    fn entries(&self) -> Vec<directory::ServerRecord> {
        let there = self.servers.iter().filter(|server| {
            let entry = time::Duration::from_millis(simulation::ENTRY_TTL_MS);
            server
                .last_heartbeat
                .is_some_and(|last_heartbeat| self.now.since(last_heartbeat) < entry)
        });
        there.map(|server| self.record_of(server)).collect()
    }

    fn record_of(&self, server: &simulation::SimulatedServer) -> directory::ServerRecord {
        let mut incarnation = server.server.incarnation.clone();
        let mut address = server.address;
        if self.mutation == simulation::GrantMutation::LapsedIsDead && server.cut_from_store {
            incarnation.born += 1_000;
            address.set_port(address.port() + simulation::MOVED_PORTS);
        }
        directory::ServerRecord {
            life: incarnation,
            service: simulation::service(),
            address,
            domain: fixtures::name("north"),
            slots: 4,
            state: if server.draining {
                directory::ServerState::Draining
            } else {
                directory::ServerState::Ready
            },
            sequence: server.sequence,
            cold_remaining: Some(time::Duration::ZERO),
        }
    }

    pub(super) fn join(&mut self, host: usize) {
        self.push(simulation::JOIN_MS, simulation::SimulationEvent::Join(host));
        if !self.store_serves(host) || self.followers.contains(&host) {
            self.hosts[host].granter.note_candidate(false);
            return;
        }
        self.members.insert(host, self.now);
        let ttl = time::Duration::from_millis(simulation::JOIN_TTL_MS);
        let now = self.now;
        self.members.retain(|_, joined| now.since(*joined) < ttl);
        if !self
            .owner
            .is_some_and(|owner| self.members.contains_key(&owner))
        {
            self.owner = self.members.keys().next().copied();
        }
        self.log.note_owner(self.owner, self.now);
        let candidate = self.owner == Some(host);
        self.hosts[host].granter.note_candidate(candidate);
    }

    pub(super) fn heartbeat(&mut self, index: usize) {
        self.push(870, simulation::SimulationEvent::Heartbeat(index));
        let down = self.now < self.store_down_until;
        let now = self.now;
        let server = &mut self.servers[index];
        if server.alive && !server.cut_from_store && !down {
            server.last_heartbeat = Some(now);
            server.sequence += 1;
        }
    }

    pub(super) fn store_serves(&self, host: usize) -> bool {
        self.now >= self.store_down_until && !self.hosts[host].cut_from_store
    }
}
