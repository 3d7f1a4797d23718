//! Tests the assignment table as keyed records: what is appended for a change, and what a reader makes
//! of it.

use zinnia_lab::fixtures;
use zinniastack::ownership::assignment;
use zinniastack::ownership::table_records;
use zinniastack::serving::topic;

/// What one record of the store may hold, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;

fn range(first: u16, last: u16, fence: u64) -> assignment::RangeEntry {
    assignment::RangeEntry {
        first,
        last,
        fence,
        holder: assignment::KeyHolder {
            life: assignment::ServerIncarnation {
                server: fixtures::name(&format!("i-{fence:010}")),
                born: 1_786_938_331_092,
            },
            address: ([10, 2, 64, 105], 8_008).into(),
        },
        formers: Vec::new(),
    }
}

// A table of one service with `count` ranges of equal size.
fn table(count: u16) -> assignment::AssignmentTable {
    let keys = u16::MAX / count;
    let ranges = (0..count).map(|number| {
        let first = number * keys;
        range(first, first + keys - 1, u64::from(number) + 1)
    });
    assignment::AssignmentTable {
        term: 3,
        next_fence: u64::from(count) + 1,
        services: [(fixtures::name("stock"), ranges.collect())].into(),
        ..assignment::AssignmentTable::default()
    }
}

/// The log of the table, and a reader of it.
#[derive(Default)]
struct TableLog {
    assembly: table_records::TableAssembly,
    end: u64,
}

impl TableLog {
    // Appends a change, and reads it; returns its keys.
    fn append(&mut self, table: &assignment::AssignmentTable) -> Vec<String> {
        let records = self.records(table);
        let keys = records
            .iter()
            .map(|record| record.key.to_string())
            .collect();
        for record in records {
            self.read(record);
        }
        keys
    }

    fn records(&self, table: &assignment::AssignmentTable) -> Vec<topic::KeyedRecord> {
        let records = self.assembly.changed_records(table);
        records.expect("the table is encoded")
    }

    fn read(&mut self, record: topic::KeyedRecord) {
        let offset = self.end;
        self.end += 1;
        let stored = topic::LogRecord { offset, record };
        self.assembly.apply(&stored).expect("the record is valid");
    }

    fn table(&self) -> Option<assignment::AssignmentTable> {
        self.assembly.table(self.end).expect("the table is sound")
    }
}

fn reads_what_was_appended() {
    let mut log = TableLog::default();
    assert_eq!(log.table(), None);
    log.append(&table(546));
    assert_eq!(log.table(), Some(table(546)));
}

// Guards against appends that grow with the table: one with 546 ranges took 80 KB for each change, and
// every host read it.
fn appends_only_what_changed() {
    let mut log = TableLog::default();
    log.append(&table(546));
    let mut moved = table(546);
    let ranges = moved
        .services
        .values_mut()
        .next()
        .expect("there is a service");
    ranges[100].fence = 1_000;
    moved.next_fence = 1_001;
    let keys = log.append(&moved);
    assert_eq!(keys.len(), 2, "one part and the header, not {keys:?}");
    assert_eq!(
        keys.last().map(String::as_str),
        Some(table_records::HEADER_KEY)
    );
    assert_eq!(log.table(), Some(moved));
    let claim = assignment::AssignmentTable {
        term: 4,
        ..log.table().expect("there is a table")
    };
    assert_eq!(log.append(&claim), [table_records::HEADER_KEY]);
    assert_eq!(log.table(), Some(claim));
}

// The table of the largest site has thousands of ranges; one record holds some 1,800.
fn no_record_exceeds_the_stores_limit() {
    let log = TableLog::default();
    for record in log.records(&table(6_000)) {
        let size = record.value.map_or(0, |value| value.len());
        assert!(size <= MAX_RECORD_BYTES, "{} has {size} bytes", record.key);
    }
}

// Guards against a successor that claims the granter role by half a plan.
fn makes_no_table_of_half_an_append() {
    let mut log = TableLog::default();
    log.append(&table(10));
    let mut records = log.records(&table(20));
    let header = records.pop().expect("there is a header");
    for record in records {
        log.read(record);
        assert_eq!(log.table(), None);
    }
    log.read(header);
    assert_eq!(log.table(), Some(table(20)));
}

fn removes_parts_without_ranges() {
    let mut log = TableLog::default();
    log.append(&table(546));
    let less = assignment::AssignmentTable {
        services: [(fixtures::name("stock"), vec![range(0, u16::MAX, 1)])].into(),
        ..table(546)
    };
    log.append(&less);
    assert_eq!(log.table(), Some(less));
}

fn adopts_the_table_of_an_earlier_build() {
    let mut log = TableLog::default();
    let value = serde_json::to_vec(&table(40)).expect("the table is encoded");
    log.read(topic::KeyedRecord {
        key: table_records::WHOLE_TABLE_KEY.into(),
        value: Some(value.into()),
    });
    assert_eq!(log.table(), Some(table(40)));
    let claim = assignment::AssignmentTable {
        term: 4,
        ..table(40)
    };
    log.append(&claim);
    assert_eq!(log.table(), Some(claim));
    assert!(!log.assembly.is_mixed());
}

fn detects_a_host_of_an_earlier_build() {
    let mut log = TableLog::default();
    log.append(&table(40));
    let value = serde_json::to_vec(&table(41)).expect("the table is encoded");
    log.read(topic::KeyedRecord {
        key: table_records::WHOLE_TABLE_KEY.into(),
        value: Some(value.into()),
    });
    assert!(log.assembly.is_mixed());
}

fn refuses_what_is_no_part() {
    let mut assembly = table_records::TableAssembly::new();
    for (key, value) in [
        ("other", "[]"),
        ("stock/0", "[{}]"),
        ("header", "{\"term\":1}"),
    ] {
        let record = topic::KeyedRecord {
            key: key.into(),
            value: Some(bytes::Bytes::from(value)),
        };
        let refused = assembly.apply(&topic::LogRecord { offset: 0, record });
        assert!(refused.is_err(), "{key} was accepted");
    }
}

fn refuses_ranges_that_overlap() {
    let mut log = TableLog::default();
    let overlapping = assignment::AssignmentTable {
        next_fence: 3,
        services: [(
            fixtures::name("stock"),
            vec![range(0, 9, 1), range(5, 20, 2)],
        )]
        .into(),
        ..assignment::AssignmentTable::default()
    };
    log.append(&overlapping);
    assert!(log.assembly.table(log.end).is_err());
}

macro_rules! table_record_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                super::$name();
            })*
        }
    };
}

table_record_cases! {
    reads_what_was_appended,
    appends_only_what_changed,
    no_record_exceeds_the_stores_limit,
    makes_no_table_of_half_an_append,
    removes_parts_without_ranges,
    adopts_the_table_of_an_earlier_build,
    detects_a_host_of_an_earlier_build,
    refuses_what_is_no_part,
    refuses_ranges_that_overlap,
}
