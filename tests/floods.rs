//! Tests service by rank under overload, in virtual time at the sizes of both users' sites, against
//! the users' bounds.

use zinnia_lab::flood;
use zinniastack::queue;

const SEED: u64 = 1;
const PHASE_MS: u64 = 10_000;
/// Longest recovery after the end of a flood, in milliseconds.
const RECOVERY_MS: u64 = 5_000;

fn report(site: usize, policy: queue::QueuePolicy) -> (f64, flood::FloodReport) {
    let run = flood::FloodRun::new(flood::SITES[site], policy, SEED, PHASE_MS);
    let run = run.expect("the chart is valid");
    (run.capacity(), run.run())
}

fn expect_bounds(site: usize) {
    let (capacity, report) = report(site, queue::QueuePolicy::ByRank);
    let on_time = |phase, rank: usize| report.tallies[&phase][rank].on_time_ratio();
    let finished = |phase| flood::ratio(report.finished[&phase], 1) / capacity;

    let low = flood::FloodPhase::LowFlood;
    assert!(on_time(low, 0) >= 0.99, "rank 1: {}", on_time(low, 0));
    assert!(on_time(low, 1) >= 0.95, "rank 2: {}", on_time(low, 1));
    assert!(finished(low) >= 0.95, "finished: {}", finished(low));

    let high = flood::FloodPhase::HighFlood;
    let floors = flood::SITES[site]
        .floors
        .map(|percent| f64::from(percent) / 100.0);
    let left = 1.0 - floors.iter().sum::<f64>();
    let urgent = flood::ratio(report.tallies[&high][0].on_time, 1) / capacity;
    assert!(
        urgent >= 0.90 * left,
        "rank 1 served on time: {urgent} of the capacity"
    );
    for rank in [1, 2] {
        // A rank that offers less load than its floor cannot reach the floor.
        let floor = floors[rank].min(flood::CALM_SHARES[rank]);
        let served = flood::ratio(report.tallies[&high][rank].on_time, 1) / capacity;
        assert!(
            served >= 0.95 * floor,
            "rank {}: {served}, floor {floor}",
            rank + 1
        );
    }

    for phase in [flood::FloodPhase::AfterLow, flood::FloodPhase::AfterHigh] {
        let recovery = report.recovery_ms.get(&phase).copied().unwrap_or(0);
        assert!(recovery <= RECOVERY_MS, "{}: {recovery} ms", phase.as_str());
    }
    assert_eq!((report.doubled, report.not_run_but_ran), (0, 0));
    assert!(flood::ratio(report.retried, report.sent) <= 0.10);
}

fn expect_baseline_misses_bounds(site: usize) {
    let (_, report) = report(site, queue::QueuePolicy::FirstInFirstOut);
    let urgent = &report.tallies[&flood::FloodPhase::LowFlood][0];
    assert!(
        urgent.on_time_ratio() < 0.99,
        "first in, first out meets the bound too, so the bound tests nothing"
    );
}

macro_rules! flood_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

flood_cases! {
    manizales_keeps_the_bounds: expect_bounds(0);
    coastline_keeps_the_bounds: expect_bounds(1);
    first_in_first_out_breaks_them_at_manizales: expect_baseline_misses_bounds(0);
    first_in_first_out_breaks_them_at_coastline: expect_baseline_misses_bounds(1);
}
