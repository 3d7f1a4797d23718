//! Steps of the per-domain control states, and the translation of their results into actions.

use crate::clock;
use crate::control;
use crate::domain;
use crate::fence;
use crate::grant;
use crate::names;
use crate::timing;
use std::time;

impl control::ControlState {
    pub(super) fn tick_domains(
        &mut self,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let names: Vec<_> = self.domains.keys().cloned().collect();
        for name in names {
            self.step_domain(&name, now, actions, domain::DomainControl::tick);
            if let Some(granter) = self.domains.get_mut(&name).and_then(|d| d.granter_mut()) {
                let unlogged = granter.take_unlogged();
                self.append_queue.push_assignments(&unlogged);
            }
        }
    }

    pub(crate) fn step_domain(
        &mut self,
        name: &names::DomainName,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
        step: impl FnOnce(
            &mut domain::DomainControl,
            &domain::DomainView<'_>,
        ) -> Vec<domain::DomainOrder>,
    ) {
        let claim_delay = self.claim_delay(name, now);
        let Some(control) = self.domains.get_mut(name) else {
            return;
        };
        let view = domain::DomainView {
            now,
            replay: self.replay.state(),
            leaving: &self.leaving,
            wall_ms: self.settings.wall_origin_ms + now.as_millis(),
            claim_delay,
        };
        let orders = step(control, &view);
        let granting = control.is_granting(&view);
        let term = control.granter().map(|granter| (**granter.term()).clone());
        self.note_granting(name, term.filter(|_| granting), actions);
        for order in orders {
            self.translate(name, order, actions);
        }
    }

    fn note_granting(
        &mut self,
        name: &names::DomainName,
        term: Option<fence::TermId>,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let domain = name.clone();
        let event = match term {
            Some(term) if self.granting.insert(domain.clone()) => {
                Some(control::ControlEvent::TermStarted { domain, term })
            }
            None if self.granting.remove(name) => Some(control::ControlEvent::TermEnded { domain }),
            _ => None,
        };
        actions.extend(event.map(control::ControlAction::LogEvent));
    }

    fn translate(
        &mut self,
        name: &names::DomainName,
        order: domain::DomainOrder,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let domain = name.clone();
        match order {
            domain::DomainOrder::Record(body) => self.append_queue.push(body),
            domain::DomainOrder::RecordOnce(record) => self.append_queue.push_record(record),
            domain::DomainOrder::Grant(addressed) => {
                let server = addressed.server;
                actions.push(match addressed.order {
                    grant::GrantOrder::Claim(order) => control::ControlAction::Claim {
                        domain,
                        server,
                        order,
                    },
                    grant::GrantOrder::Lease(order) => control::ControlAction::Lease {
                        domain,
                        server,
                        order,
                    },
                });
            }
            domain::DomainOrder::Claim(servers, order) => {
                let configuration = &self.replay.state().configuration;
                let known = servers.iter().filter_map(|n| configuration.find_server(n));
                actions.extend(known.map(|server| control::ControlAction::Claim {
                    domain: domain.clone(),
                    server: server.clone(),
                    order: order.clone(),
                }));
            }
        }
    }

    // The domain's own hosts claim first, in order of name, then those of other domains. While one of
    // the domain's own hosts was heard from recently, those of other domains wait much longer, so that
    // they claim only if the domain stays without a granter.
    fn claim_delay(&self, domain: &names::DomainName, now: clock::MonoTime) -> time::Duration {
        let hosts = &self.replay.state().configuration.host;
        let inside = self.settings.domain == *domain;
        let (own, others): (Vec<_>, Vec<_>) = hosts.iter().partition(|h| h.domain == *domain);
        let candidates = if inside { &own } else { &others };
        let earlier = candidates.iter().filter(|h| h.name < *self.host()).count();
        let window = time::Duration::from_millis(timing::CANDIDATE_STALE_MS);
        let has_live_candidate = own
            .iter()
            .any(|h| self.roster.seen_within(&h.name, window, now));
        let base_ms = match (inside, has_live_candidate) {
            (true, _) => 0,
            (false, false) => timing::OUTSIDE_DELAY_MS,
            (false, true) => timing::OUTSIDE_STANDBY_MS,
        };
        let jitter = self.claim_jitters.get(domain).copied().unwrap_or_default();
        let step = time::Duration::from_millis(timing::CANDIDATE_STEP_MS);
        let place = u32::try_from(earlier.min(control::MAX_CANDIDATE_PLACE)).unwrap_or(u32::MAX);
        time::Duration::from_millis(base_ms) + jitter + step * place
    }
}
