//! The numbered configuration: what operators declare, and the checks that every host applies alike.

mod check;
mod rank;

use std::net;

use crate::names;

pub use crate::configuration::rank::RankError;
pub use crate::configuration::rank::WorkRank;

/// The greatest number of shards that a service may have.
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
    /// Whether an operator gave the domain up; its shards then have other homes.
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
    /// Where the other hosts reach it.
    pub peer: net::SocketAddr,
    /// Where callers reach it, and where other hosts pass their requests on to it.
    pub callers: net::SocketAddr,
}

/// A service: its rank, deadline and shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: names::ServiceName,
    /// How urgent its work is.
    pub rank: WorkRank,
    /// The number of shards that its keys are spread over. It never changes.
    pub shards: u32,
    /// The deadline of a request that states none, and the longest one allowed, in milliseconds.
    pub deadline_ms: u64,
    /// The share of each server that its rank keeps while more urgent work floods, in percent.
    pub floor_percent: u8,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The failure domains that hold the shards, taken in turn. The list never changes.
    pub homes: Vec<names::DomainName>,
}

/// Whether a server checks the fence of what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceMode {
    /// It refuses a lower term or a wrong fence.
    Checked,
    /// It obeys whoever speaks last.
    Unchecked,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerSpec {
    /// The server's name.
    pub name: names::ServerName,
    /// The service that it runs.
    pub service: names::ServiceName,
    /// The failure domain it stands in.
    pub domain: names::DomainName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Whether it checks fences.
    pub fences: FenceMode,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes from all hosts together.
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

/// Whether a feature's work is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeatureStatus {
    /// Its work is served.
    Live,
    /// Its work reaches no server.
    Retired,
}

/// What becomes of a feature's work at a host that cannot learn of new configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StalePolicy {
    /// The host serves it as it last knew.
    Serve,
    /// The host refuses it until it is in contact again.
    Hold,
}

/// A feature whose work can be retired.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FeatureSpec {
    /// The feature's name.
    pub name: names::FeatureName,
    /// The service that its work calls.
    pub service: names::ServiceName,
    /// How urgent its work is, where that differs from the service's own.
    pub rank: Option<WorkRank>,
    /// Whether its work is served.
    pub status: FeatureStatus,
    /// What a host without contact does with its work.
    pub when_stale: StalePolicy,
}

/// The whole configuration at one version.
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
    /// Adds a failure domain.
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
    /// Removes a backend server that was withdrawn before.
    RemoveServer {
        /// The server.
        name: names::ServerName,
    },
    /// Moves a server's shards away and sends it no new work.
    WithdrawServer {
        /// The server.
        name: names::ServerName,
    },
    /// Stops a feature's work everywhere.
    RetireFeature {
        /// The feature.
        name: names::FeatureName,
    },
    /// States that a failure domain is lost for good.
    GiveUpDomain {
        /// The domain.
        name: names::DomainName,
    },
}

/// A patch as operators write it: changes against one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PatchFile {
    /// The changes, applied in their order.
    pub change: Vec<ConfigurationChange>,
}

/// Why a configuration or a change is refused, and at which field.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(snafu::Snafu)]
#[serde(rename_all = "kebab-case")]
#[snafu(display("{field}: {fault}"))]
pub struct ConfigurationError {
    /// The path of the field, such as `server.w1.domain`.
    pub field: String,
    /// What is wrong with it.
    pub fault: String,
}

macro_rules! spec_access {
    ($($find:ident $put:ident $list:ident $spec:ident $name:ident),* $(,)?) => {
        impl Configuration {$(
            #[doc = concat!("Returns the ", stringify!($list), " of that name.")]
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
    /// Returns the changes that build this configuration from an empty one.
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

    /// Returns the failure domain that holds shard `index` of a service, or `None` where every
    /// home was given up.
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

    /// Returns the servers that stand in the domain.
    pub fn servers_of<'a>(
        &'a self,
        domain: &'a names::DomainName,
    ) -> impl Iterator<Item = &'a ServerSpec> + 'a {
        self.server
            .iter()
            .filter(move |spec| spec.domain == *domain)
    }

    /// Returns the servers whose promises decide who grants in the domain, in order of name.
    #[must_use]
    pub fn witnesses_of(&self, domain: &names::DomainName) -> Vec<names::ServerName> {
        let checked = self.servers_of(domain).filter(|s| s.is_checked());
        let mut witnesses: Vec<_> = checked.map(|spec| spec.name.clone()).collect();
        witnesses.sort();
        witnesses
    }
}
