//! A worker: registers itself in the store, holds keys under grants, and runs requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::{SERVERS, Store, number_field};

/// The interval at which a worker writes its entry.
pub const HEARTBEAT_MS: u64 = 1_500;

/// Keys that a worker holds, until a time.
#[derive(Clone, Copy)]
struct Hold {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub sharded: bool,
    pub born: u64,
    pub work: Duration,
    /// Whether it writes its entry; a worker that cannot reach the store does not.
    pub beats: AtomicBool,
    /// Whether its entry says that it drains.
    pub draining: AtomicBool,
    /// The ids of the requests that it ran.
    pub runs: Mutex<Vec<String>>,
    // Whether its process has ended.
    ended: AtomicBool,
    server: OnceLock<http::Server>,
    sequence: AtomicU64,
    holds: Mutex<Vec<Hold>>,
    seen: Mutex<Vec<(u64, u64, u64)>>,
    working: Mutex<BTreeMap<String, u64>>,
    record: Record,
}

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Worker {
    pub fn start(
        (id, service, sharded): (&str, &str, bool),
        address: SocketAddr,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            sharded,
            born: unix_ms(),
            work,
            beats: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            server: OnceLock::new(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            holds: Mutex::default(),
            seen: Mutex::default(),
            working: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&worker);
        let server = http::serve(address, Arc::new(move |request| serving.answer(request)))?;
        let _ = worker.server.set(server);
        let beating = Arc::clone(&worker);
        let store = store.clone();
        thread::spawn(move || {
            loop {
                if beating.beats.load(Ordering::SeqCst) {
                    beating.write_entry(&store);
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        Ok(worker)
    }

    /// Ends the worker's process.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.beats.store(false, Ordering::SeqCst);
        self.record.line(format!("{} ends", self.id));
        if let Some(server) = self.server.get() {
            server.end();
        }
    }

    /// Writes the worker's entry to the store.
    pub fn write_entry(&self, store: &Store) {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"born\":{},\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.born, self.service, self.address
        );
        store.put(SERVERS, &self.id, &entry);
    }

    /// Whether it holds a key at a moment, with the fence.
    pub fn fence_of(&self, key: u64, now: Instant) -> Option<u64> {
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let holds = self.holds.lock().unwrap();
        let mut found = holds
            .iter()
            .filter(|h| h.first <= key && key <= h.last && now < h.until);
        found.next().map(|hold| hold.fence)
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|ran| ran == id)
    }

    fn answer(&self, request: &Message) -> Option<Message> {
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let mut response = match request.path() {
            _ if self.is_misdirected(request) => Message::response(421)
                .with("x-not-executed", 1)
                .with("x-instance-id", &self.id),
            "/zinniastack/grant" => self.grant(request),
            "/zinniastack/release" => self.release(request),
            _ => self.run(request)?,
        };
        if let Some(id) = request.header("x-request-id") {
            response = response.with("x-request-id", id);
        }
        Some(response.with("keep-alive", "timeout=10"))
    }

    fn is_misdirected(&self, request: &Message) -> bool {
        request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
    }

    fn grant(&self, request: &Message) -> Message {
        let arrived = Instant::now();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name| number_field(&body, name);
        let (Some(first), Some(last), Some(fence), Some(hold_ms)) = (
            field("from"),
            field("target"),
            field("fence"),
            field("hold_ms"),
        ) else {
            return Message::response(400);
        };
        if !self.sharded {
            return Message::response(400);
        }
        let mut seen = self.seen.lock().unwrap();
        if seen
            .iter()
            .any(|&(a, b, known)| a <= last && first <= b && known > fence)
        {
            return Message::response(409);
        }
        seen.retain(|&(a, b, known)| !(first <= a && b <= last && known <= fence));
        seen.push((first, last, fence));
        let mut holds = self.holds.lock().unwrap();
        let is_new = !holds
            .iter()
            .any(|h| h.fence == fence && h.first <= first && last <= h.last && arrived < h.until);
        cut(&mut holds, first, last);
        let until = arrived + Duration::from_millis(hold_ms);
        holds.push(Hold {
            first,
            last,
            fence,
            until,
        });
        if is_new {
            self.record.line(format!(
                "{} granted {first} to {last} fence {fence} for {hold_ms} ms",
                self.id
            ));
        }
        Message::response(200)
    }

    // Answers once the work on the keys has ended.
    fn release(&self, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name| number_field(&body, name);
        let (Some(first), Some(last), Some(fence)) =
            (field("from"), field("target"), field("fence"))
        else {
            return Message::response(400);
        };
        self.seen.lock().unwrap().push((first, last, fence));
        cut(&mut self.holds.lock().unwrap(), first, last);
        self.record.line(format!(
            "{} releases {first} to {last} fence {fence}",
            self.id
        ));
        while self
            .working
            .lock()
            .unwrap()
            .values()
            .any(|key| first <= *key && *key <= last)
        {
            thread::sleep(Duration::from_millis(5));
        }
        Message::response(200).with("x-lease-handover", format!("{}{fence:x}", self.id))
    }

    // Runs a request. Its connection closes without an answer where the process ends meanwhile.
    fn run(&self, request: &Message) -> Option<Message> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let key = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        if self.sharded && self.fence_of(key, Instant::now()).is_none() {
            return Some(Message::response(421).with("x-not-executed", 1));
        }
        self.record.line(format!("{} runs {id}", self.id));
        self.runs.lock().unwrap().push(id.clone());
        self.working.lock().unwrap().insert(id.clone(), key);
        thread::sleep(self.work);
        self.working.lock().unwrap().remove(&id);
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        Some(
            Message::response(200)
                .with("x-response-signature", format!("s.{id}"))
                .with_body(format!("{} {}", self.id, id)),
        )
    }
}

// Takes keys out of the holds.
fn cut(holds: &mut Vec<Hold>, first: u64, last: u64) {
    let mut kept = Vec::new();
    for hold in holds.drain(..) {
        if hold.last < first || last < hold.first {
            kept.push(hold);
            continue;
        }
        if hold.first < first {
            kept.push(Hold {
                last: first - 1,
                ..hold
            });
        }
        if last < hold.last {
            kept.push(Hold {
                first: last + 1,
                ..hold
            });
        }
    }
    *holds = kept;
}
