//! The life cycle of one request, from its arrival to its response, driven by the chart `request`.

use std::sync;

use crate::chart;
use crate::outcome;

/// The most retries of one request.
pub const MAX_RETRIES: u32 = 3;

crate::chart_words!(
    /// The states of a request.
    RequestState {
        Arrived = "arrived",
        PassedOn = "passed-on",
        Queued = "queued",
        Sent = "sent",
        Answered = "answered",
        Abandoned = "abandoned",
    }
);
crate::chart_words!(
    /// The events of a request.
    RequestEvent {
        GateHere = "gate-here",
        GateElsewhere = "gate-elsewhere",
        Permitted = "permitted",
        QueueRefused = "queue-refused",
        AnsweredWhole = "answered-whole",
        ConnectFailed = "connect-failed",
        RefusedNotRun = "refused-not-run",
        ExchangeBroken = "exchange-broken",
        DeadlinePassed = "deadline-passed",
        CallerLeft = "caller-left",
    }
);
crate::chart_words!(
    /// The guards of a request.
    RequestGuard {
        FeatureRetired = "feature-retired",
        NoTimeLeft = "no-time-left",
        MayRepeatUnsent = "may-repeat-unsent",
        MayRepeatUnknown = "may-repeat-unknown",
    }
);
crate::chart_words!(
    /// The actions of a request.
    RequestAction {
        PassOn = "pass-on",
        Enqueue = "enqueue",
        SendToOwner = "send-to-owner",
        EnqueueAgain = "enqueue-again",
        ReleasePermit = "release-permit",
        LeaveQueue = "leave-queue",
        CancelExchange = "cancel-exchange",
        AnswerPassed = "answer-passed",
        AnswerRan = "answer-ran",
        AnswerRetired = "answer-retired",
        AnswerOverloaded = "answer-overloaded",
        AnswerUnreachable = "answer-unreachable",
        AnswerRefused = "answer-refused",
        AnswerUnknown = "answer-unknown",
        AnswerDeadlineNotRun = "answer-deadline-not-run",
        AnswerDeadlineUnknown = "answer-deadline-unknown",
    }
);

/// The words of the chart `request`.
#[derive(Debug)]
pub struct RequestVocabulary;

impl chart::ChartVocabulary for RequestVocabulary {
    type State = RequestState;
    type Event = RequestEvent;
    type Guard = RequestGuard;
    type Action = RequestAction;
    const SOURCE: &'static str = include_str!("../charts/request.toml");
}

/// The conditions that the chart's guards test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the request's feature is not served now: retired, unknown or held.
    pub feature_retired: bool,
    /// Whether the deadline has passed.
    pub no_time_left: bool,
}

/// When a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryRule {
    /// Never: its body was streamed and cannot be sent a second time.
    Never,
    /// Only if it is certain that no part of it ran.
    IfUnsent,
    /// Even if it may have run: it is idempotent.
    EvenIfRun,
}

/// One request's state in the chart, and what decides whether it may be retried.
pub struct RequestFlow {
    table: sync::Arc<chart::ChartTable<RequestVocabulary>>,
    state: RequestState,
    retry_rule: RetryRule,
    retries: u32,
    may_have_run: bool,
    answered_by_gate: bool,
}

impl RequestFlow {
    /// Creates the state of a request that has just arrived.
    #[must_use]
    pub fn new(table: sync::Arc<chart::ChartTable<RequestVocabulary>>, idempotent: bool) -> Self {
        Self {
            state: table.initial(),
            table,
            retry_rule: if idempotent {
                RetryRule::EvenIfRun
            } else {
                RetryRule::IfUnsent
            },
            retries: 0,
            may_have_run: false,
            answered_by_gate: false,
        }
    }

    /// Sets whether the body can be sent a second time; by default it can.
    #[must_use]
    pub const fn with_replayable(mut self, replayable: bool) -> Self {
        if !replayable {
            self.retry_rule = RetryRule::Never;
        }
        self
    }

    /// Returns the current state.
    #[must_use]
    pub const fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the number of retries so far.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.retries
    }

    /// Reports whether the response came from the gate to which the request was forwarded.
    #[must_use]
    pub const fn was_forwarded(&self) -> bool {
        self.answered_by_gate
    }

    /// Returns the outcome to state in a response that did not come from the owner.
    #[must_use]
    pub const fn outcome(&self) -> outcome::RequestOutcome {
        if self.may_have_run {
            outcome::RequestOutcome::Unknown
        } else {
            outcome::RequestOutcome::NotRun
        }
    }

    /// Handles an event; returns the actions that the chart prescribes.
    pub fn handle(&mut self, event: RequestEvent, facts: RequestFacts) -> Vec<RequestAction> {
        let table = sync::Arc::clone(&self.table);
        let Some(step) = table.step(self.state, event, |guard| self.holds(guard, facts)) else {
            return Vec::new();
        };
        let was_sent = matches!(self.state, RequestState::Sent | RequestState::PassedOn);
        let inconclusive = matches!(
            event,
            RequestEvent::ExchangeBroken | RequestEvent::DeadlinePassed | RequestEvent::CallerLeft
        );
        self.may_have_run |= was_sent && inconclusive;
        self.state = step.next;
        self.answered_by_gate |= step.actions.contains(&RequestAction::AnswerPassed);
        if step.actions.contains(&RequestAction::EnqueueAgain) {
            self.retries += 1;
        }
        step.actions.to_vec()
    }

    fn holds(&self, guard: RequestGuard, facts: RequestFacts) -> bool {
        let may_retry = self.retry_rule != RetryRule::Never
            && self.retries < MAX_RETRIES
            && !facts.no_time_left;
        match guard {
            RequestGuard::FeatureRetired => facts.feature_retired,
            RequestGuard::NoTimeLeft => facts.no_time_left,
            RequestGuard::MayRepeatUnsent => may_retry,
            RequestGuard::MayRepeatUnknown => may_retry && self.retry_rule == RetryRule::EvenIfRun,
        }
    }
}
