//! Runs `zinnia-router` as processes against a store that comes back from an older copy: what hosts
//! know of routes, servers and other hosts.

use std::path;
use std::sync::atomic;
use std::time;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::settings;
use zinnia_lab::platform_site::store;
use zinnia_lab::platform_site::worker;

/// How long the store is away before it comes back.
const OUTAGE: time::Duration = time::Duration::from_millis(500);
/// How often hosts are asked after the store's return, with a pause each time: in all longer than
/// their pauses after failed reads.
const ROUNDS_AFTER_RETURN: u32 = 40;
/// The topic in which hosts register.
const HOSTS_TOPIC: &str = "keyed.zinnia-hosts";
/// The number of callers that send requests at the same time.
const CALLERS: u32 = 8;
/// How long a request takes, in milliseconds, where all workers have to be used.
const WORK_MS: u64 = 50;
/// The worker that leaves, by its number.
const LEAVING: usize = 3;

/// Hosts of one domain, so many that one reads the store for the others.
const HOSTS: u16 = 4;

async fn start(test: u8) -> case::SiteCase {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    case::SiteCase::start(lab, test, HOSTS).await
}

fn new_id() -> String {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    format!("r{}", NEXT.fetch_add(1, atomic::Ordering::Relaxed))
}

// The statuses with which the hosts answer a request for a path.
async fn statuses(case: &case::SiteCase, path: &str) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for host in 0..case.hosts.len() {
        let response = case.send(host, path, &new_id(), 0).await;
        statuses.push(response.map(|response| response.0));
    }
    statuses
}

async fn is_served(case: &case::SiteCase, path: &str) -> bool {
    let statuses = statuses(case, path).await;
    statuses.iter().all(|status| *status == Some(200))
}

async fn wait_until_served(case: &case::SiteCase, path: &str) {
    case::wait_until(path, async || is_served(case, path).await).await;
}

// Waits until a path is served at each host. Meanwhile none may forget a route that it knew.
async fn wait_until_served_besides(case: &case::SiteCase, path: &str, known: &str) {
    case::wait_until(path, async || {
        expect_known(case, known).await;
        is_served(case, path).await
    })
    .await;
}

async fn expect_known(case: &case::SiteCase, known: &str) {
    let statuses = statuses(case, known).await;
    let lost = statuses.contains(&Some(404));
    assert!(!lost, "a version was taken back: {statuses:?}");
}

// Writes three versions that add the route `lost`, and waits until it is served. Returns when the
// copy was made that lacks them.
async fn write_what_is_lost(case: &case::SiteCase) -> time::Instant {
    let copied = time::Instant::now();
    for version in [5, 7, 9] {
        let configuration = settings::configuration_with(version, &["lost"]);
        case.site.configure(&configuration);
    }
    wait_until_served(case, "/lost/a").await;
    copied
}

// Adds a route after the store has come back.
fn add_route(case: &case::SiteCase) {
    let configuration = settings::configuration_with(11, &["lost", "added"]);
    case.site.configure(&configuration);
}

// Takes the store away and brings it back from a copy.
async fn restore(case: &case::SiteCase, copied: time::Instant, outage: store::OutageKind) {
    case.site.stop_store(outage);
    tokio::time::sleep(OUTAGE).await;
    case.site.restore_store(copied);
    case.site.resume_store();
}

fn keep_waiting_reads(case: &case::SiteCase) {
    http::lock(&case.site.store).faults.keeps_waiting_reads = true;
}

async fn puts_changes_in_force(case: &case::SiteCase, outage: store::OutageKind) {
    let copied = write_what_is_lost(case).await;
    restore(case, copied, outage).await;
    case.site.rewrite();
    add_route(case);
    wait_until_served_besides(case, "/added/a", "/lost/a").await;
    case.expect_invariants();
}

// Guards against a host that takes no record before the log has grown past the end that it knew.
async fn puts_changes_in_force_after_a_return(test: u8) {
    let case = start(test).await;
    puts_changes_in_force(&case, store::OutageKind::Refuse).await;
}

// Guards against the same where no call was answered while the store was away.
async fn puts_changes_in_force_after_a_silent_outage(test: u8) {
    let case = start(test).await;
    puts_changes_in_force(&case, store::OutageKind::Silence).await;
}

// Guards against the same where the store closed all connections.
async fn puts_changes_in_force_after_closed_connections(test: u8) {
    let case = start(test).await;
    puts_changes_in_force(&case, store::OutageKind::Close).await;
}

// Guards against a read that waits at an offset that the store no longer has.
async fn puts_changes_in_force_where_reads_waited_through_the_outage(test: u8) {
    let case = start(test).await;
    keep_waiting_reads(&case);
    puts_changes_in_force(&case, store::OutageKind::Refuse).await;
}

// Guards against a host that starts after the return and takes the others' copies for newer than the
// store.
async fn puts_changes_in_force_at_a_host_that_starts_after_a_return(test: u8) {
    let mut case = start(test).await;
    keep_waiting_reads(&case);
    let copied = write_what_is_lost(&case).await;
    restore(&case, copied, store::OutageKind::Refuse).await;
    case.site.rewrite();
    case.add_host();
    case.wait_until_ready().await;
    add_route(&case);
    wait_until_served(&case, "/added/a").await;
}

// Guards against a host that goes back to the older version of the copy until the newest is written
// again.
async fn never_takes_a_version_back_after_a_return(test: u8) {
    let case = start(test).await;
    let copied = write_what_is_lost(&case).await;
    restore(&case, copied, store::OutageKind::Refuse).await;
    for _ in 0..ROUNDS_AFTER_RETURN {
        expect_known(&case, "/lost/a").await;
        tokio::time::sleep(case::POLL_INTERVAL).await;
    }
    case.site.rewrite();
    add_route(&case);
    wait_until_served_besides(&case, "/added/a", "/lost/a").await;
}

// Guards against a removal that stands at an offset that the host read before the return: the log has
// grown past it when the host hears of the store again, and its read returns only what follows.
async fn learns_of_a_removal_that_its_offset_hides(test: u8) {
    let case = start_busy(test).await;
    keep_waiting_reads(&case);
    let copied = time::Instant::now();
    wait_for_heartbeats(&case).await;
    for worker in &case.site.workers {
        http::lock(worker).faults.hold_heartbeats = true;
    }
    // All hosts have read what there is, and wait for more.
    tokio::time::sleep(OUTAGE).await;
    let known = end_of_servers(&case);
    case.site.stop_store(store::OutageKind::Refuse);
    case.site.restore_store(copied);
    http::lock(&case.site.workers[LEAVING]).stop();
    case.site.rewrite();
    while end_of_servers(&case) <= known {
        let mut store = http::lock(&case.site.store);
        http::lock(&case.site.workers[0]).write_entry(case.site.worker_address(0), &mut store);
    }
    case.site.resume_store();
    wait_until_unused(&case).await;
}

fn end_of_servers(case: &case::SiteCase) -> u64 {
    http::lock(&case.site.store).end(worker::SERVERS_TOPIC)
}

// Waits until the workers have written some more entries.
async fn wait_for_heartbeats(case: &case::SiteCase) {
    let known = end_of_servers(case);
    case::wait_until("the workers write", async || {
        end_of_servers(case) > known + 8
    })
    .await;
}

// Sends requests to all hosts at the same time, so that they use all workers; returns how many ran at
// the worker that leaves.
async fn count_runs_of_leaving(case: &case::SiteCase) -> usize {
    let before = http::lock(&case.site.workers[LEAVING]).runs().len();
    let requests = (0..CALLERS).map(async |_| {
        case.send_many("/orders/a", &new_id(), HOSTS).await;
    });
    futures_util::future::join_all(requests).await;
    http::lock(&case.site.workers[LEAVING]).runs().len() - before
}

// Starts a site whose requests take so long that hosts use all workers.
async fn start_busy(test: u8) -> case::SiteCase {
    let case = start(test).await;
    for worker in &case.site.workers {
        http::lock(worker).work_ms = WORK_MS;
    }
    case::wait_until("the worker gets requests", async || {
        count_runs_of_leaving(&case).await > 0
    })
    .await;
    case
}

async fn wait_until_unused(case: &case::SiteCase) {
    case::wait_until("the worker gets no request", async || {
        count_runs_of_leaving(case).await == 0
    })
    .await;
}

// The store forgets that a worker has left: no host that knew it may use it again.
async fn never_uses_a_worker_again(test: u8, leave: impl Fn(&mut worker::WorkerState)) {
    let case = start_busy(test).await;
    let copied = time::Instant::now();
    leave(&mut http::lock(&case.site.workers[LEAVING]));
    wait_until_unused(&case).await;
    http::lock(&case.site.workers[LEAVING])
        .faults
        .hold_heartbeats = true;
    restore(&case, copied, store::OutageKind::Refuse).await;
    for _ in 0..ROUNDS_AFTER_RETURN {
        let runs = count_runs_of_leaving(&case).await;
        assert_eq!(runs, 0, "a worker that had left got requests");
    }
    case.site.rewrite();
    wait_until_unused(&case).await;
}

// Guards against a worker whose removal the store has lost: it is gone, and its address may be used by
// another.
async fn never_uses_a_worker_whose_removal_was_lost(test: u8) {
    never_uses_a_worker_again(test, worker::WorkerState::stop).await;
}

// Guards against a worker whose report that it drains was lost.
async fn never_uses_a_worker_whose_draining_was_lost(test: u8) {
    never_uses_a_worker_again(test, worker::WorkerState::drain).await;
}

// Guards against hosts whose registration the store has lost: hosts that start later do not know them.
async fn registers_hosts_again_after_a_return(test: u8) {
    let mut case = start(test).await;
    let copied = time::Instant::now();
    case.add_host();
    case.wait_until_ready().await;
    let count = case.hosts.len();
    let registered = async || http::lock(&case.site.store).keys(HOSTS_TOPIC).len() == count;
    case::wait_until("all hosts are registered", registered).await;
    restore(&case, copied, store::OutageKind::Refuse).await;
    assert!(!registered().await, "the copy has the registration");
    case::wait_until("all hosts are registered again", registered).await;
}

zinnia_lab::site_cases! {
    puts_changes_in_force_after_a_return = 20,
    puts_changes_in_force_after_a_silent_outage = 21,
    puts_changes_in_force_after_closed_connections = 22,
    puts_changes_in_force_where_reads_waited_through_the_outage = 23,
    puts_changes_in_force_at_a_host_that_starts_after_a_return = 24,
    never_takes_a_version_back_after_a_return = 25,
    learns_of_a_removal_that_its_offset_hides = 26,
    never_uses_a_worker_whose_removal_was_lost = 27,
    never_uses_a_worker_whose_draining_was_lost = 28,
    registers_hosts_again_after_a_return = 29,
}
