//! Settings from flags and environment variables, checked at start.

use std::env;
use std::fmt;
use std::str;

/// A setting is missing or faulty.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum SettingError {
    /// The setting has no value.
    #[snafu(display("setting --{name} (or {variable}) is missing: it takes {expected}"))]
    Missing {
        /// The flag's name.
        name: String,
        /// The environment variable's name.
        variable: String,
        /// What it takes.
        expected: &'static str,
    },
    /// The setting's value cannot be read.
    #[snafu(display("setting --{name} (or {variable}) got '{value}': it takes {expected}"))]
    Invalid {
        /// The flag's name.
        name: String,
        /// The environment variable's name.
        variable: String,
        /// The value.
        value: String,
        /// What it takes.
        expected: &'static str,
    },
}

/// One setting: its flag, what the flag was given, and what it takes.
#[derive(Clone, Debug)]
pub struct SettingSource<'a> {
    name: &'static str,
    flag: Option<&'a str>,
    expected: &'static str,
}

impl<'a> SettingSource<'a> {
    /// Creates the source of the setting `--name`, which the variable `ZINNIA_NAME` gives as well.
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

    /// Reads the setting, which must be given.
    ///
    /// # Errors
    /// Fails when it is missing or cannot be read.
    pub fn required<T: str::FromStr>(&self) -> Result<T, SettingError> {
        self.optional()?.ok_or_else(|| SettingError::Missing {
            name: self.name.into(),
            variable: self.variable(),
            expected: self.expected,
        })
    }

    /// Reads the setting, which may be left out.
    ///
    /// # Errors
    /// Fails when it cannot be read.
    pub fn optional<T: str::FromStr>(&self) -> Result<Option<T>, SettingError> {
        let text = self.text();
        text.map(|text| self.read(&text)).transpose()
    }

    /// Reads the setting as a list with commas; left out, it is empty.
    ///
    /// # Errors
    /// Fails when an entry cannot be read.
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

/// A number within limits.
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
