//! `zinnia status`: shows the state of the site as one entry host knows it.

use crate::cmd;
use crate::edge::router::admin;
use crate::names;
use crate::report;
use crate::serving::report as serving_report;

/// The usage text.
pub const USAGE: &str = "\
Shows the hosts, domains, granters, servers, shards and the version in force, as one host knows them.

Usage: zinnia status --operators IP:PORT [--json]
       zinnia status --router IP:PORT [--json]

--router queries a host on the users' platform, at the address where it serves metrics.";

/// The arguments of zinnia status.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct StatusArgs {
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
}

/// Runs the command.
///
/// # Errors
/// Fails when the host does not respond.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<StatusArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let not_found = "the host serves no status at that address";
    if let Some(router) = cmd::router_address(args.router.as_deref())? {
        let path = admin::STATUS_PATH;
        return cmd::show_response(router, path, not_found, args.json, print_router);
    }
    let host = cmd::operators_address(args.operators.as_deref())?;
    cmd::show_response(host, "/status", not_found, args.json, print_table)
}

fn print_router(status: &serving_report::HostReport) {
    let own = &status.own;
    let granter = status.granter.as_ref().map(ToString::to_string);
    println!("host           {} ({})", own.host, own.domain);
    println!("phase          {}", own.phase.as_str());
    println!("granting       {}", own.granting);
    println!("store lost     {}", own.store_lost);
    println!("in flight      {}", own.in_flight);
    println!("hosts          {}", status.hosts);
    println!("routes         version {}", status.routes_version);
    println!(
        "grants         term {}, by {}",
        status.term,
        granter.unwrap_or_else(|| "nobody".into())
    );
    println!(
        "ranges         {}, {} moving",
        status.ranges, status.ranges_moving
    );
    for line in &status.evacuated {
        println!(
            "evacuated      {}, {} servers, {} ranges left",
            line.domain, line.servers, line.ranges
        );
    }
    println!();
    println!(
        "{:<20} {:<16} {:<16} {:>7}  STATE",
        "SERVER", "SERVICE", "DOMAIN", "RANGES"
    );
    for line in &status.servers {
        let record = &line.record;
        println!(
            "{:<20} {:<16} {:<16} {:>7}  {}",
            record.life.server.to_string(),
            record.service.to_string(),
            record.domain.to_string(),
            line.ranges,
            record.state.as_str()
        );
    }
}

fn print_table(status: &report::HostStatus) {
    println!("host           {} ({})", status.host, status.life);
    println!("version        {}", status.version);
    println!("log offset     {}", status.next_offset);
    println!("skipped        {}", status.skipped);
    println!("to append      {}", status.waiting_appends);
    let spread = &status.spread;
    let total = spread.in_force.len() + spread.behind.len() + spread.unreachable.len();
    println!(
        "in force       at {} of {total} hosts",
        spread.in_force.len()
    );
    print_hosts("behind", &spread.behind);
    print_hosts("unreachable", &spread.unreachable);
    println!();
    println!(
        "{:<16} {:<16} {:>8} {:>10} {:>10}  TERM",
        "DOMAIN", "GRANTER", "HEARD", "OWNED", "WITNESSES"
    );
    for line in &status.domains {
        let granter = line.granter.as_ref().map(ToString::to_string);
        let heard = line.heard_ms.map(|ms| format!("{ms} ms"));
        println!(
            "{:<16} {:<16} {:>8} {:>10} {:>10}  {}",
            line.domain.to_string(),
            granter.unwrap_or_else(|| "none".into()),
            heard.unwrap_or_else(|| "never".into()),
            format!("{}/{}", line.owned, line.shards),
            line.witnesses,
            line.term.clone().unwrap_or_default()
        );
    }
    println!();
    println!(
        "{:<20} {:<16} {:<16} {:>7}  STATE",
        "SERVER", "SERVICE", "DOMAIN", "SHARDS"
    );
    for line in &status.servers {
        println!(
            "{:<20} {:<16} {:<16} {:>7}  {}",
            line.server.to_string(),
            line.service.to_string(),
            line.domain.to_string(),
            line.shards,
            if line.withdrawn { "withdrawn" } else { "" }
        );
    }
}

fn print_hosts(title: &str, hosts: &[names::HostName]) {
    if hosts.is_empty() {
        return;
    }
    let list: Vec<_> = hosts.iter().map(ToString::to_string).collect();
    println!("{title:<14} {}", list.join(", "));
}
