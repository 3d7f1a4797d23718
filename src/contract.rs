//! The contract with backend servers: the headers of requests, and the messages that servers
//! exchange with a granter, which are claims, leases and grants.

use crate::fence;
use crate::names;

/// The HTTP header that carries the fence of a request's shard to the server.
pub const FENCE_HEADER: &str = "zinnia-fence";
/// The HTTP header that carries a request's shard to the server.
pub const SHARD_HEADER: &str = "zinnia-shard";
/// The HTTP header that carries the request id, in requests and in responses.
pub const REQUEST_ID_HEADER: &str = "zinnia-request-id";
/// The HTTP header that carries the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "zinnia-deadline-ms";
/// The HTTP header that names the feature that a request belongs to.
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
    /// The fence of the grant.
    pub fence: fence::GrantFence,
}

/// A time on one server process's clock, which the server sends with each of its replies. A lease
/// counts from the token in its order and not from the order's arrival, so that an order delayed in
/// the network does not extend the lease beyond what the granter assumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseToken {
    /// The random number of the server process.
    pub incarnation: u64,
    /// The server's monotonic clock, in microseconds.
    pub clock_us: u64,
}

/// A server's load as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadReport {
    /// The number of requests running.
    pub running: u32,
    /// The number of requests finished since the process started.
    pub finished: u64,
}

/// A server's state, which is part of each of its replies to a granter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerStatus {
    /// The token that the next lease may count from.
    pub token: LeaseToken,
    /// The process's uptime, in milliseconds.
    pub up_ms: u64,
    /// The highest term that the server acknowledged.
    pub promised: Option<fence::TermId>,
    /// The highest number of a witness set that the server has received.
    pub witness_set: u64,
    /// The highest configuration version that the server has received.
    pub version: u64,
    /// The shards that the server no longer owns but still runs requests of.
    pub releasing: Vec<names::ShardId>,
    /// Whether the server asks for its shards to be moved to other servers.
    pub draining: bool,
    /// The server's load.
    pub load: LoadReport,
}

/// Asks a server to promise a term or, with `probe`, only to report its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimOrder {
    /// The claimed term.
    pub term: fence::TermId,
    /// The number of the witness set that the claimant knows.
    pub witness_set: u64,
    /// The configuration version that the claimant knows.
    pub version: u64,
    /// Whether the server must only report its state, without a promise.
    pub probe: bool,
}

/// A server's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimReply {
    /// Whether the server promised the term or, for a probe, would promise it.
    pub accepted: bool,
    /// The time since the server last acknowledged a term other than the claimed one, in
    /// milliseconds; `None` if its process has not done so.
    pub ack_age_ms: Option<u64>,
    /// The time left of the server's lease, in milliseconds; 0 if it has none.
    pub lease_left_ms: u64,
    /// The grants that the server holds.
    pub held: Vec<ShardGrant>,
    /// The server's state.
    pub status: ServerStatus,
}

/// Renews a server's lease and, if `grants` is set, replaces its grants.
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
    /// The order's number within the term. A checked server refuses an order whose number is not
    /// higher than that of the last one.
    pub sequence: u64,
    /// The token that the lease counts from; `None` before the server's first reply.
    pub token: Option<LeaseToken>,
    /// The length of the lease, counted from the token, in milliseconds.
    pub lease_ms: u64,
    /// The version of the server's grants within the term.
    pub revision: u64,
    /// All grants of the server, sent while it may lack this revision of them.
    pub grants: Option<Vec<ShardGrant>>,
}

/// A server's verdict on a lease order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseVerdict {
    /// The lease is renewed, counted from the token, and the server has the revision's grants.
    Renewed,
    /// The term is acknowledged, but the token is missing, of another process, or too old for a
    /// lease.
    NeedToken,
    /// The term is acknowledged, but the server lacks the revision's grants.
    NeedGrants,
    /// The order's term, witness set or sequence number is older than one that the server knows.
    Refused,
}

/// A server's reply to a lease order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseReply {
    /// The server's verdict on the order.
    pub verdict: LeaseVerdict,
    /// The server's state.
    pub status: ServerStatus,
}

/// Why a server refused a request. No part of a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerRefusal {
    /// The server does not hold the shard under that fence.
    WrongFence,
    /// The server's lease has lapsed.
    LeaseLapsed,
    /// All of the server's slots are taken.
    Shed,
    /// The request's deadline had passed.
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
