//! A planned stop while callers read their answers slowly.
//!
//! The check is the rule **LOST** as written: around a SIGTERM, until a second after the grace period, a process
//! has read a whole request, it was passed on to a worker, and the connection ends without a complete answer.
//! Not counted: the deadline or the route's time-out was reached, the worker broke off, or it was still at work
//! in the last sixth of the grace period.

use std::ffi;
use std::fs;
use std::io;
use std::net;
use std::os::fd::AsRawFd as _;
use std::sync;
use std::thread;
use std::time;

use crate::http;
use crate::record;
use crate::site;
use crate::worker;

/// The grace period of the settings, in milliseconds.
const GRACE_MS: u128 = 6_000;
/// How long after the signal a request counts, in milliseconds.
const COUNTED_MS: u128 = GRACE_MS + 1_000;
/// From when a worker that is still at work excuses the end of its request, in milliseconds.
const LAST_SIXTH_MS: u128 = GRACE_MS / 6 * 5;
/// The caller's deadline and the route's time-out, in milliseconds.
const DEADLINE_MS: u128 = 8_000;
/// When the machine is stopped after the requests were sent, in milliseconds.
const STOP_AT_MS: u64 = 300;
/// For how long a caller reads slowly, in milliseconds, and how much it reads at a time.
const SLOW_MS: u128 = 4_300;
const SLOW_BYTES: usize = 1 << 10;
const SLOW_PAUSE_MS: u64 = 100;
/// The receive buffer of a caller, in bytes: the window of a small link.
const WINDOW_BYTES: i32 = 16 << 10;
/// The sizes of the answers, in hundredths of the largest send buffer of the system. One that is a little
/// larger ends in the process's own buffers.
const SIZES: [usize; 10] = [80, 85, 90, 95, 100, 105, 110, 115, 120, 125];
/// The size of the pieces in which a worker sends an answer, in bytes.
const PIECE_BYTES: usize = 64 << 10;

unsafe extern "C" {
    fn setsockopt(
        socket: i32,
        level: i32,
        name: i32,
        value: *const ffi::c_void,
        length: u32,
    ) -> i32;
}

// What became of a caller's request.
struct ExportEnd {
    size: usize,
    status: u16,
    received: usize,
    ended_ms: u128,
}

fn set_window(stream: &net::TcpStream) -> io::Result<()> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let value = &raw const WINDOW_VALUE;
    // SAFETY: the value is a static integer of the length given.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, value.cast(), 4) };
    if result == 0 {
        return Ok(());
    }
    Err(io::Error::last_os_error())
}

static WINDOW_VALUE: i32 = WINDOW_BYTES;

fn largest_send_buffer() -> io::Result<usize> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/tcp_wmem")?;
    let largest = text
        .split_whitespace()
        .nth(2)
        .and_then(|text| text.parse().ok());
    largest.ok_or_else(|| io::Error::other("no size of the send buffer"))
}

// Sends an order and reads its answer, slowly at first.
fn export(front: net::SocketAddr, size: usize, record: &record::Record) -> io::Result<ExportEnd> {
    let stream = net::TcpStream::connect(front)?;
    set_window(&stream)?;
    stream.set_read_timeout(Some(time::Duration::from_secs(10)))?;
    let mut connection = http::Connection::new(stream);
    let request = format!(
        "POST /export/{size} HTTP/1.1\r\nhost: app.example\r\nx-request-id: e{size}\r\nx-request-deadline: {DEADLINE_MS}\r\ncontent-length: 5\r\n\r\norder"
    );
    connection.write(request.as_bytes())?;
    record.note(&format!("client: order e{size} is sent"));
    let started = time::Instant::now();
    let status = connection.read_head()?.map_or(0, |head| head.status());
    let mut received = 0;
    while received < size {
        let slow = started.elapsed().as_millis() < SLOW_MS;
        let limit = if slow { SLOW_BYTES } else { PIECE_BYTES };
        match connection.skip_some(limit.min(size - received)) {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        if slow {
            thread::sleep(time::Duration::from_millis(SLOW_PAUSE_MS));
        }
    }
    Ok(ExportEnd {
        size,
        status,
        received,
        ended_ms: started.elapsed().as_millis(),
    })
}

// The sizes of the answers that workers have sent whole, and when by the record's clock.
type SentAnswers = sync::Arc<sync::Mutex<Vec<(usize, u128)>>>;

fn start_workers(site: &site::Site, sent: &SentAnswers) -> io::Result<()> {
    for number in 0..10 {
        let (record, sent) = (site.record.clone(), sync::Arc::clone(sent));
        let behaviour: Box<worker::Behaviour> = Box::new(move |worker, head, connection| {
            connection.read_body(head)?;
            record.note(&format!("worker {}: runs {}", worker.id, head.first_line));
            let size = head
                .target()
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok());
            let size = size.unwrap_or(0);
            let headers = worker::answer_headers(head);
            connection.write(
                format!("HTTP/1.1 200 OK\r\n{headers}content-length: {size}\r\n\r\n").as_bytes(),
            )?;
            let piece = vec![b'e'; PIECE_BYTES];
            let mut left = size;
            while left > 0 {
                let count = left.min(PIECE_BYTES);
                connection.write(&piece[..count])?;
                left -= count;
            }
            record.note(&format!(
                "worker {}: has sent all of {}",
                worker.id, head.first_line
            ));
            sent.lock().unwrap().push((size, record.millis()));
            Ok(true)
        });
        let id = format!("i-exports-{number}");
        worker::Worker::start(
            &site.store,
            site.ip(50 + number),
            (&id, "exports", "a"),
            6,
            behaviour,
        )?;
    }
    Ok(())
}

/// Callers read their answers slowly for some seconds; meanwhile their machines are stopped.
pub fn slow_reader_at_stop(record: &record::Record, trouble: bool) -> io::Result<bool> {
    let limits = site::MachineLimits {
        memory_mb: 390,
        max_fds: 6_150,
        link_mbps: 1_500,
    };
    let site = site::Site::start(record)?;
    let sent = SentAnswers::default();
    start_workers(&site, &sent)?;
    site.configure(
        3,
        &["exports"],
        &site::route("export", "/export/", "unsafe", "exports"),
    );
    let buffer = largest_send_buffer()?;
    let numbers = 2..2 + SIZES.len() as u8;
    let machines = numbers.map(|number| site.machine(number, "a", limits));
    let machines = machines.collect::<io::Result<Vec<_>>>()?;
    for machine in &machines {
        machine.wait_until_ready()?;
    }
    let sizes = SIZES.map(|part| buffer / 100 * part);
    let (ends, stopped_at) = thread::scope(|scope| {
        let callers = machines.iter().zip(sizes);
        let callers =
            callers.map(|(machine, size)| scope.spawn(move || export(machine.front, size, record)));
        let callers: Vec<_> = callers.collect();
        thread::sleep(time::Duration::from_millis(STOP_AT_MS));
        let stopped_at = record.millis();
        if trouble {
            machines.iter().for_each(|machine| machine.signal("-TERM"));
        }
        let ends = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller panicked"));
        ends.collect::<io::Result<Vec<_>>>()
            .map(|ends| (ends, stopped_at))
    })?;
    let sent = sent.lock().unwrap();
    let lost = ends.iter().filter(|end| {
        let is_whole = end.status == 200 && end.received == end.size;
        let finished = sent.iter().find(|(size, _)| *size == end.size);
        let in_time = finished.is_some_and(|(_, at)| *at < stopped_at + LAST_SIXTH_MS);
        let after_stop_ms = end.ended_ms.saturating_sub(u128::from(STOP_AT_MS));
        let is_counted = in_time && end.ended_ms < DEADLINE_MS && after_stop_ms < COUNTED_MS;
        record.tell(&format!(
            "order e{}: status {}, {} of {} bytes after {} ms, worker done in time: {in_time}, {}",
            end.size,
            end.status,
            end.received,
            end.size,
            end.ended_ms,
            if is_whole { "whole" } else { "CUT" }
        ));
        !is_whole && is_counted
    });
    let lost = lost.count();
    record.tell(&format!("answers lost: {lost} of {}", ends.len()));
    Ok(lost > 0)
}
