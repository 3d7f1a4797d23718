//! `zinnia explain`: where a key's requests go, and why.

use crate::cmd;
use crate::edge::operators;

/// The usage text.
pub const USAGE: &str = "\
Shows a key's shard, its owner, the fence of the grant and who granted it.

Usage: zinnia explain --operators IP:PORT [--json] SERVICE KEY
Exit codes: 0 shown, 1 no such service or no answer";

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct ExplainArgs {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether JSON is asked for.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The host to ask.
    #[options(no_short, help = "an entry host's operator listener")]
    pub operators: Option<String>,
    /// The service.
    #[options(free, required, help = "the service")]
    pub service: String,
    /// The key.
    #[options(free, required, help = "the key")]
    pub key: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when the host cannot be asked or knows no such service.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<ExplainArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let host = cmd::find_host(args.operators.as_deref())?;
    let path = format!("/explain/{}/{}", args.service, args.key);
    let answer: Option<operators::KeyExplanation> = cmd::ask_host(host, &path)?;
    let explanation = answer.ok_or_else(|| cmd::CommandError::Failed {
        message: format!("no service is named '{}'", args.service),
    })?;
    cmd::print_answer(&explanation, args.json, print_table)?;
    Ok(cmd::EXIT_OK)
}

fn print_table(explanation: &operators::KeyExplanation) {
    let none = || "none".to_owned();
    let home = explanation.home.as_ref().map(ToString::to_string);
    let owner = explanation.owner.as_ref().map(ToString::to_string);
    println!("service   {}", explanation.service);
    println!("key       {}", explanation.key);
    println!("shard     {}", explanation.shard);
    println!("home      {}", home.unwrap_or_else(none));
    println!("owner     {}", owner.unwrap_or_else(none));
    println!(
        "fence     {}",
        explanation.fence.clone().unwrap_or_else(none)
    );
    println!("standing  {}", explanation.standing.as_str());
    println!("may send  {}", explanation.may_send);
    println!("because   {}", explanation.because);
}
