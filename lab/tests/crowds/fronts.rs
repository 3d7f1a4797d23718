//! A process of each front end with lowered limits, and the site around it.

use std::cell;
use std::fs;
use std::net;
use std::path;
use std::process;

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

/// The descriptors that the process may have open.
pub(crate) const MAX_FDS: usize = 384;
/// The caller connections that the settings of `zinnia entry` allow. The remaining descriptors are
/// for its listeners, its threads, control calls and connections to servers.
pub(crate) const CONNECTIONS: usize = 288;
/// The size of a body that `zinnia entry` buffers, in bytes.
const ENTRY_BUFFERED_BYTES: usize = 250_000;
/// The size of a body that `zinnia-router` buffers, in bytes.
const ROUTER_BUFFERED_BYTES: usize = 1_000_000;
/// The longest body that the configurations allow, in bytes.
const BODY_LIMIT: usize = 3_000_000;
/// The time-out of a request, in milliseconds: a crowd is complete long before it.
const DEADLINE_MS: u64 = 10_000;
/// The workers of the pool behind `zinnia-router` besides those that each site has: enough for a crowd whose
/// requests all run at once.
const ADDED_WORKERS: u16 = 16;

/// A process that a crowd is played against.
pub(crate) trait FrontCase {
    /// Returns what the crowd needs to know of the process.
    fn front(&self) -> &FrontProcess;

    /// Sends an ordinary request from another client; reports whether it was answered.
    async fn serves(&self) -> bool;

    /// Reports whether a server has begun to work on a request.
    fn has_run(&self, id: &str) -> bool;

    /// Checks what must hold at the end, first that the process lives.
    fn finish(&mut self);
}

/// The observed process of a front end.
#[derive(Clone)]
pub(crate) struct FrontProcess {
    id: u32,
    pub(crate) address: net::SocketAddr,
    // The size of a body that it buffers, in bytes.
    pub(crate) buffered: usize,
    // The request line and the headers that it requires.
    target: &'static str,
    id_header: &'static str,
}

impl FrontProcess {
    /// Returns the head of a request with this id and these further header lines.
    pub(crate) fn head(&self, id: &str, headers: &str) -> String {
        let (target, id_header) = (self.target, self.id_header);
        format!(
            "POST {target} HTTP/1.1\r\nhost: desk.example\r\n{id_header}: {id}\r\n{headers}\r\n"
        )
    }

    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.expect("the process ended");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        peak.expect("the process ended")
    }

    pub(crate) fn open_descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.id));
        entries.expect("the process ended").count()
    }
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
    memory_mb: u64,
) -> EntryProcess {
    let child = process::Command::new(program("zinnia"))
        .arg("entry")
        .env("ZINNIA_NAME", spec.name.as_str())
        .env("ZINNIA_DOMAIN", spec.domain.as_str())
        .env("ZINNIA_CALLERS", spec.callers.to_string())
        .env("ZINNIA_OPERATORS", operators.to_string())
        .env("ZINNIA_PEERS", spec.peer.to_string())
        .env("ZINNIA_LOG", log.to_string())
        .env("ZINNIA_MEMORY_MB", memory_mb.to_string())
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

/// A process of `zinnia entry`.
pub(crate) struct EntryCase {
    entry: EntryProcess,
    front: FrontProcess,
    server: site::SiteServer,
    client: caller::CallerClient,
    sent: cell::Cell<u32>,
}

impl EntryCase {
    /// Starts the process with so much memory, and waits until it serves.
    pub(crate) async fn start(memory_mb: u64) -> Self {
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
        let entry = start_entry(&host, operators, log, memory_mb);
        submit(operators, &entry_configuration(&host, &server.spec)).await;
        let case = Self {
            front: FrontProcess {
                id: entry.child.id(),
                address: host.callers,
                buffered: ENTRY_BUFFERED_BYTES,
                target: "/stock/yard-3",
                id_header: zinniastack::contract::REQUEST_ID_HEADER,
            },
            entry,
            server,
            client: caller::CallerClient::new(),
            sent: cell::Cell::new(0),
        };
        case::wait_until("the host serves", async || case.serves().await).await;
        case
    }
}

impl FrontCase for EntryCase {
    fn front(&self) -> &FrontProcess {
        &self.front
    }

    async fn serves(&self) -> bool {
        self.sent.set(self.sent.get() + 1);
        let id = format!("o{}", self.sent.get());
        let request = caller::CallerRequest::new("stock", "yard-3", &id);
        let response = self.client.send(self.front.address, &request).await;
        response.is_ok_and(|response| response.ran())
    }

    fn has_run(&self, id: &str) -> bool {
        let state = http::lock(self.server.service.state());
        let mut journal = state.journal().iter();
        journal.any(|entry| entry.id.as_str() == id)
    }

    fn finish(&mut self) {
        let ended = self.entry.child.try_wait();
        let ended = ended.expect("the process is a child");
        assert_eq!(ended, None, "the process ended");
    }
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

/// A process of `zinnia-router`.
pub(crate) struct RouterCase {
    case: case::SiteCase,
    front: FrontProcess,
    sent: cell::Cell<u32>,
}

impl RouterCase {
    /// Starts the process with so much memory, and waits until it serves. `number` tells the loopback
    /// addresses of cases apart.
    pub(crate) async fn start(memory_mb: u64, number: u8) -> Self {
        Self::with_workers(memory_mb, number, 0).await
    }

    /// Does the same with workers for many requests at once.
    pub(crate) async fn start_wide(memory_mb: u64, number: u8) -> Self {
        Self::with_workers(memory_mb, number, ADDED_WORKERS).await
    }

    async fn with_workers(memory_mb: u64, number: u8, added: u16) -> Self {
        let case = case::SiteCase::new(&program("zinnia-lab"), number);
        let limits = serde_json::json!({ "memory_mb": memory_mb, "max_fds": MAX_FDS });
        let mut case = case.with_limits(limits);
        case.site.start_workers().expect("the ports are free");
        for number in 0..added {
            let id = format!("orders-added-{number}");
            let added = case.site.add_worker(&id, "orders", false);
            added.expect("the port is free");
        }
        case.site.configure(&router_configuration());
        case.add_host();
        case.wait_until_ready().await;
        case.wait_until_served("/orders/a", "warm").await;
        let front = FrontProcess {
            id: case.hosts[0].id(),
            address: case.hosts[0].ports.front,
            buffered: ROUTER_BUFFERED_BYTES,
            target: "/orders/a",
            id_header: "x-request-id",
        };
        let sent = cell::Cell::new(0);
        Self { case, front, sent }
    }
}

impl FrontCase for RouterCase {
    fn front(&self) -> &FrontProcess {
        &self.front
    }

    async fn serves(&self) -> bool {
        self.sent.set(self.sent.get() + 1);
        let id = format!("o{}", self.sent.get());
        let response = self.case.send(0, "/orders/a", &id, 0).await;
        response.is_some_and(|(status, _)| status == 200)
    }

    fn has_run(&self, id: &str) -> bool {
        self.case.site.has_run(id)
    }

    fn finish(&mut self) {
        assert!(self.case.hosts[0].is_running(), "the process ended");
        self.case.expect_invariants();
    }
}
