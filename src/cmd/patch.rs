//! `zinnia patch`: submits a patch, and shows where one stands.

use std::net;
use std::time;

use crate::cmd;
use crate::cmd::check;
use crate::edge::controller;
use crate::edge::operators;
use crate::membership;
use crate::names;
use crate::replay;

/// The usage text.
pub const USAGE: &str = "\
Submits a patch, or a whole configuration, against a version; or shows where a patch stands.

Usage: zinnia patch submit --operators IP:PORT --base N [--id ID] [--json] FILE
       zinnia patch show --operators IP:PORT [--json] ID
Exit codes: 0 accepted, 3 refused as stale, 4 refused as invalid,
            5 not known yet (ask again by its id), 1 no answer";

/// How often `submit` looks whether an accepted patch is in force everywhere.
pub const FORCE_LOOKS: u32 = 20;
/// The pause between two such looks, in milliseconds.
pub const FORCE_PAUSE_MS: u64 = 100;

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct PatchArgs {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether JSON is asked for.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The host to ask.
    #[options(no_short, help = "an entry host's operator listener")]
    pub operators: Option<String>,
    /// The version that the changes start from.
    #[options(no_short, help = "the version that the changes start from")]
    pub base: Option<u64>,
    /// The patch's id.
    #[options(no_short, help = "the patch's id, a random one unless given")]
    pub id: Option<String>,
    /// `submit` or `show`.
    #[options(free, required, help = "submit or show")]
    pub verb: String,
    /// The file or id.
    #[options(free, required, help = "the file to submit, or the id to show")]
    pub subject: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when the file or the settings are faulty, or the host cannot be asked.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<PatchArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let host = cmd::find_host(args.operators.as_deref())?;
    let standing = match args.verb.as_str() {
        "submit" => {
            let submission = read_submission(&args)?;
            actix::System::new().block_on(submit(host, &submission))?
        }
        "show" => {
            let path = format!("/patches/{}", args.subject);
            cmd::ask_host(host, &path)?
        }
        other => {
            return Err(cmd::CommandError::Usage {
                message: format!("'{other}' is neither submit nor show\n\n{USAGE}"),
            });
        }
    };
    report(&args, standing)
}

// Waits a little for an accepted patch to be in force everywhere, so that its report says so.
async fn submit(
    host: net::SocketAddr,
    submission: &operators::PatchSubmission,
) -> Result<Option<controller::PatchStatus>, cmd::CommandError> {
    let mut standing: Option<controller::PatchStatus> =
        cmd::call_host(host, "/patches", Some(submission)).await?;
    let path = format!("/patches/{}", submission.id);
    for _ in 0..FORCE_LOOKS {
        let spread = standing.as_ref().and_then(|s| s.spread.as_ref());
        if spread.is_none_or(membership::VersionRollout::is_everywhere) {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(FORCE_PAUSE_MS)).await;
        standing = cmd::call_host::<(), _>(host, &path, None).await?;
    }
    Ok(standing)
}

fn read_submission(args: &PatchArgs) -> Result<operators::PatchSubmission, cmd::CommandError> {
    let usage = |message: String| cmd::CommandError::Usage { message };
    let base = args.base.ok_or_else(|| {
        usage("setting --base is missing: it takes the version that the changes start from".into())
    })?;
    let text = check::read_file(&args.subject)?;
    let file =
        check::check_text(&text).map_err(|fault| usage(format!("{}: {fault}", args.subject)))?;
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
    standing: Option<controller::PatchStatus>,
) -> Result<u8, cmd::CommandError> {
    let Some(standing) = standing else {
        println!("unknown: this host has seen no patch of that id");
        return Ok(cmd::EXIT_UNKNOWN);
    };
    cmd::print_answer(&standing, args.json, print_lines)?;
    Ok(match standing.verdict {
        Some(replay::PatchVerdict::Accepted { .. }) => cmd::EXIT_OK,
        Some(replay::PatchVerdict::Stale { .. }) => cmd::EXIT_STALE,
        Some(replay::PatchVerdict::Invalid(_)) => cmd::EXIT_INVALID,
        None => cmd::EXIT_UNKNOWN,
    })
}

fn print_lines(standing: &controller::PatchStatus) {
    match &standing.verdict {
        Some(replay::PatchVerdict::Accepted { version }) => println!("accepted {version}"),
        Some(replay::PatchVerdict::Stale { current }) => {
            println!("refused stale (current {current})");
        }
        Some(replay::PatchVerdict::Invalid(error)) => println!("refused invalid ({error})"),
        None => println!("unknown, ask for id {}", standing.id),
    }
    let Some(spread) = &standing.spread else {
        return;
    };
    let waiting: Vec<_> = spread
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
    let total = spread.in_force.len() + waiting.len();
    println!("in force at {} of {total} hosts", spread.in_force.len());
    for line in waiting {
        println!("  {line}");
    }
}
