//! The queue of records that a host appends to the log: one at a time, each kept until the log has
//! accepted it.

use std::collections;
use std::time;

use crate::clock;
use crate::names;
use crate::record;
use crate::timing;

/// The maximum number of assignments in one record.
pub const MAX_BATCH_ENTRIES: usize = 2_000;

/// Records that wait to be appended to the log. An append whose response was lost is retried under
/// the same id, so a record may be in the log twice. The replay applies a patch once for each id; a
/// repeated assignment, term or settlement changes nothing.
#[derive(Debug)]
pub struct AppendQueue {
    host: names::HostName,
    incarnation: u64,
    counter: u64,
    queue: collections::VecDeque<record::LogRecord>,
    in_flight: bool,
    holds_patches: bool,
    retry_at: clock::MonoTime,
}

impl AppendQueue {
    /// Creates an empty queue. The ids that it assigns are unique to the process.
    #[must_use]
    pub const fn new(host: names::HostName, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            counter: 0,
            queue: collections::VecDeque::new(),
            in_flight: false,
            holds_patches: false,
            retry_at: clock::MonoTime::from_micros(0),
        }
    }

    /// Adds a record under a new id.
    pub fn push(&mut self, body: record::RecordBody) {
        if let Some(id) = self.next_id() {
            self.push_record(record::LogRecord::new(id, body));
        }
    }

    fn next_id(&mut self) -> Option<names::RecordId> {
        self.counter += 1;
        let id = format!("{}-{:x}-{}", self.host, self.incarnation, self.counter);
        names::RecordId::new(&id).ok()
    }

    /// Adds a record, unless one with the same id is in the queue.
    pub fn push_record(&mut self, record: record::LogRecord) {
        if self.queue.iter().all(|waiting| waiting.id != record.id) {
            self.queue.push_back(record);
        }
    }

    /// Adds assignments in batches of at most [`MAX_BATCH_ENTRIES`].
    pub fn push_assignments(&mut self, entries: &[record::AssignmentEntry]) {
        for batch in entries.chunks(MAX_BATCH_ENTRIES) {
            let entries = batch.to_vec();
            self.push(record::RecordBody::Assign(record::AssignBody { entries }));
        }
    }

    /// Returns the record to append now, if any. There is at most one append in flight.
    pub fn next_append(&mut self, now: clock::MonoTime) -> Option<record::LogRecord> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let held = self.holds_patches;
        let is_due =
            |r: &&record::LogRecord| !held || !matches!(r.body, record::RecordBody::Patch(_));
        let mut record = self.queue.iter().find(is_due)?.clone();
        record.append_id = self.next_id();
        self.in_flight = true;
        Some(record)
    }

    /// Sets whether patches wait in the queue while other records are appended.
    pub const fn hold_patches(&mut self, holds_patches: bool) {
        self.holds_patches = holds_patches;
    }

    /// Removes the checkpoints, because they cover records that the log has lost.
    pub fn drop_checkpoints(&mut self) {
        let is_checkpoint =
            |r: &record::LogRecord| matches!(r.body, record::RecordBody::Checkpoint(_));
        self.queue.retain(|record| !is_checkpoint(record));
    }

    /// Reports whether a part of a restored state is in the queue.
    #[must_use]
    pub fn is_restoring(&self) -> bool {
        let mut records = self.queue.iter();
        records.any(|record| matches!(record.body, record::RecordBody::Restore(_)))
    }

    /// Records that the log accepted the record.
    pub fn on_appended(&mut self, id: &names::RecordId) {
        self.in_flight = false;
        self.drop_record(id);
    }

    /// Records that an append failed or that its response was lost; it is retried after a pause.
    pub fn on_append_failed(&mut self, now: clock::MonoTime) {
        self.in_flight = false;
        self.retry_at = now + time::Duration::from_millis(timing::APPEND_RETRY_MS);
    }

    /// Removes a record that was abandoned or that was seen in the log.
    pub fn drop_record(&mut self, id: &names::RecordId) {
        self.queue.retain(|record| record.id != *id);
    }

    /// Returns the number of records in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Reports whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
