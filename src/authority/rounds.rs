//! Rounds of claims and probes, and what their answers say.

use crate::authority;
use crate::clock;
use crate::contract;
use crate::fence;
use crate::names;
use crate::replay;
use std::collections;
use std::time;

impl authority::DomainAuthority {
    pub(super) fn start_round(
        &mut self,
        view: &authority::ClaimView<'_>,
        probe: bool,
    ) -> contract::ClaimOrder {
        let number = if probe {
            self.next_number(view)
        } else {
            self.highest
        };
        let host = self.claimant.host.clone();
        let order = contract::ClaimOrder {
            term: fence::TermId::new(number, host, self.claimant.incarnation),
            witness_set: view.witnesses.number,
            version: view.version,
            probe,
        };
        self.round = Some(authority::ClaimRound {
            order: order.clone(),
            sent_at: view.now,
            answers: collections::BTreeMap::new(),
            newest_ack: clock::MonoTime::default(),
        });
        order
    }

    pub(super) fn next_number(&self, view: &authority::ClaimView<'_>) -> u64 {
        self.highest.max(view.known_number) + 1
    }

    pub(super) fn start_grants(&mut self) -> Option<authority::AuthorityAction> {
        let round = self.round.as_ref()?;
        let term = self.term.clone()?;
        Some(authority::AuthorityAction::StartGrants(
            authority::GrantStart {
                term,
                former_end: round.newest_ack + self.timing.authority + self.timing.margin,
                reports: round.answers.values().cloned().collect(),
            },
        ))
    }

    pub(super) fn note_answer(&mut self, answer: authority::ClaimResponse, now: clock::MonoTime) {
        let Some(round) = &mut self.round else {
            return;
        };
        let reply = &answer.reply;
        let promised = reply.status.promised.as_ref().map(|term| term.number);
        let granted = reply.held.iter().map(|grant| grant.fence.term.number);
        let seen = granted.chain(promised).max().unwrap_or(0);
        self.highest = self.highest.max(seen);
        // A restarted server has forgotten what it acknowledged, so its start stands for that.
        let age_ms = reply.ack_age_ms.unwrap_or(reply.status.up_ms);
        let acked_at = now.saturating_sub(time::Duration::from_millis(age_ms));
        round.newest_ack = round.newest_ack.max(acked_at);
        round.answers.insert(answer.server.clone(), answer);
    }

    pub(super) fn note_ack(
        &mut self,
        server: &names::ServerName,
        sent_at: clock::MonoTime,
        status: &contract::ServerStatus,
    ) {
        let needed = self.timing.authority + self.timing.margin;
        if time::Duration::from_millis(status.up_ms) < needed {
            return;
        }
        let newest = self.acks.entry(server.clone()).or_insert(sent_at);
        *newest = (*newest).max(sent_at);
    }

    pub(super) fn authority_end(&self, witnesses: &replay::WitnessSets) -> clock::MonoTime {
        let mut times: Vec<_> = self.acks.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let newest = times.into_iter().find(|time| {
            let counts = |name: &names::ServerName| self.acks.get(name).is_some_and(|t| t >= time);
            witnesses.has_majority(counts)
        });
        newest.map_or(clock::MonoTime::default(), |time| {
            time + self.timing.authority
        })
    }
}
