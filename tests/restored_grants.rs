//! Simulates key grants in virtual time while the platform's store comes back from an older copy: no
//! two servers hold a key together, and all keys are held again.

use std::time;

use zinnia_lab::grants::simulation;

/// Random schedules.
const SCHEDULES: u64 = 300;
/// Faults in a random schedule.
const FAULTS: u32 = 30;
/// Length of a random schedule, in seconds of virtual time.
const RUN_S: u64 = 70;
/// How long after the last fault every key must be held again, in seconds.
const SETTLE_S: u64 = 60;
/// Seeds of a directed case.
const SEEDS: u64 = 60;
/// How much later the fault comes in each further seed.
const STEP: time::Duration = time::Duration::from_millis(37);
/// How long a host is cut off before the store goes away, in milliseconds: longer than a hold, shorter
/// than a granter's right without confirmation.
const CUT_MS: u64 = 7_000;
/// How long the store is away where most hosts are killed, in milliseconds.
const RETURN_MS: u64 = 500;
/// How long after the return the keys must be held where one host knows the newest table, in
/// milliseconds.
const HELD_MS: u64 = 3_000;

fn expect_sound(simulation: &simulation::GrantSimulation, seed: u64) {
    let violations = simulation.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

fn expect_sound_and_covered(simulation: &mut simulation::GrantSimulation, seed: u64) {
    simulation.run(time::Duration::from_secs(SETTLE_S));
    expect_sound(simulation, seed);
    assert!(
        simulation.is_covered(),
        "seed {seed}: keys without a holder\n{}",
        simulation.describe()
    );
}

fn expect_random_schedules(first: u64) {
    for seed in first..first + SCHEDULES {
        let mut simulation = simulation::GrantSimulation::with_restores(seed, FAULTS);
        simulation.run(time::Duration::from_secs(RUN_S));
        expect_sound(&simulation, seed);
        expect_sound_and_covered(&mut simulation, seed);
    }
}

/// What happens in a directed case.
#[derive(Clone, Copy)]
struct RestoredCase {
    /// The age of the copy when the store goes away, in milliseconds.
    age_ms: u64,
    /// How long the store is away, in milliseconds.
    outage_ms: u64,
    /// What happens after the store has gone away, and how long after it in milliseconds.
    then: &'static [(u64, AfterRestore)],
}

#[derive(Clone, Copy)]
enum AfterRestore {
    KillGranter,
    KillHosts,
    Restore,
}

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

// Keys move before the store goes away, so that fences are given out which it then loses.
fn expect_case(case: RestoredCase) {
    for seed in 0..SEEDS {
        let mut simulation = simulation::GrantSimulation::with_reliable_network(seed);
        simulation.run(millis(8_000) + STEP * u32::try_from(seed).unwrap_or(0));
        simulation.drain_server(0);
        simulation.run(millis(2_000));
        simulation.restore_store(millis(case.age_ms), millis(case.outage_ms));
        let mut elapsed = 0;
        for (after_ms, action) in case.then {
            simulation.run(millis(after_ms - elapsed));
            elapsed = *after_ms;
            match action {
                AfterRestore::KillGranter => simulation.kill_granter(),
                AfterRestore::KillHosts => simulation.kill_all_hosts(),
                AfterRestore::Restore => {
                    simulation.restore_store(millis(case.age_ms), millis(case.outage_ms));
                }
            }
        }
        expect_sound_and_covered(&mut simulation, seed);
    }
}

// The granter is on no list of possible granters, moves keys in the last moments before the store goes
// away, and is then cut off from the store and the hosts, but not from the servers.
fn expect_sound_beside_an_unlisted_granter() {
    for seed in 0..SEEDS {
        let mut simulation = simulation::GrantSimulation::with_reliable_network(seed);
        simulation.run(millis(8_000));
        simulation.drain_server(0);
        simulation.run(STEP / 4 * u32::try_from(seed).unwrap_or(0));
        simulation.restore_store(millis(2_500), millis(500));
        simulation.unlist_granter();
        simulation.cut_granter_off();
        expect_sound_and_covered(&mut simulation, seed);
    }
}

// One host that followed the log survives a return that kills the granter for good and all other hosts;
// a host that has restarted is the candidate. The keys are held by the table that the follower knows.
fn expect_renewals_by_a_followers_table() {
    for seed in 0..SEEDS {
        let mut simulation = simulation::GrantSimulation::with_reliable_network(seed);
        simulation.run(millis(8_000) + STEP * u32::try_from(seed).unwrap_or(0));
        simulation.drain_server(0);
        simulation.run(millis(2_000));
        simulation.restore_store(millis(2_500), millis(RETURN_MS));
        simulation.kill_all_but_a_follower();
        simulation.remove_granter();
        simulation.run(millis(RETURN_MS + HELD_MS));
        expect_sound(&simulation, seed);
        assert!(
            simulation.is_covered(),
            "seed {seed}: keys without a holder after {HELD_MS} ms"
        );
        expect_sound_and_covered(&mut simulation, seed);
    }
}

// Guards against a host that renews holds by a table of before its cut, whose keys had moved meanwhile:
// a server that had not responded took keys under a lower fence than the server that had got them.
fn expect_sound_after_a_cut_of_the_survivor() {
    for seed in 0..SEEDS {
        let mut simulation = simulation::GrantSimulation::with_reliable_network(seed);
        simulation.run(millis(8_000) + STEP * u32::try_from(seed).unwrap_or(0));
        let survivor = simulation.cut_follower_off();
        simulation.run(millis(CUT_MS));
        simulation.restore_store(millis(CUT_MS + 1_000), millis(RETURN_MS));
        simulation.kill_all_but(survivor);
        expect_sound_and_covered(&mut simulation, seed);
    }
}

macro_rules! restored_cases {
    ($($name:ident: $run:expr;)*) => {$(
        #[test]
        fn $name() {
            $run;
        }
    )*};
}

restored_cases! {
    restored_store_under_random_faults: expect_random_schedules(30_000);
    restored_store_loses_moves: expect_case(RestoredCase { age_ms: 2_500, outage_ms: 1_000, then: &[] });
    restored_store_then_the_granter_is_killed:
        expect_case(RestoredCase { age_ms: 2_500, outage_ms: 1_000, then: &[(1_200, AfterRestore::KillGranter)] });
    restored_store_while_the_granter_is_killed:
        expect_case(RestoredCase { age_ms: 2_500, outage_ms: 1_000, then: &[(500, AfterRestore::KillGranter)] });
    restored_store_while_all_hosts_are_killed:
        expect_case(RestoredCase { age_ms: 2_500, outage_ms: 1_000, then: &[(900, AfterRestore::KillHosts)] });
    restored_store_loses_the_first_table: expect_case(RestoredCase { age_ms: 20_000, outage_ms: 1_000, then: &[] });
    restored_store_loses_the_first_table_and_all_hosts:
        expect_case(RestoredCase { age_ms: 20_000, outage_ms: 1_000, then: &[(500, AfterRestore::KillHosts)] });
    restored_store_twice_in_a_row:
        expect_case(RestoredCase { age_ms: 2_500, outage_ms: 400, then: &[(900, AfterRestore::Restore)] });
    restored_store_beside_an_unlisted_granter: expect_sound_beside_an_unlisted_granter();
    restored_store_then_a_host_claims_that_was_cut_off: expect_sound_after_a_cut_of_the_survivor();
    restored_store_known_to_a_follower_only: expect_renewals_by_a_followers_table();
    restored_store_while_a_claim_is_in_flight: expect_case(RestoredCase {
        age_ms: 2_500,
        outage_ms: 400,
        then: &[(100, AfterRestore::KillGranter), (2_200, AfterRestore::Restore)],
    });
}
