//! Logging of the programs: one line of key=value pairs for each event.

use std::env;

use tracing_subscriber::filter;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// The environment variable that sets the log level.
pub const LEVEL_VARIABLE: &str = "ZINNIA_LOG_LEVEL";

/// Starts to log the events of the crates named in `crates` to `writer`, at the level that
/// [`LEVEL_VARIABLE`] sets, or `info`.
pub fn start<W>(crates: &[&str], writer: W)
where
    W: for<'a> fmt::MakeWriter<'a> + Send + Sync + 'static,
{
    let level = env::var(LEVEL_VARIABLE).ok();
    let level = level.and_then(|text| text.parse().ok());
    let level = level.unwrap_or(filter::LevelFilter::INFO);
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(writer);
    let targets = crates.iter().map(|name| (*name, level));
    let targets = filter::Targets::new().with_targets(targets);
    tracing_subscriber::registry()
        .with(targets)
        .with(lines)
        .init();
}
