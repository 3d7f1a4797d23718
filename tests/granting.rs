//! Tests a single granter: its orders after a claim, and when it yields the granter role.

use std::collections;
use std::net;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::ownership::election;
use zinniastack::ownership::former_granters;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::serving::directory;
use zinniastack::serving::topic;

/// Interval between two ticks of the granter, in milliseconds.
const TICK_MS: u64 = 100;

fn service() -> names::ServiceName {
    fixtures::name("stock")
}

fn granter_incarnation(host: &str, incarnation: u64) -> assignment::GranterIncarnation {
    assignment::GranterIncarnation {
        host: fixtures::name(host),
        incarnation,
        peers: ([10, 0, 0, 9], 7_200).into(),
    }
}

fn address(number: u16) -> net::SocketAddr {
    ([10, 0, 0, 1], 8_000 + number).into()
}

fn server_incarnation(number: u16) -> assignment::ServerIncarnation {
    assignment::ServerIncarnation {
        server: fixtures::name(&format!("s{number}")),
        born: 1,
    }
}

fn record(number: u16) -> directory::ServerRecord {
    directory::ServerRecord {
        life: server_incarnation(number),
        service: service(),
        address: address(number),
        domain: fixtures::name("north"),
        slots: 4,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

/// A granter with a log that accepts every append, and servers of which some are unresponsive.
struct GranterCase {
    granter: granter::KeyGranter,
    directory: directory::ServerDirectory,
    unresponsive: collections::BTreeSet<net::SocketAddr>,
    end: u64,
    now_ms: u64,
    yields: u32,
    // The servers that accepted a grant of key 0, each with the time in milliseconds.
    first_key: Vec<(String, u64)>,
    // The servers that released key 0, each with the time in milliseconds.
    released: Vec<(String, u64)>,
}

impl GranterCase {
    fn new(servers: u16) -> Self {
        let own = granter_incarnation("own", 9);
        let granter = granter::KeyGranter::new(own, time::Duration::from_secs(10));
        let mut directory = directory::ServerDirectory::new();
        for number in 0..servers {
            directory.note(record(number), fixtures::at(0));
        }
        Self {
            granter: granter.expect("the charts are valid"),
            directory,
            unresponsive: collections::BTreeSet::new(),
            end: 0,
            now_ms: 1_000,
            yields: 0,
            first_key: Vec::new(),
            released: Vec::new(),
        }
    }

    fn position(&self) -> topic::LogPosition {
        topic::LogPosition {
            era: 0,
            offset: self.end,
        }
    }

    // Appends `table` to the log as its newest.
    fn read(&mut self, table: assignment::AssignmentTable) {
        self.end += 1;
        let now = fixtures::at(self.now_ms);
        let end = self.position();
        self.granter.note_table(Some(table), end, now);
    }

    fn run(&mut self, span_ms: u64) {
        self.granter.note_candidate(true);
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let now = fixtures::at(self.now_ms);
            self.granter.note_confirmed(now);
            if self.end == 0 {
                self.granter.note_table(None, self.position(), now);
            }
            let actions = self.granter.tick(now, &[service()], &self.directory);
            for action in actions {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: order::GranterAction) {
        let now = fixtures::at(self.now_ms);
        match action {
            order::GranterAction::Append { number, at, .. } => {
                assert_eq!(at, self.end, "the append is not at the end of the log");
                self.end += 1;
                let outcome = order::AppendOutcome::Appended {
                    era: 0,
                    end: self.end,
                };
                self.granter.note_appended(number, outcome, now, now);
            }
            order::GranterAction::Grant(order) => {
                let outcome = self.outcome_of(&order.address);
                if order.range.first == 0 && outcome == order::OrderOutcome::Done(None) {
                    let server = order.life.server.to_string();
                    self.first_key.push((server, self.now_ms));
                }
                self.granter.note_granted(&order, &outcome, now);
            }
            order::GranterAction::Release(order) => {
                let outcome = self.outcome_of(&order.address);
                if order.range.first == 0 && outcome == order::OrderOutcome::Done(None) {
                    let server = order.life.server.to_string();
                    self.released.push((server, self.now_ms));
                }
                self.granter.note_released(&order, &outcome, now);
            }
            order::GranterAction::Fence(order) => {
                let outcome = self.outcome_of(&order.address);
                self.granter.note_fenced(&order, &outcome, now);
            }
            order::GranterAction::Confirm => {
                self.granter.note_confirmed(now);
                self.granter.note_confirmation_ended(true, now);
            }
            order::GranterAction::Yield => self.yields += 1,
        }
    }

    // Runs the granter until it returns an append, which gets no answer; carries out its orders.
    fn next_append(&mut self) -> (u64, assignment::AssignmentTable, u64) {
        for _ in 0..100 {
            self.now_ms += TICK_MS;
            let now = fixtures::at(self.now_ms);
            let actions = self.granter.tick(now, &[service()], &self.directory);
            let mut append = None;
            for action in actions {
                match action {
                    order::GranterAction::Append { number, table, at } => {
                        append = Some((number, table, at));
                    }
                    other => self.act(other),
                }
            }
            if let Some(append) = append {
                return append;
            }
        }
        panic!("no append within 100 ticks");
    }

    fn outcome_of(&self, address: &net::SocketAddr) -> order::OrderOutcome {
        if self.unresponsive.contains(address) {
            return order::OrderOutcome::Unsent;
        }
        order::OrderOutcome::Done(None)
    }

    // Time from `from_ms` until a server other than `s0` accepted key 0, in milliseconds.
    fn first_key_moved(&self, from_ms: u64) -> Option<u64> {
        let moved = self.first_key.iter().find(|(server, _)| server != "s0");
        moved.map(|(_, taken_ms)| taken_ms - from_ms)
    }
}

// An assignment table of another granter, in which an unresponsive server holds all keys.
fn claim_with_an_unresponsive_holder() -> GranterCase {
    let mut case = GranterCase::new(3);
    case.unresponsive.insert(address(0));
    case.read(table_of_one_holder(Some(granter_incarnation("former", 1))));
    case
}

// A table in which the first server holds all keys under the fence 1.
fn table_of_one_holder(
    granter: Option<assignment::GranterIncarnation>,
) -> assignment::AssignmentTable {
    let range = assignment::RangeEntry {
        first: 0,
        last: assignment::MAX_KEY,
        fence: 1,
        holder: assignment::KeyHolder {
            life: server_incarnation(0),
            address: address(0),
        },
        formers: Vec::new(),
    };
    assignment::AssignmentTable {
        term: 1,
        granter,
        longest_hold_millis: granter::GRANT_HOLD_MS,
        next_fence: 2,
        services: [(service(), vec![range])].into(),
        ..assignment::AssignmentTable::default()
    }
}

// The fences under which the first server holds keys once others have got some of them.
fn fences_after_a_split(former: Option<assignment::GranterIncarnation>) -> Vec<u64> {
    let mut case = GranterCase::new(3);
    case.read(table_of_one_holder(former));
    case.run(2_000);
    let ranges = &case.granter.table().services[&service()];
    assert!(ranges.len() > 1, "no keys have moved");
    let kept = ranges.iter();
    let kept = kept.filter(|range| range.holder.life == server_incarnation(0));
    kept.map(|range| range.fence).collect()
}

// A former granter took a part of a range, which its successor had left with the server, for the whole.
fn raises_the_fence_of_a_split_range_while_a_former_granter_may_order() {
    let fences = fences_after_a_split(Some(granter_incarnation("former", 1)));
    assert!(fences.iter().all(|fence| *fence > 1), "{fences:?}");
}

fn keeps_the_fence_of_a_split_range_without_a_former_granter() {
    assert!(fences_after_a_split(None).contains(&1));
}

fn waits_for_the_right_of_a_granter_that_is_silent() {
    let mut case = claim_with_an_unresponsive_holder();
    case.run(20_000);
    let moved = case.first_key_moved(1_000).expect("the keys move");
    assert!(moved > 14_000, "{moved} ms");
}

// Seen in trouble-3 at Coastline: all hosts were killed and restarted, and keys of servers that had
// ended waited as long as a granter may send orders unconfirmed, although the process of that
// granter no longer existed.
fn moves_keys_soon_where_the_former_granter_runs_another_process() {
    let mut case = claim_with_an_unresponsive_holder();
    case.run(500);
    assert!(case.granter.is_granting());
    let response = former_granters::HostResponse {
        life: granter_incarnation("former", 2),
        term: 0,
        granted: assignment::TableVersion::default(),
        asked: fixtures::at(case.now_ms),
        uptime: time::Duration::ZERO,
    };
    case.now_ms += 100;
    case.granter
        .note_host_response(&response, fixtures::at(case.now_ms));
    case.run(20_000);
    let moved = case.first_key_moved(1_000).expect("the keys move");
    assert!(moved < 4_500, "{moved} ms");
}

fn forgets_former_granters_once_their_orders_have_arrived() {
    let mut case = claim_with_an_unresponsive_holder();
    case.run(20_000);
    assert!(case.granter.table().former_granters.is_empty());
}

fn gives_the_duty_away_when_most_servers_are_silent() {
    let mut case = GranterCase::new(8);
    case.run(4_000);
    case.unresponsive = (0..5).map(address).collect();
    case.run(2_000);
    assert!(case.yields > 0);
}

// Guards against a host that takes the role back which it has just yielded: a join sent before that is
// answered after it.
fn stays_out_when_a_join_is_answered_after_a_yield() {
    let mut case = GranterCase::new(8);
    case.run(4_000);
    case.unresponsive = (0..5).map(address).collect();
    while case.yields == 0 && case.now_ms < 10_000 {
        case.run(TICK_MS);
    }
    assert!(case.yields > 0 && !case.granter.is_granting());
    let sent = fixtures::at(case.now_ms - TICK_MS);
    case.granter.note_candidate(false);
    case.granter.note_joined(true, sent);
    for _ in 0..20 {
        case.now_ms += TICK_MS;
        let now = fixtures::at(case.now_ms);
        let actions = case.granter.tick(now, &[service()], &case.directory);
        assert_eq!(actions, []);
    }
    case.granter.note_joined(true, fixtures::at(case.now_ms));
    case.next_append();
}

// Seen in trouble-3 at Coastline, at 32.7 s: six servers had ended while the store was down, and
// when four more were cut off, a healthy granter yielded its role twice.
fn keeps_the_duty_when_servers_fall_silent_at_two_times() {
    let mut case = GranterCase::new(8);
    case.run(4_000);
    case.unresponsive = (0..3).map(address).collect();
    case.run(4_000);
    case.unresponsive = (0..5).map(address).collect();
    case.run(20_000);
    assert_eq!(case.yields, 0);
}

// A read showed an append before its own response came; the response was taken for the one of the
// next append, so that the granter ordered by a table that was not in the log.
fn orders_by_the_log_when_an_append_is_read_before_its_response() {
    let mut case = GranterCase::new(3);
    case.run(4_000);
    case.directory.note(record(3), fixtures::at(0));
    let (number, first, at) = case.next_append();
    case.read(first.clone());
    case.directory.note(record(4), fixtures::at(0));
    let (_, second, _) = case.next_append();
    assert_ne!(first, second);
    let now = fixtures::at(case.now_ms);
    let late = order::AppendOutcome::Appended {
        era: 0,
        end: at + 1,
    };
    case.granter.note_appended(number, late, now, now);
    assert_eq!(*case.granter.table(), first);
}

// The response to an append of an earlier term was taken for the one of a claim, so that a host
// granted without a claim in the log.
fn claims_only_by_the_response_to_its_claim() {
    let mut case = GranterCase::new(3);
    case.run(4_000);
    case.directory.note(record(3), fixtures::at(0));
    let (number, appended, at) = case.next_append();
    case.end += 1;
    case.read(assignment::AssignmentTable {
        term: appended.term + 1,
        granter: Some(granter_incarnation("other", 1)),
        ..appended
    });
    assert!(!case.granter.is_granting());
    case.next_append();
    let now = fixtures::at(case.now_ms);
    let late = order::AppendOutcome::Appended {
        era: 0,
        end: at + 1,
    };
    case.granter.note_appended(number, late, now, now);
    assert!(!case.granter.is_granting());
}

// An append that a read showed counted as sent when it was sent last, so that a granter that was cut
// off went on sending orders for longer than its successor waits.
fn counts_its_right_from_the_first_sending_of_an_append() {
    let mut case = GranterCase::new(3);
    case.run(4_000);
    case.directory.note(record(3), fixtures::at(0));
    let (_, planned, _) = case.next_append();
    let sent_ms = case.now_ms;
    case.next_append();
    assert!(case.now_ms > sent_ms, "the append is sent again");
    case.read(planned);
    case.now_ms = sent_ms + election::MAX_UNCONFIRMED_MS + TICK_MS;
    let now = fixtures::at(case.now_ms);
    case.granter.tick(now, &[service()], &case.directory);
    assert!(!case.granter.is_granting());
}

// A server that had restarted at its address accepted an order for its earlier incarnation, which
// names only the server, and its keys went to another server without a release.
fn releases_the_keys_of_a_restarted_server_before_they_move() {
    let mut case = GranterCase::new(2);
    case.run(4_000);
    let (first, _) = case.first_key.last().expect("key 0 is held").clone();
    let number = u16::from(first == "s1");
    let restarted = assignment::ServerIncarnation {
        born: 2,
        ..server_incarnation(number)
    };
    let restarted = directory::ServerRecord {
        life: restarted,
        state: directory::ServerState::Draining,
        ..record(number)
    };
    case.directory.note(restarted, fixtures::at(4_000));
    case.run(1_000);
    let moved = case.first_key.iter().find(|(server, _)| *server != first);
    let (_, moved_ms) = moved.expect("the keys move");
    let released = case.released.iter().find(|(server, _)| *server == first);
    let (_, released_ms) = released.expect("the restarted server releases the keys");
    assert!(released_ms <= moved_ms);
}

macro_rules! granter_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

granter_cases! {
    raises_the_fence_of_a_split_range_while_a_former_granter_may_order,
    keeps_the_fence_of_a_split_range_without_a_former_granter,
    waits_for_the_right_of_a_granter_that_is_silent,
    moves_keys_soon_where_the_former_granter_runs_another_process,
    forgets_former_granters_once_their_orders_have_arrived,
    gives_the_duty_away_when_most_servers_are_silent,
    stays_out_when_a_join_is_answered_after_a_yield,
    keeps_the_duty_when_servers_fall_silent_at_two_times,
    orders_by_the_log_when_an_append_is_read_before_its_response,
    claims_only_by_the_response_to_its_claim,
    releases_the_keys_of_a_restarted_server_before_they_move,
    counts_its_right_from_the_first_sending_of_an_append,
}
