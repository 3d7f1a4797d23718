//! `zinnia patch`: submits a patch, or shows the status of one.

use std::net;
use std::time;

use crate::cmd;
use crate::cmd::check;
use crate::edge::controller;
use crate::edge::operators;
use crate::edge::url;
use crate::membership;
use crate::names;
use crate::replay;

/// The usage text.
pub const USAGE: &str = "\
Submits a patch, or a whole configuration, against a version; or shows the status of a patch.

Usage: zinnia patch submit --operators IP:PORT --base N [--id ID] [--json] FILE
       zinnia patch show --operators IP:PORT [--json] ID
Exit codes: 0 accepted, 3 refused as stale, 4 refused as invalid,
            5 no verdict known yet (run `zinnia patch show` with its id), 1 no response";

/// How often `submit` checks whether an accepted patch is in force at every host.
pub const IN_FORCE_POLLS: u32 = 20;
/// The interval between two such checks, in milliseconds.
pub const IN_FORCE_POLL_INTERVAL_MS: u64 = 100;

/// The arguments of zinnia patch.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct PatchArgs {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The operator listener of the host to query.
    #[options(no_short, help = "an entry host's operator listener")]
    pub operators: Option<String>,
    /// The configuration version that the changes are based on.
    #[options(no_short, help = "the version that the changes are based on")]
    pub base: Option<u64>,
    /// The patch's id.
    #[options(no_short, help = "the patch's id (default: a random one)")]
    pub id: Option<String>,
    /// `submit` or `show`.
    #[options(free, required, help = "submit or show")]
    pub verb: String,
    /// The file to submit, or the id to show.
    #[options(free, required, help = "the file to submit, or the id to show")]
    pub subject: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when the file or the settings are invalid, or the host does not respond.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<PatchArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let host = cmd::operators_address(args.operators.as_deref())?;
    let status = match args.verb.as_str() {
        "submit" => {
            let submission = read_submission(&args)?;
            actix::System::new().block_on(submit(host, &submission))?
        }
        "show" => {
            let path = format!("/patches/{}", url::encode(&args.subject));
            cmd::get_from_host(host, &path)?
        }
        other => {
            return Err(cmd::CommandError::Usage {
                message: format!("'{other}' is neither submit nor show\n\n{USAGE}"),
            });
        }
    };
    report(&args, status)
}

// Submits a patch. An accepted one is polled, up to `IN_FORCE_POLLS` times, until it is in force at
// every host, so that the printed status can say so.
async fn submit(
    host: net::SocketAddr,
    submission: &operators::PatchSubmission,
) -> Result<Option<controller::PatchStatus>, cmd::CommandError> {
    let mut status: Option<controller::PatchStatus> =
        cmd::call_host(host, "/patches", Some(submission)).await?;
    let path = format!("/patches/{}", url::encode(submission.id.as_str()));
    for _ in 0..IN_FORCE_POLLS {
        let spread = status.as_ref().and_then(|s| s.spread.as_ref());
        if spread.is_none_or(membership::VersionRollout::is_everywhere) {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(IN_FORCE_POLL_INTERVAL_MS)).await;
        status = cmd::call_host::<(), _>(host, &path, None).await?;
    }
    Ok(status)
}

fn read_submission(args: &PatchArgs) -> Result<operators::PatchSubmission, cmd::CommandError> {
    let usage = |message: String| cmd::CommandError::Usage { message };
    let base = args.base.ok_or_else(|| {
        usage(
            "setting --base is missing: expected the version that the changes are based on".into(),
        )
    })?;
    let text = check::read_file(&args.subject)?;
    let file =
        check::check_text(&text).map_err(|error| usage(format!("{}: {error}", args.subject)))?;
    let id = args.id.clone();
    let id = id.unwrap_or_else(|| format!("patch-{:016x}", rand::random::<u64>()));
    let id = names::RecordId::new(&id).map_err(|e| usage(e.to_string()))?;
    Ok(operators::PatchSubmission {
        id,
        base,
        changes: file.into_changes(),
    })
}

fn report(
    args: &PatchArgs,
    status: Option<controller::PatchStatus>,
) -> Result<u8, cmd::CommandError> {
    let Some(status) = status else {
        println!("unknown: this host knows no verdict on a patch with that id");
        return Ok(cmd::EXIT_UNKNOWN);
    };
    cmd::print_response(&status, args.json, print_lines)?;
    Ok(match status.verdict {
        Some(replay::PatchVerdict::Accepted { .. }) => cmd::EXIT_OK,
        Some(replay::PatchVerdict::Stale { .. }) => cmd::EXIT_STALE,
        Some(replay::PatchVerdict::Invalid(_)) => cmd::EXIT_INVALID,
        None => cmd::EXIT_UNKNOWN,
    })
}

fn print_lines(status: &controller::PatchStatus) {
    match &status.verdict {
        Some(replay::PatchVerdict::Accepted { version }) => println!("accepted {version}"),
        Some(replay::PatchVerdict::Stale { current }) => {
            println!("refused stale (current {current})");
        }
        Some(replay::PatchVerdict::Invalid(error)) => println!("refused invalid ({error})"),
        None => println!("unknown: no verdict yet on patch {}", status.id),
    }
    let Some(spread) = &status.spread else {
        return;
    };
    let not_in_force: Vec<_> = spread
        .behind
        .iter()
        .map(|host| format!("{host} is behind"))
        .chain(
            spread
                .unreachable
                .iter()
                .map(|h| format!("{h} is unreachable")),
        )
        .collect();
    let total = spread.in_force.len() + not_in_force.len();
    println!("in force at {} of {total} hosts", spread.in_force.len());
    for line in not_in_force {
        println!("  {line}");
    }
}
