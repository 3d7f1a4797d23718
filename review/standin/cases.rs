//! The cases.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::Site;
use crate::store::{ASSIGNMENTS, SERVERS};
use crate::worker::{Worker, unix_ms};

type Outcome = Result<bool, String>;

/// Runs a case; returns whether the rule was broken.
pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "leaving" => leaving(trouble, record),
        "foreign-key" => foreign_key(trouble, record),
        "foreign-entry" => foreign_entry(trouble, record),
        "idle-router" => idle_router(trouble, record),
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
    let mut site = Site::start(record).map_err(text)?;
    let start = |number: u8, name: &str, service: &str, sharded: bool| {
        let address = site.worker_address(number);
        let work = Duration::from_millis(100);
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

// DRAIN: a worker that leaves says so in its answers, while it is partitioned from the store.
fn leaving(trouble: bool, record: &Record) -> Outcome {
    const DRAIN: Duration = Duration::from_millis(2_000);
    // Three heartbeat intervals without a beat, after which the store removes an entry.
    const EXPIRY: Duration = Duration::from_millis(4_500);
    // How long the worker serves on: drain_ms and a little longer.
    const SERVES_ON: Duration = Duration::from_millis(3_500);
    const CLIENTS: u32 = 10;
    let Deployment { site, orders, .. } = deploy(record)?;
    let worker = &orders[0];
    let (late, lost) = (AtomicU32::new(0), AtomicU32::new(0));
    let (late, lost) = (&late, &lost);
    worker.leaving.store(true, Ordering::SeqCst);
    worker.beats.store(false, Ordering::SeqCst);
    record.line(format!("{} leaves", worker.id));
    if !trouble {
        worker.draining.store(true, Ordering::SeqCst);
        worker.write_entry(&site.store);
    }
    let begun = Instant::now();
    let told = Mutex::new(None::<Instant>);
    thread::scope(|scope| {
        for client in 1..=CLIENTS {
            let (site, told) = (&site, &told);
            scope.spawn(move || {
                let mut number = 0;
                while begun.elapsed() < Duration::from_secs(8) {
                    number += 1;
                    let id = format!("order-{client}-{number}");
                    let sent = Instant::now();
                    let (status, body) = site.send(1, "POST", "/orders/a", &id, None);
                    let mut told = told.lock().unwrap();
                    if status == 200 && body.starts_with(&worker.id) && told.is_none() {
                        *told = Some(Instant::now());
                        record.line("router 1 has passed on an answer with Server-Leaving");
                    }
                    if told.is_some_and(|told| sent > told + DRAIN) && worker.has_run(&id) {
                        late.fetch_add(1, Ordering::SeqCst);
                        lost.fetch_add(u32::from(status != 200), Ordering::SeqCst);
                        record.line(format!(
                            "{id} reached {} too late, answered with {status}",
                            worker.id
                        ));
                    }
                }
            });
        }
        thread::sleep(SERVES_ON);
        worker.end();
        thread::sleep(EXPIRY - SERVES_ON);
        site.store.put(SERVERS, &worker.id, "");
        record.line(format!("the store removes the entry of {}", worker.id));
    });
    let (late, lost) = (late.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.line(format!("{late} orders reached {} later than drain_ms after router 1 had passed on its Server-Leaving", worker.id));
    record.line(format!("{lost} of them were begun and not answered by it"));
    Ok(late > 0)
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
    Ok(held_twice(&stock, Duration::from_secs(6), record))
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
