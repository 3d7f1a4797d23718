//! The failure domains that operators have evacuated, by the chart `evacuation`: which they are, until when
//! keyed requests still go to the holders there, and when each server may be assigned keys again.
//!
//! The statement with the highest position in the operators' topic decides. A store that came back from an
//! older copy may have lost a request: no removal was stated, so the request stays in force. It may also have
//! lost a removal: then its copy holds the request again, which is in force until it is removed again. Keeping
//! the removal would let requests through that the store says must not be sent, and hosts that start later
//! could not know of it.

use std::collections;
use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::chart;
use crate::clock;
use crate::names;
use crate::serving::topic;

/// The default of the time within which the last request must have reached an evacuated domain, in
/// milliseconds.
pub const DEFAULT_EVACUATE_MS: u64 = 5_000;
/// For how long after a host learned of an evacuation it sends keyed requests to their holders, as a fraction
/// of the bound. The rest is for the time in which the record reaches the host, and for requests on their way.
pub const KEYED_FRACTION: f64 = 0.4;
/// The same, counted from when the host last knew that there was no such record. A host that reads the record
/// late sends fewer keyed requests, or none.
pub const LATEST_FRACTION: f64 = 0.9;
/// How long the servers of a domain take to be assigned keys again, as a multiple of the bound.
pub const RETURN_FACTOR: f64 = 2.0;
/// The number of domains from which those that are not evacuated are forgotten.
pub const MAX_DOMAINS: usize = 256;

crate::chart_words!(
    /// The states of a failure domain.
    EvacuationPhase {
        Serving = "serving",
        Evacuated = "evacuated",
        Returning = "returning",
    }
);
crate::chart_words!(
    /// The events of a failure domain.
    EvacuationEvent {
        Requested = "requested",
        Removed = "removed",
        /// Its servers may be assigned keys without restriction.
        Returned = "returned",
    }
);
crate::chart_words!(
    /// The actions on a transition.
    EvacuationAction {
        /// Send nothing more to its servers.
        Evacuate = "evacuate",
        /// Use its servers again.
        TakeBack = "take-back",
        /// Count a request that was in force already.
        CountDuplicate = "count-duplicate",
        /// Count a removal without a request.
        CountUnmatched = "count-unmatched",
    }
);

/// The words of the chart `evacuation`.
#[derive(Debug)]
pub struct EvacuationVocabulary;

impl chart::ChartVocabulary for EvacuationVocabulary {
    type State = EvacuationPhase;
    type Event = EvacuationEvent;
    type Guard = chart::NoGuard;
    type Action = EvacuationAction;
    const SOURCE: &'static str = include_str!("../../charts/evacuation.toml");
}

/// An operator's record about a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The domain.
    pub domain: names::DomainName,
    /// Whether the record requests the evacuation; it removes the request otherwise.
    pub is_requested: bool,
}

/// What the newest known record says of a failure domain, as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationStatement {
    /// The domain.
    pub domain: names::DomainName,
    /// Whether the evacuation is requested.
    pub is_requested: bool,
    /// The position of the record in the operators' topic.
    pub position: topic::LogPosition,
}

/// Why a record has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredCause {
    /// The evacuation was requested before.
    Duplicate,
    /// There is no request to remove.
    NotRequested,
    /// No server or host names the domain.
    UnknownDomain,
}

impl IgnoredCause {
    /// Returns the cause's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Duplicate => "duplicate",
            Self::NotRequested => "not-requested",
            Self::UnknownDomain => "unknown-domain",
        }
    }
}

/// What has changed for a failure domain, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationNotice {
    /// Nothing more is sent to its servers, after the time given for keyed requests.
    Evacuated(names::DomainName, time::Duration),
    /// Its servers are used again.
    TakenBack(names::DomainName),
    /// A record was ignored.
    Ignored(names::DomainName, IgnoredCause),
}

/// The evacuated failure domains, and those that return, as the traffic threads and the granter use them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    // Until when keyed requests go to the holders.
    evacuated: collections::BTreeMap<names::DomainName, clock::MonoTime>,
    // Since when the request has been removed.
    returning: collections::BTreeMap<names::DomainName, clock::MonoTime>,
    bound: time::Duration,
}

impl EvacuatedDomains {
    /// Creates the set of no domains. `bound` is the time within which the last request must have reached
    /// an evacuated domain.
    #[must_use]
    pub const fn new(bound: time::Duration) -> Self {
        Self {
            evacuated: collections::BTreeMap::new(),
            returning: collections::BTreeMap::new(),
            bound,
        }
    }

    /// Adds an evacuated domain, to whose servers keyed requests go until `until`.
    #[must_use]
    pub fn with_evacuated(mut self, domain: names::DomainName, until: clock::MonoTime) -> Self {
        self.evacuated.insert(domain, until);
        self
    }

    /// Adds a domain whose evacuation ended at `since`.
    #[must_use]
    pub fn with_returning(mut self, domain: names::DomainName, since: clock::MonoTime) -> Self {
        self.returning.insert(domain, since);
        self
    }

    /// Reports whether no domain is evacuated or returns.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returning.is_empty()
    }

    /// Returns the time within which the last request must have reached an evacuated domain.
    #[must_use]
    pub const fn bound(&self) -> time::Duration {
        self.bound
    }

    /// Returns the evacuated domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &names::DomainName> {
        self.evacuated.keys()
    }

    /// Reports whether a domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &names::DomainName) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Returns until when keyed requests go to the holders in a domain; `None` where it is not evacuated.
    #[must_use]
    pub fn keyed_until(&self, domain: &names::DomainName) -> Option<clock::MonoTime> {
        self.evacuated.get(domain).copied()
    }

    /// Reports whether a server of a domain that returns is not assigned keys yet at `now`. The servers of a
    /// domain follow each other in the order of a hash of their names.
    #[must_use]
    pub fn is_withheld(
        &self,
        domain: &names::DomainName,
        server: &names::ServerName,
        now: clock::MonoTime,
    ) -> bool {
        let Some(since) = self.returning.get(domain) else {
            return false;
        };
        let place = xxh3::xxh3_64(server.as_str().as_bytes()) >> 32;
        #[expect(clippy::cast_precision_loss, reason = "below 2^32")]
        let place = place as f64 / f64::from(u32::MAX);
        now < *since + return_time(self.bound).mul_f64(place)
    }
}

fn return_time(bound: time::Duration) -> time::Duration {
    bound.mul_f64(RETURN_FACTOR)
}

#[derive(Clone, Copy, Debug)]
struct DomainState {
    phase: EvacuationPhase,
    // The position of the newest record.
    position: topic::LogPosition,
    // Until when keyed requests go to the holders while the domain is evacuated.
    keyed_until: clock::MonoTime,
    // Since when the domain has been in its phase.
    since: clock::MonoTime,
    // Whether a server or host has named the domain, or it has been noted that none does.
    is_checked: bool,
}

/// What one host knows of evacuations.
pub struct EvacuationState {
    table: chart::ChartTable<EvacuationVocabulary>,
    domains: collections::BTreeMap<names::DomainName, DomainState>,
    shared: sync::Arc<EvacuatedDomains>,
    // Whether this host's copy of the operators' topic is complete, and when it was last known to lack nothing.
    is_read: bool,
    current_at: Option<clock::MonoTime>,
    notices: Vec<EvacuationNotice>,
}

impl EvacuationState {
    /// Creates the state of a host that knows of no evacuation.
    ///
    /// # Errors
    /// Fails when the chart `evacuation` is invalid.
    pub fn new() -> Result<Self, chart::ChartError> {
        let bound = time::Duration::from_millis(DEFAULT_EVACUATE_MS);
        Ok(Self {
            table: chart::ChartTable::new()?,
            domains: collections::BTreeMap::new(),
            shared: sync::Arc::new(EvacuatedDomains::new(bound)),
            is_read: false,
            current_at: None,
            notices: Vec::new(),
        })
    }

    /// Sets the time within which the last request must have reached an evacuated domain.
    pub fn set_bound(&mut self, bound: time::Duration) {
        self.shared = sync::Arc::new(EvacuatedDomains::new(bound));
        self.share();
    }

    /// Returns the domains that are evacuated or return.
    #[must_use]
    pub const fn domains(&self) -> &sync::Arc<EvacuatedDomains> {
        &self.shared
    }

    /// Records that all records of this host's copy of the operators' topic have been applied, once it has
    /// all of them.
    pub const fn note_read(&mut self) {
        self.is_read = true;
    }

    /// Records that this host's copy of the operators' topic lacked nothing at `at`. Before it has been read,
    /// that tells nothing of the records in it.
    pub fn note_current(&mut self, at: clock::MonoTime) {
        if self.is_read {
            self.current_at = self.current_at.max(Some(at));
        }
    }

    /// Applies a record of this host's copy, which stands at `position`.
    pub fn note_record(
        &mut self,
        record: EvacuationRecord,
        position: topic::LogPosition,
        now: clock::MonoTime,
    ) {
        let EvacuationRecord {
            domain,
            is_requested,
        } = record;
        let statement = EvacuationStatement {
            domain,
            is_requested,
            position,
        };
        self.apply(statement, true, now);
    }

    /// Applies another host's statements. Those that the store has lost are known in no other way to a host
    /// that starts after that.
    pub fn note_statements(&mut self, statements: Vec<EvacuationStatement>, now: clock::MonoTime) {
        for statement in statements {
            self.apply(statement, false, now);
        }
    }

    /// Returns what is known of all domains, for another host.
    #[must_use]
    pub fn statements(&self) -> Vec<EvacuationStatement> {
        let domains = self.domains.iter();
        let statements = domains.map(|(domain, state)| EvacuationStatement {
            domain: domain.clone(),
            is_requested: state.phase == EvacuationPhase::Evacuated,
            position: state.position,
        });
        statements.collect()
    }

    /// Notes which newly evacuated domains no server or host names. Called once all of those are known. The
    /// request stays: it takes effect where such a server registers later.
    pub fn check_names(&mut self, is_named: impl Fn(&names::DomainName) -> bool) {
        for (domain, state) in &mut self.domains {
            let is_due = state.phase == EvacuationPhase::Evacuated && !state.is_checked;
            if is_due && !is_named(domain) {
                let cause = IgnoredCause::UnknownDomain;
                let notice = EvacuationNotice::Ignored(domain.clone(), cause);
                self.notices.push(notice);
            }
            state.is_checked |= is_due;
        }
    }

    /// Ends the return of domains whose servers have all been admitted.
    pub fn expire(&mut self, now: clock::MonoTime) {
        let span = return_time(self.shared.bound);
        let domains = self.domains.iter();
        let ended = domains.filter(|(_, state)| {
            state.phase == EvacuationPhase::Returning && now >= state.since + span
        });
        let ended: Vec<_> = ended.map(|(domain, _)| domain.clone()).collect();
        for domain in &ended {
            self.step(domain, EvacuationEvent::Returned, now);
        }
        if !ended.is_empty() {
            self.share();
        }
    }

    /// Returns what has changed since the last call.
    pub fn take_notices(&mut self) -> Vec<EvacuationNotice> {
        std::mem::take(&mut self.notices)
    }

    fn apply(&mut self, statement: EvacuationStatement, is_own: bool, now: clock::MonoTime) {
        let EvacuationStatement {
            domain,
            is_requested,
            position,
        } = statement;
        let known = self.domains.get(&domain);
        if known.is_some_and(|known| position <= known.position) {
            return;
        }
        let initial = self.table.initial();
        let state = self.domains.entry(domain.clone());
        let state = state.or_insert(DomainState {
            phase: initial,
            position,
            keyed_until: now,
            since: now,
            is_checked: false,
        });
        state.position = position;
        let event = if is_requested {
            EvacuationEvent::Requested
        } else {
            EvacuationEvent::Removed
        };
        for action in self.step(&domain, event, now) {
            self.act(&domain, action, is_own, now);
        }
        self.forget_beyond();
        self.share();
    }

    fn step(
        &mut self,
        domain: &names::DomainName,
        event: EvacuationEvent,
        now: clock::MonoTime,
    ) -> Vec<EvacuationAction> {
        let Some(state) = self.domains.get_mut(domain) else {
            return Vec::new();
        };
        let Some(step) = self.table.step_unguarded(state.phase, event) else {
            return Vec::new();
        };
        if state.phase != step.next {
            state.phase = step.next;
            state.since = now;
        }
        step.actions.to_vec()
    }

    fn act(
        &mut self,
        domain: &names::DomainName,
        action: EvacuationAction,
        is_own: bool,
        now: clock::MonoTime,
    ) {
        let domain = domain.clone();
        let notice = match action {
            EvacuationAction::Evacuate => {
                let until = self.keyed_until(now);
                if let Some(state) = self.domains.get_mut(&domain) {
                    state.keyed_until = until;
                    state.is_checked = false;
                }
                EvacuationNotice::Evacuated(domain, until.since(now))
            }
            EvacuationAction::TakeBack => EvacuationNotice::TakenBack(domain),
            EvacuationAction::CountDuplicate => {
                EvacuationNotice::Ignored(domain, IgnoredCause::Duplicate)
            }
            EvacuationAction::CountUnmatched => {
                EvacuationNotice::Ignored(domain, IgnoredCause::NotRequested)
            }
        };
        // What another host repeats is not a record of its own.
        let is_ignored = matches!(notice, EvacuationNotice::Ignored(..));
        if is_own || !is_ignored {
            self.notices.push(notice);
        }
    }

    // Until when keyed requests go to the holders in a domain whose evacuation is learned at `now`. The
    // request may be as old as this host's last knowledge that there was none; a host that has just started
    // has no such knowledge.
    fn keyed_until(&self, now: clock::MonoTime) -> clock::MonoTime {
        let bound = self.shared.bound;
        let Some(current_at) = self.current_at else {
            return now;
        };
        let usual = now + bound.mul_f64(KEYED_FRACTION);
        let latest = current_at + bound.mul_f64(LATEST_FRACTION);
        usual.min(latest).max(now)
    }

    // Forgets the oldest statements about domains that are not evacuated, so that mistyped names do not add up.
    fn forget_beyond(&mut self) {
        while self.domains.len() > MAX_DOMAINS {
            let domains = self.domains.iter();
            let serving = domains.filter(|(_, state)| state.phase == EvacuationPhase::Serving);
            let oldest = serving.min_by_key(|(_, state)| state.position);
            let Some(domain) = oldest.map(|(domain, _)| domain.clone()) else {
                return;
            };
            self.domains.remove(&domain);
        }
    }

    fn share(&mut self) {
        let mut shared = EvacuatedDomains::new(self.shared.bound);
        for (domain, state) in &self.domains {
            shared = match state.phase {
                EvacuationPhase::Serving => shared,
                EvacuationPhase::Evacuated => {
                    shared.with_evacuated(domain.clone(), state.keyed_until)
                }
                EvacuationPhase::Returning => shared.with_returning(domain.clone(), state.since),
            };
        }
        if *self.shared != shared {
            self.shared = sync::Arc::new(shared);
        }
    }
}
