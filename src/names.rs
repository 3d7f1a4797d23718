//! Validated names, stored as shared immutable strings.

use std::fmt;
use std::sync;

const MAX_LABEL_BYTES: usize = 63;
const MAX_TOKEN_BYTES: usize = 256;

/// Why a string is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum NameError {
    /// The string is not a valid label.
    #[snafu(display(
        "'{text}' is no label: use 1 to {MAX_LABEL_BYTES} of a-z, 0-9 and '-', first a letter or digit"
    ))]
    BadLabel {
        /// The string that was given.
        text: String,
    },
    /// The string is not a valid token.
    #[snafu(display(
        "'{text}' is not a token: use 1 to {MAX_TOKEN_BYTES} visible ASCII characters"
    ))]
    BadToken {
        /// The string that was given.
        text: String,
    },
    /// The string is not the id of a shard.
    #[snafu(display("'{text}' is not a shard: expected SERVICE/NUMBER"))]
    BadShard {
        /// The string that was given.
        text: String,
    },
}

fn check_label(text: &str) -> Result<(), NameError> {
    let first_ok = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let rest_ok = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if first_ok && rest_ok && text.len() <= MAX_LABEL_BYTES {
        return Ok(());
    }
    BadLabelSnafu { text }.fail()
}

fn check_token(text: &str) -> Result<(), NameError> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if visible && !text.is_empty() && text.len() <= MAX_TOKEN_BYTES {
        return Ok(());
    }
    BadTokenSnafu { text }.fail()
}

macro_rules! name_types {
    ($($check:ident $(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            /// Fails when `text` contains a character that is not allowed, or is empty or too long.
            pub fn new(text: &str) -> Result<Self, NameError> {
                $check(text)?;
                Ok(Self(sync::Arc::from(text)))
            }

            /// Returns the name as a string.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                Self::from(name.as_str())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

name_types! {
    check_label /// The name of a failure domain.
    DomainName,
    check_label /// The name of an entry host.
    HostName,
    check_label /// The name of a service.
    ServiceName,
    check_label /// The name of a backend server.
    ServerName,
    check_label /// The name of a feature.
    FeatureName,
    check_token /// The name of a route.
    RouteName,
    check_token /// A key that one server owns at a time.
    KeyName,
    check_token /// The unique id of a record in the log.
    RecordId,
    check_token /// The id that a caller gives to its request.
    RequestId,
}

/// One shard of a service: the unit of ownership.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShardId {
    /// The service that the shard belongs to.
    pub service: ServiceName,
    /// The shard's index in the service, from 0.
    pub index: u32,
}

impl ShardId {
    /// Creates the id of shard `index` of `service`.
    #[must_use]
    pub const fn new(service: ServiceName, index: u32) -> Self {
        Self { service, index }
    }
}

impl TryFrom<String> for ShardId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl std::str::FromStr for ShardId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let parts = text.split_once('/');
        let parsed = parts.and_then(|(service, index)| {
            let service = ServiceName::new(service).ok()?;
            let index = index.parse().ok()?;
            Some(Self { service, index })
        });
        parsed.ok_or_else(|| NameError::BadShard { text: text.into() })
    }
}

impl From<ShardId> for String {
    fn from(shard: ShardId) -> Self {
        shard.to_string()
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl fmt::Debug for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
