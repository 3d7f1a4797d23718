//! One host's part in one failure domain: its claim, its grants and the domain's routes.

use std::collections;
use std::sync;
use std::time;

use crate::authority;
use crate::chart;
use crate::clock;
use crate::contract;
use crate::grant;
use crate::names;
use crate::peer;
use crate::record;
use crate::replay;
use crate::table;
use crate::timing;

/// The charts of a domain's decisions.
#[derive(Clone)]
pub struct DomainCharts {
    /// The chart `term`.
    pub term: sync::Arc<chart::ChartTable<authority::TermVocabulary>>,
    /// The charts `lease` and `grant`.
    pub grants: grant::GrantCharts,
}

impl DomainCharts {
    /// Reads and checks the charts.
    ///
    /// # Errors
    /// Fails when a chart is faulty.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            term: sync::Arc::new(chart::ChartTable::new()?),
            grants: grant::GrantCharts::new()?,
        })
    }
}

/// A question to a witness that is no server of the book, or to all servers before there is one.
#[derive(Clone, Debug, PartialEq)]
pub enum DomainOrder {
    /// Send the claim to the servers.
    Claim(Vec<names::ServerName>, contract::ClaimOrder),
    /// Send the book's message.
    Grant(grant::AddressedOrder),
    /// Append the content.
    Record(record::RecordBody),
    /// Append the record, which has an id of its own.
    RecordOnce(record::LogRecord),
}

/// What a domain's decisions are made with.
#[derive(Clone, Copy)]
pub struct DomainView<'a> {
    /// The current time.
    pub now: clock::MonoTime,
    /// The fold of the log.
    pub replay: &'a replay::ReplayState,
    /// The servers that the platform lists as leaving.
    pub leaving: &'a collections::BTreeSet<names::ServerName>,
    /// The wall clock, in milliseconds.
    pub wall_ms: u64,
    /// This host's place in the order of candidates, from 0, with the jitter of this attempt.
    pub patience: time::Duration,
}

/// One host's part in one domain.
pub struct DomainControl {
    name: names::DomainName,
    charts: DomainCharts,
    timing: timing::LeaseTiming,
    authority: authority::DomainAuthority,
    book: Option<grant::ShardGranter>,
    known: Option<table::DomainTable>,
    last_granter: Option<peer::KnownGranter>,
    started: clock::MonoTime,
    given_up: usize,
}

impl DomainControl {
    /// Creates the part of a host that has just learned of the domain.
    #[must_use]
    pub fn new(
        name: names::DomainName,
        charts: DomainCharts,
        identity: &peer::HostIdentity,
        timing: timing::LeaseTiming,
        now: clock::MonoTime,
    ) -> Self {
        let term = sync::Arc::clone(&charts.term);
        Self {
            authority: authority::DomainAuthority::new(term, identity.clone(), timing),
            name,
            charts,
            timing,
            book: None,
            known: None,
            last_granter: None,
            started: now,
            given_up: 0,
        }
    }

    /// Returns the book while this host grants.
    #[must_use]
    pub const fn book(&self) -> Option<&grant::ShardGranter> {
        self.book.as_ref()
    }

    /// Returns the book while this host grants, for changes.
    pub const fn book_mut(&mut self) -> Option<&mut grant::ShardGranter> {
        self.book.as_mut()
    }

    /// Returns the newest table of the domain that this host has.
    #[must_use]
    pub fn table(&self) -> Option<&table::DomainTable> {
        let own = self.book.as_ref().map(grant::ShardGranter::routes);
        own.or(self.known.as_ref())
    }

    /// Returns the latest sign of a granter.
    #[must_use]
    pub const fn last_granter(&self) -> Option<&peer::KnownGranter> {
        self.last_granter.as_ref()
    }

    /// Reports whether this host may grant now.
    #[must_use]
    pub fn is_granting(&self, view: &DomainView<'_>) -> bool {
        let witnesses = self.witnesses(view);
        let term = self
            .authority
            .current_term(&self.claim_view(view, &witnesses));
        self.book.is_some() && term.is_some()
    }

    fn witnesses(&self, view: &DomainView<'_>) -> replay::WitnessSets {
        let known = view.replay.witnesses.get(&self.name);
        known.cloned().unwrap_or_default()
    }

    fn claim_view<'a>(
        &self,
        view: &DomainView<'_>,
        witnesses: &'a replay::WitnessSets,
    ) -> authority::ClaimView<'a> {
        let logged = view
            .replay
            .terms
            .get(&self.name)
            .map_or(0, |term| term.number);
        let heard = self
            .last_granter
            .as_ref()
            .map_or(0, |last_granter| last_granter.term.number);
        authority::ClaimView {
            now: view.now,
            witnesses,
            version: view.replay.version,
            known_number: logged.max(heard).max(view.wall_ms),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, view: &DomainView<'_>) -> Vec<DomainOrder> {
        let witnesses = self.witnesses(view);
        let silent = self.is_silent(view);
        let claim = self.claim_view(view, &witnesses);
        let mut actions = self.renew_term(view, &claim);
        actions.extend(self.authority.tick(&claim, silent));
        let mut orders = self.perform(actions, view);
        if self.is_granting(view) {
            orders.extend(self.grant(view, &witnesses));
        }
        orders
    }

    // Shards of a domain that was given up were granted under its terms. A term that is claimed
    // after that is higher, so that the shards' fences go on rising in their new homes.
    fn renew_term(
        &mut self,
        view: &DomainView<'_>,
        claim: &authority::ClaimView<'_>,
    ) -> Vec<authority::AuthorityAction> {
        let domains = view.replay.configuration.domain.iter();
        let given_up = domains.filter(|domain| domain.is_gone()).count();
        if given_up == self.given_up {
            return Vec::new();
        }
        self.given_up = given_up;
        self.authority.on_term_outdated(claim)
    }

    fn is_silent(&self, view: &DomainView<'_>) -> bool {
        let heard = self
            .last_granter
            .as_ref()
            .map_or(self.started, |last_granter| last_granter.at);
        let silence = time::Duration::from_millis(timing::GRANTER_TIMEOUT_MS) + view.patience;
        view.now >= heard + silence
    }

    fn grant(
        &mut self,
        view: &DomainView<'_>,
        witnesses: &replay::WitnessSets,
    ) -> Vec<DomainOrder> {
        let Some(book) = &mut self.book else {
            return Vec::new();
        };
        self.last_granter = Some(peer::KnownGranter {
            term: (**book.term()).clone(),
            at: view.now,
        });
        book.follow(view.replay);
        book.set_leaving(view.leaving);
        book.tick(view.now, witnesses);
        let due = book.due_orders(view.now);
        let mut orders: Vec<_> = due.into_iter().map(DomainOrder::Grant).collect();
        if book.may_settle(witnesses) {
            orders.extend(self.settle(witnesses.number));
        }
        orders
    }

    fn settle(&self, witness_set: u64) -> Option<DomainOrder> {
        let id = names::RecordId::new(&format!("settle-{}-{witness_set}", self.name)).ok()?;
        let domain = self.name.clone();
        let body = record::SettleBody {
            domain,
            witness_set,
        };
        let body = record::RecordBody::Settle(body);
        Some(DomainOrder::RecordOnce(record::LogRecord::new(id, body)))
    }

    fn perform(
        &mut self,
        actions: Vec<authority::AuthorityAction>,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let mut orders = Vec::new();
        for action in actions {
            match action {
                authority::AuthorityAction::AskWitnesses(order) => {
                    let witnesses = self.witnesses(view);
                    let members = witnesses.members().cloned().collect();
                    orders.push(DomainOrder::Claim(members, order));
                }
                authority::AuthorityAction::AskServers(order) => {
                    let servers = view.replay.configuration.servers_of(&self.name);
                    let servers = servers.map(|spec| spec.name.clone()).collect();
                    orders.push(DomainOrder::Claim(servers, order));
                }
                authority::AuthorityAction::RecordTerm(term) => {
                    let domain = self.name.clone();
                    let body = record::TermBody { domain, term };
                    orders.push(DomainOrder::Record(record::RecordBody::Term(body)));
                }
                authority::AuthorityAction::StartGrants(start) => self.start(&start, view),
                authority::AuthorityAction::StopGrants => self.stop(),
            }
        }
        orders
    }

    fn start(&mut self, start: &authority::GrantStart, view: &DomainView<'_>) {
        let setup = grant::GrantSetup {
            domain: self.name.clone(),
            timing: self.timing,
            start,
            replay: view.replay,
            former: self.known.as_ref(),
        };
        let charts = self.charts.grants.clone();
        self.book = Some(grant::ShardGranter::new(charts, &setup, view.now));
    }

    fn stop(&mut self) {
        if let Some(book) = self.book.take() {
            self.known = Some(book.routes().clone());
        }
    }

    /// Takes a server's answer to a claim.
    pub fn on_claim_reply(
        &mut self,
        order: &contract::ClaimOrder,
        answer: &authority::ClaimResponse,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let actions = self.authority.on_claim_reply(order, answer.clone(), &claim);
        let orders = self.perform(actions, view);
        if self.is_granting(view)
            && let Some(book) = &mut self.book
            && *book.term().as_ref() == order.term
            && !order.probe
        {
            book.on_report(answer, view.now);
        }
        orders
    }

    /// Takes a server's answer to a renewal that was sent at `sent_at`.
    pub fn on_lease_reply(
        &mut self,
        answer: &LeaseResponse,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let current = self.book.as_ref().map(|book| (**book.term()).clone());
        if current.as_ref() != Some(&answer.order.term) {
            return Vec::new();
        }
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let status = &answer.reply.status;
        let refused = answer.reply.verdict == contract::LeaseVerdict::Refused;
        let actions = match &status.promised {
            Some(promised) if refused && *promised > answer.order.term => {
                self.authority.on_term_seen(promised, &claim)
            }
            _ if refused => Vec::new(),
            _ => {
                let sent_at = answer.sent_at;
                self.authority
                    .on_acknowledged(&answer.server, sent_at, status, &claim)
            }
        };
        let orders = self.perform(actions, view);
        if self.is_granting(view)
            && let Some(book) = &mut self.book
        {
            book.on_lease_reply(&answer.server, &answer.order, &answer.reply, view.now);
        }
        orders
    }

    /// Takes news of the domain's granter.
    pub fn on_granter_news(
        &mut self,
        news: &peer::GranterContact,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let last_granter = peer::KnownGranter::from_contact(news, view.now);
        if self
            .last_granter
            .as_ref()
            .is_none_or(|old| last_granter.supersedes(old))
        {
            self.last_granter = Some(last_granter);
        }
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let own = self.book.as_ref().is_some_and(|b| **b.term() == news.term);
        if own {
            return Vec::new();
        }
        let actions = self.authority.on_term_seen(&news.term, &claim);
        self.perform(actions, view)
    }

    /// Takes changes of the domain's table; returns the routes that changed.
    pub fn on_table_update(&mut self, update: &table::TableUpdate) -> Vec<table::RouteChange> {
        if self.book.is_some() {
            return Vec::new();
        }
        let empty = || {
            let mut table = table::DomainTable::new(sync::Arc::clone(&update.mark.term));
            table.merge(update);
            table
        };
        match &mut self.known {
            Some(known) => known.merge(update),
            None if update.base.is_none() => {
                self.known = Some(empty());
                update.changes.clone()
            }
            None => Vec::new(),
        }
    }

    /// Gives up granting and claiming for good.
    pub fn on_stop(&mut self, view: &DomainView<'_>) {
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let actions = self.authority.on_stop(&claim);
        self.perform(actions, view);
    }
}

/// An answer to a renewal, with the order and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The server.
    pub server: names::ServerName,
    /// The order.
    pub order: contract::LeaseOrder,
    /// When it was sent.
    pub sent_at: clock::MonoTime,
    /// The answer.
    pub reply: contract::LeaseReply,
}
