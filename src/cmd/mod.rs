//! The commands of the program `zinnia`, one file each.

pub mod chart;
pub mod check;
pub mod entry;
pub mod explain;
pub mod logs;
pub mod patch;
pub mod status;

use std::env;
use std::fmt;
use std::net;
use std::process;
use std::time;

use crate::settings;

/// The exit code of success.
pub const EXIT_OK: u8 = 0;
/// The exit code of a failure at work.
pub const EXIT_FAILED: u8 = 1;
/// The exit code of faulty arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// The exit code of a patch that was refused as stale.
pub const EXIT_STALE: u8 = 3;
/// The exit code of a patch that was refused as invalid, or a file with a fault.
pub const EXIT_INVALID: u8 = 4;
/// The exit code of a patch whose verdict is not known yet.
pub const EXIT_UNKNOWN: u8 = 5;

/// How long a command waits for a host, in milliseconds.
pub const HOST_TIMEOUT_MS: u64 = 15_000;

/// What the setting `--operators` of a client command takes.
pub const EXPECTED_OPERATORS: &str = "the IP and port of an entry host's operator listener";

/// Why a command ended without success.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum CommandError {
    /// Arguments or settings are faulty.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// The work failed.
    #[snafu(display("{message}"))]
    Failed {
        /// What went wrong.
        message: String,
    },
}

impl CommandError {
    /// Creates a failure from an error.
    pub fn failed(error: impl fmt::Display) -> Self {
        Self::Failed {
            message: error.to_string(),
        }
    }

    /// Returns the exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Failed { .. } => EXIT_FAILED,
        }
    }
}

impl From<settings::SettingError> for CommandError {
    fn from(error: settings::SettingError) -> Self {
        Self::Usage {
            message: error.to_string(),
        }
    }
}

/// Parses a command's arguments. Help is printed for `--help`, and `None` returned.
///
/// # Errors
/// Fails when the arguments do not fit.
pub fn parse_args<O: gumdrop::Options>(
    usage: &str,
    arguments: &[String],
) -> Result<Option<O>, CommandError> {
    let parsed = O::parse_args_default(arguments).map_err(|e| CommandError::Usage {
        message: format!("{e}\n\n{usage}"),
    })?;
    if parsed.help_requested() {
        println!("{usage}\n\n{}", O::usage());
        return Ok(None);
    }
    Ok(Some(parsed))
}

/// Calls an operator listener and reads its JSON, whatever its status below 500.
///
/// # Errors
/// Fails when the host cannot be reached or does not answer with JSON.
pub async fn call_host<Q, A>(
    host: net::SocketAddr,
    path: &str,
    body: Option<&Q>,
) -> Result<Option<A>, CommandError>
where
    Q: serde::Serialize,
    A: serde::de::DeserializeOwned,
{
    let timeout = time::Duration::from_millis(HOST_TIMEOUT_MS);
    let client = awc::Client::builder().timeout(timeout).finish();
    let address = format!("http://{host}{path}");
    let sent = match body {
        Some(body) => client.post(address).send_json(body).await,
        None => client.get(address).send().await,
    };
    let fail = |fault: String| CommandError::Failed {
        message: format!("step=call-host peer={host} fault=\"{fault}\""),
    };
    let mut response = sent.map_err(|e| fail(e.to_string()))?;
    if response.status() == actix_web::http::StatusCode::NOT_FOUND {
        return Ok(None);
    }
    if response.status().is_server_error()
        || response.status() == actix_web::http::StatusCode::BAD_REQUEST
    {
        return Err(fail(format!("status {}", response.status().as_u16())));
    }
    let answer = response
        .json()
        .limit(crate::edge::platform::MAX_ANSWER_BYTES);
    answer.await.map(Some).map_err(|e| fail(e.to_string()))
}

/// Reads the setting `--operators` of a client command.
///
/// # Errors
/// Fails when it is missing or faulty.
pub fn operators_address(flag: Option<&str>) -> Result<net::SocketAddr, CommandError> {
    let source = settings::SettingSource::new("operators", flag, EXPECTED_OPERATORS);
    Ok(source.required()?)
}

/// Reads the setting `--router` of a client command, the listener for operators of a host on the users'
/// platform; none where it is not given.
///
/// # Errors
/// Fails when it is faulty.
pub fn router_address(flag: Option<&str>) -> Result<Option<net::SocketAddr>, CommandError> {
    let source = settings::SettingSource::new("router", flag, EXPECTED_OPERATORS);
    Ok(source.optional()?)
}

/// Asks a host for what stands at a path; none where there is nothing.
///
/// # Errors
/// Fails like [`call_host`].
pub fn get_from_host<A: serde::de::DeserializeOwned>(
    host: net::SocketAddr,
    path: &str,
) -> Result<Option<A>, CommandError> {
    actix::System::new().block_on(call_host::<(), A>(host, path, None))
}

/// Prints an answer as JSON or as a table for people.
///
/// # Errors
/// Fails when the answer has no JSON form.
pub fn print_response<A: serde::Serialize>(
    answer: &A,
    json: bool,
    print_table: impl FnOnce(&A),
) -> Result<(), CommandError> {
    if json {
        return print_json(answer);
    }
    print_table(answer);
    Ok(())
}

/// Asks a host for what stands at a path and prints it; `absent` tells that there is nothing.
///
/// # Errors
/// Fails like [`get_from_host`] and [`print_response`], and where there is nothing.
pub fn show_response<A: serde::Serialize + serde::de::DeserializeOwned>(
    host: net::SocketAddr,
    path: &str,
    absent: &str,
    json: bool,
    print_table: impl FnOnce(&A),
) -> Result<u8, CommandError> {
    let answer: Option<A> = get_from_host(host, path)?;
    let answer = answer.ok_or_else(|| CommandError::failed(absent))?;
    print_response(&answer, json, print_table)?;
    Ok(EXIT_OK)
}

/// Runs a program: hands its arguments on, prints an error, and returns the exit code.
#[must_use]
pub fn run_program(run: impl FnOnce(&[String]) -> Result<u8, CommandError>) -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let code = run(&arguments).unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_code()
    });
    process::ExitCode::from(code)
}

/// Prints a value as JSON.
///
/// # Errors
/// Fails when the value has no JSON form.
pub fn print_json<T: serde::Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}
