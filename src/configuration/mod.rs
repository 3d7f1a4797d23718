//! The versioned configuration that operators declare, and the checks that every host applies to
//! it.

mod check;
mod rank;

use std::net;

use crate::names;

pub use crate::configuration::rank::RankError;
pub use crate::configuration::rank::WorkRank;

/// The most shards that a service may have.
pub const MAX_SHARDS: u32 = 1 << 20;
/// The longest deadline that a service may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DomainSpec {
    /// The domain's name.
    pub name: names::DomainName,
    /// Whether an operator gave the domain up. Its shards then have other domains as homes.
    pub gone: Option<bool>,
}

impl DomainSpec {
    /// Reports whether the domain was given up.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone == Some(true)
    }
}

/// An entry host.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostSpec {
    /// The host's name.
    pub name: names::HostName,
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// The address for exchanges with other hosts.
    pub peer: net::SocketAddr,
    /// The address for requests of callers, and for requests that other hosts forward.
    pub callers: net::SocketAddr,
}

/// A service: its rank, deadline and shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: names::ServiceName,
    /// The rank of its requests.
    pub rank: WorkRank,
    /// The number of shards that its keys are divided into. It cannot be changed.
    pub shards: u32,
    /// The deadline of requests that state none, and the longest allowed, in milliseconds.
    pub deadline_ms: u64,
    /// The share of each server that its rank keeps while more urgent requests overload it, in
    /// percent.
    pub floor_percent: u8,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The failure domains that hold the shards, assigned in rotation. The list cannot be changed.
    pub homes: Vec<names::DomainName>,
}

/// Whether a server checks fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceMode {
    /// The server refuses orders of a lower term and requests with a wrong fence.
    Checked,
    /// The server obeys the latest order, whatever its term, and ignores fences.
    Unchecked,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerSpec {
    /// The server's name.
    pub name: names::ServerName,
    /// The service that it serves.
    pub service: names::ServiceName,
    /// The server's failure domain.
    pub domain: names::DomainName,
    /// The address at which it listens.
    pub address: net::SocketAddr,
    /// Whether it checks fences.
    pub fences: FenceMode,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// The most connections that it accepts, over all hosts.
    pub connections: u32,
    /// Whether an operator withdrew it.
    pub withdrawn: Option<bool>,
}

impl ServerSpec {
    /// Reports whether an operator withdrew the server.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn == Some(true)
    }

    /// Reports whether the server checks fences.
    #[must_use]
    pub fn is_checked(&self) -> bool {
        self.fences == FenceMode::Checked
    }
}

/// Whether requests of a feature are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeatureStatus {
    /// Its requests are served.
    Live,
    /// Its requests are refused and reach no server.
    Retired,
}

/// How a host that is out of contact, and so cannot learn of new configurations, treats requests of
/// a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StalePolicy {
    /// The host serves them by the configuration that it has.
    Serve,
    /// The host refuses them until it is in contact again.
    Hold,
}

/// A feature of the callers, whose requests can be retired together.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FeatureSpec {
    /// The feature's name.
    pub name: names::FeatureName,
    /// The service that its requests call.
    pub service: names::ServiceName,
    /// The rank of its requests, if it differs from that of the service.
    pub rank: Option<WorkRank>,
    /// Whether its requests are served.
    pub status: FeatureStatus,
    /// How a host that is out of contact treats its requests.
    pub when_stale: StalePolicy,
}

/// The whole configuration of one version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Configuration {
    /// The failure domains.
    pub domain: Vec<DomainSpec>,
    /// The entry hosts.
    pub host: Vec<HostSpec>,
    /// The services.
    pub service: Vec<ServiceSpec>,
    /// The backend servers.
    pub server: Vec<ServerSpec>,
    /// The features.
    pub feature: Vec<FeatureSpec>,
}

/// One change of a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum ConfigurationChange {
    /// Adds or replaces a failure domain. A domain that was given up cannot be restored.
    PutDomain(DomainSpec),
    /// Adds or replaces an entry host.
    PutHost(HostSpec),
    /// Adds or replaces a service.
    PutService(ServiceSpec),
    /// Adds or replaces a backend server.
    PutServer(ServerSpec),
    /// Adds or replaces a feature.
    PutFeature(FeatureSpec),
    /// Removes an entry host.
    RemoveHost {
        /// The host.
        name: names::HostName,
    },
    /// Removes a backend server that has been withdrawn.
    RemoveServer {
        /// The server.
        name: names::ServerName,
    },
    /// Moves a server's shards to other servers and sends it no new requests.
    WithdrawServer {
        /// The server.
        name: names::ServerName,
    },
    /// Stops serving a feature's requests at every host.
    RetireFeature {
        /// The feature.
        name: names::FeatureName,
    },
    /// Declares that a failure domain is lost permanently.
    GiveUpDomain {
        /// The domain.
        name: names::DomainName,
    },
}

/// A patch file as operators write it: changes to one configuration version.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PatchFile {
    /// The changes, applied in their order.
    pub change: Vec<ConfigurationChange>,
}

/// Why a configuration or a change is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(snafu::Snafu)]
#[serde(rename_all = "kebab-case")]
#[snafu(display("{field}: {fault}"))]
pub struct ConfigurationError {
    /// The path of the field, such as `server.w1.domain`.
    pub field: String,
    /// What is wrong with the field.
    pub fault: String,
}

macro_rules! spec_access {
    ($($find:ident $put:ident $list:ident $spec:ident $name:ident),* $(,)?) => {
        impl Configuration {$(
            #[doc = concat!("Returns the ", stringify!($list), " named `name`.")]
            #[must_use]
            pub fn $find(&self, name: &names::$name) -> Option<&$spec> {
                self.$list.iter().find(|spec| spec.name == *name)
            }

            pub(crate) fn $put(&mut self, spec: $spec) {
                match self.$list.iter_mut().find(|old| old.name == spec.name) {
                    Some(old) => *old = spec,
                    None => self.$list.push(spec),
                }
            }
        )*}
    };
}

spec_access! {
    find_domain put_domain domain DomainSpec DomainName,
    find_host put_host host HostSpec HostName,
    find_service put_service service ServiceSpec ServiceName,
    find_server put_server server ServerSpec ServerName,
    find_feature put_feature feature FeatureSpec FeatureName,
}

impl Configuration {
    /// Returns changes that build this configuration from an empty one.
    #[must_use]
    pub fn to_changes(&self) -> Vec<ConfigurationChange> {
        let domains = self.domain.iter().cloned();
        let hosts = self.host.iter().cloned();
        let services = self.service.iter().cloned();
        let servers = self.server.iter().cloned();
        let features = self.feature.iter().cloned();
        domains
            .map(ConfigurationChange::PutDomain)
            .chain(hosts.map(ConfigurationChange::PutHost))
            .chain(services.map(ConfigurationChange::PutService))
            .chain(servers.map(ConfigurationChange::PutServer))
            .chain(features.map(ConfigurationChange::PutFeature))
            .collect()
    }

    /// Returns the failure domain that holds shard `index` of a service, or `None` if all of the
    /// service's homes were given up.
    #[must_use]
    pub fn home_of<'a>(
        &self,
        service: &'a ServiceSpec,
        index: u32,
    ) -> Option<&'a names::DomainName> {
        let first = &service.homes[index as usize % service.homes.len()];
        if !self.is_gone(first) {
            return Some(first);
        }
        let remaining: Vec<_> = service.homes.iter().filter(|n| !self.is_gone(n)).collect();
        let turn = index as usize / service.homes.len();
        remaining.get(turn % remaining.len().max(1)).copied()
    }

    pub(crate) fn is_gone(&self, name: &names::DomainName) -> bool {
        self.find_domain(name).is_none_or(DomainSpec::is_gone)
    }

    /// Returns the floor of each rank, in percent: the highest of the rank's services.
    #[must_use]
    pub fn floors(&self) -> [u8; WorkRank::COUNT] {
        let mut floors = [0; WorkRank::COUNT];
        for service in &self.service {
            let floor = &mut floors[service.rank.index()];
            *floor = service.floor_percent.max(*floor);
        }
        floors
    }

    /// Returns the shards whose home is the domain.
    pub fn shards_of<'a>(
        &'a self,
        domain: &'a names::DomainName,
    ) -> impl Iterator<Item = names::ShardId> + 'a {
        self.service.iter().flat_map(move |service| {
            (0..service.shards)
                .filter(move |index| self.home_of(service, *index) == Some(domain))
                .map(move |index| names::ShardId::new(service.name.clone(), index))
        })
    }

    /// Returns the servers in the domain.
    pub fn servers_of<'a>(
        &'a self,
        domain: &'a names::DomainName,
    ) -> impl Iterator<Item = &'a ServerSpec> + 'a {
        self.server
            .iter()
            .filter(move |spec| spec.domain == *domain)
    }

    /// Returns the servers whose promises decide which host grants in the domain: its checked
    /// servers, in order of name.
    #[must_use]
    pub fn witnesses_of(&self, domain: &names::DomainName) -> Vec<names::ServerName> {
        let checked = self.servers_of(domain).filter(|s| s.is_checked());
        let mut witnesses: Vec<_> = checked.map(|spec| spec.name.clone()).collect();
        witnesses.sort();
        witnesses
    }
}
