//! Tests at both front ends that a caller gets no part of a response as a complete one, no status that
//! is not a final one, and no statement that a request did not run after some of it was sent.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use zinnia_lab::fronts;
use zinnia_lab::scripted_server;
use zinnia_lab::scripted_server::ServerStep;
use zinniastack::routing::specification;

/// Upper bound of an exchange; it only ends a hung test.
const STEP_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// The size of a long upload, which neither front end holds in memory as a whole, in bytes.
const UPLOAD_BYTES: usize = 8 << 20;
/// How much of it a server reads before it responds, in bytes.
const READ_BYTES: usize = 100_000;
/// The size of an upload that `zinnia-router` holds, and that no connection takes before its server reads, in
/// bytes.
const HELD_UPLOAD_BYTES: usize = 1_000_000;
/// The part of a response that `zinnia-router` holds until it has ended, in bytes.
const HELD_BYTES: usize = 4_000;
/// The part of a response that `zinnia-router` begins to stream, in bytes.
const STREAMED_BYTES: usize = 300_000;
/// How long a server waits, so that what it has sent arrives before what it does next.
const PAUSE: time::Duration = time::Duration::from_millis(150);
/// How long a caller waits between the parts of an upload, which is thus still being sent when the server
/// responds.
const UPLOAD_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// What a caller got.
struct CallerResponse {
    bytes: Vec<u8>,
    ended: bool,
}

impl CallerResponse {
    fn head(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let head = text.split_once("\r\n\r\n").map(|(head, _)| head);
        head.unwrap_or_default().to_ascii_lowercase()
    }

    fn status(&self) -> u16 {
        let head = self.head();
        let status = head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}: ");
        let head = self.head();
        let value = head.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map(str::to_owned)
    }

    fn body(&self) -> &[u8] {
        let start = self.bytes.windows(4).position(|four| four == b"\r\n\r\n");
        start.map_or(&[], |start| &self.bytes[start + 4..])
    }

    // Whether a caller takes the response for a complete one.
    fn is_whole(&self) -> bool {
        if self.head().is_empty() {
            return false;
        }
        let length = self.header("content-length");
        match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => self.body().len() == length,
            None if self.header("transfer-encoding").is_some() => {
                self.body().ends_with(b"0\r\n\r\n")
            }
            None => self.ended,
        }
    }
}

// Sends a request whose body is `body_bytes` long, in parts, and reads its response meanwhile.
async fn call(front: &impl fronts::CallerFront, method: &str, body_bytes: usize) -> CallerResponse {
    let stream = tokio::net::TcpStream::connect(front.address()).await;
    let mut stream = stream.expect("the front end accepts");
    let head = format!("{}\r\n", front.request_head("r1", method, body_bytes));
    stream.write_all(head.as_bytes()).await.expect("sent");
    let (mut reader, mut writer) = stream.into_split();
    let upload = actix::spawn(async move {
        let mut unsent = body_bytes;
        while unsent > 0 {
            let part = vec![7; unsent.min(64 * 1_024)];
            // The front end may close the connection once it has responded.
            writer.write_all(&part).await?;
            unsent -= part.len();
            tokio::time::sleep(UPLOAD_INTERVAL).await;
        }
        // Kept until the response was read.
        Ok::<_, std::io::Error>(writer)
    });
    let mut response = CallerResponse {
        bytes: Vec::new(),
        ended: false,
    };
    let mut part = vec![0; 64 * 1_024];
    let read = async {
        while !response.is_whole() {
            match reader.read(&mut part).await {
                Ok(0) => {
                    response.ended = true;
                    return;
                }
                Ok(count) => response.bytes.extend_from_slice(&part[..count]),
                Err(_) => return,
            }
        }
    };
    let ended = tokio::time::timeout(STEP_TIMEOUT, read).await;
    ended.expect("the front end ends the response");
    upload.abort();
    response
}

fn router(server: net::SocketAddr) -> fronts::RouterFront {
    fronts::RouterFront::start(server, specification::RequestKind::Once)
}

fn idempotent_router(server: net::SocketAddr) -> fronts::RouterFront {
    fronts::RouterFront::start(server, specification::RequestKind::Idempotent)
}

fn entry(server: net::SocketAddr) -> fronts::EntryFront {
    fronts::EntryFront::start(server, None)
}

// The server stands in for a gate, with the same responses.
fn gate(server: net::SocketAddr) -> fronts::EntryFront {
    fronts::EntryFront::start(server, Some(server))
}

// The start of a response that both front ends take for that of the request.
fn head(status: &str) -> String {
    let id = scripted_server::ID_MARK;
    format!(
        "HTTP/1.1 {status} Status\r\nx-request-id: {id}\r\nzinnia-request-id: {id}\r\n\
         x-response-signature: signed\r\n"
    )
}

fn with_length(status: &str) -> ServerStep {
    ServerStep::Send(head(status) + "content-length: 4\r\n\r\ndone")
}

fn without_length(bytes: usize) -> ServerStep {
    ServerStep::Send(head("200") + "\r\n" + &"x".repeat(bytes))
}

// Responds while the request is being sent, without a length, and then does what `ends` says.
fn early(bytes: usize, ends: &[ServerStep]) -> Vec<ServerStep> {
    let mut script = vec![ServerStep::Read(READ_BYTES), without_length(bytes)];
    script.extend_from_slice(ends);
    script
}

// A response that the server ends with a reset or with bytes of the request unread reaches no caller as
// a complete one. `held` ones are replaced by a 502 that states nothing of the request.
async fn expect_cut<F: fronts::CallerFront>(
    start: fn(net::SocketAddr) -> F,
    script: Vec<ServerStep>,
    body_bytes: usize,
    held: bool,
) {
    let server = scripted_server::ScriptedServer::start(script);
    let front = start(server.address);
    let response = call(&front, "POST", body_bytes).await;
    let status = response.status();
    assert!(
        !(response.is_whole() && status == 200),
        "{} bytes as a complete response",
        response.body().len()
    );
    if held {
        expect_unknown(&response);
    }
}

// A response that does not state that the request did not run.
fn expect_unknown(response: &CallerResponse) {
    let head = response.head();
    assert!(response.is_whole(), "{head}");
    assert_eq!(response.status(), 502, "{head}");
    let outcome = response.header("zinnia-outcome");
    assert!(outcome.is_none_or(|outcome| outcome == "unknown"), "{head}");
}

async fn expect_forwarded<F: fronts::CallerFront>(
    start: fn(net::SocketAddr) -> F,
    script: Vec<ServerStep>,
    body_bytes: usize,
    length: usize,
) {
    let server = scripted_server::ScriptedServer::start(script);
    let front = start(server.address);
    let response = call(&front, "POST", body_bytes).await;
    assert!(response.is_whole(), "{}", response.head());
    assert!(response.body().len() >= length, "{}", response.head());
    assert_ne!(response.status(), 502);
}

async fn expect_status_refused<F: fronts::CallerFront>(
    start: fn(net::SocketAddr) -> F,
    text: String,
) {
    let script = vec![
        ServerStep::ReadBody,
        ServerStep::Send(text),
        ServerStep::Pause(PAUSE),
        ServerStep::Close,
    ];
    let server = scripted_server::ScriptedServer::start(script);
    let front = start(server.address);
    expect_unknown(&call(&front, "POST", 10).await);
}

fn text(status: &str, headers: &str, body: &str) -> String {
    format!(
        "{}{headers}content-length: {}\r\n\r\n{body}",
        head(status),
        body.len()
    )
}

// A refusal with a status that no refusal has.
fn refusal(status: &str) -> String {
    let headers = "x-not-executed: 1\r\nzinnia-outcome: not-run\r\nzinnia-reason: shed\r\n";
    text(status, headers, "")
}

// The first attempt breaks off after the request was sent, and the second one is refused. The request may
// have run all the same.
async fn expect_no_refusal_after_a_broken_attempt<F: fronts::CallerFront>(
    start: fn(net::SocketAddr) -> F,
) {
    let broken = vec![ServerStep::ReadBody, ServerStep::Reset];
    let refused = vec![ServerStep::ReadBody, ServerStep::Send(refusal("503"))];
    let server = scripted_server::ScriptedServer::with_scripts(vec![broken, refused]);
    let front = start(server.address);
    let response = call(&front, "PUT", 10).await;
    assert!(server.received().len() > 1, "the request was not repeated");
    expect_unknown(&response);
}

macro_rules! response_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[actix_web::test]
        async fn $name() {
            $check.await;
        }
    )*};
}

// Guards against a part of a response that reaches a caller as a complete one, because the server's reset
// shows while the request is being written.
mod cut {
    use super::*;

    fn reset() -> Vec<ServerStep> {
        vec![ServerStep::Pause(PAUSE), ServerStep::Reset]
    }

    // The end of the response arrives in order, and the reset only once more of the request has been sent.
    fn shut_down() -> Vec<ServerStep> {
        [vec![ServerStep::ShutDown], reset()].concat()
    }

    fn whole_request(ends: &[ServerStep]) -> Vec<ServerStep> {
        let start = vec![ServerStep::ReadBody, without_length(HELD_BYTES)];
        [start, ends.to_vec()].concat()
    }

    response_cases! {
        router_held_reset: expect_cut(router, early(HELD_BYTES, &reset()), UPLOAD_BYTES, true);
        router_held_reset_at_once:
            expect_cut(router, early(HELD_BYTES, &[ServerStep::Reset]), UPLOAD_BYTES, true);
        router_held_closed:
            expect_cut(router, early(HELD_BYTES, &[ServerStep::Close]), UPLOAD_BYTES, true);
        router_held_shut_down: expect_cut(router, early(HELD_BYTES, &shut_down()), UPLOAD_BYTES, true);
        router_held_shut_down_held_upload:
            expect_cut(router, early(HELD_BYTES, &shut_down()), HELD_UPLOAD_BYTES, true);
        router_held_short_request: expect_cut(router, whole_request(&reset()), 10, true);
        router_streamed_reset: expect_cut(router, early(STREAMED_BYTES, &reset()), UPLOAD_BYTES, false);
        router_streamed_closed:
            expect_cut(router, early(STREAMED_BYTES, &[ServerStep::Close]), UPLOAD_BYTES, false);
        router_streamed_shut_down:
            expect_cut(router, early(STREAMED_BYTES, &shut_down()), UPLOAD_BYTES, false);
        entry_reset: expect_cut(entry, early(HELD_BYTES, &reset()), UPLOAD_BYTES, true);
        entry_closed: expect_cut(entry, early(HELD_BYTES, &[ServerStep::Close]), UPLOAD_BYTES, true);
        entry_shut_down: expect_cut(entry, early(HELD_BYTES, &shut_down()), UPLOAD_BYTES, true);
        entry_short_request: expect_cut(entry, whole_request(&reset()), 10, true);
        gate_reset: expect_cut(gate, early(HELD_BYTES, &reset()), UPLOAD_BYTES, true);
        gate_closed: expect_cut(gate, early(HELD_BYTES, &[ServerStep::Close]), UPLOAD_BYTES, true);
        gate_shut_down: expect_cut(gate, early(HELD_BYTES, &shut_down()), UPLOAD_BYTES, true);
    }
}

// Guards against legal responses that are taken for cut ones: a server may respond before it has read
// a long body, and go on reading.
mod legal {
    use super::*;

    fn early_with_length() -> Vec<ServerStep> {
        vec![
            ServerStep::Read(READ_BYTES),
            with_length("200"),
            ServerStep::ReadBody,
        ]
    }

    fn early_chunks() -> Vec<ServerStep> {
        let chunk = "x".repeat(STREAMED_BYTES);
        let chunks =
            format!("transfer-encoding: chunked\r\n\r\n{STREAMED_BYTES:x}\r\n{chunk}\r\n0\r\n\r\n");
        let chunks = ServerStep::Send(head("200") + &chunks);
        vec![ServerStep::Read(READ_BYTES), chunks, ServerStep::ReadBody]
    }

    fn early_end(bytes: usize) -> Vec<ServerStep> {
        early(
            bytes,
            &[
                ServerStep::ShutDown,
                ServerStep::ReadBody,
                ServerStep::Close,
            ],
        )
    }

    fn closed_in_order(bytes: usize) -> Vec<ServerStep> {
        vec![
            ServerStep::ReadBody,
            without_length(bytes),
            ServerStep::Close,
        ]
    }

    response_cases! {
        router_early: expect_forwarded(router, early_with_length(), UPLOAD_BYTES, 4);
        router_early_chunks: expect_forwarded(router, early_chunks(), UPLOAD_BYTES, STREAMED_BYTES);
        router_early_end: expect_forwarded(router, early_end(HELD_BYTES), UPLOAD_BYTES, HELD_BYTES);
        router_early_streamed_end:
            expect_forwarded(router, early_end(STREAMED_BYTES), UPLOAD_BYTES, STREAMED_BYTES);
        router_closed_in_order: expect_forwarded(router, closed_in_order(HELD_BYTES), 10, HELD_BYTES);
        router_closed_in_order_after_an_upload:
            expect_forwarded(router, closed_in_order(STREAMED_BYTES), UPLOAD_BYTES, STREAMED_BYTES);
        entry_early: expect_forwarded(entry, early_with_length(), UPLOAD_BYTES, 4);
        gate_early: expect_forwarded(gate, early_with_length(), UPLOAD_BYTES, 4);
    }
}

// Guards against a status that no server may respond with, and against a status that is not final: both
// are failed attempts, whatever their headers state.
mod statuses {
    use super::*;

    response_cases! {
        router_000: expect_status_refused(router, text("000", "", "done"));
        router_099: expect_status_refused(router, text("099", "", "done"));
        router_100: expect_status_refused(router, head("100") + "\r\n");
        router_101: expect_status_refused(router, text("101", "", ""));
        router_101_upgrade: expect_status_refused(router, text("101", "connection: upgrade\r\nupgrade: x\r\n", ""));
        router_600: expect_status_refused(router, text("600", "", "done"));
        router_999: expect_status_refused(router, text("999", "", "done"));
        router_600_not_run: expect_status_refused(router, refusal("600"));
        router_101_not_run: expect_status_refused(router, refusal("101"));
        router_599: expect_forwarded(router, vec![ServerStep::ReadBody, with_length("599")], 10, 4);
        router_200: expect_forwarded(router, vec![ServerStep::ReadBody, with_length("200")], 10, 4);
        router_103_before_200: expect_forwarded(
            router,
            vec![ServerStep::ReadBody, ServerStep::Send("HTTP/1.1 103 Hints\r\n\r\n".into()), with_length("200")],
            10,
            4
        );
        entry_000: expect_status_refused(entry, text("000", "", "done"));
        entry_099: expect_status_refused(entry, text("099", "", "done"));
        entry_100: expect_status_refused(entry, text("100", "", ""));
        entry_101: expect_status_refused(entry, text("101", "", ""));
        entry_101_upgrade: expect_status_refused(entry, text("101", "connection: upgrade\r\nupgrade: x\r\n", ""));
        entry_103: expect_status_refused(entry, text("103", "", "done"));
        entry_600: expect_status_refused(entry, text("600", "", "done"));
        entry_999: expect_status_refused(entry, text("999", "", "done"));
        entry_600_not_run: expect_status_refused(entry, refusal("600"));
        entry_599: expect_forwarded(entry, vec![ServerStep::ReadBody, with_length("599")], 10, 4);
        gate_000: expect_status_refused(gate, text("000", "", "done"));
        gate_101: expect_status_refused(gate, text("101", "", ""));
        gate_600: expect_status_refused(gate, text("600", "", "done"));
        gate_999: expect_status_refused(gate, text("999", "", "done"));
        gate_600_not_run: expect_status_refused(gate, refusal("600"));
        gate_200: expect_forwarded(gate, vec![ServerStep::ReadBody, with_length("200")], 10, 4);
    }
}

// Guards against a response that states that a request did not run, although an attempt before may have
// run it.
mod repeated {
    use super::*;

    response_cases! {
        router_refused_after_a_broken_attempt: expect_no_refusal_after_a_broken_attempt(idempotent_router);
        entry_refused_after_a_broken_attempt: expect_no_refusal_after_a_broken_attempt(entry);
        gate_refused_after_a_broken_attempt: expect_no_refusal_after_a_broken_attempt(gate);
    }
}
