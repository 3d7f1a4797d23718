//! How old the records are by which this host serves, and what tells it so.

use std::time;

use crate::clock;
use crate::serving::cluster;
use crate::serving::confirmation;
use crate::serving::status;
use crate::serving::topic;
use crate::serving::upstream;

impl cluster::ClusterState {
    /// Records that this host has read a topic of the store up to its end, by a read sent at `sent`.
    pub fn note_topic_read(&mut self, topic: topic::StoreTopic, sent: clock::MonoTime) {
        self.confirmations.note_read(topic, sent);
    }

    /// Applies what a response to a request sent at `asked` says of this host's copies, which end at `own`.
    /// Records that the other host had not had confirmed for some time are not newer for that.
    pub fn note_confirmation(
        &mut self,
        response: &status::HostStatusUpdate,
        own: &topic::TopicEnds,
        asked: clock::MonoTime,
    ) {
        let Some(age) = response.records_age_millis else {
            return;
        };
        if confirmation::has_all(own, &response.ends) {
            let age = time::Duration::from_millis(age);
            self.note_records_newest(asked.saturating_sub(age));
        }
    }

    /// Records that this host's records of routes and servers were the newest at `at`.
    pub fn note_records_newest(&mut self, at: clock::MonoTime) {
        self.confirmations.note_newest(at);
    }

    /// Records how many bytes have crossed this host's link since it started.
    pub fn note_link_total(&mut self, bytes: u64, now: clock::MonoTime) {
        self.link.note_total(bytes, now);
    }

    /// Reports whether this host's link is full.
    #[must_use]
    pub fn is_link_full(&self, now: clock::MonoTime) -> bool {
        self.link.is_full(now)
    }

    /// Returns when the records of routes and servers were last known to be the newest. The store responds
    /// to a waiting read as soon as there are newer ones, so a host that reads it knows at any moment,
    /// unless its link is full. One that cannot reach the store knows all that it can know.
    #[must_use]
    pub fn records_confirmed_at(&self, now: clock::MonoTime) -> clock::MonoTime {
        let reads = self.record_source() == upstream::RecordSource::Store;
        if reads && !self.is_link_full(now) {
            return now;
        }
        self.confirmations.oldest()
    }

    /// Returns for how long this host's records may have been outdated, in milliseconds; `None` before it has
    /// all.
    #[must_use]
    pub fn records_age_millis(&self, now: clock::MonoTime) -> Option<u64> {
        let is_complete = self.routes.is_some() && self.servers_known;
        let age = now.since(self.records_confirmed_at(now)).as_millis();
        is_complete.then(|| u64::try_from(age).unwrap_or(u64::MAX))
    }
}
