//! Tests how a host judges the responses of others, by the chart `responses`.

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::serving::responses;
use zinniastack::serving::topic;

fn host() -> names::HostName {
    fixtures::name("other")
}

// The ends of a host that has all topics and routes of this version.
fn ends(routes_version: u64) -> topic::TopicEnds {
    topic::TopicEnds {
        ends: [9; 4],
        routes_version,
        ..topic::TopicEnds::default()
    }
}

struct ResponseCase {
    tracker: responses::ResponseTracker,
}

impl ResponseCase {
    fn new() -> Self {
        let tracker = responses::ResponseTracker::new().expect("the chart is valid");
        Self { tracker }
    }

    fn ask(&mut self, now_ms: u64) {
        self.tracker
            .note_asked(&host(), ends(3), fixtures::at(now_ms));
    }

    fn answer(&mut self, now_ms: u64) {
        self.tracker
            .note_answered(&host(), &ends(3), fixtures::at(now_ms));
    }

    fn is_passed_over_at(&mut self, now_ms: u64) -> bool {
        self.tracker.check(fixtures::at(now_ms));
        self.tracker.is_passed_over(&host())
    }
}

fn waits_for_a_host_that_responds_in_time() {
    let mut case = ResponseCase::new();
    for round in 0..10 {
        let start = round * 1_000;
        case.ask(start);
        assert!(!case.is_passed_over_at(start + responses::OVERDUE_MS - 1));
        case.answer(start + responses::OVERDUE_MS - 1);
        assert!(!case.is_passed_over_at(start + 999));
    }
}

// Guards against a host that is waited for until a call to it fails.
fn passes_over_a_host_whose_response_is_overdue() {
    let mut case = ResponseCase::new();
    case.ask(0);
    assert!(case.is_passed_over_at(responses::OVERDUE_MS));
}

// Guards against a supplier that is taken back with its first late response, and lost again.
fn takes_a_host_back_that_has_responded_in_time() {
    let mut case = ResponseCase::new();
    case.ask(0);
    assert!(case.is_passed_over_at(responses::OVERDUE_MS));
    case.answer(responses::OVERDUE_MS + 10);
    assert!(case.is_passed_over_at(responses::OVERDUE_MS + 10));
    case.ask(500);
    assert!(case.is_passed_over_at(500));
    case.answer(505);
    assert!(!case.is_passed_over_at(505));
}

// Guards against a host on a slow link that is passed over again and again.
fn waits_longer_for_a_host_whose_last_response_took_long() {
    let mut case = ResponseCase::new();
    case.ask(0);
    assert!(case.is_passed_over_at(responses::OVERDUE_MS));
    case.answer(600);
    case.ask(1_000);
    case.tracker.check(fixtures::at(2_000));
    case.answer(2_000);
    assert!(!case.is_passed_over_at(2_000));
}

// Guards against a supplier that has just started and can supply nothing.
fn passes_over_a_host_that_lacks_records() {
    let mut started = ends(3);
    started.set(topic::StoreTopic::Servers, topic::LogPosition::new(0, 0));
    for lacking in [started, ends(2)] {
        let mut case = ResponseCase::new();
        case.ask(0);
        case.tracker
            .note_answered(&host(), &lacking, fixtures::at(5));
        assert!(case.is_passed_over_at(5), "{lacking:?}");
        case.ask(250);
        case.answer(255);
        assert!(!case.is_passed_over_at(255));
    }
}

// Guards against a supplier that is taken for a live one by a response of long ago.
fn forgets_that_a_host_has_responded() {
    let mut case = ResponseCase::new();
    assert!(!case.tracker.is_responsive(&host()));
    case.ask(0);
    assert!(!case.tracker.is_responsive(&host()));
    case.answer(5);
    assert!(case.tracker.is_responsive(&host()));
    case.tracker.check(fixtures::at(5 + responses::RECENT_MS));
    assert!(!case.tracker.is_responsive(&host()));
}

// A host may lack what this one got while the response was under way.
fn compares_with_what_it_had_when_it_asked() {
    let mut case = ResponseCase::new();
    case.ask(0);
    case.ask(100);
    case.answer(110);
    assert!(!case.is_passed_over_at(110));
}

fn passes_over_a_host_that_cannot_be_reached() {
    let mut case = ResponseCase::new();
    case.ask(0);
    case.tracker.note_failed(&host());
    assert!(case.is_passed_over_at(1));
    case.ask(250);
    case.answer(255);
    assert!(!case.is_passed_over_at(255));
}

macro_rules! response_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

response_cases! {
    waits_for_a_host_that_responds_in_time,
    passes_over_a_host_whose_response_is_overdue,
    takes_a_host_back_that_has_responded_in_time,
    waits_longer_for_a_host_whose_last_response_took_long,
    passes_over_a_host_that_lacks_records,
    forgets_that_a_host_has_responded,
    compares_with_what_it_had_when_it_asked,
    passes_over_a_host_that_cannot_be_reached,
}
