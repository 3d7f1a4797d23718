//! `zinnia chart`: prints one of the program's state charts as a diagram.

use crate::chart;
use crate::cmd;

/// The usage text.
pub const USAGE: &str = "\
Prints a state chart as a Mermaid diagram or, with --dot, in Graphviz's DOT language.

Usage: zinnia chart [--dot] NAME
Charts: delivery, grant, granting, host, key-range, lease, patch, request, responses, term";

/// The arguments of zinnia chart.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct ChartArgs {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print DOT.
    #[options(help = "print Graphviz's DOT language")]
    pub dot: bool,
    /// The chart's name.
    #[options(free, required, help = "the chart's name")]
    pub name: String,
}

/// Runs the command.
///
/// # Errors
/// Fails when there is no chart of that name.
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
