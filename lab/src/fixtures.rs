//! What tests build their cases from.

use std::fmt;
use std::str;

use zinniastack::clock;

/// Returns a name.
///
/// # Panics
/// Panics when `text` is none.
#[must_use]
pub fn name<T: str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse()
        .unwrap_or_else(|error| panic!("'{text}' is no name: {error:?}"))
}

/// Returns a time, in milliseconds.
#[must_use]
pub const fn at(millis: u64) -> clock::MonoTime {
    clock::MonoTime::from_millis(millis)
}
