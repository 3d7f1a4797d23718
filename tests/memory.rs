//! Checks the account of a process's memory and connections.

use std::net;

use zinnia_lab::fixtures;
use zinniastack::memory::account;
use zinniastack::memory::limits;

const MIB: u64 = 1 << 20;

fn address(number: u8) -> net::IpAddr {
    net::IpAddr::from([10, 0, 0, number])
}

// An account of 16 MiB and 8 connections.
fn small_account() -> account::MemoryAccount {
    account::MemoryAccount::new(limits::ProcessLimits {
        bytes: 16 * MIB,
        connections: 8,
    })
}

// Guards against an account that grants more than it has.
fn refuses_what_exceeds_the_account() {
    let mut account = small_account();
    let first = account.open(address(1), fixtures::at(0));
    assert_eq!(
        account.reserve(first, 10 * MIB, fixtures::at(0)).refused,
        None
    );
    let second = account.open(address(1), fixtures::at(0));
    let decision = account.reserve(second, 7 * MIB, fixtures::at(1));
    assert_eq!(decision.refused, Some(account::PressureCause::Memory));
    assert!(
        decision.evicted.is_empty(),
        "a transfer in progress was evicted"
    );
    assert_eq!(account.used(), 10 * MIB);
}

// Guards against bytes that stay reserved after the transfers that held them.
fn releases_all_bytes() {
    let mut account = small_account();
    account.open_connection(fixtures::at(0));
    let id = account.open(address(1), fixtures::at(0));
    account.reserve(id, 3 * MIB, fixtures::at(0));
    account.reserve(id, MIB, fixtures::at(0));
    account.close(id);
    account.close_connection(true);
    assert_eq!((account.used(), account.connections()), (0, 0));
}

// Guards against a crowd that stops sending and keeps its memory while others are refused.
fn evicts_what_has_stalled_longest() {
    let mut account = small_account();
    let ids: Vec<_> = (0..3_u64)
        .map(|number| {
            let now = fixtures::at(number * 100);
            let id = account.open(address(1), now);
            account.reserve(id, 4 * MIB, now);
            account.note_progress(id, account::TransferPhase::Receiving, now);
            id
        })
        .collect();
    let late = fixtures::at(account::STALL_MS + 300);
    let next = account.open(address(1), late);
    let decision = account.reserve(next, 4 * MIB, late);
    assert_eq!(decision.evicted, [ids[0]]);
    account.close(ids[0]);
    let decision = account.reserve(next, 4 * MIB, late);
    assert_eq!(decision.refused, None);
}

// Guards against a request that ends although it waits for a server and not for its caller.
fn spares_what_waits_for_a_server() {
    let mut account = small_account();
    let held = account.open(address(1), fixtures::at(0));
    account.reserve(held, 12 * MIB, fixtures::at(0));
    account.note_progress(held, account::TransferPhase::Held, fixtures::at(0));
    let late = fixtures::at(account::STALL_MS * 100);
    let next = account.open(address(2), late);
    let decision = account.reserve(next, 6 * MIB, late);
    assert_eq!(decision.refused, Some(account::PressureCause::Memory));
    assert!(decision.evicted.is_empty());
}

// Guards against a client address that takes everything while others wait.
fn gives_an_address_at_most_its_part() {
    let mut account = small_account();
    let now = fixtures::at(0);
    let first = account.open(address(1), now);
    assert_eq!(account.reserve(first, 7 * MIB, now).refused, None);
    let second = account.open(address(1), now);
    assert_eq!(account.reserve(second, 6 * MIB, now).refused, None);
    let other = account.open(address(2), now);
    let third = account.open(address(1), now);
    let decision = account.reserve(third, 2 * MIB, now);
    assert_eq!(decision.refused, Some(account::PressureCause::Address));
    let decision = account.reserve(other, 2 * MIB, now);
    assert_eq!(
        decision.evicted,
        [first],
        "a transfer beyond the part stays"
    );
    assert_eq!(decision.refused, None);
}

// Guards against an evicted transfer that goes on taking memory.
fn gives_nothing_to_an_evicted_transfer() {
    let mut account = small_account();
    let first = account.open(address(1), fixtures::at(0));
    account.reserve(first, 12 * MIB, fixtures::at(0));
    let late = fixtures::at(account::STALL_MS);
    let second = account.open(address(2), late);
    account.reserve(second, 4 * MIB, late);
    let decision = account.reserve(first, 13 * MIB, late);
    assert_eq!(decision.refused, Some(account::PressureCause::Evicted));
}

// Guards against connections beyond the limit, and against a stalled one that keeps its place.
fn bounds_the_connections() {
    let mut account = small_account();
    let stalled = account.open(address(1), fixtures::at(0));
    let late = fixtures::at(account::STALL_MS);
    for _ in 0..8 {
        assert_eq!(account.open_connection(late).refused, None);
    }
    assert!(account.is_connection_pressed());
    let decision = account.open_connection(late);
    assert_eq!(decision.refused, Some(account::PressureCause::Connections));
    assert_eq!(decision.evicted, [stalled]);
}

// Guards against defaults that a single request inside the documented limits would meet.
fn leaves_room_for_a_response_on_the_smallest_machine() {
    let limits = limits::ProcessLimits::new(160, 4_100);
    assert!(limits.bytes > 64 * MIB);
    assert!(limits.connections > 2_500);
}

macro_rules! memory_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

memory_cases! {
    refuses_what_exceeds_the_account,
    releases_all_bytes,
    evicts_what_has_stalled_longest,
    spares_what_waits_for_a_server,
    gives_an_address_at_most_its_part,
    gives_nothing_to_an_evicted_transfer,
    bounds_the_connections,
    leaves_room_for_a_response_on_the_smallest_machine,
}
