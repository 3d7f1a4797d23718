//! Tests which connections the granter's orders may use, and when it confirms its right for them.

use std::net;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::serving::directory;
use zinniastack::serving::topic;

/// Interval between two ticks of the granter, in milliseconds.
const TICK_MS: u64 = 100;

fn service() -> names::ServiceName {
    fixtures::name("stock")
}

fn record(name: &str, host: u8) -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name(name),
            born: 1,
        },
        service: service(),
        address: net::SocketAddr::from(([10, 0, 0, host], 8_000)),
        domain: fixtures::name("north"),
        slots: 4,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: None,
    }
}

/// A granter with one server, to which one connection is open at a time.
struct ConnectionCase {
    granter: granter::KeyGranter,
    directory: directory::ServerDirectory,
    now_ms: u64,
    // When the connection to the server was opened.
    opened: clock::MonoTime,
    // Whether the store responds.
    is_store_up: bool,
    accepted: u32,
    withheld: u32,
    confirmations: u32,
    // Whether the last order could go over a later connection.
    was_provable: bool,
}

impl ConnectionCase {
    fn new() -> Self {
        let own = assignment::GranterIncarnation {
            host: fixtures::name("own"),
            incarnation: 9,
            peers: ([10, 0, 0, 9], 7_200).into(),
        };
        let granter = granter::KeyGranter::new(own, time::Duration::from_secs(10));
        let mut granter = granter.expect("the charts are valid");
        granter.note_candidate(true);
        granter.note_table(None, topic::LogPosition::default(), fixtures::at(1_000));
        let mut directory = directory::ServerDirectory::new();
        directory.note(record("s0", 1), fixtures::at(0));
        Self {
            granter,
            directory,
            now_ms: 1_000,
            opened: fixtures::at(0),
            is_store_up: true,
            accepted: 0,
            withheld: 0,
            confirmations: 0,
            was_provable: false,
        }
    }

    // Creates a granter whose server holds all keys.
    fn with_holder() -> Self {
        let mut case = Self::new();
        case.run(4_000);
        assert!(case.accepted > 0, "the server holds the keys");
        case.accepted = 0;
        case
    }

    fn run(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            self.decide();
        }
    }

    fn decide(&mut self) {
        let now = fixtures::at(self.now_ms);
        let actions = self.granter.tick(now, &[service()], &self.directory);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: order::GranterAction) {
        let now = fixtures::at(self.now_ms);
        match action {
            order::GranterAction::Append { number, at, .. } => {
                let outcome = if self.is_store_up {
                    let (era, end) = (0, at + 1);
                    order::AppendOutcome::Appended { era, end }
                } else {
                    order::AppendOutcome::Unknown
                };
                self.granter.note_appended(number, outcome, now, now);
            }
            order::GranterAction::Grant(order) => self.grant(&order),
            order::GranterAction::Confirm => self.confirm(),
            order::GranterAction::Release(_)
            | order::GranterAction::Fence(_)
            | order::GranterAction::Yield => {
                panic!("{action:?} is not expected");
            }
        }
    }

    fn grant(&mut self, order: &order::GrantOrder) {
        let is_withheld = self.opened > order.connected_by;
        self.was_provable = order.may_be_proven;
        let outcome = if is_withheld {
            self.withheld += 1;
            order::OrderOutcome::Withheld
        } else {
            self.accepted += 1;
            order::OrderOutcome::Done(None)
        };
        let now = fixtures::at(self.now_ms);
        if self.granter.note_granted(order, &outcome, now) {
            self.decide();
        }
    }

    fn confirm(&mut self) {
        self.confirmations += 1;
        self.now_ms += 5;
        let now = fixtures::at(self.now_ms);
        if self.is_store_up {
            self.granter.note_confirmed(now);
        }
        self.granter.note_confirmation_ended(self.is_store_up, now);
        self.decide();
    }
}

// A granter that was cut off sent an order over a connection to a later process of the server, which
// did not know the fence of its successor's release.
fn sends_no_grant_over_a_connection_opened_after_the_last_confirmation() {
    let mut case = ConnectionCase::with_holder();
    case.is_store_up = false;
    case.opened = fixtures::at(case.now_ms);
    case.run(3_000);
    assert_eq!(case.accepted, 0);
    assert!(case.withheld > 0);
}

fn sends_a_withheld_grant_once_its_right_is_confirmed() {
    let mut case = ConnectionCase::with_holder();
    case.opened = fixtures::at(case.now_ms);
    case.run(700);
    assert_eq!((case.withheld, case.confirmations), (1, 1));
    assert!(case.accepted > 0);
}

fn renews_over_an_earlier_connection_while_the_store_is_away() {
    let mut case = ConnectionCase::with_holder();
    case.is_store_up = false;
    case.run(6_000);
    assert!(case.accepted >= 9, "{} renewals", case.accepted);
    assert_eq!(case.withheld, 0);
}

// A range that an append without an outcome had split was granted as a whole where a request for the part that
// its server kept had run.
fn lets_no_request_prove_a_range_that_a_pending_append_changes() {
    let mut case = ConnectionCase::with_holder();
    assert!(case.was_provable);
    case.is_store_up = false;
    case.directory
        .note(record("s1", 2), fixtures::at(case.now_ms));
    case.run(2_000);
    assert!(!case.was_provable);
}

fn pauses_between_confirmations_that_fail() {
    let mut case = ConnectionCase::with_holder();
    case.is_store_up = false;
    case.opened = fixtures::at(case.now_ms);
    case.run(3_000);
    assert!(case.confirmations <= 20, "{} reads", case.confirmations);
}

macro_rules! connection_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

connection_cases! {
    sends_no_grant_over_a_connection_opened_after_the_last_confirmation,
    sends_a_withheld_grant_once_its_right_is_confirmed,
    renews_over_an_earlier_connection_while_the_store_is_away,
    lets_no_request_prove_a_range_that_a_pending_append_changes,
    pauses_between_confirmations_that_fail,
}
