//! Tests admission of requests, and the request chart: the actions and the outcome of each sequence
//! of events.

use std::sync;
use std::time;

use zinniastack::admission;
use zinniastack::chart;
use zinniastack::chart::ChartWord as _;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::flow;
use zinniastack::outcome;
use zinniastack::table;

const CONFIGURATION: &str = include_str!("../examples/manizales.toml");
const NOW: clock::MonoTime = clock::MonoTime::from_millis(10_000);

fn configuration() -> configuration::Configuration {
    toml::from_str(CONFIGURATION).expect("the example is valid")
}

fn table() -> table::RoutingTable {
    let mut table = table::RoutingTable::new(1, &configuration());
    table.fresh_until = NOW + time::Duration::from_secs(5);
    for (service, server) in [("stock", "stock-1"), ("site-files", "site-files-1")] {
        let changes: Vec<_> = (0..240)
            .map(|index| table::RouteChange {
                shard: format!("{service}/{index}").parse().expect("a valid shard"),
                route: Some(table::RouteEntry {
                    server: server.parse().expect("a valid name"),
                    fence: "5.h1.a.1".parse().expect("a valid fence"),
                }),
            })
            .collect();
        table.set_routes(&changes);
    }
    table
}

fn envelope(service: &str) -> admission::RequestEnvelope {
    admission::RequestEnvelope {
        service: service.into(),
        key: "yard-7".parse().expect("a valid key"),
        id: "r1".parse().expect("a valid id"),
        deadline_ms: None,
        feature: None,
        idempotent: true,
        body_bytes: None,
    }
}

fn with_feature(service: &str, feature: &str) -> admission::RequestEnvelope {
    admission::RequestEnvelope {
        feature: Some(feature.parse().expect("a valid name")),
        ..envelope(service)
    }
}

fn expect_admission(
    table: &table::RoutingTable,
    envelope: &admission::RequestEnvelope,
    expected: Result<(), outcome::RefusalReason>,
) {
    let checked = admission::check(table, envelope, NOW, NOW);
    assert_eq!(checked.map(|_| ()), expected);
}

fn retired_table() -> table::RoutingTable {
    let name = "nightly-stock-digest".parse().expect("a valid name");
    let change = configuration::ConfigurationChange::RetireFeature { name };
    let next = configuration()
        .with_changes(&[change])
        .expect("the change is valid");
    table::RoutingTable::new(2, &next)
}

fn stale_table() -> table::RoutingTable {
    let mut table = table();
    table.fresh_until = NOW;
    table
}

fn leased_table() -> table::RoutingTable {
    let mut table = table();
    let until = NOW + time::Duration::from_millis(1);
    table.set_table_lease("chipre".parse().expect("a valid name"), until);
    table
}

fn the_callers_deadline_is_at_most_the_services() {
    let table = table();
    for (given, expected) in [(None, 500), (Some(90), 90), (Some(9_000), 500)] {
        let request = admission::RequestEnvelope {
            deadline_ms: given,
            ..envelope("stock")
        };
        let pass = admission::check(&table, &request, NOW, NOW).expect("the request is admitted");
        let span = time::Duration::from_millis(expected);
        assert_eq!(pass.deadline, NOW + span);
    }
}

/// The properties of a request that the chart's guards depend on.
#[derive(Clone, Copy)]
struct FlowKind {
    idempotent: bool,
    replayable: bool,
    facts: flow::RequestFacts,
}

const PLAIN: FlowKind = FlowKind {
    idempotent: false,
    replayable: true,
    facts: flow::RequestFacts {
        feature_retired: false,
        no_time_left: false,
    },
};
const IDEMPOTENT: FlowKind = FlowKind {
    idempotent: true,
    ..PLAIN
};
const STREAMED: FlowKind = FlowKind {
    replayable: false,
    ..IDEMPOTENT
};
const RETIRED: FlowKind = FlowKind {
    facts: flow::RequestFacts {
        feature_retired: true,
        no_time_left: false,
    },
    ..PLAIN
};
const OUT_OF_TIME: FlowKind = FlowKind {
    facts: flow::RequestFacts {
        feature_retired: false,
        no_time_left: true,
    },
    ..IDEMPOTENT
};

// Events and actions are given by their chart words, so that a case reads like the chart.
fn expect_flow(
    kind: FlowKind,
    events: &[&str],
    actions: &[&str],
    expected: outcome::RequestOutcome,
) {
    let chart = chart::ChartTable::new().expect("the chart is valid");
    let mut flow = flow::RequestFlow::new(sync::Arc::new(chart), kind.idempotent)
        .with_replayable(kind.replayable);
    let mut last = Vec::new();
    // A case without a gate event starts in the queue: this host is the gate of the server.
    if !events[0].starts_with("gate") {
        flow.handle(flow::RequestEvent::GateHere, kind.facts);
    }
    for word in events {
        let event = flow::RequestEvent::ALL.iter().find(|e| e.word() == *word);
        last = flow.handle(*event.expect("an event of the chart"), kind.facts);
    }
    let words: Vec<_> = last.iter().map(|action| action.word()).collect();
    assert_eq!(words, actions);
    assert_eq!(flow.outcome(), expected);
}

fn a_request_is_retried_at_most_max_retries_times() {
    let chart = chart::ChartTable::new().expect("the chart is valid");
    let mut flow = flow::RequestFlow::new(sync::Arc::new(chart), true);
    let facts = flow::RequestFacts::default();
    flow.handle(flow::RequestEvent::GateHere, facts);
    for _ in 0..flow::MAX_RETRIES {
        flow.handle(flow::RequestEvent::Permitted, facts);
        let actions = flow.handle(flow::RequestEvent::RefusedNotRun, facts);
        assert!(actions.contains(&flow::RequestAction::EnqueueAgain));
    }
    flow.handle(flow::RequestEvent::Permitted, facts);
    let actions = flow.handle(flow::RequestEvent::RefusedNotRun, facts);
    assert!(actions.contains(&flow::RequestAction::AnswerRefused));
}

use outcome::RefusalReason as Reason;
use outcome::RequestOutcome as Outcome;

macro_rules! request_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

request_cases! {
    admits_a_valid_request: expect_admission(&table(), &envelope("stock"), Ok(()));
    refuses_before_a_configuration_is_known:
        expect_admission(&table::RoutingTable::default(), &envelope("stock"), Err(Reason::Starting));
    refuses_an_unknown_service: expect_admission(&table(), &envelope("stork"), Err(Reason::UnknownService));
    refuses_a_shard_without_owner: expect_admission(&table(), &envelope("orders"), Err(Reason::NoOwner));
    refuses_unchecked_servers_without_a_table_lease:
        expect_admission(&table(), &envelope("site-files"), Err(Reason::NoTableLease));
    admits_unchecked_servers_with_a_table_lease: expect_admission(&leased_table(), &envelope("site-files"), Ok(()));
    admits_a_live_feature:
        expect_admission(&table(), &with_feature("stock", "nightly-stock-digest"), Ok(()));
    refuses_a_retired_feature: expect_admission(
        &retired_table(), &with_feature("stock", "nightly-stock-digest"), Err(Reason::FeatureRetired));
    refuses_an_unknown_feature: expect_admission(
        &table(), &with_feature("stock", "forgotten"), Err(Reason::FeatureUnknown));
    refuses_a_feature_of_another_service: expect_admission(
        &table(), &with_feature("stock", "dispatch-reminder"), Err(Reason::FeatureUnknown));
    holds_a_feature_when_the_configuration_is_stale: expect_admission(
        &stale_table(), &with_feature("stock", "nightly-stock-digest"), Err(Reason::FeatureHeld));
    refuses_a_body_over_the_limit: expect_admission(
        &table(),
        &admission::RequestEnvelope { body_bytes: Some(16_385), ..envelope("stock") },
        Err(Reason::BodyTooLarge),
    );
    limits_the_deadline_to_that_of_the_service: the_callers_deadline_is_at_most_the_services();
    answered: expect_flow(PLAIN, &["permitted", "answered-whole"],
        &["release-permit", "answer-ran"], Outcome::NotRun);
    refused_by_the_queue: expect_flow(PLAIN, &["queue-refused"],
        &["answer-overloaded"], Outcome::NotRun);
    late_in_the_queue: expect_flow(PLAIN, &["deadline-passed"],
        &["leave-queue", "answer-deadline-not-run"], Outcome::NotRun);
    retired_in_the_queue: expect_flow(RETIRED, &["permitted"],
        &["release-permit", "answer-retired"], Outcome::NotRun);
    out_of_time_at_dispatch: expect_flow(OUT_OF_TIME, &["permitted"],
        &["release-permit", "answer-deadline-not-run"], Outcome::NotRun);
    unsent_is_repeated: expect_flow(PLAIN, &["permitted", "connect-failed"],
        &["release-permit", "enqueue-again"], Outcome::NotRun);
    refused_is_repeated: expect_flow(PLAIN, &["permitted", "refused-not-run"],
        &["release-permit", "enqueue-again"], Outcome::NotRun);
    broken_is_not_repeated: expect_flow(PLAIN, &["permitted", "exchange-broken"],
        &["release-permit", "answer-unknown"], Outcome::Unknown);
    broken_idempotent_is_repeated: expect_flow(IDEMPOTENT, &["permitted", "exchange-broken"],
        &["release-permit", "enqueue-again"], Outcome::Unknown);
    broken_then_refused_stays_unknown:
        expect_flow(IDEMPOTENT, &["permitted", "exchange-broken", "queue-refused"],
        &["answer-overloaded"], Outcome::Unknown);
    broken_stream_is_not_repeated: expect_flow(STREAMED, &["permitted", "exchange-broken"],
        &["release-permit", "answer-unknown"], Outcome::Unknown);
    refused_stream_is_not_repeated: expect_flow(STREAMED, &["permitted", "refused-not-run"],
        &["release-permit", "answer-refused"], Outcome::NotRun);
    late_at_the_owner: expect_flow(PLAIN, &["permitted", "deadline-passed"],
        &["cancel-exchange", "release-permit", "answer-deadline-unknown"], Outcome::Unknown);
    caller_left_the_queue: expect_flow(PLAIN, &["caller-left"],
        &["leave-queue"], Outcome::NotRun);
    caller_left_the_exchange: expect_flow(PLAIN, &["permitted", "caller-left"],
        &["cancel-exchange", "release-permit"], Outcome::Unknown);
    answered_stays_answered: expect_flow(PLAIN,
        &["permitted", "answered-whole", "exchange-broken"], &[], Outcome::NotRun);
    passed_on: expect_flow(PLAIN, &["gate-elsewhere", "answered-whole"],
        &["answer-passed"], Outcome::NotRun);
    unreachable_gate_is_retried_here: expect_flow(PLAIN, &["gate-elsewhere", "connect-failed"],
        &["enqueue"], Outcome::NotRun);
    unreachable_gate_with_a_streamed_body_is_refused: expect_flow(STREAMED, &["gate-elsewhere", "connect-failed"],
        &["answer-unreachable"], Outcome::NotRun);
    broken_gate_exchange_is_unknown: expect_flow(PLAIN, &["gate-elsewhere", "exchange-broken"],
        &["answer-unknown"], Outcome::Unknown);
    broken_gate_exchange_of_an_idempotent_request_is_retried: expect_flow(IDEMPOTENT, &["gate-elsewhere", "exchange-broken"],
        &["enqueue-again"], Outcome::Unknown);
    late_gate_response_is_unknown: expect_flow(PLAIN, &["gate-elsewhere", "deadline-passed"],
        &["cancel-exchange", "answer-deadline-unknown"], Outcome::Unknown);
    retries_are_bounded: a_request_is_retried_at_most_max_retries_times();
}
