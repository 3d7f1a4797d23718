//! Checks that the metrics reference in docs/OPERATIONS.md lists exactly the metrics that the code
//! serves.

use std::collections;

use zinniastack::edge::metrics as entry_metrics;
use zinniastack::edge::router::local_response;
use zinniastack::edge::router::metrics;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
/// Prefix of the metric names of `zinnia-router`.
const ROUTER_PREFIX: &str = "zinnia_router_";

type NameSet = collections::BTreeSet<String>;

// The names of the metrics in an exposition text, which has a line `# TYPE NAME KIND` for each.
fn served(text: &str) -> NameSet {
    let lines = text.lines();
    let names = lines.filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next());
    names.map(str::to_owned).collect()
}

// The names in the first column of the table under a heading of the page.
fn documented(heading: &str) -> NameSet {
    let section = PAGE
        .split(heading)
        .nth(1)
        .expect("the page has the heading");
    let lines = section.lines().skip_while(|line| !line.starts_with('|'));
    let rows = lines.take_while(|line| line.starts_with('|')).skip(2);
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter_map(|name| name.split('{').next());
    names.map(str::to_owned).collect()
}

fn lists_the_metrics_of_the_users_platform() {
    let metrics = metrics::RouterMetrics::new();
    // A metric family is served only once it has a sample.
    metrics.note_end("route", "answered", 0.1);
    metrics.note_attempt("service", "answered");
    metrics.note_store_call("routes", "wait", "done");
    metrics.note_order("grant", "done");
    metrics.note_record_refused("routes");
    metrics.note_status_exchange("done");
    metrics.note_evacuation_ignored("duplicate");
    let text = metrics.encode().expect("the metrics are encoded as text");
    let with_prefix = documented("## What to watch").into_iter();
    let documented: NameSet = with_prefix.map(|n| format!("{ROUTER_PREFIX}{n}")).collect();
    assert_eq!(documented, served(&text));
}

fn lists_the_metrics_of_an_entry_host() {
    let text = entry_metrics::HostMetrics::new().encode();
    assert_eq!(documented("## Metrics"), served(&text));
}

fn lists_the_causes_of_own_answers() {
    let row = PAGE.lines().find(|line| line.contains("latency_seconds{"));
    let row = row.expect("the page has the row");
    for own in local_response::LocalResponse::ALL {
        let quoted = format!("`{}`", own.as_str());
        assert!(row.contains(&quoted), "{quoted} is missing");
    }
}

macro_rules! reference_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

reference_cases! {
    lists_the_metrics_of_the_users_platform,
    lists_the_metrics_of_an_entry_host,
    lists_the_causes_of_own_answers,
}
