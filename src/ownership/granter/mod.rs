//! The granter: handles events of the log, the servers and the clock, and returns the appends and
//! orders to send.

pub mod appends;
pub mod confirmation;
pub mod era;
mod evacuations;
mod orders;
mod plans;
mod unresponsive;

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::evacuation as departure;
use crate::ownership::fencing;
use crate::ownership::former_granters;
use crate::ownership::hold_expiry;
use crate::ownership::key_load;
use crate::ownership::lost_grants;
use crate::ownership::order;
use crate::ownership::tracked_range;
use crate::serving::demand;
use crate::serving::directory;
use crate::serving::estimate;
use crate::serving::evacuation;
use crate::serving::topic;

/// Upper bound of the hold that an order grants, in milliseconds. The servers' own limit may be
/// lower.
pub const GRANT_HOLD_MS: u64 = 2_400;

/// The state of the granter at one host. It sends orders only while the host has the granter role.
pub struct KeyGranter {
    own: assignment::GranterIncarnation,
    hold: time::Duration,
    range_chart: chart::ChartTable<tracked_range::RangeVocabulary>,
    election: election::GranterElection,
    hold_expiry: hold_expiry::HoldExpiry,
    fencing: fencing::ServerFencing,
    former_granters: former_granters::FormerGranters,
    table: assignment::AssignmentTable,
    end: Option<topic::LogPosition>,
    era: era::EraState,
    lost_grants: lost_grants::LostGrants,
    possible_granters: Vec<assignment::GranterIncarnation>,
    newest_elsewhere: Option<assignment::KnownTable>,
    granted: assignment::TableVersion,
    overtaken: Option<assignment::OvertakenTable>,
    started: Option<clock::MonoTime>,
    appending: Option<appends::PendingAppend>,
    append_number: u64,
    append_retry: clock::MonoTime,
    confirmation: confirmation::RoleConfirmation,
    candidate: bool,
    planned_at: clock::MonoTime,
    tracked_ranges: collections::BTreeMap<order::RangeId, tracked_range::TrackedRange>,
    unresponsive:
        collections::BTreeMap<assignment::ServerIncarnation, unresponsive::UnresponsiveServer>,
    // Incarnations at whose address a different server responds.
    ended: collections::BTreeSet<assignment::ServerIncarnation>,
    // Incarnations whose address responds like a server of an unsharded service.
    rejected: collections::BTreeMap<assignment::ServerIncarnation, net::SocketAddr>,
    yielded: bool,
    // When this host last yielded the role.
    yielded_at: Option<clock::MonoTime>,
    // When the pending append was sent first.
    append_sent: clock::MonoTime,
    key_loads: key_load::ServiceLoad,
    service_times: collections::BTreeMap<names::ServerName, f64>,
    // For each service without ranges, the number of its servers and since when it is unchanged.
    server_counts: collections::BTreeMap<names::ServiceName, (usize, clock::MonoTime)>,
    evacuated: sync::Arc<evacuation::EvacuatedDomains>,
    departures: departure::DeparturePacing,
}

impl KeyGranter {
    /// Creates the granter of a host that has not read the log yet. `max_hold` is the longest hold
    /// that the servers accept.
    ///
    /// # Errors
    /// Fails when a chart is invalid.
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
            election: election::GranterElection::new()?,
            hold_expiry: hold_expiry::HoldExpiry::new(hold),
            fencing: fencing::ServerFencing::new()?,
            table: assignment::AssignmentTable::default(),
            end: None,
            era: era::EraState::default(),
            lost_grants: lost_grants::LostGrants::default(),
            possible_granters: Vec::new(),
            newest_elsewhere: None,
            granted: assignment::TableVersion::default(),
            overtaken: None,
            started: None,
            appending: None,
            append_number: 0,
            append_retry: origin,
            confirmation: confirmation::RoleConfirmation::new(),
            candidate: false,
            planned_at: origin,
            tracked_ranges: collections::BTreeMap::new(),
            unresponsive: collections::BTreeMap::new(),
            ended: collections::BTreeSet::new(),
            rejected: collections::BTreeMap::new(),
            yielded: false,
            yielded_at: None,
            append_sent: origin,
            key_loads: key_load::ServiceLoad::new(),
            service_times: collections::BTreeMap::new(),
            server_counts: collections::BTreeMap::new(),
            evacuated: sync::Arc::default(),
            departures: departure::DeparturePacing::new(),
        })
    }

    /// Returns the newest assignment table.
    #[must_use]
    pub const fn table(&self) -> &assignment::AssignmentTable {
        &self.table
    }

    /// Returns where the log ends, the default where that is not known.
    #[must_use]
    pub fn log_end(&self) -> topic::LogPosition {
        self.end.unwrap_or_default()
    }

    /// Reports whether this host has the granter role.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        matches!(
            self.election.state(),
            election::ElectionState::Granting | election::ElectionState::Reclaiming
        )
    }

    /// Sets whether this host is the one that should claim the granter role.
    pub fn note_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Handles the answer of a call, sent at `sent`, that joined the group of hosts that may grant:
    /// whether this host is the one that should claim the granter role. A call from before this host
    /// yielded the role makes it no candidate.
    pub fn note_joined(&mut self, candidate: bool, sent: clock::MonoTime) {
        let is_current = self.yielded_at.is_none_or(|yielded| sent > yielded);
        self.candidate = candidate && is_current;
    }

    /// Handles the newest assignment table of the log, which ends at `end`. Reports whether the
    /// table changed.
    pub fn note_table(
        &mut self,
        newest: Option<assignment::AssignmentTable>,
        end: topic::LogPosition,
        now: clock::MonoTime,
    ) -> bool {
        self.note_era(end.era, now);
        if self.end.is_some_and(|known| end <= known) {
            return false;
        }
        self.end = Some(end);
        let Some(newest) = newest else {
            self.note_no_table(end);
            return false;
        };
        let newest = era::with_first_era(newest, end.era);
        if newest == self.table {
            return false;
        }
        let pending = self.appending.as_ref();
        if let Some(number) = pending.filter(|p| p.table == newest).map(|p| p.number) {
            // The append succeeded; its own response is late or lost.
            let outcome = order::AppendOutcome::Appended {
                era: end.era,
                end: end.offset,
            };
            self.note_appended(number, outcome, self.append_sent, now);
            return true;
        }
        if !self.is_newer(&newest) {
            self.note_foreign_records(end);
            return false;
        }
        self.take_table(newest);
        true
    }

    // Takes a table that another granter appended, or an earlier process of this host.
    fn take_table(&mut self, newest: assignment::AssignmentTable) {
        let from_another = newest.granter.as_ref() != Some(&self.own);
        self.note_overtaken_by(&newest);
        self.table = newest;
        self.appending = None;
        match self.election.state() {
            election::ElectionState::Claiming => {
                self.apply_election_event(election::ElectionEvent::AppendConflict);
            }
            election::ElectionState::Granting | election::ElectionState::Reclaiming
                if from_another =>
            {
                self.apply_election_event(election::ElectionEvent::NewerTermSeen);
            }
            _ => {}
        }
    }

    /// Records that this host's own read of the log, sent at `sent`, ended at `end`. Only a read tells
    /// a host that does not grant that it has followed the log: a table that another host sent may be of
    /// any age.
    pub fn note_read(&mut self, end: topic::LogPosition, sent: clock::MonoTime) {
        let is_watching = self.election.state() == election::ElectionState::Watching;
        if is_watching && self.end == Some(end) {
            self.note_confirmed(sent);
        }
    }

    /// Records that the log held nothing newer at `at`, the time of the read request. What the store
    /// holds in a new era says nothing before a table of that era is in the log.
    pub fn note_confirmed(&mut self, at: clock::MonoTime) {
        if self.is_in_force() {
            self.era.has_followed = true;
            self.election.confirm(at);
        }
    }

    /// Adds the service times that all hosts measured in a reporting interval.
    pub fn note_service_times(&mut self, times: &[demand::ServiceTime]) {
        for time in times.iter().filter(|time| time.requests > 0) {
            let mean = time.total_ms / f64::from(time.requests);
            let requests = i32::try_from(time.requests).unwrap_or(i32::MAX);
            let weight = 1.0 - (1.0 - estimate::SERVICE_TIME_WEIGHT).powi(requests);
            let known = self.service_times.entry(time.server.clone());
            let known = known.or_insert(mean);
            *known += (mean - *known) * weight;
        }
    }

    /// Adds a report of the load of a service's keys.
    pub fn note_load(&mut self, service: &names::ServiceName, report: &[key_load::KeyLoad]) {
        self.key_loads
            .entry(service.clone())
            .or_default()
            .note(report);
    }

    /// Handles another host's response, which may prove that a former granter has stopped.
    pub fn note_host_response(
        &mut self,
        answer: &former_granters::HostResponse,
        now: clock::MonoTime,
    ) {
        if !self.is_granting() {
            return;
        }
        self.lost_grants.note_host_response(answer, now);
        if self.former_granters.note_host_response(answer, now) {
            tracing::info!(
                event = "former-granter-ended",
                term = self.table.term,
                host = %answer.life.host,
                known_term = answer.term
            );
        }
    }

    /// Returns the former granters to send status requests to; none while this host does not grant.
    #[must_use]
    pub fn former_granters_to_query(
        &self,
        now: clock::MonoTime,
    ) -> Vec<assignment::GranterIncarnation> {
        if !self.is_granting() {
            return Vec::new();
        }
        let active = self.former_granters.possibly_active(now);
        let mut queried: Vec<_> = active.cloned().collect();
        for life in self.lost_grants.hosts_to_query() {
            if queried.iter().all(|known| known.host != life.host) {
                queried.push(life.clone());
            }
        }
        queried
    }

    fn apply_election_event(&mut self, event: election::ElectionEvent) {
        let term = self.table.term;
        for action in self.election.handle(event) {
            match action {
                election::ElectionAction::AppendClaim => {}
                election::ElectionAction::TakeUp => {
                    tracing::info!(event = "granting-taken-up", term);
                }
                election::ElectionAction::StandDown => {
                    tracing::info!(event = "granting-stood-down", term, cause = ?event);
                    self.tracked_ranges.clear();
                }
                election::ElectionAction::YieldDuty => {
                    self.yielded = true;
                    self.candidate = false;
                }
            }
        }
    }

    /// Returns the actions that are due at `now`, for the sharded services and the servers given.
    pub fn tick(
        &mut self,
        now: clock::MonoTime,
        services: &[names::ServiceName],
        servers: &directory::ServerDirectory,
    ) -> Vec<order::GranterAction> {
        let mut actions = Vec::new();
        self.started.get_or_insert(now);
        self.hold_expiry
            .note_former_orders_until(self.former_granters.orders_until());
        if self.is_granting() && !self.election.may_order(now) {
            self.apply_election_event(election::ElectionEvent::RightEnded);
        }
        if self.is_granting() {
            self.detect_replaced(servers);
            self.detect_unresponsive(now, services, servers);
        }
        if std::mem::take(&mut self.yielded) {
            self.yielded_at = Some(now);
            actions.push(order::GranterAction::Yield);
        }
        let end = self.present_end();
        if let (Some(pending), Some(at)) = (&self.appending, end) {
            if now >= self.append_retry {
                self.append_retry = now + time::Duration::from_millis(appends::APPEND_TIMEOUT_MS);
                actions.push(order::GranterAction::Append {
                    number: pending.number,
                    table: pending.table.clone(),
                    at,
                });
            }
        } else if let Some(at) = end {
            let next = self.next_table(now, services, servers);
            if let Some(next) = next {
                self.append_number += 1;
                let number = self.append_number;
                self.appending = Some(appends::PendingAppend {
                    number,
                    table: next.clone(),
                });
                self.append_retry = now + time::Duration::from_millis(appends::APPEND_TIMEOUT_MS);
                self.append_sent = now;
                let table = next;
                actions.push(order::GranterAction::Append { number, table, at });
            }
        }
        if self.election.may_order(now) {
            self.push_due_orders(now, servers, &mut actions);
            self.push_due_fences(now, servers, &mut actions);
            if self.is_in_force() && self.confirmation.begin(self.election.confirmed(), now) {
                actions.push(order::GranterAction::Confirm);
            }
        }
        actions
    }
}
