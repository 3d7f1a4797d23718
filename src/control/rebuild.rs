//! Rebuilding the state from the log after the host's position was lost. The host's former state
//! stays in force until the new one covers it.

use std::time;

use crate::clock;
use crate::control;
use crate::platform;
use crate::record;
use crate::replay;

/// The wait for each host before this one in the configuration, before this host appends its state
/// to a log that has lost records, in milliseconds.
pub const RESTORE_TURN_MS: u64 = 200;
/// The wait before a host appends its state again, in milliseconds.
pub const RESTORE_RETRY_MS: u64 = 2_000;

/// A replay of the log's present history.
pub(crate) struct LogRebuild {
    cause: replay::PositionCheck,
    replay: Option<replay::LogReplay>,
    assembly: replay::CheckpointAssembly,
    checkpoint_at: u64,
    scan_from: u64,
    restore_at: clock::MonoTime,
    restore_digest: Option<u64>,
    is_restored: bool,
    lacks_checkpoint: bool,
}

impl LogRebuild {
    fn new(cause: replay::PositionCheck, restore_at: clock::MonoTime) -> Self {
        Self {
            cause,
            replay: None,
            assembly: replay::CheckpointAssembly::new(),
            checkpoint_at: 0,
            scan_from: 0,
            restore_at,
            restore_digest: None,
            is_restored: false,
            lacks_checkpoint: false,
        }
    }

    pub(crate) fn state(&self) -> Option<&replay::ReplayState> {
        self.replay.as_ref().map(replay::LogReplay::state)
    }

    pub(crate) const fn scan_offset(&self) -> u64 {
        self.scan_from
    }

    // Reads a page; reports whether it was the last one.
    fn read(&mut self, former: &replay::LogReplay, page: &platform::LogPage) -> bool {
        if page.earliest == 0 && self.replay.is_none() {
            self.replay = Some(former.fork(replay::ReplayState::default()));
        }
        let Some(replay) = &self.replay else {
            return self.scan(former, page);
        };
        match replay.state().check_position(page) {
            replay::PositionCheck::Current => self.apply(page),
            replay::PositionCheck::Unread => page.next == replay.state().next_offset,
            replay::PositionCheck::Replaced => {
                self.restart(self.scan_from);
                false
            }
            replay::PositionCheck::Shorter | replay::PositionCheck::Trimmed => {
                self.restart(page.earliest);
                false
            }
        }
    }

    fn restart(&mut self, scan_from: u64) {
        self.replay = None;
        self.scan_from = scan_from;
        self.restore_digest = None;
        self.is_restored = false;
        self.lacks_checkpoint = false;
    }

    fn apply(&mut self, page: &platform::LogPage) -> bool {
        let Some(replay) = &mut self.replay else {
            return false;
        };
        for relayed in &page.records {
            if relayed.offset != replay.state().next_offset {
                continue;
            }
            if let replay::ReplayEffect::Restored { digest, .. } = replay.apply(&relayed.text) {
                self.is_restored |= self.restore_digest == Some(digest);
            }
        }
        replay.state().next_offset == page.next
    }

    // Looks for a checkpoint that covers the records that the log no longer retains. One that covers
    // records after its own first part was written in another history.
    fn scan(&mut self, former: &replay::LogReplay, page: &platform::LogPage) -> bool {
        if self.scan_from > page.next {
            self.scan_from = page.earliest;
            return false;
        }
        self.scan_from = self.scan_from.max(page.earliest);
        for relayed in &page.records {
            if relayed.offset != self.scan_from {
                continue;
            }
            self.scan_from += 1;
            let Ok(record) = record::LogRecord::decode(&relayed.text) else {
                continue;
            };
            let record::RecordBody::Checkpoint(body) = record.body else {
                continue;
            };
            if body.part == 0 {
                self.checkpoint_at = relayed.offset;
            }
            let state = self.assembly.add(&body);
            let covered = page.earliest..=self.checkpoint_at;
            if let Some(state) = state.filter(|state| covered.contains(&state.next_offset)) {
                self.replay = Some(former.fork(state));
                return false;
            }
        }
        if self.scan_from < page.next {
            return false;
        }
        self.continue_former(former, page);
        true
    }

    // Without a checkpoint in a log that has lost records, the former state stands for the records
    // that the log no longer retains.
    fn continue_former(&mut self, former: &replay::LogReplay, page: &platform::LogPage) {
        if self.cause == replay::PositionCheck::Trimmed || former.state().version == 0 {
            return;
        }
        let mut state = former.state().clone();
        state.next_offset = page.earliest;
        state.checkpoint_offset = page.earliest;
        state.last_record = None;
        self.replay = Some(former.fork(state));
        self.lacks_checkpoint = true;
    }
}

impl control::ControlState {
    pub(crate) fn begin_rebuild(
        &mut self,
        cause: replay::PositionCheck,
        page: &platform::LogPage,
        now: clock::MonoTime,
    ) {
        self.regressed_reads = 0;
        let hosts = &self.replay.state().configuration.host;
        let place = hosts.iter().position(|h| h.name == *self.host());
        let turn = place.unwrap_or(hosts.len()) as u64;
        let wait = time::Duration::from_millis(RESTORE_TURN_MS * turn);
        let mut rebuild = LogRebuild::new(cause, now + wait);
        rebuild.scan_from = page.earliest;
        self.rebuild = Some(rebuild);
        self.append_queue.drop_checkpoints();
        let is_restored = cause != replay::PositionCheck::Trimmed;
        self.append_queue.hold_patches(is_restored);
    }

    pub(crate) fn end_rebuild(&mut self) {
        self.rebuild = None;
        self.append_queue.hold_patches(false);
    }

    pub(crate) fn rebuild_from(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let Some(rebuild) = &mut self.rebuild else {
            return;
        };
        let is_last = rebuild.read(&self.replay, page);
        if !is_last {
            self.next_read_at = now;
            self.next_check_at = now;
            return;
        }
        let Some(state) = rebuild.state() else {
            return;
        };
        if rebuild.is_restored || state.covers(self.replay.state()) {
            let lacks_checkpoint = rebuild.lacks_checkpoint;
            let state = state.clone();
            self.finish_rebuild(state, now, actions);
            if lacks_checkpoint {
                self.append_checkpoint(now);
            }
        } else if now >= rebuild.restore_at && !self.append_queue.is_restoring() {
            self.append_restore(now);
        }
    }

    // Appends what this host knows and the log has lost.
    fn append_restore(&mut self, now: clock::MonoTime) {
        let parts = self.replay.to_restore();
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.restore_at = now + time::Duration::from_millis(RESTORE_RETRY_MS);
            rebuild.restore_digest = parts.first().map(|part| part.digest);
        }
        for body in parts {
            self.append_queue.push(record::RecordBody::Restore(body));
        }
    }

    fn finish_rebuild(
        &mut self,
        state: replay::ReplayState,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.end_rebuild();
        let former = self.replay.state().clone();
        self.adopt_state(state, now, actions);
        if former.version == 0 {
            return;
        }
        let verdicts = self.replay.state().verdicts.iter();
        let news = verdicts.filter(|entry| former.verdicts.iter().all(|old| old.id != entry.id));
        for entry in news {
            self.append_queue.drop_record(&entry.id);
            let event = control::ControlEvent::PatchDecided(entry.clone());
            actions.push(control::ControlAction::LogEvent(event));
        }
    }
}
