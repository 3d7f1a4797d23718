//! Runs `zinnia-router` as a process with workers whose long responses break off halfway, after the
//! host has begun to forward them.

use std::net;
use std::path;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;

const HOSTS: u16 = 1;

// Sends a request in a version of HTTP and returns all that is received until the host closes the
// connection, or `None` where it resets it.
async fn exchange(front: net::SocketAddr, version: &str) -> Option<Vec<u8>> {
    let mut stream = tokio::net::TcpStream::connect(front).await.ok()?;
    let request = format!(
        "POST /orders/a {version}\r\nhost: desk.example\r\nx-request-id: long\r\n\
         x-request-deadline: 2000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let read = tokio::time::timeout(case::STEP_TIMEOUT, read).await;
    read.expect("the host ends the response").ok()?;
    Some(received)
}

// Whether a caller of this version takes a response for a complete success. Callers of HTTP/1.0 know no
// chunks.
fn is_whole_success(received: &[u8], version: &str) -> bool {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or(("", ""));
    let head = head.to_ascii_lowercase();
    let mut lines = head.lines();
    let is_success = lines.next().is_some_and(|line| line.contains(" 200 "));
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|length| length.parse::<usize>().ok());
    let has_chunks = version != "HTTP/1.0" && head.contains("transfer-encoding: chunked");
    let is_whole = match length {
        Some(length) => body.len() == length,
        None if has_chunks => body.ends_with("\r\n0\r\n\r\n"),
        None => true,
    };
    is_success && is_whole
}

// Guards against a long response that breaks off and reaches the caller as a complete success.
async fn forwards_no_cut_response_as_whole(test: u8, version: &str) {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    let case = case::SiteCase::start(lab, test, HOSTS).await;
    for worker in &case.site.workers {
        http::lock(worker).faults.cut_long_responses = 1;
    }
    let received = exchange(case.hosts[0].ports.front, version).await;
    let is_whole = received.as_deref();
    let is_whole = is_whole.is_some_and(|received| is_whole_success(received, version));
    assert!(
        !is_whole,
        "{:?} bytes as a success",
        received.map(|r| r.len())
    );
}

async fn forwards_no_cut_chunks_as_whole(test: u8) {
    forwards_no_cut_response_as_whole(test, "HTTP/1.1").await;
}

// A response to a caller of HTTP/1.0 has no chunks: where its length is unknown, it ends with its
// connection.
async fn forwards_no_cut_response_as_whole_to_callers_of_http_1_0(test: u8) {
    forwards_no_cut_response_as_whole(test, "HTTP/1.0").await;
}

zinnia_lab::site_cases! {
    forwards_no_cut_chunks_as_whole = 80,
    forwards_no_cut_response_as_whole_to_callers_of_http_1_0 = 81,
}
