//! `zinnia-lab server`: a stand-in for a backend server.

use std::net;
use std::time;

use actix_web::web;

use zinniastack::cmd;
use zinniastack::configuration;
use zinniastack::settings;

use crate::http;
use crate::server_state;

/// The usage text.
pub const USAGE: &str = "\
Runs a stand-in for a backend server on loopback until the process is stopped.

Usage: zinnia-lab server --listen IP:PORT [--unchecked] [--slots N] [--service-ms N]
                         [--cold-start-ms N]
POST /claim and /lease take a granter's orders, /work/... takes requests, GET /journal lists the
requests that ran; POST /faults takes {\"frozen\": true, \"draining\": false, \"crossed\": false,
\"slow-ms\": 0, \"reported-percent\": 50}.";

/// The default number of slots.
pub const DEFAULT_SLOTS: u32 = 6;
/// The default service time of a request, in milliseconds.
pub const DEFAULT_SERVICE_MS: u64 = 5;

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct ServerArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The address to listen on.
    #[options(no_short, help = "where to listen")]
    pub listen: Option<String>,
    /// Whether the server skips the check of fences.
    #[options(no_short, help = "check no fences")]
    pub unchecked: bool,
    /// The number of requests that the server runs at once.
    #[options(no_short, help = "how many requests it runs at once")]
    pub slots: Option<u32>,
    /// The additional service time of the first request of each shard, in milliseconds.
    #[options(
        no_short,
        help = "how much longer a shard's first request takes, in ms"
    )]
    pub cold_start_ms: Option<u64>,
    /// The service time of a request, in milliseconds.
    #[options(no_short, help = "how long a request takes, in milliseconds")]
    pub service_ms: Option<u64>,
}

/// Runs the command.
///
/// # Errors
/// Fails when the address is invalid or cannot be bound.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<ServerArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let takes = "an IP and port, such as 127.0.0.1:7200";
    let source = settings::SettingSource::new("listen", args.listen.as_deref(), takes);
    let address: net::SocketAddr = source.required()?;
    let setup = server_state::ServerSetup {
        fences: if args.unchecked {
            configuration::FenceMode::Unchecked
        } else {
            configuration::FenceMode::Checked
        },
        slots: args.slots.unwrap_or(DEFAULT_SLOTS),
        incarnation: rand::random(),
    };
    let time = time::Duration::from_millis(args.service_ms.unwrap_or(DEFAULT_SERVICE_MS));
    let cold_start = time::Duration::from_millis(args.cold_start_ms.unwrap_or(0));
    actix::System::new().block_on(async {
        let listener = net::TcpListener::bind(address).map_err(cmd::CommandError::failed)?;
        let service =
            web::Data::new(http::ServerService::new(setup, time).with_cold_start(cold_start));
        http::serve_server(listener, service).map_err(cmd::CommandError::failed)?;
        std::future::pending::<()>().await;
        Ok(cmd::EXIT_OK)
    })
}
