//! A worker that leaves and says so in its answers, while the store turns the machine away.
//!
//! The check is the rule **DRAIN** as the fifth letter has it: a request that a client sent later than `drain_ms`
//! after a machine had passed on an answer with `Server-Leaving` reaches that worker from that machine.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::http;
use crate::record;
use crate::site;
use crate::worker;

/// How long a worker goes on serving after it has reported that it leaves, in milliseconds.
const DRAIN_MS: u128 = 2_000;
/// When it ends after that report, in milliseconds.
const END_MS: u64 = 3_000;
/// For how long the store turns the machine away, in milliseconds.
const TURNED_AWAY_MS: u64 = 7_000;
/// How long before the worker leaves that begins, in milliseconds.
const LEAD_MS: u64 = 500;
/// The work on an order, in milliseconds.
const WORK_MS: u64 = 140;
/// The callers, each of which sends one order after the other.
const CALLERS: usize = 12;
/// A deadline of the callers and a time-out of the route, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

// What the callers and the workers have seen, in milliseconds of the record's clock.
#[derive(Default)]
struct Seen {
    // When each order was sent.
    sent: collections::HashMap<String, u128>,
    // The orders that reached the leaving worker.
    reached: Vec<String>,
    // When the first answer with `Server-Leaving` was received.
    told_at: Option<u128>,
    // The statuses of the orders, 0 for none.
    statuses: collections::BTreeMap<u16, usize>,
    // The orders that the leaving worker had begun and that got no answer of a worker.
    cut: Vec<String>,
}

type SharedSeen = sync::Arc<sync::Mutex<Seen>>;

fn start_worker(
    site: &site::Site,
    number: u8,
    seen: &SharedSeen,
) -> io::Result<sync::Arc<worker::Worker>> {
    let seen = sync::Arc::clone(seen);
    let behaviour: Box<worker::Behaviour> = Box::new(move |worker, head, connection| {
        connection.read_body(head)?;
        let mut headers = worker::answer_headers(head);
        if worker.is_leaving() {
            let id = head.header("x-request-id").unwrap_or_default().to_owned();
            seen.lock().unwrap().reached.push(id);
            headers.push_str("server-leaving: 1\r\n");
        }
        thread::sleep(time::Duration::from_millis(WORK_MS));
        if worker.has_left() {
            return Ok(false);
        }
        connection.respond("200 OK", &headers, b"taken")?;
        Ok(true)
    });
    let id = format!("i-orders-{number}");
    worker::Worker::start(
        &site.store,
        site.ip(50 + number),
        (&id, "orders", "a"),
        6,
        behaviour,
    )
}

// Sends one order; returns the head of its answer.
fn order(front: net::SocketAddr, id: &str) -> io::Result<Option<http::MessageHead>> {
    let stream = net::TcpStream::connect(front)?;
    stream.set_read_timeout(Some(time::Duration::from_millis(2 * DEADLINE_MS)))?;
    let mut connection = http::Connection::new(stream);
    let request = format!(
        "POST /orders/x HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\nx-request-deadline: {DEADLINE_MS}\r\ncontent-length: 5\r\nconnection: close\r\n\r\norder"
    );
    connection.write(request.as_bytes())?;
    let head = connection.read_head()?;
    if let Some(head) = &head {
        connection.read_body(head)?;
    }
    Ok(head)
}

fn send_orders(
    front: net::SocketAddr,
    caller: usize,
    over: &atomic::AtomicBool,
    record: &record::Record,
    seen: &SharedSeen,
) {
    for number in 0.. {
        if over.load(atomic::Ordering::Relaxed) {
            return;
        }
        let id = format!("o{caller}-{number}");
        seen.lock()
            .unwrap()
            .sent
            .insert(id.clone(), record.millis());
        let answered = order(front, &id).ok().flatten();
        let status = answered.as_ref().map_or(0, http::MessageHead::status);
        let is_leaving = answered
            .as_ref()
            .is_some_and(|head| head.header("server-leaving").is_some());
        let mut seen = seen.lock().unwrap();
        if is_leaving && seen.told_at.is_none() {
            seen.told_at = Some(record.millis());
            record.note(&format!("the answer to {id} says that its worker leaves"));
        }
        *seen.statuses.entry(status).or_default() += 1;
        if status != 200 && seen.reached.contains(&id) {
            record.note(&format!(
                "{id}: status {status}, begun by the worker that leaves"
            ));
            seen.cut.push(id);
        }
    }
}

/// A worker leaves; the store has its report, and turns the machine away.
pub fn leaving_worker(record: &record::Record, trouble: bool) -> io::Result<bool> {
    let limits = site::MachineLimits {
        memory_mb: 390,
        max_fds: 6_150,
        link_mbps: 1_500,
    };
    let site = site::Site::start(record)?;
    let seen = SharedSeen::default();
    let leaving = start_worker(&site, 0, &seen)?;
    for number in 1..3 {
        start_worker(&site, number, &seen)?;
    }
    site.configure(
        3,
        &["orders"],
        &site::route("orders", "/orders/", "unsafe", "orders"),
    );
    let machine = site.machine(2, "a", limits)?;
    machine.wait_until_ready()?;
    let over = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, seen, front) = (&over, &seen, machine.front);
            scope.spawn(move || send_orders(front, caller, over, record, seen));
        }
        thread::sleep(time::Duration::from_millis(LEAD_MS));
        if trouble {
            record.note("the store turns the machine away");
            site.store.turn_away(true);
        }
        thread::sleep(time::Duration::from_millis(LEAD_MS));
        leaving.leave(&site.store);
        record.note(&format!("{} reports that it leaves", leaving.id));
        thread::sleep(time::Duration::from_millis(END_MS));
        leaving.end(&site.store);
        record.note(&format!("{} ends", leaving.id));
        thread::sleep(time::Duration::from_millis(
            TURNED_AWAY_MS - LEAD_MS - END_MS,
        ));
        site.store.turn_away(false);
        over.store(true, atomic::Ordering::Relaxed);
    });
    let seen = seen.lock().unwrap();
    let bound = seen.told_at.map(|told| told + DRAIN_MS);
    let late = seen
        .reached
        .iter()
        .filter(|id| bound.is_some_and(|bound| seen.sent[*id] > bound));
    let late: Vec<_> = late.collect();
    for id in &late {
        record.note(&format!(
            "{id}: sent at {} ms, reaches the worker that leaves",
            seen.sent[*id]
        ));
    }
    record.tell(&format!("orders by status: {:?}", seen.statuses));
    record.tell(&format!(
        "begun by the worker that leaves and not answered by it: {}",
        seen.cut.len()
    ));
    record.tell(&format!(
        "sent to it later than drain_ms after it had said so: {}",
        late.len()
    ));
    Ok(!late.is_empty())
}
