//! The messages that backend servers exchange with a granter: claims, leases and grants.

use crate::fence;
use crate::names;

/// The HTTP header that carries a request's fence to the server.
pub const FENCE_HEADER: &str = "zinnia-fence";
/// The HTTP header that carries a request's shard to the server.
pub const SHARD_HEADER: &str = "zinnia-shard";
/// The HTTP header that carries the request id both ways.
pub const REQUEST_ID_HEADER: &str = "zinnia-request-id";
/// The HTTP header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "zinnia-deadline-ms";
/// The HTTP header that names the feature whose work a request is.
pub const FEATURE_HEADER: &str = "zinnia-feature";
/// The HTTP header that states a request's outcome.
pub const OUTCOME_HEADER: &str = "zinnia-outcome";
/// The HTTP header that states why a request was refused.
pub const REASON_HEADER: &str = "zinnia-reason";

/// A shard and the fence under which it was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShardGrant {
    /// The shard.
    pub shard: names::ShardId,
    /// Its fence.
    pub fence: fence::GrantFence,
}

/// A point on one server process's clock, handed out with each answer. A lease counts from it, so
/// that a renewal that was delayed on its way gives no longer lease than its sender counts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseToken {
    /// The server process's random number.
    pub incarnation: u64,
    /// The server's monotonic clock, in microseconds.
    pub clock_us: u64,
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests finished since the process started.
    pub finished: u64,
}

/// A server's own state, part of each answer to a granter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerStatus {
    /// The token from which the next lease may count.
    pub token: LeaseToken,
    /// How long the process has run, in milliseconds.
    pub up_ms: u64,
    /// The highest term that the server acknowledged.
    pub promised: Option<fence::TermId>,
    /// The highest number of a witness set that it was told.
    pub witness_set: u64,
    /// The highest configuration version that it was told.
    pub version: u64,
    /// Shards that it no longer owns but still runs work of.
    pub releasing: Vec<names::ShardId>,
    /// Whether it asks to be relieved of its shards.
    pub draining: bool,
    /// Its load.
    pub load: LoadReport,
}

/// Asks a server to promise a term, or with `probe` just for its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimOrder {
    /// The term that is claimed.
    pub term: fence::TermId,
    /// The number of the witness set that the claimant knows.
    pub witness_set: u64,
    /// The configuration version that the claimant knows.
    pub version: u64,
    /// Whether the server shall promise nothing.
    pub probe: bool,
}

/// A server's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimReply {
    /// Whether the term is promised; for a probe, whether it would be.
    pub accepted: bool,
    /// The time since another term was last acknowledged, in milliseconds.
    pub ack_age_ms: Option<u64>,
    /// What is left of the server's lease, in milliseconds; 0 when it has none.
    pub lease_left_ms: u64,
    /// The grants that the server holds.
    pub held: Vec<ShardGrant>,
    /// The server's state.
    pub status: ServerStatus,
}

/// Renews a server's lease, and replaces its grants where they changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseOrder {
    /// The granter's term.
    pub term: fence::TermId,
    /// The number of the witness set that the granter uses.
    pub witness_set: u64,
    /// The configuration version that the granter uses.
    pub version: u64,
    /// The order's number within the term; a server ignores one that is not higher than the last.
    pub sequence: u64,
    /// The token from which the lease counts, none before the first answer.
    pub token: Option<LeaseToken>,
    /// The length of the lease from the token on, in milliseconds.
    pub lease_ms: u64,
    /// The number of the grants' state within the term.
    pub revision: u64,
    /// All grants of the server, where it may not have them yet.
    pub grants: Option<Vec<ShardGrant>>,
}

/// What a server made of a lease order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseVerdict {
    /// The lease counts from the token, and the grants are those of the revision.
    Renewed,
    /// The term is acknowledged, but the token is missing or no longer current.
    NeedToken,
    /// The term is acknowledged, but the server does not have that revision's grants.
    NeedGrants,
    /// The order is older than what the server knows.
    Refused,
}

/// A server's answer to a lease order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseReply {
    /// What became of the order.
    pub verdict: LeaseVerdict,
    /// The server's state.
    pub status: ServerStatus,
}

/// Why a server did not run a request. Each says that no part of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerRefusal {
    /// The shard is not held under that fence.
    WrongFence,
    /// The server's lease has lapsed.
    LeaseLapsed,
    /// All slots are taken.
    Shed,
    /// The deadline had passed.
    Late,
}

impl ServerRefusal {
    /// Every refusal.
    pub const ALL: [Self; 4] = [Self::WrongFence, Self::LeaseLapsed, Self::Shed, Self::Late];

    /// Returns the value of the reason header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WrongFence => "wrong-fence",
            Self::LeaseLapsed => "lease-lapsed",
            Self::Shed => "shed",
            Self::Late => "late",
        }
    }
}
