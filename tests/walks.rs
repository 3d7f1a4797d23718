//! Runs seeded random schedules of faults: no invariant is violated, and deliberate mutations of
//! the code are detected.

use zinnia_lab::server_state;
use zinnia_lab::simulation;
use zinnia_lab::walk;
use zinniastack::timing;

/// Schedules in each case; `zinnia-lab walk` runs more.
const SCHEDULES: u64 = 500;
/// Most schedules in which a mutation must be detected.
const MUTATION_SCHEDULES: u64 = 2_000;
/// One message in this many gets a long delay, in the cases with many delayed messages.
const FREQUENT_DELAY_ONE_IN: u32 = 6;
/// Faults in a schedule.
const FAULTS: usize = 200;

fn plan(seed: u64, checked: u32, unchecked: u32) -> simulation::SimulationPlan {
    let domain = |name: &str, hosts: u32| simulation::DomainPlan {
        name: name.into(),
        hosts,
        checked,
        unchecked,
    };
    simulation::SimulationPlan {
        seed,
        domains: vec![domain("north", 2), domain("south", 1)],
        shards: 4,
        long_delay_one_in: 200,
        mutation: server_state::ServerMutation::None,
        host_clock_gain_ppm: 0,
        timing: timing::LeaseTiming::new(),
    }
}

fn expect_no_violation(first: u64, checked: u32, unchecked: u32) {
    expect_no_violation_with(first, |seed| plan(seed, checked, unchecked));
}

fn expect_no_violation_with(first: u64, plan: impl Fn(u64) -> simulation::SimulationPlan) {
    for seed in first..first + SCHEDULES {
        let walk = walk::FaultWalk::new(plan(seed), FAULTS);
        if let Err(fault) = walk.run() {
            let scenario = walk.shrink().to_scenario();
            panic!("seed {seed}: {fault}\n{scenario}");
        }
    }
}

fn expect_detected(change: impl Fn(&mut simulation::SimulationPlan)) {
    let found = (0..MUTATION_SCHEDULES).any(|seed| {
        let mut plan = plan(seed, 3, 0);
        change(&mut plan);
        let result = walk::FaultWalk::new(plan, FAULTS).run();
        matches!(result, Err(walk::WalkError::Violation { .. }))
    });
    assert!(
        found,
        "the mutation was not detected in {MUTATION_SCHEDULES} schedules"
    );
}

macro_rules! walk_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

walk_cases! {
    three_checked_servers: expect_no_violation(1_000, 3, 0);
    five_checked_servers: expect_no_violation(2_000, 5, 0);
    with_unchecked_servers: expect_no_violation(3_000, 3, 2);
    with_many_messages_held_up: expect_no_violation_with(4_000, |seed| simulation::SimulationPlan {
        long_delay_one_in: FREQUENT_DELAY_ONE_IN,
        ..plan(seed, 3, 0)
    });
    finds_a_lease_counted_from_receipt: expect_detected(|plan| {
        plan.mutation = server_state::ServerMutation::CountsFromReceipt;
    });
    finds_ignored_terms: expect_detected(|plan| {
        plan.mutation = server_state::ServerMutation::IgnoresTerms;
        plan.long_delay_one_in = FREQUENT_DELAY_ONE_IN;
    });
    finds_hidden_acknowledgements: expect_detected(|plan| {
        plan.mutation = server_state::ServerMutation::HidesAcks;
    });
    finds_hidden_restarts: expect_detected(|plan| {
        plan.mutation = server_state::ServerMutation::HidesRestart;
    });
    finds_clocks_beyond_the_margin: expect_detected(|plan| {
        plan.host_clock_gain_ppm = 400_000;
    });
}
