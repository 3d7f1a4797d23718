//! What simulated hosts tell each other: which hosts may have granted, and the responses to status
//! requests.

use crate::grants::simulation;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::former_granters;

impl simulation::GrantSimulation {
    // The other hosts that `host` knows as possible granters.
    pub(super) fn possible_granters(&self, host: usize) -> Vec<assignment::GranterIncarnation> {
        let others = (0..simulation::HOSTS).filter(|other| *other != host);
        let listed = others.filter(|other| !self.unlisted.contains(other));
        let lives = listed.map(|h| Self::granter_incarnation(h, self.hosts[h].incarnation));
        lives.collect()
    }

    // A granter queries the hosts of former granters.
    pub(super) fn query_former_granters(&mut self, host: usize) {
        self.push(
            simulation::QUERY_MS,
            simulation::SimulationEvent::QueryFormer(host),
        );
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
