//! Runs `zinnia-router` as processes with workers whose responses arrive twice, the second time late.

use std::path;
use std::time;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::site;

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
/// A worker of the pool `orders`.
const POOL_WORKER: usize = 2;
/// The other worker of the pool.
const OTHER_POOL_WORKER: usize = 3;
/// How many requests are refused once, one after another.
const REFUSED_ROUNDS: u32 = 4;

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

// Guards against a late copy of a refusal that is taken for the response to the retry of the same
// request: the caller would be told that a request which has run did not run.
async fn takes_no_late_copy_of_a_refusal_for_the_response_to_the_retry(test: u8) {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    let case = case::SiteCase::start(lab, test, HOSTS).await;
    http::lock(&case.site.workers[OTHER_POOL_WORKER]).stop();
    case::wait_until("one worker is left", async || {
        let report = site::host_report(case.hosts[0].operators).await;
        let servers = report.map(|report| report["servers"].to_string());
        servers.is_some_and(|servers| !servers.contains("orders-2"))
    })
    .await;
    let worker = &case.site.workers[POOL_WORKER];
    http::lock(worker).faults.repeat_refusals = true;
    for round in 0..REFUSED_ROUNDS {
        let id = format!("refused-{round}");
        http::lock(worker).faults.refuse_requests = 1;
        let response = case.send(0, "/orders/a", &id, 0).await;
        let (status, _) = response.expect("a complete response");
        let ran = http::lock(worker).runs().contains_key(&id);
        assert_eq!((status, ran), (200, true), "{id}");
    }
    case.expect_invariants();
}

zinnia_lab::site_cases! {
    takes_no_late_copy_for_the_response_to_an_order = 60,
    takes_no_late_copy_of_a_refusal_for_the_response_to_the_retry = 61,
}
