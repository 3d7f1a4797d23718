//! The granter: takes what the log, the servers and the clock say, and returns what to append and
//! which orders to send.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::arrival;
use crate::ownership::book;
use crate::ownership::duty;
use crate::ownership::heat;
use crate::ownership::order;
use crate::ownership::plan;
use crate::ownership::range_run;
use crate::ownership::succession;
use crate::serving::directory;

/// The longest hold of one order, in milliseconds, where the servers allow as much.
pub const HOLD_MS: u64 = 2_400;
/// How many orders a hold is renewed by.
pub const RENEWALS_PER_HOLD: u32 = 4;
/// How long after an append without success the next one is sent, in milliseconds.
pub const APPEND_RETRY_MS: u64 = 250;
/// How long an append may take, in milliseconds.
pub const APPEND_TIMEOUT_MS: u64 = 2_000;
/// How long a plan waits after the last one, in milliseconds, where no server was lost.
pub const PLAN_INTERVAL_MS: u64 = 400;
/// How long no further server of a service registers until its keys are placed for the first time,
/// in milliseconds.
pub const FIRST_PLACE_MS: u64 = 1_200;
/// How long orders to most servers go unanswered until the granter takes itself for cut off, in
/// milliseconds.
pub const ISOLATION_MS: u64 = 300;
/// How long a silent server gets no keys, in milliseconds, at first; doubled each time.
pub const SILENCE_MS: u64 = 3_000;
/// The longest such time, in milliseconds.
pub const MAX_SILENCE_MS: u64 = 24_000;

// A server whose orders went unanswered until its hold had lapsed.
struct Silence {
    until: clock::MonoTime,
    span: time::Duration,
}

/// What the granter of a host knows.
pub struct KeyGranter {
    own: book::GranterLife,
    hold: time::Duration,
    table: chart::ChartTable<range_run::RangeVocabulary>,
    duty: duty::GrantDuty,
    ledger: arrival::ArrivalLedger,
    succession: succession::GranterSuccession,
    book: book::GrantBook,
    end: Option<u64>,
    appending: Option<book::GrantBook>,
    append_retry: clock::MonoTime,
    candidate: bool,
    planned_at: clock::MonoTime,
    runs: collections::BTreeMap<order::RangeId, range_run::RangeRun>,
    silences: collections::BTreeMap<book::ServerLife, Silence>,
    // Lives at whose address another server answers.
    ended: collections::BTreeSet<book::ServerLife>,
    // Lives whose address answers like a server without keys.
    rejected: collections::BTreeMap<book::ServerLife, net::SocketAddr>,
    yielded: bool,
    append_sent: clock::MonoTime,
    heat: heat::ServiceHeat,
    service_times: collections::BTreeMap<names::ServerName, f64>,
    // Since when the servers of a service without ranges have been the same.
    gathered: collections::BTreeMap<names::ServiceName, (usize, clock::MonoTime)>,
}

impl KeyGranter {
    /// Creates the granter of a host that has read nothing.
    ///
    /// # Errors
    /// Fails when a chart is faulty.
    pub fn new(
        own: book::GranterLife,
        max_hold: time::Duration,
    ) -> Result<Self, chart::ChartError> {
        let hold = max_hold.min(time::Duration::from_millis(HOLD_MS));
        let origin = clock::MonoTime::from_micros(0);
        Ok(Self {
            succession: succession::GranterSuccession::new(own.clone()),
            own,
            hold,
            table: chart::ChartTable::new()?,
            duty: duty::GrantDuty::new()?,
            ledger: arrival::ArrivalLedger::new(hold),
            book: book::GrantBook::default(),
            end: None,
            appending: None,
            append_retry: origin,
            candidate: false,
            planned_at: origin,
            runs: collections::BTreeMap::new(),
            silences: collections::BTreeMap::new(),
            ended: collections::BTreeSet::new(),
            rejected: collections::BTreeMap::new(),
            yielded: false,
            append_sent: origin,
            heat: heat::ServiceHeat::new(),
            service_times: collections::BTreeMap::new(),
            gathered: collections::BTreeMap::new(),
        })
    }

    /// Returns the newest book.
    #[must_use]
    pub const fn book(&self) -> &book::GrantBook {
        &self.book
    }

    /// Returns where the book's log ends, 0 where that is not known.
    #[must_use]
    pub fn book_end(&self) -> u64 {
        self.end.unwrap_or(0)
    }

    /// Reports whether this host grants.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.duty.state() == duty::DutyState::Granting
    }

    /// Notes whether this host is the one that is to claim the duty.
    pub fn note_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Takes the newest book of the log, which ends at `end`. Reports whether it was news.
    pub fn note_book(
        &mut self,
        newest: Option<book::GrantBook>,
        end: u64,
        now: clock::MonoTime,
    ) -> bool {
        if self.end.is_some_and(|known| end <= known) {
            return false;
        }
        self.end = Some(end);
        let Some(newest) = newest else {
            return false;
        };
        if newest == self.book {
            return false;
        }
        if self.appending.as_ref() == Some(&newest) {
            // The append's own answer was slower, or lost.
            self.note_appended(
                order::AppendOutcome::Appended { end },
                self.append_sent,
                now,
            );
            return true;
        }
        let foreign = newest.granter.as_ref() != Some(&self.own);
        self.book = newest;
        self.appending = None;
        match self.duty.state() {
            duty::DutyState::Claiming => self.run_duty(duty::DutyEvent::AppendConflict),
            duty::DutyState::Granting if foreign => self.run_duty(duty::DutyEvent::NewerTermSeen),
            duty::DutyState::Granting | duty::DutyState::Watching => {}
        }
        true
    }

    /// Notes that the log held nothing newer at `at`, the time when it was asked.
    pub fn note_confirmed(&mut self, at: clock::MonoTime) {
        self.duty.confirm(at);
    }

    /// Takes the measured time of servers, in milliseconds.
    pub fn note_service_times(&mut self, times: Vec<(names::ServerName, f64)>) {
        self.service_times = times.into_iter().collect();
    }

    /// Takes the work of a service's keys.
    pub fn note_heat(&mut self, service: &names::ServiceName, report: &[heat::KeyHeat]) {
        self.heat.entry(service.clone()).or_default().note(report);
    }

    /// Takes the end of an append.
    pub fn note_appended(
        &mut self,
        outcome: order::AppendOutcome,
        sent: clock::MonoTime,
        now: clock::MonoTime,
    ) {
        if self.appending.is_none() {
            return;
        }
        match outcome {
            order::AppendOutcome::Appended { end } => {
                self.end = self.end.max(Some(end));
                self.duty.confirm(sent);
                if let Some(appended) = self.appending.take() {
                    let former = std::mem::replace(&mut self.book, appended);
                    self.follow_append(&former, now);
                }
            }
            order::AppendOutcome::Conflict => {
                // What is there instead comes with the next news of the log.
                self.append_retry = now + time::Duration::from_millis(APPEND_RETRY_MS);
            }
            order::AppendOutcome::Refused | order::AppendOutcome::Unknown => {
                self.append_retry = now + time::Duration::from_millis(APPEND_RETRY_MS);
            }
        }
    }

    fn follow_append(&mut self, former: &book::GrantBook, now: clock::MonoTime) {
        if self.duty.state() == duty::DutyState::Claiming {
            self.take_foreign(former, now);
            self.run_duty(duty::DutyEvent::ClaimAppended);
        }
        self.sync_runs(now);
    }

    // Whoever granted before may go on until its right has ended by its own clock.
    fn take_foreign(&mut self, former: &book::GrantBook, now: clock::MonoTime) {
        let formers = &self.book.former_granters;
        self.succession.take_over(self.book.term, formers, now);
        let foreign = !formers.is_empty();
        let ranges = former.services.values().flatten();
        let holders = ranges.flat_map(|range| range.formers.iter().chain([&range.holder]));
        let lives = holders
            .map(|holder| holder.life.clone())
            .filter(|_| foreign);
        let hold = time::Duration::from_millis(former.longest_hold_millis);
        self.ledger.take_over(lives, hold);
        self.silences.clear();
    }

    /// Takes another host's answer, which may prove that a former granter orders no longer.
    pub fn note_answer(&mut self, answer: &succession::HostAnswer, now: clock::MonoTime) {
        if self.is_granting() && self.succession.note_answer(answer, now) {
            tracing::info!(
                event = "former-granter-ended",
                term = self.book.term,
                host = %answer.life.host,
                known_term = answer.term
            );
        }
    }

    /// Returns the former granters to ask, while this host grants.
    #[must_use]
    pub fn granters_in_doubt(&self, now: clock::MonoTime) -> Vec<book::GranterLife> {
        let asks = self.is_granting();
        let doubted = self.succession.in_doubt(now).filter(|_| asks);
        doubted.cloned().collect()
    }

    fn run_duty(&mut self, event: duty::DutyEvent) {
        let term = self.book.term;
        for action in self.duty.handle(event) {
            match action {
                duty::DutyAction::AppendClaim => {}
                duty::DutyAction::TakeUp => {
                    tracing::info!(event = "granting-taken-up", term);
                }
                duty::DutyAction::StandDown => {
                    tracing::info!(event = "granting-stood-down", term, cause = ?event);
                    self.runs.clear();
                }
                duty::DutyAction::YieldDuty => self.yielded = true,
            }
        }
    }

    /// Takes the end of an order. Reports whether it was the first to be done.
    pub fn note_granted(
        &mut self,
        order: &order::GrantOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) -> bool {
        self.ledger.note_ended(&order.life, outcome.arrival(), now);
        if outcome.arrival() == arrival::OrderArrival::Answered {
            self.silences.remove(&order.life);
        }
        let renewal = self.hold / RENEWALS_PER_HOLD;
        let Some(run) = self.runs.get_mut(&order.range) else {
            return false;
        };
        run.open = false;
        let event = match outcome {
            order::OrderOutcome::Replaced => {
                self.ended.insert(order.life.clone());
                return true;
            }
            order::OrderOutcome::Rejected => {
                self.rejected.insert(order.life.clone(), order.address);
                run.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                return false;
            }
            order::OrderOutcome::Done(_) => range_run::RangeEvent::Accepted,
            order::OrderOutcome::Refused => range_run::RangeEvent::Refused,
            order::OrderOutcome::Unanswered | order::OrderOutcome::Unsent => {
                run.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
                return false;
            }
        };
        run.next_call = now + renewal;
        let Some(step) = self.table.step_plain(run.state, event) else {
            return false;
        };
        let news = run.state != step.next;
        run.state = step.next;
        news
    }

    /// Takes the end of a release.
    pub fn note_released(
        &mut self,
        order: &order::ReleaseOrder,
        outcome: &order::OrderOutcome,
        now: clock::MonoTime,
    ) {
        let Some(run) = self.runs.get_mut(&order.range) else {
            return;
        };
        let position = run.formers.iter().position(|f| f.holder.life == order.life);
        let Some(position) = position else {
            return;
        };
        let former = &mut run.formers[position];
        former.open = false;
        former.next_call = now + time::Duration::from_millis(order::ORDER_RETRY_MS);
        if *outcome == order::OrderOutcome::Rejected {
            self.rejected.insert(order.life.clone(), order.address);
        }
        if *outcome == order::OrderOutcome::Replaced {
            self.ended.insert(order.life.clone());
        }
        if let order::OrderOutcome::Done(handover) = outcome {
            run.formers.remove(position);
            if handover.is_some() {
                run.handover.clone_from(handover);
            }
        }
    }

    /// Returns what is to be done at `now`.
    pub fn tick(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Vec<order::GranterAction> {
        let mut actions = Vec::new();
        self.ledger
            .note_foreign_until(self.succession.orders_until());
        if self.is_granting() && !self.duty.has_right(now) {
            self.run_duty(duty::DutyEvent::RightEnded);
        }
        if self.is_granting() {
            self.find_ended(servers);
            self.watch_silence(now, services, servers);
        }
        if std::mem::take(&mut self.yielded) {
            actions.push(order::GranterAction::Yield);
        }
        if let (Some(book), Some(at)) = (&self.appending, self.end) {
            if now >= self.append_retry {
                self.append_retry = now + time::Duration::from_millis(APPEND_TIMEOUT_MS);
                self.append_sent = now;
                actions.push(order::GranterAction::Append {
                    book: book.clone(),
                    at,
                });
            }
        } else if let Some(at) = self.end {
            let next = self.next_book(now, services, servers);
            if let Some(next) = next {
                self.appending = Some(next.clone());
                self.append_retry = now + time::Duration::from_millis(APPEND_TIMEOUT_MS);
                self.append_sent = now;
                actions.push(order::GranterAction::Append { book: next, at });
            }
        }
        if self.duty.has_right(now) {
            self.order_all(now, servers, &mut actions);
        }
        actions
    }

    // The next book to append: a claim, or a plan.
    fn next_book(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Option<book::GrantBook> {
        match self.duty.state() {
            duty::DutyState::Watching if self.candidate && !services.is_empty() => {
                self.run_duty(duty::DutyEvent::ClaimDue);
                let mut claim = self.book.clone();
                claim.term += 1;
                claim.former_granters = self.succession.predecessors(&self.book);
                claim.granter = Some(self.own.clone());
                claim.longest_hold_millis =
                    u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX);
                Some(claim)
            }
            duty::DutyState::Granting => self.next_plan(now, services, servers),
            _ => None,
        }
    }

    fn next_plan(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Option<book::GrantBook> {
        let mut next = self.book.clone();
        let mut changed = self.forget_vacated(&mut next);
        changed |= self.raise_refused(&mut next);
        changed |= self.forget_granters(&mut next, now);
        let settled = now >= self.planned_at + time::Duration::from_millis(PLAN_INTERVAL_MS);
        for service in services {
            let takers = self.takers(now, service, servers);
            let gathered = self.has_gathered(service, takers.len(), now);
            if !gathered && !next.services.contains_key(service) {
                continue;
            }
            let heat = self.heat.entry(service.clone()).or_default();
            let plan = plan::ServicePlan {
                takers: &takers,
                heat,
                may_move: settled,
            };
            changed |= plan::plan_service(&mut next, service, &plan);
        }
        if !changed {
            return None;
        }
        self.planned_at = now;
        Some(next)
    }

    // Servers of a service that may take keys: ready ones whose orders do not go unanswered.
    fn takers(
        &self,
        now: clock::MonoTime,
        service: &names::ServiceName,
        servers: &directory::ServerDirectory,
    ) -> Vec<plan::KeyTaker> {
        let ready = servers.servers().filter(|record| {
            record.service == *service
                && record.state == directory::ServerState::Ready
                && !self.is_silent(&record.life, now)
                && !self.ended.contains(&record.life)
        });
        let ready: Vec<_> = ready.collect();
        let time_of = |record: &&sync::Arc<directory::ServerRecord>| {
            self.service_times.get(&record.life.server).copied()
        };
        let usual = median(ready.iter().filter_map(time_of).collect());
        let takers = ready.iter().map(|record| plan::KeyTaker {
            holder: book::KeyHolder {
                life: record.life.clone(),
                address: record.address,
            },
            slots: f64::from(record.slots),
            speed: plan::speed(usual, time_of(record)),
        });
        takers.collect()
    }

    // Whether the servers of a service without ranges have all come, as far as one can tell.
    fn has_gathered(
        &mut self,
        service: &names::ServiceName,
        count: usize,
        now: clock::MonoTime,
    ) -> bool {
        let known = self.gathered.entry(service.clone()).or_insert((count, now));
        if known.0 != count {
            *known = (count, now);
        }
        now >= known.1 + time::Duration::from_millis(FIRST_PLACE_MS)
    }

    // Whether a server gets no keys because its orders went unanswered.
    fn is_silent(&self, life: &book::ServerLife, now: clock::MonoTime) -> bool {
        let silence = self.silences.get(life);
        silence.is_some_and(|silence| now < silence.until)
    }

    // A life has ended where its address answers like a server without keys, and another server
    // has registered with that address.
    fn find_ended(&mut self, servers: &directory::ServerDirectory) {
        let rejected = std::mem::take(&mut self.rejected);
        for (life, address) in rejected {
            let taken = servers
                .servers()
                .any(|record| record.address == address && record.life.server != life.server);
            if taken {
                tracing::info!(event = "server-replaced", server = %life.server, address = %address);
                self.ended.insert(life);
            }
        }
    }

    // Finds servers whose orders go unanswered. Where they are most, the fault is taken to be on
    // this host's side, and the duty goes to another. Those that were silent before say nothing new.
    fn watch_silence(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) {
        let isolation = time::Duration::from_millis(ISOLATION_MS);
        let ours = servers
            .servers()
            .filter(|record| services.contains(&record.service));
        let lives: Vec<_> = ours.map(|record| record.life.clone()).collect();
        let failing = |life: &&book::ServerLife| self.ledger.is_failing(life, isolation, now);
        let failing: Vec<_> = lives.iter().filter(failing).collect();
        let is_new = |life: &&&book::ServerLife| !self.silences.contains_key(**life);
        let newly_silent = failing.iter().filter(is_new).count();
        let of = lives.iter().filter(|life| is_new(&life)).count();
        if newly_silent * 2 > of && lives.len() > 1 {
            tracing::warn!(event = "granter-isolated", silent = newly_silent, of);
            self.run_duty(duty::DutyEvent::Isolated);
            return;
        }
        for life in failing {
            let held = !self.ledger.has_lapsed(life, now);
            if held || self.is_silent(life, now) {
                continue;
            }
            let first = time::Duration::from_millis(SILENCE_MS);
            let longest = time::Duration::from_millis(MAX_SILENCE_MS);
            let span = self
                .silences
                .get(life)
                .map_or(first, |s| (s.span * 2).min(longest));
            tracing::warn!(event = "server-silent", server = %life.server, span_ms = span.as_millis());
            let silence = Silence {
                until: now + span,
                span,
            };
            self.silences.insert(life.clone(), silence);
        }
    }

    // Drops formers from the book once the holder has the keys: hosts then send to it, and a
    // successor need not ask the formers again.
    fn forget_vacated(&self, next: &mut book::GrantBook) -> bool {
        let mut changed = false;
        for (service, ranges) in &mut next.services {
            for range in ranges.iter_mut().filter(|range| !range.formers.is_empty()) {
                let run = self.runs.get(&range_run::range_id(service, range));
                let settled = |run: &range_run::RangeRun| {
                    run.formers.is_empty() && run.state == range_run::RangeState::Held
                };
                if run.is_some_and(settled) {
                    range.formers.clear();
                    changed = true;
                }
            }
        }
        changed
    }

    // Drops former granters whose orders have all arrived: a successor need not ask for them again.
    fn forget_granters(&self, next: &mut book::GrantBook, now: clock::MonoTime) -> bool {
        let doubted: Vec<_> = self.succession.in_doubt(now).cloned().collect();
        let changed = next.former_granters != doubted;
        next.former_granters = doubted;
        changed
    }

    fn raise_refused(&self, next: &mut book::GrantBook) -> bool {
        let mut refused = Vec::new();
        for (service, ranges) in &next.services {
            for (index, range) in ranges.iter().enumerate() {
                let run = self.runs.get(&range_run::range_id(service, range));
                if run.is_some_and(|run| run.state == range_run::RangeState::Refused) {
                    refused.push((service.clone(), index));
                }
            }
        }
        for (service, index) in &refused {
            let fence = next.take_fence();
            if let Some(range) = next
                .services
                .get_mut(service)
                .and_then(|r| r.get_mut(*index))
            {
                range.fence = fence;
            }
        }
        !refused.is_empty()
    }

    // Makes the runs those of the book's ranges, keeping what is known of unchanged ones.
    fn sync_runs(&mut self, now: clock::MonoTime) {
        let mut former = std::mem::take(&mut self.runs);
        for (service, ranges) in &self.book.services {
            for range in ranges {
                let id = range_run::range_id(service, range);
                let kept = former.remove(&id);
                let run = kept.unwrap_or_else(|| range_run::new_run(&self.table, range, now));
                self.runs.insert(id, run);
            }
        }
    }

    fn order_all(
        &mut self,
        now: clock::MonoTime,
        servers: &directory::ServerDirectory,
        actions: &mut Vec<order::GranterAction>,
    ) {
        for (id, run) in &mut self.runs {
            run.formers
                .retain(|former| !self.ended.contains(&former.holder.life));
            range_run::release_formers(id, run, now, &self.ledger, servers, actions);
            if run.state == range_run::RangeState::Vacating && run.formers.is_empty() {
                let step = self
                    .table
                    .step_plain(run.state, range_run::RangeEvent::Vacated);
                run.state = step.map_or(run.state, |step| step.next);
            }
            let due = !run.open && now >= run.next_call;
            let life = &run.holder.life;
            let gone = range_run::is_reborn(life, servers) || self.ended.contains(life);
            let orderable = matches!(
                run.state,
                range_run::RangeState::Ordered | range_run::RangeState::Held
            );
            if due && !gone && orderable {
                run.open = true;
                self.ledger.note_sent(&run.holder.life);
                actions.push(order::GranterAction::Grant(order::GrantOrder {
                    range: id.clone(),
                    life: run.holder.life.clone(),
                    address: run.holder.address,
                    hold: self.hold,
                    handover: run.handover.clone(),
                }));
            }
        }
    }
}

fn median(values: Vec<f64>) -> Option<f64> {
    let mut values = values;
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
