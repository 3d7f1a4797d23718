//! Runs one process of each front end with lowered limits against a crowd of clients that hold its
//! memory and its connections.
//!
//! Each case checks that the process lives, that its peak memory and its open descriptors stay
//! within the limits of its settings, and that an ordinary request is answered afterwards. How many
//! requests of the crowd are served, and how fast, is not checked.

use std::cell;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::rc;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use zinnia_lab::caller;
use zinnia_lab::http;
use zinnia_lab::log_state;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::settings;
use zinnia_lab::site;
use zinniastack::cmd;
use zinniastack::configuration;
use zinniastack::edge::controller;
use zinniastack::edge::operators;
use zinniastack::names;
use zinniastack::replay;

/// The memory that the settings allow the process, in MiB.
const MEMORY_MB: u64 = 64;
/// The descriptors that the process may have open.
const MAX_FDS: usize = 384;
/// The caller connections that the settings of `zinnia entry` allow. The remaining descriptors are
/// for its listeners, its threads, control calls and connections to servers.
const CONNECTIONS: usize = 288;
/// The number of clients in a crowd.
const CLIENTS: usize = 400;
/// Each client whose number is divisible by this sends its whole body.
const WHOLE_EVERY: usize = 10;
/// The size of a body that `zinnia entry` buffers, in bytes.
const ENTRY_BUFFERED_BYTES: usize = 250_000;
/// The size of a body that `zinnia-router` buffers, in bytes.
const ROUTER_BUFFERED_BYTES: usize = 1_000_000;
/// The size of a body that is streamed, in bytes.
const LARGE_BYTES: usize = 2_500_000;
/// The longest body that the configurations allow, in bytes.
const BODY_LIMIT: usize = 3_000_000;
/// What a client sends of a body over the limit, in bytes.
const EXCESS_BYTES: usize = 4_000_000;
/// The length that such a body is announced with, in bytes.
const ANNOUNCED_BYTES: usize = 1_000_000_000;
/// The size of a body that is sent in chunks of one byte. The library of the test build, which is not
/// optimized, takes several seconds to decode a crowd of these.
const BYTEWISE_BYTES: usize = 40_000;
/// The size of a piece of a body that is sent in pieces, in bytes.
const PIECE_BYTES: usize = 10_000;
/// The size of a response, in bytes.
const RESPONSE_BYTES: usize = 1_000_000;
/// The time-out of a request, in milliseconds: a crowd is complete long before it.
const DEADLINE_MS: u64 = 10_000;
/// How long the crowd has to send what it sends, where the process does not read it.
const CROWD_TIME: time::Duration = time::Duration::from_secs(20);
/// The interval at which the process is observed, in milliseconds.
const POLL_MS: u64 = 20;
/// The pause between two bytes that a slow reader takes, in milliseconds.
const READ_PAUSE_MS: u64 = 100;

// One crowd at a time: the cases run in threads of one process, and each takes most of a core.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrowdKind {
    /// Sends a body in one chunk.
    LargeChunk,
    /// Sends a body in chunks of one byte.
    ByteChunks,
    /// Sends a body with its length at once.
    WholeBody,
    /// Sends a body with its length in pieces.
    PiecewiseBody,
    /// Announces a body far over the limit.
    AnnouncedExcess,
    /// Sends a body far over the limit without announcing it.
    SentExcess,
    /// Reads a large response a byte at a time.
    SlowReader,
}

/// The bytes that each client sends after the head of its request.
#[derive(Clone)]
struct CrowdBody {
    headers: String,
    bytes: sync::Arc<[u8]>,
    // Those that leave out the end send this many bytes.
    short: usize,
    piece: usize,
}

impl CrowdBody {
    fn new(kind: CrowdKind, buffered: usize) -> Self {
        let chunked = "transfer-encoding: chunked\r\n".to_owned();
        let length = |bytes: usize| format!("content-length: {bytes}\r\n");
        let (headers, bytes, cut) = match kind {
            CrowdKind::LargeChunk => (chunked, chunks(1, buffered), 6),
            CrowdKind::ByteChunks => (chunked, chunks(BYTEWISE_BYTES, 1), 5),
            CrowdKind::WholeBody | CrowdKind::PiecewiseBody => {
                (length(LARGE_BYTES), vec![b'x'; LARGE_BYTES], 1)
            }
            CrowdKind::AnnouncedExcess => (length(ANNOUNCED_BYTES), vec![b'x'; EXCESS_BYTES], 0),
            CrowdKind::SentExcess => (chunked, chunks(EXCESS_BYTES / 50_000, 50_000), 5),
            CrowdKind::SlowReader => {
                let header = http::RESPONSE_BYTES_HEADER;
                let asked = format!("{header}: {RESPONSE_BYTES}\r\n");
                (asked + &length(0), Vec::new(), 0)
            }
        };
        let piece = if kind == CrowdKind::PiecewiseBody {
            PIECE_BYTES
        } else {
            bytes.len().max(1)
        };
        Self {
            headers,
            short: bytes.len() - cut,
            bytes: bytes.into(),
            piece,
        }
    }
}

// A chunked body with its end.
fn chunks(count: usize, size: usize) -> Vec<u8> {
    let mut wire = Vec::new();
    for _ in 0..count {
        wire.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        wire.extend(std::iter::repeat_n(b'x', size));
        wire.extend_from_slice(b"\r\n");
    }
    wire.extend_from_slice(b"0\r\n\r\n");
    wire
}

/// A crowd whose clients keep their connections open until it is dropped.
struct ClientCrowd {
    clients: Vec<tokio::task::JoinHandle<()>>,
    settled: rc::Rc<cell::Cell<usize>>,
}

impl ClientCrowd {
    fn start(front: &FrontProcess, kind: CrowdKind) -> Self {
        let settled = rc::Rc::new(cell::Cell::new(0));
        let body = CrowdBody::new(kind, front.buffered);
        let clients = (0..CLIENTS).map(|number| {
            let head = front.head(&format!("c{number}"), &body.headers);
            let client = run_client(front.address, head, body.clone(), kind, number);
            let settled = rc::Rc::clone(&settled);
            actix::spawn(async move {
                let stream = client.await;
                settled.set(settled.get() + 1);
                if let Some(stream) = stream {
                    hold(stream, kind).await;
                }
            })
        });
        Self {
            clients: clients.collect(),
            settled,
        }
    }

    fn is_settled(&self) -> bool {
        self.settled.get() == self.clients.len()
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

// Sends a request; returns its connection unless the process closed it.
async fn run_client(
    address: net::SocketAddr,
    head: String,
    body: CrowdBody,
    kind: CrowdKind,
    number: usize,
) -> Option<tokio::net::TcpStream> {
    let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    let end = if number.is_multiple_of(WHOLE_EVERY) {
        body.bytes.len()
    } else {
        body.short
    };
    for piece in body.bytes[..end].chunks(body.piece) {
        stream.write_all(piece).await.ok()?;
        if kind == CrowdKind::PiecewiseBody {
            tokio::task::yield_now().await;
        }
    }
    Some(stream)
}

// Keeps a connection open. A slow reader takes a byte at a time, the others read nothing.
async fn hold(stream: tokio::net::TcpStream, kind: CrowdKind) {
    let mut stream = stream;
    if kind == CrowdKind::SlowReader {
        while let Ok(1) = stream.read(&mut [0]).await {
            tokio::time::sleep(time::Duration::from_millis(READ_PAUSE_MS)).await;
        }
    }
    std::future::pending::<()>().await;
}

/// The observed process of a front end.
struct FrontProcess {
    id: u32,
    address: net::SocketAddr,
    // The size of a body that it buffers, in bytes.
    buffered: usize,
    // The request line and the headers that it requires.
    target: &'static str,
    id_header: &'static str,
}

impl FrontProcess {
    fn head(&self, id: &str, headers: &str) -> String {
        let (target, id_header) = (self.target, self.id_header);
        format!(
            "POST {target} HTTP/1.1\r\nhost: desk.example\r\n{id_header}: {id}\r\n{headers}\r\n"
        )
    }

    fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.expect("the process ended");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        peak.expect("the process ended")
    }

    fn open_descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.id));
        entries.expect("the process ended").count()
    }
}

// Plays a crowd against a process. `ordinary` sends an ordinary request from another client and
// reports whether it was answered.
async fn play(front: &FrontProcess, kind: CrowdKind, ordinary: impl AsyncFn() -> bool) {
    let before_kb = front.peak_memory_kb();
    let crowd = ClientCrowd::start(front, kind);
    let started = time::Instant::now();
    let mut descriptors = 0;
    while !crowd.is_settled() && started.elapsed() < CROWD_TIME {
        descriptors = descriptors.max(front.open_descriptors());
        tokio::time::sleep(time::Duration::from_millis(POLL_MS)).await;
    }
    let settled = crowd.settled.get();
    descriptors = descriptors.max(front.open_descriptors());
    let peak_kb = front.peak_memory_kb();
    println!(
        "{kind:?}: {before_kb} kB before, {peak_kb} kB peak, {descriptors} descriptors, {settled} settled"
    );
    case::wait_until("an ordinary request is answered", &ordinary).await;
    descriptors = descriptors.max(front.open_descriptors());
    let peak_kb = front.peak_memory_kb();
    println!("{kind:?}: {peak_kb} kB peak and {descriptors} descriptors at the end");
    assert!(
        peak_kb < MEMORY_MB * 1_024,
        "the peak memory was {peak_kb} kB"
    );
    assert!(
        descriptors <= MAX_FDS,
        "{descriptors} descriptors were open"
    );
}

fn program(name: &str) -> path::PathBuf {
    let program = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab")).with_file_name(name);
    assert!(program.exists(), "run cargo test --workspace");
    program
}

/// The process of `zinnia entry`, killed when the value is dropped.
struct EntryProcess {
    child: process::Child,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_entry(
    spec: &configuration::HostSpec,
    operators: net::SocketAddr,
    log: net::SocketAddr,
) -> EntryProcess {
    let child = process::Command::new(program("zinnia"))
        .arg("entry")
        .env("ZINNIA_NAME", spec.name.as_str())
        .env("ZINNIA_DOMAIN", spec.domain.as_str())
        .env("ZINNIA_CALLERS", spec.callers.to_string())
        .env("ZINNIA_OPERATORS", operators.to_string())
        .env("ZINNIA_PEERS", spec.peer.to_string())
        .env("ZINNIA_LOG", log.to_string())
        .env("ZINNIA_MEMORY_MB", MEMORY_MB.to_string())
        .env("ZINNIA_CONNECTIONS", CONNECTIONS.to_string())
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .spawn()
        .expect("zinnia starts");
    EntryProcess { child }
}

fn entry_configuration(
    host: &configuration::HostSpec,
    server: &configuration::ServerSpec,
) -> configuration::Configuration {
    configuration::Configuration {
        domain: vec![configuration::DomainSpec {
            name: host.domain.clone(),
            gone: None,
        }],
        host: vec![host.clone()],
        service: vec![configuration::ServiceSpec {
            name: server.service.clone(),
            rank: configuration::WorkRank::new(1).expect("a valid rank"),
            shards: 16,
            deadline_ms: DEADLINE_MS,
            floor_percent: 10,
            max_body_bytes: u64::try_from(BODY_LIMIT).expect("a small number"),
            homes: vec![host.domain.clone()],
        }],
        server: vec![server.clone()],
        feature: Vec::new(),
    }
}

async fn submit(operators: net::SocketAddr, configuration: &configuration::Configuration) {
    let submission = operators::PatchSubmission {
        id: names::RecordId::new("first").expect("a valid id"),
        base: 0,
        changes: configuration.to_changes(),
    };
    case::wait_until("the configuration is accepted", async || {
        let response: Result<Option<controller::PatchStatus>, _> =
            cmd::call_host(operators, "/patches", Some(&submission)).await;
        let verdict = response.ok().flatten().and_then(|status| status.verdict);
        matches!(verdict, Some(replay::PatchVerdict::Accepted { .. }))
    })
    .await;
}

async fn crowd_at_entry(kind: CrowdKind) {
    let log_listener = site::free_listener().expect("the port is free");
    let log = log_listener
        .local_addr()
        .expect("the listener has an address");
    http::serve_log(log_listener, http::shared(log_state::LogState::new()))
        .expect("the log starts");
    let listener = site::free_listener().expect("the port is free");
    let domain = names::DomainName::new("north").expect("a valid name");
    let spec = configuration::ServerSpec {
        name: names::ServerName::new("stock-1").expect("a valid name"),
        service: names::ServiceName::new("stock").expect("a valid name"),
        domain: domain.clone(),
        address: listener.local_addr().expect("the listener has an address"),
        fences: configuration::FenceMode::Checked,
        slots: 24,
        connections: 48,
        withdrawn: None,
    };
    let server = site::start_server(listener, spec).expect("the server starts");
    let host = configuration::HostSpec {
        name: names::HostName::new("entry-0").expect("a valid name"),
        domain,
        peer: site::free_address(),
        callers: site::free_address(),
    };
    let operators = site::free_address();
    let mut entry = start_entry(&host, operators, log);
    submit(operators, &entry_configuration(&host, &server.spec)).await;
    let client = caller::CallerClient::new();
    let count = cell::Cell::new(0);
    let ordinary = async || {
        count.set(count.get() + 1);
        let request = caller::CallerRequest::new("stock", "yard-3", &format!("o{}", count.get()));
        let response = client.send(host.callers, &request).await;
        response.is_ok_and(|response| response.ran())
    };
    case::wait_until("the host serves", &ordinary).await;
    let front = FrontProcess {
        id: entry.child.id(),
        address: host.callers,
        buffered: ENTRY_BUFFERED_BYTES,
        target: "/stock/yard-3",
        id_header: zinniastack::contract::REQUEST_ID_HEADER,
    };
    play(&front, kind, ordinary).await;
    let ended = entry.child.try_wait().expect("the process is a child");
    assert_eq!(ended, None, "the process ended");
}

fn router_configuration() -> serde_json::Value {
    let mut configuration = settings::configuration(3, false);
    configuration["limits"]["max_body_bytes"] = BODY_LIMIT.into();
    for path in 0..2 {
        let path = &mut configuration["hosts"][0]["paths"][path];
        path["timeout_ms"] = DEADLINE_MS.into();
        path["target_latency_ms"] = DEADLINE_MS.into();
    }
    configuration
}

async fn crowd_at_router(kind: CrowdKind, number: u8) {
    let case = case::SiteCase::new(&program("zinnia-lab"), number);
    let limits = serde_json::json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let mut case = case.with_limits(limits);
    case.site.start_workers().expect("the ports are free");
    case.site.configure(&router_configuration());
    case.add_host();
    case.wait_until_ready().await;
    case.wait_until_served("/orders/a", "warm").await;
    let count = cell::Cell::new(0);
    let ordinary = async || {
        count.set(count.get() + 1);
        let response = case
            .send(0, "/orders/a", &format!("o{}", count.get()), 0)
            .await;
        response.is_some_and(|(status, _)| status == 200)
    };
    let front = FrontProcess {
        id: case.hosts[0].id(),
        address: case.hosts[0].ports.front,
        buffered: ROUTER_BUFFERED_BYTES,
        target: "/orders/a",
        id_header: "x-request-id",
    };
    play(&front, kind, ordinary).await;
    assert!(case.hosts[0].is_running(), "the process ended");
    case.expect_invariants();
}

/// Defines two tests for each named crowd, one for each front end. The number tells the loopback
/// addresses of the cases apart.
macro_rules! crowd_cases {
    ($($name:ident = $kind:ident, $number:literal;)*) => {
        mod entry {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                actix::System::new().block_on(super::crowd_at_entry(super::CrowdKind::$kind));
            })*
        }

        mod router {
            $(#[test]
            fn $name() {
                let _turn = super::TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let played = super::crowd_at_router(super::CrowdKind::$kind, $number);
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
