//! Tests the delivery chart of a request: for each request kind and each result of an attempt,
//! whether the request is retried, refused or answered. A request that may have run must not be
//! sent again unless it is idempotent.

use std::sync;
use std::time;

use zinniastack::chart;
use zinniastack::routing::specification;
use zinniastack::serving::delivery;
use zinniastack::serving::delivery::DeliveryAction as Action;
use zinniastack::serving::delivery::DeliveryEvent as Event;

fn route(kind: specification::RequestKind, attempts: u32) -> specification::RouteSpec {
    specification::RouteSpec {
        name: "r".parse().expect("a valid name"),
        prefix: sync::Arc::from("/"),
        kind,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(300),
        max_attempts: attempts,
        priority: 1,
        parts: Vec::new(),
    }
}

fn last_action(kind: specification::RequestKind, events: &[(Event, bool)]) -> Option<Action> {
    let table = chart::ChartTable::new().expect("the chart is valid");
    let route = route(kind, 2);
    let mut request_delivery = delivery::RequestDelivery::new(&table, &route);
    let mut last = None;
    for (event, may_retry) in events {
        last = request_delivery.handle(*event, *may_retry);
    }
    last
}

const SAFE: specification::RequestKind = specification::RequestKind::Idempotent;
const ONCE: specification::RequestKind = specification::RequestKind::Once;
const UPLOAD: specification::RequestKind = specification::RequestKind::Upload;
const SENT: (Event, bool) = (Event::Assigned, true);

macro_rules! delivery_cases {
    ($($name:ident: $kind:expr, $events:expr => $action:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(last_action($kind, &$events), Some($action));
        }
    )*};
}

delivery_cases! {
    an_answer_is_passed_on: ONCE, [SENT, (Event::Answered, true)] => Action::PassAnswer;
    a_broken_order_is_never_sent_again: ONCE, [SENT, (Event::Broken, true)] => Action::TellBroken;
    a_broken_upload_is_never_sent_again: UPLOAD, [SENT, (Event::Broken, true)] => Action::TellBroken;
    a_broken_lookup_is_sent_again: SAFE, [SENT, (Event::Broken, true)] => Action::Enqueue;
    a_broken_lookup_without_budget_is_told: SAFE, [SENT, (Event::Broken, false)] => Action::TellBroken;
    an_unsent_order_is_sent_again: ONCE, [SENT, (Event::Unsent, true)] => Action::Enqueue;
    an_unsent_order_without_budget_is_refused: ONCE, [SENT, (Event::Unsent, false)] => Action::Refuse;
    an_order_that_did_not_run_is_sent_again: ONCE, [SENT, (Event::NotRun, true)] => Action::Enqueue;
    an_order_that_did_not_run_twice_is_refused:
        ONCE, [SENT, (Event::NotRun, true), SENT, (Event::NotRun, true)] => Action::Refuse;
    a_failure_of_an_order_is_passed_on: ONCE, [SENT, (Event::Failed, true)] => Action::PassAnswer;
    a_failure_of_a_lookup_is_tried_again: SAFE, [SENT, (Event::Failed, true)] => Action::Enqueue;
    the_last_failure_of_a_lookup_is_passed_on:
        SAFE, [SENT, (Event::Failed, true), SENT, (Event::Failed, true)] => Action::PassAnswer;
    no_promise_after_a_lookup_that_may_have_run:
        SAFE, [SENT, (Event::Broken, true), (Event::GivenUp, true)] => Action::TellBroken;
    a_request_that_never_left_is_refused: ONCE, [(Event::GivenUp, true)] => Action::Refuse;
    a_wait_that_ends_is_refused: ONCE, [(Event::TimeOver, true)] => Action::Refuse;
    a_sent_order_that_ends_is_no_promise: ONCE, [SENT, (Event::TimeOver, true)] => Action::TellTimeout;
}
