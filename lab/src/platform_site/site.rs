//! A whole site on the users' platform, made of stand-ins: a store, workers, and callers.

use std::io;
use std::net;
use std::sync;
use std::time;

use zinniastack::clock;
use zinniastack::clock::MonoClock as _;

use crate::http;
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
    /// The clock that the workers' holds are measured by.
    pub clock: clock::SystemClock,
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
            clock: clock::SystemClock::new(),
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

    fn add_worker(&mut self, id: &str, service: &str, sharded: bool) -> io::Result<()> {
        let state = http::shared(worker::WorkerState::new(id, service, sharded));
        let number = u16::try_from(self.workers.len()).unwrap_or(u16::MAX);
        let listener = net::TcpListener::bind((self.ip, WORKER_PORT + number))?;
        let store = sync::Arc::clone(&self.store);
        worker::serve(listener, &state, store, self.clock)?;
        self.workers.push(state);
        Ok(())
    }

    /// Publishes a configuration in the store, as the operator does.
    pub fn configure(&self, configuration: &serde_json::Value) {
        let text = configuration.to_string();
        http::lock(&self.store).append("keyed.op", "config", text.as_bytes());
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

    /// Checks that no request ran twice and that no key is held by two workers.
    ///
    /// # Errors
    /// Fails with the requests that ran twice, or with all held ranges if two overlap.
    pub fn check_invariants(&self) -> Result<(), String> {
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
