//! The status exchange with peers, both as the requesting and as the responding host.

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
        if now < self.next_exchange_at {
            return;
        }
        self.next_exchange_at = now + time::Duration::from_millis(timing::EXCHANGE_INTERVAL_MS);
        let named = self.granters_to_contact();
        let configuration = sync::Arc::clone(&self.replay.state().configuration);
        let request = self.exchange_request(now);
        for peer in self.roster.choose_peers(&configuration, &named) {
            let request = request.clone();
            actions.push(control::ControlAction::Exchange { peer, request });
        }
    }

    // The granter of this host's domain, and those of domains with unchecked servers, for which the
    // host needs table leases.
    pub(crate) fn granters_to_contact(&self) -> collections::BTreeSet<names::HostName> {
        let configuration = &self.replay.state().configuration;
        let asked = self.domains.iter().filter(|(name, _)| {
            let unchecked = configuration.servers_of(name).any(|s| !s.is_checked());
            unchecked || **name == self.settings.domain
        });
        asked
            .filter_map(|(_, control)| control.last_granter())
            .map(|granter| granter.term.host.clone())
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
            last_record: self.replay.state().last_record,
            version: self.replay.state().version,
            tables: tables.collect(),
            hosts: self.roster.next_contacts(now),
            granters: self.granter_contacts(now),
            loads: self.loads.heaviest(peer::MAX_LOADS_PER_EXCHANGE),
        }
    }

    pub(crate) fn granter_contacts(&self, now: clock::MonoTime) -> Vec<peer::GranterContact> {
        let contacts = self.domains.iter().filter_map(|(name, control)| {
            let granter = control.last_granter()?;
            let age = now.since(granter.at).as_millis();
            Some(peer::GranterContact {
                domain: name.clone(),
                term: granter.term.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        contacts.collect()
    }

    /// Handles a peer's exchange request.
    pub fn on_exchange(
        &mut self,
        request: &peer::ExchangeRequest,
        now: clock::MonoTime,
    ) -> peer::ExchangeReply {
        self.merge_contacts(&request.hosts, &request.granters, now);
        self.update_granters(&request.loads, now);
        let own = self.replay.state();
        let lacks_version = request.version < own.version;
        let records = self.records_since(request.next_offset, request.last_record);
        let state = (lacks_version && records.is_none())
            .then(|| serde_json::to_string(own).ok())
            .flatten();
        peer::ExchangeReply {
            hosts: self.roster.next_contacts(now),
            granters: self.granter_contacts(now),
            tables: self.updates_for(&request.tables),
            records: records.unwrap_or_default(),
            state,
            leases: self.table_leases(now),
        }
    }

    pub(crate) fn merge_contacts(
        &mut self,
        hosts: &[peer::HostContact],
        granters: &[peer::GranterContact],
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        let mut actions = Vec::new();
        for contact in hosts {
            self.roster.note(contact, now);
        }
        for contact in granters {
            self.step_domain(&contact.domain, now, &mut actions, |control, view| {
                control.on_granter_contact(contact, view)
            });
        }
        actions
    }

    // Returns none if the record before the offset is not a kept one, or another one than `last`.
    pub(crate) fn records_since(
        &self,
        offset: u64,
        last: Option<replay::RecordMark>,
    ) -> Option<Vec<peer::RelayedRecord>> {
        let state = self.replay.state();
        if offset >= state.next_offset {
            let is_same = offset == state.next_offset && last == state.last_record;
            return is_same.then(Vec::new);
        }
        let first = self.recent_records.front()?.offset;
        let skip = usize::try_from(offset.checked_sub(first)?).ok()?;
        if let Some(last) = last {
            let before = self.recent_records.get(skip.checked_sub(1)?)?;
            (replay::RecordMark::new(&before.text) == last).then_some(())?;
        }
        let rest = self.recent_records.iter().skip(skip);
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
            let view = self.view_without_claims(now);
            let table = control.table().filter(|_| control.is_granting(&view))?;
            Some(peer::TableVersion {
                domain: name.clone(),
                mark: table.mark().clone(),
            })
        });
        leases.collect()
    }

    // Inputs for steps that can't start a claim, so that the wall clock and the delay don't matter.
    pub(crate) fn view_without_claims(&self, now: clock::MonoTime) -> domain::DomainView<'_> {
        domain::DomainView {
            now,
            replay: self.replay.state(),
            leaving: &self.leaving,
            wall_ms: 0,
            claim_delay: time::Duration::ZERO,
        }
    }

    /// Handles a peer's reply to an exchange request that was sent at `sent_at`. Table leases count
    /// from then.
    pub fn on_exchange_reply(
        &mut self,
        sent_at: clock::MonoTime,
        reply: &peer::ExchangeReply,
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        self.note_contact(now);
        let mut actions = self.merge_contacts(&reply.hosts, &reply.granters, now);
        self.adopt_peer_state(reply.state.as_deref(), now, &mut actions);
        self.replay_records(&reply.records, now, &mut actions);
        for update in &reply.tables {
            if let Some(control) = self.domains.get_mut(&update.domain) {
                control.on_table_update(update);
            }
        }
        for lease in &reply.leases {
            self.extend_table_lease(lease, sent_at);
        }
        self.refresh_routing(now, &mut actions);
        actions
    }

    pub(crate) fn adopt_peer_state(
        &mut self,
        text: Option<&str>,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let state = text.and_then(|t| serde_json::from_str::<replay::ReplayState>(t).ok());
        let own = self.replay.state();
        let newer = state.filter(|state| state.version > own.version && state.covers(own));
        if let Some(state) = newer {
            self.end_rebuild();
            self.adopt_state(state, now, actions);
        }
    }

    pub(crate) fn extend_table_lease(
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
