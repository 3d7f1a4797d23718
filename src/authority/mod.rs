//! Election of the granter of a failure domain: a term needs the promises of a majority of the
//! domain's witnesses, which are its checked servers.
//!
//! A granter has authority as long as a majority of the witnesses has acknowledged its term within
//! the authority time, counted from when the acknowledged order was *sent*. A successor first
//! probes the witnesses for whether that time, plus the clock margin, has passed since they last
//! acknowledged another term. Only then does it ask them to promise a higher term.

mod rounds;

use std::collections;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::contract;
use crate::fence;
use crate::names;
use crate::replay;
use crate::timing;

crate::chart_words!(
    /// The states of a claim.
    TermState {
        Following = "following",
        Probing = "probing",
        Claiming = "claiming",
        Granting = "granting",
        Resigned = "resigned",
    }
);
crate::chart_words!(
    /// The events of a claim.
    TermEvent {
        GranterSilent = "granter-silent",
        ClaimAnswered = "claim-answered",
        ClaimExpired = "claim-expired",
        Acknowledged = "acknowledged",
        AuthorityLapsed = "authority-lapsed",
        HigherTermSeen = "higher-term-seen",
        StopRequested = "stop-requested",
    }
);
crate::chart_words!(
    /// The guards of a claim.
    TermGuard {
        MajorityReportsSilence = "majority-reports-silence",
        MajorityPromised = "majority-promised",
    }
);
crate::chart_words!(
    /// The actions of a claim.
    TermAction {
        SendProbe = "send-probe",
        RaiseTerm = "raise-term",
        SendClaim = "send-claim",
        BackOff = "back-off",
        RecordTerm = "record-term",
        StartGrants = "start-grants",
        DropTerm = "drop-term",
    }
);

/// The words of the chart `term`.
#[derive(Debug)]
pub struct TermVocabulary;

impl chart::ChartVocabulary for TermVocabulary {
    type State = TermState;
    type Event = TermEvent;
    type Guard = TermGuard;
    type Action = TermAction;
    const SOURCE: &'static str = include_str!("../../charts/term.toml");
}

/// An action that the caller performs for the election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Send the order to every witness.
    AskWitnesses(contract::ClaimOrder),
    /// Send the order to every server of the domain.
    AskServers(contract::ClaimOrder),
    /// Record the term in the log.
    RecordTerm(sync::Arc<fence::TermId>),
    /// Start granting under the new term. Shards that the former granter may have granted to an
    /// unresponsive server stay reserved until a lease from before the end of that granter's
    /// authority has lapsed.
    StartGrants(GrantStart),
    /// Stop granting.
    StopGrants,
}

/// The state that a new granter starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantStart {
    /// The new term.
    pub term: sync::Arc<fence::TermId>,
    /// The time from which the former granter can have no authority any more.
    pub former_end: clock::MonoTime,
    /// The responses to the claim so far.
    pub reports: Vec<ClaimResponse>,
}

/// A server's response to a claim, with the time at which the order was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// The server that responded.
    pub server: names::ServerName,
    /// When the order was sent.
    pub sent_at: clock::MonoTime,
    /// The reply.
    pub reply: contract::ClaimReply,
}

/// The inputs of a step of the election.
#[derive(Clone, Copy, Debug)]
pub struct ClaimView<'a> {
    /// The current time.
    pub now: clock::MonoTime,
    /// The domain's witnesses.
    pub witnesses: &'a replay::WitnessSets,
    /// The configuration's version.
    pub version: u64,
    /// The number that a new term must exceed: the maximum of the highest term in the log, the
    /// highest term reported by a peer, and the wall clock in milliseconds. The clock exceeds
    /// terms that were never logged and that no process remembers after restarts. It is a heuristic:
    /// the witnesses' promises don't depend on it.
    pub known_number: u64,
}

/// The process that claims a term.
#[derive(Clone, Debug)]
pub struct ClaimantId {
    /// The host.
    pub host: names::HostName,
    /// The process's random number.
    pub incarnation: u64,
}

struct ClaimRound {
    order: contract::ClaimOrder,
    sent_at: clock::MonoTime,
    responses: collections::BTreeMap<names::ServerName, ClaimResponse>,
    newest_ack: clock::MonoTime,
}

/// One host's side of the granter election of one domain.
pub struct DomainAuthority {
    table: sync::Arc<chart::ChartTable<TermVocabulary>>,
    claimant: ClaimantId,
    timing: timing::LeaseTiming,
    state: TermState,
    highest_term: u64,
    round: Option<ClaimRound>,
    term: Option<sync::Arc<fence::TermId>>,
    acks: collections::BTreeMap<names::ServerName, clock::MonoTime>,
    next_claim_at: clock::MonoTime,
}

impl DomainAuthority {
    /// Creates the state of a host that follows and has seen no term.
    #[must_use]
    pub fn new(
        table: sync::Arc<chart::ChartTable<TermVocabulary>>,
        claimant: ClaimantId,
        timing: timing::LeaseTiming,
    ) -> Self {
        Self {
            state: table.initial(),
            table,
            claimant,
            timing,
            highest_term: 0,
            round: None,
            term: None,
            acks: collections::BTreeMap::new(),
            next_claim_at: clock::MonoTime::default(),
        }
    }

    /// Returns the state of the chart `term`.
    #[must_use]
    pub const fn state(&self) -> TermState {
        self.state
    }

    /// Returns the term under which this host may grant at the current time, if any.
    #[must_use]
    pub fn current_term(&self, view: &ClaimView<'_>) -> Option<&sync::Arc<fence::TermId>> {
        let live =
            self.state == TermState::Granting && view.now < self.authority_end(view.witnesses);
        self.term.as_ref().filter(|_| live)
    }

    /// Handles the time-outs. `unresponsive` is true when the domain's granter has not shown
    /// authority for so long that it is this host's turn to claim.
    pub fn tick(&mut self, view: &ClaimView<'_>, unresponsive: bool) -> Vec<AuthorityAction> {
        if self.state == TermState::Granting && view.now >= self.authority_end(view.witnesses) {
            return self.handle(TermEvent::AuthorityLapsed, view);
        }
        let wait = time::Duration::from_millis(timing::CLAIM_TIMEOUT_MS);
        let expired = self
            .round
            .as_ref()
            .is_some_and(|r| view.now >= r.sent_at + wait);
        let pending = matches!(self.state, TermState::Probing | TermState::Claiming);
        if pending && expired {
            return self.handle(TermEvent::ClaimExpired, view);
        }
        if unresponsive && view.now >= self.next_claim_at {
            return self.handle(TermEvent::GranterSilent, view);
        }
        Vec::new()
    }

    /// Handles a server's response to a claim.
    pub fn on_claim_reply(
        &mut self,
        order: &contract::ClaimOrder,
        response: ClaimResponse,
        view: &ClaimView<'_>,
    ) -> Vec<AuthorityAction> {
        let current = self.round.as_ref().is_some_and(|r| r.order == *order);
        let refused = !response.reply.accepted;
        if refused && let Some(promised) = &response.reply.status.promised {
            let promised = promised.clone();
            let was_granting = self.state == TermState::Granting;
            self.highest_term = self.highest_term.max(promised.number);
            if was_granting && self.term.as_deref() < Some(&promised) {
                return self.handle(TermEvent::HigherTermSeen, view);
            }
        }
        if !current {
            return Vec::new();
        }
        if response.reply.accepted && !order.probe {
            self.note_ack(&response.server, response.sent_at, &response.reply.status);
        }
        self.note_response(response, view.now);
        self.handle(TermEvent::ClaimAnswered, view)
    }

    /// Handles a server's acknowledgement of a lease order under this host's term.
    pub fn on_acknowledged(
        &mut self,
        server: &names::ServerName,
        sent_at: clock::MonoTime,
        status: &contract::ServerStatus,
        view: &ClaimView<'_>,
    ) -> Vec<AuthorityAction> {
        self.note_ack(server, sent_at, status);
        self.handle(TermEvent::Acknowledged, view)
    }

    /// Handles the report of another host's term.
    pub fn on_term_seen(
        &mut self,
        term: &fence::TermId,
        view: &ClaimView<'_>,
    ) -> Vec<AuthorityAction> {
        let own = self.term.as_deref();
        let higher = term.number > self.highest_term || own.is_some_and(|own| *own < *term);
        if !higher {
            return Vec::new();
        }
        self.highest_term = self.highest_term.max(term.number);
        self.handle(TermEvent::HigherTermSeen, view)
    }

    /// Drops this host's term, as if a higher one had been seen, so that the next claim is for a
    /// higher term.
    pub fn on_term_outdated(&mut self, view: &ClaimView<'_>) -> Vec<AuthorityAction> {
        self.handle(TermEvent::HigherTermSeen, view)
    }

    /// Stops granting and claiming for the rest of the process.
    pub fn on_stop(&mut self, view: &ClaimView<'_>) -> Vec<AuthorityAction> {
        self.handle(TermEvent::StopRequested, view)
    }

    fn handle(&mut self, event: TermEvent, view: &ClaimView<'_>) -> Vec<AuthorityAction> {
        let table = sync::Arc::clone(&self.table);
        let step = table.step(self.state, event, |guard| self.holds(guard, view));
        let Some(step) = step else {
            return Vec::new();
        };
        self.state = step.next;
        let mut actions = Vec::new();
        for action in &step.actions {
            actions.extend(self.perform(*action, view));
        }
        actions
    }

    fn holds(&self, guard: TermGuard, view: &ClaimView<'_>) -> bool {
        let Some(round) = &self.round else {
            return false;
        };
        let min_elapsed = self.timing.authority + self.timing.margin;
        let counts = |name: &names::ServerName| {
            round.responses.get(name).is_some_and(|response| {
                let reply = &response.reply;
                let uptime = time::Duration::from_millis(reply.status.up_ms);
                let age = time::Duration::from_millis(reply.ack_age_ms.unwrap_or(u64::MAX));
                let ack_expired = guard == TermGuard::MajorityPromised || age >= min_elapsed;
                reply.accepted && uptime >= min_elapsed && ack_expired
            })
        };
        view.witnesses.has_majority(counts)
    }

    fn perform(&mut self, action: TermAction, view: &ClaimView<'_>) -> Option<AuthorityAction> {
        match action {
            TermAction::SendProbe => {
                let order = self.start_round(view, true);
                Some(AuthorityAction::AskWitnesses(order))
            }
            TermAction::SendClaim => {
                let order = self.start_round(view, false);
                Some(AuthorityAction::AskServers(order))
            }
            TermAction::RaiseTerm => {
                self.highest_term = self.next_number(view);
                self.acks.clear();
                self.term = Some(sync::Arc::new(fence::TermId::new(
                    self.highest_term,
                    self.claimant.host.clone(),
                    self.claimant.incarnation,
                )));
                None
            }
            TermAction::BackOff => {
                self.round = None;
                let pause = time::Duration::from_millis(timing::CLAIM_TIMEOUT_MS);
                self.next_claim_at = view.now + pause;
                None
            }
            TermAction::RecordTerm => self.term.clone().map(AuthorityAction::RecordTerm),
            TermAction::StartGrants => self.start_grants(),
            TermAction::DropTerm => {
                self.term = None;
                self.acks.clear();
                Some(AuthorityAction::StopGrants)
            }
        }
    }
}
