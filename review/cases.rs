//! The cases.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::site::Site;
use crate::store::{ASSIGNMENTS, SERVERS};
use crate::worker::{Worker, unix_ms};

type Outcome = Result<bool, String>;

/// Runs a case; returns whether the rule was broken.
pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "foreign-key" => foreign_key(trouble, record),
        "foreign-entry" => foreign_entry(trouble, record),
        "idle-router" => idle_router(trouble, record),
        "stop" => stop(trouble, record),
        _ => Err(format!("unknown case {case}")),
    }
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

const READY_LIMIT: Duration = Duration::from_secs(20);

struct Deployment {
    site: Site,
    stock: Vec<Arc<Worker>>,
    orders: Vec<Arc<Worker>>,
}

// Starts three routers, five workers with keys and five without, and waits until all routers are ready.
fn deploy(record: &Record) -> Result<Deployment, String> {
    deploy_with(record, Duration::from_millis(100))
}

// The same, with the time that a request takes.
fn deploy_with(record: &Record, work: Duration) -> Result<Deployment, String> {
    let mut site = Site::start(record).map_err(text)?;
    let start = |number: u8, name: &str, service: &str, sharded: bool| {
        let address = site.worker_address(number);
        Worker::start((name, service, sharded), address, work, &site.store, record).map_err(text)
    };
    let stock = (1..=5).map(|n| start(n, &format!("i-stock-{n}"), "stock", true));
    let stock = stock.collect::<Result<Vec<_>, _>>()?;
    let orders = (1..=5).map(|n| start(10 + n, &format!("i-orders-{n}"), "orders", false));
    let orders = orders.collect::<Result<Vec<_>, _>>()?;
    site.put_config(3);
    for number in 1..=3 {
        site.start_router(number).map_err(text)?;
    }
    if !site.wait_until_ready(READY_LIMIT) {
        return Err("the routers did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    Ok(Deployment {
        site,
        stock,
        orders,
    })
}

// RECOVER: another writer's entries lie in the list of workers when all processes are killed.
fn foreign_key(trouble: bool, record: &Record) -> Outcome {
    const RECOVERY: Duration = Duration::from_secs(15);
    let Deployment { mut site, .. } = deploy(record)?;
    if trouble {
        for number in 1..=600 {
            let entry = format!(r#"{{"lote":{number},"estado":"abierto"}}"#);
            site.store
                .put(SERVERS, &format!("lote {number:03}"), &entry);
        }
        record.line("another writer has put 600 entries into the list of workers");
    }
    thread::sleep(Duration::from_secs(2));
    let before = served(&site, "before", 20);
    for number in 1..=3 {
        site.kill_router(number);
    }
    thread::sleep(Duration::from_secs(1));
    for number in 1..=3 {
        site.start_router(number).map_err(text)?;
    }
    thread::sleep(RECOVERY);
    record.line("recovery_s after the processes are back");
    let after = served(&site, "after", 20);
    record.line(format!("served of 20: {before} before, {after} after"));
    if before < 5 {
        return Err("not served before the fault".to_owned());
    }
    Ok(after < 5)
}

// How many of `count` requests are served.
fn served(site: &Site, prefix: &str, count: u64) -> u64 {
    let answered = (1..=count).filter(|number| {
        let id = format!("{prefix}-{number}");
        let router = (number % 3 + 1) as u8;
        if number % 2 == 0 {
            site.send(router, "POST", "/orders/a", &id, None).0 == 200
        } else {
            site.send(router, "GET", "/stock/a", &id, Some(number * 3_000))
                .0
                == 200
        }
    });
    answered.count() as u64
}

// DRAIN: a worker drains, a partition of the store is down, and a router without requests gets one.
fn idle_router(trouble: bool, record: &Record) -> Outcome {
    const DRAIN: Duration = Duration::from_millis(2_000);
    const OUTAGE: Duration = Duration::from_millis(4_500);
    // How long the worker serves on: drain_ms and a little longer.
    const SERVES_ON: Duration = Duration::from_millis(2_700);
    const ROUTER: u8 = 2;
    let Deployment { site, stock, .. } = deploy(record)?;
    let worker = &stock[0];
    let keys: Vec<u64> = (0..65_536).step_by(64).collect();
    let held = |key: &&u64| worker.fence_of(**key, Instant::now()).is_some();
    let keys: Vec<u64> = keys.iter().filter(held).copied().collect();
    worker.draining.store(true, Ordering::SeqCst);
    worker.write_entry(&site.store);
    let entry = site.store.end(SERVERS);
    record.line(format!(
        "the store has acknowledged that {} drains",
        worker.id
    ));
    if trouble {
        site.store.set_down(ASSIGNMENTS, true);
        record.line(format!("the store's partition of {ASSIGNMENTS} is down"));
    }
    let down = Instant::now();
    while site.store.given(ROUTER) < entry {
        if down.elapsed() > Duration::from_secs(1) {
            return Err("router 2 has not read the entry".to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
    let acknowledged = Instant::now();
    record.line(format!(
        "router {ROUTER} has read that {} drains",
        worker.id
    ));
    thread::sleep(DRAIN + Duration::from_millis(50));
    let (mut late, mut lost) = (0, 0);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
            worker.end();
        });
        for number in 1.. {
            if down.elapsed() > OUTAGE {
                return;
            }
            let key = keys[number % keys.len()];
            let id = format!("booking-{number}");
            let after = acknowledged.elapsed();
            let (status, _) = site.send(ROUTER, "POST", "/bookings/a", &id, Some(key));
            if worker.has_run(&id) {
                late += 1;
                lost += u32::from(status != 200);
                record.line(format!(
                    "{id} reached {} {after:?} after router {ROUTER} read that it drains",
                    worker.id
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    site.store.set_down(ASSIGNMENTS, false);
    record.line(format!(
        "{late} requests reached {} later than drain_ms",
        worker.id
    ));
    record.line(format!("{lost} of them were begun and not answered by it"));
    Ok(late > 0)
}

// LOST: a router gets SIGTERM while requests wait for a worker.
fn stop(trouble: bool, record: &Record) -> Outcome {
    const CLIENTS: u64 = 250;
    const GRACE: Duration = Duration::from_secs(6);
    const LOSS_SLACK: Duration = Duration::from_millis(200);
    const BALANCED: Duration = Duration::from_secs(2);
    let Deployment {
        mut site, orders, ..
    } = deploy_with(record, Duration::from_millis(500))?;
    let fronts = [1, 2, 3].map(|number| site.front(number));
    let done = AtomicBool::new(false);
    let stopped = Mutex::new(None::<Instant>);
    let cut = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for client in 0..3 * CLIENTS {
            let (done, stopped, cut) = (&done, &stopped, &cut);
            let home = (client % 3) as usize;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(client * 5));
                let mut connection = None;
                for number in 0.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    // The platform's balancer has taken the stopping router out.
                    let is_out = stopped
                        .lock()
                        .unwrap()
                        .is_some_and(|at| at.elapsed() > BALANCED);
                    let router = if is_out && home == 0 {
                        1 + client as usize % 2
                    } else {
                        home
                    };
                    if connection.is_none() {
                        connection = http::Connection::open(fronts[router])
                            .ok()
                            .map(|c| (c, router));
                    }
                    let Some((open, at)) = connection.as_mut() else {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    let (at, id) = (*at, format!("plan-{client}-{number}"));
                    let sent = Instant::now();
                    record.line(format!("client sends {id} to router {}", at + 1));
                    let answer = open.call(&plan(&id), Duration::from_secs(9));
                    let pause = match answer {
                        Ok(answer) => {
                            record.line(format!("client {id} gets {}", answer.status));
                            if answer.header("connection") == Some("close") {
                                connection = None;
                            }
                            let after = answer.header("retry-after").and_then(|v| v.parse().ok());
                            Duration::from_secs_f64(after.unwrap_or(0.0))
                        }
                        Err(error) => {
                            record.line(format!("client {id} gets no answer: {error}"));
                            let was_cut = error.kind() != std::io::ErrorKind::WouldBlock;
                            if was_cut && at == 0 && sent.elapsed() > LOSS_SLACK {
                                cut.lock().unwrap().push((id, sent, sent.elapsed()));
                            }
                            connection = None;
                            Duration::ZERO
                        }
                    };
                    thread::sleep(pause + Duration::from_millis(client * 37 % 4_000));
                }
            });
        }
        thread::sleep(Duration::from_secs(14));
        if trouble {
            site.stop_router(1);
            *stopped.lock().unwrap() = Some(Instant::now());
            site.wait_for_end(1, GRACE + Duration::from_secs(1));
        } else {
            thread::sleep(GRACE);
        }
        thread::sleep(Duration::from_millis(500));
        done.store(true, Ordering::SeqCst);
    });
    let stopped = stopped.lock().unwrap().unwrap_or_else(Instant::now);
    let mut lost = 0;
    for (id, sent, waited) in cut.lock().unwrap().iter() {
        let has_run = orders.iter().any(|worker| worker.has_run(id));
        let since = (*sent + Duration::from_secs(60))
            .duration_since(stopped)
            .as_secs_f64()
            - 60.0;
        record.line(format!(
            "{id}, sent {since:.2} s after SIGTERM, was read and cut off after {waited:?}; a worker had it: {has_run}"
        ));
        lost += u32::from(!has_run);
    }
    record.line(format!(
        "{lost} requests that no worker had were cut off without an answer"
    ));
    Ok(lost > 0)
}

fn plan(id: &str) -> Message {
    let request = Message {
        method: "POST".to_owned(),
        target: "/plans/a".to_owned(),
        ..Message::default()
    };
    let request = request
        .with("host", "desk.example")
        .with("x-request-id", id);
    request
        .with("x-request-deadline", 8_000)
        .with_body(vec![b'p'; 4_096])
}

// OWNER: another writer's entry, with fields missing and of another type, lies under a worker's id.
fn foreign_entry(trouble: bool, record: &Record) -> Outcome {
    let Deployment { site, stock, .. } = deploy(record)?;
    if trouble {
        let entry = format!(
            r#"{{"born":{},"service":"stock","address":"{}","zone":"zone-a","slots":6,"state":"ready","cold_remaining_ms":"none","sequence":1}}"#,
            unix_ms(),
            site.worker_address(50)
        );
        site.store.put(SERVERS, &stock[0].id, &entry);
        record.line(format!(
            "another writer puts an entry under {}: {entry}",
            stock[0].id
        ));
    }
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0.. {
                if done.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("lookup-{number}");
                let (router, key) = ((number % 3 + 1) as u8, number * 500 % 65_536);
                site.send(router, "GET", "/stock/a", &id, Some(key));
            }
        });
        let is_broken = held_twice(&stock, Duration::from_secs(6), record);
        done.store(true, Ordering::SeqCst);
        Ok(is_broken)
    })
}

// Watches the workers for `span`. Reports whether two of them held the same key for over half a second.
fn held_twice(workers: &[Arc<Worker>], span: Duration, record: &Record) -> bool {
    const LIMIT: Duration = Duration::from_millis(500);
    let keys: Vec<u64> = (0..65_536).step_by(256).collect();
    let mut since: Vec<Option<Instant>> = vec![None; keys.len()];
    let begun = Instant::now();
    let mut longest = (Duration::ZERO, String::new());
    while begun.elapsed() < span {
        let now = Instant::now();
        for (key, since) in keys.iter().zip(&mut since) {
            let holders = workers
                .iter()
                .filter_map(|w| Some((&w.id, w.fence_of(*key, now)?)));
            let holders: Vec<_> = holders.collect();
            if holders.len() < 2 {
                *since = None;
                continue;
            }
            let lasted = now - *since.get_or_insert(now);
            if lasted > longest.0 {
                longest = (lasted, format!("key {key} held by {holders:?}"));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(format!(
        "the longest time that a key was held twice: {:?} {}",
        longest.0, longest.1
    ));
    longest.0 > LIMIT
}
