//! Tests how servers' reports of their load are checked, aged and believed.

use zinnia_lab::fixtures;
use zinniastack::serving::load_report;

const SERVICE_MS: f64 = 100.0;

fn load(running: u32, waiting: u32) -> load_report::ServerLoad {
    load_report::ServerLoad::new(running, waiting, 4).expect("the figures are believable")
}

fn noted() -> load_report::LoadState {
    let mut state = load_report::LoadState::new();
    state.note(load(4, 8), fixtures::at(1_000));
    state
}

// Guards against figures by which a server would get all requests, or a division by zero.
fn rejects_figures_that_are_not_believable() {
    assert_eq!(load_report::ServerLoad::new(1, 0, 0), None);
    assert_eq!(load_report::ServerLoad::new(u32::MAX, 0, 4), None);
    assert_eq!(load_report::ServerLoad::new(0, u32::MAX, 4), None);
    assert_eq!(load_report::ServerLoad::new(0, 0, u32::MAX), None);
    assert_eq!(load(1, 0).with_pace(0), None);
    assert_eq!(load(1, 0).with_pace(u32::MAX), None);
}

// Guards against a wait that leaves out other hosts' requests or the momentary pace.
fn predicts_the_wait_at_the_server() {
    let close = |wait_ms: f64, expected: f64| (wait_ms - expected).abs() < 1e-9;
    assert!(close(load(3, 0).wait_ms(SERVICE_MS), 0.0));
    assert!(close(load(4, 8).wait_ms(SERVICE_MS), 225.0));
    let slow = load(4, 8).with_pace(200).expect("it is believable");
    assert!(close(slow.wait_ms(SERVICE_MS), 450.0));
}

// Guards against a choice by what a server reported seconds ago.
fn ignores_old_reports() {
    let state = noted();
    let fresh = fixtures::at(1_000 + load_report::LOAD_STALE_MS - 1);
    assert!(state.believed(0.0, SERVICE_MS, fresh).is_some());
    let old = fixtures::at(1_000 + load_report::LOAD_STALE_MS);
    assert!(state.believed(0.0, SERVICE_MS, old).is_none());
}

// Guards against a server that reports itself idle since it fails each request at once.
fn does_not_believe_a_server_that_fails() {
    let now = fixtures::at(1_001);
    assert!(noted().believed(0.05, SERVICE_MS, now).is_some());
    assert!(noted().believed(0.5, SERVICE_MS, now).is_none());
}

// Guards against a server that reports itself idle and does not respond to what it was sent.
fn does_not_believe_a_server_that_stalls() {
    let mut state = load_report::LoadState::new();
    state.note_start(fixtures::at(1_000));
    state.note_start(fixtures::at(1_300));
    state.note(load(0, 0), fixtures::at(1_310));
    let now = fixtures::at(1_320);
    assert!(state.believed(0.0, SERVICE_MS, now).is_none());
    state.note_progress(1, now);
    assert!(state.believed(0.0, SERVICE_MS, now).is_some());
    state.note_progress(0, now);
    assert!(
        state
            .believed(0.0, SERVICE_MS, fixtures::at(1_700))
            .is_some()
    );
}

macro_rules! load_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

load_cases! {
    rejects_figures_that_are_not_believable,
    predicts_the_wait_at_the_server,
    ignores_old_reports,
    does_not_believe_a_server_that_fails,
    does_not_believe_a_server_that_stalls,
}
