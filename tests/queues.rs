//! Tests the queue in front of a server: order by rank, floors, deadlines, early refusal, the
//! concurrency limit and the retry budget.

use std::time;

use zinnia_lab::fixtures;
use zinniastack::configuration;
use zinniastack::limit;
use zinniastack::outcome;
use zinniastack::queue;

const SLOT_MS: u64 = 10;

fn rank(number: u8) -> configuration::WorkRank {
    configuration::WorkRank::new(number).expect("a valid rank")
}

fn waiting(ticket: u32, number: u8, arrived: u64, deadline: u64) -> queue::WaitingRequest<u32> {
    queue::WaitingRequest {
        ticket,
        rank: rank(number),
        arrived: fixtures::at(arrived),
        deadline: fixtures::at(deadline),
    }
}

// A queue for one slot with a measured service time of 10 ms.
fn one_slot() -> queue::ServerQueue<u32> {
    let mut queue = queue::ServerQueue::new(1, 1).with_floors([0, 20, 10]);
    queue
        .push(waiting(0, 1, 0, 1_000), fixtures::at(0))
        .expect("the queue accepts the request");
    queue.dispatch_waiting(fixtures::at(0));
    finish(&mut queue);
    queue
}

fn finish(queue: &mut queue::ServerQueue<u32>) {
    let elapsed = time::Duration::from_millis(SLOT_MS);
    queue.finish(limit::LimitSignal::Answered, elapsed);
}

fn serve_all(queue: &mut queue::ServerQueue<u32>, from: u64) -> Vec<u32> {
    let mut served = Vec::new();
    let mut now = from;
    while queue.waiting() > 0 {
        for ticket in queue.dispatch_waiting(fixtures::at(now)).permitted {
            served.push(ticket);
            finish(queue);
        }
        now += SLOT_MS;
    }
    served
}

fn urgent_work_goes_first() {
    let mut queue = one_slot();
    for (ticket, number) in [(1, 3), (2, 2), (3, 1), (4, 1)] {
        let request = waiting(ticket, number, 20, 5_000);
        queue
            .push(request, fixtures::at(20))
            .expect("the queue accepts the request");
    }
    assert_eq!(serve_all(&mut queue, 20), [3, 4, 2, 1]);
}

fn a_flood_of_urgent_work_leaves_the_floors() {
    let mut queue = one_slot();
    for ticket in 0..300_u32 {
        let number = u8::try_from(ticket % 3).expect("small") + 1;
        let request = waiting(ticket, number, 20, 60_000);
        queue
            .push(request, fixtures::at(20))
            .expect("the queue accepts the request");
    }
    let served = serve_all(&mut queue, 20);
    // When the floors of two ranks are due at once, one is served after the other; the floor due at
    // the hundredth request is served with the next one, hence 101.
    let in_flood = &served[..101];
    let count = |number: u32| in_flood.iter().filter(|t| **t % 3 + 1 == number).count();
    assert_eq!(count(2), 20);
    assert_eq!(count(3), 10);
}

fn late_work_is_dropped_before_it_is_sent() {
    let mut queue = one_slot();
    queue
        .push(waiting(1, 1, 20, 40), fixtures::at(20))
        .expect("the queue accepts the request");
    let result = queue.dispatch_waiting(fixtures::at(35));
    assert!(result.permitted.is_empty());
    assert_eq!(result.dropped[0].ticket, 1);
    assert_eq!(
        result.dropped[0].reason,
        outcome::RefusalReason::DeadlineQueued
    );
}

fn hopeless_work_is_refused_at_the_door() {
    let mut queue = one_slot();
    for ticket in 0..9 {
        queue
            .push(waiting(ticket, 1, 20, 120), fixtures::at(20))
            .expect("the queue accepts the request");
    }
    let refused = queue.push(waiting(9, 1, 20, 100), fixtures::at(20));
    let reason = refused.expect_err("the queue refuses the request").reason;
    assert_eq!(reason, outcome::RefusalReason::QueueHopeless);
}

fn a_flood_below_does_not_refuse_urgent_work() {
    let mut queue = one_slot();
    for ticket in 0..1_000 {
        let request = waiting(ticket, 3, 20, 100_000);
        queue
            .push(request, fixtures::at(20))
            .expect("the queue accepts the request");
    }
    let urgent = waiting(9_999, 1, 20, 60);
    queue
        .push(urgent, fixtures::at(20))
        .expect("the queue accepts the request");
    assert_eq!(queue.dispatch_waiting(fixtures::at(20)).permitted, [9_999]);
}

fn the_newest_goes_first_under_overload() {
    let mut queue = one_slot();
    queue
        .push(waiting(1, 1, 20, 220), fixtures::at(20))
        .expect("the queue accepts the request");
    queue
        .push(waiting(2, 1, 130, 330), fixtures::at(130))
        .expect("the queue accepts the request");
    assert_eq!(queue.dispatch_waiting(fixtures::at(140)).permitted, [2]);
}

fn retries_are_a_fraction_of_fresh_requests() {
    let mut queue = queue::ServerQueue::new(1_000, 1);
    let mut repeated = 0;
    for ticket in 0..1_000 {
        queue
            .push(waiting(ticket, 1, 0, 60_000), fixtures::at(0))
            .expect("the queue accepts the request");
        let again = queue.push_retry(waiting(ticket, 1, 0, 60_000), fixtures::at(0));
        repeated += u32::from(again.is_ok());
    }
    assert!(repeated <= 110, "{repeated} retries for 1,000 requests");
    assert!(repeated >= 100, "{repeated} retries for 1,000 requests");
}

fn the_limit_takes_up_what_others_leave() {
    let mut limit = limit::ConcurrencyLimit::new(6, 5);
    assert!(limit.allows(0));
    assert!(!limit.allows(1));
    for _ in 0..40 {
        limit.note(limit::LimitSignal::Answered, true);
    }
    assert!(limit.allows(5));
    assert!(
        !limit.allows(6),
        "the limit is above the slots of the server"
    );
    for _ in 0..10 {
        limit.note(limit::LimitSignal::Overloaded, true);
    }
    assert!(limit.allows(0), "the limit fell to zero");
    assert!(!limit.allows(1));
}

fn a_full_queue_refuses() {
    let mut queue = queue::ServerQueue::new(1, 1);
    for ticket in 0..u32::try_from(queue::MAX_QUEUED_PER_RANK).expect("small") {
        queue
            .push(waiting(ticket, 2, 0, 1_000), fixtures::at(0))
            .expect("the queue accepts the request");
    }
    let refused = queue.push(waiting(0, 2, 0, 1_000), fixtures::at(0));
    let reason = refused.expect_err("the queue refuses the request").reason;
    assert_eq!(reason, outcome::RefusalReason::QueueFull);
    queue
        .push(waiting(0, 1, 0, 1_000), fixtures::at(0))
        .expect("the queues of other ranks accept requests");
}

macro_rules! queue_cases {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            super::$name();
        }
    )*};
}

mod cases {
    queue_cases! {
        urgent_work_goes_first,
        a_flood_of_urgent_work_leaves_the_floors,
        late_work_is_dropped_before_it_is_sent,
        hopeless_work_is_refused_at_the_door,
        a_flood_below_does_not_refuse_urgent_work,
        the_newest_goes_first_under_overload,
        retries_are_a_fraction_of_fresh_requests,
        the_limit_takes_up_what_others_leave,
        a_full_queue_refuses,
    }
}
