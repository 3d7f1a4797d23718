//! Ordinary callers beside a crowd: each sends one order after the other, which must not be repeated.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::http;
use crate::machines;
use crate::site;
use crate::worker;

/// The service of the orders, and the prefix of their paths.
pub const SERVICE: &str = "orders";
pub const PREFIX: &str = "/orders/";
/// The workers of the service, and the work on an order, in milliseconds.
const WORKERS: u8 = 2;
const WORK_MS: u64 = 100;
/// The deadline of an order, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// The orders that workers have begun.
#[derive(Clone, Default)]
pub struct OrderLedger(sync::Arc<sync::Mutex<collections::HashSet<String>>>);

impl OrderLedger {
    /// Starts the workers of the orders.
    pub fn start(site: &site::Site) -> io::Result<Self> {
        let ledger = Self::default();
        for number in 0..WORKERS {
            let begun = ledger.clone();
            let behaviour: Box<worker::Behaviour> = Box::new(move |_, head, connection| {
                connection.read_body(head)?;
                let id = head.header("x-request-id").unwrap_or_default();
                begun.0.lock().unwrap().insert(id.to_owned());
                thread::sleep(time::Duration::from_millis(WORK_MS));
                connection.respond("200 OK", &worker::answer_headers(head), b"taken")?;
                Ok(true)
            });
            let id = format!("i-orders-{number}");
            let name = (id.as_str(), SERVICE, "a");
            worker::Worker::start(&site.store, site.ip(30 + number), name, 6, behaviour)?;
        }
        Ok(ledger)
    }

    /// Sends orders until the process has ended or `is_over`. Returns how many got their answer, and those
    /// that a worker had begun and that got none.
    pub fn send(
        &self,
        task: &machines::CrowdTask,
        is_over: impl Fn() -> bool,
    ) -> (usize, Vec<String>) {
        let mut answered = 0;
        let mut lost = Vec::new();
        for number in 0.. {
            if task.is_over() || is_over() {
                break;
            }
            let id = format!("order-{}-{}-{number}", task.front.ip(), task.round);
            if order(task.front, &id).is_ok_and(|status| status == 200) {
                answered += 1;
            } else if self.0.lock().unwrap().contains(&id) {
                lost.push(id);
            }
        }
        (answered, lost)
    }
}

// Sends one order; returns the status of its answer.
fn order(front: net::SocketAddr, id: &str) -> io::Result<u16> {
    let stream = net::TcpStream::connect(front)?;
    stream.set_read_timeout(Some(time::Duration::from_millis(DEADLINE_MS)))?;
    let mut connection = http::Connection::new(stream);
    let request = format!(
        "POST {PREFIX}x HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\nx-request-deadline: {DEADLINE_MS}\r\ncontent-length: 5\r\nconnection: close\r\n\r\norder"
    );
    connection.write(request.as_bytes())?;
    let Some(head) = connection.read_head()? else {
        return Ok(0);
    };
    connection.read_body(&head)?;
    Ok(head.status())
}
