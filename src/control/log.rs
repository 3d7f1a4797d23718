//! Reading and replaying the log, and writing checkpoints.

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
        if self.rebuild.is_some() {
            return;
        }
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
        let wait = time::Duration::from_secs(control::CHECKPOINT_TURN_SECONDS * turn);
        let enough_records =
            state.next_offset - state.checkpoint_offset >= control::CHECKPOINT_RECORDS * (turn + 1);
        let overdue = now.since(self.checkpoint_seen.at)
            >= time::Duration::from_secs(control::CHECKPOINT_SECONDS) + wait;
        if enough_records || overdue {
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
        if !self.read_in_flight && now >= self.next_read_at {
            self.read_in_flight = true;
            let from = self.read_offset(now);
            actions.push(control::ControlAction::ReadLog { from });
        }
        actions.extend(
            self.append_queue
                .next_append(now)
                .map(control::ControlAction::Append),
        );
    }

    /// Handles the result of a read of the log.
    pub fn on_log_page(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
    ) -> Vec<control::ControlAction> {
        let mut events = Vec::new();
        let mut actions = Vec::new();
        let version = self.replay.state().version;
        self.handle_page(page, now, &mut events);
        // The actions publish a new version's table to the traffic threads before the events
        // announce the version.
        if self.replay.state().version != version {
            self.refresh_routing(now, &mut actions);
        }
        actions.extend(events);
        actions
    }

    fn handle_page(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.note_read(now);
        if self.rebuild.is_some() {
            self.rebuild_from(page, now, actions);
            return;
        }
        let check = self.check_position(page, now, actions);
        match check {
            replay::PositionCheck::Current => self.apply_page(page, now, actions),
            replay::PositionCheck::Unread => {
                if page.next > self.replay.state().next_offset {
                    self.next_read_at = now;
                }
            }
            replay::PositionCheck::Shorter => self.on_regressed(page, now, actions),
            replay::PositionCheck::Trimmed | replay::PositionCheck::Replaced => {
                self.begin_rebuild(check, page, now);
                self.rebuild_from(page, now, actions);
            }
        }
    }

    fn apply_page(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.regressed_reads = 0;
        self.replay_records(&page.records, now, actions);
        if self.replay.state().next_offset < page.next {
            self.next_read_at = now;
        }
    }

    // A peer may have sent records that a read under way did not include, so one short page does not
    // show that the log has lost records.
    fn on_regressed(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        self.regressed_reads += 1;
        if self.regressed_reads < control::REGRESSED_READS {
            return;
        }
        let (known, next) = (self.replay.state().next_offset, page.next);
        actions.push(control::ControlAction::LogEvent(
            control::ControlEvent::LogRegressed { known, next },
        ));
        self.begin_rebuild(replay::PositionCheck::Shorter, page, now);
        self.rebuild_from(page, now, actions);
    }

    /// Handles a failed read of the log; it is retried after the usual interval.
    pub fn on_log_failed(&mut self, now: clock::MonoTime) {
        self.read_in_flight = false;
        self.next_read_at = now + time::Duration::from_millis(timing::LOG_INTERVAL_MS);
    }

    pub(crate) fn note_read(&mut self, now: clock::MonoTime) {
        self.read_in_flight = false;
        self.next_read_at = now + time::Duration::from_millis(timing::LOG_INTERVAL_MS);
        self.note_contact(now);
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
        self.recent_records.clear();
        actions.push(control::ControlAction::LogEvent(
            control::ControlEvent::StateAdopted { version },
        ));
        self.apply_configuration(now);
    }

    pub(crate) fn replay_records(
        &mut self,
        records: &[peer::RelayedRecord],
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let version = self.replay.state().version;
        for relayed in records {
            if relayed.offset != self.replay.state().next_offset {
                continue;
            }
            let effect = self.replay.apply(&relayed.text);
            self.note_effect(relayed.offset, effect, actions);
            self.recent_records.push_back(relayed.clone());
            if self.recent_records.len() > control::MAX_RELAY_RECORDS {
                self.recent_records.pop_front();
            }
        }
        if self.replay.state().version != version {
            self.apply_configuration(now);
        }
    }

    pub(crate) fn note_effect(
        &mut self,
        offset: u64,
        effect: replay::ReplayEffect,
        actions: &mut Vec<control::ControlAction>,
    ) {
        let event = match effect {
            replay::ReplayEffect::Patched(entry) => {
                self.append_queue.drop_record(&entry.id);
                Some(control::ControlEvent::PatchDecided(entry))
            }
            replay::ReplayEffect::Skipped(error) => {
                Some(control::ControlEvent::RecordSkipped { offset, error })
            }
            replay::ReplayEffect::Restored { omitted, .. } => {
                Some(control::ControlEvent::StateRestored { omitted })
            }
            _ => None,
        };
        actions.extend(event.map(control::ControlAction::LogEvent));
    }

    /// Handles the log's acceptance of a record, which is read back at once.
    pub fn on_appended(&mut self, id: &names::RecordId, now: clock::MonoTime) {
        self.append_queue.on_appended(id);
        self.next_read_at = now;
    }

    /// Handles an append that failed or whose response was lost.
    pub fn on_append_failed(&mut self, now: clock::MonoTime) {
        self.append_queue.on_append_failed(now);
    }

    /// Queues an operator's patch for the log. Its verdict follows as a
    /// [`control::ControlEvent::PatchDecided`] once the patch was read back.
    pub fn submit(&mut self, record: record::LogRecord) {
        self.append_queue.push_record(record);
    }

    /// Removes from the queue a patch that the log has not accepted in time. The patch may take
    /// effect nevertheless, if the response to its append was lost.
    pub fn abandon(&mut self, id: &names::RecordId) {
        self.append_queue.drop_record(id);
    }
}
