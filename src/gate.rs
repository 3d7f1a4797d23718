//! Chooses the gate of each server: the host whose queue all requests for the server go through.
//! Requests are thus served by rank whichever host received them, and hosts do not compete for the
//! server's slots.
//!
//! Each host chooses gates on its own, among the hosts that it has heard of lately. While hosts
//! disagree, a server may receive requests from several gates; it sheds those that exceed its
//! slots, and no other request is lost.

use std::collections;
use std::net;

use xxhash_rust::xxh3;

use crate::configuration;
use crate::names;

/// A host to which requests are forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateHost {
    /// The host.
    pub host: names::HostName,
    /// The address at which it takes requests.
    pub address: net::SocketAddr,
}

/// The gate of each server whose gate is another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateMap {
    gates: collections::BTreeMap<names::ServerName, GateHost>,
}

impl GateMap {
    /// Chooses a gate for each server: one of the `usable` hosts in the server's failure domain, or
    /// any usable host if that domain has none. Rendezvous hashing keeps the gates of most servers
    /// when the hosts change.
    #[must_use]
    pub fn new(
        configuration: &configuration::Configuration,
        usable: &collections::BTreeSet<names::HostName>,
        own: &names::HostName,
    ) -> Self {
        let hosts = configuration.host.iter();
        let hosts: Vec<_> = hosts.filter(|host| usable.contains(&host.name)).collect();
        let mut gates = collections::BTreeMap::new();
        for server in &configuration.server {
            let chosen = choose(&hosts, server);
            let other = chosen.filter(|host| host.name != *own);
            if let Some(host) = other {
                let gate = GateHost {
                    host: host.name.clone(),
                    address: host.callers,
                };
                gates.insert(server.name.clone(), gate);
            }
        }
        Self { gates }
    }

    /// Returns the gate of a server, or `None` if that is this host or no host is usable.
    #[must_use]
    pub fn find(&self, server: &names::ServerName) -> Option<&GateHost> {
        self.gates.get(server)
    }
}

fn choose<'a>(
    hosts: &[&'a configuration::HostSpec],
    server: &configuration::ServerSpec,
) -> Option<&'a configuration::HostSpec> {
    let weight = |host: &configuration::HostSpec| {
        let seed = xxh3::xxh3_64(host.name.as_str().as_bytes());
        let same_domain = host.domain == server.domain;
        (
            same_domain,
            xxh3::xxh3_64_with_seed(server.name.as_str().as_bytes(), seed),
        )
    };
    hosts.iter().copied().max_by_key(|host| weight(host))
}
