//! `zinnia-lab measure`: measurements as key=value lines.

use zinniastack::cmd;
use zinniastack::queue;

use crate::flood;

/// The usage text.
pub const USAGE: &str = "\
Measures on virtual time, and prints key=value lines.

Usage: zinnia-lab measure [--seed N] [--phase-ms N] flood
Subjects: flood (service by rank, our policy beside a first-in-first-out queue)";

/// The arguments.
#[derive(Clone, Debug)]
#[derive(gumdrop::Options)]
pub struct MeasureArgs {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// The seed.
    #[options(no_short, default = "1", help = "the seed")]
    pub seed: u64,
    /// The length of each phase of a flood.
    #[options(no_short, default = "20000", help = "the length of each phase, in ms")]
    pub phase_ms: u64,
    /// What to measure.
    #[options(free, required, help = "what to measure")]
    pub subject: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when the arguments are faulty.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<MeasureArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    match args.subject.as_str() {
        "flood" => measure_flood(&args),
        other => Err(cmd::CommandError::Usage {
            message: format!("'{other}' cannot be measured\n\n{USAGE}"),
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
        report.sent, report.repeated, report.doubled, report.not_run_but_ran
    );
}
