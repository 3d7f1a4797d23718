//! The domains that this host may grant in, and what they want done.

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
            self.with_domain(&name, now, actions, domain::DomainControl::tick);
            if let Some(book) = self.domains.get_mut(&name).and_then(|d| d.book_mut()) {
                let unlogged = book.take_unlogged();
                self.append_queue.push_assignments(&unlogged);
            }
        }
    }

    pub(crate) fn with_domain(
        &mut self,
        name: &names::DomainName,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
        step: impl FnOnce(
            &mut domain::DomainControl,
            &domain::DomainView<'_>,
        ) -> Vec<domain::DomainOrder>,
    ) {
        let patience = self.patience(name, now);
        let Some(control) = self.domains.get_mut(name) else {
            return;
        };
        let view = domain::DomainView {
            now,
            replay: self.replay.state(),
            leaving: &self.leaving,
            wall_ms: self.settings.wall_origin_ms + now.as_millis(),
            patience,
        };
        let orders = step(control, &view);
        let granting = control.is_granting(&view);
        let term = control.book().map(|book| (**book.term()).clone());
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
        let note = match term {
            Some(term) if self.granting.insert(domain.clone()) => {
                Some(control::ControlEvent::TermStarted { domain, term })
            }
            None if self.granting.remove(name) => Some(control::ControlEvent::TermEnded { domain }),
            _ => None,
        };
        actions.extend(note.map(control::ControlAction::LogEvent));
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

    // Hosts of the domain claim first, in order of name; then the others. While a host of the domain
    // is heard of, the others leave it to claim, unless the domain stays without a granter for long.
    fn patience(&self, domain: &names::DomainName, now: clock::MonoTime) -> time::Duration {
        let hosts = &self.replay.state().configuration.host;
        let inside = self.settings.domain == *domain;
        let (own, others): (Vec<_>, Vec<_>) = hosts.iter().partition(|h| h.domain == *domain);
        let rivals = if inside { &own } else { &others };
        let before = rivals.iter().filter(|h| h.name < *self.host()).count();
        let window = time::Duration::from_millis(timing::CANDIDATE_STALE_MS);
        let claimable = own
            .iter()
            .any(|h| self.roster.seen_within(&h.name, window, now));
        let base_ms = match (inside, claimable) {
            (true, _) => 0,
            (false, false) => timing::OUTSIDE_DELAY_MS,
            (false, true) => timing::OUTSIDE_STANDBY_MS,
        };
        let jitter = self.jitters.get(domain).copied().unwrap_or_default();
        let step = time::Duration::from_millis(timing::CANDIDATE_STEP_MS);
        let place = u32::try_from(before.min(control::MAX_PLACES)).unwrap_or(u32::MAX);
        time::Duration::from_millis(base_ms) + jitter + step * place
    }
}
