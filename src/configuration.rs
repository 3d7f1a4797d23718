//! The numbered configuration: what operators declare, and the checks that every host applies alike.

use std::collections;
use std::fmt;
use std::net;

use crate::names;

/// The greatest number of shards that a service may have.
pub const MAX_SHARDS: u32 = 1 << 20;
/// The longest deadline that a service may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// How urgent a service's work is; 1 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct WorkRank(u8);

impl WorkRank {
    /// The number of ranks.
    pub const COUNT: usize = 3;

    /// Creates a rank from 1 to 3.
    ///
    /// # Errors
    /// Fails outside that range.
    pub fn new(number: u8) -> Result<Self, RankError> {
        if number == 0 || usize::from(number) > Self::COUNT {
            return RankSnafu { number }.fail();
        }
        Ok(Self(number))
    }

    /// Returns the rank's position from 0, the most urgent.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0) - 1
    }
}

impl TryFrom<u8> for WorkRank {
    type Error = RankError;

    fn try_from(number: u8) -> Result<Self, RankError> {
        Self::new(number)
    }
}

impl From<WorkRank> for u8 {
    fn from(rank: WorkRank) -> Self {
        rank.0
    }
}

impl fmt::Display for WorkRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number is no rank.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("{number} is no rank: use 1, 2 or 3"))]
pub struct RankError {
    number: u8,
}

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

fn refuse<T>(field: String, fault: impl Into<String>) -> Result<T, ConfigurationError> {
    Err(ConfigurationError {
        field,
        fault: fault.into(),
    })
}

macro_rules! spec_access {
    ($($find:ident $put:ident $list:ident $spec:ident $name:ident),* $(,)?) => {
        impl Configuration {$(
            #[doc = concat!("Returns the ", stringify!($list), " of that name.")]
            #[must_use]
            pub fn $find(&self, name: &names::$name) -> Option<&$spec> {
                self.$list.iter().find(|spec| spec.name == *name)
            }

            fn $put(&mut self, spec: $spec) {
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

    /// Applies changes in their order and checks the result as a whole.
    ///
    /// # Errors
    /// Fails on the first change that does not fit, or on the first fault of the result.
    pub fn with_changes(
        &self,
        changes: &[ConfigurationChange],
    ) -> Result<Self, ConfigurationError> {
        let mut next = self.clone();
        for change in changes {
            next.apply(change)?;
        }
        next.check()?;
        Ok(next)
    }

    fn apply(&mut self, change: &ConfigurationChange) -> Result<(), ConfigurationError> {
        match change {
            ConfigurationChange::PutDomain(spec) => self.apply_domain(spec),
            ConfigurationChange::PutHost(spec) => {
                self.put_host(spec.clone());
                Ok(())
            }
            ConfigurationChange::PutService(spec) => self.apply_service(spec),
            ConfigurationChange::PutServer(spec) => self.apply_server(spec),
            ConfigurationChange::PutFeature(spec) => {
                self.put_feature(spec.clone());
                Ok(())
            }
            ConfigurationChange::RemoveHost { name } => self.remove_host(name),
            ConfigurationChange::RemoveServer { name } => self.remove_server(name),
            ConfigurationChange::WithdrawServer { name } => self.withdraw_server(name),
            ConfigurationChange::RetireFeature { name } => self.retire_feature(name),
            ConfigurationChange::GiveUpDomain { name } => self.give_up_domain(name),
        }
    }

    fn apply_domain(&mut self, spec: &DomainSpec) -> Result<(), ConfigurationError> {
        let given_up = self
            .find_domain(&spec.name)
            .is_some_and(DomainSpec::is_gone);
        if given_up && !spec.is_gone() {
            let field = format!("domain.{}.gone", spec.name);
            return refuse(field, "a domain that was given up never comes back");
        }
        self.put_domain(spec.clone());
        Ok(())
    }

    fn apply_service(&mut self, spec: &ServiceSpec) -> Result<(), ConfigurationError> {
        if let Some(old) = self.find_service(&spec.name) {
            if old.shards != spec.shards {
                let field = format!("service.{}.shards", spec.name);
                return refuse(field, "the number of shards never changes");
            }
            if old.homes != spec.homes {
                let field = format!("service.{}.homes", spec.name);
                return refuse(field, "the homes never change");
            }
        }
        self.put_service(spec.clone());
        Ok(())
    }

    fn apply_server(&mut self, spec: &ServerSpec) -> Result<(), ConfigurationError> {
        if let Some(old) = self.find_server(&spec.name) {
            let same_place = old.service == spec.service
                && old.domain == spec.domain
                && old.address == spec.address
                && old.fences == spec.fences;
            if !same_place {
                let field = format!("server.{}", spec.name);
                let fault = "service, domain, address and fences never change; use a new name";
                return refuse(field, fault);
            }
        }
        self.put_server(spec.clone());
        Ok(())
    }

    fn remove_host(&mut self, name: &names::HostName) -> Result<(), ConfigurationError> {
        if self.find_host(name).is_none() {
            return refuse(format!("host.{name}"), "unknown host");
        }
        self.host.retain(|spec| spec.name != *name);
        Ok(())
    }

    fn remove_server(&mut self, name: &names::ServerName) -> Result<(), ConfigurationError> {
        match self.find_server(name) {
            None => refuse(format!("server.{name}"), "unknown server"),
            Some(spec) if !spec.is_withdrawn() => {
                refuse(format!("server.{name}"), "withdraw the server first")
            }
            Some(_) => {
                self.server.retain(|spec| spec.name != *name);
                Ok(())
            }
        }
    }

    fn withdraw_server(&mut self, name: &names::ServerName) -> Result<(), ConfigurationError> {
        match self.server.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("server.{name}"), "unknown server"),
            Some(spec) => {
                spec.withdrawn = Some(true);
                Ok(())
            }
        }
    }

    fn retire_feature(&mut self, name: &names::FeatureName) -> Result<(), ConfigurationError> {
        match self.feature.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("feature.{name}"), "unknown feature"),
            Some(spec) => {
                spec.status = FeatureStatus::Retired;
                Ok(())
            }
        }
    }

    fn give_up_domain(&mut self, name: &names::DomainName) -> Result<(), ConfigurationError> {
        match self.domain.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("domain.{name}"), "unknown domain"),
            Some(spec) => {
                spec.gone = Some(true);
                Ok(())
            }
        }
    }

    /// Checks the configuration as a whole.
    ///
    /// # Errors
    /// Fails on the first fault.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        check_unique("domain", self.domain.iter().map(|s| s.name.as_str()))?;
        check_unique("host", self.host.iter().map(|s| s.name.as_str()))?;
        check_unique("service", self.service.iter().map(|s| s.name.as_str()))?;
        check_unique("server", self.server.iter().map(|s| s.name.as_str()))?;
        check_unique("feature", self.feature.iter().map(|s| s.name.as_str()))?;
        self.host.iter().try_for_each(|s| self.check_host(s))?;
        self.service
            .iter()
            .try_for_each(|s| self.check_service(s))?;
        self.check_floors()?;
        self.server.iter().try_for_each(|s| self.check_server(s))?;
        self.feature.iter().try_for_each(|s| self.check_feature(s))
    }

    fn check_host(&self, spec: &HostSpec) -> Result<(), ConfigurationError> {
        if self.find_domain(&spec.domain).is_none() {
            let field = format!("host.{}.domain", spec.name);
            return refuse(field, format!("unknown domain '{}'", spec.domain));
        }
        Ok(())
    }

    fn check_service(&self, spec: &ServiceSpec) -> Result<(), ConfigurationError> {
        let field = |name: &str| format!("service.{}.{name}", spec.name);
        if spec.shards == 0 || spec.shards > MAX_SHARDS {
            return refuse(field("shards"), format!("use 1 to {MAX_SHARDS}"));
        }
        if spec.deadline_ms == 0 || spec.deadline_ms > MAX_DEADLINE_MS {
            return refuse(field("deadline-ms"), format!("use 1 to {MAX_DEADLINE_MS}"));
        }
        if spec.homes.is_empty() {
            return refuse(field("homes"), "name at least one domain");
        }
        let unknown = spec.homes.iter().find(|n| self.find_domain(n).is_none());
        if let Some(name) = unknown {
            return refuse(field("homes"), format!("unknown domain '{name}'"));
        }
        Ok(())
    }

    fn check_floors(&self) -> Result<(), ConfigurationError> {
        let over = self.service.iter().find(|s| s.floor_percent > 50);
        match over {
            None => Ok(()),
            Some(spec) => refuse(
                format!("service.{}.floor-percent", spec.name),
                "use 0 to 50",
            ),
        }
    }

    fn check_server(&self, spec: &ServerSpec) -> Result<(), ConfigurationError> {
        let field = |name: &str| format!("server.{}.{name}", spec.name);
        if self.find_service(&spec.service).is_none() {
            let fault = format!("unknown service '{}'", spec.service);
            return refuse(field("service"), fault);
        }
        if self.find_domain(&spec.domain).is_none() {
            let fault = format!("unknown domain '{}'", spec.domain);
            return refuse(field("domain"), fault);
        }
        if spec.slots == 0 {
            return refuse(field("slots"), "use at least 1");
        }
        if spec.connections == 0 {
            return refuse(field("connections"), "use at least 1");
        }
        Ok(())
    }

    fn check_feature(&self, spec: &FeatureSpec) -> Result<(), ConfigurationError> {
        if self.find_service(&spec.service).is_none() {
            let field = format!("feature.{}.service", spec.name);
            return refuse(field, format!("unknown service '{}'", spec.service));
        }
        Ok(())
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
        let left: Vec<_> = service.homes.iter().filter(|n| !self.is_gone(n)).collect();
        let turn = index as usize / service.homes.len();
        left.get(turn % left.len().max(1)).copied()
    }

    fn is_gone(&self, name: &names::DomainName) -> bool {
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

fn check_unique<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), ConfigurationError> {
    let mut seen = collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return refuse(format!("{list}.{name}"), "the name stands twice");
        }
    }
    Ok(())
}
