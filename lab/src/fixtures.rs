//! Values for tests.

use std::fmt;
use std::str;

use zinniastack::clock;

/// Parses a name, fence or other value.
///
/// # Panics
/// Panics if `text` is invalid.
#[must_use]
pub fn name<T: str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse()
        .unwrap_or_else(|error| panic!("cannot parse '{text}': {error:?}"))
}

/// Returns the time that is `millis` milliseconds after the clock's origin.
#[must_use]
pub const fn at(millis: u64) -> clock::MonoTime {
    clock::MonoTime::from_millis(millis)
}
