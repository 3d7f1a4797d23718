//! When a host's records of routes and servers were last known to be the newest.
//!
//! A response of the store, or of another host, that names no newer records confirms those that the host
//! has. It speaks for the time at which its request was sent: whatever was written later may be missing.

use crate::clock;
use crate::serving::topic;

/// The topics by whose records requests are sent.
const TOPICS: [topic::StoreTopic; 2] = [topic::StoreTopic::Routes, topic::StoreTopic::Servers];

/// When the records of each topic were last confirmed; the start of the clock where they never were.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmationTimes {
    // In the order of `TOPICS`.
    times: [clock::MonoTime; TOPICS.len()],
}

impl ConfirmationTimes {
    /// Creates the times of records that were never confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a read of a topic, sent at `sent`, that returned all newer records.
    pub fn note_read(&mut self, topic: topic::StoreTopic, sent: clock::MonoTime) {
        let position = TOPICS.iter().position(|known| *known == topic);
        if let Some(time) = position.map(|position| &mut self.times[position]) {
            *time = (*time).max(sent);
        }
    }

    /// Records that the records of all topics were the newest at `at`.
    pub fn note_newest(&mut self, at: clock::MonoTime) {
        for topic in TOPICS {
            self.note_read(topic, at);
        }
    }

    /// Returns when all records were last known to be the newest.
    #[must_use]
    pub fn oldest(&self) -> clock::MonoTime {
        let oldest = self.times.iter().min();
        oldest.copied().unwrap_or_default()
    }
}

/// Reports whether copies that end at `own` have all records of routes and servers that those ending at
/// `other` have.
#[must_use]
pub fn has_all(own: &topic::TopicEnds, other: &topic::TopicEnds) -> bool {
    let mut topics = TOPICS.into_iter();
    let has_routes = own.routes_version >= other.routes_version;
    has_routes && topics.all(|topic| own.end(topic) >= other.end(topic))
}
