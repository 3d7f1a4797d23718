//! One host's control state for one failure domain: the granter election, the shard granter and the
//! domain's routing table.

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

/// The charts that control a domain.
#[derive(Clone)]
pub struct DomainCharts {
    /// The chart `term`.
    pub term: sync::Arc<chart::ChartTable<authority::TermVocabulary>>,
    /// The charts `lease` and `grant`.
    pub grants: grant::GrantCharts,
}

impl DomainCharts {
    /// Parses and checks the charts.
    ///
    /// # Errors
    /// Fails when a chart is invalid.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            term: sync::Arc::new(chart::ChartTable::new()?),
            grants: grant::GrantCharts::new()?,
        })
    }
}

/// A message to send or a record to append for a domain.
#[derive(Clone, Debug, PartialEq)]
pub enum DomainOrder {
    /// Send the claim to the named servers.
    Claim(Vec<names::ServerName>, contract::ClaimOrder),
    /// Send the granter's message.
    Grant(grant::AddressedOrder),
    /// Append the content under a new record id.
    Record(record::RecordBody),
    /// Append the record under the id that it has, at most once while it is in the queue.
    RecordOnce(record::LogRecord),
}

/// The inputs of a step of a domain's control state.
#[derive(Clone, Copy)]
pub struct DomainView<'a> {
    /// The current time.
    pub now: clock::MonoTime,
    /// The state replayed from the log.
    pub replay: &'a replay::ReplayState,
    /// The servers that the platform lists as leaving.
    pub leaving: &'a collections::BTreeSet<names::ServerName>,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// How long this host waits, after the granter became unresponsive, before it claims: longer
    /// for candidates further back in the order, with the host's jitter for the domain.
    pub claim_delay: time::Duration,
}

/// One host's control state for one domain.
pub struct DomainControl {
    name: names::DomainName,
    charts: DomainCharts,
    timing: timing::LeaseTiming,
    authority: authority::DomainAuthority,
    granter: Option<grant::ShardGranter>,
    received_table: Option<table::DomainTable>,
    last_granter: Option<peer::KnownGranter>,
    started: clock::MonoTime,
    given_up: usize,
}

impl DomainControl {
    /// Creates the state for a domain that is new in the host's configuration.
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
            granter: None,
            received_table: None,
            last_granter: None,
            started: now,
            given_up: 0,
        }
    }

    /// Returns the shard granter while this host grants.
    #[must_use]
    pub const fn granter(&self) -> Option<&grant::ShardGranter> {
        self.granter.as_ref()
    }

    /// Returns the shard granter mutably while this host grants.
    pub const fn granter_mut(&mut self) -> Option<&mut grant::ShardGranter> {
        self.granter.as_mut()
    }

    /// Returns the domain's newest routing table that this host has.
    #[must_use]
    pub fn table(&self) -> Option<&table::DomainTable> {
        let own = self.granter.as_ref().map(grant::ShardGranter::routes);
        own.or(self.received_table.as_ref())
    }

    /// Returns the granter with the highest known term, and when it last showed authority.
    #[must_use]
    pub const fn last_granter(&self) -> Option<&peer::KnownGranter> {
        self.last_granter.as_ref()
    }

    /// Reports whether this host has the authority to grant now.
    #[must_use]
    pub fn is_granting(&self, view: &DomainView<'_>) -> bool {
        let witnesses = self.witnesses(view);
        let term = self
            .authority
            .current_term(&self.claim_view(view, &witnesses));
        self.granter.is_some() && term.is_some()
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
        let reported = self
            .last_granter
            .as_ref()
            .map_or(0, |granter| granter.term.number);
        authority::ClaimView {
            now: view.now,
            witnesses,
            version: view.replay.version,
            known_number: logged.max(reported).max(view.wall_ms),
        }
    }

    /// Runs the time-outs of the election and of the granter.
    pub fn tick(&mut self, view: &DomainView<'_>) -> Vec<DomainOrder> {
        let witnesses = self.witnesses(view);
        let unresponsive = self.is_granter_unresponsive(view);
        let claim = self.claim_view(view, &witnesses);
        let mut actions = self.renew_term(view, &claim);
        actions.extend(self.authority.tick(&claim, unresponsive));
        let mut orders = self.perform(actions, view);
        if self.is_granting(view) {
            orders.extend(self.tick_granter(view, &witnesses));
        }
        orders
    }

    // Shards of a domain that was given up have fences of that domain's terms. This domain's
    // granter therefore claims a new term, numbered above the wall clock in milliseconds, so that
    // the fences of shards that move here still increase.
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

    fn is_granter_unresponsive(&self, view: &DomainView<'_>) -> bool {
        let last_authority = self
            .last_granter
            .as_ref()
            .map_or(self.started, |granter| granter.at);
        let timeout = time::Duration::from_millis(timing::GRANTER_TIMEOUT_MS) + view.claim_delay;
        view.now >= last_authority + timeout
    }

    fn tick_granter(
        &mut self,
        view: &DomainView<'_>,
        witnesses: &replay::WitnessSets,
    ) -> Vec<DomainOrder> {
        let Some(granter) = &mut self.granter else {
            return Vec::new();
        };
        self.last_granter = Some(peer::KnownGranter {
            term: (**granter.term()).clone(),
            at: view.now,
        });
        granter.apply_state(view.replay);
        granter.set_leaving(view.leaving);
        granter.tick(view.now, witnesses);
        let due = granter.due_orders(view.now);
        let mut orders: Vec<_> = due.into_iter().map(DomainOrder::Grant).collect();
        if granter.may_settle(witnesses) {
            orders.extend(self.settle_witnesses(witnesses.number));
        }
        orders
    }

    fn settle_witnesses(&self, witness_set: u64) -> Option<DomainOrder> {
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
                authority::AuthorityAction::StartGrants(start) => self.start_granting(&start, view),
                authority::AuthorityAction::StopGrants => self.stop_granting(),
            }
        }
        orders
    }

    fn start_granting(&mut self, start: &authority::GrantStart, view: &DomainView<'_>) {
        let setup = grant::GrantSetup {
            domain: self.name.clone(),
            timing: self.timing,
            start,
            replay: view.replay,
            former: self.received_table.as_ref(),
        };
        let charts = self.charts.grants.clone();
        self.granter = Some(grant::ShardGranter::new(charts, &setup, view.now));
    }

    fn stop_granting(&mut self) {
        if let Some(granter) = self.granter.take() {
            self.received_table = Some(granter.routes().clone());
        }
    }

    /// Handles a server's response to a claim.
    pub fn on_claim_reply(
        &mut self,
        order: &contract::ClaimOrder,
        response: &authority::ClaimResponse,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let actions = self
            .authority
            .on_claim_reply(order, response.clone(), &claim);
        let orders = self.perform(actions, view);
        if self.is_granting(view)
            && let Some(granter) = &mut self.granter
            && *granter.term().as_ref() == order.term
            && !order.probe
        {
            granter.on_report(response, view.now);
        }
        orders
    }

    /// Handles a server's response to a lease renewal.
    pub fn on_lease_reply(
        &mut self,
        response: &LeaseResponse,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let current = self
            .granter
            .as_ref()
            .map(|granter| (**granter.term()).clone());
        if current.as_ref() != Some(&response.order.term) {
            return Vec::new();
        }
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let status = &response.reply.status;
        let refused = response.reply.verdict == contract::LeaseVerdict::Refused;
        let actions = match &status.promised {
            Some(promised) if refused && *promised > response.order.term => {
                self.authority.on_term_seen(promised, &claim)
            }
            _ if refused => Vec::new(),
            _ => {
                let sent_at = response.sent_at;
                self.authority
                    .on_acknowledged(&response.server, sent_at, status, &claim)
            }
        };
        let orders = self.perform(actions, view);
        if self.is_granting(view)
            && let Some(granter) = &mut self.granter
        {
            granter.on_lease_reply(&response.server, &response.order, &response.reply, view.now);
        }
        orders
    }

    /// Handles a peer's report of the domain's granter.
    pub fn on_granter_contact(
        &mut self,
        contact: &peer::GranterContact,
        view: &DomainView<'_>,
    ) -> Vec<DomainOrder> {
        let known_granter = peer::KnownGranter::from_contact(contact, view.now);
        if self
            .last_granter
            .as_ref()
            .is_none_or(|old| known_granter.supersedes(old))
        {
            self.last_granter = Some(known_granter);
        }
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let own = self
            .granter
            .as_ref()
            .is_some_and(|b| **b.term() == contact.term);
        if own {
            return Vec::new();
        }
        let actions = self.authority.on_term_seen(&contact.term, &claim);
        self.perform(actions, view)
    }

    /// Merges an update of the domain's routing table; returns the routes that changed. Ignored
    /// while this host grants.
    pub fn on_table_update(&mut self, update: &table::TableUpdate) -> Vec<table::RouteChange> {
        if self.granter.is_some() {
            return Vec::new();
        }
        let empty = || {
            let mut table = table::DomainTable::new(sync::Arc::clone(&update.mark.term));
            table.merge(update);
            table
        };
        match &mut self.received_table {
            Some(known) => known.merge(update),
            None if update.base.is_none() => {
                self.received_table = Some(empty());
                update.changes.clone()
            }
            None => Vec::new(),
        }
    }

    /// Stops granting and claiming for the rest of the process.
    pub fn on_stop(&mut self, view: &DomainView<'_>) {
        let witnesses = self.witnesses(view);
        let claim = self.claim_view(view, &witnesses);
        let actions = self.authority.on_stop(&claim);
        self.perform(actions, view);
    }
}

/// A server's response to a lease renewal, with the order and the time at which it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The server.
    pub server: names::ServerName,
    /// The order.
    pub order: contract::LeaseOrder,
    /// When the order was sent.
    pub sent_at: clock::MonoTime,
    /// The reply.
    pub reply: contract::LeaseReply,
}
