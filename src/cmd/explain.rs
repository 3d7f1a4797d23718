//! `zinnia explain`: shows which server owns a key, and why.

use crate::cmd;
use crate::edge::operators;
use crate::edge::router::admin;
use crate::edge::url;
use crate::serving::report;

/// The usage text.
pub const USAGE: &str = "\
Shows a key's shard, its owner, the fence of the grant and who granted it.

Usage: zinnia explain --operators IP:PORT [--json] SERVICE KEY
       zinnia explain --router IP:PORT [--json] SERVICE KEY

--router queries a host on the users' platform, at the address where it serves metrics; KEY is then a
number from 0 to 65535.
Exit codes: 0 shown, 1 no such service or no response";

/// The arguments of zinnia explain.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct ExplainArgs {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The operator listener of the host to query.
    #[options(no_short, help = "an entry host's operator listener")]
    pub operators: Option<String>,
    /// The operator listener of the host on the users' platform to query.
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
/// Fails when the host does not respond or knows no such service.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<ExplainArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let router = cmd::router_address(args.router.as_deref())?;
    let (service, key) = (url::encode(&args.service), url::encode(&args.key));
    let path = format!("{}/{service}/{key}", admin::EXPLAIN_PATH);
    if let Some(router) = router {
        let not_found = "there is no such service whose servers own keys, or the key is not a number from 0 to 65535";
        return cmd::show_response(router, &path, not_found, args.json, print_router);
    }
    let host = cmd::operators_address(args.operators.as_deref())?;
    let not_found = format!("no service is named '{}'", args.service);
    cmd::show_response(host, &path, &not_found, args.json, print_table)
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
        println!("held for  at least {held_ms} ms");
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
