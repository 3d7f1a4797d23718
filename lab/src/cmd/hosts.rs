//! `zinnia-lab hosts`: a stand-in for the platform's list of hosts.

use std::net;
use std::time;

use zinniastack::cmd;
use zinniastack::settings;

use crate::host_list;
use crate::http;

/// The usage text.
pub const USAGE: &str = "\
Serves a stand-in for the platform's list of hosts, which lags, on loopback until the process is
stopped.

Usage: zinnia-lab hosts --listen IP:PORT [--lag-ms N]
GET /hosts reads; POST /hosts takes {\"name\": \"w1\", \"state\": \"live\" or \"leaving\"}.";

/// The default delay until a change appears in the list, in milliseconds.
pub const DEFAULT_LAG_MS: u64 = 2_000;

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct HostsArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The address to listen on.
    #[options(no_short, help = "where to listen")]
    pub listen: Option<String>,
    /// The delay until a change appears in the list, in milliseconds.
    #[options(no_short, help = "how far the list lags, in milliseconds")]
    pub lag_ms: Option<u64>,
}

/// Runs the command.
///
/// # Errors
/// Fails when the address is invalid or cannot be bound.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<HostsArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let takes = "an IP and port, such as 127.0.0.1:7101";
    let source = settings::SettingSource::new("listen", args.listen.as_deref(), takes);
    let address: net::SocketAddr = source.required()?;
    let lag = time::Duration::from_millis(args.lag_ms.unwrap_or(DEFAULT_LAG_MS));
    actix::System::new().block_on(async {
        let listener = net::TcpListener::bind(address).map_err(cmd::CommandError::failed)?;
        let state = http::shared(host_list::HostListState::new(lag));
        http::serve_hosts(listener, state).map_err(cmd::CommandError::failed)?;
        std::future::pending::<()>().await;
        Ok(cmd::EXIT_OK)
    })
}
