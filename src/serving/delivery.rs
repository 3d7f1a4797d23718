//! What happens to a request after each attempt to deliver it, by the chart `delivery`.

use crate::chart;
use crate::routing::specification;

crate::chart_words!(
    /// The delivery states of a request at an entry host.
    DeliveryState {
        Waiting = "waiting",
        Sent = "sent",
        Ended = "ended",
    }
);
crate::chart_words!(
    /// The events of a request.
    DeliveryEvent {
        /// A server was chosen.
        Assigned = "assigned",
        /// The scheduler refused the request.
        GivenUp = "given-up",
        /// No part of the request was sent.
        Unsent = "unsent",
        /// The server responded that it did not run the request.
        NotRun = "not-run",
        /// The connection broke, or the response was invalid.
        Broken = "broken",
        /// The server responded with an error of its own.
        Failed = "failed",
        /// The server responded.
        Answered = "answered",
        /// The deadline passed.
        TimeOver = "time-over",
    }
);
crate::chart_words!(
    /// The guards of transitions.
    DeliveryGuard {
        /// Another attempt is possible, and the request may run twice or cannot have run yet.
        MayTryAgain = "may-try-again",
        /// Another attempt is possible, and the request may run twice.
        MayRepeat = "may-repeat",
        /// An earlier attempt may have run.
        MayHaveRun = "may-have-run",
    }
);
crate::chart_words!(
    /// The actions on a transition.
    DeliveryAction {
        /// Ask the scheduler for a server.
        Enqueue = "enqueue",
        /// Send the request to the server.
        Send = "send",
        /// Forward the server's response to the caller.
        PassAnswer = "pass-answer",
        /// Respond that the request did not run, and when to retry.
        Refuse = "refuse",
        /// Respond that it is unknown whether the request ran.
        TellBroken = "tell-broken",
        /// Respond that the deadline passed.
        TellTimeout = "tell-timeout",
    }
);

/// The vocabulary of the chart `delivery`.
#[derive(Debug)]
pub struct DeliveryVocabulary;

impl chart::ChartVocabulary for DeliveryVocabulary {
    type State = DeliveryState;
    type Event = DeliveryEvent;
    type Guard = DeliveryGuard;
    type Action = DeliveryAction;
    const SOURCE: &'static str = include_str!("../../charts/delivery.toml");
}

/// The delivery of one request, which follows the chart.
pub struct RequestDelivery<'a> {
    table: &'a chart::ChartTable<DeliveryVocabulary>,
    state: DeliveryState,
    kind: specification::RequestKind,
    attempts_left: u32,
    may_have_run: bool,
}

impl<'a> RequestDelivery<'a> {
    /// Creates the delivery of a request of `route` that waits for a server.
    #[must_use]
    pub fn new(
        table: &'a chart::ChartTable<DeliveryVocabulary>,
        route: &specification::RouteSpec,
    ) -> Self {
        Self {
            table,
            state: table.initial(),
            kind: route.kind,
            attempts_left: route.max_attempts,
            may_have_run: false,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> DeliveryState {
        self.state
    }

    /// Applies an event and returns the action to perform. `may_retry` says whether the body can be
    /// sent again and time is left for another attempt.
    pub fn handle(&mut self, event: DeliveryEvent, may_retry: bool) -> Option<DeliveryAction> {
        let runs = matches!(event, DeliveryEvent::Broken | DeliveryEvent::Failed);
        if runs {
            self.may_have_run = true;
        }
        if event == DeliveryEvent::Assigned {
            self.attempts_left = self.attempts_left.saturating_sub(1);
        }
        let can_retry = may_retry && self.attempts_left > 0;
        let repeatable = self.kind.may_repeat();
        let may_have_run = self.may_have_run;
        let step = self.table.step(self.state, event, |guard| match guard {
            DeliveryGuard::MayTryAgain => can_retry && (repeatable || !may_have_run),
            DeliveryGuard::MayRepeat => can_retry && repeatable,
            DeliveryGuard::MayHaveRun => may_have_run,
        })?;
        self.state = step.next;
        step.actions.first().copied()
    }
}
