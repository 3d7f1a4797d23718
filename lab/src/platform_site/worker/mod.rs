//! A stand-in for a worker: it registers itself in the store, holds keys under grants, and signs its
//! responses.

mod calls;

use std::collections;
use std::net;
use std::sync;
use std::time;

use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::ownership::assignment;

use crate::grants::key_server;
use crate::http;
use crate::platform_site::ledger;
use crate::platform_site::store;

pub use calls::serve;

/// The interval at which a worker renews its entry in the store, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;
/// The topic of the workers' entries.
pub const SERVERS_TOPIC: &str = "keyed.servers";
/// How many chunks a long response has before it breaks off.
pub const CUT_CHUNKS: usize = 20;
/// The size of a chunk of a long response, in bytes.
pub const CHUNK_BYTES: usize = 16_384;
/// The start time of a worker's first incarnation, in milliseconds.
pub const FIRST_BORN: u64 = 1;

/// The faults injected into a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaults {
    /// The number of coming responses that break off in the middle of the body.
    pub truncate_responses: u32,
    /// The number of coming responses that break off after `CUT_CHUNKS` chunks of their body.
    pub cut_long_responses: u32,
    /// The number of coming responses that carry another request's id.
    pub swap_response_ids: u32,
    /// The number of coming responses whose body never ends.
    pub endless_responses: u32,
    /// Whether the response to an order is sent once more where the response to a release that follows
    /// on the same connection is expected.
    pub repeat_before_releases: bool,
    /// The number of coming requests that the worker refuses as not run, as if it was full.
    pub refuse_requests: u32,
    /// Whether the response to a refused request is sent once more where the response to the next
    /// request on the same connection is expected.
    pub repeat_refusals: bool,
    /// Whether the worker does not write to the store.
    pub hold_heartbeats: bool,
}

/// The parts of the site that a worker uses.
#[derive(Clone)]
pub struct WorkerSurroundings {
    /// The store in which it registers itself.
    pub store: http::Shared<store::StoreState>,
    /// The holds of all workers.
    pub ledger: http::Shared<ledger::HoldLedger>,
    /// The clock that holds are measured by.
    pub clock: clock::SystemClock,
}

/// The state of a worker.
#[derive(Debug)]
pub struct WorkerState {
    id: String,
    service: String,
    sharded: bool,
    keys: key_server::KeyServer,
    draining: bool,
    stopped: bool,
    sequence: u64,
    runs: collections::BTreeMap<String, u32>,
    /// The failure domain in its entry.
    pub zone: String,
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
    /// The injected faults.
    pub faults: WorkerFaults,
}

impl WorkerState {
    /// Creates a worker that holds no keys.
    ///
    /// # Panics
    /// Panics when `id` is not a valid name.
    #[must_use]
    pub fn new(id: &str, service: &str, sharded: bool) -> Self {
        let server = id.parse().expect("an id is a name");
        let incarnation = assignment::ServerIncarnation {
            server,
            born: FIRST_BORN,
        };
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            sharded,
            keys: key_server::KeyServer::new(incarnation, 0),
            draining: false,
            stopped: false,
            sequence: 0,
            runs: collections::BTreeMap::new(),
            zone: "north".to_owned(),
            work_ms: 5,
            faults: WorkerFaults::default(),
        }
    }

    /// Marks the worker as draining in its entry.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Reports whether the worker is draining.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Stops the worker's registration: at the next heartbeat it removes its entry from the store.
    pub const fn stop(&mut self) {
        self.stopped = true;
    }

    /// Reports whether the worker was stopped.
    #[must_use]
    pub const fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns the worker's id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the present incarnation.
    #[must_use]
    pub const fn life(&self) -> &assignment::ServerIncarnation {
        &self.keys.incarnation
    }

    /// Starts the worker again under its id: it holds no keys and has forgotten all fences.
    pub fn restart(&mut self, surroundings: &WorkerSurroundings) {
        let ended = self.life().clone();
        let now = surroundings.clock.now();
        http::lock(&surroundings.ledger).note_ended(&ended, now);
        let incarnation = assignment::ServerIncarnation {
            born: ended.born + 1,
            ..ended
        };
        self.keys = key_server::KeyServer::new(incarnation, 0);
        self.draining = false;
        self.sequence = 0;
    }

    /// Returns how often each request ran.
    #[must_use]
    pub const fn runs(&self) -> &collections::BTreeMap<String, u32> {
        &self.runs
    }

    /// Returns the key ranges that the worker holds at `now`.
    #[must_use]
    pub fn held(&self, now: clock::MonoTime) -> Vec<(u16, u16)> {
        self.keys
            .held(now)
            .map(|held| (held.first, held.last))
            .collect()
    }

    /// Writes the worker's entry, or its removal, to the store.
    pub fn write_entry(&mut self, address: net::SocketAddr, store: &mut store::StoreState) {
        if self.stopped {
            store.append(SERVERS_TOPIC, &self.id, &[]);
            return;
        }
        self.sequence += 1;
        let entry = serde_json::json!({
            "service": self.service, "address": address, "zone": self.zone, "version": "v1",
            "slots": 4, "state": if self.draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.life().born,
        });
        store.append(SERVERS_TOPIC, &self.id, entry.to_string().as_bytes());
    }

    fn holds(&self, key: u16, now: clock::MonoTime) -> bool {
        self.keys
            .held(now)
            .any(|held| (held.first..=held.last).contains(&key))
    }
}

// Writes the worker's entry in each heartbeat, until it is stopped.
async fn register(
    state: http::Shared<WorkerState>,
    store: http::Shared<store::StoreState>,
    address: net::SocketAddr,
) {
    loop {
        {
            let mut worker = http::lock(&state);
            let mut store = http::lock(&store);
            let is_away = store.faults.is_down && !worker.stopped;
            if !is_away && !worker.faults.hold_heartbeats {
                worker.write_entry(address, &mut store);
            }
            if worker.stopped {
                return;
            }
        }
        tokio::time::sleep(time::Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

// Starts the heartbeats.
fn spawn_register(
    state: &http::Shared<WorkerState>,
    surroundings: &WorkerSurroundings,
    address: net::SocketAddr,
) {
    let store = sync::Arc::clone(&surroundings.store);
    actix::spawn(register(sync::Arc::clone(state), store, address));
}
