//! Tests which servers the granter orders to refuse earlier grants, and until when.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::ownership::assignment;
use zinniastack::ownership::fencing;
use zinniastack::ownership::order;

/// When the hold expired, in milliseconds.
const EXPIRED_MS: u64 = 1_000;

fn life(server: &str) -> assignment::ServerIncarnation {
    assignment::ServerIncarnation {
        server: fixtures::name(server),
        born: 1,
    }
}

fn holder(server: &str) -> assignment::KeyHolder {
    assignment::KeyHolder {
        life: life(server),
        address: ([10, 0, 0, 1], 8_000).into(),
    }
}

fn range(first: u16, last: u16, server: &str) -> assignment::RangeEntry {
    assignment::RangeEntry {
        first,
        last,
        fence: 7,
        holder: holder(server),
        formers: Vec::new(),
    }
}

/// A table in which `s0` has two ranges in the middle, and the hold of `s0` has expired.
struct FencingCase {
    fencing: fencing::ServerFencing,
    table: assignment::AssignmentTable,
}

impl FencingCase {
    fn new() -> Self {
        let ranges = vec![
            range(0, 99, "s1"),
            range(100, 199, "s0"),
            range(200, 299, "s1"),
            range(300, 399, "s0"),
            range(400, assignment::MAX_KEY, "s1"),
        ];
        let table = assignment::AssignmentTable {
            next_fence: 9,
            services: [(fixtures::name("stock"), ranges)].into(),
            ..assignment::AssignmentTable::default()
        };
        let mut case = Self {
            fencing: fencing::ServerFencing::new().expect("the chart is valid"),
            table,
        };
        let server = Self::server();
        case.fencing.note_expired(server, fixtures::at(EXPIRED_MS));
        case
    }

    fn server() -> assignment::UnfencedServer {
        assignment::UnfencedServer {
            service: fixtures::name("stock"),
            holder: holder("s0"),
        }
    }

    fn due(&mut self, after_ms: u64) -> Vec<order::FenceOrder> {
        let now = fixtures::at(EXPIRED_MS + after_ms);
        self.fencing.due_orders(now, &self.table)
    }

    fn end(&mut self, order: &order::FenceOrder, outcome: &order::OrderOutcome, after_ms: u64) {
        let now = fixtures::at(EXPIRED_MS + after_ms);
        self.fencing.note_ended(order, outcome, now);
    }
}

// A release of keys that the server holds by the table would take them from it.
fn names_the_keys_of_others_under_the_newest_fence() {
    let mut case = FencingCase::new();
    let orders = case.due(0);
    let spans = orders[0].ranges.iter().map(|r| (r.first, r.last, r.fence));
    let spans: Vec<_> = spans.collect();
    assert_eq!(
        spans,
        [(0, 99, 8), (200, 299, 8), (400, assignment::MAX_KEY, 8)]
    );
}

fn names_all_keys_where_the_server_has_none() {
    let mut case = FencingCase::new();
    case.table.services.clear();
    let orders = case.due(0);
    let spans: Vec<_> = orders[0].ranges.iter().map(|r| (r.first, r.last)).collect();
    assert_eq!(spans, [(0, assignment::MAX_KEY)]);
}

// A server that came back from a cut held keys of others until the next order reached it.
fn orders_an_unresponsive_server_in_short_intervals() {
    let mut case = FencingCase::new();
    let mut sent_ms = Vec::new();
    for after_ms in (0..1_000).step_by(50) {
        for order in case.due(after_ms) {
            sent_ms.push(after_ms);
            let failed_ms = after_ms + fencing::FENCE_CONNECT_TIMEOUT_MS;
            case.end(&order, &order::OrderOutcome::Unsent, failed_ms);
        }
    }
    assert_eq!(sent_ms, [0, 200, 400, 600, 800]);
}

fn has_one_order_in_flight_to_a_server() {
    let mut case = FencingCase::new();
    assert_eq!(case.due(0).len(), 1);
    assert!(case.due(fencing::FENCE_INTERVAL_MS * 5).is_empty());
}

fn ends_with_the_response() {
    let mut case = FencingCase::new();
    let orders = case.due(0);
    case.end(&orders[0], &order::OrderOutcome::Unanswered, 100);
    assert!(case.fencing.is_unfenced(&fixtures::name("s0")));
    let orders = case.due(300);
    case.end(&orders[0], &order::OrderOutcome::Done(None), 310);
    assert!(!case.fencing.is_unfenced(&fixtures::name("s0")));
    assert!(case.fencing.servers().is_empty());
}

// The order in flight did not name the keys of the hold that expired after it, and its response counted for
// them.
fn takes_no_response_to_an_order_from_before_another_hold_expired() {
    let mut case = FencingCase::new();
    let outdated = case.due(0).remove(0);
    let now = fixtures::at(EXPIRED_MS + 100);
    case.fencing.note_expired(FencingCase::server(), now);
    let next = case.due(100).remove(0);
    case.end(&outdated, &order::OrderOutcome::Done(None), 110);
    assert!(case.fencing.is_unfenced(&fixtures::name("s0")));
    case.end(&next, &order::OrderOutcome::Done(None), 120);
    assert!(!case.fencing.is_unfenced(&fixtures::name("s0")));
}

// A later start of the server would accept a grant of the earlier one's keys, which names only the server.
fn names_no_keys_of_a_later_incarnation() {
    let mut case = FencingCase::new();
    for range in case.table.services.values_mut().flatten() {
        range.holder.life.born += 1;
    }
    let orders = case.due(0);
    let spans: Vec<_> = orders[0].ranges.iter().map(|r| r.first).collect();
    assert_eq!(spans, [0, 200, 400]);
}

// A successor that did not know the server would leave it to the orders of a killed granter.
fn goes_on_after_a_take_over() {
    let case = FencingCase::new();
    let known = case.fencing.servers();
    assert_eq!(known, [FencingCase::server()]);
    let mut successor = FencingCase::new();
    successor.fencing.take_over(&[], fixtures::at(EXPIRED_MS));
    assert!(successor.due(0).is_empty());
    successor
        .fencing
        .take_over(&known, fixtures::at(EXPIRED_MS));
    assert_eq!(successor.due(0).len(), 1);
}

fn forgets_a_server_that_has_ended() {
    let mut case = FencingCase::new();
    let now = fixtures::at(EXPIRED_MS + 100);
    case.fencing.expire(now, |known| known.life == life("s0"));
    assert!(!case.fencing.is_unfenced(&fixtures::name("s0")));
}

fn gives_up_once_no_order_can_be_on_its_way() {
    let mut case = FencingCase::new();
    let span = time::Duration::from_millis(fencing::FENCING_SPAN_MS);
    let expired = fixtures::at(EXPIRED_MS);
    case.fencing.expire(
        (expired + span).saturating_sub(time::Duration::from_millis(1)),
        |_| false,
    );
    assert!(case.fencing.is_unfenced(&fixtures::name("s0")));
    case.fencing.expire(expired + span, |_| false);
    assert!(!case.fencing.is_unfenced(&fixtures::name("s0")));
}

macro_rules! fencing_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

fencing_cases! {
    names_the_keys_of_others_under_the_newest_fence,
    names_all_keys_where_the_server_has_none,
    orders_an_unresponsive_server_in_short_intervals,
    has_one_order_in_flight_to_a_server,
    ends_with_the_response,
    takes_no_response_to_an_order_from_before_another_hold_expired,
    names_no_keys_of_a_later_incarnation,
    goes_on_after_a_take_over,
    forgets_a_server_that_has_ended,
    gives_up_once_no_order_can_be_on_its_way,
}
