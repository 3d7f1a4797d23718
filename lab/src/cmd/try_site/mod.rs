//! `zinnia-lab try`: runs whole sites in one process and checks their guarantees.

mod entry;
mod platform;

use std::time;

use zinniastack::cmd;

/// The usage text.
pub const USAGE: &str = "\
Starts two whole sites on free loopback ports, one with the project's own front end and one with the
front end on the users' platform, checks their guarantees, and prints a line for each.

Usage: zinnia-lab try
Exit codes: 0 all guarantees held, 1 one was broken";

/// How long a guarantee may take to hold before it counts as broken, in milliseconds.
pub const GUARANTEE_TIMEOUT_MS: u64 = 8_000;
/// The interval at which a trial checks a condition that it waits for, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct TryArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
}

/// The result of checking a guarantee: a detail, or how it was broken.
type GuaranteeResult = Result<String, String>;

/// The number of guarantees that held and that were broken.
#[derive(Clone, Copy, Debug, Default)]
struct TrialTally {
    passed: u32,
    failed: u32,
}

impl TrialTally {
    fn record_result(&mut self, guarantee: &str, result: GuaranteeResult) {
        match result {
            Ok(detail) => {
                self.passed += 1;
                println!("passed  {guarantee}: {detail}");
            }
            Err(fault) => {
                self.failed += 1;
                println!("FAILED  {guarantee}: {fault}");
            }
        }
    }
}

/// Runs the command.
///
/// # Errors
/// Fails when a site cannot be started.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    if cmd::parse_args::<TryArgs>(USAGE, arguments)?.is_none() {
        return Ok(cmd::EXIT_OK);
    }
    actix::System::new().block_on(async {
        println!("the project's own front end");
        let own = entry::EntryTrial::start().await?.run().await;
        println!("the front end on the users' platform");
        let platform = platform::PlatformTrial::start().await?.run().await;
        let failed = own.failed + platform.failed;
        println!("{} passed, {failed} failed", own.passed + platform.passed);
        Ok(if failed == 0 {
            cmd::EXIT_OK
        } else {
            cmd::EXIT_FAILED
        })
    })
}

fn check_timeout(started: time::Instant) -> Result<(), String> {
    if started.elapsed() < time::Duration::from_millis(GUARANTEE_TIMEOUT_MS) {
        return Ok(());
    }
    Err(format!("timed out after {GUARANTEE_TIMEOUT_MS} ms"))
}

async fn sleep_poll_interval() {
    tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
}

// Waits until `check` holds and returns how long that took; fails after `GUARANTEE_TIMEOUT_MS`.
async fn wait_until(check: impl AsyncFn() -> bool) -> Result<time::Duration, String> {
    let started = time::Instant::now();
    while !check().await {
        check_timeout(started)?;
        sleep_poll_interval().await;
    }
    Ok(started.elapsed())
}
