//! The program `zinnia-lab`: stand-ins, trial sites and measurements for development. It is never
//! shipped.

use std::process;

use zinniastack::cmd;

const USAGE: &str = "\
zinnia-lab provides stand-ins for the systems around zinnia, and measures zinnia.

Usage: zinnia-lab COMMAND [ARGUMENTS]

Commands:
  log      serve a stand-in for the platform's log
  hosts    serve a stand-in for the platform's list of hosts
  server   serve a stand-in for a backend server
  try      start a site of each front end and check its guarantees
  load     send requests to entry hosts at a fixed rate
  measure  measure service under overload, ownership, and capacity
  walk     run seeded schedules of faults in a simulated cluster

zinnia-lab COMMAND --help shows a command's arguments.";

fn main() -> process::ExitCode {
    cmd::run_program(run)
}

fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let rest = arguments.get(1..).unwrap_or_default();
    match arguments.first().map(String::as_str) {
        Some("log") => zinnia_lab::cmd::log::run(rest),
        Some("hosts") => zinnia_lab::cmd::hosts::run(rest),
        Some("server") => zinnia_lab::cmd::server::run(rest),
        Some("try") => zinnia_lab::cmd::try_site::run(rest),
        Some("load") => zinnia_lab::cmd::load::run(rest),
        Some("measure") => zinnia_lab::cmd::measure::run(rest),
        Some("walk") => zinnia_lab::cmd::walk::run(rest),
        Some("--help" | "-h" | "help") => {
            println!("{USAGE}");
            Ok(cmd::EXIT_OK)
        }
        Some(other) => Err(cmd::CommandError::Usage {
            message: format!("unknown command '{other}'\n\n{USAGE}"),
        }),
        None => Err(cmd::CommandError::Usage {
            message: format!("no command given\n\n{USAGE}"),
        }),
    }
}
