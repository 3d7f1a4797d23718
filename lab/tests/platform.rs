//! Runs `zinnia-router` as processes with real sockets, against the lab's stand-ins for the store
//! and the workers.

use std::net;
use std::path;
use std::process;
use std::time;

use futures_util::StreamExt as _;
use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::settings;
use zinnia_lab::platform_site::site;
use zinniastack::clock::MonoClock as _;

// Starts a site with two hosts.
async fn start(test: u8) -> case::SiteCase {
    case::SiteCase::start(program(), test, 2).await
}

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"))
}

async fn serves_a_short_day(test: u8) {
    let case = start(test).await;
    case.wait_until_served("/stock/a", "warm").await;
    assert_eq!(case.send_many("/stock/a", "s", 60).await, 60);
    assert_eq!(case.send_many("/orders/a", "o", 60).await, 60);
    let none = case.send(0, "/nowhere/", "n", 0).await;
    assert_eq!(none.map(|response| response.0), Some(404));
    case.expect_invariants();
}

async fn puts_versions_in_force_and_never_takes_one_back(test: u8) {
    let case = start(test).await;
    case.site.configure(&settings::configuration(7, true));
    for host in 0..2 {
        case::wait_until("the new route is served", async || {
            let response = case.send(host, "/extra/a", &format!("e{host}"), 0).await;
            response.is_some_and(|response| response.0 == 200)
        })
        .await;
    }
    case.site.configure(&settings::configuration(5, false));
    http::lock(&case.site.store).append("keyed.op", "config", b"{\"version\":9,\"serv");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let response = case.send(0, "/extra/a", "after", 0).await;
    assert_eq!(
        response.map(|response| response.0),
        Some(200),
        "an older or broken version took effect"
    );
}

async fn moves_the_keys_of_a_worker_that_drains(test: u8) {
    let case = start(test).await;
    http::lock(&case.site.workers[0]).drain();
    case::wait_until("the worker holds no key", async || {
        http::lock(&case.site.workers[0])
            .held(case.site.clock.now())
            .is_empty()
    })
    .await;
    case.wait_until_served("/stock/a", "d").await;
    case.expect_invariants();
}

async fn goes_on_when_the_granter_is_killed(test: u8) {
    let mut case = start(test).await;
    // One of the two hosts is the granter, so killing both in turn kills a granter at least once.
    for number in 0..2_u16 {
        let killed = case.hosts.remove(0);
        killed.signal("-9");
        drop(killed);
        case.wait_until_served("/stock/a", &format!("k{number}"))
            .await;
        case.expect_invariants();
        if number == 0 {
            case.add_host();
            case.wait_until_ready().await;
        }
    }
}

async fn serves_while_the_store_is_away(test: u8) {
    let case = start(test).await;
    case.wait_until_served("/stock/a", "warm").await;
    http::lock(&case.site.store).faults.is_down = true;
    // Longer than a hold, so that every hold has to be renewed during the outage.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    assert_eq!(case.send_many("/stock/a", "away", 40).await, 40);
    http::lock(&case.site.store).faults.is_down = false;
    http::lock(&case.site.store).compact();
    http::lock(&case.site.store).rebalance();
    case.wait_until_served("/stock/a", "back").await;
    case.expect_invariants();
}

async fn stops_without_cutting_a_request(test: u8) {
    let case = start(test).await;
    for worker in &case.site.workers {
        http::lock(worker).work_ms = 800;
    }
    let sent = case.send(0, "/orders/a", "last", 0);
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        case.hosts[0].signal("-TERM");
    };
    let (response, ()) = futures_util::future::join(sent, stop).await;
    assert_eq!(response, Some((200, "POST /orders/a last 4".to_owned())));
    case.expect_invariants();
}

async fn passes_no_part_or_cross_of_an_answer_on(test: u8) {
    let case = start(test).await;
    for worker in &case.site.workers[2..] {
        http::lock(worker).faults.truncate_responses = 1;
    }
    let response = case.send(0, "/orders/a", "cut", 0).await;
    assert_eq!(
        response.map(|response| response.0),
        Some(502),
        "a truncated response was forwarded"
    );
    for worker in &case.site.workers[2..] {
        let mut state = http::lock(worker);
        state.faults.truncate_responses = 0;
        state.faults.swap_response_ids = 1;
    }
    let response = case.send(0, "/orders/a", "cross", 0).await;
    assert_eq!(
        response.map(|response| response.0),
        Some(502),
        "the response to another request was forwarded"
    );
    case.expect_invariants();
}

// Guards against a server whose response never ends: it would occupy the host, the link and a slot for
// as long as the caller leaves its connection open.
async fn breaks_off_a_response_without_end(test: u8) {
    let case = start(test).await;
    for worker in &case.site.workers {
        http::lock(worker).faults.endless_responses = 1;
    }
    let front = case.hosts[0].ports.front;
    let request = awc::Client::default().get(format!("http://{front}/orders/a"));
    let request = request
        .insert_header(("host", "desk.example"))
        .insert_header(("x-request-id", "endless"))
        .insert_header(("x-request-deadline", "700"));
    let mut response = request.send().await.expect("the host responds");
    let ended = tokio::time::timeout(case::STEP_TIMEOUT, async {
        while let Some(Ok(_)) = response.next().await {}
    });
    assert!(ended.await.is_ok(), "the host forwards an endless body");
    for worker in &case.site.workers {
        http::lock(worker).faults.endless_responses = 0;
    }
    let next = case.send(0, "/orders/a", "next", 0).await;
    assert_eq!(next.map(|response| response.0), Some(200));
}

async fn refuses_what_is_over_a_limit(test: u8) {
    let case = start(test).await;
    let front = case.hosts[0].ports.front;
    let post = |path: &str| {
        let request = awc::Client::default().post(format!("http://{front}{path}"));
        request
            .insert_header(("host", "desk.example"))
            .insert_header(("x-request-id", "l"))
    };
    let large = post("/orders/a").insert_header(("x-filler", "f".repeat(5_000)));
    let status = large.send().await.expect("the host responds").status();
    assert_eq!(status.as_u16(), 431);
    let long = post("/orders/a").send_body(vec![0_u8; 3_000_001]);
    let status = long.await.expect("the host responds").status();
    assert_eq!(status.as_u16(), 413);
    let keyless = post("/stock/a").send().await.expect("the host responds");
    assert_eq!(keyless.status().as_u16(), 400);
    let chunked = post("/orders/a").send_stream(futures_util::stream::iter(
        (0..40).map(|_| Ok::<_, std::io::Error>(bytes::Bytes::from(vec![0_u8; 50_000]))),
    ));
    let mut passed = chunked.await.expect("the host responds");
    let body = passed.body().await.expect("the body is complete");
    assert_eq!(
        body, "POST /orders/a l 2000000",
        "a long body without a length was not forwarded"
    );
    case.expect_invariants();
}

// A body without a stated length exceeds the limit only while it is being forwarded.
async fn breaks_off_a_body_that_grows_over_the_limit(test: u8) {
    let case = start(test).await;
    let front = case.hosts[0].ports.front;
    for (id, parts) in [("early", 80), ("late", 200)] {
        let request = awc::Client::default().post(format!("http://{front}/orders/a"));
        let request = request
            .insert_header(("host", "desk.example"))
            .insert_header(("x-request-id", id));
        let body = futures_util::stream::iter(
            (0..parts).map(|_| Ok::<_, std::io::Error>(bytes::Bytes::from(vec![0_u8; 50_000]))),
        );
        // A host that responds before it has read the whole body may also close the connection.
        let response = request.send_stream(body).await;
        let status = response.map_or(413, |response| response.status().as_u16());
        assert_eq!(status, 413, "{id}");
        for worker in &case.site.workers {
            assert!(!http::lock(worker).runs().contains_key(id), "{id} ran");
        }
    }
}

async fn answers_503_before_a_configuration_is_known(test: u8) {
    let mut case = case::SiteCase::new(program(), test);
    case.add_host();
    case::wait_until("the host responds", async || {
        case.send(0, "/orders/a", "early", 0).await.is_some()
    })
    .await;
    let response = case.send(0, "/orders/a", "early", 0).await;
    assert_eq!(response.map(|response| response.0), Some(503));
    let ready = format!("http://{}/zinniastack/readiness", case.hosts[0].ports.ready);
    let response = awc::Client::default().get(ready).send().await;
    assert_eq!(response.expect("the host responds").status().as_u16(), 503);
}

// Runs `zinnia COMMAND` against the first host; returns its output and exit code.
async fn ask_operator(ip: net::IpAddr, words: &[&str]) -> (String, Option<i32>) {
    let router = net::SocketAddr::new(ip, site::METRICS_PORT).to_string();
    let mut words: Vec<_> = words.iter().map(ToString::to_string).collect();
    words.extend(["--router".to_owned(), router]);
    let program = program().with_file_name("zinnia");
    let run = move || process::Command::new(program).args(words).output();
    let ran = tokio::task::spawn_blocking(run).await;
    let output = ran.expect("the command ends").expect("zinnia runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (text, output.status.code())
}

// Guards against a final 404 for a route that was added while the store rejects this host: the caller
// may try again elsewhere.
async fn refuses_an_unknown_route_for_a_while_when_the_store_is_away(test: u8) {
    let case = start(test).await;
    let known = case.send(0, "/added/a", "before", 0).await;
    assert_eq!(known.map(|response| response.0), Some(404));
    http::lock(&case.site.store).faults.is_down = true;
    case::wait_until("the routes are unconfirmed", async || {
        let response = case.send(0, "/added/a", "lost", 0).await;
        response == Some((503, "routes-unconfirmed".to_owned()))
    })
    .await;
}

async fn tells_operators_what_it_knows(test: u8) {
    let case = start(test).await;
    let (status, code) = ask_operator(case.site.ip, &["status"]).await;
    assert_eq!(code, Some(0));
    assert!(status.contains("phase          ready"), "{status}");
    assert!(status.contains("routes         version 3"), "{status}");
    for worker in ["stock-1", "stock-2", "orders-1", "orders-2"] {
        assert!(status.contains(worker), "{status}");
    }
    case::wait_until("the key is held", async || {
        let (key, _) = ask_operator(case.site.ip, &["explain", "stock", "7"]).await;
        key.contains("requests go to the holder") && key.contains("held for")
    })
    .await;
    let (_, code) = ask_operator(case.site.ip, &["explain", "orders", "7"]).await;
    assert_eq!(code, Some(1), "a pool has no keys");
    let (_, code) = ask_operator(case.site.ip, &["explain", "stock", "70000"]).await;
    assert_eq!(code, Some(1), "the key is too large");
}

zinnia_lab::site_cases! {
    serves_a_short_day = 1,
    puts_versions_in_force_and_never_takes_one_back = 2,
    moves_the_keys_of_a_worker_that_drains = 3,
    goes_on_when_the_granter_is_killed = 4,
    serves_while_the_store_is_away = 5,
    stops_without_cutting_a_request = 6,
    passes_no_part_or_cross_of_an_answer_on = 7,
    refuses_what_is_over_a_limit = 8,
    answers_503_before_a_configuration_is_known = 9,
    tells_operators_what_it_knows = 10,
    breaks_off_a_body_that_grows_over_the_limit = 11,
    breaks_off_a_response_without_end = 12,
    refuses_an_unknown_route_for_a_while_when_the_store_is_away = 13,
}
