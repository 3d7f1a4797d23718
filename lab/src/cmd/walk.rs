//! `zinnia-lab walk`: runs many seeded schedules of faults in a simulated cluster.

use std::sync;
use std::sync::atomic;
use std::thread;

use zinniastack::cmd;
use zinniastack::timing;

use crate::server_state;
use crate::simulation;
use crate::walk;

/// The usage text.
pub const USAGE: &str = "\
Runs seeded schedules of faults in a simulated cluster, and prints each that violates an invariant
or leaves shards unserved after the end of all faults.

Usage: zinnia-lab walk [--seed N] [--count N] [--faults N] [--checked N] [--unchecked N]
                       [--hold-up N] [--threads N] [--shrink]
Exit codes: 0 all schedules passed, 1 one failed";

/// The arguments.
#[derive(Clone, Debug)]
#[derive(gumdrop::Options)]
pub struct WalkArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The first seed.
    #[options(no_short, default = "1", help = "the first seed")]
    pub seed: u64,
    /// The number of schedules to run.
    #[options(no_short, default = "100", help = "how many schedules to run")]
    pub count: u64,
    /// The number of faults in each schedule.
    #[options(no_short, default = "200", help = "how many faults each has")]
    pub faults: usize,
    /// The number of servers in each failure domain that check fences.
    #[options(no_short, default = "3", help = "checked servers of each domain")]
    pub checked: u32,
    /// The number of servers in each failure domain that do not check fences.
    #[options(no_short, default = "0", help = "unchecked servers of each domain")]
    pub unchecked: u32,
    /// One in this many messages is delayed; 0 delays none.
    #[options(no_short, default = "200", help = "delay one in this many messages")]
    pub hold_up: u32,
    /// The number of threads that share the schedules.
    #[options(no_short, default = "4", help = "how many threads share the work")]
    pub threads: u64,
    /// Whether to reduce failing schedules to minimal scenarios.
    #[options(no_short, help = "shrink failing schedules to scenarios")]
    pub shrink: bool,
}

/// Runs the command.
///
/// # Errors
/// Fails when the arguments are invalid.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<WalkArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let next = sync::Arc::new(atomic::AtomicU64::new(0));
    let failed = sync::Arc::new(atomic::AtomicU64::new(0));
    let workers: Vec<_> = (0..args.threads.max(1))
        .map(|_| {
            let (args, next, failed) = (args.clone(), next.clone(), failed.clone());
            thread::spawn(move || run_schedules(&args, &next, &failed))
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    let failed = failed.load(atomic::Ordering::Relaxed);
    println!("{} passed, {failed} failed", args.count - failed);
    Ok(if failed == 0 {
        cmd::EXIT_OK
    } else {
        cmd::EXIT_FAILED
    })
}

fn run_schedules(args: &WalkArgs, next: &atomic::AtomicU64, failed: &atomic::AtomicU64) {
    loop {
        let number = next.fetch_add(1, atomic::Ordering::Relaxed);
        if number >= args.count {
            return;
        }
        let seed = args.seed + number;
        let walk = walk::FaultWalk::new(plan(args, seed), args.faults);
        if let Err(fault) = walk.run() {
            failed.fetch_add(1, atomic::Ordering::Relaxed);
            println!("seed={seed} fault=\"{fault}\"");
            if args.shrink {
                println!("{}", walk.shrink().to_scenario());
            }
        }
    }
}

fn plan(args: &WalkArgs, seed: u64) -> simulation::SimulationPlan {
    let domain = |name: &str, hosts: u32| simulation::DomainPlan {
        name: name.into(),
        hosts,
        checked: args.checked,
        unchecked: args.unchecked,
    };
    simulation::SimulationPlan {
        seed,
        domains: vec![domain("north", 2), domain("south", 1)],
        shards: 4,
        long_delay_one_in: args.hold_up,
        mutation: server_state::ServerMutation::None,
        host_clock_gain_ppm: 0,
        timing: timing::LeaseTiming::new(),
    }
}
