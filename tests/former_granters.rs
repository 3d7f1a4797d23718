//! Tests how long orders of former granters may still arrive after a claim, and what proves that a
//! former granter is no longer active.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::ownership::assignment;
use zinniastack::ownership::election;
use zinniastack::ownership::former_granters;

/// The term of the claim under test.
const TERM: u64 = 5;
/// When the claim was appended to the log, in milliseconds.
const CLAIMED_MS: u64 = 1_000;

fn granter_incarnation(host: &str, incarnation: u64) -> assignment::GranterIncarnation {
    assignment::GranterIncarnation {
        host: host.parse().expect("a valid name"),
        incarnation,
        peers: ([10, 0, 0, 1], 7_200).into(),
    }
}

/// A claim by host `own`, which succeeds host `former` as granter.
struct ClaimCase {
    former_granters: former_granters::FormerGranters,
    uptime: time::Duration,
}

impl ClaimCase {
    fn new(formers: &[assignment::GranterIncarnation]) -> Self {
        let mut former_granters =
            former_granters::FormerGranters::new(granter_incarnation("own", 9));
        former_granters.take_over(TERM, formers, fixtures::at(CLAIMED_MS));
        Self {
            former_granters,
            uptime: time::Duration::ZERO,
        }
    }

    fn respond(
        &mut self,
        incarnation: assignment::GranterIncarnation,
        term: u64,
        asked_ms: u64,
    ) -> bool {
        let response = former_granters::HostResponse {
            life: incarnation,
            term,
            granted: assignment::TableVersion::default(),
            asked: fixtures::at(asked_ms),
            uptime: self.uptime,
        };
        self.former_granters
            .note_host_response(&response, fixtures::at(asked_ms + 10))
    }

    // Time after the claim until no order of a former granter can arrive any more.
    fn wait(&self) -> time::Duration {
        self.former_granters
            .orders_until()
            .since(fixtures::at(CLAIMED_MS))
    }
}

fn longest_wait() -> time::Duration {
    time::Duration::from_millis(election::MAX_UNCONFIRMED_MS + former_granters::ORDERS_IN_FLIGHT_MS)
}

fn waits_for_the_right_of_a_former_granter() {
    let case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert_eq!(case.wait(), longest_wait());
}

fn takes_another_process_at_the_host_for_the_end() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert!(case.respond(granter_incarnation("former", 2), 0, CLAIMED_MS + 100));
    let least = time::Duration::from_millis(former_granters::ORDERS_IN_FLIGHT_MS);
    assert!(case.wait() >= least, "orders in flight were not waited for");
    assert!(case.wait() < least * 2);
}

fn counts_from_the_start_of_the_other_process() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    case.uptime = time::Duration::from_millis(500);
    assert!(case.respond(granter_incarnation("former", 2), 0, CLAIMED_MS + 100));
    let orders = time::Duration::from_millis(former_granters::ORDERS_IN_FLIGHT_MS);
    assert!(
        case.wait() < orders,
        "waited the full time although the process had ended before the claim"
    );
}

fn takes_knowledge_of_the_claim_for_the_end() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert!(case.respond(granter_incarnation("former", 1), TERM, CLAIMED_MS + 100));
    assert!(case.wait() < longest_wait());
}

fn learns_nothing_from_a_granter_that_knows_an_older_term() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert!(!case.respond(granter_incarnation("former", 1), TERM - 1, CLAIMED_MS + 100));
    assert_eq!(case.wait(), longest_wait());
}

// The response may come from a process that ended before the former granter started.
fn learns_nothing_from_an_answer_asked_for_before_the_claim() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert!(!case.respond(granter_incarnation("former", 2), TERM, CLAIMED_MS - 100));
    assert_eq!(case.wait(), longest_wait());
}

fn learns_nothing_from_another_host() {
    let mut case = ClaimCase::new(&[granter_incarnation("former", 1)]);
    assert!(!case.respond(granter_incarnation("other", 2), TERM, CLAIMED_MS + 100));
    let mut moved = granter_incarnation("former", 2);
    moved.peers = ([10, 0, 0, 2], 7_200).into();
    assert!(!case.respond(moved, TERM, CLAIMED_MS + 100));
    assert_eq!(case.wait(), longest_wait());
}

fn waits_for_each_of_several_former_granters() {
    let mut case = ClaimCase::new(&[
        granter_incarnation("former", 1),
        granter_incarnation("earlier", 1),
    ]);
    assert!(case.respond(granter_incarnation("former", 2), 0, CLAIMED_MS + 100));
    assert_eq!(case.wait(), longest_wait());
    let possibly_active: Vec<_> = case
        .former_granters
        .possibly_active(fixtures::at(5_000))
        .cloned()
        .collect();
    assert_eq!(possibly_active, [granter_incarnation("earlier", 1)]);
}

fn does_not_wait_for_an_earlier_process_of_its_own_host() {
    let case = ClaimCase::new(&[granter_incarnation("own", 8)]);
    assert!(case.wait() < longest_wait());
}

fn names_all_granters_that_a_claim_succeeds() {
    let case = ClaimCase::new(&[]);
    let table = assignment::AssignmentTable {
        granter: Some(granter_incarnation("former", 1)),
        former_granters: vec![
            granter_incarnation("earlier", 1),
            granter_incarnation("own", 9),
        ],
        ..assignment::AssignmentTable::default()
    };
    let named = case.former_granters.predecessors(&table);
    assert_eq!(
        named,
        [
            granter_incarnation("earlier", 1),
            granter_incarnation("former", 1)
        ]
    );
}

macro_rules! former_granter_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

former_granter_cases! {
    waits_for_the_right_of_a_former_granter,
    takes_another_process_at_the_host_for_the_end,
    counts_from_the_start_of_the_other_process,
    takes_knowledge_of_the_claim_for_the_end,
    learns_nothing_from_a_granter_that_knows_an_older_term,
    learns_nothing_from_an_answer_asked_for_before_the_claim,
    learns_nothing_from_another_host,
    waits_for_each_of_several_former_granters,
    does_not_wait_for_an_earlier_process_of_its_own_host,
    names_all_granters_that_a_claim_succeeds,
}
