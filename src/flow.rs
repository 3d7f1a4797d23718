//! One request's way from its arrival to its answer, by the chart `request`.

use std::sync;

use crate::chart;
use crate::outcome;

/// How often one request may be sent again.
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

/// What the guards look at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the feature's work is no longer served.
    pub feature_retired: bool,
    /// Whether the deadline leaves no time to run.
    pub no_time_left: bool,
}

/// When a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatRule {
    /// Never: its body is gone.
    Never,
    /// Once it is proved that no part of it ran.
    IfUnsent,
    /// Always: it is idempotent.
    EvenIfRun,
}

/// The state of one request.
pub struct RequestFlow {
    table: sync::Arc<chart::ChartTable<RequestVocabulary>>,
    state: RequestState,
    repeat: RepeatRule,
    retries: u32,
    may_have_run: bool,
    answered_by_gate: bool,
}

impl RequestFlow {
    /// Creates a request that has just arrived.
    #[must_use]
    pub fn new(table: sync::Arc<chart::ChartTable<RequestVocabulary>>, idempotent: bool) -> Self {
        Self {
            state: table.initial(),
            table,
            repeat: if idempotent {
                RepeatRule::EvenIfRun
            } else {
                RepeatRule::IfUnsent
            },
            retries: 0,
            may_have_run: false,
            answered_by_gate: false,
        }
    }

    /// States whether the body can be sent a second time; by default it can.
    #[must_use]
    pub const fn with_replayable(mut self, replayable: bool) -> Self {
        if !replayable {
            self.repeat = RepeatRule::Never;
        }
        self
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> RequestState {
        self.state
    }

    /// Returns how often the request was sent again.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.retries
    }

    /// Reports whether the answer is the gate's.
    #[must_use]
    pub const fn was_forwarded(&self) -> bool {
        self.answered_by_gate
    }

    /// Returns what an answer that is not the owner's says of whether the request ran.
    #[must_use]
    pub const fn outcome(&self) -> outcome::RequestOutcome {
        if self.may_have_run {
            outcome::RequestOutcome::Unknown
        } else {
            outcome::RequestOutcome::NotRun
        }
    }

    /// Takes an event; returns the chart's actions.
    pub fn handle(&mut self, event: RequestEvent, facts: RequestFacts) -> Vec<RequestAction> {
        let table = sync::Arc::clone(&self.table);
        let Some(step) = table.step(self.state, event, |guard| self.holds(guard, facts)) else {
            return Vec::new();
        };
        let was_sent = matches!(self.state, RequestState::Sent | RequestState::PassedOn);
        let unsure = matches!(
            event,
            RequestEvent::ExchangeBroken | RequestEvent::DeadlinePassed | RequestEvent::CallerLeft
        );
        self.may_have_run |= was_sent && unsure;
        self.state = step.next;
        self.answered_by_gate |= step.actions.contains(&RequestAction::AnswerPassed);
        if step.actions.contains(&RequestAction::EnqueueAgain) {
            self.retries += 1;
        }
        step.actions.to_vec()
    }

    fn holds(&self, guard: RequestGuard, facts: RequestFacts) -> bool {
        let repeatable =
            self.repeat != RepeatRule::Never && self.retries < MAX_RETRIES && !facts.no_time_left;
        match guard {
            RequestGuard::FeatureRetired => facts.feature_retired,
            RequestGuard::NoTimeLeft => facts.no_time_left,
            RequestGuard::MayRepeatUnsent => repeatable,
            RequestGuard::MayRepeatUnknown => repeatable && self.repeat == RepeatRule::EvenIfRun,
        }
    }
}
