//! `zinnia chart`: draws one of the program's state charts.

use crate::chart;
use crate::cmd;

/// The usage text.
pub const USAGE: &str = "\
Draws a state chart, as Mermaid text or, with --dot, in Graphviz's language.

Usage: zinnia chart [--dot] NAME
Charts: grant, host, lease, patch, request, term";

/// The arguments.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct ChartArgs {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether Graphviz's language is asked for.
    #[options(help = "draw in Graphviz's language")]
    pub dot: bool,
    /// The chart.
    #[options(free, required, help = "the chart's name")]
    pub name: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when no chart has that name.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<ChartArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    for source in chart::CHART_SOURCES {
        let file = chart::ChartFile::parse(source).map_err(cmd::CommandError::failed)?;
        if file.name == args.name {
            let text = if args.dot {
                file.to_dot()
            } else {
                file.to_mermaid()
            };
            print!("{text}");
            return Ok(cmd::EXIT_OK);
        }
    }
    Err(cmd::CommandError::Usage {
        message: format!("no chart is named '{}'\n\n{USAGE}", args.name),
    })
}
