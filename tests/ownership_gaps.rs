//! Measures ownership gaps, the time that keys are without a holder after a single event, in
//! virtual time, and checks them against the bound of each event.

use zinnia_lab::grants::ownership_gaps;

/// Seeds that each event is measured with.
const SEEDS: u64 = 20;

fn expect_within(event: ownership_gaps::GapEvent) {
    for seed in 1..=SEEDS {
        let gap = ownership_gaps::measure(seed, event);
        assert!(
            gap <= event.bound(),
            "seed {seed}: ownership gap of {gap:?}"
        );
    }
}

macro_rules! gap_cases {
    ($($name:ident: $event:expr;)*) => {$(
        #[test]
        fn $name() {
            expect_within($event);
        }
    )*};
}

gap_cases! {
    loses_a_server: ownership_gaps::GapEvent::LostServer;
    loses_the_granter: ownership_gaps::GapEvent::LostGranter;
    loses_a_server_and_the_granter: ownership_gaps::GapEvent::LostServerAndGranter;
    loses_the_store: ownership_gaps::GapEvent::LostStore;
    loses_the_store_and_the_granter: ownership_gaps::GapEvent::LostStoreAndGranter;
    drains_a_server: ownership_gaps::GapEvent::DrainedServer;
    starts_everything_anew: ownership_gaps::GapEvent::FullRestart;
}
