//! Tests the evacuation of failure domains: which records take effect, what the scheduler and the granter make
//! of them, and what a store that came back from an older copy changes.

use std::collections;
use std::net;
use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::ownership::granter;
use zinniastack::ownership::key_load;
use zinniastack::ownership::order;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::evacuation;
use zinniastack::serving::scheduler;
use zinniastack::serving::topic;
use zinniastack::serving::view;

const BOUND: time::Duration = time::Duration::from_secs(5);

fn north() -> names::DomainName {
    fixtures::name("north")
}

fn service() -> names::ServiceName {
    fixtures::name("stock")
}

// What a host knows of evacuations, whose copy of the operators' topic was complete at 0 ms.
fn known() -> evacuation::EvacuationState {
    let mut state = evacuation::EvacuationState::new().expect("the chart is valid");
    state.note_read();
    state.note_current(fixtures::at(0));
    state
}

fn note(state: &mut evacuation::EvacuationState, requested: bool, at: (u64, u64), now_ms: u64) {
    let record = evacuation::EvacuationRecord {
        domain: north(),
        is_requested: requested,
    };
    let position = topic::LogPosition::new(at.0, at.1);
    state.note_record(record, position, fixtures::at(now_ms));
}

fn keyed_until(state: &evacuation::EvacuationState) -> Option<clock::MonoTime> {
    state.domains().keyed_until(&north())
}

fn ignored(state: &mut evacuation::EvacuationState) -> Vec<evacuation::IgnoredCause> {
    let notices = state.take_notices().into_iter();
    let causes = notices.filter_map(|notice| match notice {
        evacuation::EvacuationNotice::Ignored(_, cause) => Some(cause),
        _ => None,
    });
    causes.collect()
}

// Guards against keyed requests that go on for the whole bound: the last ones would arrive after it.
fn sends_keyed_requests_for_a_fraction_of_the_bound() {
    let mut state = known();
    state.note_current(fixtures::at(9_900));
    note(&mut state, true, (1, 5), 10_000);
    assert_eq!(keyed_until(&state), Some(fixtures::at(12_000)));
}

// Guards against a host that reads a record long after the store acknowledged it and sends on as if it were new.
fn sends_fewer_keyed_requests_where_the_record_may_be_old() {
    let mut state = known();
    note(&mut state, true, (1, 5), 3_000);
    assert_eq!(keyed_until(&state), Some(fixtures::at(4_500)));
    let mut state = known();
    note(&mut state, true, (1, 5), 9_000);
    assert_eq!(keyed_until(&state), Some(fixtures::at(9_000)));
}

// Guards against a host that starts during an evacuation and sends keyed requests for some seconds.
fn sends_no_keyed_requests_where_the_record_was_found_at_the_start() {
    let mut state = evacuation::EvacuationState::new().expect("the chart is valid");
    state.note_current(fixtures::at(900));
    note(&mut state, true, (1, 5), 1_000);
    assert_eq!(keyed_until(&state), Some(fixtures::at(1_000)));
}

fn ignores_a_duplicate_and_counts_it_once() {
    let mut state = known();
    note(&mut state, true, (1, 5), 100);
    let until = keyed_until(&state);
    note(&mut state, true, (1, 6), 900);
    note(&mut state, true, (1, 6), 950);
    assert_eq!(keyed_until(&state), until);
    assert_eq!(ignored(&mut state), [evacuation::IgnoredCause::Duplicate]);
}

fn ignores_a_removal_without_a_request() {
    let mut state = known();
    note(&mut state, false, (1, 5), 100);
    assert!(state.domains().is_empty());
    let expected = [evacuation::IgnoredCause::NotRequested];
    assert_eq!(ignored(&mut state), expected);
}

fn notes_a_domain_that_nobody_names_once() {
    let mut state = known();
    note(&mut state, true, (1, 5), 100);
    state.check_names(|_| false);
    state.check_names(|_| false);
    let expected = [evacuation::IgnoredCause::UnknownDomain];
    assert_eq!(ignored(&mut state), expected);
}

// Guards against a domain that counts as unknown because all its servers have stopped after its evacuation.
fn notes_no_domain_that_was_named_before() {
    let mut state = known();
    note(&mut state, true, (1, 5), 100);
    state.check_names(|_| true);
    state.check_names(|_| false);
    assert!(ignored(&mut state).is_empty());
}

// Guards against an evacuation that ends because another host repeats an older statement.
fn keeps_the_statement_with_the_highest_position() {
    let mut state = known();
    note(&mut state, true, (1, 7), 100);
    let older = evacuation::EvacuationStatement {
        domain: north(),
        is_requested: false,
        position: topic::LogPosition::new(1, 6),
    };
    state.note_statements(vec![older], fixtures::at(200));
    assert!(state.domains().is_evacuated(&north()));
}

// Guards against a host that starts after the store has lost the request: no record tells it.
fn takes_a_request_that_the_store_has_lost_from_another_host() {
    let (mut from, mut to) = (known(), known());
    note(&mut from, true, (1, 7), 100);
    to.note_statements(from.statements(), fixtures::at(200));
    assert!(to.domains().is_evacuated(&north()));
    note(&mut to, false, (2, 3), 300);
    from.note_statements(to.statements(), fixtures::at(400));
    assert!(!from.domains().is_evacuated(&north()));
}

// Guards against requests that go to a domain whose evacuation the store holds: its removal is what was lost.
fn evacuates_again_where_the_store_has_lost_the_removal() {
    let mut state = known();
    note(&mut state, true, (1, 5), 100);
    note(&mut state, false, (1, 9), 200);
    note(&mut state, true, (2, 5), 300);
    assert!(state.domains().is_evacuated(&north()));
}

// Guards against servers of a domain that returns getting keys all at the same time.
fn admits_the_servers_of_a_returning_domain_one_after_the_other() {
    let mut state = known();
    note(&mut state, true, (1, 5), 100);
    note(&mut state, false, (1, 6), 1_000);
    let withheld = |now_ms: u64| {
        let servers = (0..100).filter(|number| {
            let server = fixtures::name(&format!("s{number}"));
            let now = fixtures::at(now_ms);
            state.domains().is_withheld(&north(), &server, now)
        });
        servers.count()
    };
    assert!(withheld(1_000) > 95);
    assert!((30..70).contains(&withheld(6_000)), "{}", withheld(6_000));
    assert_eq!(withheld(11_000), 0);
    state.expire(fixtures::at(11_000));
    assert!(state.domains().is_empty());
}

fn server(number: u16, domain: &str) -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name(&format!("s{number}")),
            born: 1,
        },
        service: service(),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8_000 + number)),
        domain: fixtures::name(domain),
        slots: 4,
        state: directory::ServerState::Ready,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

// A scheduler in the south with the server `s0` in the north, which holds all keys, and `s1` in the south.
fn evacuated_scheduler(domains: &[&str], until_ms: u64) -> scheduler::RequestScheduler {
    let records = [server(0, "north"), server(1, "south")];
    let holder = assignment::KeyHolder {
        life: records[0].life.clone(),
        address: records[0].address,
    };
    let range = assignment::RangeEntry {
        first: 0,
        last: assignment::MAX_KEY,
        fence: 1,
        holder,
        formers: Vec::new(),
    };
    let table = assignment::AssignmentTable {
        services: [(service(), vec![range])].into(),
        next_fence: 2,
        ..assignment::AssignmentTable::default()
    };
    let servers = records.map(|record| {
        let known = directory::KnownServer {
            record: sync::Arc::new(record),
            state_since: None,
            cold: cold::ColdTimes::new(),
        };
        (known.record.life.server.clone(), known)
    });
    let evacuated = domains.iter().map(|domain| fixtures::name(domain));
    let evacuated = evacuated.fold(
        evacuation::EvacuatedDomains::new(BOUND),
        |evacuated, domain| evacuated.with_evacuated(domain, fixtures::at(until_ms)),
    );
    let view = view::ServingView {
        servers: sync::Arc::new(servers.into()),
        table: sync::Arc::new(table),
        evacuated: sync::Arc::new(evacuated),
        ..view::ServingView::new()
    };
    let mut scheduler = scheduler::RequestScheduler::new(scheduler::SchedulerSettings {
        domain: fixtures::name("north"),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        drain: time::Duration::from_secs(2),
    });
    scheduler.sync(&sync::Arc::new(view));
    scheduler
}

fn send(
    scheduler: &mut scheduler::RequestScheduler,
    key: Option<u16>,
    now_ms: u64,
) -> Result<Option<String>, scheduler::SchedulerRefusal> {
    let request = scheduler::DispatchRequest {
        service: service(),
        key,
        priority: 1,
        objective: fixtures::at(now_ms + 500),
        deadline: fixtures::at(now_ms + 1_000),
        body_bytes: 0,
        is_retry: false,
        avoid: None,
    };
    scheduler.enqueue(request, fixtures::at(now_ms))?;
    let events = scheduler.dispatch_waiting(fixtures::at(now_ms));
    Ok(events.into_iter().find_map(|event| match event {
        scheduler::SchedulerEvent::Assigned(_, record) => Some(record.life.server.to_string()),
        scheduler::SchedulerEvent::GivenUp(..) => None,
    }))
}

// Guards against requests without a key that go to an evacuated domain as long as keyed ones do.
fn sends_unkeyed_requests_elsewhere_at_once() {
    let mut scheduler = evacuated_scheduler(&["north"], 2_000);
    for _ in 0..4 {
        assert_eq!(send(&mut scheduler, None, 0), Ok(Some("s1".to_owned())));
    }
}

fn sends_keyed_requests_to_the_holder_until_the_fraction_has_passed() {
    let mut scheduler = evacuated_scheduler(&["north"], 2_000);
    let sent = send(&mut scheduler, Some(7), 1_999);
    assert_eq!(sent, Ok(Some("s0".to_owned())));
    let refused = Err(scheduler::SchedulerRefusal::NoServer);
    assert_eq!(send(&mut scheduler, Some(7), 2_000), refused);
}

fn refuses_all_requests_where_the_last_domain_is_evacuated() {
    let mut scheduler = evacuated_scheduler(&["north", "south"], 2_000);
    let refused = Err(scheduler::SchedulerRefusal::NoServer);
    assert_eq!(send(&mut scheduler, None, 0), refused);
    assert_eq!(send(&mut scheduler, Some(7), 2_000), refused);
}

/// The interval between two ticks of the granter, in milliseconds.
const TICK_MS: u64 = 100;
/// The number of servers, which are in two domains in turn.
const SERVERS: u16 = 24;

/// A granter with a log that accepts every append, and servers that accept every order. The log outlives it.
struct GranterCase {
    granter: granter::KeyGranter,
    directory: directory::ServerDirectory,
    end: u64,
    now_ms: u64,
}

impl GranterCase {
    fn new() -> Self {
        let mut directory = directory::ServerDirectory::new();
        for number in 0..SERVERS {
            let domain = ["north", "south"][usize::from(number % 2)];
            directory.note(server(number, domain), fixtures::at(0));
        }
        let mut case = Self {
            granter: Self::granter("first"),
            directory,
            end: 0,
            now_ms: 1_000,
        };
        case.run(4_000);
        let load = |key| key_load::KeyLoad { key, busy: 0.05 };
        let loads: Vec<_> = (0..=u16::MAX).step_by(256).map(load).collect();
        for _ in 0..40 {
            case.granter.note_load(&service(), &loads);
        }
        case.run(4_000);
        case
    }

    fn granter(host: &str) -> granter::KeyGranter {
        let own = assignment::GranterIncarnation {
            host: fixtures::name(host),
            incarnation: 1,
            peers: ([10, 0, 0, 9], 7_200).into(),
        };
        granter::KeyGranter::new(own, time::Duration::from_secs(10)).expect("the charts are valid")
    }

    // Replaces the granter by one that has read the log.
    fn replace_granter(&mut self) {
        let table = self.granter.table().clone();
        self.granter = Self::granter("second");
        let end = topic::LogPosition::new(0, self.end);
        self.granter
            .note_table(Some(table), end, fixtures::at(self.now_ms));
    }

    fn evacuate(&mut self, domains: evacuation::EvacuatedDomains) {
        self.granter.note_evacuated(&sync::Arc::new(domains));
    }

    fn evacuated(&self, domains: &[&str]) -> evacuation::EvacuatedDomains {
        let until = fixtures::at(self.now_ms + 2_000);
        let empty = evacuation::EvacuatedDomains::new(BOUND);
        let domains = domains.iter().map(|domain| fixtures::name(domain));
        domains.fold(empty, |all, domain| all.with_evacuated(domain, until))
    }

    fn run(&mut self, span_ms: u64) {
        self.granter.note_candidate(true);
        for _ in 0..span_ms / TICK_MS {
            self.now_ms += TICK_MS;
            let now = fixtures::at(self.now_ms);
            self.granter.note_confirmed(now);
            if self.end == 0 {
                let end = topic::LogPosition::new(0, 0);
                self.granter.note_table(None, end, now);
            }
            for action in self.granter.tick(now, &[service()], &self.directory) {
                self.act(action, now);
            }
        }
    }

    fn act(&mut self, action: order::GranterAction, now: clock::MonoTime) {
        let done = order::OrderOutcome::Done(None);
        match action {
            order::GranterAction::Append { number, .. } => {
                self.end += 1;
                let (era, end) = (0, self.end);
                let outcome = order::AppendOutcome::Appended { era, end };
                self.granter.note_appended(number, outcome, now, now);
            }
            order::GranterAction::Grant(order) => {
                self.granter.note_granted(&order, &done, now);
            }
            order::GranterAction::Release(order) => {
                self.granter.note_released(&order, &done, now);
            }
            order::GranterAction::Fence(order) => {
                self.granter.note_fenced(&order, &done, now);
            }
            order::GranterAction::Confirm => {
                self.granter.note_confirmed(now);
                self.granter.note_confirmation_ended(true, now);
            }
            order::GranterAction::Yield => {}
        }
    }

    fn ranges(&self) -> &[assignment::RangeEntry] {
        &self.granter.table().services[&service()]
    }

    // The ranges that servers of a domain hold or have yet to release.
    fn ranges_in(&self, domain: &str) -> usize {
        let ranges = self.ranges().iter();
        let held = ranges.filter(|range| {
            let lives = range.formers.iter().chain([&range.holder]);
            let names = lives.map(|holder| &holder.life.server);
            let mut records = names.filter_map(|name| self.directory.find(name));
            records.any(|record| record.domain.as_str() == domain)
        });
        held.count()
    }

    fn holders(&self) -> collections::BTreeSet<names::ServerName> {
        let ranges = self.ranges().iter();
        ranges.map(|r| r.holder.life.server.clone()).collect()
    }
}

// Guards against ranges that leave so late that hosts refuse requests for their keys.
fn moves_all_ranges_before_keyed_requests_stop() {
    let mut case = GranterCase::new();
    assert!(case.ranges_in("north") >= usize::from(SERVERS / 2));
    case.evacuate(case.evacuated(&["north"]));
    case.run(1_800);
    assert_eq!(case.ranges_in("north"), 0);
}

// Guards against receivers that get all ranges of a domain at the same moment.
fn moves_ranges_in_steps() {
    let mut case = GranterCase::new();
    let before = case.ranges_in("north");
    case.evacuate(case.evacuated(&["north"]));
    case.run(TICK_MS);
    let ranges = case.ranges().iter();
    let moving = ranges.filter(|range| !range.formers.is_empty()).count();
    assert!((1..=before / 2).contains(&moving), "{moving} of {before}");
}

// Guards against a successor that takes ranges in an evacuated domain for settled.
fn a_successor_continues() {
    let mut case = GranterCase::new();
    let evacuated = case.evacuated(&["north"]);
    case.evacuate(evacuated.clone());
    case.run(300);
    assert!(case.ranges_in("north") > 0);
    case.replace_granter();
    case.evacuate(evacuated);
    case.run(2_500);
    assert_eq!(case.ranges_in("north"), 0);
}

// Guards against a granter that takes keys from their holders while no other server is left.
fn leaves_ranges_where_the_last_domain_is_evacuated() {
    let mut case = GranterCase::new();
    case.evacuate(case.evacuated(&["north"]));
    case.run(3_000);
    case.evacuate(case.evacuated(&["north", "south"]));
    case.run(3_000);
    assert_eq!(case.ranges_in("north"), 0);
    assert!(case.ranges_in("south") > 0);
    case.evacuate(case.evacuated(&["south"]));
    case.run(3_000);
    assert_eq!(case.ranges_in("south"), 0);
}

// Guards against a second load peak when an evacuation ends.
fn returns_keys_step_by_step() {
    let mut case = GranterCase::new();
    case.evacuate(case.evacuated(&["north"]));
    case.run(3_000);
    let since = fixtures::at(case.now_ms);
    let returning = evacuation::EvacuatedDomains::new(BOUND).with_returning(north(), since);
    case.evacuate(returning);
    case.run(1_000);
    let soon = case.holders().len();
    assert!(soon < usize::from(SERVERS) * 3 / 4, "{soon}");
    case.run(12_000);
    assert_eq!(case.holders().len(), usize::from(SERVERS));
}

macro_rules! evacuation_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

evacuation_cases! {
    sends_keyed_requests_for_a_fraction_of_the_bound,
    sends_fewer_keyed_requests_where_the_record_may_be_old,
    sends_no_keyed_requests_where_the_record_was_found_at_the_start,
    ignores_a_duplicate_and_counts_it_once,
    ignores_a_removal_without_a_request,
    notes_a_domain_that_nobody_names_once,
    notes_no_domain_that_was_named_before,
    keeps_the_statement_with_the_highest_position,
    takes_a_request_that_the_store_has_lost_from_another_host,
    evacuates_again_where_the_store_has_lost_the_removal,
    admits_the_servers_of_a_returning_domain_one_after_the_other,
    sends_unkeyed_requests_elsewhere_at_once,
    sends_keyed_requests_to_the_holder_until_the_fraction_has_passed,
    refuses_all_requests_where_the_last_domain_is_evacuated,
    moves_all_ranges_before_keyed_requests_stop,
    moves_ranges_in_steps,
    a_successor_continues,
    leaves_ranges_where_the_last_domain_is_evacuated,
    returns_keys_step_by_step,
}
