//! `zinnia check`: validates a configuration or a patch file.

use std::fs;

use crate::cmd;
use crate::configuration;

/// The usage text.
pub const USAGE: &str = "\
Checks a configuration or a patch file, and prints the line and field of the first error.

Usage: zinnia check FILE
Exit codes: 0 valid, 4 invalid, 1 the file cannot be read";

/// The arguments of zinnia check.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct CheckArgs {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The path of the file.
    #[options(free, required, help = "the file to check")]
    pub file: String,
}

/// The decoded contents of a file.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedFile {
    /// A whole configuration.
    Configuration(configuration::Configuration),
    /// Changes. Whether they are valid depends on the version that they are applied to, so only
    /// whether they can be decoded is checked.
    Patch(configuration::PatchFile),
}

impl CheckedFile {
    /// Returns the changes to submit: those of the patch, or those that set the whole
    /// configuration.
    #[must_use]
    pub fn into_changes(self) -> Vec<configuration::ConfigurationChange> {
        match self {
            Self::Configuration(configuration) => configuration.to_changes(),
            Self::Patch(file) => file.change,
        }
    }
}

/// Runs the command.
///
/// # Errors
/// Fails when the file cannot be read.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<CheckArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let text = read_file(&args.file)?;
    match check_text(&text) {
        Ok(CheckedFile::Configuration(configuration)) => {
            println!(
                "{}: valid configuration ({} services, {} servers, {} features)",
                args.file,
                configuration.service.len(),
                configuration.server.len(),
                configuration.feature.len()
            );
            Ok(cmd::EXIT_OK)
        }
        Ok(CheckedFile::Patch(file)) => {
            println!("{}: patch with {} changes", args.file, file.change.len());
            Ok(cmd::EXIT_OK)
        }
        Err(error) => {
            println!("{}: {error}", args.file);
            Ok(cmd::EXIT_INVALID)
        }
    }
}

/// Reads a file as text.
///
/// # Errors
/// Fails when it cannot be read.
pub fn read_file(path: &str) -> Result<String, cmd::CommandError> {
    fs::read_to_string(path).map_err(|e| cmd::CommandError::Failed {
        message: format!("step=read-file file={path} fault=\"{e}\""),
    })
}

/// Decodes and checks a configuration or a patch.
///
/// # Errors
/// Fails with the first error, and its line where that is known.
pub fn check_text(text: &str) -> Result<CheckedFile, String> {
    let value: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
    if value.contains_key("change") {
        let file = toml::from_str(text).map_err(|e| e.to_string())?;
        return Ok(CheckedFile::Patch(file));
    }
    let configuration: configuration::Configuration =
        toml::from_str(text).map_err(|e| e.to_string())?;
    configuration.check().map_err(|error| {
        let line = find_line(text, &error.field);
        line.map_or_else(|| error.to_string(), |line| format!("line {line}: {error}"))
    })?;
    Ok(CheckedFile::Configuration(configuration))
}

// Returns the line, counted from 1, of a field such as `server.w1.domain`; of its section if the
// field is not written there.
fn find_line(text: &str, field: &str) -> Option<usize> {
    let mut parts = field.splitn(3, '.');
    let list = format!("[[{}]]", parts.next()?);
    let name = format!("\"{}\"", parts.next()?);
    let key = parts.next();
    let lines: Vec<&str> = text.lines().collect();
    let starts = (0..lines.len()).filter(|i| lines[*i].trim() == list);
    let section = starts.rev().find(|start| {
        let body = lines[start + 1..].iter();
        let mut body = body.take_while(|line| !line.trim_start().starts_with("[["));
        body.any(|line| line.trim_start().starts_with("name") && line.contains(&name))
    })?;
    let Some(key) = key else {
        return Some(section + 1);
    };
    let body = lines[section + 1..].iter();
    let mut body = body.take_while(|line| !line.trim_start().starts_with("[["));
    let offset = body.position(|line| line.trim_start().starts_with(key));
    Some(offset.map_or(section + 1, |offset| section + 2 + offset))
}
