//! The events of a simulation in virtual time, in the order in which they are handled.

use std::collections;

use zinniastack::clock;

/// Events by the time at which they are due; of several at one time, the one that was pushed first comes first.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: collections::BTreeMap<(clock::MonoTime, u64), E>,
    // The number of the last event that was pushed.
    number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}

impl<E> EventQueue<E> {
    /// Creates a queue without events.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            events: collections::BTreeMap::new(),
            number: 0,
        }
    }

    /// Returns the number that the next event gets. Numbers count up from 1.
    #[must_use]
    pub const fn next_number(&self) -> u64 {
        self.number + 1
    }

    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: clock::MonoTime, event: E) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    /// Returns when the next event is due.
    #[must_use]
    pub fn next_at(&self) -> Option<clock::MonoTime> {
        let (at, _) = self.events.keys().next()?;
        Some(*at)
    }

    /// Keeps only the events of which `is_kept` is true.
    pub fn retain(&mut self, is_kept: impl Fn(&E) -> bool) {
        self.events.retain(|_, event| is_kept(event));
    }

    /// Takes the next event if it is due at `until` or before, with the time at which it is due.
    pub fn pop_due(&mut self, until: clock::MonoTime) -> Option<(clock::MonoTime, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
