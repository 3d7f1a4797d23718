//! How a host follows the log: reads, the fold, checkpoints, and logs that lost their past.

use std::time;

use crate::clock;
use crate::control;
use crate::names;
use crate::peer;
use crate::platform;
use crate::record;
use crate::replay;
use crate::timing;

impl control::ControlState {
    pub(crate) fn tick_checkpoint(&mut self, now: clock::MonoTime) {
        let state = self.replay.state();
        if self.checkpoint_seen.count != state.checkpoints {
            let count = state.checkpoints;
            self.checkpoint_seen = control::LastCheckpoint { count, at: now };
        }
        let hosts = &state.configuration.host;
        let place = hosts.iter().position(|h| h.name == *self.host());
        let Some(place) = place else {
            return;
        };
        let count = hosts.len() as u64;
        let turn = (place as u64 + count - state.checkpoints % count) % count;
        let wait = time::Duration::from_secs(control::CHECKPOINT_STEP_SECONDS * turn);
        let many =
            state.next_offset - state.checkpoint_offset >= control::CHECKPOINT_RECORDS * (turn + 1);
        let old = now.since(self.checkpoint_seen.at)
            >= time::Duration::from_secs(control::CHECKPOINT_SECONDS) + wait;
        if many || old {
            self.append_checkpoint(now);
        }
    }

    pub(crate) fn append_checkpoint(&mut self, now: clock::MonoTime) {
        self.checkpoint_seen.at = now;
        let state = self.replay.state();
        let (version, covered) = (state.version, state.next_offset);
        for body in self.replay.to_checkpoint() {
            let id = format!(
                "checkpoint-{version}-{covered}-{}-{}",
                body.part,
                self.host()
            );
            if let Ok(id) = names::RecordId::new(&id) {
                let body = record::RecordBody::Checkpoint(body);
                self.append_queue
                    .push_record(record::LogRecord::new(id, body));
            }
        }
    }

    pub(crate) fn tick_log(
        &mut self,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        if !self.read_in_flight && now >= self.read_at {
            self.read_in_flight = true;
            let from = self.scan_from.unwrap_or(self.replay.state().next_offset);
            actions.push(control::ControlAction::ReadLog { from });
        }
        actions.extend(
            self.append_queue
                .next_append(now)
                .map(control::ControlAction::Append),
        );
    }

    /// Takes a stretch of the log.
    pub fn on_log_page(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        let mut notes = Vec::new();
        let mut actions = Vec::new();
        let version = self.replay.state().version;
        self.take_page(page, now, &mut notes);
        // Nobody is told of a version before the traffic threads have its table.
        if self.replay.state().version != version {
            self.refresh_routing(now, &mut actions);
        }
        actions.extend(notes);
        actions
    }

    fn take_page(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.note_read(now);
        let known = self.replay.state().next_offset;
        if page.next < known {
            self.on_regressed(page, known, actions);
            return;
        }
        self.regressed_reads = 0;
        if page.earliest > known {
            self.scan(page, now, actions);
            return;
        }
        self.scan_from = None;
        self.fold_records(&page.records, now, actions);
        if self.replay.state().next_offset < page.next {
            self.read_at = now;
        }
    }

    /// Notes that a read of the log failed.
    pub fn on_log_failed(&mut self, now: clock::MonoTime) {
        self.read_in_flight = false;
        self.read_at = now + time::Duration::from_millis(timing::LOG_INTERVAL_MS);
    }

    pub(crate) fn note_read(&mut self, now: clock::MonoTime) {
        self.read_in_flight = false;
        self.read_at = now + time::Duration::from_millis(timing::LOG_INTERVAL_MS);
        self.note_contact(now);
    }

    // The log has lost its past. What was folded stays; the new log is read from its start, and a
    // checkpoint makes it whole for hosts that start later.
    pub(crate) fn on_regressed(
        &mut self,
        page: &platform::LogPage,
        known: u64,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.regressed_reads += 1;
        if self.regressed_reads < control::REGRESSED_READS {
            return;
        }
        self.regressed_reads = 0;
        let next = page.next;
        actions.push(control::ControlAction::LogEvent(
            control::ControlEvent::LogRegressed { known, next },
        ));
        let mut state = self.replay.state().clone();
        state.next_offset = page.earliest;
        state.checkpoint_offset = page.earliest;
        self.replay.adopt(state);
        self.tail.clear();
        for body in self.replay.to_checkpoint() {
            self.append_queue.push(record::RecordBody::Checkpoint(body));
        }
    }

    // Records between the host's position and the log's start are gone, so a checkpoint is needed.
    pub(crate) fn scan(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let mut from = self.scan_from.unwrap_or(page.earliest).max(page.earliest);
        for passed in &page.records {
            from = passed.offset + 1;
            let Ok(record) = record::LogRecord::decode(&passed.text) else {
                continue;
            };
            let record::RecordBody::Checkpoint(body) = record.body else {
                continue;
            };
            let state = self.join.add(&body);
            let usable = state.filter(|state| state.next_offset >= page.earliest);
            if let Some(state) = usable {
                self.scan_from = None;
                self.adopt_state(state, now, actions);
                self.read_at = now;
                return;
            }
        }
        self.scan_from = Some(from);
        if from < page.next {
            self.read_at = now;
        }
    }

    pub(crate) fn adopt_state(
        &mut self,
        state: replay::ReplayState,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        if state.version < self.replay.state().version {
            return;
        }
        let version = state.version;
        self.replay.adopt(state);
        self.tail.clear();
        actions.push(control::ControlAction::LogEvent(
            control::ControlEvent::StateAdopted { version },
        ));
        self.follow_configuration(now);
    }

    pub(crate) fn fold_records(
        &mut self,
        records: &[peer::RelayedRecord],
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let version = self.replay.state().version;
        for passed in records {
            if passed.offset != self.replay.state().next_offset {
                continue;
            }
            let effect = self.replay.apply(&passed.text);
            self.note_effect(passed.offset, effect, actions);
            self.tail.push_back(passed.clone());
            if self.tail.len() > control::TAIL_RECORDS {
                self.tail.pop_front();
            }
        }
        if self.replay.state().version != version {
            self.follow_configuration(now);
        }
    }

    pub(crate) fn note_effect(
        &mut self,
        offset: u64,
        effect: replay::ReplayEffect,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let note = match effect {
            replay::ReplayEffect::Patched(entry) => {
                self.append_queue.drop_record(&entry.id);
                Some(control::ControlEvent::PatchDecided(entry))
            }
            replay::ReplayEffect::Skipped(error) => {
                Some(control::ControlEvent::RecordSkipped { offset, error })
            }
            _ => None,
        };
        actions.extend(note.map(control::ControlAction::LogEvent));
    }

    /// Notes that the log took a record.
    pub fn on_appended(&mut self, id: &names::RecordId, now: clock::MonoTime) {
        self.append_queue.on_appended(id);
        self.read_at = now;
    }

    /// Notes that an append failed or that its answer was lost.
    pub fn on_append_failed(&mut self, now: clock::MonoTime) {
        self.append_queue.on_append_failed(now);
    }

    /// Takes an operator's patch; its verdict comes as a note once the log has it.
    pub fn submit(&mut self, record: record::LogRecord) {
        self.append_queue.push_record(record);
    }

    /// Gives up a patch that the log has not taken in time. It may still take effect.
    pub fn abandon(&mut self, id: &names::RecordId) {
        self.append_queue.drop_record(id);
    }
}
