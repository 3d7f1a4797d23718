//! Tests a host's copies of the store's topics, and the pages that hosts send to one another.

use zinniastack::serving::replica;
use zinniastack::serving::topic;

const TOPIC: topic::StoreTopic = topic::StoreTopic::Servers;
const NO_LIMIT: usize = usize::MAX;

fn stored(offset: u64, key: &str, value: Option<&str>) -> topic::LogRecord {
    topic::LogRecord {
        offset,
        record: topic::KeyedRecord {
            key: key.into(),
            value: value.map(|value| bytes::Bytes::from(value.to_owned())),
        },
    }
}

fn added(offset: u64, key: &str) -> topic::LogRecord {
    stored(offset, key, Some("value"))
}

fn removed(offset: u64, key: &str) -> topic::LogRecord {
    stored(offset, key, None)
}

// A copy of a log in which `a` was written twice, `b` once, and `c` was removed.
fn filled() -> replica::TopicReplica {
    let mut replica = replica::TopicReplica::new();
    let records = vec![
        added(0, "a"),
        added(1, "b"),
        added(2, "c"),
        added(3, "a"),
        removed(4, "c"),
    ];
    replica.append(0, records, 5).expect("the records follow");
    replica
}

fn keys(page: &replica::RecordPage) -> Vec<&str> {
    page.records.iter().map(|record| &*record.key).collect()
}

fn sends_the_newest_record_of_each_key() {
    let page = filled().page(TOPIC, 0, false, NO_LIMIT);
    assert_eq!(keys(&page), ["b", "a"]);
    assert_eq!((page.from, page.next, page.end), (0, 5, 5));
}

fn sends_removals_to_a_host_that_has_the_key() {
    let page = filled().page(TOPIC, 3, false, NO_LIMIT);
    assert_eq!(keys(&page), ["a", "c"]);
    assert_eq!(page.records[1].value, None);
}

fn splits_long_pages() {
    let replica = filled();
    let first = replica.page(TOPIC, 0, false, 1);
    assert_eq!(keys(&first), ["b"]);
    assert!(first.next < first.end);
    let second = replica.page(TOPIC, first.next, true, 1);
    assert_eq!(keys(&second), ["a"]);
    let last = replica.page(TOPIC, second.next, true, 1);
    assert_eq!(last.next, last.end);
}

// Guards against a host that goes on using a server because the copies that it could learn the removal
// from no longer have it.
fn sends_everything_where_removals_are_no_longer_known() {
    let mut replica = filled();
    let limit = u64::try_from(replica::MAX_REMOVALS).expect("the limit is small");
    for number in 0..limit {
        let offset = 5 + number;
        let record = removed(offset, &format!("gone-{number}"));
        replica
            .append(offset, vec![record], offset + 1)
            .expect("the record follows");
    }
    let page = replica.page(TOPIC, 4, false, NO_LIMIT);
    assert_eq!(page.from, 0, "the removal of `c` is forgotten");
    assert_eq!(keys(&page), ["b", "a"]);
    let recent = replica.page(TOPIC, 5, false, NO_LIMIT);
    assert_eq!(recent.from, 5, "later removals are known");
}

fn reports_what_a_snapshot_removes() {
    let mut replica = filled();
    let changed = replica.replace(vec![added(3, "a"), added(8, "d")], 9);
    let changed: Vec<_> = changed
        .iter()
        .map(|stored| (&*stored.record.key, stored.record.value.is_some()))
        .collect();
    assert_eq!(changed, [("d", true), ("b", false), ("c", false)]);
    assert_eq!(replica.end(), 9);
}

fn refuses_records_after_a_gap() {
    let refused = filled().append(7, vec![added(7, "d")], 8);
    assert_eq!(refused, Err(replica::ReplicaError::Gap { from: 7, end: 5 }));
}

fn refuses_older_records() {
    let mut replica = filled();
    let refused = replica.append(1, vec![removed(1, "a")], 2);
    assert_eq!(
        refused,
        Err(replica::ReplicaError::Outdated { next: 2, end: 5 })
    );
    assert_eq!(keys(&replica.page(TOPIC, 0, false, NO_LIMIT)), ["b", "a"]);
}

fn refuses_records_outside_their_page() {
    let refused = filled().append(5, vec![added(9, "d")], 6);
    let expected = replica::ReplicaError::OutOfRange {
        offset: 9,
        from: 5,
        next: 6,
    };
    assert_eq!(refused, Err(expected));
}

fn passes_over_records_that_it_has() {
    let mut replica = filled();
    let records = vec![removed(4, "c"), added(5, "d")];
    let changed = replica.append(4, records, 6).expect("the records overlap");
    assert_eq!(changed, [added(5, "d")]);
}

// A snapshot that is read in several calls may hold records from after its end; the records before them
// have yet to be read.
fn keeps_records_beyond_the_end_of_a_snapshot_to_itself() {
    let mut replica = replica::TopicReplica::new();
    replica.replace(vec![added(2, "a"), added(7, "b")], 5);
    assert_eq!(keys(&replica.page(TOPIC, 0, false, NO_LIMIT)), ["a"]);
    let records = vec![added(5, "c"), added(6, "b"), added(7, "b")];
    replica.append(5, records, 8).expect("the records follow");
    assert_eq!(
        keys(&replica.page(TOPIC, 0, false, NO_LIMIT)),
        ["a", "c", "b"]
    );
}

macro_rules! replica_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

replica_cases! {
    sends_the_newest_record_of_each_key,
    sends_removals_to_a_host_that_has_the_key,
    splits_long_pages,
    sends_everything_where_removals_are_no_longer_known,
    reports_what_a_snapshot_removes,
    refuses_records_after_a_gap,
    refuses_older_records,
    refuses_records_outside_their_page,
    passes_over_records_that_it_has,
    keeps_records_beyond_the_end_of_a_snapshot_to_itself,
}
