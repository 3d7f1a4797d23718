//! Settings from flags and environment variables, checked at start.

use std::env;
use std::fmt;
use std::str;

/// A setting is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum SettingError {
    /// The setting has no value.
    #[snafu(display("setting --{name} (or {variable}) is missing: expected {expected}"))]
    Missing {
        /// The flag's name.
        name: String,
        /// The environment variable's name.
        variable: String,
        /// A description of valid values.
        expected: &'static str,
    },
    /// The setting's value cannot be parsed.
    #[snafu(display(
        "setting --{name} (or {variable}) is invalid: got '{value}', expected {expected}"
    ))]
    Invalid {
        /// The flag's name.
        name: String,
        /// The environment variable's name.
        variable: String,
        /// The value that was given.
        value: String,
        /// A description of valid values.
        expected: &'static str,
    },
}

/// One setting, which a command-line flag or an environment variable gives. The flag takes
/// precedence.
#[derive(Clone, Debug)]
pub struct SettingSource<'a> {
    name: &'static str,
    flag: Option<&'a str>,
    expected: &'static str,
}

impl<'a> SettingSource<'a> {
    /// Creates the source of the setting `--name`, whose environment variable is `ZINNIA_NAME`.
    /// `flag` is the value on the command line, if any; `expected` describes valid values for error
    /// messages.
    #[must_use]
    pub const fn new(name: &'static str, flag: Option<&'a str>, expected: &'static str) -> Self {
        Self {
            name,
            flag,
            expected,
        }
    }

    /// Returns the environment variable's name.
    #[must_use]
    pub fn variable(&self) -> String {
        let upper = self.name.to_ascii_uppercase().replace('-', "_");
        format!("ZINNIA_{upper}")
    }

    fn text(&self) -> Option<String> {
        let flag = self.flag.map(str::to_owned);
        flag.or_else(|| env::var(self.variable()).ok())
    }

    /// Parses a required setting.
    ///
    /// # Errors
    /// Fails when the setting is missing or cannot be parsed.
    pub fn required<T: str::FromStr>(&self) -> Result<T, SettingError> {
        self.optional()?.ok_or_else(|| SettingError::Missing {
            name: self.name.into(),
            variable: self.variable(),
            expected: self.expected,
        })
    }

    /// Parses an optional setting.
    ///
    /// # Errors
    /// Fails when the setting is given and cannot be parsed.
    pub fn optional<T: str::FromStr>(&self) -> Result<Option<T>, SettingError> {
        let text = self.text();
        text.map(|text| self.read(&text)).transpose()
    }

    /// Parses a comma-separated list, which is empty if the setting is not given.
    ///
    /// # Errors
    /// Fails when an entry cannot be parsed.
    pub fn list<T: str::FromStr>(&self) -> Result<Vec<T>, SettingError> {
        let text = self.text().unwrap_or_default();
        let entries = text.split(',').map(str::trim).filter(|e| !e.is_empty());
        entries.map(|entry| self.read(entry)).collect()
    }

    fn read<T: str::FromStr>(&self, text: &str) -> Result<T, SettingError> {
        text.parse().map_err(|_| SettingError::Invalid {
            name: self.name.into(),
            variable: self.variable(),
            value: text.into(),
            expected: self.expected,
        })
    }
}

/// A number from `LOW` to `HIGH`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundedCount<const LOW: usize, const HIGH: usize>(pub usize);

impl<const LOW: usize, const HIGH: usize> str::FromStr for BoundedCount<LOW, HIGH> {
    type Err = fmt::Error;

    fn from_str(text: &str) -> Result<Self, fmt::Error> {
        let number: usize = text.parse().map_err(|_| fmt::Error)?;
        if (LOW..=HIGH).contains(&number) {
            return Ok(Self(number));
        }
        Err(fmt::Error)
    }
}
