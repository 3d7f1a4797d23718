//! The granter: takes what the log, the servers and the clock say, and returns what to append and
//! which orders to send.

mod orders;
mod plans;
mod unresponsive;

use std::collections;
use std::net;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::arrival;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::former_granters;
use crate::ownership::key_load;
use crate::ownership::order;
use crate::ownership::range_run;
use crate::serving::directory;

/// The longest hold of one order, in milliseconds, where the servers allow as much.
pub const GRANT_HOLD_MS: u64 = 2_400;
/// How long after an append without success the next one is sent, in milliseconds.
pub const APPEND_RETRY_MS: u64 = 250;
/// How long an append may take, in milliseconds.
pub const APPEND_TIMEOUT_MS: u64 = 2_000;
/// What the granter of a host knows.
pub struct KeyGranter {
    own: assignment::GranterIncarnation,
    hold: time::Duration,
    range_chart: chart::ChartTable<range_run::RangeVocabulary>,
    duty: election::GranterElection,
    ledger: arrival::ArrivalLedger,
    former_granters: former_granters::FormerGranters,
    table: assignment::AssignmentTable,
    end: Option<u64>,
    appending: Option<assignment::AssignmentTable>,
    append_retry: clock::MonoTime,
    candidate: bool,
    planned_at: clock::MonoTime,
    runs: collections::BTreeMap<order::RangeId, range_run::RangeRun>,
    silences:
        collections::BTreeMap<assignment::ServerIncarnation, unresponsive::UnresponsiveServer>,
    // Lives at whose address another server answers.
    ended: collections::BTreeSet<assignment::ServerIncarnation>,
    // Lives whose address answers like a server without keys.
    rejected: collections::BTreeMap<assignment::ServerIncarnation, net::SocketAddr>,
    yielded: bool,
    append_sent: clock::MonoTime,
    key_loads: key_load::ServiceLoad,
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
        own: assignment::GranterIncarnation,
        max_hold: time::Duration,
    ) -> Result<Self, chart::ChartError> {
        let hold = max_hold.min(time::Duration::from_millis(GRANT_HOLD_MS));
        let origin = clock::MonoTime::from_micros(0);
        Ok(Self {
            former_granters: former_granters::FormerGranters::new(own.clone()),
            own,
            hold,
            range_chart: chart::ChartTable::new()?,
            duty: election::GranterElection::new()?,
            ledger: arrival::ArrivalLedger::new(hold),
            table: assignment::AssignmentTable::default(),
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
            key_loads: key_load::ServiceLoad::new(),
            service_times: collections::BTreeMap::new(),
            gathered: collections::BTreeMap::new(),
        })
    }

    /// Returns the newest book.
    #[must_use]
    pub const fn table(&self) -> &assignment::AssignmentTable {
        &self.table
    }

    /// Returns where the book's log ends, 0 where that is not known.
    #[must_use]
    pub fn log_end(&self) -> u64 {
        self.end.unwrap_or(0)
    }

    /// Reports whether this host grants.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.duty.state() == election::ElectionState::Granting
    }

    /// Notes whether this host is the one that is to claim the duty.
    pub fn note_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Takes the newest book of the log, which ends at `end`. Reports whether it was news.
    pub fn note_table(
        &mut self,
        newest: Option<assignment::AssignmentTable>,
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
        if newest == self.table {
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
        self.table = newest;
        self.appending = None;
        match self.duty.state() {
            election::ElectionState::Claiming => self.run_duty(election::DutyEvent::AppendConflict),
            election::ElectionState::Granting if foreign => {
                self.run_duty(election::DutyEvent::NewerTermSeen);
            }
            election::ElectionState::Granting | election::ElectionState::Watching => {}
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
    pub fn note_load(&mut self, service: &names::ServiceName, report: &[key_load::KeyLoad]) {
        self.key_loads
            .entry(service.clone())
            .or_default()
            .note(report);
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
                    let former = std::mem::replace(&mut self.table, appended);
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

    fn follow_append(&mut self, former: &assignment::AssignmentTable, now: clock::MonoTime) {
        if self.duty.state() == election::ElectionState::Claiming {
            self.take_foreign(former, now);
            self.run_duty(election::DutyEvent::ClaimAppended);
        }
        self.sync_runs(now);
    }

    // Whoever granted before may go on until its right has ended by its own clock.
    fn take_foreign(&mut self, former: &assignment::AssignmentTable, now: clock::MonoTime) {
        let formers = &self.table.former_granters;
        self.former_granters
            .take_over(self.table.term, formers, now);
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
    pub fn note_host_response(
        &mut self,
        answer: &former_granters::HostResponse,
        now: clock::MonoTime,
    ) {
        if self.is_granting() && self.former_granters.note_host_response(answer, now) {
            tracing::info!(
                event = "former-granter-ended",
                term = self.table.term,
                host = %answer.life.host,
                known_term = answer.term
            );
        }
    }

    /// Returns the former granters to ask, while this host grants.
    #[must_use]
    pub fn former_granters_to_query(
        &self,
        now: clock::MonoTime,
    ) -> Vec<assignment::GranterIncarnation> {
        let asks = self.is_granting();
        let doubted = self.former_granters.possibly_active(now).filter(|_| asks);
        doubted.cloned().collect()
    }

    fn run_duty(&mut self, event: election::DutyEvent) {
        let term = self.table.term;
        for action in self.duty.handle(event) {
            match action {
                election::ElectionAction::AppendClaim => {}
                election::ElectionAction::TakeUp => {
                    tracing::info!(event = "granting-taken-up", term);
                }
                election::ElectionAction::StandDown => {
                    tracing::info!(event = "granting-stood-down", term, cause = ?event);
                    self.runs.clear();
                }
                election::ElectionAction::YieldDuty => self.yielded = true,
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
            .note_foreign_until(self.former_granters.orders_until());
        if self.is_granting() && !self.duty.has_right(now) {
            self.run_duty(election::DutyEvent::RightEnded);
        }
        if self.is_granting() {
            self.find_ended(servers);
            self.watch_silence(now, services, servers);
        }
        if std::mem::take(&mut self.yielded) {
            actions.push(order::GranterAction::Yield);
        }
        if let (Some(table), Some(at)) = (&self.appending, self.end) {
            if now >= self.append_retry {
                self.append_retry = now + time::Duration::from_millis(APPEND_TIMEOUT_MS);
                self.append_sent = now;
                actions.push(order::GranterAction::Append {
                    table: table.clone(),
                    at,
                });
            }
        } else if let Some(at) = self.end {
            let next = self.next_book(now, services, servers);
            if let Some(next) = next {
                self.appending = Some(next.clone());
                self.append_retry = now + time::Duration::from_millis(APPEND_TIMEOUT_MS);
                self.append_sent = now;
                actions.push(order::GranterAction::Append { table: next, at });
            }
        }
        if self.duty.has_right(now) {
            self.order_all(now, servers, &mut actions);
        }
        actions
    }
}
