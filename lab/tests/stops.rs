//! Stops `zinnia-router` while callers go on sending requests.

use std::path;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::settings;
use zinnia_lab::platform_site::site;
use zinnia_lab::stop_caller;

/// How long the callers send before the host is stopped.
const LOAD_TIME: time::Duration = time::Duration::from_millis(600);
/// How long a pipelined request takes, in milliseconds: the first is under way when the host is stopped.
const PIPELINED_WORK_MS: u64 = 1_200;

/// How many requests wait for workers that run eight at a time.
const WAITING_REQUESTS: usize = 60;
/// How long each of them takes, in milliseconds: the workers have time for four or five rounds of them.
const WAITING_WORK_MS: u64 = 800;
/// A request that takes this long, in milliseconds, is still under way when the host ends.
const ENDLESS_WORK_MS: u64 = 7_000;

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"))
}

fn router_request(prefix: &str, number: usize) -> String {
    format!(
        "POST /orders/a HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {prefix}-{number}\r\n\
         x-request-deadline: 2000\r\ncontent-length: 4\r\n\r\nbody"
    )
}

// Guards against requests of callers that do not know yet of the stop: a connection that the host has
// accepted gets a response.
async fn answers_what_it_has_accepted_when_it_stops(test: u8) {
    let case = case::SiteCase::start(program(), test, 2).await;
    let host = case.hosts[0].ports.front;
    let stop = async {
        tokio::time::sleep(LOAD_TIME).await;
        case.hosts[0].signal("-TERM");
    };
    let tally = stop_caller::call_through_stop(host, router_request, stop).await;
    assert!(tally.answered > stop_caller::CALLERS, "{tally:?}");
    assert_eq!(tally.cut, Vec::<String>::new(), "{}", tally.answered);
    case.expect_invariants();
}

// Guards against an upload that is cut off because its body was under way when the host stopped.
async fn completes_an_upload_that_is_under_way_when_it_stops(test: u8) {
    let case = case::SiteCase::start(program(), test, 2).await;
    let stream = tokio::net::TcpStream::connect(case.hosts[0].ports.front).await;
    let mut stream = stream.expect("the host accepts");
    let head = "POST /orders/a HTTP/1.1\r\nhost: desk.example\r\nx-request-id: upload\r\n\
        x-request-deadline: 5000\r\ncontent-length: 8\r\n\r\n";
    let first = format!("{head}half");
    stream.write_all(first.as_bytes()).await.expect("sent");
    tokio::time::sleep(LOAD_TIME).await;
    case.hosts[0].signal("-TERM");
    tokio::time::sleep(LOAD_TIME).await;
    stream.write_all(b"half").await.expect("sent");
    let mut received = String::new();
    let read = stream.read_to_string(&mut received).await;
    read.expect("the host closes the connection");
    assert!(received.ends_with("POST /orders/a upload 8"), "{received}");
    case.expect_invariants();
}

// Guards against a request that runs and gets no response, because the response to the one before it on
// the connection closes that connection when the host stops.
async fn runs_no_pipelined_request_that_it_does_not_answer(test: u8) {
    let case = case::SiteCase::start(program(), test, 2).await;
    for worker in &case.site.workers {
        http::lock(worker).work_ms = PIPELINED_WORK_MS;
    }
    let stream = tokio::net::TcpStream::connect(case.hosts[0].ports.front).await;
    let mut stream = stream.expect("the host accepts");
    let requests = [router_request("p", 1), router_request("p", 2)].concat();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(LOAD_TIME).await;
    case.hosts[0].signal("-TERM");
    let mut received = String::new();
    let read = stream.read_to_string(&mut received).await;
    read.expect("the host closes the connection");
    for number in [1, 2] {
        let id = format!("p-{number}");
        let mut workers = case.site.workers.iter();
        let ran = workers.any(|worker| http::lock(worker).runs().contains_key(&id));
        let answered = received.contains(&format!("POST /orders/a {id} 4"));
        assert_eq!(ran, answered, "{id}: {received}");
    }
}

// A site with one host and the route `/plans/`, whose workers take `work_ms` for a request.
async fn start_with_plans(test: u8, work_ms: u64) -> case::SiteCase {
    let mut case = case::SiteCase::new(program(), test);
    case.site.start_workers().expect("the ports are free");
    case.site.configure(&settings::configuration_with_plans(4));
    case.add_host();
    case.wait_until_ready().await;
    for worker in &case.site.workers {
        http::lock(worker).work_ms = work_ms;
    }
    case
}

fn has_run(case: &case::SiteCase, id: &str) -> bool {
    let mut workers = case.site.workers.iter();
    workers.any(|worker| http::lock(worker).runs().contains_key(id))
}

// Guards against requests that wait for a worker when the host stops, and are cut off when it ends.
async fn refuses_what_waits_before_it_ends(test: u8) {
    let case = start_with_plans(test, WAITING_WORK_MS).await;
    let front = case.hosts[0].ports.front;
    let calls = (0..WAITING_REQUESTS).map(async |number| {
        let id = format!("plan-{number}");
        let response = site::send(front, "/plans/a", &id, 1).await;
        (id, response.map(|(status, _)| status))
    });
    let stop = async {
        tokio::time::sleep(LOAD_TIME).await;
        case.hosts[0].signal("-TERM");
    };
    let (responses, ()) =
        futures_util::future::join(futures_util::future::join_all(calls), stop).await;
    let cut = responses.iter().filter(|(_, status)| status.is_none());
    assert_eq!(cut.count(), 0, "{responses:?}");
    for (id, status) in &responses {
        let expected = if has_run(&case, id) { 200 } else { 503 };
        assert_eq!(*status, Some(expected), "{id}");
    }
    let refused = responses.iter().filter(|(_, status)| *status == Some(503));
    assert_ne!(refused.count(), 0, "{responses:?}");
    case.expect_invariants();
}

// Guards against a connection that is closed without a response when the host ends: the caller is told
// that its request may have run.
async fn answers_what_is_at_a_worker_when_it_ends(test: u8) {
    let case = start_with_plans(test, ENDLESS_WORK_MS).await;
    let front = case.hosts[0].ports.front;
    let stop = async {
        tokio::time::sleep(LOAD_TIME).await;
        case.hosts[0].signal("-TERM");
    };
    let call = site::send(front, "/plans/a", "plan", 1);
    let (response, ()) = futures_util::future::join(call, stop).await;
    assert_eq!(response.map(|(status, _)| status), Some(502));
}

// Guards against an upload without an end that is cut off when the host ends: its caller is told that
// nothing of it ran.
async fn refuses_an_upload_without_an_end_before_it_ends(test: u8) {
    let case = start_with_plans(test, WAITING_WORK_MS).await;
    let stream = tokio::net::TcpStream::connect(case.hosts[0].ports.front).await;
    let mut stream = stream.expect("the host accepts");
    let head = "POST /plans/a HTTP/1.1\r\nhost: desk.example\r\nx-request-id: upload\r\n\
        x-request-deadline: 8000\r\ncontent-length: 8\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).await.expect("sent");
    tokio::time::sleep(LOAD_TIME).await;
    case.hosts[0].signal("-TERM");
    let mut received = String::new();
    let read = stream.read_to_string(&mut received).await;
    read.expect("the host closes the connection");
    assert!(received.starts_with("HTTP/1.1 503"), "{received}");
    assert!(!has_run(&case, "upload"));
}

zinnia_lab::site_cases! {
    answers_what_it_has_accepted_when_it_stops = 70,
    completes_an_upload_that_is_under_way_when_it_stops = 71,
    runs_no_pipelined_request_that_it_does_not_answer = 72,
    refuses_what_waits_before_it_ends = 73,
    answers_what_is_at_a_worker_when_it_ends = 74,
    refuses_an_upload_without_an_end_before_it_ends = 75,
}
