//! What a host asks its peers, and what it answers them.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::control;
use crate::domain;
use crate::names;
use crate::peer;
use crate::replay;
use crate::table;
use crate::timing;

impl control::ControlState {
    pub(crate) fn tick_exchange(
        &mut self,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        if now < self.exchange_at {
            return;
        }
        self.exchange_at = now + time::Duration::from_millis(timing::EXCHANGE_INTERVAL_MS);
        let named = self.granters_to_ask();
        let configuration = sync::Arc::clone(&self.replay.state().configuration);
        let request = self.exchange_request(now);
        for peer in self.roster.choose_peers(&configuration, &named) {
            let request = request.clone();
            actions.push(control::ControlAction::Exchange { peer, request });
        }
    }

    // The granter of the own domain, and those of domains whose unchecked servers need a lease.
    pub(crate) fn granters_to_ask(&self) -> collections::BTreeSet<names::HostName> {
        let configuration = &self.replay.state().configuration;
        let asked = self.domains.iter().filter(|(name, _)| {
            let unchecked = configuration.servers_of(name).any(|s| !s.is_checked());
            unchecked || **name == self.settings.domain
        });
        asked
            .filter_map(|(_, control)| control.last_granter())
            .map(|last_granter| last_granter.term.host.clone())
            .collect()
    }

    pub(crate) fn exchange_request(&mut self, now: clock::MonoTime) -> peer::ExchangeRequest {
        let tables = self.domains.iter().filter_map(|(name, control)| {
            Some(peer::TableVersion {
                domain: name.clone(),
                mark: control.table()?.mark().clone(),
            })
        });
        peer::ExchangeRequest {
            from: self.host().clone(),
            next_offset: self.replay.state().next_offset,
            version: self.replay.state().version,
            tables: tables.collect(),
            hosts: self.roster.next_contacts(now),
            granters: self.granter_news(now),
            loads: self.loads.heaviest(peer::MAX_LOADS_PER_EXCHANGE),
        }
    }

    pub(crate) fn granter_news(&self, now: clock::MonoTime) -> Vec<peer::GranterContact> {
        let news = self.domains.iter().filter_map(|(name, control)| {
            let last_granter = control.last_granter()?;
            let age = now.since(last_granter.at).as_millis();
            Some(peer::GranterContact {
                domain: name.clone(),
                term: last_granter.term.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        news.collect()
    }

    /// Answers a peer's question.
    pub fn on_exchange(
        &mut self,
        request: &peer::ExchangeRequest,
        now: clock::MonoTime,
    ) -> peer::ExchangeReply {
        self.note_news(&request.hosts, &request.granters, now);
        self.tell_books(&request.loads, now);
        let own = self.replay.state();
        let lacks_version = request.version < own.version;
        let records = self.records_since(request.next_offset);
        let state = (lacks_version && records.is_none())
            .then(|| serde_json::to_string(own).ok())
            .flatten();
        peer::ExchangeReply {
            hosts: self.roster.next_contacts(now),
            granters: self.granter_news(now),
            tables: self.updates_for(&request.tables),
            records: records.unwrap_or_default(),
            state,
            leases: self.table_leases(now),
        }
    }

    pub(crate) fn note_news(
        &mut self,
        hosts: &[peer::HostContact],
        granters: &[peer::GranterContact],
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        let mut actions = Vec::new();
        for news in hosts {
            self.roster.note(news, now);
        }
        for news in granters {
            self.with_domain(&news.domain, now, &mut actions, |control, view| {
                control.on_granter_news(news, view)
            });
        }
        actions
    }

    // None where the asked offset is not among the kept records, nor right behind them.
    pub(crate) fn records_since(&self, offset: u64) -> Option<Vec<peer::RelayedRecord>> {
        if offset >= self.replay.state().next_offset {
            return (offset == self.replay.state().next_offset).then(Vec::new);
        }
        let first = self.tail.front()?.offset;
        let skip = usize::try_from(offset.checked_sub(first)?).ok()?;
        let rest = self.tail.iter().skip(skip);
        Some(rest.take(peer::MAX_RECORDS_PER_EXCHANGE).cloned().collect())
    }

    pub(crate) fn updates_for(&self, known: &[peer::TableVersion]) -> Vec<table::TableUpdate> {
        let updates = self.domains.iter().filter_map(|(name, control)| {
            let mark = known.iter().find(|k| k.domain == *name).map(|k| &k.mark);
            control.table()?.update_since(name, mark)
        });
        updates.collect()
    }

    pub(crate) fn table_leases(&self, now: clock::MonoTime) -> Vec<peer::TableVersion> {
        let leases = self.domains.iter().filter_map(|(name, control)| {
            let view = self.quiet_view(now);
            let table = control.table().filter(|_| control.is_granting(&view))?;
            Some(peer::TableVersion {
                domain: name.clone(),
                mark: table.mark().clone(),
            })
        });
        leases.collect()
    }

    // A view for steps that claim nothing.
    pub(crate) fn quiet_view(&self, now: clock::MonoTime) -> domain::DomainView<'_> {
        domain::DomainView {
            now,
            replay: self.replay.state(),
            leaving: &self.leaving,
            wall_ms: 0,
            patience: time::Duration::ZERO,
        }
    }

    /// Takes a peer's answer to a question that was sent at `sent_at`.
    pub fn on_exchange_reply(
        &mut self,
        sent_at: clock::MonoTime,
        reply: &peer::ExchangeReply,
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        self.note_contact(now);
        let mut actions = self.note_news(&reply.hosts, &reply.granters, now);
        self.take_state(reply.state.as_deref(), now, &mut actions);
        self.fold_records(&reply.records, now, &mut actions);
        for update in &reply.tables {
            if let Some(control) = self.domains.get_mut(&update.domain) {
                control.on_table_update(update);
            }
        }
        for lease in &reply.leases {
            self.take_table_lease(lease, sent_at);
        }
        self.refresh_routing(now, &mut actions);
        actions
    }

    pub(crate) fn take_state(
        &mut self,
        text: Option<&str>,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let state = text.and_then(|t| serde_json::from_str::<replay::ReplayState>(t).ok());
        let newer = state.filter(|state| state.version > self.replay.state().version);
        if let Some(state) = newer {
            self.scan_from = None;
            self.adopt_state(state, now, actions);
        }
    }

    pub(crate) fn take_table_lease(
        &mut self,
        lease: &peer::TableVersion,
        sent_at: clock::MonoTime,
    ) {
        let control = self.domains.get(&lease.domain);
        let known = control.and_then(|control| control.table());
        if known.is_some_and(|table| *table.mark() >= lease.mark) {
            let until = sent_at + self.settings.timing.table_lease;
            self.routing.set_table_lease(lease.domain.clone(), until);
        }
    }
}
