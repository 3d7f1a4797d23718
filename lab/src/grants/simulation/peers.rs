//! What simulated hosts tell each other: which hosts may have granted, and the responses to status
//! requests.

use crate::grants::simulation;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::former_granters;

/// How long after it is due a request for a table that the store has lost is answered, in milliseconds.
const RELAY_MS: u64 = 260;

impl simulation::GrantSimulation {
    // The other hosts that `host` knows as possible granters.
    pub(super) fn possible_granters(&self, host: usize) -> Vec<assignment::GranterIncarnation> {
        let others = (0..simulation::HOSTS).filter(|other| *other != host);
        let listed = others.filter(|other| !self.unlisted.contains(other));
        let lives = listed.map(|h| Self::granter_incarnation(h, self.hosts[h].incarnation));
        lives.collect()
    }

    // The other hosts whose status updates reach `host`.
    fn heard_hosts(&self, host: usize) -> impl Iterator<Item = &simulation::SimulatedHost> {
        let is_cut = self.hosts[host].cut_from_hosts;
        let others = self.hosts.iter().enumerate();
        let others = others.filter(move |(other, _)| *other != host && !is_cut);
        let heard = others.map(|(_, state)| state);
        heard.filter(|state| !state.cut_from_hosts && self.now >= state.frozen_until)
    }

    // The newest table that another host knows.
    pub(super) fn newest_table_elsewhere(&self, host: usize) -> Option<assignment::KnownTable> {
        let tables = self.heard_hosts(host).map(|state| state.granter.table());
        let newest = tables.max_by_key(|table| table.version);
        newest.map(|table| assignment::KnownTable {
            version: table.version,
            term: table.term,
        })
    }

    // Requests the newest table that the store has lost from a host that knows it.
    fn request_lost_table(&mut self, host: usize) {
        let known = self.hosts[host].granter.table().version;
        let lost = self.heard_hosts(host).filter_map(|state| {
            let table = state.granter.lost_table()?;
            Some((table, state.granter.followed_until()))
        });
        let newest = lost.max_by_key(|(table, _)| table.version);
        let newest = newest.filter(|(table, _)| table.version > known);
        let Some((table, confirmed)) = newest else {
            return;
        };
        let relay = simulation::SimulationEvent::TableRelay {
            host,
            incarnation: self.hosts[host].incarnation,
            table: Box::new(table.clone()),
            confirmed,
        };
        self.push(RELAY_MS, relay);
    }

    // A host takes a table that the store has lost and another host knew as the newest at `confirmed`.
    pub(super) fn take_lost_table(
        &mut self,
        host: usize,
        table: assignment::AssignmentTable,
        confirmed: Option<clock::MonoTime>,
    ) {
        let granter = &mut self.hosts[host].granter;
        let version = table.version;
        granter.note_lost_table(table);
        if let Some(until) = confirmed {
            let age = self.now.since(until);
            granter.note_followed_elsewhere(version, self.now, age);
        }
    }

    // A granter queries the hosts of former granters.
    pub(super) fn query_former_granters(&mut self, host: usize) {
        self.push(
            simulation::QUERY_MS,
            simulation::SimulationEvent::QueryFormer(host),
        );
        self.request_lost_table(host);
        let asked = self.clock_of(host);
        let from_incarnation = self.hosts[host].incarnation;
        for former in self.hosts[host].granter.former_granters_to_query(asked) {
            let delay = self.delay();
            let position = (0..simulation::HOSTS)
                .find(|h| Self::granter_incarnation(*h, 0).host == former.host);
            let query = simulation::SimulationEvent::HostQuery {
                host: position.unwrap_or(host),
                from: host,
                from_incarnation,
                asked,
            };
            self.push(delay, query);
        }
    }

    pub(super) fn answer_query(
        &mut self,
        host: usize,
        from: usize,
        from_incarnation: u64,
        asked: clock::MonoTime,
    ) {
        if self.hosts[host].cut_from_hosts || self.hosts[from].cut_from_hosts {
            return;
        }
        let mut incarnation = Self::granter_incarnation(host, self.hosts[host].incarnation);
        if self.mutation == simulation::GrantMutation::AnswerIsEnd {
            incarnation.incarnation += 1_000;
        }
        let response = former_granters::HostResponse {
            life: incarnation,
            term: self.hosts[host].granter.table().term,
            granted: self.hosts[host].granter.granted_version(),
            asked,
            uptime: self.now.since(self.hosts[host].started),
        };
        let delay = self.delay();
        let response = simulation::SimulationEvent::HostResponse {
            host: from,
            incarnation: from_incarnation,
            response,
        };
        self.push(delay, response);
    }
}
