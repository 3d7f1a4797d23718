//! What follows from a newer configuration: domains, gates and the table of routes.

use crate::clock;
use crate::control;
use crate::domain;
use crate::gate;
use crate::lifecycle;
use crate::table;
use crate::timing;
use std::sync;
use std::time;

impl control::ControlState {
    pub(crate) fn note_contact(&mut self, now: clock::MonoTime) {
        self.routing.fresh_until = now + time::Duration::from_millis(timing::CONTACT_TIMEOUT_MS);
    }

    pub(crate) fn follow_configuration(&mut self, now: clock::MonoTime) {
        let state = self.replay.state();
        let configuration = sync::Arc::clone(&state.configuration);
        let fresh_until = self.routing.fresh_until;
        self.routing = table::RoutingTable::new(state.version, &configuration);
        self.routing.fresh_until = fresh_until;
        self.applied.clear();
        self.gates_version = 0;
        for spec in &configuration.domain {
            if self.domains.contains_key(&spec.name) {
                continue;
            }
            let control = domain::DomainControl::new(
                spec.name.clone(),
                self.charts.clone(),
                &self.settings.identity,
                self.settings.timing,
                now,
            );
            let limit = time::Duration::from_millis(control::JITTER_MS);
            self.jitters
                .insert(spec.name.clone(), self.roster.jitter(limit));
            self.domains.insert(spec.name.clone(), control);
        }
        self.lifecycle
            .handle(lifecycle::HostEvent::ConfigurationKnown);
    }

    fn refresh_gates(&mut self, now: clock::MonoTime) {
        let state = self.replay.state();
        let gate_candidates = self.roster.gate_candidates(now);
        if gate_candidates == self.gate_candidates && state.version == self.gates_version {
            return;
        }
        let gates = gate::GateMap::new(&state.configuration, &gate_candidates, self.host());
        self.gates_version = state.version;
        self.gate_candidates = gate_candidates;
        self.routing.set_gates(sync::Arc::new(gates));
    }

    pub(crate) fn refresh_routing(
        &mut self,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.refresh_gates(now);
        for (name, control) in &self.domains {
            let Some(table) = control.table() else {
                continue;
            };
            let applied = self.applied.get(name);
            if let Some(update) = table.update_since(name, applied) {
                if update.base.is_none() {
                    self.routing.clear_domain(name);
                }
                self.routing.set_routes(&update.changes);
                self.applied.insert(name.clone(), update.mark);
            }
            if self.granting.contains(name) {
                let until = now + self.settings.timing.table_lease;
                self.routing.set_table_lease(name.clone(), until);
            }
        }
        if self.replay.state().version > 0 {
            let table = sync::Arc::new(self.routing.clone());
            actions.push(control::ControlAction::Publish(table));
        }
    }
}
