//! Values for tests.

use std::fmt;
use std::str;
use std::time;

use zinniastack::clock;
use zinniastack::routing::specification;

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

/// Returns an empty set of routes with the version given.
///
/// # Panics
/// Panics if the set is not valid.
#[must_use]
pub fn routes(version: u64) -> specification::RouteSet {
    let limits = specification::CallerLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout: time::Duration::from_secs(1),
        idle_timeout: time::Duration::from_secs(1),
    };
    specification::RouteSet::new(version, Vec::new(), Vec::new(), limits)
        .expect("the route set is valid")
}
