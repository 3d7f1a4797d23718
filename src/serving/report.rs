//! Reports for operators: the cluster as one host knows it, and where requests for a key go.

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::directory;
use crate::serving::view;

/// The phases of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// It does not know enough to serve yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It is shutting down.
    Stopping,
}

impl HostPhase {
    /// Returns the name of the phase.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Stopping => "stopping",
        }
    }
}

/// What a host reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostFacts {
    /// The host.
    pub host: names::HostName,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// The phase of its process.
    pub phase: HostPhase,
    /// Whether it has the granter role.
    pub granting: bool,
    /// Whether its store calls fail.
    pub store_lost: bool,
    /// The number of requests in flight.
    pub in_flight: i64,
}

/// One server, as a host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerLine {
    /// The server's record.
    pub record: directory::ServerRecord,
    /// How many ranges of keys are assigned to it.
    pub ranges: usize,
}

/// An evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationLine {
    /// The domain.
    pub domain: names::DomainName,
    /// How many servers it has.
    pub servers: usize,
    /// How many ranges of keys its servers still hold.
    pub ranges: usize,
}

/// The cluster as one host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostReport {
    /// The host itself.
    pub own: HostFacts,
    /// The version of the routes in force, 0 for none.
    pub routes_version: u64,
    /// How many hosts are up, including this one.
    pub hosts: usize,
    /// The term of the assignment table.
    pub term: u64,
    /// The granter that wrote the table.
    pub granter: Option<names::HostName>,
    /// The number of ranges of keys.
    pub ranges: usize,
    /// The number of ranges that are moving to another server.
    pub ranges_moving: usize,
    /// The evacuated failure domains; earlier builds report none.
    #[serde(default)]
    pub evacuated: Vec<EvacuationLine>,
    /// The servers.
    pub servers: Vec<ServerLine>,
}

/// What happens to requests for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyStatus {
    /// They go to its holder.
    Served,
    /// They wait for the end of a move.
    Moving,
    /// They are refused because the move takes too long.
    MoveOverdue,
    /// They are refused because the holder's incarnation is not registered any more.
    HolderGone,
    /// They are refused because the holder is in an evacuated failure domain.
    HolderEvacuated,
    /// They are refused because the key was never assigned.
    NeverGranted,
}

impl KeyStatus {
    /// Returns the explanation that `zinnia explain` prints.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Served => "requests go to the holder",
            Self::Moving => "requests wait for the end of a move",
            Self::MoveOverdue => "requests are refused: a former holder does not respond",
            Self::HolderGone => "requests are refused: the holder is not registered",
            Self::HolderEvacuated => {
                "requests are refused: the holder's failure domain is evacuated"
            }
            Self::NeverGranted => "requests are refused: the key was never assigned",
        }
    }
}

/// The ownership of a key as one host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyReport {
    /// The service.
    pub service: names::ServiceName,
    /// The key.
    pub key: u16,
    /// What happens to its requests.
    pub standing: KeyStatus,
    /// The assignment: keys, fence, holder, former holders.
    pub range: Option<assignment::RangeEntry>,
    /// The state that the holder registered.
    pub holder_state: Option<directory::ServerState>,
    /// How long this host has known that the holder has the key, in milliseconds.
    pub held_ms: Option<u64>,
    /// The term of the assignment table.
    pub term: u64,
}

/// Returns the report of the cluster.
#[must_use]
pub fn report_host(view: &view::ServingView, own: HostFacts) -> HostReport {
    let ranges: Vec<_> = view.table.services.values().flatten().collect();
    let count_of = |record: &directory::ServerRecord| {
        let own = ranges.iter().filter(|r| r.holder.life == record.life);
        own.count()
    };
    let servers = view.servers.values().map(|known| ServerLine {
        record: (*known.record).clone(),
        ranges: count_of(&known.record),
    });
    let servers: Vec<_> = servers.collect();
    HostReport {
        own,
        routes_version: view.routes.as_ref().map_or(0, |routes| routes.version),
        hosts: view.hosts,
        term: view.table.term,
        granter: view
            .table
            .granter
            .as_ref()
            .map(|incarnation| incarnation.host.clone()),
        ranges: ranges.len(),
        ranges_moving: ranges.iter().filter(|r| !r.formers.is_empty()).count(),
        evacuated: report_evacuated(view, &servers),
        servers,
    }
}

fn report_evacuated(view: &view::ServingView, servers: &[ServerLine]) -> Vec<EvacuationLine> {
    let domains = view.evacuated.evacuated();
    let lines = domains.map(|domain| {
        let own = servers.iter().filter(|line| line.record.domain == *domain);
        EvacuationLine {
            domain: domain.clone(),
            servers: own.clone().count(),
            ranges: own.map(|line| line.ranges).sum(),
        }
    });
    lines.collect()
}

/// Returns the report of a key; none where the service is unknown or not sharded.
#[must_use]
pub fn report_key(
    view: &view::ServingView,
    service: &names::ServiceName,
    key: u16,
    now: clock::MonoTime,
) -> Option<KeyReport> {
    let routes = view.routes.as_ref()?;
    routes.services.get(service).filter(|spec| spec.sharded)?;
    let range = view.table.find(service, key);
    let holder = range.and_then(|range| view.servers.get(&range.holder.life.server));
    let holder = holder.map(|known| &known.record);
    let holder = holder.filter(|record| range.is_some_and(|r| r.holder.life == record.life));
    let held = range.and_then(|range| view.ages.held_since(range));
    let until = holder.and_then(|record| view.evacuated.keyed_until(&record.domain));
    let is_cut_off = until.is_some_and(|until| now >= until);
    let standing = match view.owner(service, key) {
        view::KeyOwner::None => KeyStatus::NeverGranted,
        view::KeyOwner::Moving(range) if view.ages.is_overdue(range, now) => KeyStatus::MoveOverdue,
        view::KeyOwner::Moving(_) => KeyStatus::Moving,
        view::KeyOwner::Server(_) if holder.is_none() => KeyStatus::HolderGone,
        view::KeyOwner::Server(_) if is_cut_off => KeyStatus::HolderEvacuated,
        view::KeyOwner::Server(_) => KeyStatus::Served,
    };
    Some(KeyReport {
        service: service.clone(),
        key,
        standing,
        range: range.cloned(),
        holder_state: holder.map(|record| record.state),
        held_ms: held.map(|held| u64::try_from(now.since(held).as_millis()).unwrap_or(u64::MAX)),
        term: view.table.term,
    })
}
