//! Tests when the granter renews ranges.

use std::collections;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::clock;
use zinniastack::ownership::granter::renewals;
use zinniastack::ownership::order;

const INTERVAL: time::Duration = time::Duration::from_millis(600);
/// The interval at which the granter decides, in milliseconds.
const TICK_MS: u64 = 100;

fn range(first: u16) -> order::RangeId {
    order::RangeId {
        service: fixtures::name("stock"),
        first,
        last: first,
        fence: 1,
    }
}

// Guards against holds that expire since a renewal came later than its interval.
fn renews_within_the_interval() {
    for first in 0..1_000 {
        let mut now = clock::MonoTime::from_millis(u64::from(first) * 7);
        for _ in 0..5 {
            let due = renewals::due_at(&range(first), INTERVAL, now);
            assert!(due > now && due <= now + INTERVAL, "{first} at {now:?}");
            now = due;
        }
    }
}

// Guards against extra orders: from the second renewal on, each is a whole interval after the last.
fn keeps_its_phase() {
    let now = clock::MonoTime::from_millis(5_000);
    let first = renewals::due_at(&range(77), INTERVAL, now);
    // The order is sent and answered some time after it was due.
    let answered = first + time::Duration::from_millis(110);
    assert_eq!(
        renewals::due_at(&range(77), INTERVAL, answered),
        first + INTERVAL
    );
}

// Guards against thousands of renewals in one tick: with 300 hosts the granter had 5,300 connections.
fn spreads_ranges_that_were_granted_together() {
    let now = clock::MonoTime::from_millis(5_000);
    let mut ticks = collections::BTreeMap::<u64, usize>::new();
    for first in 0..6_000 {
        let due = renewals::due_at(&range(first * 10), INTERVAL, now);
        *ticks.entry(due.as_millis() / TICK_MS).or_default() += 1;
    }
    let most = ticks.values().max().copied();
    // A sixth of them is due in each of six ticks.
    assert!(most.is_some_and(|most| most < 1_200), "{ticks:?}");
}

macro_rules! renewal_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

renewal_cases! {
    renews_within_the_interval,
    keeps_its_phase,
    spreads_ranges_that_were_granted_together,
}
