//! Tests the entry hosts when the log comes back from an older copy: records that were read before
//! are gone, and their offsets are given out again.

use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinnia_lab::log_state;
use zinnia_lab::scenario;
use zinnia_lab::server_state;
use zinnia_lab::simulation;
use zinniastack::configuration;
use zinniastack::names;
use zinniastack::record;
use zinniastack::replay;
use zinniastack::timing;

/// The time in which every host has to agree with the log again, in milliseconds.
const RECOVERY_MS: u64 = 4_000;
/// The time in which every host reads a new record, in milliseconds.
const READ_MS: u64 = 1_000;

fn site(seed: u64) -> scenario::ScenarioRun {
    let domain = |name: &str, hosts: u32| simulation::DomainPlan {
        name: name.into(),
        hosts,
        checked: 3,
        unchecked: 0,
    };
    let mut run = scenario::ScenarioRun::with_plan(simulation::SimulationPlan {
        seed,
        domains: vec![domain("north", 2), domain("south", 1)],
        shards: 6,
        long_delay_one_in: 0,
        mutation: server_state::ServerMutation::None,
        host_clock_gain_ppm: 0,
        timing: timing::LeaseTiming::new(),
    });
    let settled = run.settle(time::Duration::from_secs(8));
    assert!(settled, "the site did not settle");
    advance(&mut run, READ_MS);
    run
}

fn advance(run: &mut scenario::ScenarioRun, millis: u64) {
    run.advance(time::Duration::from_millis(millis));
}

fn command(run: &mut scenario::ScenarioRun, line: &str) {
    let done = run.execute(&scenario::ScenarioCommand::from_line(line));
    done.unwrap_or_else(|fault| panic!("{line}: {fault}"));
}

// Retires the feature at all hosts; the log then loses the patch and all that came after it.
fn lose_retirement(run: &mut scenario::ScenarioRun) {
    let before = run.simulation().log.next();
    command(run, "patch id=retire base=1 retire=digest host=north-h1");
    advance(run, READ_MS);
    expect_all(run, "before the return", is_retired);
    let count = run.simulation().log.next() - before;
    command(run, &format!("log restore-older={count}"));
}

// Makes the log end after the hosts' next offsets again, before any of them reads it.
fn fill_lost_offsets(run: &mut scenario::ScenarioRun) {
    for _ in 0..20 {
        command(run, "publish");
    }
}

fn is_retired(state: &replay::ReplayState) -> bool {
    let name = fixtures::name::<names::FeatureName>("digest");
    let feature = state.configuration.feature.iter().find(|f| f.name == name);
    feature.is_some_and(|f| f.status == configuration::FeatureStatus::Retired)
}

fn is_withdrawn(state: &replay::ReplayState, name: &str) -> bool {
    let server = state.configuration.find_server(&fixtures::name(name));
    server.is_some_and(configuration::ServerSpec::is_withdrawn)
}

fn expect_all(
    run: &scenario::ScenarioRun,
    context: &str,
    holds: impl Fn(&replay::ReplayState) -> bool,
) {
    for (name, host) in &run.simulation().hosts {
        let state = host.state.as_ref().expect("the host runs");
        let state = state.replay().state();
        assert!(
            holds(state),
            "{context}: {name} at version {} and offset {}",
            state.version,
            state.next_offset
        );
    }
}

// All hosts have the same configuration under the same version, and applied the whole log.
fn expect_agreement(run: &scenario::ScenarioRun, context: &str) {
    let hosts = run.simulation().hosts.values();
    let mut states = hosts.filter_map(|host| host.state.as_ref());
    let first = states.next().expect("a host runs").replay().state().clone();
    expect_all(run, context, |state| {
        state.version == first.version
            && state.configuration == first.configuration
            && state.verdicts == first.verdicts
            && state.next_offset == run.simulation().log.next()
    });
}

fn restart_all(run: &mut scenario::ScenarioRun) {
    for name in ["north-h1", "north-h2", "south-h1"] {
        command(run, &format!("kill host={name}"));
    }
    for name in ["north-h1", "north-h2", "south-h1"] {
        command(run, &format!("start host={name}"));
    }
}

fn expect_no_violation(run: &scenario::ScenarioRun) {
    assert_eq!(run.checker().violations(), &[] as &[String]);
}

fn reads_records_at_lost_offsets() {
    let mut run = site(1);
    lose_retirement(&mut run);
    command(&mut run, "patch id=withdraw base=1 withdraw=south-s1");
    fill_lost_offsets(&mut run);
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "the patch at a lost offset", |state| {
        is_withdrawn(state, "south-s1")
    });
    expect_all(&run, "the lost retirement", is_retired);
    expect_agreement(&run, "after the return");
    expect_no_violation(&run);
}

fn keeps_a_lost_retirement_after_restarts(fill: bool) {
    let mut run = site(2);
    lose_retirement(&mut run);
    if fill {
        fill_lost_offsets(&mut run);
    }
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "before restarts", is_retired);
    restart_all(&mut run);
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "after restarts", is_retired);
    expect_agreement(&run, "after restarts");
    expect_no_violation(&run);
}

fn numbers_patches_above_lost_versions() {
    let mut run = site(3);
    lose_retirement(&mut run);
    command(&mut run, "patch id=withdraw base=1 withdraw=south-s1");
    advance(&mut run, RECOVERY_MS);
    expect_agreement(&run, "two patches of one version");
    expect_all(&run, "both patches", |state| {
        is_retired(state) && is_withdrawn(state, "south-s1") && state.version > 2
    });
    command(
        &mut run,
        "patch id=next base=3 withdraw=south-s2 host=south-h1",
    );
    advance(&mut run, READ_MS);
    expect_all(&run, "the next patch", |state| {
        is_withdrawn(state, "south-s2") && state.version == 4
    });
    expect_no_violation(&run);
}

fn joins_a_host_that_starts_before_the_others_notice() {
    let mut run = site(4);
    lose_retirement(&mut run);
    command(&mut run, "kill host=south-h1");
    command(&mut run, "start host=south-h1");
    fill_lost_offsets(&mut run);
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "the lost retirement", is_retired);
    expect_agreement(&run, "after the return");
    expect_no_violation(&run);
}

fn survives_two_returns() {
    let mut run = site(5);
    lose_retirement(&mut run);
    fill_lost_offsets(&mut run);
    advance(&mut run, 300);
    command(&mut run, "log restore-older=5");
    command(&mut run, "patch id=withdraw base=1 withdraw=south-s1");
    fill_lost_offsets(&mut run);
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "both patches", |state| {
        is_retired(state) && is_withdrawn(state, "south-s1")
    });
    expect_agreement(&run, "after two returns");
    expect_no_violation(&run);
}

// A checkpoint that covers records after its own place belongs to another history.
fn passes_over_a_checkpoint_beyond_the_end() {
    let mut run = site(6);
    let mut ahead = run
        .simulation()
        .hosts
        .values()
        .next()
        .expect("a host")
        .state
        .as_ref()
        .expect("the host runs")
        .replay()
        .state()
        .clone();
    ahead.next_offset += 100;
    ahead.configuration = sync::Arc::default();
    ahead.version = 9;
    let writer = replay::LogReplay::new()
        .expect("the chart is valid")
        .with_state(ahead);
    for body in writer.to_checkpoint() {
        let id = fixtures::name(&format!("checkpoint-{}", body.part));
        let body = record::RecordBody::Checkpoint(body);
        let text = record::LogRecord::new(id, body).encode();
        run.simulation_mut().log.append(text);
    }
    let after_checkpoint = writer.to_checkpoint().len();
    command(&mut run, &format!("log keep={after_checkpoint}"));
    advance(&mut run, READ_MS);
    command(&mut run, "kill host=south-h1");
    command(&mut run, "start host=south-h1");
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "the checkpoint beyond the end", |state| {
        state.version == 1
    });
    expect_no_violation(&run);
}

// Neither the log's start nor a checkpoint is left, so the hosts' own state is all there is.
fn keeps_the_state_without_a_checkpoint() {
    let mut run = site(7);
    command(&mut run, "log keep=4");
    command(&mut run, "log restore-older=2");
    advance(&mut run, RECOVERY_MS);
    command(
        &mut run,
        "patch id=retire base=1 retire=digest host=south-h1",
    );
    advance(&mut run, RECOVERY_MS);
    restart_all(&mut run);
    advance(&mut run, RECOVERY_MS);
    expect_all(&run, "after restarts", is_retired);
    expect_agreement(&run, "after restarts");
    expect_no_violation(&run);
}

fn gives_lost_offsets_out_again() {
    let mut log = log_state::LogState::new();
    for text in ["a", "b", "c"] {
        log.append(text.into());
    }
    log.restore_older(2);
    let reply = log.append("d".into()).expect("the log accepts the record");
    assert_eq!(reply.offset, 1);
    let page = log.read(0).expect("the read succeeds");
    let texts: Vec<_> = page.records.iter().map(|r| r.text.as_str()).collect();
    assert_eq!((page.next, texts), (2, vec!["a", "d"]));
}

macro_rules! restored_log_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

restored_log_cases! {
    log_gives_lost_offsets_out_again: gives_lost_offsets_out_again();
    // Guards against a silent gap: a log that has grown past a host's offset looked unchanged.
    reads_patch_at_lost_offset: reads_records_at_lost_offsets();
    // Guards against a retired feature that is live again at a host that starts after the return.
    keeps_lost_retirement: keeps_a_lost_retirement_after_restarts(false);
    // The same, with a log that ends after the hosts' offsets at their next read.
    keeps_lost_retirement_in_grown_log: keeps_a_lost_retirement_after_restarts(true);
    // Guards against two patches under one version, on which hosts disagree.
    numbers_patches_above_lost: numbers_patches_above_lost_versions();
    // Guards against a host that starts on the restored log and disagrees with the others for good.
    joins_host_started_meanwhile: joins_a_host_that_starts_before_the_others_notice();
    // Guards against a position that is lost again while the state is rebuilt.
    two_returns_are_survived: survives_two_returns();
    // Guards against a log from which no host can start after the return.
    keeps_state_without_checkpoint: keeps_the_state_without_a_checkpoint();
    // Guards against a checkpoint of another history, which covers offsets that are given out later.
    checkpoint_beyond_the_end: passes_over_a_checkpoint_beyond_the_end();
}
