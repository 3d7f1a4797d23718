//! What a host tells operators: what it knows of the whole, and where a key's requests go.

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::serving::directory;
use crate::serving::view;

/// Where a host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// It does not know enough yet to serve.
    Starting,
    /// It takes callers.
    Ready,
    /// It is about to end.
    Stopping,
}

impl HostPhase {
    /// Returns the phase's name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Stopping => "stopping",
        }
    }
}

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostFacts {
    /// The host.
    pub host: names::HostName,
    /// Its failure domain.
    pub domain: names::DomainName,
    /// Where it is in its life.
    pub phase: HostPhase,
    /// Whether it grants.
    pub granting: bool,
    /// Whether the store turns it away.
    pub store_lost: bool,
    /// The requests under way.
    pub in_flight: i64,
}

/// One server, as a host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerLine {
    /// The server's entry.
    pub record: directory::ServerRecord,
    /// How many ranges of keys it holds or is to hold.
    pub ranges: usize,
}

/// What a host knows of the whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostReport {
    /// The host itself.
    pub own: HostFacts,
    /// The version of the routes in force, 0 for none.
    pub routes_version: u64,
    /// How many hosts exchange news, this one included.
    pub hosts: usize,
    /// The term of the book of grants.
    pub term: u64,
    /// The host that granted last.
    pub granter: Option<names::HostName>,
    /// How many ranges of keys there are.
    pub ranges: usize,
    /// How many of them are on their way to another server.
    pub ranges_moving: usize,
    /// The servers.
    pub servers: Vec<ServerLine>,
}

/// Where the requests for a key go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyStatus {
    /// To its holder.
    Served,
    /// They wait for the end of a move.
    Moving,
    /// They are refused: the move takes too long.
    MoveOverdue,
    /// They are refused: the holder is no server that may be sent to.
    HolderGone,
    /// They are refused: no server has held it yet.
    NeverGranted,
}

impl KeyStatus {
    /// Returns the standing in words.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Served => "requests go to the holder",
            Self::Moving => "requests wait for the end of a move",
            Self::MoveOverdue => "requests are refused: a former holder is silent",
            Self::HolderGone => "requests are refused: the holder is gone",
            Self::NeverGranted => "requests are refused: no server has held the key yet",
        }
    }
}

/// What a host knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyReport {
    /// The service.
    pub service: names::ServiceName,
    /// The key.
    pub key: u16,
    /// Where its requests go.
    pub standing: KeyStatus,
    /// The assignment: keys, fence, holder, former holders.
    pub range: Option<assignment::RangeEntry>,
    /// The state of the holder's entry.
    pub holder_state: Option<directory::ServerState>,
    /// How long this host has known that the holder has the key, in milliseconds.
    pub held_ms: Option<u64>,
    /// The term of the book that says so.
    pub term: u64,
}

/// Returns what a host knows of the whole.
#[must_use]
pub fn report_host(view: &view::ServingView, own: HostFacts) -> HostReport {
    let ranges: Vec<_> = view.table.services.values().flatten().collect();
    let count_of = |record: &directory::ServerRecord| {
        let own = ranges.iter().filter(|r| r.holder.life == record.life);
        own.count()
    };
    let servers = view.servers.values().map(|record| ServerLine {
        record: (**record).clone(),
        ranges: count_of(record),
    });
    HostReport {
        own,
        routes_version: view.routes.as_ref().map_or(0, |routes| routes.version),
        hosts: view.hosts,
        term: view.table.term,
        granter: view.table.granter.as_ref().map(|life| life.host.clone()),
        ranges: ranges.len(),
        ranges_moving: ranges.iter().filter(|r| !r.formers.is_empty()).count(),
        servers: servers.collect(),
    }
}

/// Returns what a host knows of a key; none where the service has no keys or is not known.
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
    let holder = holder.filter(|record| range.is_some_and(|r| r.holder.life == record.life));
    let held = range.and_then(|range| view.ages.held_since(range));
    let standing = match view.owner(service, key) {
        view::KeyOwner::None => KeyStatus::NeverGranted,
        view::KeyOwner::Moving(range) if view.ages.is_overdue(range, now) => KeyStatus::MoveOverdue,
        view::KeyOwner::Moving(_) => KeyStatus::Moving,
        view::KeyOwner::Server(_) if holder.is_none() => KeyStatus::HolderGone,
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
