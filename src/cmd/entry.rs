//! `zinnia entry`: runs one entry host.

use std::net;

use crate::cmd;
use crate::edge::host;
use crate::names;
use crate::settings;

/// The usage text.
pub const USAGE: &str = "\
Runs one entry host until SIGTERM or SIGINT. A second signal ends it at once.

Usage: zinnia entry --name NAME --domain DOMAIN --callers IP:PORT --operators IP:PORT
                    --peers IP:PORT --log IP:PORT [--host-list IP:PORT]
                    [--bootstrap IP:PORT,...] [--threads N]
Each flag may be given as an environment variable instead, such as ZINNIA_HOST_LIST for --host-list.";

/// The number of traffic threads by default.
pub const DEFAULT_THREADS: usize = 2;
/// The greatest number of traffic threads.
pub const MAX_THREADS: usize = 64;

const EXPECTED_ADDRESS: &str = "an IP and port, such as 127.0.0.1:7000";
const EXPECTED_NAME: &str =
    "1 to 63 characters of a-z, 0-9 and '-', starting with a letter or digit";

/// The arguments of zinnia entry.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct EntryArgs {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The host's name.
    #[options(no_short, help = "the host's name")]
    pub name: Option<String>,
    /// The host's failure domain.
    #[options(no_short, help = "the host's failure domain")]
    pub domain: Option<String>,
    /// The address that callers connect to.
    #[options(no_short, help = "the address that callers connect to")]
    pub callers: Option<String>,
    /// The address that operators connect to.
    #[options(no_short, help = "the address that operators connect to")]
    pub operators: Option<String>,
    /// The address that other entry hosts connect to.
    #[options(no_short, help = "the address that other entry hosts connect to")]
    pub peers: Option<String>,
    /// The address of the platform's log.
    #[options(no_short, help = "the address of the platform's log")]
    pub log: Option<String>,
    /// The address of the platform's host list.
    #[options(no_short, help = "the address of the platform's host list")]
    pub host_list: Option<String>,
    /// Addresses of entry hosts to contact until a configuration is known.
    #[options(
        no_short,
        help = "addresses of entry hosts to contact until a configuration is known"
    )]
    pub bootstrap: Option<String>,
    /// The number of traffic threads.
    #[options(no_short, help = "the number of traffic threads (default: 2)")]
    pub threads: Option<String>,
}

impl EntryArgs {
    /// Reads the settings from the flags and environment variables.
    ///
    /// # Errors
    /// Fails on the first setting that is missing or invalid.
    pub fn settings(&self) -> Result<host::HostSettings, settings::SettingError> {
        let address = |name, flag| settings::SettingSource::new(name, flag, EXPECTED_ADDRESS);
        let name = |name, flag| settings::SettingSource::new(name, flag, EXPECTED_NAME);
        let threads = settings::SettingSource::new(
            "threads",
            self.threads.as_deref(),
            "a number from 1 to 64",
        );
        let threads = threads.optional::<settings::BoundedCount<1, MAX_THREADS>>()?;
        Ok(host::HostSettings {
            name: name("name", self.name.as_deref()).required::<names::HostName>()?,
            domain: name("domain", self.domain.as_deref()).required::<names::DomainName>()?,
            callers: address("callers", self.callers.as_deref()).required()?,
            operators: address("operators", self.operators.as_deref()).required()?,
            peers: address("peers", self.peers.as_deref()).required()?,
            log: address("log", self.log.as_deref()).required()?,
            host_list: address("host-list", self.host_list.as_deref())
                .optional::<net::SocketAddr>()?,
            bootstrap: address("bootstrap", self.bootstrap.as_deref()).list()?,
            threads: threads.map_or(DEFAULT_THREADS, |count| count.0),
        })
    }
}

/// Runs the command.
///
/// # Errors
/// Fails when a setting is invalid or the host cannot start.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<EntryArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let settings = args.settings()?;
    actix::System::new().block_on(serve(settings))
}

async fn serve(settings: host::HostSettings) -> Result<u8, cmd::CommandError> {
    let started = host::EntryHost::start(settings).await;
    let entry = started.map_err(cmd::CommandError::failed)?;
    wait_for_signal().await?;
    tokio::select! {
        () = entry.stop() => Ok(cmd::EXIT_OK),
        second = wait_for_signal() => {
            second?;
            entry.cut().await;
            Ok(cmd::EXIT_FAILED)
        }
    }
}

async fn wait_for_signal() -> Result<(), cmd::CommandError> {
    use tokio::signal::unix;
    let terminate = unix::signal(unix::SignalKind::terminate());
    let mut terminate = terminate.map_err(cmd::CommandError::failed)?;
    let interrupt = unix::signal(unix::SignalKind::interrupt());
    let mut interrupt = interrupt.map_err(cmd::CommandError::failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
