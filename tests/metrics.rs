//! The reference of metrics in the operators' page names what the code serves, and nothing else.

use std::collections;

use zinniastack::edge::metrics as entry_metrics;
use zinniastack::edge::router::local_response;
use zinniastack::edge::router::metrics;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
/// How the names of the front end on the users' platform begin.
const ROUTER_PREFIX: &str = "zinnia_router_";

type NameSet = collections::BTreeSet<String>;

// The names that a metrics listener serves: one line `# TYPE NAME KIND` each.
fn served(text: &str) -> NameSet {
    let lines = text.lines();
    let names = lines.filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next());
    names.map(str::to_owned).collect()
}

// The names in the first column of the table under a heading.
fn documented(heading: &str) -> NameSet {
    let section = PAGE.split(heading).nth(1).expect("the heading is there");
    let lines = section.lines().skip_while(|line| !line.starts_with('|'));
    let rows = lines.take_while(|line| line.starts_with('|')).skip(2);
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter_map(|name| name.split('{').next());
    names.map(str::to_owned).collect()
}

fn lists_the_metrics_of_the_users_platform() {
    let metrics = metrics::RouterMetrics::new();
    // A family without a member is not served.
    metrics.note_end("route", "answered", 0.1);
    metrics.note_attempt("service", "answered");
    metrics.note_store_call("routes", "done");
    metrics.note_order("grant", "done");
    metrics.note_record_refused("routes");
    let text = metrics.encode().expect("text");
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
    let row = row.expect("the row is there");
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
