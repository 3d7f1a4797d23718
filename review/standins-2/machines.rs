//! Two machines under a crowd of clients, and the platform that kills a process which exceeds its memory.
//!
//! The check is the rule **Fault** as written: on a tenth of the machines in use, two at least, processes end
//! by themselves three times in the day with no disruption there; memory over the limit counts.

use std::fs;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::ordinary;
use crate::record;
use crate::site;

/// How many ends on one machine the rule counts.
const ENDS: usize = 3;
/// How many such machines break the rule: a tenth of the two in use, two at least.
const MACHINES: usize = 2;
/// The interval at which the platform looks at a process's memory, in milliseconds.
const WATCH_MS: u64 = 10;
/// The delay after which a process that has ended is started again, in milliseconds.
const RESTART_MS: u64 = 500;
/// How long the memory of a process is watched after its crowd has done all, in milliseconds.
const SETTLING_MS: u64 = 1_500;

/// What a crowd is given.
#[derive(Clone)]
pub struct CrowdTask {
    /// The address of the machine for callers.
    pub front: net::SocketAddr,
    /// The number of the crowd on this machine.
    pub round: usize,
    /// Whether the process has ended.
    pub ended: sync::Arc<atomic::AtomicBool>,
}

impl CrowdTask {
    /// Reports whether the process has ended, and the crowd is to end too.
    pub fn is_over(&self) -> bool {
        self.ended.load(atomic::Ordering::Relaxed)
    }
}

// Watches the memory of a process until `done`; kills it once it exceeds the limit. Reports whether it ended.
fn watch(
    machine: &site::Machine,
    limit_mb: u64,
    done: &atomic::AtomicBool,
    record: &record::Record,
) -> bool {
    let name = machine.name();
    let mut settled = None;
    let mut peak_kb = 0;
    loop {
        let Some(memory_kb) = machine.memory_kb() else {
            record.tell(&format!("{name}: the process has ended"));
            return true;
        };
        peak_kb = peak_kb.max(memory_kb);
        if memory_kb > limit_mb * 1_024 {
            record.tell(&format!(
                "{name}: {memory_kb} kB in use, over {limit_mb} MB; killed"
            ));
            machine.signal("-KILL");
            return true;
        }
        if done.load(atomic::Ordering::Relaxed) {
            let since = *settled.get_or_insert_with(time::Instant::now);
            if since.elapsed() >= time::Duration::from_millis(SETTLING_MS) {
                record.tell(&format!(
                    "{name}: {peak_kb} kB at most, within {limit_mb} MB"
                ));
                return false;
            }
        }
        thread::sleep(time::Duration::from_millis(WATCH_MS));
    }
}

// Sends crowds to one machine, and returns how often its process ended.
fn strike(
    mut machine: site::Machine,
    limit_mb: u64,
    orders: &ordinary::OrderLedger,
    crowd: &(impl Fn(&CrowdTask) -> io::Result<String> + Sync),
) -> io::Result<usize> {
    let record = machine.record().clone();
    let mut ends = 0;
    for round in 0..ENDS {
        machine.wait_until_ready()?;
        let task = CrowdTask {
            front: machine.front,
            round,
            ended: sync::Arc::default(),
        };
        let done = atomic::AtomicBool::new(false);
        let (has_ended, sent) = thread::scope(|scope| {
            let sender = scope.spawn(|| {
                let sent = crowd(&task);
                done.store(true, atomic::Ordering::Relaxed);
                sent
            });
            let caller =
                scope.spawn(|| orders.send(&task, || done.load(atomic::Ordering::Relaxed)));
            let has_ended = watch(&machine, limit_mb, &done, &record);
            task.ended.store(true, atomic::Ordering::Relaxed);
            let (answered, lost) = caller.join().expect("a caller panicked");
            record.tell(&format!(
                "{}: {answered} ordinary orders answered, begun and never answered: {lost:?}",
                machine.name()
            ));
            (has_ended, sender.join().expect("a crowd panicked"))
        });
        match sent {
            Ok(told) => record.tell(&format!("{} crowd {round}: {told}", machine.name())),
            // A crowd ends with its process.
            Err(error) if has_ended => {
                record.note(&format!("{} crowd {round}: {error}", machine.name()))
            }
            Err(error) => return Err(error),
        }
        if has_ended {
            ends += 1;
            thread::sleep(time::Duration::from_millis(RESTART_MS));
            machine.restart()?;
        }
    }
    Ok(ends)
}

/// Fails where this process may not open as many descriptors as a case needs.
pub fn check_descriptors(needed: u64) -> io::Result<()> {
    let limits = fs::read_to_string("/proc/self/limits")?;
    let line = limits
        .lines()
        .find(|line| line.starts_with("Max open files"));
    let allowed = line.and_then(|line| line.split_whitespace().nth(3)?.parse::<u64>().ok());
    if allowed.is_some_and(|allowed| allowed < needed) {
        return Err(io::Error::other(format!("{needed} descriptors are needed")));
    }
    Ok(())
}

/// Sends crowds to all machines at a time. Reports whether the rule is broken.
pub fn strike_all(
    machines: Vec<site::Machine>,
    limit_mb: u64,
    record: &record::Record,
    orders: &ordinary::OrderLedger,
    crowd: impl Fn(&CrowdTask) -> io::Result<String> + Sync,
) -> io::Result<bool> {
    let crowd = &crowd;
    let ends = thread::scope(|scope| {
        let struck = machines.into_iter();
        let struck =
            struck.map(|machine| scope.spawn(move || strike(machine, limit_mb, orders, crowd)));
        let struck: Vec<_> = struck.collect();
        let ends = struck
            .into_iter()
            .map(|thread| thread.join().expect("a crowd panicked"));
        ends.collect::<io::Result<Vec<_>>>()
    })?;
    let often = ends.iter().filter(|ends| **ends >= ENDS).count();
    record.tell(&format!("ends on each machine: {ends:?}"));
    Ok(often >= MACHINES)
}
