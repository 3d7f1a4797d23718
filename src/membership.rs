//! The entry hosts that one host knows of, and the choice of peers for the next exchange.

use std::collections;
use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::clock;
use crate::configuration;
use crate::names;
use crate::peer;

/// The age of the last contact from which a host is reported as unreachable, in milliseconds.
pub const HOST_STALE_MS: u64 = 3_000;

/// The age of the last contact from which a host is not chosen as a gate, in milliseconds.
pub const GATE_STALE_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct KnownHost {
    version: u64,
    draining: bool,
    at: clock::MonoTime,
}

/// At which of the configured hosts a configuration version is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VersionRollout {
    /// The configuration version.
    pub version: u64,
    /// The hosts at which the version, or a later one, is in force.
    pub in_force: Vec<names::HostName>,
    /// The hosts that were heard of lately and have an older version in force.
    pub behind: Vec<names::HostName>,
    /// The hosts that were not heard of lately, and that had an older version in force when they
    /// were.
    pub unreachable: Vec<names::HostName>,
}

impl VersionRollout {
    /// Counts a host as having the version in force, if `version` is at least that.
    pub fn note_in_force(&mut self, host: &names::HostName, version: u64) {
        let listed = self.behind.contains(host) || self.unreachable.contains(host);
        if listed && version >= self.version {
            self.behind.retain(|name| name != host);
            self.unreachable.retain(|name| name != host);
            self.in_force.push(host.clone());
        }
    }

    /// Reports whether the version is in force at every configured host.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.unreachable.is_empty()
    }
}

/// The hosts that one host has heard of, directly or through others.
pub struct HostRoster {
    own: names::HostName,
    bootstrap: Vec<net::SocketAddr>,
    known: collections::BTreeMap<names::HostName, KnownHost>,
    generator: rand::rngs::StdRng,
    rotation: usize,
}

impl HostRoster {
    /// Creates an empty roster. `bootstrap` holds the peers to ask while no host is configured.
    #[must_use]
    pub fn new(own: names::HostName, bootstrap: Vec<net::SocketAddr>, seed: u64) -> Self {
        Self {
            own,
            bootstrap,
            known: collections::BTreeMap::new(),
            generator: rand::rngs::StdRng::seed_from_u64(seed),
            rotation: 0,
        }
    }

    /// Updates the entry of this host itself.
    pub fn update_own(&mut self, version: u64, draining: bool, now: clock::MonoTime) {
        let known = KnownHost {
            version,
            draining,
            at: now,
        };
        self.known.insert(self.own.clone(), known);
    }

    /// Updates the entry of another host, unless a later contact with it is known.
    pub fn note(&mut self, contact: &peer::HostContact, now: clock::MonoTime) {
        let at = now.saturating_sub(time::Duration::from_millis(contact.age_ms));
        let newer = self.known.get(&contact.host).is_none_or(|old| old.at < at);
        if newer && contact.host != self.own {
            let known = KnownHost {
                version: contact.version,
                draining: contact.draining,
                at,
            };
            self.known.insert(contact.host.clone(), known);
        }
    }

    /// Reports whether the last contact with a host was less than `duration` ago.
    #[must_use]
    pub fn seen_within(
        &self,
        host: &names::HostName,
        duration: time::Duration,
        now: clock::MonoTime,
    ) -> bool {
        let known = self.known.get(host);
        known.is_some_and(|known| now.since(known.at) < duration)
    }

    /// Returns the hosts that may be gates: those heard of lately that are not stopping.
    #[must_use]
    pub fn gate_candidates(&self, now: clock::MonoTime) -> collections::BTreeSet<names::HostName> {
        let fresh = self.known.iter().filter(|(_, known)| {
            let heard = now.since(known.at) < from_millis(GATE_STALE_MS);
            heard && !known.draining
        });
        fresh.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entries to send to a peer, at most [`peer::MAX_HOSTS_PER_EXCHANGE`]. Successive
    /// calls rotate through all entries.
    pub fn next_contacts(&mut self, now: clock::MonoTime) -> Vec<peer::HostContact> {
        let count = self.known.len();
        let limit = count.min(peer::MAX_HOSTS_PER_EXCHANGE);
        let first = if count > limit {
            self.rotation % count
        } else {
            0
        };
        self.rotation = self.rotation.wrapping_add(limit);
        let around = self.known.iter().cycle().skip(first).take(limit);
        around
            .map(|(host, known)| peer::HostContact {
                host: host.clone(),
                version: known.version,
                draining: known.draining,
                age_ms: as_millis(now.since(known.at)),
            })
            .collect()
    }

    /// Returns at which of the configured hosts a version is in force.
    #[must_use]
    pub fn spread(
        &self,
        version: u64,
        configuration: &configuration::Configuration,
        now: clock::MonoTime,
    ) -> VersionRollout {
        let mut spread = VersionRollout {
            version,
            in_force: Vec::new(),
            behind: Vec::new(),
            unreachable: Vec::new(),
        };
        for spec in &configuration.host {
            let known = self.known.get(&spec.name);
            let reached = known.filter(|s| now.since(s.at) < from_millis(HOST_STALE_MS));
            let list = match (known, reached) {
                (Some(known), _) if known.version >= version => &mut spread.in_force,
                (_, Some(_)) => &mut spread.behind,
                (_, None) => &mut spread.unreachable,
            };
            list.push(spec.name.clone());
        }
        spread
    }

    /// Returns the addresses of the peers for the next exchange: the named hosts, and one other
    /// host chosen at random. Before a configuration is known, the other is one of the bootstrap
    /// peers.
    pub fn choose_peers(
        &mut self,
        configuration: &configuration::Configuration,
        named: &collections::BTreeSet<names::HostName>,
    ) -> Vec<net::SocketAddr> {
        let others = configuration.host.iter().filter(|h| h.name != self.own);
        let (named, rest): (Vec<_>, Vec<_>) = others.partition(|spec| named.contains(&spec.name));
        let mut chosen: Vec<_> = named.iter().map(|spec| spec.peer).collect();
        let mut pool: Vec<_> = rest.iter().map(|spec| spec.peer).collect();
        if configuration.host.is_empty() {
            pool.clone_from(&self.bootstrap);
        }
        if !pool.is_empty() {
            let pick = self.generator.random_range(0..pool.len());
            chosen.push(pool[pick]);
        }
        chosen
    }

    /// Returns a random duration below `limit`.
    pub fn jitter(&mut self, limit: time::Duration) -> time::Duration {
        limit.mul_f64(self.generator.random_range(0.0..1.0))
    }
}

const fn from_millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn as_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
