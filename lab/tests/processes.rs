//! Runs the log, the host list, the servers and the entry hosts as separate processes, and kills,
//! freezes and stops them.

use std::net;
use std::path;
use std::process;
use std::time;

use zinnia_lab::caller;
use zinnia_lab::server_state;
use zinnia_lab::site;
use zinnia_lab::stop_caller;
use zinniastack::cmd;
use zinniastack::configuration;
use zinniastack::edge::controller;
use zinniastack::edge::operators;
use zinniastack::gate;
use zinniastack::names;
use zinniastack::replay;
use zinniastack::report;

/// Upper bound on a step, in seconds. It only ends a hung test; no case asserts a duration.
const STEP_TIMEOUT_S: u64 = 60;

/// How long callers send requests before a host is stopped.
const LOAD_TIME: time::Duration = time::Duration::from_millis(600);

/// Non-idempotent requests to the service `orders`, half of them sent before the fault is injected.
const ORDERS: usize = 400;

/// A process that is killed when the value is dropped.
struct TestProcess {
    child: process::Child,
}

impl TestProcess {
    fn start(program: &path::Path, arguments: &[String]) -> Self {
        let child = process::Command::new(program)
            .args(arguments)
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap_or_else(|e| panic!("{} does not start: {e}", program.display()));
        Self { child }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn lab_program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"))
}

// `cargo test --workspace` builds it in the same directory as the lab program.
fn entry_program() -> path::PathBuf {
    let program = lab_program().with_file_name("zinnia");
    assert!(program.exists(), "run cargo test --workspace");
    program
}

fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    let texts = pairs.iter();
    texts
        .flat_map(|(flag, value)| [format!("--{flag}"), value.clone()])
        .collect()
}

/// One entry host as a process.
struct HostProcess {
    process: TestProcess,
    spec: configuration::HostSpec,
    callers: net::SocketAddr,
    operators: net::SocketAddr,
}

/// One server as a process.
struct ServerProcess {
    process: TestProcess,
    spec: configuration::ServerSpec,
}

/// A site whose parts run as processes.
struct ProcessSite {
    _platform: Vec<TestProcess>,
    log: net::SocketAddr,
    hosts: Vec<HostProcess>,
    servers: Vec<ServerProcess>,
    client: caller::CallerClient,
    counter: u64,
}

const DOMAIN: &str = "north";

impl ProcessSite {
    fn start(hosts: usize, servers: usize, services: &[&str]) -> Self {
        let log = site::free_address();
        let list = site::free_address();
        let listen = |command: &str, address: net::SocketAddr| {
            let mut arguments = vec![command.to_owned()];
            arguments.extend(flags(&[("listen", address.to_string())]));
            TestProcess::start(lab_program(), &arguments)
        };
        let platform = vec![listen("log", log), listen("hosts", list)];
        let servers = services
            .iter()
            .flat_map(|service| (1..=servers).map(move |number| start_server(service, number)));
        let servers = servers.collect();
        let peers: Vec<_> = (0..hosts).map(|_| site::free_address()).collect();
        let hosts = (0..hosts).map(|number| start_host(number, &peers, log, list));
        Self {
            _platform: platform,
            log,
            hosts: hosts.collect(),
            servers,
            client: caller::CallerClient::new(),
            counter: 0,
        }
    }

    fn configuration(&self) -> configuration::Configuration {
        let domain = names::DomainName::new(DOMAIN).expect("a valid name");
        let mut services: Vec<names::ServiceName> = Vec::new();
        for server in &self.servers {
            if !services.contains(&server.spec.service) {
                services.push(server.spec.service.clone());
            }
        }
        let service = |(index, name): (usize, &names::ServiceName)| configuration::ServiceSpec {
            name: name.clone(),
            rank: configuration::WorkRank::new(u8::try_from(index).expect("few") + 1)
                .expect("a valid rank"),
            shards: 16,
            deadline_ms: 2_000,
            floor_percent: 10,
            max_body_bytes: 64 << 20,
            homes: vec![domain.clone()],
        };
        configuration::Configuration {
            domain: vec![configuration::DomainSpec {
                name: domain.clone(),
                gone: None,
            }],
            host: self.hosts.iter().map(|host| host.spec.clone()).collect(),
            service: services.iter().enumerate().map(service).collect(),
            server: self.servers.iter().map(|s| s.spec.clone()).collect(),
            feature: Vec::new(),
        }
    }

    async fn submit(
        &self,
        host: usize,
        base: u64,
        changes: Vec<configuration::ConfigurationChange>,
    ) -> replay::PatchVerdict {
        let started = time::Instant::now();
        let id = names::RecordId::new(&format!("patch-{base}")).expect("a valid id");
        let submission = operators::PatchSubmission { id, base, changes };
        loop {
            let address = self.hosts[host].operators;
            let response: Result<Option<controller::PatchStatus>, _> =
                cmd::call_host(address, "/patches", Some(&submission)).await;
            if let Ok(Some(status)) = response
                && let Some(verdict) = status.verdict
            {
                return verdict;
            }
            wait(started, "the patch has a verdict").await;
        }
    }

    async fn status(&self, host: usize) -> Option<report::HostStatus> {
        let address = self.hosts[host].operators;
        let response = cmd::call_host::<(), _>(address, "/status", None).await;
        response.ok().flatten()
    }

    async fn send_until_ran(&mut self, host: usize, service: &str, key: &str) -> String {
        let started = time::Instant::now();
        loop {
            self.counter += 1;
            let id = format!("request-{}", self.counter);
            let request = caller::CallerRequest::new(service, key, &id);
            let response = self.client.send(self.hosts[host].callers, &request).await;
            if response.as_ref().is_ok_and(caller::CallerResponse::ran) {
                return id;
            }
            let step = format!("{service}/{key} runs at host {host}, last {response:?}");
            wait(started, &step).await;
        }
    }

    async fn journal(&self, server: usize) -> Vec<server_state::JournalEntry> {
        let address = self.servers[server].spec.address;
        let response = cmd::call_host::<(), _>(address, "/journal", None).await;
        response.ok().flatten().unwrap_or_default()
    }

    async fn ran_at(&self, id: &str) -> Vec<usize> {
        let mut ran = Vec::new();
        for server in 0..self.servers.len() {
            let journal = self.journal(server).await;
            let times = journal.iter().filter(|entry| entry.id.as_str() == id);
            ran.extend(times.map(|_| server));
        }
        ran
    }

    /// Returns the gate of a server: the host whose queue all requests to the server go through.
    fn gate_of(&self, server: usize) -> usize {
        let configuration = self.configuration();
        let usable = configuration.host.iter().map(|host| host.name.clone());
        let nobody = names::HostName::new("nobody").expect("a valid name");
        let gates = gate::GateMap::new(&configuration, &usable.collect(), &nobody);
        let gate = gates
            .find(&self.servers[server].spec.name)
            .expect("the server has a gate");
        let mut hosts = self.hosts.iter();
        let position = hosts.position(|host| host.spec.name == gate.host);
        position.expect("the gate is a host")
    }

    async fn granter(&self, host: usize) -> Option<usize> {
        let status = self.status(host).await?;
        let granter = status.domains.first()?.granter.clone()?;
        self.hosts.iter().position(|h| h.spec.name == granter)
    }
}

fn start_server(service: &str, number: usize) -> ServerProcess {
    let address = site::free_address();
    let mut arguments = vec!["server".to_owned()];
    arguments.extend(flags(&[("listen", address.to_string())]));
    let spec = configuration::ServerSpec {
        name: names::ServerName::new(&format!("{service}-{number}")).expect("a valid name"),
        service: names::ServiceName::new(service).expect("a valid name"),
        domain: names::DomainName::new(DOMAIN).expect("a valid name"),
        address,
        fences: configuration::FenceMode::Checked,
        slots: 6,
        connections: 130,
        withdrawn: None,
    };
    ServerProcess {
        process: TestProcess::start(lab_program(), &arguments),
        spec,
    }
}

fn start_host(
    number: usize,
    peers: &[net::SocketAddr],
    log: net::SocketAddr,
    list: net::SocketAddr,
) -> HostProcess {
    let callers = site::free_address();
    let operators = site::free_address();
    let name = format!("entry-{number}");
    let bootstrap: Vec<_> = peers.iter().map(ToString::to_string).collect();
    let mut arguments = vec!["entry".to_owned()];
    arguments.extend(flags(&[
        ("name", name.clone()),
        ("domain", DOMAIN.to_owned()),
        ("callers", callers.to_string()),
        ("operators", operators.to_string()),
        ("peers", peers[number].to_string()),
        ("log", log.to_string()),
        ("host-list", list.to_string()),
        ("bootstrap", bootstrap.join(",")),
    ]));
    HostProcess {
        process: TestProcess::start(&entry_program(), &arguments),
        spec: configuration::HostSpec {
            name: names::HostName::new(&name).expect("a valid name"),
            domain: names::DomainName::new(DOMAIN).expect("a valid name"),
            peer: peers[number],
            callers,
        },
        callers,
        operators,
    }
}

async fn wait(started: time::Instant, step: &str) {
    let timed_out = started.elapsed() > time::Duration::from_secs(STEP_TIMEOUT_S);
    assert!(!timed_out, "not within {STEP_TIMEOUT_S} s: {step}");
    tokio::time::sleep(time::Duration::from_millis(20)).await;
}

/// Defines a test for each named case, which runs in its own actix system.
macro_rules! process_cases {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            actix::System::new().block_on(cases::$name());
        }
    )*};
}

process_cases! {
    serves_each_rank_and_a_patch,
    replaces_a_killed_granter_while_the_log_is_down,
    serves_the_keys_of_a_frozen_server_elsewhere,
    takes_back_a_paused_granter_without_a_second_owner,
    cuts_no_request_on_sigterm,
    answers_what_is_in_flight_on_a_second_signal,
    answers_what_it_has_accepted_when_it_stops,
    accounts_for_every_order_when_a_host_is_killed,
    accounts_for_every_order_when_a_server_freezes,
    names_a_bad_setting_and_exits_2,
}

mod cases {
    use super::*;

    pub async fn serves_each_rank_and_a_patch() {
        let mut site = ProcessSite::start(2, 2, &["stock", "orders", "site-files"]);
        let changes = site.configuration().to_changes();
        let verdict = site.submit(0, 0, changes).await;
        assert_eq!(verdict, replay::PatchVerdict::Accepted { version: 1 });
        for host in 0..2 {
            for service in ["stock", "orders", "site-files"] {
                let id = site.send_until_ran(host, service, "yard-3").await;
                assert_eq!(site.ran_at(&id).await.len(), 1);
            }
        }
        let feature = configuration::FeatureSpec {
            name: names::FeatureName::new("digest").expect("a valid name"),
            service: names::ServiceName::new("stock").expect("a valid name"),
            rank: None,
            status: configuration::FeatureStatus::Retired,
            when_stale: configuration::StalePolicy::Hold,
        };
        let change = configuration::ConfigurationChange::PutFeature(feature.clone());
        let verdict = site.submit(1, 1, vec![change]).await;
        assert_eq!(verdict, replay::PatchVerdict::Accepted { version: 2 });
        let request = caller::CallerRequest::new("stock", "yard-3", "job");
        let request = request.with_feature(feature.name);
        let response = site.client.send(site.hosts[1].callers, &request).await;
        assert_eq!(response.map(|response| response.status), Ok(410));
        assert!(site.ran_at("job").await.is_empty());
    }

    pub async fn replaces_a_killed_granter_while_the_log_is_down() {
        let mut site = ProcessSite::start(5, 4, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        for host in 0..5 {
            site.send_until_ran(host, "stock", "yard-3").await;
        }
        let faults = zinnia_lab::log_state::LogFaults {
            outage: true,
            ..Default::default()
        };
        set_faults(site.log, &faults).await;
        let killed = site.granter(0).await.expect("a host grants");
        site.hosts[killed].process.signal("-KILL");
        let other = (killed + 1) % 5;
        let started = time::Instant::now();
        let successor = loop {
            let granter = site.granter(other).await;
            if let Some(granter) = granter.filter(|granter| *granter != killed) {
                break granter;
            }
            wait(started, "another host grants").await;
        };
        assert_ne!(successor, killed);
        for key in 0..16 {
            let id = site.send_until_ran(other, "stock", &key.to_string()).await;
            assert_eq!(site.ran_at(&id).await.len(), 1);
        }
    }

    pub async fn serves_the_keys_of_a_frozen_server_elsewhere() {
        let mut site = ProcessSite::start(2, 3, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        let id = site.send_until_ran(0, "stock", "yard-3").await;
        let owner = site.ran_at(&id).await[0];
        site.servers[owner].process.signal("-STOP");
        let next = site.send_until_ran(1, "stock", "yard-3").await;
        site.servers[owner].process.signal("-CONT");
        let ran = site.ran_at(&next).await;
        assert_eq!(ran.len(), 1);
        assert_ne!(ran[0], owner);
        let later = site.send_until_ran(0, "stock", "yard-3").await;
        assert_eq!(site.ran_at(&later).await.len(), 1);
    }

    pub async fn takes_back_a_paused_granter_without_a_second_owner() {
        let mut site = ProcessSite::start(3, 3, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        site.send_until_ran(0, "stock", "yard-3").await;
        let paused = site.granter(0).await.expect("a host grants");
        site.hosts[paused].process.signal("-STOP");
        let other = (paused + 1) % 3;
        let started = time::Instant::now();
        while site.granter(other).await == Some(paused) {
            wait(started, "another host grants").await;
        }
        site.hosts[paused].process.signal("-CONT");
        for key in 0..16 {
            for host in 0..3 {
                let id = site.send_until_ran(host, "stock", &key.to_string()).await;
                assert_eq!(site.ran_at(&id).await.len(), 1);
            }
        }
    }

    pub async fn cuts_no_request_on_sigterm() {
        let mut site = ProcessSite::start(2, 3, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        for key in 0..16 {
            site.send_until_ran(0, "stock", &key.to_string()).await;
        }
        for server in &site.servers {
            let faults = zinnia_lab::http::ServerFaults {
                slow_ms: 300,
                ..Default::default()
            };
            set_faults(server.spec.address, &faults).await;
        }
        let address = site.hosts[0].callers;
        let mut calls = Vec::new();
        for key in 0..12 {
            let client = site.client.clone();
            let request =
                caller::CallerRequest::new("stock", &key.to_string(), &format!("late-{key}"));
            calls.push(actix::spawn(
                async move { client.send(address, &request).await },
            ));
        }
        let started = time::Instant::now();
        let mut running = 0;
        while running == 0 {
            for key in 0..12 {
                running += site.ran_at(&format!("late-{key}")).await.len();
            }
            wait(started, "a request is in flight").await;
        }
        site.hosts[0].process.signal("-TERM");
        for call in calls {
            let response = call
                .await
                .expect("the call ends")
                .expect("a complete response");
            assert!(!response.outcome.is_empty(), "{response:?}");
            let ran = site.ran_at(&response.id).await.len();
            assert_eq!(ran, usize::from(response.ran()), "{response:?}");
        }
        let exit = site.hosts[0].process.child.wait().expect("the host exits");
        assert_eq!(exit.code(), Some(0));
    }

    // Guards against requests that wait, or are at a server, and get no response when a second signal ends
    // their host.
    pub async fn answers_what_is_in_flight_on_a_second_signal() {
        let mut site = ProcessSite::start(2, 3, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        for key in 0..16 {
            site.send_until_ran(0, "stock", &key.to_string()).await;
        }
        for server in &site.servers {
            let faults = zinnia_lab::http::ServerFaults {
                slow_ms: 20_000,
                ..Default::default()
            };
            set_faults(server.spec.address, &faults).await;
        }
        let address = site.hosts[0].callers;
        let calls = (0..60).map(|key| {
            let request =
                caller::CallerRequest::new("stock", &key.to_string(), &format!("cut-{key}"));
            let client = &site.client;
            async move { client.send(address, &request).await }
        });
        let signals = async {
            for _ in 0..2 {
                tokio::time::sleep(LOAD_TIME).await;
                site.hosts[0].process.signal("-TERM");
            }
        };
        let calls = futures_util::future::join_all(calls);
        let (responses, ()) = futures_util::future::join(calls, signals).await;
        for response in &responses {
            let response = response.as_ref().expect("a complete response");
            assert!(["not-run", "unknown"].contains(&response.outcome.as_str()));
        }
        let exit = site.hosts[0].process.child.wait().expect("the host exits");
        assert_eq!(exit.code(), Some(1));
    }

    // Guards against requests that are cut off when a host stops: those on their way to its threads, and
    // those in the queue of its listener.
    pub async fn answers_what_it_has_accepted_when_it_stops() {
        let mut site = ProcessSite::start(2, 3, &["stock"]);
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        for key in 0..16 {
            site.send_until_ran(0, "stock", &key.to_string()).await;
        }
        let request = |caller: &str, number: usize| {
            format!(
                "POST /stock/{} HTTP/1.1\r\nhost: a\r\nzinnia-request-id: {caller}-{number}\r\n\
                 zinnia-deadline-ms: 2000\r\ncontent-length: 4\r\n\r\nbody",
                number % 16
            )
        };
        let stop = async {
            tokio::time::sleep(LOAD_TIME).await;
            site.hosts[0].process.signal("-TERM");
        };
        let address = site.hosts[0].callers;
        let tally = stop_caller::call_through_stop(address, request, stop).await;
        assert!(tally.answered > stop_caller::CALLERS, "{tally:?}");
        assert_eq!(tally.cut, Vec::<String>::new(), "{}", tally.answered);
        let exit = site.hosts[0].process.child.wait().expect("the host exits");
        assert_eq!(exit.code(), Some(0));
    }

    pub async fn accounts_for_every_order_when_a_host_is_killed() {
        let mut site = ProcessSite::start(5, 3, &["orders"]);
        let gate = site.gate_of(0);
        send_orders_through_fault(&mut site, |site| site.hosts[gate].process.signal("-KILL")).await;
    }

    pub async fn accounts_for_every_order_when_a_server_freezes() {
        let mut site = ProcessSite::start(5, 4, &["orders"]);
        send_orders_through_fault(&mut site, |site| site.servers[1].process.signal("-STOP")).await;
    }

    // Sends orders, which must not run twice, injects the fault halfway, and compares every
    // response with the journals of the servers.
    async fn send_orders_through_fault(site: &mut ProcessSite, fault: impl Fn(&ProcessSite)) {
        let changes = site.configuration().to_changes();
        site.submit(0, 0, changes).await;
        for host in 0..5 {
            for key in 0..16 {
                site.send_until_ran(host, "orders", &key.to_string()).await;
            }
        }
        // Slow enough that many orders are in flight when the fault is injected.
        for server in &site.servers {
            let faults = zinnia_lab::http::ServerFaults {
                slow_ms: 50,
                ..Default::default()
            };
            set_faults(server.spec.address, &faults).await;
        }
        let mut calls = Vec::new();
        for number in 0..ORDERS {
            if number == ORDERS / 2 {
                fault(site);
            }
            let client = site.client.clone();
            let address = site.hosts[number % 5].callers;
            let (key, id) = (format!("key-{}", number % 64), format!("order-{number}"));
            let request = caller::CallerRequest::new("orders", &key, &id);
            let request = request.with_body(b"kerb stones".to_vec());
            calls.push(actix::spawn(async move {
                (id, client.send(address, &request).await)
            }));
            tokio::time::sleep(time::Duration::from_millis(3)).await;
        }
        let mut responses = Vec::new();
        for call in calls {
            responses.push(call.await.expect("the call ends"));
        }
        for server in &site.servers {
            server.process.signal("-CONT");
        }
        // A server that was frozen has run its pending requests once it responds to later ones.
        for host in [0, 1] {
            for key in 0..64 {
                site.send_until_ran(host, "orders", &format!("key-{key}"))
                    .await;
            }
        }
        let mut ran = std::collections::BTreeMap::<String, usize>::new();
        for server in 0..site.servers.len() {
            for entry in site.journal(server).await {
                *ran.entry(entry.id.to_string()).or_default() += 1;
            }
        }
        for (id, response) in &responses {
            let times = ran.get(id).copied().unwrap_or(0);
            let outcome = response.as_ref().map(|response| response.outcome.as_str());
            match outcome {
                Ok("ran") => assert_eq!(times, 1, "{id} {response:?}"),
                Ok("not-run") => assert_eq!(times, 0, "{id} {response:?}"),
                Ok("unknown") | Err(_) => assert!(times <= 1, "{id} ran {times} times"),
                other => panic!("{id} has the outcome {other:?}"),
            }
        }
        let answered = responses
            .iter()
            .filter(|(_, a)| a.as_ref().is_ok_and(caller::CallerResponse::ran));
        assert!(
            answered.count() >= ORDERS / 2,
            "fewer than half of the orders ran"
        );
    }

    pub async fn names_a_bad_setting_and_exits_2() {
        let output = process::Command::new(entry_program())
            .args(["entry", "--name", "entry-1", "--domain", "north"])
            .args(["--callers", "not-an-address"])
            .output()
            .expect("the program starts");
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        for part in [
            "--callers",
            "ZINNIA_CALLERS",
            "not-an-address",
            "127.0.0.1:7000",
        ] {
            assert!(text.contains(part), "{text}");
        }
    }
}

async fn set_faults<T: serde::Serialize>(address: net::SocketAddr, faults: &T) {
    let client = awc::Client::default();
    let call = client.post(format!("http://{address}/faults"));
    call.send_json(faults).await.expect("the faults are set");
}
