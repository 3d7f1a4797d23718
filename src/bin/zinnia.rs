//! The program `zinnia`: picks the command and hands it the rest of the arguments.

use std::env;
use std::process;

use zinniastack::cmd;

const USAGE: &str = "\
zinnia routes requests to the servers that own their keys.

Usage: zinnia COMMAND [ARGUMENTS]

Commands:
  entry    run one entry host
  patch    submit a patch, or show where one stands
  check    lint a configuration or a patch file
  status   show hosts, domains, servers and the version in force
  explain  show where a key's requests go, and why
  chart    draw a state chart

zinnia COMMAND --help shows a command's arguments.";

fn main() -> process::ExitCode {
    start_logs();
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
        other => Err(cmd::CommandError::Usage {
            message: format!("unknown command '{}'\n\n{USAGE}", other.unwrap_or("")),
        }),
    }
}

// One key=value line an event, on standard error.
fn start_logs() {
    use tracing_subscriber::layer::SubscriberExt as _;
    use tracing_subscriber::util::SubscriberInitExt as _;
    let level = env::var("ZINNIA_LOG_LEVEL").ok();
    let level = level.and_then(|text| text.parse().ok());
    let level = level.unwrap_or(tracing_subscriber::filter::LevelFilter::INFO);
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(std::io::stderr);
    let targets = tracing_subscriber::filter::Targets::new()
        .with_target("zinniastack", level)
        .with_target("zinnia", level);
    tracing_subscriber::registry()
        .with(targets)
        .with(lines)
        .init();
}
