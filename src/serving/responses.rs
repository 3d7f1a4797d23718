//! How other hosts respond, by the chart `responses`: notices a host that is dark, frozen or slow before a
//! call to it times out, and one that has yet to get the records that it should supply.

use std::collections;
use std::time;

use crate::chart;
use crate::clock;
use crate::names;
use crate::serving::topic;

/// The time from which a response is overdue where the host has responded at once so far, in
/// milliseconds.
pub const OVERDUE_MS: u64 = 300;
/// For how long a response tells that its host responds, in milliseconds.
pub const RECENT_MS: u64 = 1_000;
/// How many times as long as the last one a response may take before it is overdue.
pub const OVERDUE_FACTOR: u32 = 2;

crate::chart_words!(
    /// The states of a host.
    ResponseState {
        Responsive = "responsive",
        Asked = "asked",
        Overdue = "overdue",
        Impaired = "impaired",
        Probed = "probed",
    }
);
crate::chart_words!(
    /// The events of a host.
    ResponseEvent {
        Asked = "asked",
        Answered = "answered",
        /// It answered, and lacks records that this host had when it asked.
        Lacking = "lacking",
        Overdue = "overdue",
        Failed = "failed",
    }
);
crate::chart_words!(
    /// The actions on a transition.
    ResponseAction {
        /// Get no records from the host.
        PassOver = "pass-over",
        /// Get records from it again.
        TakeBack = "take-back",
    }
);

/// The words of the chart `responses`.
#[derive(Debug)]
pub struct ResponseVocabulary;

impl chart::ChartVocabulary for ResponseVocabulary {
    type State = ResponseState;
    type Event = ResponseEvent;
    type Guard = chart::NoGuard;
    type Action = ResponseAction;
    const SOURCE: &'static str = include_str!("../../charts/responses.toml");
}

#[derive(Clone, Copy, Debug)]
struct HostResponses {
    state: ResponseState,
    asked_at: clock::MonoTime,
    // What this host had when it asked.
    ends: topic::TopicEnds,
    last_time: time::Duration,
    // When it responded last, unless that is too long ago to tell whether it still does.
    answered_at: Option<clock::MonoTime>,
}

impl HostResponses {
    const fn is_awaited(&self) -> bool {
        matches!(self.state, ResponseState::Asked | ResponseState::Probed)
    }

    fn is_overdue(&self, now: clock::MonoTime) -> bool {
        let shortest = time::Duration::from_millis(OVERDUE_MS);
        let limit = shortest.max(self.last_time * OVERDUE_FACTOR);
        self.is_awaited() && now.since(self.asked_at) >= limit
    }
}

/// How other hosts have responded to the status updates of this one.
pub struct ResponseTracker {
    table: chart::ChartTable<ResponseVocabulary>,
    hosts: collections::BTreeMap<names::HostName, HostResponses>,
}

impl ResponseTracker {
    /// Creates a tracker of no hosts.
    ///
    /// # Errors
    /// Fails when the chart `responses` is invalid.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            table: chart::ChartTable::new()?,
            hosts: collections::BTreeMap::new(),
        })
    }

    /// Records that a host is asked. `ends` are the positions at which this host's copies end.
    pub fn note_asked(
        &mut self,
        host: &names::HostName,
        ends: topic::TopicEnds,
        now: clock::MonoTime,
    ) {
        let initial = self.table.initial();
        let known = self.hosts.entry(host.clone());
        let responses = known.or_insert_with(|| HostResponses {
            state: initial,
            asked_at: now,
            ends,
            last_time: time::Duration::ZERO,
            answered_at: None,
        });
        if !responses.is_awaited() {
            responses.asked_at = now;
            responses.ends = ends;
        }
        self.step(host, ResponseEvent::Asked);
    }

    /// Records a host's response. `ends` are the positions at which its copies end.
    pub fn note_answered(
        &mut self,
        host: &names::HostName,
        ends: &topic::TopicEnds,
        now: clock::MonoTime,
    ) {
        let Some(responses) = self.hosts.get_mut(host) else {
            return;
        };
        responses.last_time = now.since(responses.asked_at);
        responses.answered_at = Some(now);
        let event = if responses.ends.exceeds_for_serving(ends) {
            ResponseEvent::Lacking
        } else {
            ResponseEvent::Answered
        };
        self.step(host, event);
    }

    /// Records that a call to a host failed.
    pub fn note_failed(&mut self, host: &names::HostName) {
        self.step(host, ResponseEvent::Failed);
    }

    /// Passes over the hosts whose responses are overdue at `now`.
    pub fn check(&mut self, now: clock::MonoTime) {
        let recent = time::Duration::from_millis(RECENT_MS);
        for responses in self.hosts.values_mut() {
            let answered = responses.answered_at;
            responses.answered_at = answered.filter(|at| now.since(*at) < recent);
        }
        let hosts = self.hosts.iter();
        let overdue = hosts.filter(|(_, responses)| responses.is_overdue(now));
        let overdue: Vec<_> = overdue.map(|(host, _)| host.clone()).collect();
        for host in overdue {
            self.step(&host, ResponseEvent::Overdue);
        }
    }

    /// Forgets a host that has left.
    pub fn remove(&mut self, host: &names::HostName) {
        self.hosts.remove(host);
    }

    /// Reports whether a host is passed over.
    #[must_use]
    pub fn is_passed_over(&self, host: &names::HostName) -> bool {
        let state = self.hosts.get(host).map(|responses| responses.state);
        matches!(
            state,
            Some(ResponseState::Overdue | ResponseState::Impaired | ResponseState::Probed)
        )
    }

    /// Reports whether a host has responded of late, and is not passed over.
    #[must_use]
    pub fn is_responsive(&self, host: &names::HostName) -> bool {
        let responses = self.hosts.get(host);
        responses
            .is_some_and(|responses| responses.answered_at.is_some() && !self.is_passed_over(host))
    }

    fn step(&mut self, host: &names::HostName, event: ResponseEvent) {
        let Some(responses) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(step) = self.table.step_unguarded(responses.state, event) else {
            return;
        };
        responses.state = step.next;
        for action in &step.actions {
            match action {
                ResponseAction::PassOver => {
                    tracing::info!(event = "host-passed-over", host = %host, cause = ?event);
                }
                ResponseAction::TakeBack => {
                    tracing::info!(event = "host-taken-back", host = %host);
                }
            }
        }
    }
}
