//! `zinnia-lab walk`: many seeded schedules of faults over a virtual world.

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
Runs seeded schedules of faults over a virtual world, and prints each that breaks a promise.

Usage: zinnia-lab walk [--seed N] [--count N] [--faults N] [--checked N] [--unchecked N]
                       [--hold-up N] [--threads N] [--shrink]
Exit codes: 0 all promises kept, 1 one was not";

/// The arguments.
#[derive(Clone, Debug)]
#[derive(gumdrop::Options)]
pub struct WalkArgs {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// The first seed.
    #[options(no_short, default = "1", help = "the first seed")]
    pub seed: u64,
    /// How many schedules to run.
    #[options(no_short, default = "100", help = "how many schedules to run")]
    pub count: u64,
    /// How many faults each has.
    #[options(no_short, default = "200", help = "how many faults each has")]
    pub faults: usize,
    /// How many checked servers each domain has.
    #[options(no_short, default = "3", help = "checked servers of each domain")]
    pub checked: u32,
    /// How many unchecked servers each domain has.
    #[options(no_short, default = "0", help = "unchecked servers of each domain")]
    pub unchecked: u32,
    /// One in how many messages is held up.
    #[options(
        no_short,
        default = "200",
        help = "one in how many messages is held up"
    )]
    pub hold_up: u32,
    /// How many threads share the work.
    #[options(no_short, default = "4", help = "how many threads share the work")]
    pub threads: u64,
    /// Whether failing schedules are shrunk.
    #[options(no_short, help = "shrink failing schedules to scenarios")]
    pub shrink: bool,
}

/// Runs the command.
///
/// # Errors
/// Fails when the arguments are faulty.
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
        hold_up_one_in: args.hold_up,
        mutation: server_state::ServerMutation::None,
        fast_hosts_ppm: 0,
        timing: timing::LeaseTiming::new(),
    }
}
