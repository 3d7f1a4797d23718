//! Selects the source of a host's knowledge: the store, or another host of its failure domain.
//!
//! The hosts of a domain are ranked, those with the fastest links first. The first reads the store;
//! the others get the records from hosts with a better rank. So the calls to the store grow with the
//! domains, not with the hosts, and no two hosts can wait for each other. A host that does not
//! respond, or that the store rejects, is passed over by all that notice it.

use std::cmp;
use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::clock;
use crate::names;
use crate::serving::status;

/// The number of hosts in a domain up to which each of them reads the store.
pub const MAX_READING_HOSTS: usize = 3;
/// The number of hosts that one host supplies with records.
pub const HOSTS_PER_RELAY: usize = 32;
/// The number of hosts of a domain that may read the store while it rejects those with better ranks.
pub const MAX_STORE_READERS: usize = 3;
/// The number of unresponsive hosts after which a host reads the store itself.
pub const MAX_CANDIDATES: usize = 3;
/// Delay before a host that did not respond, or that the store rejected, is queried again, in
/// milliseconds; doubled with each further failure.
pub const RETRY_MS: u64 = 1_000;
/// Upper bound of that delay, in milliseconds.
pub const MAX_RETRY_MS: u64 = 8_000;
/// The delay from which an unresponsive host is taken as gone, in milliseconds: it is not counted
/// among the candidates any more.
pub const GONE_DELAY_MS: u64 = 4_000;

/// The registered hosts, by name.
pub type HostRegistry = collections::BTreeMap<names::HostName, status::HostRecord>;

/// Where a host gets the store's records from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// It reads the store.
    Store,
    /// Another host of its domain sends them.
    Host(status::HostRecord),
}

/// Why a host is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Unresponsive,
    StoreLost,
}

#[derive(Clone, Copy, Debug)]
struct HostFault {
    kind: FaultKind,
    delay: time::Duration,
    retry_at: clock::MonoTime,
}

/// The selection of one host, with the faults of other hosts that it has noticed.
#[derive(Debug)]
pub struct UpstreamSelection {
    own: status::HostRecord,
    faults: collections::BTreeMap<names::HostName, HostFault>,
}

impl UpstreamSelection {
    /// Creates the selection of a host that has noticed no faults.
    #[must_use]
    pub const fn new(own: status::HostRecord) -> Self {
        Self {
            own,
            faults: collections::BTreeMap::new(),
        }
    }

    /// Returns where this host gets the store's records from, as far as calls that have failed tell.
    #[must_use]
    pub fn source(&self, hosts: &HostRegistry) -> RecordSource {
        let candidates = self.candidates(hosts);
        let sound = candidates.iter().find(|record| self.is_sound(record));
        if let Some(record) = sound {
            return RecordSource::Host((*record).clone());
        }
        let responsive = candidates.iter().find(|record| self.is_rejected(record));
        match responsive {
            Some(record) if self.rank(hosts) >= MAX_STORE_READERS => {
                RecordSource::Host((*record).clone())
            }
            _ => RecordSource::Store,
        }
    }

    /// Returns the source in place of [`Self::source`] while that is a host that is passed over though no
    /// call to it has failed: the first candidate that `responds`, or the store.
    #[must_use]
    pub fn replacement(
        &self,
        hosts: &HostRegistry,
        responds: impl Fn(&names::HostName) -> bool,
    ) -> RecordSource {
        let candidates = self.candidates(hosts).into_iter();
        let mut sound = candidates.filter(|record| self.is_sound(record));
        let responding = sound.find(|record| responds(&record.host));
        responding.map_or(RecordSource::Store, RecordSource::Host)
    }

    /// Returns a host that would be a better source than the present one and is due for another
    /// query after a failure.
    #[must_use]
    pub fn retried(
        &self,
        hosts: &HostRegistry,
        now: clock::MonoTime,
    ) -> Option<status::HostRecord> {
        let ranked = self.ranked(hosts);
        let mut better = ranked.into_iter().take_while(|r| r.host != self.own.host);
        let due = better.find(|record| {
            let fault = self.faults.get(&record.host);
            fault.is_some_and(|fault| now >= fault.retry_at)
        });
        due.cloned()
    }

    /// Returns the hosts of another domain that are expected to read the store: one for all of it,
    /// or all of a few.
    #[must_use]
    pub fn readers_of(
        &self,
        domain: &names::DomainName,
        hosts: &HostRegistry,
        now: clock::MonoTime,
    ) -> Vec<status::HostRecord> {
        let ranked = ranked_hosts(domain, hosts.values()).into_iter();
        let usable = ranked.filter(|record| {
            let fault = self.faults.get(&record.host);
            fault.is_none_or(|fault| now >= fault.retry_at)
        });
        let usable: Vec<_> = usable.cloned().collect();
        if usable.len() <= MAX_READING_HOSTS {
            return usable;
        }
        usable.into_iter().take(1).collect()
    }

    /// Returns the other hosts that may read the store: the first ranks of each domain, whether or not
    /// they respond.
    #[must_use]
    pub fn possible_readers(&self, hosts: &HostRegistry) -> Vec<status::HostRecord> {
        let domains: collections::BTreeSet<_> =
            hosts.values().map(|record| &record.domain).collect();
        let readers = domains.into_iter().flat_map(|domain| {
            let ranked = ranked_hosts(domain, hosts.values()).into_iter();
            ranked.take(MAX_STORE_READERS)
        });
        readers.cloned().collect()
    }

    /// Records a host's response; `store_lost` says whether the store rejects it.
    pub fn note_response(
        &mut self,
        host: &names::HostName,
        store_lost: bool,
        now: clock::MonoTime,
    ) {
        if store_lost {
            self.note_fault(host, FaultKind::StoreLost, now);
        } else {
            self.faults.remove(host);
        }
    }

    /// Records that a host did not respond, or that it lags behind others.
    pub fn note_failure(&mut self, host: &names::HostName, now: clock::MonoTime) {
        self.note_fault(host, FaultKind::Unresponsive, now);
    }

    fn note_fault(&mut self, host: &names::HostName, kind: FaultKind, now: clock::MonoTime) {
        let first = time::Duration::from_millis(RETRY_MS);
        let longest = time::Duration::from_millis(MAX_RETRY_MS);
        let known = self.faults.get(host).filter(|fault| fault.kind == kind);
        let delay = match kind {
            FaultKind::Unresponsive => known.map_or(first, |fault| (fault.delay * 2).min(longest)),
            FaultKind::StoreLost => first,
        };
        let fault = HostFault {
            kind,
            delay,
            retry_at: now + delay,
        };
        self.faults.insert(host.clone(), fault);
    }

    fn is_sound(&self, record: &status::HostRecord) -> bool {
        !self.faults.contains_key(&record.host)
    }

    fn is_rejected(&self, record: &status::HostRecord) -> bool {
        let fault = self.faults.get(&record.host);
        fault.is_some_and(|fault| fault.kind == FaultKind::StoreLost)
    }

    fn is_gone(&self, record: &status::HostRecord) -> bool {
        let gone = time::Duration::from_millis(GONE_DELAY_MS);
        let fault = self.faults.get(&record.host);
        fault.is_some_and(|fault| fault.kind == FaultKind::Unresponsive && fault.delay >= gone)
    }

    /// Returns this host's rank among the hosts of its domain that are not gone, 0 for the first.
    #[must_use]
    pub fn rank(&self, hosts: &HostRegistry) -> usize {
        let ranked = self.ranked(hosts).into_iter();
        let mut present = ranked.filter(|record| !self.is_gone(record));
        let position = present.position(|record| record.host == self.own.host);
        position.unwrap_or(0)
    }

    // The hosts of this host's domain by rank, this host among them.
    fn ranked<'a>(&'a self, hosts: &'a HostRegistry) -> Vec<&'a status::HostRecord> {
        let others = hosts.values().filter(|r| r.host != self.own.host);
        ranked_hosts(&self.own.domain, others.chain([&self.own]))
    }

    /// Returns the hosts with better ranks that may supply this host, in the order of preference. The
    /// first hosts of a large domain are relays, which get the records from the first of all and share the
    /// others among themselves.
    #[must_use]
    pub fn candidates(&self, hosts: &HostRegistry) -> Vec<status::HostRecord> {
        let ranked = self.ranked(hosts).into_iter();
        let ranked: Vec<_> = ranked.filter(|record| !self.is_gone(record)).collect();
        if ranked.len() <= MAX_READING_HOSTS {
            return Vec::new();
        }
        let rank = self.rank(hosts);
        let relays = ranked.len().div_ceil(HOSTS_PER_RELAY);
        let better = &ranked[..rank];
        if rank < relays {
            return better
                .iter()
                .map(|r| (*r).clone())
                .take(MAX_CANDIDATES)
                .collect();
        }
        let (relays, others) = better.split_at(relays);
        let start =
            usize::try_from(rank_hash(&self.own) % 1_024).unwrap_or(0) % relays.len().max(1);
        let rotated = relays[start..].iter().chain(&relays[..start]);
        let preferred = rotated.chain(others);
        preferred
            .map(|r| (*r).clone())
            .take(MAX_CANDIDATES)
            .collect()
    }
}

// The hosts of a domain by rank. Hosts with faster links come first, since the first ones send the
// records to the others; a hash decides between equals.
fn ranked_hosts<'a>(
    domain: &names::DomainName,
    hosts: impl Iterator<Item = &'a status::HostRecord>,
) -> Vec<&'a status::HostRecord> {
    let mut ranked: Vec<_> = hosts.filter(|record| record.domain == *domain).collect();
    ranked.sort_by_cached_key(|record| {
        let link_mbps = record.link_mbps.unwrap_or(0);
        (
            cmp::Reverse(link_mbps),
            rank_hash(record),
            record.host.clone(),
        )
    });
    ranked
}

fn rank_hash(record: &status::HostRecord) -> u64 {
    xxh3::xxh3_64(record.host.as_str().as_bytes())
}
