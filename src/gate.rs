//! The gate of each server: the one host that queues all requests for it, so that they are served by
//! rank whichever host they came to, and no two hosts compete for the server's slots.
//!
//! Hosts choose gates each for themselves, from the hosts that they hear of. While they differ, a
//! server gets requests from more than one; it sheds what is too much, and nothing else is lost.

use std::collections;
use std::net;

use xxhash_rust::xxh3;

use crate::configuration;
use crate::names;

/// A host that requests are passed on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateHost {
    /// The host.
    pub host: names::HostName,
    /// Where it takes requests.
    pub address: net::SocketAddr,
}

/// The gates of the servers that another host is the gate of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateMap {
    gates: collections::BTreeMap<names::ServerName, GateHost>,
}

impl GateMap {
    /// Chooses a gate for each server: among the usable hosts of the server's domain where there are
    /// any, else among all usable ones, by a hash that moves few servers when hosts change.
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

    /// Returns the gate of a server; none where that is the host that chose.
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
