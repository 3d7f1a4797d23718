//! Assignment tables that the store has lost: hosts that know them send them to those that do not.

use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::control;
use crate::edge::router::ports;
use crate::ownership::table_records;
use crate::serving::replica;
use crate::serving::status;
use crate::serving::topic;

impl<S, O, D> control::ControlThread<S, O, D>
where
    S: ports::StorePort,
    O: ports::OrderPort,
    D: ports::RecordDecoder,
{
    // The known table, for a host whose table is older, where the store has lost it.
    pub(super) fn lost_table(&self, request: &status::RecordRequest) -> Option<status::LostTable> {
        let version = request.table_version?;
        let state = self.state.borrow();
        let table = state.granter.lost_table().filter(|t| t.version > version)?;
        let assignments = topic::StoreTopic::Assignments;
        let position = state.replicas[assignments.index()].position();
        let mut pages = request.pages.iter();
        let has_copy = pages.any(|page| page.topic == assignments && page.start() == position);
        let records = if has_copy {
            state.assembly.changed_records(table)
        } else {
            table_records::TableAssembly::new().changed_records(table)
        };
        let records = (0..).zip(records.ok()?);
        let records = records.map(|(offset, record)| topic::LogRecord { offset, record });
        Some(status::LostTable {
            copy: has_copy.then_some(position),
            records: records.map(|r| replica::PageRecord::new(&r)).collect(),
        })
    }

    // Applies another host's table, which the store has lost.
    pub(super) fn apply_lost_table(&self, lost: status::LostTable) {
        let mut state = self.state.borrow_mut();
        let own = state.replicas[topic::StoreTopic::Assignments.index()].position();
        if lost.copy.is_some_and(|copy| copy != own) {
            return;
        }
        let records = lost.records.into_iter().map(topic::LogRecord::from);
        let records = records.map(|stored| stored.record);
        let table = match lost.copy {
            Some(_) => state.assembly.changed_table(records),
            None => table_records::TableAssembly::new().changed_table(records),
        };
        match table {
            Ok(Some(table)) => {
                state.granter.note_lost_table(table);
            }
            Ok(None) => {}
            Err(error) => {
                drop(state);
                self.note_rejected(topic::StoreTopic::Assignments, &error);
            }
        }
    }

    // How far this host has followed the log of the assignment table.
    pub(super) fn followed_table(&self) -> Option<status::FollowedTable> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let until = state.granter.followed_until()?;
        let age = now.since(until).as_millis();
        Some(status::FollowedTable {
            version: state.granter.table().version,
            age_millis: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }

    // Applies how far another host had followed the log when it answered a request sent at `asked`.
    pub(super) fn apply_followed(&self, followed: status::FollowedTable, asked: clock::MonoTime) {
        let age = time::Duration::from_millis(followed.age_millis);
        let granter = &mut self.state.borrow_mut().granter;
        granter.note_followed_elsewhere(followed.version, asked, age);
    }
}
