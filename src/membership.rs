//! What one host knows of the others, and whom it asks next.

use std::collections;
use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::clock;
use crate::configuration;
use crate::names;
use crate::peer;

/// How long news of a host counts towards "in force at k of n", in milliseconds.
pub const HOST_STALE_MS: u64 = 3_000;

/// How lately a host must have been heard of to serve as a gate, in milliseconds.
pub const GATE_STALE_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct KnownHost {
    version: u64,
    draining: bool,
    at: clock::MonoTime,
}

/// How many hosts have a version in force, and which are not heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VersionRollout {
    /// The version.
    pub version: u64,
    /// The hosts that have it in force.
    pub in_force: Vec<names::HostName>,
    /// The hosts that were heard of lately and have an older version.
    pub behind: Vec<names::HostName>,
    /// The hosts that were not heard of lately.
    pub unreachable: Vec<names::HostName>,
}

impl VersionRollout {
    /// Counts a host whose version is known at first hand.
    pub fn note_in_force(&mut self, host: &names::HostName, version: u64) {
        let listed = self.behind.contains(host) || self.unreachable.contains(host);
        if listed && version >= self.version {
            self.behind.retain(|name| name != host);
            self.unreachable.retain(|name| name != host);
            self.in_force.push(host.clone());
        }
    }

    /// Reports whether the version is in force at every host.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.unreachable.is_empty()
    }
}

/// The hosts that one host knows of.
pub struct HostRoster {
    own: names::HostName,
    bootstrap: Vec<net::SocketAddr>,
    signs: collections::BTreeMap<names::HostName, KnownHost>,
    generator: rand::rngs::StdRng,
    turn: usize,
}

impl HostRoster {
    /// Creates a roster that knows no host but its own.
    #[must_use]
    pub fn new(own: names::HostName, bootstrap: Vec<net::SocketAddr>, seed: u64) -> Self {
        Self {
            own,
            bootstrap,
            signs: collections::BTreeMap::new(),
            generator: rand::rngs::StdRng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// Notes the host's own version.
    pub fn update_own(&mut self, version: u64, draining: bool, now: clock::MonoTime) {
        let sign = KnownHost {
            version,
            draining,
            at: now,
        };
        self.signs.insert(self.own.clone(), sign);
    }

    /// Takes news of another host.
    pub fn note(&mut self, news: &peer::HostContact, now: clock::MonoTime) {
        let at = now.saturating_sub(time::Duration::from_millis(news.age_ms));
        let newer = self.signs.get(&news.host).is_none_or(|old| old.at < at);
        if newer && news.host != self.own {
            let sign = KnownHost {
                version: news.version,
                draining: news.draining,
                at,
            };
            self.signs.insert(news.host.clone(), sign);
        }
    }

    /// Reports whether a host was heard of within a span.
    #[must_use]
    pub fn seen_within(
        &self,
        host: &names::HostName,
        span: time::Duration,
        now: clock::MonoTime,
    ) -> bool {
        let sign = self.signs.get(host);
        sign.is_some_and(|sign| now.since(sign.at) < span)
    }

    /// Returns the hosts that may serve as gates: heard of lately, and not stopping.
    #[must_use]
    pub fn gate_candidates(&self, now: clock::MonoTime) -> collections::BTreeSet<names::HostName> {
        let fresh = self.signs.iter().filter(|(_, sign)| {
            let heard = now.since(sign.at) < window(GATE_STALE_MS);
            heard && !sign.draining
        });
        fresh.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what to tell a peer: at most [`peer::MAX_HOSTS_PER_EXCHANGE`] hosts, others each time.
    pub fn next_contacts(&mut self, now: clock::MonoTime) -> Vec<peer::HostContact> {
        let count = self.signs.len();
        let told = count.min(peer::MAX_HOSTS_PER_EXCHANGE);
        let first = if count > told { self.turn % count } else { 0 };
        self.turn = self.turn.wrapping_add(told);
        let around = self.signs.iter().cycle().skip(first).take(told);
        around
            .map(|(host, sign)| peer::HostContact {
                host: host.clone(),
                version: sign.version,
                draining: sign.draining,
                age_ms: millis(now.since(sign.at)),
            })
            .collect()
    }

    /// Returns where a version stands among the configured hosts.
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
            let sign = self.signs.get(&spec.name);
            let reached = sign.filter(|s| now.since(s.at) < window(HOST_STALE_MS));
            let list = match (sign, reached) {
                (Some(sign), _) if sign.version >= version => &mut spread.in_force,
                (_, Some(_)) => &mut spread.behind,
                (_, None) => &mut spread.unreachable,
            };
            list.push(spec.name.clone());
        }
        spread
    }

    /// Returns the addresses to ask in this round: those of the named hosts, and one other host at
    /// random.
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

    /// Returns a random span up to `limit`.
    pub fn jitter(&mut self, limit: time::Duration) -> time::Duration {
        limit.mul_f64(self.generator.random_range(0.0..1.0))
    }
}

const fn window(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
