//! A stand-in for the platform's store: keyed logs, conditional appends and groups. It keeps the time
//! of each change, so that it can come back from an older copy.

mod calls;

use std::collections;
use std::time;

pub use calls::serve;

/// The era of a store that never came back from a copy.
pub const FIRST_ERA: u64 = 1;

/// One record with a key.
#[derive(Clone, Debug)]
struct StoredRecord {
    offset: u64,
    key: String,
    value: Vec<u8>,
    acknowledged: time::Instant,
}

/// A deletion of all records before an offset.
#[derive(Clone, Copy, Debug)]
struct LogTrim {
    first: u64,
    at: time::Instant,
}

#[derive(Debug, Default)]
struct TopicState {
    // All records, also those that were trimmed.
    records: Vec<StoredRecord>,
    trims: Vec<LogTrim>,
    newest: collections::BTreeMap<String, StoredRecord>,
}

impl TopicState {
    fn end(&self) -> u64 {
        self.records.last().map_or(0, |record| record.offset + 1)
    }

    fn first(&self) -> u64 {
        self.trims.last().map_or(0, |trim| trim.first)
    }

    fn append(&mut self, key: &str, value: &[u8]) -> u64 {
        let record = StoredRecord {
            offset: self.end(),
            key: key.to_owned(),
            value: value.to_vec(),
            acknowledged: time::Instant::now(),
        };
        self.note_newest(&record);
        self.records.push(record);
        self.end() - 1
    }

    fn note_newest(&mut self, record: &StoredRecord) {
        if record.value.is_empty() {
            self.newest.remove(&record.key);
        } else {
            self.newest.insert(record.key.clone(), record.clone());
        }
    }

    // Returns the records from the offset `from` on.
    fn read(&self, from: u64) -> impl Iterator<Item = &StoredRecord> {
        let records = self.records.iter();
        records.filter(move |record| record.offset >= from)
    }

    fn restore(&mut self, copied: time::Instant) {
        self.records.retain(|record| record.acknowledged <= copied);
        self.trims.retain(|trim| trim.at <= copied);
        self.newest.clear();
        for record in self.records.clone() {
            self.note_newest(&record);
        }
    }
}

/// The members of the group of hosts that may grant, and which of them has the partition.
#[derive(Clone, Debug, Default)]
struct GroupState {
    members: collections::BTreeMap<String, time::Instant>,
    owner: Option<String>,
    generation: u64,
}

impl GroupState {
    // Adds or renews a member; returns whether it owns the partition.
    fn join(&mut self, member: &str, ttl: time::Duration) -> bool {
        let now = time::Instant::now();
        self.members.insert(member.to_owned(), now + ttl);
        self.members.retain(|_, until| now < *until);
        let lapsed = |owner: &String| !self.members.contains_key(owner);
        if self.owner.as_ref().is_none_or(lapsed) {
            self.generation += 1;
            self.owner = self.members.keys().next().cloned();
        }
        self.owner.as_deref() == Some(member)
    }

    // The partition goes to another member if there is one.
    fn rebalance(&mut self) {
        self.generation += 1;
        let next = self
            .members
            .keys()
            .find(|member| Some(*member) != self.owner.as_ref());
        self.owner = next.cloned().or(self.owner.take());
    }
}

/// How calls fail while the store is away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutageKind {
    /// They are refused with 503.
    #[default]
    Refuse,
    /// They get no response; their connections are closed when the store is back.
    Silence,
    /// Their connections are closed at once.
    Close,
}

/// The faults injected into the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether the store is away.
    pub is_down: bool,
    /// How calls fail meanwhile.
    pub outage: OutageKind,
    /// Whether reads that wait for records when the store goes away go on waiting until it is back.
    pub keeps_waiting_reads: bool,
    /// The number of coming appends that are carried out but answered with 504.
    pub lose_append_responses: u32,
}

/// The state of the store.
#[derive(Debug)]
pub struct StoreState {
    era: u64,
    topics: collections::BTreeMap<String, TopicState>,
    group: GroupState,
    // The group after each change, oldest first.
    groups: Vec<(time::Instant, GroupState)>,
    /// The injected faults.
    pub faults: StoreFaults,
}

impl StoreState {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self {
            era: FIRST_ERA,
            topics: collections::BTreeMap::new(),
            group: GroupState::default(),
            groups: Vec::new(),
            faults: StoreFaults::default(),
        }
    }

    /// Appends a record and returns its offset. An empty value removes the key.
    pub fn append(&mut self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.append(key, value)
    }

    /// Returns the offset at which a topic ends.
    #[must_use]
    pub fn end(&self, topic: &str) -> u64 {
        self.topics.get(topic).map_or(0, TopicState::end)
    }

    /// Returns the keys of a topic that have a value.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let newest = self.topics.get(topic).map(|topic| topic.newest.keys());
        newest.into_iter().flatten().cloned().collect()
    }

    /// Drops all records but the newest of each key.
    pub fn compact(&mut self) {
        let at = time::Instant::now();
        for topic in self.topics.values_mut() {
            let first = topic.end();
            topic.trims.push(LogTrim { first, at });
        }
    }

    /// Rebalances the group: its partition goes to another member if there is one.
    pub fn rebalance(&mut self) {
        self.group.rebalance();
        self.note_group();
    }

    /// Comes back from the copy that was made at `copied`: all that was written since is gone, and
    /// its offsets are given out again.
    pub fn restore(&mut self, copied: time::Instant) {
        self.era += 1;
        for topic in self.topics.values_mut() {
            topic.restore(copied);
        }
        self.groups.retain(|(at, _)| *at <= copied);
        let group = self.groups.last().map(|(_, group)| group.clone());
        self.group = group.unwrap_or_default();
    }

    fn join(&mut self, member: &str, ttl: time::Duration) -> bool {
        let owns = self.group.join(member, ttl);
        self.note_group();
        owns
    }

    fn leave(&mut self, member: &str) {
        self.group.members.remove(member);
        self.note_group();
    }

    fn note_group(&mut self) {
        let group = self.group.clone();
        self.groups.push((time::Instant::now(), group));
    }
}

impl Default for StoreState {
    fn default() -> Self {
        Self::new()
    }
}
