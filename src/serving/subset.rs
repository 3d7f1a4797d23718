//! Deals the servers of services without keys out to the hosts, so that each host uses a few of them.
//!
//! The load that this answers: where there are many more hosts than a server has room for, a host that sends
//! now to one server and then to another opens a connection for nearly each request, and all hosts choose the
//! server that seemed free a moment ago. The hosts and the servers of a failure domain are ordered by a hash of
//! their names; a host's subset is a window of the servers that begins at the same fraction of their order as
//! the host's place in its own. So each server is in equally many subsets, up to one, and a host or server that
//! joins or leaves changes at most two servers of a window. A larger window contains the smaller ones.

use std::collections;

use xxhash_rust::xxh3;

use crate::names;
use crate::serving::status;
use crate::serving::upstream;

/// The smallest number of servers of a domain in a subset: with one, its loss or a long request there would
/// leave the host without a server in the domain.
pub const MIN_SUBSET_SERVERS: usize = 2;

/// The place of a host among the hosts of its failure domain, ordered by a hash of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostPlace {
    /// The number of hosts before it.
    pub rank: usize,
    /// The number of hosts of its domain, at least 1.
    pub hosts: usize,
}

impl HostPlace {
    /// Creates the place of `own` among itself and the registered hosts.
    #[must_use]
    pub fn new(own: &status::HostRecord, hosts: &upstream::HostRegistry) -> Self {
        let others = hosts
            .values()
            .filter(|record| record.domain == own.domain && record.host != own.host);
        let place = |record: &status::HostRecord| name_hash(record.host.as_str());
        let own_place = (place(own), &own.host);
        let mut result = Self { rank: 0, hosts: 1 };
        for record in others {
            result.hosts += 1;
            result.rank += usize::from((place(record), &record.host) < own_place);
        }
        result
    }
}

impl Default for HostPlace {
    fn default() -> Self {
        Self { rank: 0, hosts: 1 }
    }
}

/// The order in which a host uses the servers of one service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerWindow {
    // The position of each server; the host's subset is those with the lowest.
    positions: collections::BTreeMap<names::ServerName, usize>,
    hosts: usize,
}

impl ServerWindow {
    /// Creates the order in which the host at `place` uses these servers.
    #[must_use]
    pub fn new<'a>(place: HostPlace, servers: impl Iterator<Item = &'a names::ServerName>) -> Self {
        let mut servers: Vec<_> = servers.collect();
        servers.sort_by_cached_key(|name| (name_hash(name.as_str()), (*name).clone()));
        let count = servers.len();
        let start = place.rank * count / place.hosts.max(1);
        let position = |index: usize| (index + count - start % count) % count;
        let positions = servers.into_iter().enumerate();
        Self {
            positions: positions
                .map(|(index, name)| (name.clone(), position(index)))
                .collect(),
            hosts: place.hosts,
        }
    }

    /// Returns the position of each server, 0 for the first of the window.
    #[must_use]
    pub const fn positions(&self) -> &collections::BTreeMap<names::ServerName, usize> {
        &self.positions
    }

    /// Returns the size of the subset: so many servers that each has as many hosts as it has `room` for
    /// where `all_hosts` deal likewise, that each server is in a subset of a host of its domain, and that
    /// there is room for `wanted` requests of this host.
    #[must_use]
    pub fn size(&self, room: f64, all_hosts: usize, wanted: f64) -> usize {
        let servers = self.positions.len();
        let fair = to_f64(servers) * room / to_f64(all_hosts.max(1));
        let covering = servers.div_ceil(self.hosts.max(1));
        let least = covering.max(MIN_SUBSET_SERVERS);
        let size = ceil(fair.max(wanted / room.max(1.0)));
        size.max(least).min(servers)
    }
}

fn name_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is checked to be a small number"
)]
fn ceil(value: f64) -> usize {
    value.clamp(0.0, f64::from(u32::MAX)).ceil() as usize
}
