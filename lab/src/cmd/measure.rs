//! `zinnia-lab measure`: prints measurements as key=value lines.

use std::time;

use zinniastack::cmd;
use zinniastack::queue;
use zinniastack::timing;

use crate::capacity;
use crate::faults;
use crate::flood;
use crate::grants::ownership_gaps;
use crate::scenario;
use crate::server_state;
use crate::simulation;

/// The usage text.
pub const USAGE: &str = "\
Runs measurements and prints key=value lines. Floods and ownership run in virtual time.

Usage: zinnia-lab measure [--seed N] [--phase-ms N] [--platform] SUBJECT
Subjects:
  flood      service by rank under overload, with queues by rank and first in, first out
  ownership  ownership gaps, moves and messages for each kind of event;
             with --platform, ownership gaps of the front end on the users' platform
  capacity   cost of routing tables, renewals, exchanges and log replay at several sizes";

/// The arguments.
#[derive(Clone, Debug)]
#[derive(gumdrop::Options)]
pub struct MeasureArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The seed of the simulations.
    #[options(no_short, default = "1", help = "the seed")]
    pub seed: u64,
    /// The length of each phase of a flood, in milliseconds.
    #[options(no_short, default = "20000", help = "the length of each phase, in ms")]
    pub phase_ms: u64,
    /// Whether to measure the front end on the users' platform.
    #[options(no_short, help = "measure the front end on the users' platform")]
    pub platform: bool,
    /// What to measure.
    #[options(free, required, help = "what to measure")]
    pub subject: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when the arguments are invalid, the flood's chart is invalid, or the measured site cannot be
/// built.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<MeasureArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    match args.subject.as_str() {
        "flood" => measure_flood(&args),
        "ownership" if args.platform => {
            measure_ownership_gaps(args.seed);
            Ok(cmd::EXIT_OK)
        }
        "ownership" => {
            measure_ownership(&args);
            Ok(cmd::EXIT_OK)
        }
        "capacity" => measure_capacity(),
        other => Err(cmd::CommandError::Usage {
            message: format!("unknown subject '{other}'\n\n{USAGE}"),
        }),
    }
}

fn measure_flood(args: &MeasureArgs) -> Result<u8, cmd::CommandError> {
    for site in flood::SITES {
        for (name, policy) in [
            ("by-rank", queue::QueuePolicy::ByRank),
            ("fifo", queue::QueuePolicy::FirstInFirstOut),
        ] {
            let run = flood::FloodRun::new(site, policy, args.seed, args.phase_ms);
            let run = run.map_err(cmd::CommandError::failed)?;
            let capacity = run.capacity();
            let report = run.run();
            print_flood(
                &format!("site={} policy={name}", site.name),
                capacity,
                &report,
            );
        }
    }
    Ok(cmd::EXIT_OK)
}

fn print_flood(prefix: &str, capacity: f64, report: &flood::FloodReport) {
    for (phase, tallies) in &report.tallies {
        let phase_name = phase.as_str();
        for (rank, tally) in (1..).zip(tallies) {
            let refused: Vec<_> = tally
                .refused
                .iter()
                .map(|(reason, count)| format!("{}:{count}", reason.as_str()))
                .collect();
            println!(
                "{prefix} phase={phase_name} rank={rank} offered={} on_time={} ratio={:.4} \
                 late={} p50_us={} p99_us={} refused={}",
                tally.offered,
                tally.on_time,
                tally.on_time_ratio(),
                tally.late,
                tally.quantile_us(0.50),
                tally.quantile_us(0.99),
                refused.join(",")
            );
        }
        let finished = report.finished.get(phase).copied().unwrap_or(0);
        let recovery = report.recovery_ms.get(phase).copied().unwrap_or(0);
        println!(
            "{prefix} phase={phase_name} finished={finished} of_capacity={:.4} recovery_ms={recovery}",
            flood::ratio(finished, 1) / capacity
        );
    }
    println!(
        "{prefix} sent={} repeated={} doubled={} not_run_but_ran={}",
        report.sent, report.retried, report.doubled, report.not_run_but_ran
    );
}

/// The shards of each service in the measurement of ownership.
const OWNERSHIP_SHARDS: u32 = 60;
/// The simulated time after each event, in milliseconds.
const WATCH_MS: u64 = 5_000;

// Three failure domains with five hosts in all and twelve servers each: about the size of Manizales.
fn ownership_plan(seed: u64) -> simulation::SimulationPlan {
    let domain = |name: &str, hosts: u32| simulation::DomainPlan {
        name: name.into(),
        hosts,
        checked: 12,
        unchecked: 0,
    };
    simulation::SimulationPlan {
        seed,
        domains: vec![domain("north", 2), domain("south", 2), domain("east", 1)],
        shards: OWNERSHIP_SHARDS,
        long_delay_one_in: 0,
        mutation: server_state::ServerMutation::None,
        host_clock_gain_ppm: 0,
        timing: timing::LeaseTiming::new(),
    }
}

fn measure_ownership(args: &MeasureArgs) {
    let events: [(&str, &[faults::SiteFault]); 7] = [
        ("none", &[]),
        ("server-lost", &[faults::SiteFault::ServerLost]),
        ("server-frozen", &[faults::SiteFault::ServerFrozen]),
        ("server-draining", &[faults::SiteFault::ServerDraining]),
        ("granter-lost", &[faults::SiteFault::GranterLost]),
        (
            "granter-and-server-lost",
            &[
                faults::SiteFault::GranterLost,
                faults::SiteFault::ServerLost,
            ],
        ),
        ("log-down", &[faults::SiteFault::LogDown]),
    ];
    for (name, event) in events {
        let mut run = scenario::ScenarioRun::with_plan(ownership_plan(args.seed));
        run.settle(time::Duration::from_secs(10));
        run.advance(time::Duration::from_millis(500));
        run.mark();
        let owned = run.shards_by_faulted_server();
        let before = run.simulation().sent();
        for fault in event {
            fault.inject(&mut run);
        }
        run.advance(time::Duration::from_millis(WATCH_MS));
        let after = run.simulation().sent();
        let seconds = WATCH_MS / 1_000;
        println!(
            "event={name} seed={} unserved_ms={} moved={} fewest={} peak_to_mean={:.3} \
             violations={} orders_per_s={} appends_per_s={} exchanges_per_s={}",
            args.seed,
            run.checker().longest_unserved(run.simulation()).as_millis(),
            run.checker().moves(),
            owned
                .iter()
                .filter(|(fault, _)| event.contains(fault))
                .map(|(_, n)| n)
                .sum::<usize>(),
            run.peak_to_mean(),
            run.checker().violations().len(),
            (after.orders - before.orders) / seconds,
            (after.appends - before.appends) / seconds,
            (after.exchanges - before.exchanges) / seconds,
        );
    }
}

fn measure_ownership_gaps(seed: u64) {
    for event in ownership_gaps::GapEvent::ALL {
        println!(
            "event={} platform=yes seed={seed} unserved_ms={} bound_ms={}",
            event.as_str(),
            ownership_gaps::measure(seed, event).as_millis(),
            event.bound().as_millis()
        );
    }
}

fn measure_capacity() -> Result<u8, cmd::CommandError> {
    let failed = || cmd::CommandError::failed("the measured site cannot be built");
    let mut points = CapacityPoints::default();
    for size in capacity::TABLE_SIZES {
        let cost = capacity::measure_table(size).ok_or_else(failed)?;
        println!(
            "subject=table shards={size} lookup_ns={:.0} change_ns={:.0} resident_bytes={:.0}",
            cost.lookup_ns, cost.change_ns, cost.bytes
        );
        points.add("table.bytes", f64::from(size), cost.bytes);
        points.add("table.change_ns", f64::from(size), cost.change_ns);
        points.add("table.lookup_ns", f64::from(size), cost.lookup_ns);
    }
    for size in capacity::SERVER_SIZES {
        let cost = capacity::measure_renewals(size).ok_or_else(failed)?;
        println!(
            "subject=renewals servers={size} round_us={:.1} round_bytes={:.0}",
            cost.round_us, cost.round_bytes
        );
        points.add("renewals.round_us", f64::from(size), cost.round_us);
        points.add("renewals.round_bytes", f64::from(size), cost.round_bytes);
    }
    for size in capacity::HOST_SIZES {
        let bytes = capacity::measure_exchange(size).ok_or_else(failed)?;
        println!("subject=exchange hosts={size} bytes={bytes:.0}");
        points.add("exchange.bytes", f64::from(size), bytes);
    }
    for size in capacity::TABLE_SIZES {
        let cost = capacity::measure_replay(size).ok_or_else(failed)?;
        println!(
            "subject=fold shards={size} assign_us={:.2} checkpoint_bytes={:.0} load_ms={:.1}",
            cost.assign_us, cost.checkpoint_bytes, cost.load_ms
        );
        points.add(
            "fold.checkpoint_bytes",
            f64::from(size),
            cost.checkpoint_bytes,
        );
        points.add("fold.load_ms", f64::from(size), cost.load_ms);
    }
    points.print();
    Ok(cmd::EXIT_OK)
}

#[derive(Default)]
struct CapacityPoints {
    series: std::collections::BTreeMap<&'static str, Vec<capacity::CapacityPoint>>,
}

impl CapacityPoints {
    fn add(&mut self, name: &'static str, size: f64, value: f64) {
        let point = capacity::CapacityPoint { size, value };
        self.series.entry(name).or_default().push(point);
    }

    fn print(&self) {
        for (name, points) in &self.series {
            let slope = capacity::fit_line(points);
            println!(
                "slope={name} base={:.3} each={:.6}",
                slope.intercept, slope.per_unit
            );
        }
    }
}
