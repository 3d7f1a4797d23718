//! Workers: they register in the store, write there again and again, and serve requests.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::http;
use crate::store;

/// The interval at which a worker writes its entry, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_500;

/// What a worker does with a request: reads the body, responds, and reports whether the connection goes on.
pub type Behaviour =
    dyn Fn(&Worker, &http::MessageHead, &mut http::Connection) -> io::Result<bool> + Send + Sync;

/// One worker.
pub struct Worker {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: net::SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    born: u128,
    sequence: atomic::AtomicU64,
    behaviour: Box<Behaviour>,
}

impl Worker {
    /// Starts a worker that is ready.
    pub fn start(
        store: &store::Store,
        ip: net::IpAddr,
        name: (&str, &str, &str),
        slots: u32,
        behaviour: Box<Behaviour>,
    ) -> io::Result<sync::Arc<Self>> {
        let listener = net::TcpListener::bind((ip, 0))?;
        let born = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let worker = sync::Arc::new(Self {
            id: name.0.to_owned(),
            address: listener.local_addr()?,
            service: name.1.to_owned(),
            zone: name.2.to_owned(),
            slots,
            born: born.map_or(0, |born| born.as_millis()),
            sequence: atomic::AtomicU64::new(1),
            behaviour,
        });
        let (writer, store) = (sync::Arc::clone(&worker), store.clone());
        writer.register(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(time::Duration::from_millis(HEARTBEAT_MS));
                writer.register(&store);
            }
        });
        let server = sync::Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = sync::Arc::clone(&server);
                thread::spawn(move || server.serve(http::Connection::new(stream)));
            }
        });
        Ok(worker)
    }

    fn register(&self, store: &store::Store) {
        let sequence = self.sequence.fetch_add(1, atomic::Ordering::Relaxed);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    fn serve(&self, mut connection: http::Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let expected = head.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!("x-instance-id: {}\r\n", self.id);
                let _ = connection.respond("421 Misdirected Request", &headers, b"");
                return;
            }
            match (self.behaviour)(self, &head, &mut connection) {
                Ok(true) => {}
                _ => return,
            }
        }
    }
}

/// Returns the headers of a response to a request.
pub fn answer_headers(head: &http::MessageHead) -> String {
    let id = head.header("x-request-id").unwrap_or_default();
    format!("x-request-id: {id}\r\nx-response-signature: s.{id}\r\nkeep-alive: timeout=10\r\n")
}
