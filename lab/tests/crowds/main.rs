//! Runs one process of each front end with lowered limits against a crowd of clients that hold its
//! memory and its connections.
//!
//! Each case checks that the process lives, that its peak memory and its open descriptors stay
//! within the limits of its settings, and that an ordinary request is answered afterwards. How many
//! requests of the crowd are served, and how fast, is not checked.

mod client_crowd;
mod fronts;
mod kept_crowd;

use std::sync;
use std::time;

use zinnia_lab::platform_site::case;

/// The memory that the settings allow the process, in MiB.
const MEMORY_MB: u64 = 64;
/// The memory that they allow it where connections hold memory beside the requests, in MiB.
const KEPT_MEMORY_MB: u64 = 48;
/// How long the crowd has to send what it sends, where the process does not read it.
const CROWD_TIME: time::Duration = time::Duration::from_secs(20);
/// The interval at which the process is observed, in milliseconds.
const POLL_MS: u64 = 20;

// One crowd at a time: the cases run in threads of one process, and each takes most of a core.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

// Observes a process with `memory_mb` until its crowd has sent all, as `is_settled` says, and then until
// an ordinary request is answered.
async fn observe(
    case: &mut impl fronts::FrontCase,
    name: &str,
    memory_mb: u64,
    is_settled: impl Fn() -> bool,
) {
    let front = case.front();
    let before_kb = front.peak_memory_kb();
    let started = time::Instant::now();
    let mut descriptors = 0;
    while !is_settled() && started.elapsed() < CROWD_TIME {
        descriptors = descriptors.max(front.open_descriptors());
        tokio::time::sleep(time::Duration::from_millis(POLL_MS)).await;
    }
    descriptors = descriptors.max(front.open_descriptors());
    let peak_kb = front.peak_memory_kb();
    println!("{name}: {before_kb} kB before, {peak_kb} kB peak, {descriptors} descriptors");
    case::wait_until("an ordinary request is answered", async || {
        case.serves().await
    })
    .await;
    descriptors = descriptors.max(front.open_descriptors());
    let peak_kb = front.peak_memory_kb();
    println!("{name}: {peak_kb} kB peak and {descriptors} descriptors at the end");
    assert!(
        peak_kb < memory_mb * 1_024,
        "the peak memory was {peak_kb} kB"
    );
    assert!(
        descriptors <= fronts::MAX_FDS,
        "{descriptors} descriptors were open"
    );
    case.finish();
}

async fn play_crowd(mut case: impl fronts::FrontCase, kind: client_crowd::CrowdKind) {
    let crowd = client_crowd::ClientCrowd::start(case.front(), kind);
    let name = format!("{kind:?}");
    observe(&mut case, &name, MEMORY_MB, || crowd.is_settled()).await;
    println!("{name}: {} settled", crowd.settled());
}

async fn crowd_at_entry(kind: client_crowd::CrowdKind) {
    play_crowd(fronts::EntryCase::start(MEMORY_MB).await, kind).await;
}

async fn crowd_at_router(kind: client_crowd::CrowdKind, number: u8) {
    play_crowd(fronts::RouterCase::start(MEMORY_MB, number).await, kind).await;
}

async fn play_kept(mut case: impl fronts::FrontCase, kind: kept_crowd::KeptKind) {
    let crowd = kept_crowd::KeptCrowd::start(case.front(), kind);
    let name = format!("{kind:?}");
    observe(&mut case, &name, KEPT_MEMORY_MB, || crowd.is_settled()).await;
}

async fn kept_at_entry(kind: kept_crowd::KeptKind) {
    play_kept(fronts::EntryCase::start(KEPT_MEMORY_MB).await, kind).await;
}

async fn kept_at_router(kind: kept_crowd::KeptKind, number: u8) {
    let case = fronts::RouterCase::start_wide(KEPT_MEMORY_MB, number);
    play_kept(case.await, kind).await;
}

// Guards against a refusal for lack of connections whose request reaches a server all the same.
async fn refuse_beyond_connections(mut case: impl fronts::FrontCase) {
    let refused = kept_crowd::send_beyond_connections(case.front()).await;
    let ran: Vec<_> = refused.iter().filter(|id| case.has_run(id)).collect();
    println!(
        "{} requests refused, {} of them ran",
        refused.len(),
        ran.len()
    );
    assert!(ran.is_empty(), "refused requests ran: {ran:?}");
    case::wait_until("an ordinary request is answered", async || {
        case.serves().await
    })
    .await;
    case.finish();
}

/// Defines two tests for each named crowd, one for each front end. The number tells the loopback
/// addresses of the cases apart.
macro_rules! crowd_cases {
    ($($name:ident = $kind:ident, $number:literal;)*) => {
        mod entry {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                actix::System::new().block_on(super::crowd_at_entry(super::client_crowd::CrowdKind::$kind));
            })*
        }

        mod router {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let played = super::crowd_at_router(super::client_crowd::CrowdKind::$kind, $number);
                actix::System::new().block_on(played);
            })*
        }
    };
}

crowd_cases! {
    withstands_bodies_in_a_large_chunk = LargeChunk, 1;
    withstands_bodies_in_chunks_of_a_byte = ByteChunks, 2;
    withstands_large_bodies_sent_whole = WholeBody, 3;
    withstands_large_bodies_sent_in_pieces = PiecewiseBody, 4;
    withstands_bodies_announced_over_the_limit = AnnouncedExcess, 5;
    withstands_bodies_sent_over_the_limit = SentExcess, 6;
    withstands_slow_readers = SlowReader, 7;
}

/// Defines the same for crowds on connections that are kept.
macro_rules! kept_cases {
    ($($name:ident = $kind:ident, $number:literal;)*) => {
        mod kept_entry {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                actix::System::new().block_on(super::kept_at_entry(super::kept_crowd::KeptKind::$kind));
            })*
        }

        mod kept_router {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let kind = super::kept_crowd::KeptKind::$kind;
                actix::System::new().block_on(super::kept_at_router(kind, $number));
            })*
        }
    };
}

kept_cases! {
    withstands_idle_connections_after_uploads = IdleAfterUpload, 8;
    withstands_requests_sent_ahead = Pipelining, 9;
    withstands_readers_that_pause = PausedReader, 10;
}

/// Defines the test of refusals at each front end.
macro_rules! refusal_cases {
    ($($name:ident = $case:expr;)*) => {
        mod refusals {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                actix::System::new().block_on(async {
                    super::refuse_beyond_connections($case.await).await;
                });
            })*
        }
    };
}

refusal_cases! {
    runs_nothing_that_entry_refuses = crate::fronts::EntryCase::start(crate::MEMORY_MB);
    runs_nothing_that_router_refuses = crate::fronts::RouterCase::start(crate::MEMORY_MB, 11);
}
