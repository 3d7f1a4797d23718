//! Runs `zinnia-router` as processes against a store that comes back from an older copy, and checks
//! the keys that workers hold: no key has two holders, fences rise, and every key is served again.

use std::cell;
use std::path;
use std::time;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::store;
use zinniastack::clock::MonoClock as _;

/// How long the store is away before it comes back.
const OUTAGE: time::Duration = time::Duration::from_millis(500);
/// Rounds of requests between the store's return and the time when workers write again.
const ROUNDS_BEFORE_REWRITE: u32 = 20;
/// The worker that hands its keys over in the span that the store loses.
const DRAINED: usize = 0;
/// The other worker of the service.
const OTHER: usize = 1;

const HOSTS: u16 = 2;

async fn start(test: u8) -> case::SiteCase {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    let case = case::SiteCase::start(lab, test, HOSTS).await;
    case.wait_until_served("/stock/a", "warm").await;
    case
}

// All keys of a worker move, and the worker writes nothing more. Returns when the copy was made that
// lacks all that.
async fn move_keys(case: &case::SiteCase) -> time::Instant {
    let copied = time::Instant::now();
    http::lock(&case.site.workers[DRAINED]).drain();
    wait_until_empty(case, DRAINED).await;
    case.wait_until_served("/stock/a", "moved").await;
    http::lock(&case.site.workers[DRAINED])
        .faults
        .hold_heartbeats = true;
    copied
}

async fn stop_store(case: &case::SiteCase) {
    case.site.stop_store(store::OutageKind::Refuse);
    tokio::time::sleep(OUTAGE).await;
}

fn resume_store(case: &case::SiteCase, copied: time::Instant) {
    case.site.restore_store(copied);
    case.site.resume_store();
}

// Sends requests while the store lacks what was written, and until every key is served again.
async fn expect_one_holder(case: &case::SiteCase) {
    for round in 0..ROUNDS_BEFORE_REWRITE {
        case.send_many("/stock/a", &format!("lost{round}"), 10)
            .await;
        case.expect_invariants();
        tokio::time::sleep(case::POLL_INTERVAL).await;
    }
    for worker in &case.site.workers {
        http::lock(worker).faults.hold_heartbeats = false;
    }
    case.site.rewrite();
    case.wait_until_served("/stock/a", "back").await;
    case.expect_invariants();
    expect_moves(case).await;
}

// The worker that was drained takes the keys of the other one, which drains. It starts again where it
// holds none: one that holds keys might get a renewal meant for its former incarnation.
async fn expect_moves(case: &case::SiteCase) {
    if http::lock(&case.site.workers[DRAINED]).is_draining() {
        wait_until_empty(case, DRAINED).await;
        case.site.restart_worker(DRAINED);
    }
    http::lock(&case.site.workers[OTHER]).drain();
    wait_until_empty(case, OTHER).await;
    case.wait_until_served("/stock/a", "on").await;
    case.expect_invariants();
}

async fn wait_until_empty(case: &case::SiteCase, worker: usize) {
    case::wait_until("the worker holds no key", async || {
        let now = case.site.clock.now();
        http::lock(&case.site.workers[worker]).held(now).is_empty()
    })
    .await;
}

// Guards against a return that stops the moves of keys though nothing was lost.
async fn keeps_one_holder_after_a_return_without_a_loss(test: u8) {
    let case = start(test).await;
    move_keys(&case).await;
    stop_store(&case).await;
    resume_store(&case, time::Instant::now());
    expect_one_holder(&case).await;
}

// Guards against a granter that goes on by a table that the store has lost, or takes the older one for
// the newest.
async fn keeps_one_holder_after_a_return_with_a_loss(test: u8) {
    let case = start(test).await;
    let copied = move_keys(&case).await;
    stop_store(&case).await;
    resume_store(&case, copied);
    expect_one_holder(&case).await;
}

// Guards against the same where the granter's reads and the others' waited through the outage.
async fn keeps_one_holder_where_reads_waited_through_the_outage(test: u8) {
    let case = start(test).await;
    http::lock(&case.site.store).faults.keeps_waiting_reads = true;
    let copied = move_keys(&case).await;
    stop_store(&case).await;
    resume_store(&case, copied);
    expect_one_holder(&case).await;
}

// Guards against a successor that grants by the older table while workers hold keys by the lost one.
async fn keeps_one_holder_when_the_granter_is_killed_at_the_return(test: u8) {
    let mut case = start(test).await;
    let copied = move_keys(&case).await;
    stop_store(&case).await;
    let granting = case.granting_host().await;
    case.kill_host(granting.expect("a host grants"));
    resume_store(&case, copied);
    expect_one_holder(&case).await;
}

// Guards against hosts that know only the older table and give out its fences again.
async fn keeps_one_holder_when_all_hosts_are_killed_at_the_return(test: u8) {
    let mut case = start(test).await;
    let copied = move_keys(&case).await;
    stop_store(&case).await;
    case.hosts.clear();
    resume_store(&case, copied);
    for _ in 0..HOSTS {
        case.add_host();
    }
    case.wait_until_ready().await;
    expect_one_holder(&case).await;
}

// Guards against a granter that takes the new incarnation of a worker for the former one, which the
// older table and the older entry name.
async fn keeps_one_holder_when_a_worker_restarted_in_the_lost_span(test: u8) {
    let case = start(test).await;
    let copied = move_keys(&case).await;
    case.site.restart_worker(DRAINED);
    http::lock(&case.site.workers[DRAINED])
        .faults
        .hold_heartbeats = false;
    // Keys move to a server for the load that they bring.
    let round = cell::Cell::new(0_u32);
    case::wait_until("the new incarnation holds keys", async || {
        round.set(round.get() + 1);
        let prefix = format!("again{}", round.get());
        case.send_many("/stock/a", &prefix, 10).await;
        let now = case.site.clock.now();
        let worker = http::lock(&case.site.workers[DRAINED]);
        !worker.held(now).is_empty()
    })
    .await;
    stop_store(&case).await;
    resume_store(&case, copied);
    expect_one_holder(&case).await;
}

// Guards against a first claim, in a store that came back empty, that knows nothing of the holds.
async fn keeps_one_holder_when_the_store_comes_back_without_a_table(test: u8) {
    let copied = time::Instant::now();
    let case = start(test).await;
    move_keys(&case).await;
    stop_store(&case).await;
    resume_store(&case, copied);
    case.site.rewrite();
    expect_one_holder(&case).await;
}

zinnia_lab::site_cases! {
    keeps_one_holder_after_a_return_without_a_loss = 46,
    keeps_one_holder_after_a_return_with_a_loss = 40,
    keeps_one_holder_where_reads_waited_through_the_outage = 41,
    keeps_one_holder_when_the_granter_is_killed_at_the_return = 42,
    keeps_one_holder_when_all_hosts_are_killed_at_the_return = 43,
    keeps_one_holder_when_a_worker_restarted_in_the_lost_span = 44,
    keeps_one_holder_when_the_store_comes_back_without_a_table = 45,
}
