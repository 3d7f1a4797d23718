//! Runs `zinnia-router` as processes with workers whose responses arrive twice, the second time late.

use std::path;
use std::time;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;

/// How long a request takes, in milliseconds, where work has to be under way while keys move.
const WORK_MS: u64 = 400;
/// The number of callers that send requests at the same time.
const CALLERS: u32 = 6;
/// How often each of them sends a few requests.
const ROUNDS_AT_WORK: u32 = 4;
/// When work is under way on all keys.
const WORK_UNDER_WAY: time::Duration = time::Duration::from_millis(500);
/// The worker whose keys move.
const DRAINED: usize = 0;

const HOSTS: u16 = 2;

// Guards against a late copy of an order's response that is taken for the response to the next order:
// a release would seem complete while the worker is still at work on the keys.
async fn takes_no_late_copy_for_the_response_to_an_order(test: u8) {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    let case = case::SiteCase::start(lab, test, HOSTS).await;
    case.wait_until_served("/stock/a", "warm").await;
    for worker in &case.site.workers {
        let mut worker = http::lock(worker);
        worker.faults.repeat_before_releases = true;
        worker.work_ms = WORK_MS;
    }
    let callers = (0..CALLERS).map(async |caller| {
        for round in 0..ROUNDS_AT_WORK {
            case.send_many("/stock/a", &format!("busy{caller}.{round}"), 2)
                .await;
        }
    });
    let requests = futures_util::future::join_all(callers);
    let drain = async {
        tokio::time::sleep(WORK_UNDER_WAY).await;
        http::lock(&case.site.workers[DRAINED]).drain();
    };
    futures_util::future::join(requests, drain).await;
    case.wait_until_served("/stock/a", "after").await;
    case.expect_invariants();
}

zinnia_lab::site_cases! {
    takes_no_late_copy_for_the_response_to_an_order = 60,
}
