//! The records that a host has to append: kept until the log has taken them, sent one at a time.

use std::collections;
use std::time;

use crate::clock;
use crate::names;
use crate::record;
use crate::timing;

/// How many assignments one record holds at the most.
pub const MAX_BATCH_ENTRIES: usize = 2_000;

/// Records on their way into the log. A record whose answer was lost is sent again under the same
/// id, which the fold counts once.
#[derive(Debug)]
pub struct AppendQueue {
    host: names::HostName,
    incarnation: u64,
    counter: u64,
    queue: collections::VecDeque<record::LogRecord>,
    in_flight: bool,
    retry_at: clock::MonoTime,
}

impl AppendQueue {
    /// Creates an empty journal whose ids are unique to the process.
    #[must_use]
    pub const fn new(host: names::HostName, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            counter: 0,
            queue: collections::VecDeque::new(),
            in_flight: false,
            retry_at: clock::MonoTime::from_micros(0),
        }
    }

    /// Adds a record under an id of the journal's own.
    pub fn push(&mut self, body: record::RecordBody) {
        self.counter += 1;
        let id = format!("{}-{:x}-{}", self.host, self.incarnation, self.counter);
        if let Ok(id) = names::RecordId::new(&id) {
            self.push_record(record::LogRecord::new(id, body));
        }
    }

    /// Adds a record, unless one of that id waits already.
    pub fn push_record(&mut self, record: record::LogRecord) {
        if self.queue.iter().all(|waiting| waiting.id != record.id) {
            self.queue.push_back(record);
        }
    }

    /// Adds assignments in batches.
    pub fn push_assignments(&mut self, entries: &[record::AssignmentEntry]) {
        for batch in entries.chunks(MAX_BATCH_ENTRIES) {
            let entries = batch.to_vec();
            self.push(record::RecordBody::Assign(record::AssignBody { entries }));
        }
    }

    /// Returns the record to send now, if any.
    pub fn next_append(&mut self, now: clock::MonoTime) -> Option<record::LogRecord> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let record = self.queue.front()?.clone();
        self.in_flight = true;
        Some(record)
    }

    /// Notes that the log took the record.
    pub fn on_appended(&mut self, id: &names::RecordId) {
        self.in_flight = false;
        self.drop_record(id);
    }

    /// Notes that an append failed or that its answer was lost.
    pub fn on_append_failed(&mut self, now: clock::MonoTime) {
        self.in_flight = false;
        self.retry_at = now + time::Duration::from_millis(timing::APPEND_RETRY_MS);
    }

    /// Gives up a record, or notes that it was seen in the log.
    pub fn drop_record(&mut self, id: &names::RecordId) {
        self.queue.retain(|record| record.id != *id);
    }

    /// Returns the number of records that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Reports whether no record waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
