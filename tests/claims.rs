//! Tests the claim of the granter role by a single host in a new era of the store.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::ownership::election;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::serving::directory;
use zinniastack::serving::topic;

/// Interval between two ticks of the granter, in milliseconds.
const TICK_MS: u64 = 100;
/// When the store comes back, in milliseconds.
const RETURN_MS: u64 = 10_000;

fn incarnation(host: &str) -> assignment::GranterIncarnation {
    assignment::GranterIncarnation {
        host: fixtures::name(host),
        incarnation: 1,
        peers: ([10, 0, 0, 9], 7_200).into(),
    }
}

// A table of the first era, without ranges.
fn table(revision: u64, granter: &str) -> assignment::AssignmentTable {
    assignment::AssignmentTable {
        version: assignment::TableVersion { era: 1, revision },
        term: 1,
        granter: Some(incarnation(granter)),
        longest_hold_millis: granter::GRANT_HOLD_MS,
        ..assignment::AssignmentTable::default()
    }
}

/// A host that is the candidate for the granter role when the store comes back older.
struct ClaimCase {
    granter: granter::KeyGranter,
    now_ms: u64,
}

impl ClaimCase {
    fn new() -> Self {
        let own = incarnation("own");
        let granter = granter::KeyGranter::new(own, time::Duration::from_secs(10));
        let mut granter = granter.expect("the charts are valid");
        granter.note_candidate(true);
        Self {
            granter,
            now_ms: RETURN_MS,
        }
    }

    // Reads `table` from the log of the first era, just before the store is lost.
    fn read(&mut self, table: assignment::AssignmentTable) {
        let end = topic::LogPosition::new(1, 100);
        self.granter
            .note_table(Some(table), end, fixtures::at(self.now_ms));
    }

    // The store is back, in its second era, with an older table.
    fn restore(&mut self, table: assignment::AssignmentTable) {
        let end = topic::LogPosition::new(2, 40);
        self.granter
            .note_table(Some(table), end, fixtures::at(self.now_ms));
    }

    // Runs the granter until it claims, for at most `span_ms`.
    fn claim_within(&mut self, span_ms: u64) -> Option<assignment::AssignmentTable> {
        let services: [names::ServiceName; 1] = [fixtures::name("stock")];
        let servers = directory::ServerDirectory::new();
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let now = fixtures::at(self.now_ms);
            for action in self.granter.tick(now, &services, &servers) {
                if let order::GranterAction::Append { table, .. } = action {
                    return Some(table);
                }
            }
        }
        None
    }

    fn claim(&mut self) -> assignment::AssignmentTable {
        let claim = self.claim_within(election::MAX_UNCONFIRMED_MS);
        claim.expect("the host claims the role")
    }
}

fn possible_granters(claim: &assignment::AssignmentTable) -> Vec<String> {
    let record = claim.lost_grants.as_ref().expect("the era is new");
    let hosts = record.hosts.iter();
    hosts.map(|life| life.host.to_string()).collect()
}

// The list of possible granters held the first ranks of each domain only, so that keys went to other
// servers while a granter of a lower rank, cut off from the store and the hosts, renewed holds.
fn names_the_granters_of_the_claimed_table() {
    let mut case = ClaimCase::new();
    case.read(assignment::AssignmentTable {
        former_granters: vec![incarnation("former")],
        ..table(60, "granter")
    });
    case.restore(table(40, "listed"));
    case.granter
        .note_possible_granters(vec![incarnation("listed")]);
    let named = possible_granters(&case.claim());
    assert_eq!(named, ["listed", "former", "granter"]);
}

// A host that had restarted claimed with the restored table while another knew a newer one, which all
// hosts then dropped: no hold was renewed, and who had granted by it could not be known any more.
fn takes_the_newer_table_of_another_host_before_it_claims() {
    let mut case = ClaimCase::new();
    case.restore(table(40, "granter"));
    let newest = table(60, "granter");
    case.granter
        .note_newest_elsewhere(Some(assignment::KnownTable {
            version: newest.version,
            term: newest.term,
        }));
    let wait_ms = granter::era::PROVISIONAL_CLAIM_DELAY_MS * 2;
    assert_eq!(case.claim_within(wait_ms), None);
    let now = fixtures::at(case.now_ms);
    let version = newest.version;
    assert!(case.granter.note_lost_table(newest));
    case.granter
        .note_followed_elsewhere(version, now, time::Duration::ZERO);
    let record = case.claim().lost_grants.expect("the era is new");
    assert_eq!(record.base.revision, 60);
    assert!(!record.is_provisional);
}

// Guards against a host that renews holds by a table that another host sent, however old that was.
fn does_not_renew_by_another_hosts_table_of_unknown_age() {
    let mut case = ClaimCase::new();
    case.read(table(40, "granter"));
    case.restore(table(30, "granter"));
    let delay_ms = granter::era::PROVISIONAL_CLAIM_DELAY_MS;
    assert_eq!(case.claim_within(delay_ms - TICK_MS), None);
    let record = case.claim().lost_grants.expect("the era is new");
    assert!(record.is_provisional);
}

// The same for one that the store sent: the host has followed the log.
fn renews_by_a_table_that_the_store_sent() {
    let mut case = ClaimCase::new();
    case.read(table(40, "granter"));
    let end = case.granter.log_end();
    case.granter.note_read(end, fixtures::at(case.now_ms));
    case.restore(table(30, "granter"));
    let record = case.claim().lost_grants.expect("the era is new");
    assert!(!record.is_provisional);
}

// The same for one that it sent long before the return, to a host that was then cut off.
fn does_not_renew_by_a_table_read_long_before_the_return() {
    let mut case = ClaimCase::new();
    case.read(table(40, "granter"));
    let end = case.granter.log_end();
    let sent_ms = RETURN_MS - granter::era::FOLLOWED_WITHIN_MS;
    case.granter.note_read(end, fixtures::at(sent_ms));
    case.restore(table(30, "granter"));
    let delay_ms = granter::era::PROVISIONAL_CLAIM_DELAY_MS;
    assert_eq!(case.claim_within(delay_ms - TICK_MS), None);
    let record = case.claim().lost_grants.expect("the era is new");
    assert!(record.is_provisional);
}

// The same for one that another host had read before this process began: its clock has no such time.
fn does_not_renew_by_a_table_read_before_the_process_began() {
    let mut case = ClaimCase::new();
    case.now_ms = granter::era::FOLLOWED_WITHIN_MS / 2;
    let known = table(40, "granter");
    let version = known.version;
    case.read(known);
    let asked = fixtures::at(case.now_ms);
    let age = time::Duration::from_millis(2 * granter::era::FOLLOWED_WITHIN_MS);
    case.granter.note_followed_elsewhere(version, asked, age);
    case.restore(table(30, "granter"));
    let record = case.claim().lost_grants.expect("the era is new");
    assert!(record.is_provisional);
}

// Guards against a service that stops for good where the only host that knows the newest table does not
// hand it out.
fn claims_without_the_newer_table_once_no_former_granter_can_order() {
    let mut case = ClaimCase::new();
    case.restore(table(40, "granter"));
    case.granter
        .note_newest_elsewhere(Some(assignment::KnownTable {
            version: table(60, "granter").version,
            term: 1,
        }));
    let wait_ms = granter::era::NEWER_TABLE_WAIT_MS;
    assert_eq!(case.claim_within(wait_ms - TICK_MS), None);
    let claim = case.claim_within(2 * TICK_MS).expect("the wait is over");
    let record = claim.lost_grants.expect("the era is new");
    assert!(record.is_provisional);
}

macro_rules! claim_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

claim_cases! {
    names_the_granters_of_the_claimed_table,
    takes_the_newer_table_of_another_host_before_it_claims,
    does_not_renew_by_another_hosts_table_of_unknown_age,
    renews_by_a_table_that_the_store_sent,
    does_not_renew_by_a_table_read_long_before_the_return,
    does_not_renew_by_a_table_read_before_the_process_began,
    claims_without_the_newer_table_once_no_former_granter_can_order,
}
