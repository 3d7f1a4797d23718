//! The commands of the program `zinnia`, one module each, and what they share.

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
/// The exit code of a command that failed.
pub const EXIT_FAILED: u8 = 1;
/// The exit code of invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// The exit code of a patch that was refused as stale.
pub const EXIT_STALE: u8 = 3;
/// The exit code of a patch that was refused as invalid, or of an invalid file.
pub const EXIT_INVALID: u8 = 4;
/// The exit code of a patch without a known verdict.
pub const EXIT_UNKNOWN: u8 = 5;

/// The time-out of a command's call to a host, in milliseconds.
pub const HOST_TIMEOUT_MS: u64 = 15_000;

/// The value that the settings `--operators` and `--router` of a client command expect, for
/// messages.
pub const EXPECTED_OPERATORS: &str = "the IP and port of an entry host's operator listener";

/// Why a command failed.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum CommandError {
    /// The arguments or settings are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// The message for the terminal.
        message: String,
    },
    /// The command failed while it ran.
    #[snafu(display("{message}"))]
    Failed {
        /// The message for the terminal.
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

/// Parses a command's arguments. For `--help` it prints the help and returns `None`.
///
/// # Errors
/// Fails when an argument is unknown, missing or of the wrong type.
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

/// Calls a host's operator listener and decodes its JSON response: `POST` if there is a body, else
/// `GET`. Returns `None` for status 404. Other statuses below 500, such as 409 for a stale patch,
/// carry a JSON response as well, except 400.
///
/// # Errors
/// Fails when the host cannot be reached, its status is 400 or at least 500, or its response is not
/// the expected JSON.
pub async fn call_host<Req, Resp>(
    host: net::SocketAddr,
    path: &str,
    body: Option<&Req>,
) -> Result<Option<Resp>, CommandError>
where
    Req: serde::Serialize,
    Resp: serde::de::DeserializeOwned,
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
    let decoded = response
        .json()
        .limit(crate::edge::platform::MAX_RESPONSE_BYTES);
    decoded.await.map(Some).map_err(|e| fail(e.to_string()))
}

/// Reads the setting `--operators` of a client command.
///
/// # Errors
/// Fails when it is missing or invalid.
pub fn operators_address(flag: Option<&str>) -> Result<net::SocketAddr, CommandError> {
    let source = settings::SettingSource::new("operators", flag, EXPECTED_OPERATORS);
    Ok(source.required()?)
}

/// Reads the setting `--router` of a client command: the operator listener of a host on the users'
/// platform. Returns `None` if it is not given.
///
/// # Errors
/// Fails when it is invalid.
pub fn router_address(flag: Option<&str>) -> Result<Option<net::SocketAddr>, CommandError> {
    let source = settings::SettingSource::new("router", flag, EXPECTED_OPERATORS);
    Ok(source.optional()?)
}

/// Gets the JSON at a path of a host; `None` for status 404.
///
/// # Errors
/// Fails like [`call_host`].
pub fn get_from_host<Resp: serde::de::DeserializeOwned>(
    host: net::SocketAddr,
    path: &str,
) -> Result<Option<Resp>, CommandError> {
    actix::System::new().block_on(call_host::<(), Resp>(host, path, None))
}

/// Prints a response as JSON, or as a table.
///
/// # Errors
/// Fails when the response cannot be encoded as JSON.
pub fn print_response<Resp: serde::Serialize>(
    response: &Resp,
    json: bool,
    print_table: impl FnOnce(&Resp),
) -> Result<(), CommandError> {
    if json {
        return print_json(response);
    }
    print_table(response);
    Ok(())
}

/// Gets the JSON at a path of a host and prints it.
///
/// # Errors
/// Fails like [`get_from_host`] and [`print_response`], and with the message `not_found` for status
/// 404.
pub fn show_response<Resp: serde::Serialize + serde::de::DeserializeOwned>(
    host: net::SocketAddr,
    path: &str,
    not_found: &str,
    json: bool,
    print_table: impl FnOnce(&Resp),
) -> Result<u8, CommandError> {
    let response: Option<Resp> = get_from_host(host, path)?;
    let response = response.ok_or_else(|| CommandError::failed(not_found))?;
    print_response(&response, json, print_table)?;
    Ok(EXIT_OK)
}

/// Runs a program with its arguments; prints its error, if any, and returns its exit code.
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
/// Fails when the value cannot be encoded as JSON.
pub fn print_json<T: serde::Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}
