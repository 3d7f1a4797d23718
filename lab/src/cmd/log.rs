//! `zinnia-lab log`: a stand-in for the platform's log.

use std::net;

use zinniastack::cmd;
use zinniastack::settings;

use crate::http;
use crate::log_state;

/// The usage text.
pub const USAGE: &str = "\
Serves a stand-in for the platform's append-only log on loopback until the process is stopped.

Usage: zinnia-lab log --listen IP:PORT
GET /records?from=N reads, POST /records appends; POST /faults takes
{\"outage\": true, \"slow-ms\": 0, \"lose-answers\": 0}, POST /trim/N keeps N records.";

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct LogArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The address to listen on.
    #[options(no_short, help = "where to listen")]
    pub listen: Option<String>,
}

/// Runs the command.
///
/// # Errors
/// Fails when the address is invalid or cannot be bound.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<LogArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let takes = "an IP and port, such as 127.0.0.1:7100";
    let source = settings::SettingSource::new("listen", args.listen.as_deref(), takes);
    let address: net::SocketAddr = source.required()?;
    actix::System::new().block_on(async {
        let listener = net::TcpListener::bind(address).map_err(cmd::CommandError::failed)?;
        let state = http::shared(log_state::LogState::new());
        http::serve_log(listener, state).map_err(cmd::CommandError::failed)?;
        std::future::pending::<()>().await;
        Ok(cmd::EXIT_OK)
    })
}
