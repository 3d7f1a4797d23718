//! Who grants in a failure domain: terms that a majority of the domain's checked servers promise.
//!
//! A granter has authority while a majority of the witnesses acknowledged its term within the
//! authority time, counted from when the acknowledged order was *sent*. A successor first asks the
//! witnesses whether they have been silent for that long, then claims a higher term of them.

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

/// What the caller has to do for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Send the order to every witness.
    AskWitnesses(contract::ClaimOrder),
    /// Send the order to every server of the domain.
    AskServers(contract::ClaimOrder),
    /// Record the term in the log.
    RecordTerm(sync::Arc<fence::TermId>),
    /// Start granting under the term; nothing that the former granter may have given to a silent
    /// server is free before the span after the instant has passed.
    StartGrants(GrantStart),
    /// Stop granting.
    StopGrants,
}

/// From where a new granter counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantStart {
    /// The new term.
    pub term: sync::Arc<fence::TermId>,
    /// When the former granter's authority has ended for certain.
    pub former_end: clock::MonoTime,
    /// The answers that came with the claim.
    pub reports: Vec<ClaimResponse>,
}

/// An answer to a claim, and when its order was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// The server that answered.
    pub server: names::ServerName,
    /// When the order was sent.
    pub sent_at: clock::MonoTime,
    /// The answer.
    pub reply: contract::ClaimReply,
}

/// What a claim is made with.
#[derive(Clone, Copy, Debug)]
pub struct ClaimView<'a> {
    /// The current time.
    pub now: clock::MonoTime,
    /// The domain's witnesses.
    pub witnesses: &'a replay::WitnessSets,
    /// The configuration's version.
    pub version: u64,
    /// The number that a new term must exceed: the highest that the log or a peer told of, and the
    /// wall clock in milliseconds. The clock outruns terms that the log never had and that restarts
    /// have wiped from every memory; no promise rests on it.
    pub known_number: u64,
}

/// Who makes claims.
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
    answers: collections::BTreeMap<names::ServerName, ClaimResponse>,
    newest_ack: clock::MonoTime,
}

/// One host's part in deciding who grants in one domain.
pub struct DomainAuthority {
    table: sync::Arc<chart::ChartTable<TermVocabulary>>,
    claimant: ClaimantId,
    timing: timing::LeaseTiming,
    state: TermState,
    highest: u64,
    round: Option<ClaimRound>,
    term: Option<sync::Arc<fence::TermId>>,
    acks: collections::BTreeMap<names::ServerName, clock::MonoTime>,
    quiet_until: clock::MonoTime,
}

impl DomainAuthority {
    /// Creates a follower.
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
            highest: 0,
            round: None,
            term: None,
            acks: collections::BTreeMap::new(),
            quiet_until: clock::MonoTime::default(),
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> TermState {
        self.state
    }

    /// Returns the term under which this host may grant at `now`, if any.
    #[must_use]
    pub fn current_term(&self, view: &ClaimView<'_>) -> Option<&sync::Arc<fence::TermId>> {
        let live =
            self.state == TermState::Granting && view.now < self.authority_end(view.witnesses);
        self.term.as_ref().filter(|_| live)
    }

    /// Lets time pass. `silent` says that nothing was heard of the domain's granter for so long
    /// that it is this host's turn to claim.
    pub fn tick(&mut self, view: &ClaimView<'_>, silent: bool) -> Vec<AuthorityAction> {
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
        if silent && view.now >= self.quiet_until {
            return self.handle(TermEvent::GranterSilent, view);
        }
        Vec::new()
    }

    /// Takes a server's answer to a claim.
    pub fn on_claim_reply(
        &mut self,
        order: &contract::ClaimOrder,
        answer: ClaimResponse,
        view: &ClaimView<'_>,
    ) -> Vec<AuthorityAction> {
        let current = self.round.as_ref().is_some_and(|r| r.order == *order);
        let refused = !answer.reply.accepted;
        if refused && let Some(promised) = &answer.reply.status.promised {
            let promised = promised.clone();
            let was_granting = self.state == TermState::Granting;
            self.highest = self.highest.max(promised.number);
            if was_granting && self.term.as_deref() < Some(&promised) {
                return self.handle(TermEvent::HigherTermSeen, view);
            }
        }
        if !current {
            return Vec::new();
        }
        if answer.reply.accepted && !order.probe {
            self.note_ack(&answer.server, answer.sent_at, &answer.reply.status);
        }
        self.note_answer(answer, view.now);
        self.handle(TermEvent::ClaimAnswered, view)
    }

    /// Takes a server's answer to a lease order under this host's term.
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

    /// Takes the news of a term of another host.
    pub fn on_term_seen(
        &mut self,
        term: &fence::TermId,
        view: &ClaimView<'_>,
    ) -> Vec<AuthorityAction> {
        let own = self.term.as_deref();
        let higher = term.number > self.highest || own.is_some_and(|own| *own < *term);
        if !higher {
            return Vec::new();
        }
        self.highest = self.highest.max(term.number);
        self.handle(TermEvent::HigherTermSeen, view)
    }

    /// Gives up the own term, as if a higher one had been seen, so that a higher one is claimed.
    pub fn on_term_outdated(&mut self, view: &ClaimView<'_>) -> Vec<AuthorityAction> {
        self.handle(TermEvent::HigherTermSeen, view)
    }

    /// Gives up granting and claiming for good.
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
        let needed = self.timing.authority + self.timing.margin;
        let counts = |name: &names::ServerName| {
            round.answers.get(name).is_some_and(|answer| {
                let reply = &answer.reply;
                let up = time::Duration::from_millis(reply.status.up_ms);
                let age = time::Duration::from_millis(reply.ack_age_ms.unwrap_or(u64::MAX));
                let silent = guard == TermGuard::MajorityPromised || age >= needed;
                reply.accepted && up >= needed && silent
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
                self.highest = self.next_number(view);
                self.acks.clear();
                self.term = Some(sync::Arc::new(fence::TermId::new(
                    self.highest,
                    self.claimant.host.clone(),
                    self.claimant.incarnation,
                )));
                None
            }
            TermAction::BackOff => {
                self.round = None;
                let pause = time::Duration::from_millis(timing::CLAIM_TIMEOUT_MS);
                self.quiet_until = view.now + pause;
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
