//! Fences: totally ordered tokens that decide which grant of a shard supersedes which.

use std::fmt;
use std::str;
use std::sync;

use crate::names;

/// One granter's period of authority over a failure domain. Later terms compare greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TermId {
    /// The counter, higher in each later term.
    pub number: u64,
    /// The host that claimed the term; breaks ties between equal numbers.
    pub host: names::HostName,
    /// The random number of the claiming process, by which a restarted host does not take a term of
    /// its former process for its own.
    pub incarnation: u64,
}

impl TermId {
    /// Creates a term.
    #[must_use]
    pub const fn new(number: u64, host: names::HostName, incarnation: u64) -> Self {
        Self {
            number,
            host,
            incarnation,
        }
    }
}

/// The fence of one grant: the granter's term, then a counter within the term. Later grants of a
/// shard compare greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GrantFence {
    /// The term under which the grant was made.
    pub term: sync::Arc<TermId>,
    /// The grant's number within the term.
    pub sequence: u64,
}

impl GrantFence {
    /// Creates a fence.
    #[must_use]
    pub const fn new(term: sync::Arc<TermId>, sequence: u64) -> Self {
        Self { term, sequence }
    }
}

/// The text is not a term or a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("'{text}' is not a fence: expected NUMBER.HOST.INCARNATION.SEQUENCE"))]
pub struct FenceError {
    text: String,
}

impl fmt::Display for TermId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:x}", self.number, self.host, self.incarnation)
    }
}

impl fmt::Display for GrantFence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

impl str::FromStr for TermId {
    type Err = FenceError;

    fn from_str(text: &str) -> Result<Self, FenceError> {
        let mut parts = text.splitn(3, '.');
        let number = parts.next().and_then(|part| part.parse().ok());
        let host = parts
            .next()
            .and_then(|part| names::HostName::new(part).ok());
        let incarnation = parts
            .next()
            .and_then(|part| u64::from_str_radix(part, 16).ok());
        match (number, host, incarnation) {
            (Some(number), Some(host), Some(incarnation)) => {
                Ok(Self::new(number, host, incarnation))
            }
            _ => FenceSnafu { text }.fail(),
        }
    }
}

impl str::FromStr for GrantFence {
    type Err = FenceError;

    fn from_str(text: &str) -> Result<Self, FenceError> {
        let parts = text.rsplit_once('.');
        let parsed = parts.and_then(|(term, sequence)| {
            let term: TermId = term.parse().ok()?;
            let sequence = sequence.parse().ok()?;
            Some(Self::new(sync::Arc::new(term), sequence))
        });
        parsed.ok_or_else(|| FenceError { text: text.into() })
    }
}

macro_rules! text_form {
    ($($name:ident),*) => {$(
        impl TryFrom<String> for $name {
            type Error = FenceError;

            fn try_from(text: String) -> Result<Self, FenceError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    )*};
}

text_form!(TermId, GrantFence);
