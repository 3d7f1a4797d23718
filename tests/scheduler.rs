//! Tests the request scheduler of a traffic thread: choice of server, queueing, early refusal under
//! overload, and requests for keys that move.

use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
use zinniastack::edge::router::control::store;
use zinniastack::ownership::assignment;
use zinniastack::serving::ages;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::estimate;
use zinniastack::serving::scheduler;
use zinniastack::serving::view;

const SLOTS: u32 = 4;

fn settings() -> scheduler::SchedulerSettings {
    scheduler::SchedulerSettings {
        domain: fixtures::name("north"),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        drain: time::Duration::from_secs(2),
    }
}

fn record(server: &str, domain: &str, state: directory::ServerState) -> directory::ServerRecord {
    directory::ServerRecord {
        life: assignment::ServerIncarnation {
            server: fixtures::name(server),
            born: 1,
        },
        service: fixtures::name("orders"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: fixtures::name(domain),
        slots: SLOTS,
        state,
        sequence: 1,
        cold_remaining: Some(time::Duration::ZERO),
    }
}

// A server that the host has known in its state since `since`, or found in it.
fn known(
    record: directory::ServerRecord,
    since: Option<clock::MonoTime>,
) -> directory::KnownServer {
    directory::KnownServer {
        record: sync::Arc::new(record),
        state_since: since,
        cold: cold::ColdTimes::new(),
    }
}

/// A scheduler with the serving view it works on.
struct SchedulerCase {
    scheduler: scheduler::RequestScheduler,
    view: view::ServingView,
}

impl SchedulerCase {
    fn new(servers: &[(&str, &str)]) -> Self {
        let records = servers.iter().map(|(server, domain)| {
            let record = record(server, domain, directory::ServerState::Ready);
            (fixtures::name(server), known(record, None))
        });
        let view = view::ServingView {
            servers: sync::Arc::new(records.collect()),
            ..view::ServingView::new()
        };
        let mut case = Self {
            scheduler: scheduler::RequestScheduler::new(settings()),
            view,
        };
        case.sync();
        case
    }

    fn sync(&mut self) {
        self.scheduler.sync(&sync::Arc::new(self.view.clone()));
    }

    // Applies a view in which the server `near` drains since `since`.
    fn note_drain(&mut self, since: Option<clock::MonoTime>) {
        let draining = record("near", "north", directory::ServerState::Draining);
        let servers = [(fixtures::name("near"), known(draining, since))];
        self.view.servers = sync::Arc::new(servers.into());
        self.sync();
    }

    fn request(priority: u32, deadline_ms: u64) -> scheduler::DispatchRequest {
        scheduler::DispatchRequest {
            service: fixtures::name("orders"),
            key: None,
            priority,
            objective: fixtures::at(300),
            deadline: fixtures::at(deadline_ms),
            body_bytes: 0,
            is_retry: false,
            avoid: None,
        }
    }

    // Enqueues one request and returns the server that it was assigned to, if any.
    fn send(
        &mut self,
        request: scheduler::DispatchRequest,
        now: clock::MonoTime,
    ) -> Option<String> {
        self.scheduler.enqueue(request, now).ok()?;
        self.scheduler
            .dispatch_waiting(now)
            .into_iter()
            .find_map(|event| match event {
                scheduler::SchedulerEvent::Assigned(_, record) => {
                    Some(record.life.server.to_string())
                }
                scheduler::SchedulerEvent::GivenUp(..) => None,
            })
    }

    fn finish(&mut self, server: &str, end: estimate::ExchangeEnd, millis: u64) {
        let incarnation = assignment::ServerIncarnation {
            server: fixtures::name(server),
            born: 1,
        };
        self.scheduler.finish(
            &incarnation,
            end,
            time::Duration::from_millis(millis),
            fixtures::at(0),
        );
    }

    fn fill(&mut self) -> usize {
        let mut sent = 0;
        while self
            .send(Self::request(1, 1_000), fixtures::at(0))
            .is_some()
        {
            sent += 1;
        }
        sent
    }
}

fn prefers_its_own_domain() {
    let mut case = SchedulerCase::new(&[("far", "south"), ("near", "north")]);
    assert_eq!(
        case.send(SchedulerCase::request(1, 1_000), fixtures::at(0))
            .as_deref(),
        Some("near")
    );
}

fn uses_another_domain_when_its_own_is_full() {
    let mut case = SchedulerCase::new(&[("far", "south"), ("near", "north")]);
    case.fill();
    let events = case.scheduler.dispatch_waiting(fixtures::at(50));
    let far = events.iter().any(|event| {
        matches!(event, scheduler::SchedulerEvent::Assigned(_, record) if record.life.server.as_str() == "far")
    });
    assert!(far, "{events:?}");
}

fn keeps_to_the_room_of_a_server() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    let sent = case.fill();
    let sent = u32::try_from(sent).expect("a small number");
    assert!(
        f64::from(sent) <= f64::from(SLOTS) * scheduler::REQUESTS_PER_SLOT,
        "{sent} requests"
    );
}

fn leaves_the_others_their_share() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    let demand = [(fixtures::name("near"), 40.0)].into_iter().collect();
    case.view.demand = sync::Arc::new(demand);
    case.sync();
    assert_eq!(case.fill(), 1);
}

// Guards against status updates that name every server of a service for each waiting request, so that
// under overload the updates of many hosts fill their links.
fn reports_waiting_requests_of_a_pool_by_service() {
    let servers: Vec<_> = (0..100).map(|number| format!("s{number}")).collect();
    let servers: Vec<_> = servers.iter().map(|s| (s.as_str(), "south")).collect();
    let mut case = SchedulerCase::new(&[&servers[..], &[("near", "north")]].concat());
    let sent = case.fill();
    let demand = case.scheduler.demand();
    let running = [(
        fixtures::name("near"),
        f64::from(u32::try_from(sent).expect("a small number")),
    )];
    assert_eq!(demand.servers, running.into());
    assert_eq!(demand.pool_waiting, [(fixtures::name("orders"), 1)].into());
}

fn sends_nothing_to_a_server_that_drains() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.note_drain(Some(fixtures::at(10)));
    let refused = case
        .scheduler
        .enqueue(SchedulerCase::request(1, 1_000), fixtures::at(10));
    assert_eq!(refused, Err(scheduler::SchedulerRefusal::NoServer));
}

// Seen in scale-1 at EMOV, seed 384130632242: new requests went to a removed server as long as
// earlier requests still ran there.
fn sends_nothing_to_a_removed_server_at_which_requests_run() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    assert!(
        case.send(SchedulerCase::request(1, 1_000), fixtures::at(0))
            .is_some()
    );
    case.view.servers = sync::Arc::default();
    case.sync();
    let refused = case
        .scheduler
        .enqueue(SchedulerCase::request(1, 1_000), fixtures::at(10));
    assert_eq!(refused, Err(scheduler::SchedulerRefusal::NoServer));
}

fn refuses_at_once_what_would_wait_past_its_objective() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.fill();
    let mut last = Ok(());
    for _ in 0..100 {
        last = case
            .scheduler
            .enqueue(SchedulerCase::request(1, 1_000), fixtures::at(0))
            .map(drop);
        if last.is_err() {
            break;
        }
    }
    assert_eq!(last, Err(scheduler::SchedulerRefusal::Crowded));
}

fn serves_urgent_work_first() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.fill();
    let later = case
        .scheduler
        .enqueue(SchedulerCase::request(2, 1_000), fixtures::at(0))
        .expect("the request is queued");
    let urgent = case
        .scheduler
        .enqueue(SchedulerCase::request(0, 1_000), fixtures::at(1))
        .expect("the request is queued");
    case.finish("near", estimate::ExchangeEnd::Answered, 100);
    let events = case.scheduler.dispatch_waiting(fixtures::at(2));
    let first = events.iter().find_map(|event| match event {
        scheduler::SchedulerEvent::Assigned(ticket, _) => Some(*ticket),
        scheduler::SchedulerEvent::GivenUp(..) => None,
    });
    assert_eq!(first, Some(urgent), "{later:?} was sent first");
}

fn gives_up_what_cannot_end_in_time() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.fill();
    case.scheduler
        .enqueue(SchedulerCase::request(1, 400), fixtures::at(0))
        .expect("the request is queued");
    let events = case.scheduler.dispatch_waiting(fixtures::at(380));
    let late = events.iter().any(|event| {
        matches!(
            event,
            scheduler::SchedulerEvent::GivenUp(_, scheduler::SchedulerRefusal::TooLate)
        )
    });
    assert!(late, "{events:?}");
}

fn avoids_a_server_that_fails() {
    let mut case = SchedulerCase::new(&[("grey", "north"), ("sound", "north")]);
    for _ in 0..20 {
        case.finish("grey", estimate::ExchangeEnd::Failed, 10);
        case.finish("sound", estimate::ExchangeEnd::Answered, 100);
    }
    assert_eq!(
        case.send(SchedulerCase::request(1, 1_000), fixtures::at(0))
            .as_deref(),
        Some("sound")
    );
}

fn pauses_a_server_that_cannot_be_reached() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.finish("near", estimate::ExchangeEnd::Unsent, 300);
    let refused = case
        .scheduler
        .enqueue(SchedulerCase::request(1, 1_000), fixtures::at(1));
    assert_eq!(refused, Err(scheduler::SchedulerRefusal::NoServer));
    let back = fixtures::at(estimate::CONNECT_BACKOFF_MS + 1);
    assert!(
        case.scheduler
            .enqueue(SchedulerCase::request(1, 1_000), back)
            .is_ok()
    );
}

fn repeats_within_its_part_of_the_budget() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    let mut retry = SchedulerCase::request(1, 1_000);
    retry.is_retry = true;
    let taken = (0..100)
        .filter(|_| {
            case.scheduler
                .enqueue(retry.clone(), fixtures::at(0))
                .is_ok()
        })
        .count();
    let taken = u32::try_from(taken).expect("a small number");
    assert!(
        f64::from(taken) <= 10.0 * scheduler::RETRY_BUDGET_FRACTION,
        "{taken} retries were accepted"
    );
}

// Fills a server, and lets `waiting` more requests of long objectives wait for it.
fn wait_at_a_full_server(waiting: usize) -> SchedulerCase {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.fill();
    for _ in 0..waiting {
        let mut request = SchedulerCase::request(1, 20_000);
        request.objective = fixtures::at(10_000);
        let queued = case.scheduler.enqueue(request, fixtures::at(0));
        queued.expect("the request is queued");
    }
    case
}

fn count_stopping(events: &[scheduler::SchedulerEvent]) -> usize {
    let stopping = scheduler::SchedulerRefusal::Stopping;
    let refused = events.iter().filter(|event| {
        matches!(event, scheduler::SchedulerEvent::GivenUp(_, refusal) if *refusal == stopping)
    });
    refused.count()
}

// Guards against requests that wait for a server although the host ends before it could respond. Those
// whose turn comes in time stay, and the others are refused at once.
fn refuses_at_once_what_waits_past_the_end_of_the_host() {
    const WAITING: usize = 40;
    let mut case = wait_at_a_full_server(WAITING);
    let events = case.scheduler.end_by(fixtures::at(600), fixtures::at(0));
    let refused = count_stopping(&events);
    assert_eq!(refused, events.len(), "{events:?}");
    assert!((1..WAITING).contains(&refused), "{refused} were refused");
    let again = case.scheduler.end_by(fixtures::at(600), fixtures::at(1));
    assert_eq!(again.len(), 0, "{again:?}");
}

// Guards against requests that stay in the queue, because servers take longer than expected, until the
// host ends.
fn refuses_what_has_waited_until_the_end_of_the_host() {
    let mut case = wait_at_a_full_server(3);
    let events = case.scheduler.end_by(fixtures::at(5_000), fixtures::at(0));
    assert_eq!(events.len(), 0, "{events:?}");
    let events = case.scheduler.dispatch_waiting(fixtures::at(4_000));
    assert_eq!(count_stopping(&events), 0, "{events:?}");
    let events = case.scheduler.dispatch_waiting(fixtures::at(4_900));
    assert!(count_stopping(&events) > 0, "{events:?}");
    assert!(!case.scheduler.has_waiting());
}

// Guards against a new request or a retry that a stopping host takes and cannot complete.
fn takes_no_request_that_ends_after_the_host() {
    let mut case = SchedulerCase::new(&[("near", "north")]);
    case.scheduler.end_by(fixtures::at(500), fixtures::at(0));
    let mut request = SchedulerCase::request(1, 20_000);
    request.objective = fixtures::at(10_000);
    let early = case.scheduler.enqueue(request.clone(), fixtures::at(0));
    assert!(early.is_ok());
    let late = case.scheduler.enqueue(request.clone(), fixtures::at(400));
    assert_eq!(late, Err(scheduler::SchedulerRefusal::Stopping));
    request.is_retry = true;
    let retried = case.scheduler.enqueue(request, fixtures::at(400));
    assert!(retried.is_ok(), "a retry is refused when it is dispatched");
    let events = case.scheduler.dispatch_waiting(fixtures::at(400));
    assert!(count_stopping(&events) > 0, "{events:?}");
    assert!(!case.scheduler.has_waiting());
}

// Guards against a request for a key that moves and that waits until the host ends.
fn refuses_requests_for_a_moving_key_before_the_host_ends() {
    let mut moving = MoveCase::new();
    moving.note_move(Some(2), fixtures::at(0));
    assert_eq!(moving.enqueue(fixtures::at(0)), Ok(()));
    let scheduler = &mut moving.case.scheduler;
    assert_eq!(
        scheduler.end_by(fixtures::at(400), fixtures::at(0)).len(),
        0
    );
    let events = scheduler.dispatch_waiting(fixtures::at(300));
    assert_eq!(count_stopping(&events), 1, "{events:?}");
}

// A scheduler with one server that holds all keys; `note_move` starts and ends a move of them.
struct MoveCase {
    case: SchedulerCase,
    range: assignment::RangeEntry,
}

impl MoveCase {
    fn new() -> Self {
        let holder = assignment::KeyHolder {
            life: assignment::ServerIncarnation {
                server: fixtures::name("near"),
                born: 1,
            },
            address: ([10, 0, 0, 1], 80).into(),
        };
        let range = assignment::RangeEntry {
            first: 0,
            last: assignment::MAX_KEY,
            fence: 1,
            holder,
            formers: Vec::new(),
        };
        Self {
            case: SchedulerCase::new(&[("near", "north")]),
            range,
        }
    }

    // Starts a move under `fence`; `None` ends the move.
    fn note_move(&mut self, fence: Option<u64>, now: clock::MonoTime) {
        self.range.fence = fence.unwrap_or(self.range.fence);
        let former = self.range.holder.clone();
        self.range.formers = fence.map(|_| former).into_iter().collect();
        let mut table = assignment::AssignmentTable::default();
        table
            .services
            .insert(fixtures::name("orders"), vec![self.range.clone()]);
        let ages = self.case.view.ages.with_table(&table, now);
        self.case.view.ages = sync::Arc::new(ages);
        self.case.view.table = sync::Arc::new(table);
        self.case.sync();
    }

    fn request(now: clock::MonoTime) -> scheduler::DispatchRequest {
        scheduler::DispatchRequest {
            key: Some(7),
            objective: now + time::Duration::from_millis(300),
            deadline: now + time::Duration::from_millis(1_200),
            ..SchedulerCase::request(1, 0)
        }
    }

    fn enqueue(&mut self, now: clock::MonoTime) -> Result<(), scheduler::SchedulerRefusal> {
        self.case
            .scheduler
            .enqueue(Self::request(now), now)
            .map(drop)
    }
}

fn holds_requests_for_a_key_that_moves() {
    let mut moving = MoveCase::new();
    moving.note_move(Some(2), fixtures::at(0));
    let sent = moving
        .case
        .send(MoveCase::request(fixtures::at(0)), fixtures::at(0));
    assert_eq!(sent, None, "a request was sent while its key was moving");
    moving.note_move(None, fixtures::at(50));
    assert_eq!(
        moving
            .case
            .scheduler
            .dispatch_waiting(fixtures::at(50))
            .len(),
        1,
        "the request was not sent to the new holder"
    );
}

// A draining server gets requests for the keys that it still holds, but only during
// `DRAIN_FRACTION` of its drain time, so that the last of them ends before the server stops.
fn sends_keys_to_a_leaving_server_for_a_part_of_its_time() {
    let mut moving = MoveCase::new();
    moving.note_move(None, fixtures::at(0));
    moving.case.note_drain(Some(fixtures::at(100)));
    let end = fixtures::at(100) + settings().drain.mul_f64(scheduler::DRAIN_FRACTION);
    assert_eq!(moving.enqueue(fixtures::at(200)), Ok(()));
    assert_eq!(
        moving.enqueue(end),
        Err(scheduler::SchedulerRefusal::NoServer)
    );
}

// Guards against a drain time that counts from the first request after it: a thread without requests
// applies a view only when the next one comes.
fn counts_a_servers_drain_time_while_no_request_comes() {
    let mut moving = MoveCase::new();
    moving.note_move(None, fixtures::at(0));
    let since = fixtures::at(100);
    let end = since + settings().drain.mul_f64(scheduler::DRAIN_FRACTION);
    // This is the first view that the scheduler gets since the drain began.
    moving.case.note_drain(Some(since));
    assert_eq!(
        moving.enqueue(end),
        Err(scheduler::SchedulerRefusal::NoServer)
    );
}

// Guards against a host that has just started and sends to a server that has drained for longer than the
// host knows.
fn sends_no_keys_to_a_server_that_was_found_draining() {
    let mut moving = MoveCase::new();
    moving.note_move(None, fixtures::at(0));
    moving.case.note_drain(None);
    assert_eq!(
        moving.enqueue(fixtures::at(1)),
        Err(scheduler::SchedulerRefusal::NoServer)
    );
}

// Seen in deploy/days/granter, seed 752073468619, with a drain time of 1 s: a host that read the
// draining entry after 400 ms sent a request to the server 1,003 ms after it had announced its
// drain.
fn sends_nothing_at_the_end_of_a_servers_time_however_short() {
    for drain_ms in [200, 500, 1_000, 2_000, 10_000] {
        let drain = time::Duration::from_millis(drain_ms);
        let read = store::servers_pause(drain);
        let last = read + drain.mul_f64(scheduler::DRAIN_FRACTION);
        assert!(last <= drain.mul_f64(0.8), "{drain_ms}: {last:?}");
    }
}

// Seen in trouble-3 at Coastline: a move took seconds when its former holder had ended, and
// requests for the moving keys were held until shortly before their deadlines.
fn refuses_at_once_for_a_key_whose_move_takes_too_long() {
    let mut moving = MoveCase::new();
    moving.note_move(Some(2), fixtures::at(0));
    let later = fixtures::at(ages::MOVE_TIMEOUT_MS + 1);
    // A later table with the same move does not reset the start of the move.
    moving.note_move(Some(2), fixtures::at(500));
    assert_eq!(
        moving.enqueue(later),
        Err(scheduler::SchedulerRefusal::NoServer)
    );
}

fn gives_up_waiting_when_a_move_takes_too_long() {
    let mut moving = MoveCase::new();
    moving.note_move(Some(2), fixtures::at(0));
    assert_eq!(moving.enqueue(fixtures::at(400)), Ok(()));
    let events = moving
        .case
        .scheduler
        .dispatch_waiting(fixtures::at(ages::MOVE_TIMEOUT_MS + 1));
    let refusal = events.first();
    assert!(
        matches!(
            refusal,
            Some(scheduler::SchedulerEvent::GivenUp(
                _,
                scheduler::SchedulerRefusal::NoServer
            ))
        ),
        "{events:?}"
    );
}

fn waits_anew_for_the_next_move_of_a_key() {
    let mut moving = MoveCase::new();
    moving.note_move(Some(2), fixtures::at(0));
    moving.note_move(Some(3), fixtures::at(900));
    assert_eq!(moving.enqueue(fixtures::at(1_500)), Ok(()));
}

macro_rules! scheduler_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

scheduler_cases! {
    prefers_its_own_domain,
    uses_another_domain_when_its_own_is_full,
    keeps_to_the_room_of_a_server,
    leaves_the_others_their_share,
    reports_waiting_requests_of_a_pool_by_service,
    sends_nothing_to_a_server_that_drains,
    sends_nothing_to_a_removed_server_at_which_requests_run,
    refuses_at_once_what_would_wait_past_its_objective,
    serves_urgent_work_first,
    gives_up_what_cannot_end_in_time,
    avoids_a_server_that_fails,
    pauses_a_server_that_cannot_be_reached,
    repeats_within_its_part_of_the_budget,
    refuses_at_once_what_waits_past_the_end_of_the_host,
    refuses_what_has_waited_until_the_end_of_the_host,
    takes_no_request_that_ends_after_the_host,
    refuses_requests_for_a_moving_key_before_the_host_ends,
    holds_requests_for_a_key_that_moves,
    refuses_at_once_for_a_key_whose_move_takes_too_long,
    gives_up_waiting_when_a_move_takes_too_long,
    waits_anew_for_the_next_move_of_a_key,
    sends_keys_to_a_leaving_server_for_a_part_of_its_time,
    counts_a_servers_drain_time_while_no_request_comes,
    sends_no_keys_to_a_server_that_was_found_draining,
    sends_nothing_at_the_end_of_a_servers_time_however_short,
}
