//! The program `zinnia`: runs the command that its first argument names.

use std::process;

use zinniastack::cmd;

const USAGE: &str = "\
zinnia routes each request to the backend server that owns its key.

Usage: zinnia COMMAND [ARGUMENTS]

Commands:
  entry    run one entry host
  patch    submit a patch, or show the status of one
  check    check a configuration or a patch file
  status   show hosts, domains, servers and the version in force
  explain  show where a key's requests go, and why
  chart    print a state chart

zinnia COMMAND --help shows a command's arguments.";

fn main() -> process::ExitCode {
    cmd::logs::start(&["zinniastack", "zinnia"], std::io::stderr);
    cmd::run_program(run)
}

fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let rest = arguments.get(1..).unwrap_or_default();
    match arguments.first().map(String::as_str) {
        Some("entry") => cmd::entry::run(rest),
        Some("patch") => cmd::patch::run(rest),
        Some("check") => cmd::check::run(rest),
        Some("status") => cmd::status::run(rest),
        Some("explain") => cmd::explain::run(rest),
        Some("chart") => cmd::chart::run(rest),
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
