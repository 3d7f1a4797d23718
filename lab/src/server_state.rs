//! The state of a stand-in for a backend server: promised term, lease, grants, slots and journal.

use std::collections;
use std::time;

use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::fence;
use zinniastack::names;

/// The settings of a server.
#[derive(Clone, Debug)]
pub struct ServerSetup {
    /// Whether it checks terms, leases and fences.
    pub fences: configuration::FenceMode,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The random number of the server's process.
    pub incarnation: u64,
}

/// A deliberate bug. Tests use it to show that the checker detects violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMutation {
    /// No bug.
    #[default]
    None,
    /// A lease counts from the receipt of its order instead of from the token.
    CountsFromReceipt,
    /// Orders of lower terms and older witness sets are accepted.
    IgnoresTerms,
    /// Acknowledgements of other terms are not reported. The reported uptime is long, because a
    /// claimant uses the uptime where no acknowledgement is reported.
    HidesAcks,
    /// A restarted process reports a long uptime.
    HidesRestart,
}

/// One request that the server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JournalEntry {
    /// The request's id.
    pub id: names::RequestId,
    /// The shard that it was sent for.
    pub shard: names::ShardId,
    /// The feature that the request was made for.
    pub feature: Option<names::FeatureName>,
}

/// A request as the server receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerWork {
    /// The journal entry of the request.
    pub entry: JournalEntry,
    /// The fence under which it was routed.
    pub fence: fence::GrantFence,
    /// The time left until the deadline when the request was sent, in milliseconds.
    pub left_ms: u64,
}

/// The state of a stand-in for a backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    setup: ServerSetup,
    started: clock::MonoTime,
    promised: Option<fence::TermId>,
    acked_at: Option<clock::MonoTime>,
    previous_ack_at: Option<clock::MonoTime>,
    sequence: u64,
    witness_set: u64,
    version: u64,
    lease_until: clock::MonoTime,
    revision: Option<u64>,
    held: collections::BTreeMap<names::ShardId, fence::GrantFence>,
    running: collections::BTreeMap<names::ShardId, u32>,
    finished: u64,
    journal: Vec<JournalEntry>,
    mutation: ServerMutation,
    /// Whether the server asks for its shards to be moved away.
    pub draining: bool,
}

impl ServerState {
    /// Creates the state of a server that has just started.
    #[must_use]
    pub const fn new(setup: ServerSetup, now: clock::MonoTime) -> Self {
        Self {
            setup,
            started: now,
            promised: None,
            acked_at: None,
            previous_ack_at: None,
            sequence: 0,
            witness_set: 0,
            version: 0,
            lease_until: clock::MonoTime::from_micros(0),
            revision: None,
            held: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            finished: 0,
            journal: Vec::new(),
            mutation: ServerMutation::None,
            draining: false,
        }
    }

    /// Sets the server's mutation.
    #[must_use]
    pub const fn with_mutation(mut self, mutation: ServerMutation) -> Self {
        self.mutation = mutation;
        self
    }

    /// Returns the requests that the server ran, in order of their start.
    #[must_use]
    pub fn journal(&self) -> &[JournalEntry] {
        &self.journal
    }

    /// Reports whether the server checks terms, leases and fences.
    #[must_use]
    pub fn is_checked(&self) -> bool {
        self.setup.fences == configuration::FenceMode::Checked
    }

    /// Reports whether the server has an unexpired lease.
    #[must_use]
    pub fn has_lease(&self, now: clock::MonoTime) -> bool {
        now < self.lease_until
    }

    /// Returns the shards that the server owns now; none without a lease.
    pub fn owned(&self, now: clock::MonoTime) -> impl Iterator<Item = &names::ShardId> {
        let live = self.has_lease(now);
        self.held.keys().filter(move |_| live)
    }

    /// Returns the fence under which the server holds a shard.
    #[must_use]
    pub fn fence_of(&self, shard: &names::ShardId) -> Option<&fence::GrantFence> {
        self.held.get(shard)
    }

    /// Handles a claim.
    pub fn claim(
        &mut self,
        order: &contract::ClaimOrder,
        now: clock::MonoTime,
    ) -> contract::ClaimReply {
        let accepted = self.accepts(&order.term, order.witness_set);
        let same = self.promised.as_ref() == Some(&order.term);
        let other_ack = if same {
            self.previous_ack_at
        } else {
            self.acked_at
        };
        let ack_age_ms = match self.mutation {
            ServerMutation::HidesAcks => None,
            _ => other_ack.map(|at| millis(now.since(at))),
        };
        let lease_left_ms = millis(self.lease_until.since(now));
        if accepted && !order.probe {
            self.promise(&order.term, now);
            self.record_versions(order.witness_set, order.version);
        }
        contract::ClaimReply {
            accepted,
            ack_age_ms,
            lease_left_ms,
            held: self.grants(),
            status: self.status(now),
        }
    }

    fn accepts(&self, term: &fence::TermId, witness_set: u64) -> bool {
        let higher = self.promised.as_ref().is_none_or(|known| term >= known);
        let obeys_all = !self.is_checked() || self.mutation == ServerMutation::IgnoresTerms;
        obeys_all || (higher && witness_set >= self.witness_set)
    }

    fn promise(&mut self, term: &fence::TermId, now: clock::MonoTime) {
        if self.promised.as_ref() != Some(term) {
            self.previous_ack_at = self.acked_at;
            self.promised = Some(term.clone());
            self.sequence = 0;
            self.revision = None;
        }
        self.acked_at = Some(now);
    }

    fn record_versions(&mut self, witness_set: u64, version: u64) {
        self.witness_set = self.witness_set.max(witness_set);
        self.version = self.version.max(version);
    }

    /// Handles a lease order.
    pub fn lease(
        &mut self,
        order: &contract::LeaseOrder,
        now: clock::MonoTime,
    ) -> contract::LeaseReply {
        let verdict = self.apply_order(order, now);
        contract::LeaseReply {
            verdict,
            status: self.status(now),
        }
    }

    fn apply_order(
        &mut self,
        order: &contract::LeaseOrder,
        now: clock::MonoTime,
    ) -> contract::LeaseVerdict {
        if !self.accepts(&order.term, order.witness_set) {
            return contract::LeaseVerdict::Refused;
        }
        let same = self.promised.as_ref() == Some(&order.term);
        if self.is_checked() && same && order.sequence <= self.sequence {
            return contract::LeaseVerdict::Refused;
        }
        self.promise(&order.term, now);
        self.record_versions(order.witness_set, order.version);
        self.sequence = order.sequence;
        let current = order
            .token
            .filter(|token| token.incarnation == self.setup.incarnation);
        let Some(token) = current else {
            return contract::LeaseVerdict::NeedToken;
        };
        let issued = match self.mutation {
            ServerMutation::CountsFromReceipt => now,
            _ => clock::MonoTime::from_micros(token.clock_us),
        };
        let until = issued + time::Duration::from_millis(order.lease_ms);
        if until <= now {
            return contract::LeaseVerdict::NeedToken;
        }
        if let Some(grants) = &order.grants {
            let pairs = grants.iter().map(|g| (g.shard.clone(), g.fence.clone()));
            self.held = pairs.collect();
            self.revision = Some(order.revision);
        }
        if self.revision != Some(order.revision) {
            return contract::LeaseVerdict::NeedGrants;
        }
        self.lease_until = self.lease_until.max(until);
        contract::LeaseVerdict::Renewed
    }

    fn grants(&self) -> Vec<contract::ShardGrant> {
        let pairs = self.held.iter();
        let grants = pairs.map(|(shard, fence)| contract::ShardGrant {
            shard: shard.clone(),
            fence: fence.clone(),
        });
        grants.collect()
    }

    fn status(&self, now: clock::MonoTime) -> contract::ServerStatus {
        let running = self.running.iter().filter(|(_, count)| **count > 0);
        let lost = running.filter(|(shard, _)| !self.held.contains_key(*shard));
        contract::ServerStatus {
            token: contract::LeaseToken {
                incarnation: self.setup.incarnation,
                clock_us: now.as_micros(),
            },
            up_ms: match self.mutation {
                ServerMutation::HidesRestart | ServerMutation::HidesAcks => u64::MAX / 1_000_000,
                _ => millis(now.since(self.started)),
            },
            promised: self.promised.clone(),
            witness_set: self.witness_set,
            version: self.version,
            releasing: lost.map(|(shard, _)| shard.clone()).collect(),
            draining: self.draining,
            load: contract::LoadReport {
                running: self.running.values().sum(),
                finished: self.finished,
            },
        }
    }

    /// Starts to run a request.
    ///
    /// # Errors
    /// Fails if the server refuses the request, of which no part has run then.
    pub fn begin(
        &mut self,
        work: &ServerWork,
        now: clock::MonoTime,
    ) -> Result<(), contract::ServerRefusal> {
        if self.is_checked() {
            if !self.has_lease(now) {
                return Err(contract::ServerRefusal::LeaseLapsed);
            }
            if self.held.get(&work.entry.shard) != Some(&work.fence) {
                return Err(contract::ServerRefusal::WrongFence);
            }
        }
        if work.left_ms == 0 {
            return Err(contract::ServerRefusal::Late);
        }
        if self.running.values().sum::<u32>() >= self.setup.slots {
            return Err(contract::ServerRefusal::Shed);
        }
        *self.running.entry(work.entry.shard.clone()).or_default() += 1;
        self.journal.push(work.entry.clone());
        Ok(())
    }

    /// Ends a request of a shard and frees its slot.
    pub fn finish(&mut self, shard: &names::ShardId) {
        if let Some(count) = self.running.get_mut(shard) {
            *count = count.saturating_sub(1);
        }
        self.running.retain(|_, count| *count > 0);
        self.finished += 1;
    }

    /// Reports whether the server may send a response: a checked server needs an unexpired lease.
    #[must_use]
    pub fn may_answer(&self, now: clock::MonoTime) -> bool {
        !self.is_checked() || self.has_lease(now)
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
