//! `zinnia explain`: where a key's requests go, and why.

use crate::cmd;
use crate::edge::operators;
use crate::edge::router::questions;
use crate::serving::report;

/// The usage text.
pub const USAGE: &str = "\
Shows a key's shard, its owner, the fence of the grant and who granted it.

Usage: zinnia explain --operators IP:PORT [--json] SERVICE KEY
       zinnia explain --router IP:PORT [--json] SERVICE KEY

--router asks a host on the users' platform, at the address where it serves metrics; KEY is a number
there.
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
    /// The host on the users' platform to ask.
    #[options(no_short, help = "where a host on the users' platform serves metrics")]
    pub router: Option<String>,
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
    let router = cmd::router_address(args.router.as_deref())?;
    let path = format!("{}/{}/{}", questions::EXPLAIN_PATH, args.service, args.key);
    if let Some(router) = router {
        let absent = "there is no such service with keys, or the key is no number up to 65535";
        return cmd::show_response(router, &path, absent, args.json, print_router);
    }
    let host = cmd::operators_address(args.operators.as_deref())?;
    let absent = format!("no service is named '{}'", args.service);
    cmd::show_response(host, &path, &absent, args.json, print_table)
}

fn print_router(report: &report::KeyReport) {
    println!("service   {}", report.service);
    println!("key       {}", report.key);
    println!("standing  {}", report.standing.as_str());
    println!("term      {}", report.term);
    let Some(range) = &report.range else {
        return;
    };
    let state = report.holder_state.map_or("gone", |state| state.as_str());
    println!("range     {} to {}", range.first, range.last);
    println!("fence     {}", range.fence);
    let holder = &range.holder;
    println!(
        "holder    {} at {} ({state})",
        holder.life.server, holder.address
    );
    if let Some(held_ms) = report.held_ms {
        println!("held for  {held_ms} ms at least");
    }
    for former in &range.formers {
        println!("former    {} at {}", former.life.server, former.address);
    }
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
