//! The log of the assignment table in the simulated store, which can come back from an older copy.

use crate::grants::simulation;
use std::time;
use zinniastack::clock;
use zinniastack::ownership::assignment;
use zinniastack::ownership::granter;
use zinniastack::ownership::order;
use zinniastack::ownership::table_records;
use zinniastack::serving::topic;

/// An append on its way to the store.
#[derive(Clone, Debug)]
pub(crate) struct TableAppend {
    pub(crate) number: u64,
    pub(crate) table: assignment::AssignmentTable,
    pub(crate) records: Vec<topic::KeyedRecord>,
    pub(crate) at: u64,
}

/// The log, with the times at which its records were appended.
#[derive(Debug)]
pub(crate) struct StoredLog {
    pub(crate) era: u64,
    records: Vec<(clock::MonoTime, topic::LogRecord)>,
    first: Option<assignment::AssignmentTable>,
    // The owner of the group's partition, with the times of its changes.
    owners: Vec<(clock::MonoTime, Option<usize>)>,
}

impl StoredLog {
    pub(crate) const fn new() -> Self {
        Self {
            era: granter::era::FIRST_ERA,
            records: Vec::new(),
            first: None,
            owners: Vec::new(),
        }
    }

    pub(crate) fn end(&self) -> u64 {
        u64::try_from(self.records.len()).unwrap_or(u64::MAX)
    }

    // The table of the first append.
    pub(crate) fn first(&self) -> Option<assignment::AssignmentTable> {
        self.first.clone()
    }

    pub(crate) fn append(
        &mut self,
        append: TableAppend,
        now: clock::MonoTime,
    ) -> order::AppendOutcome {
        if append.at != self.end() {
            return order::AppendOutcome::Conflict;
        }
        self.first.get_or_insert(append.table);
        let records = (append.at..).zip(append.records);
        let records = records.map(|(offset, record)| (now, topic::LogRecord { offset, record }));
        self.records.extend(records);
        order::AppendOutcome::Appended {
            era: self.era,
            end: self.end(),
        }
    }

    fn records_from(&self, from: u64) -> impl Iterator<Item = &topic::LogRecord> {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(from);
        records.map(|(_, record)| record)
    }

    pub(crate) fn note_owner(&mut self, owner: Option<usize>, now: clock::MonoTime) {
        if self.owners.last().is_none_or(|(_, last)| *last != owner) {
            self.owners.push((now, owner));
        }
    }

    // Goes back to what the log was at `moment`. Returns the owner of the partition at that time.
    fn restore(&mut self, moment: clock::MonoTime) -> Option<usize> {
        self.era += 1;
        self.records.retain(|(appended, _)| *appended <= moment);
        self.owners.retain(|(since, _)| *since <= moment);
        self.owners.last().and_then(|(_, owner)| *owner)
    }
}

/// A host's copy of the log.
#[derive(Debug, Default)]
pub(crate) struct LogCopy {
    pub(crate) era: u64,
    pub(crate) end: u64,
    pub(crate) assembly: table_records::TableAssembly,
}

impl LogCopy {
    // Reads what the log holds behind the copy, or all of it where the store went back.
    pub(crate) fn read(&mut self, log: &StoredLog) -> Option<assignment::AssignmentTable> {
        if self.era != log.era {
            *self = Self {
                era: log.era,
                ..Self::default()
            };
        }
        for stored in log.records_from(self.end) {
            self.apply(stored);
        }
        self.end = log.end();
        self.assembly.table(self.end).ok().flatten()
    }

    // Adds the records of this host's own append.
    pub(crate) fn note_appended(&mut self, era: u64, append: &TableAppend) {
        if self.era != era || self.end != append.at {
            return;
        }
        for (offset, record) in (append.at..).zip(append.records.iter().cloned()) {
            self.apply(&topic::LogRecord { offset, record });
            self.end = offset + 1;
        }
    }

    fn apply(&mut self, stored: &topic::LogRecord) {
        let applied = self.assembly.apply(stored);
        applied.unwrap_or_else(|fault| unreachable!("{fault}"));
    }
}

impl simulation::GrantSimulation {
    /// Makes the store unavailable for `outage`; it comes back from a copy that was `age` old when it
    /// went away.
    pub fn restore_store(&mut self, age: time::Duration, outage: time::Duration) {
        let moment = self.now.saturating_sub(age);
        self.owner = self.log.restore(moment);
        self.lose_store(outage);
    }
}
