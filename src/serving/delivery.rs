//! What becomes of a request when an attempt at it ends, by the chart `delivery`.

use crate::chart;
use crate::routing::specification;

crate::chart_words!(
    /// The states of a request at an entry host.
    DeliveryState {
        Waiting = "waiting",
        Sent = "sent",
        Ended = "ended",
    }
);
crate::chart_words!(
    /// What happens to a request.
    DeliveryEvent {
        /// A server was chosen.
        Assigned = "assigned",
        /// The desk gave it up.
        GivenUp = "given-up",
        /// Nothing of it left this host.
        Unsent = "unsent",
        /// The server says that it did not run it.
        NotRun = "not-run",
        /// The exchange broke off, or the answer was none.
        Broken = "broken",
        /// The server answered with a failure of its own.
        Failed = "failed",
        /// The server answered.
        Answered = "answered",
        /// The time is over.
        TimeOver = "time-over",
    }
);
crate::chart_words!(
    /// What a step depends on.
    DeliveryGuard {
        /// Another attempt is allowed: budget, time and attempts are left.
        MayTryAgain = "may-try-again",
        /// So, and the request may run twice.
        MayRepeat = "may-repeat",
        /// An earlier attempt may have run.
        MayHaveRun = "may-have-run",
    }
);
crate::chart_words!(
    /// What is done.
    DeliveryAction {
        /// Ask the desk for a server.
        Enqueue = "enqueue",
        /// Send the request.
        Send = "send",
        /// Give the server's answer to the caller.
        PassAnswer = "pass-answer",
        /// Tell the caller that it did not run, and when to come back.
        Refuse = "refuse",
        /// Tell the caller that its end is not known.
        TellBroken = "tell-broken",
        /// Tell the caller that the time is over.
        TellTimeout = "tell-timeout",
    }
);

/// The words of the chart `delivery`.
#[derive(Debug)]
pub struct DeliveryVocabulary;

impl chart::ChartVocabulary for DeliveryVocabulary {
    type State = DeliveryState;
    type Event = DeliveryEvent;
    type Guard = DeliveryGuard;
    type Action = DeliveryAction;
    const SOURCE: &'static str = include_str!("../../charts/delivery.toml");
}

/// One request on its way through the chart.
pub struct RequestDelivery<'a> {
    table: &'a chart::ChartTable<DeliveryVocabulary>,
    state: DeliveryState,
    kind: specification::RequestKind,
    attempts_left: u32,
    may_have_run: bool,
}

impl<'a> RequestDelivery<'a> {
    /// Creates the course of a request of `route` that waits for a server.
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

    /// Takes an event. `may_again` says whether budget and time allow another attempt.
    pub fn handle(&mut self, event: DeliveryEvent, may_again: bool) -> Option<DeliveryAction> {
        let runs = matches!(event, DeliveryEvent::Broken | DeliveryEvent::Failed);
        if runs {
            self.may_have_run = true;
        }
        if event == DeliveryEvent::Assigned {
            self.attempts_left = self.attempts_left.saturating_sub(1);
        }
        let again = may_again && self.attempts_left > 0;
        let repeat = self.kind.may_repeat();
        let may_have_run = self.may_have_run;
        let step = self.table.step(self.state, event, |guard| match guard {
            DeliveryGuard::MayTryAgain => again && (repeat || !may_have_run),
            DeliveryGuard::MayRepeat => again && repeat,
            DeliveryGuard::MayHaveRun => may_have_run,
        })?;
        self.state = step.next;
        step.actions.first().copied()
    }
}
