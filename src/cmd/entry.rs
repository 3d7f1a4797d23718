//! `zinnia entry`: runs one entry host.

use std::net;

use crate::cmd;
use crate::edge::host;
use crate::edge::machine;
use crate::memory::limits;
use crate::names;
use crate::settings;

/// The usage text.
pub const USAGE: &str = "\
Runs one entry host until SIGTERM or SIGINT. A second signal ends it at once.

Usage: zinnia entry --name NAME --domain DOMAIN --callers IP:PORT --operators IP:PORT
                    --peers IP:PORT --log IP:PORT [--host-list IP:PORT]
                    [--bootstrap IP:PORT,...] [--threads N] [--memory-mb N] [--connections N]
Each flag may be given as an environment variable instead, such as ZINNIA_HOST_LIST for --host-list.";

/// The number of traffic threads by default.
pub const DEFAULT_THREADS: usize = 2;
/// The greatest number of traffic threads.
pub const MAX_THREADS: usize = 64;

/// The least memory that the process can be limited to, in MiB.
pub const MIN_MEMORY_MB: usize = 32;
/// The greatest limit of the memory, in MiB.
pub const MAX_MEMORY_MB: usize = 1_048_576;
/// The least limit of the caller connections.
pub const MIN_CONNECTIONS: usize = 16;
/// The greatest limit of the caller connections.
pub const MAX_CONNECTIONS: usize = 1_000_000;

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
    /// The memory that the process may take, in MiB.
    #[options(
        no_short,
        help = "the memory that the process may take, in MiB (default: from the system)"
    )]
    pub memory_mb: Option<String>,
    /// The number of caller connections that may be open.
    #[options(
        no_short,
        help = "the caller connections that may be open (default: from the descriptors)"
    )]
    pub connections: Option<String>,
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
        let limits = self.limits()?;
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
            limits,
        })
    }

    fn limits(&self) -> Result<limits::ProcessLimits, settings::SettingError> {
        let memory = settings::SettingSource::new(
            "memory-mb",
            self.memory_mb.as_deref(),
            "a number from 32 to 1048576",
        );
        let memory = memory.optional::<settings::BoundedCount<MIN_MEMORY_MB, MAX_MEMORY_MB>>()?;
        let memory_mb = memory.map(|count| count.0 as u64);
        let memory_mb = memory_mb.unwrap_or_else(machine::memory_mb);
        let derived = limits::ProcessLimits::new(memory_mb, machine::descriptors());
        let connections = settings::SettingSource::new(
            "connections",
            self.connections.as_deref(),
            "a number from 16 to 1000000",
        );
        let connections =
            connections.optional::<settings::BoundedCount<MIN_CONNECTIONS, MAX_CONNECTIONS>>()?;
        Ok(match connections {
            Some(count) => derived.with_connections(count.0 as u64),
            None => derived,
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
