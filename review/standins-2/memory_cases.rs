//! Crowds of clients whose bytes a process holds: idle connections after uploads, requests that are sent before
//! the first has been answered, and responses that are read slowly.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::http;
use crate::machines;
use crate::ordinary;
use crate::record;
use crate::site;
use crate::worker;

/// How long a client waits for an answer, in seconds.
const READ_TIMEOUT_S: u64 = 10;

/// The descriptors that this process and the routers need at most.
const DESCRIPTORS: u64 = 8_000;

// The statuses that a crowd got, 0 for a connection that ended without an answer.
type Statuses = collections::BTreeMap<u16, usize>;

fn connect(front: net::SocketAddr) -> io::Result<http::Connection> {
    let stream = net::TcpStream::connect(front)?;
    stream.set_read_timeout(Some(time::Duration::from_secs(READ_TIMEOUT_S)))?;
    Ok(http::Connection::new(stream))
}

fn head(method: &str, path: &str, id: &str, rest: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\nx-request-deadline: 8000\r\n{rest}\r\n"
    )
}

// Reads a response; returns its status, 0 where it did not come whole.
fn answer(connection: &mut http::Connection) -> u16 {
    let Ok(Some(head)) = connection.read_head() else {
        return 0;
    };
    connection.read_body(&head).map_or(0, |_| head.status())
}

fn start_workers(
    site: &site::Site,
    service: &str,
    (count, slots): (u8, u32),
    behave: impl Fn(&http::MessageHead, &mut http::Connection) -> io::Result<bool>
    + Send
    + Sync
    + 'static,
) -> io::Result<()> {
    let behave = sync::Arc::new(behave);
    for number in 0..count {
        let behave = sync::Arc::clone(&behave);
        let behaviour: Box<worker::Behaviour> =
            Box::new(move |_, head, connection| behave(head, connection));
        let id = format!("i-{service}-{number}");
        worker::Worker::start(
            &site.store,
            site.ip(50 + number),
            (&id, service, "a"),
            slots,
            behaviour,
        )?;
    }
    Ok(())
}

fn start_machines(
    site: &site::Site,
    limits: site::MachineLimits,
) -> io::Result<Vec<site::Machine>> {
    (2..4)
        .map(|number| site.machine(number, "a", limits))
        .collect()
}

// Puts a configuration with the route of a crowd and that of ordinary orders in force.
fn configure(site: &site::Site, service: &str, route: &str) {
    let orders = site::route("orders", ordinary::PREFIX, "unsafe", ordinary::SERVICE);
    let services = [service, ordinary::SERVICE];
    site.configure(3, &services, &format!("{route},{orders}"));
}

/// The uploads of one crowd, and the size of each, in bytes: the sheet has up to 360,000.
const UPLOADS: usize = 3_200;
const UPLOAD_BYTES: usize = 300_000;

/// Each client sends one upload, is answered and keeps its connection. Without trouble it closes it.
pub fn idle_after_upload(record: &record::Record, trouble: bool) -> io::Result<bool> {
    machines::check_descriptors(DESCRIPTORS)?;
    let limits = site::MachineLimits {
        memory_mb: 390,
        max_fds: 6_150,
        link_mbps: 1_500,
    };
    let site = site::Site::start(record)?;
    start_workers(&site, "returns", (8, 3), |head, connection| {
        connection.read_body(head)?;
        connection.respond("200 OK", &worker::answer_headers(head), b"stored")?;
        Ok(true)
    })?;
    let orders = ordinary::OrderLedger::start(&site)?;
    configure(
        &site,
        "returns",
        &site::route("sheets", "/sheets/", "upload", "returns"),
    );
    let machines = start_machines(&site, limits)?;
    machines::strike_all(machines, limits.memory_mb, record, &orders, |task| {
        let body = vec![b's'; UPLOAD_BYTES];
        let mut kept = Vec::new();
        let mut statuses = Statuses::new();
        for number in 0..UPLOADS {
            if task.is_over() {
                break;
            }
            let mut connection = connect(task.front)?;
            let id = format!("u{}-{number}", task.round);
            let head = head(
                "POST",
                "/sheets/x",
                &id,
                &format!("content-length: {UPLOAD_BYTES}\r\n"),
            );
            let sent = connection
                .write(head.as_bytes())
                .and_then(|()| connection.write(&body));
            let status = sent.map_or(0, |()| answer(&mut connection));
            *statuses.entry(status).or_default() += 1;
            if trouble {
                kept.push(connection);
            }
        }
        Ok(format!(
            "uploads by status {statuses:?}, {} connections kept",
            kept.len()
        ))
    })
}

/// The clients of one crowd, the requests that each sends, and the size of a request's cookie, in bytes.
const PIPELINING_CLIENTS: usize = 900;
const PIPELINED_REQUESTS: usize = 24;
const COOKIE_BYTES: usize = 3_000;
/// How long a client takes to send its requests, at most, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 20;

/// Each client sends further safe requests before the first has been answered. Without trouble it waits for each
/// answer.
pub fn pipelined_requests(record: &record::Record, trouble: bool) -> io::Result<bool> {
    machines::check_descriptors(DESCRIPTORS)?;
    let limits = site::MachineLimits {
        memory_mb: 160,
        max_fds: 4_100,
        link_mbps: 10,
    };
    let site = site::Site::start(record)?;
    start_workers(&site, "roster", (40, 2), |head, connection| {
        connection.read_body(head)?;
        connection.respond("200 OK", &worker::answer_headers(head), b"roster")?;
        Ok(true)
    })?;
    let orders = ordinary::OrderLedger::start(&site)?;
    configure(
        &site,
        "roster",
        &site::route("view", "/view/", "safe", "roster"),
    );
    let machines = start_machines(&site, limits)?;
    let cookie = format!("cookie: {}\r\n", "c".repeat(COOKIE_BYTES));
    machines::strike_all(machines, limits.memory_mb, record, &orders, |task| {
        let mut statuses = Statuses::new();
        let mut clients = Vec::new();
        for number in 0..PIPELINING_CLIENTS {
            let mut connection = connect(task.front)?;
            let first = head("GET", "/view/x", &format!("f{}-{number}", task.round), "");
            connection.write(first.as_bytes())?;
            *statuses.entry(answer(&mut connection)).or_default() += 1;
            clients.push(connection);
        }
        for (number, connection) in clients.iter_mut().enumerate() {
            let ids = (0..PIPELINED_REQUESTS).map(|n| format!("p{}-{number}-{n}", task.round));
            let requests: Vec<_> = ids.map(|id| head("GET", "/view/x", &id, &cookie)).collect();
            if task.is_over() {
                break;
            }
            if trouble {
                let timeout = time::Duration::from_millis(SEND_TIMEOUT_MS);
                connection.stream.set_write_timeout(Some(timeout))?;
                // What the connection does not take in time is not sent.
                let _ = connection.write(requests.concat().as_bytes());
                continue;
            }
            for request in requests {
                connection.write(request.as_bytes())?;
                *statuses.entry(answer(connection)).or_default() += 1;
            }
        }
        // The answers are read after the process has had time to read the requests.
        if trouble {
            thread::sleep(time::Duration::from_millis(500));
        }
        Ok(format!(
            "answers by status {statuses:?}, {} connections",
            clients.len()
        ))
    })
}

/// The clients of one crowd, and the size of a response, in bytes.
const READING_CLIENTS: usize = 120;
const RESPONSE_BYTES: usize = 16 << 20;
/// The size of the pieces in which a worker sends it, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// The time between the requests of two clients, in milliseconds.
const READING_GAP_MS: u64 = 15;
/// How long a client takes before it reads a response, in milliseconds.
const READING_PAUSE_MS: u64 = 3_000;

/// Each client reads its response slowly. Without trouble it reads it at once.
pub fn slow_readers(record: &record::Record, trouble: bool) -> io::Result<bool> {
    machines::check_descriptors(DESCRIPTORS)?;
    let limits = site::MachineLimits {
        memory_mb: 160,
        max_fds: 4_100,
        link_mbps: 10,
    };
    let site = site::Site::start(record)?;
    start_workers(&site, "plans", (40, 6), |head, connection| {
        connection.read_body(head)?;
        let headers = worker::answer_headers(head);
        connection.write(
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: {RESPONSE_BYTES}\r\n\r\n")
                .as_bytes(),
        )?;
        let piece = vec![b'p'; PIECE_BYTES];
        for _ in 0..RESPONSE_BYTES / PIECE_BYTES {
            connection.write(&piece)?;
        }
        Ok(true)
    })?;
    let orders = ordinary::OrderLedger::start(&site)?;
    configure(
        &site,
        "plans",
        &site::route("plan", "/plan/", "safe", "plans"),
    );
    let machines = start_machines(&site, limits)?;
    machines::strike_all(machines, limits.memory_mb, record, &orders, |task| {
        let statuses = sync::Mutex::new(Statuses::new());
        thread::scope(|scope| {
            for number in 0..READING_CLIENTS {
                thread::sleep(time::Duration::from_millis(READING_GAP_MS));
                if task.is_over() {
                    break;
                }
                let (task, statuses) = (task.clone(), &statuses);
                scope.spawn(move || {
                    let status = read_plan(&task, number, trouble).unwrap_or(0);
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                });
            }
        });
        Ok(format!(
            "plans by status {:?}",
            statuses.into_inner().unwrap()
        ))
    })
}

// Returns the status of a response that came whole.
fn read_plan(task: &machines::CrowdTask, number: usize, trouble: bool) -> io::Result<u16> {
    let mut connection = connect(task.front)?;
    let head = head("GET", "/plan/x", &format!("s{}-{number}", task.round), "");
    connection.write(head.as_bytes())?;
    if trouble {
        thread::sleep(time::Duration::from_millis(READING_PAUSE_MS));
    }
    let Some(head) = connection.read_head()? else {
        return Ok(0);
    };
    let mut left = head.content_length().unwrap_or(0);
    while left > 0 {
        let count = connection.skip_some(left)?;
        if count == 0 {
            return Ok(0);
        }
        left -= count;
    }
    Ok(head.status())
}
