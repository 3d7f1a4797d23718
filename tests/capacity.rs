//! Recomputes the tables of docs/CAPACITY.md from its slopes and the constants in the code, so that
//! a constant cannot change without the page.

use zinniastack::peer;
use zinniastack::timing;

const PAGE: &str = include_str!("../docs/CAPACITY.md");

/// Peers that a host exchanges status with in each round: its granter and one other host.
const PEERS_PER_ROUND: f64 = 2.0;

// The largest number of hosts that one exchange reports on, as the code defines it.
fn max_reported_hosts() -> f64 {
    f64::from(u32::try_from(peer::MAX_HOSTS_PER_EXCHANGE).expect("small"))
}

fn slope(name: &str) -> f64 {
    let prefix = format!("slope {name} ");
    let line = PAGE.lines().find_map(|line| line.strip_prefix(&prefix));
    let text = line.unwrap_or_else(|| panic!("docs/CAPACITY.md has no slope {name}"));
    text.parse().expect("a number")
}

fn row(name: &str) -> [f64; 3] {
    let prefix = format!("| {name} |");
    let line = PAGE.lines().find_map(|line| line.strip_prefix(&prefix));
    let line = line.unwrap_or_else(|| panic!("docs/CAPACITY.md has no row {name}"));
    let cells: Vec<f64> = line
        .split('|')
        .filter_map(|cell| cell.trim().parse().ok())
        .collect();
    cells.try_into().expect("three numbers")
}

fn rounds_per_second(interval_ms: u64) -> f64 {
    1_000.0 / f64::from(u32::try_from(interval_ms).expect("small"))
}

fn expect_row(name: &str, expected: impl Fn(usize) -> f64) {
    for (column, stated) in row(name).into_iter().enumerate() {
        let computed = expected(column);
        // Tolerates rounding to the last digit on the page, or a relative error of 0.1 %.
        let close = (stated - computed).abs() <= (computed.abs() * 0.001).max(0.051);
        assert!(
            close,
            "{name}, column {column}: the page says {stated}, computed {computed}"
        );
    }
}

fn renewals() -> f64 {
    rounds_per_second(timing::RENEW_INTERVAL_MS)
}

macro_rules! capacity_cases {
    ($($name:ident: $row:literal, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            expect_row($row, $expected);
        }
    )*};
}

capacity_cases! {
    servers_of_a_granter: "servers of one granter",
        |column| row("servers")[column] / row("failure domains")[column];
    granter_processor: "granter processor, % of a core", |column| {
        let round_us = slope("renewal_us_per_server") * row("servers of one granter")[column];
        round_us * renewals() / 1e6 * 100.0
    };
    granter_bytes: "granter renewal bytes a second", |column| {
        slope("renewal_bytes_per_server") * row("servers of one granter")[column] * renewals()
    };
    exchange_bytes: "host exchange bytes a second", |column| {
        let reported = row("entry hosts")[column].min(max_reported_hosts());
        let each = slope("exchange_base_bytes") + slope("exchange_bytes_per_host") * reported;
        each * PEERS_PER_ROUND * rounds_per_second(timing::EXCHANGE_INTERVAL_MS)
    };
    table_bytes: "table bytes", |column| slope("table_bytes_per_shard") * row("shards")[column];
    checkpoint_bytes: "checkpoint bytes",
        |column| slope("checkpoint_bytes_per_shard") * row("shards")[column];
    checkpoint_load: "checkpoint load ms",
        |column| slope("checkpoint_load_us_per_shard") * row("shards")[column] / 1_000.0;
}
