//! A whole site on the users' platform, made of stand-ins: a store, workers, and callers.

use std::io;
use std::net;
use std::sync;
use std::time;

use zinniastack::clock;
use zinniastack::clock::MonoClock as _;

use crate::http;
use crate::platform_site::ledger;
use crate::platform_site::settings;
use crate::platform_site::store;
use crate::platform_site::worker;

/// The store's port.
pub const STORE_PORT: u16 = 7_000;
/// The port of the first worker; each further one has the next.
pub const WORKER_PORT: u16 = 7_100;
/// The port of the first host's front; each further host has the next.
pub const FRONT_PORT: u16 = 7_200;
/// The port of the first host's readiness probe; each further host has the next.
pub const READY_PORT: u16 = 7_300;
/// The port at which the first host serves its peers; each further host has the next.
pub const PEERS_PORT: u16 = 7_400;
/// The port at which the first host serves metrics and operators; each further host has the next.
pub const METRICS_PORT: u16 = 7_500;
/// The topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// How long a caller waits for a response.
pub const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A store and workers on one loopback address.
pub struct PlatformSite {
    /// The loopback address of all parts.
    pub ip: net::IpAddr,
    /// The store.
    pub store: http::Shared<store::StoreState>,
    /// The workers.
    pub workers: Vec<http::Shared<worker::WorkerState>>,
    /// The holds of the workers, with what broke the rules.
    pub ledger: http::Shared<ledger::HoldLedger>,
    /// The clock that the workers' holds are measured by.
    pub clock: clock::SystemClock,
    // The newest configuration that the store acknowledged.
    configured: http::Shared<Option<String>>,
}

impl PlatformSite {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Fails when the store's port is taken.
    pub fn new(ip: net::IpAddr) -> io::Result<Self> {
        let store = http::shared(store::StoreState::new());
        let listener = net::TcpListener::bind((ip, STORE_PORT))?;
        store::serve(listener, sync::Arc::clone(&store))?;
        Ok(Self {
            ip,
            store,
            workers: Vec::new(),
            ledger: http::shared(ledger::HoldLedger::new()),
            clock: clock::SystemClock::new(),
            configured: http::shared(None),
        })
    }

    /// Starts the workers `stock-1` and `stock-2`, which hold keys, and `orders-1` and `orders-2`, and
    /// publishes the first configuration.
    ///
    /// # Errors
    /// Fails when a port is taken.
    pub fn start_workers(&mut self) -> io::Result<()> {
        self.add_worker("stock-1", "stock", true)?;
        self.add_worker("stock-2", "stock", true)?;
        self.add_worker("orders-1", "orders", false)?;
        self.add_worker("orders-2", "orders", false)?;
        self.configure(&settings::configuration(3, false));
        Ok(())
    }

    /// Starts another worker.
    ///
    /// # Errors
    /// Fails when its port is taken.
    pub fn add_worker(&mut self, id: &str, service: &str, sharded: bool) -> io::Result<()> {
        let state = http::shared(worker::WorkerState::new(id, service, sharded));
        let listener = net::TcpListener::bind(self.worker_address(self.workers.len()))?;
        worker::serve(listener, &state, self.surroundings())?;
        self.workers.push(state);
        Ok(())
    }

    /// Reports whether a worker has begun to work on a request.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| http::lock(worker).runs().contains_key(id))
    }

    /// Starts a worker again under its id, as a new incarnation.
    pub fn restart_worker(&self, number: usize) {
        let surroundings = self.surroundings();
        http::lock(&self.workers[number]).restart(&surroundings);
    }

    /// Returns the address of the worker with this number.
    #[must_use]
    pub fn worker_address(&self, number: usize) -> net::SocketAddr {
        let number = u16::try_from(number).unwrap_or(u16::MAX);
        net::SocketAddr::new(self.ip, WORKER_PORT + number)
    }

    fn surroundings(&self) -> worker::WorkerSurroundings {
        worker::WorkerSurroundings {
            store: sync::Arc::clone(&self.store),
            ledger: sync::Arc::clone(&self.ledger),
            clock: self.clock,
        }
    }

    /// Publishes a configuration in the store, as the operator does.
    pub fn configure(&self, configuration: &serde_json::Value) {
        let text = configuration.to_string();
        self.write_configuration(&text);
        *http::lock(&self.configured) = Some(text);
    }

    fn write_configuration(&self, text: &str) {
        http::lock(&self.store).append(OPERATOR_TOPIC, "config", text.as_bytes());
    }

    /// Takes the store away: calls fail as `outage` says.
    pub fn stop_store(&self, outage: store::OutageKind) {
        let faults = &mut http::lock(&self.store).faults;
        faults.is_down = true;
        faults.outage = outage;
    }

    /// Ends the store's outage.
    pub fn resume_store(&self) {
        http::lock(&self.store).faults.is_down = false;
    }

    /// Brings the store back to the copy that was made at `copied`.
    pub fn restore_store(&self, copied: time::Instant) {
        http::lock(&self.store).restore(copied);
    }

    /// Writes again what the operator and the workers had written: the newest configuration, and the
    /// workers' entries or their removal.
    pub fn rewrite(&self) {
        let configured = http::lock(&self.configured);
        if let Some(text) = configured.as_deref() {
            self.write_configuration(text);
        }
        for (number, worker) in self.workers.iter().enumerate() {
            let mut worker = http::lock(worker);
            let mut store = http::lock(&self.store);
            worker.write_entry(self.worker_address(number), &mut store);
        }
    }

    /// Returns the listen addresses of the host with this number.
    #[must_use]
    pub const fn ports(&self, number: u16) -> settings::HostPorts {
        settings::HostPorts {
            front: net::SocketAddr::new(self.ip, FRONT_PORT + number),
            ready: net::SocketAddr::new(self.ip, READY_PORT + number),
            peers: PEERS_PORT + number,
        }
    }

    /// Returns the settings file of the host with this number.
    #[must_use]
    pub fn settings_file(&self, number: u16) -> serde_json::Value {
        let store = net::SocketAddr::new(self.ip, STORE_PORT);
        settings::settings_file(&format!("entry-{number}"), &self.ports(number), store)
    }

    /// Checks that no request ran twice, that no key had two holders at any time, and that fences rose.
    ///
    /// # Errors
    /// Fails with the holds that broke the rules, with the requests that ran twice, or with all held
    /// ranges if two overlap.
    pub fn check_invariants(&self) -> Result<(), String> {
        let ledger = http::lock(&self.ledger);
        if !ledger.violations().is_empty() {
            return Err(format!("holds broke the rules: {:#?}", ledger.violations()));
        }
        drop(ledger);
        let now = self.clock.now();
        let mut held = Vec::new();
        for worker in &self.workers {
            let state = http::lock(worker);
            let twice: Vec<_> = state.runs().iter().filter(|(_, runs)| **runs > 1).collect();
            if !twice.is_empty() {
                return Err(format!("requests ran twice: {twice:?}"));
            }
            held.extend(state.held(now));
        }
        held.sort_unstable();
        let apart = held.windows(2).all(|pair| pair[0].1 < pair[1].0);
        if apart {
            return Ok(());
        }
        Err(format!("key ranges held twice: {held:?}"))
    }
}

/// Sends one request to a host's front; returns status and body, or `None` without a complete response.
pub async fn send(front: net::SocketAddr, path: &str, id: &str, key: u16) -> Option<(u16, String)> {
    let request = awc::Client::default()
        .post(format!("http://{front}{path}"))
        .insert_header(("host", "desk.example"))
        .insert_header(("x-request-id", id))
        .insert_header(("x-request-deadline", "5000"))
        .insert_header(("x-shard-key", key.to_string()))
        .timeout(CALLER_TIMEOUT);
    let mut response = request.send_body("body").await.ok()?;
    let status = response.status().as_u16();
    let body = response.body().await.ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends `count` requests with different keys to the hosts in turn; returns how many got the expected
/// response.
pub async fn send_many(fronts: &[net::SocketAddr], path: &str, prefix: &str, count: u16) -> usize {
    let mut answered = 0;
    for (number, front) in (0..count).zip(fronts.iter().cycle()) {
        let id = format!("{prefix}-{number}");
        let key = number.wrapping_mul(1_021);
        let expected = format!("POST {path} {id} 4");
        let response = send(*front, path, &id, key).await;
        answered += usize::from(response == Some((200, expected)));
    }
    answered
}

/// Reports whether a host's readiness probe succeeds.
pub async fn is_ready(ready: net::SocketAddr) -> bool {
    let address = format!("http://{ready}/zinniastack/readiness");
    let response = awc::Client::default().get(address).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Returns what a host reports to operators.
pub async fn host_report(operators: net::SocketAddr) -> Option<serde_json::Value> {
    let address = format!("http://{operators}/status");
    let mut response = awc::Client::default().get(address).send().await.ok()?;
    response.json().await.ok()
}
