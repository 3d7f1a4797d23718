//! Whether a host's position still belongs to the history of the log.

use std::time;

use crate::clock;
use crate::control;
use crate::platform;
use crate::replay;

/// The largest record that every read of the log includes in order to check the position, in bytes.
/// A larger one is included when the log has grown, and every [`CHECK_INTERVAL_MS`].
pub const MAX_OVERLAP_BYTES: u64 = 4_096;
/// The interval between two checks of a position after a large record, in milliseconds.
pub const CHECK_INTERVAL_MS: u64 = 5_000;

impl control::ControlState {
    // Returns the offset to read from: that of the last applied record, to check the position, or
    // the one after it while the record is large and the check is not due.
    pub(crate) fn read_offset(&self, now: clock::MonoTime) -> u64 {
        let state = match &self.rebuild {
            None => self.replay.state(),
            Some(rebuild) => match rebuild.state() {
                None => return rebuild.scan_offset(),
                Some(state) => state,
            },
        };
        let Some((last, mark)) = state.next_offset.checked_sub(1).zip(state.last_record) else {
            return state.next_offset;
        };
        let is_due = mark.bytes <= MAX_OVERLAP_BYTES || now >= self.next_check_at;
        if is_due { last } else { state.next_offset }
    }

    // Compares the position with a page, and reports each change to a page that disagrees.
    pub(crate) fn check_position(
        &mut self,
        page: &platform::LogPage,
        now: clock::MonoTime,
        actions: &mut Vec<control::ControlAction>,
    ) -> replay::PositionCheck {
        let known = self.replay.state().next_offset;
        let check = self.replay.state().check_position(page);
        match check {
            replay::PositionCheck::Current => {
                let interval = time::Duration::from_millis(CHECK_INTERVAL_MS);
                self.next_check_at = now + interval;
            }
            replay::PositionCheck::Unread => {
                if page.next > known {
                    self.next_check_at = now;
                }
                return check;
            }
            _ if check != self.last_check => {
                let event = control::ControlEvent::PositionLost {
                    check,
                    known,
                    earliest: page.earliest,
                    next: page.next,
                };
                actions.push(control::ControlAction::LogEvent(event));
            }
            _ => {}
        }
        self.last_check = check;
        check
    }
}
