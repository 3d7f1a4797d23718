//! Tests a host's copies of the store's topics, and the pages that hosts send to one another.

use zinniastack::serving::replica;
use zinniastack::serving::topic;

const TOPIC: topic::StoreTopic = topic::StoreTopic::Servers;
const NO_LIMIT: usize = usize::MAX;

fn position(offset: u64) -> topic::LogPosition {
    topic::LogPosition::new(0, offset)
}

// A position after the store came back from an older copy.
fn restored(offset: u64) -> topic::LogPosition {
    topic::LogPosition::new(1, offset)
}

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
    replica
        .append(position(0), records, 5)
        .expect("the records follow");
    replica
}

fn keys(page: &replica::RecordPage) -> Vec<&str> {
    page.records.iter().map(|record| &*record.key).collect()
}

fn sends_the_newest_record_of_each_key() {
    let page = filled().page(TOPIC, position(0), false, NO_LIMIT);
    assert_eq!(keys(&page), ["b", "a"]);
    assert_eq!((page.from, page.next, page.end), (0, 5, 5));
}

fn sends_removals_to_a_host_that_has_the_key() {
    let page = filled().page(TOPIC, position(3), false, NO_LIMIT);
    assert_eq!(keys(&page), ["a", "c"]);
    assert_eq!(page.records[1].value, None);
}

fn splits_long_pages() {
    let replica = filled();
    let first = replica.page(TOPIC, position(0), false, 1);
    assert_eq!(keys(&first), ["b"]);
    assert!(first.next < first.end);
    let second = replica.page(TOPIC, position(first.next), true, 1);
    assert_eq!(keys(&second), ["a"]);
    let last = replica.page(TOPIC, position(second.next), true, 1);
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
            .append(position(offset), vec![record], offset + 1)
            .expect("the record follows");
    }
    let page = replica.page(TOPIC, position(4), false, NO_LIMIT);
    assert_eq!(page.from, 0, "the removal of `c` is forgotten");
    assert_eq!(keys(&page), ["b", "a"]);
    let recent = replica.page(TOPIC, position(5), false, NO_LIMIT);
    assert_eq!(recent.from, 5, "later removals are known");
}

fn reports_what_a_snapshot_removes() {
    let mut replica = filled();
    let changed = replica.replace(vec![added(3, "a"), added(8, "d")], position(9));
    let changed: Vec<_> = changed
        .iter()
        .map(|stored| (&*stored.record.key, stored.record.value.is_some()))
        .collect();
    assert_eq!(changed, [("d", true), ("b", false), ("c", false)]);
    assert_eq!(replica.position().offset, 9);
}

fn refuses_records_after_a_gap() {
    let refused = filled().append(position(7), vec![added(7, "d")], 8);
    assert_eq!(refused, Err(replica::ReplicaError::Gap { from: 7, end: 5 }));
}

fn refuses_older_records() {
    let mut replica = filled();
    let refused = replica.append(position(1), vec![removed(1, "a")], 2);
    assert_eq!(
        refused,
        Err(replica::ReplicaError::Outdated { next: 2, end: 5 })
    );
    assert_eq!(
        keys(&replica.page(TOPIC, position(0), false, NO_LIMIT)),
        ["b", "a"]
    );
}

fn refuses_records_outside_their_page() {
    let refused = filled().append(position(5), vec![added(9, "d")], 6);
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
    let changed = replica
        .append(position(4), records, 6)
        .expect("the records overlap");
    assert_eq!(changed, [added(5, "d")]);
}

// A snapshot that is read in several calls may hold records from after its end; the records before them
// have yet to be read.
fn keeps_records_beyond_the_end_of_a_snapshot_to_itself() {
    let mut replica = replica::TopicReplica::new();
    replica.replace(vec![added(2, "a"), added(7, "b")], position(5));
    assert_eq!(
        keys(&replica.page(TOPIC, position(0), false, NO_LIMIT)),
        ["a"]
    );
    let records = vec![added(5, "c"), added(6, "b"), added(7, "b")];
    replica
        .append(position(5), records, 8)
        .expect("the records follow");
    assert_eq!(
        keys(&replica.page(TOPIC, position(0), false, NO_LIMIT)),
        ["a", "c", "b"]
    );
}

// Guards against a host that passes over the records of a restored store until the log has grown past
// the end of its copy.
fn is_replaced_by_a_later_era_that_ends_before_it() {
    let mut replica = filled();
    let changed = replica.replace(vec![added(1, "b"), stored(2, "d", Some("x"))], restored(3));
    let changed: Vec<_> = changed
        .iter()
        .map(|stored| (&*stored.record.key, stored.record.value.is_some()))
        .collect();
    assert_eq!(changed, [("d", true), ("a", false), ("c", false)]);
    assert_eq!(replica.position(), restored(3));
}

// Guards against a record that is taken for unchanged because it has the offset of a lost one.
fn tells_another_record_at_the_same_offset() {
    let mut replica = filled();
    let records = vec![stored(3, "a", Some("other")), added(1, "b")];
    let changed = replica.replace(records, restored(4));
    let changed: Vec<_> = changed.iter().map(|stored| &*stored.record.key).collect();
    assert_eq!(changed, ["a", "c"]);
}

// Guards against a copy of two eras: the offsets follow one another, the records do not.
fn refuses_records_of_another_era() {
    let mut replica = filled();
    let later = replica.append(restored(5), vec![added(5, "d")], 6);
    let expected = replica::ReplicaError::OtherEra { era: 1, known: 0 };
    assert_eq!(later, Err(expected));
    replica.replace(vec![added(1, "b")], restored(2));
    let earlier = replica.append(position(2), vec![added(2, "c")], 6);
    let expected = replica::ReplicaError::OtherEra { era: 0, known: 1 };
    assert_eq!(earlier, Err(expected));
    assert_eq!(replica.position(), restored(2));
}

// Guards against a late snapshot, or a slow host's copy, that takes a copy back.
fn ignores_an_outdated_snapshot() {
    let mut replica = filled();
    assert_eq!(replica.replace(vec![added(0, "a")], position(1)), []);
    assert_eq!(replica.position(), position(5));
    replica.replace(vec![added(1, "b")], restored(2));
    let late = replica.replace(vec![added(0, "a"), added(1, "b")], position(9));
    assert_eq!(late, []);
    assert_eq!(replica.position(), restored(2));
}

fn sends_everything_to_a_copy_of_an_earlier_era() {
    let mut replica = filled();
    replica.replace(vec![added(1, "b"), added(2, "d")], restored(3));
    for is_continued in [false, true] {
        let page = replica.page(TOPIC, position(2), is_continued, NO_LIMIT);
        assert_eq!(keys(&page), ["b", "d"]);
        assert_eq!((page.start(), page.end), (restored(0), 3));
    }
}

// Guards against routes that are sent twice to each host, or not at all after the store has lost them.
fn tells_which_records_it_holds() {
    let mut replica = filled();
    let known = added(3, "a").record;
    assert!(replica.holds(&known));
    assert!(!replica.holds(&stored(3, "a", Some("other")).record));
    replica.replace(vec![stored(1, "a", Some("older"))], restored(2));
    assert!(!replica.holds(&known));
}

// Guards against a host that understands none of the messages of an earlier build.
fn takes_messages_without_an_era_for_the_first() {
    let ends = serde_json::from_str::<topic::TopicEnds>(r#"{"ends":[4,0,0,0]}"#);
    let ends = ends.expect("earlier builds send this");
    assert_eq!(ends.end(topic::StoreTopic::Routes), position(4));
    let page = r#"{"topic":"servers","from":2,"records":[],"next":3,"end":3}"#;
    let page = serde_json::from_str::<replica::RecordPage>(page);
    let page = page.expect("earlier builds send this");
    assert_eq!(page.start(), position(2));
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
    is_replaced_by_a_later_era_that_ends_before_it,
    tells_another_record_at_the_same_offset,
    refuses_records_of_another_era,
    ignores_an_outdated_snapshot,
    sends_everything_to_a_copy_of_an_earlier_era,
    tells_which_records_it_holds,
    takes_messages_without_an_era_for_the_first,
}
