//! The granter's actions and their outcomes.

use std::net;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::hold_expiry;

/// Time-out of a grant order, in milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 500;
/// Delay before an order without success is sent again, in milliseconds.
pub const ORDER_RETRY_MS: u64 = 150;
/// Time-out of a release order, in milliseconds. The server responds once its running requests for
/// the range have finished.
pub const RELEASE_TIMEOUT_MS: u64 = 1_500;

/// Identifies a range of keys in one assignment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RangeId {
    /// The service.
    pub service: names::ServiceName,
    /// The first key.
    pub first: u16,
    /// The last key, inclusive.
    pub last: u16,
    /// The fence of the assignment.
    pub fence: u64,
}

/// An order that lets a server hold a range of keys for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// The range.
    pub range: RangeId,
    /// The server's incarnation.
    pub life: assignment::ServerIncarnation,
    /// The address that the order is sent to.
    pub address: net::SocketAddr,
    /// How long the server may hold the keys, counted from the arrival of the order.
    pub hold: time::Duration,
    /// The latest time at which the connection that carries the order may have been opened.
    pub connected_by: clock::MonoTime,
    /// Whether a later connection may carry the order too, if the server has run a request for a key of the
    /// range over it.
    pub may_be_proven: bool,
    /// The handover token that the former holder returned on release.
    pub handover: Option<sync::Arc<str>>,
}

/// An order to a server to release a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The range.
    pub range: RangeId,
    /// The server's incarnation.
    pub life: assignment::ServerIncarnation,
    /// The address that the order is sent to.
    pub address: net::SocketAddr,
}

/// An order to a server to release the keys that it has lost, so that it refuses earlier grants of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceOrder {
    /// The number of the order at this host.
    pub number: u64,
    /// The server's incarnation.
    pub life: assignment::ServerIncarnation,
    /// The address that the order is sent to.
    pub address: net::SocketAddr,
    /// The keys, under the newest fence.
    pub ranges: Vec<RangeId>,
}

/// An action that the granter asks its caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GranterAction {
    /// Append an assignment table to the log, provided that the log ends at `at`.
    Append {
        /// The number of the append at this host. The sendings of one table have the same number.
        number: u64,
        /// The table.
        table: assignment::AssignmentTable,
        /// The offset at which the log must end.
        at: u64,
    },
    /// Send a grant order.
    Grant(GrantOrder),
    /// Send a release order.
    Release(ReleaseOrder),
    /// Send a release order to a server whose hold has expired without a response.
    Fence(FenceOrder),
    /// Read the log without waiting, to confirm that no other host has claimed the role.
    Confirm,
    /// Leave the granter role to another host for a while.
    Yield,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Appended {
        /// The era of the store in which the record was appended.
        era: u64,
        /// The offset at which the log ends after the record.
        end: u64,
    },
    /// The log did not end at the expected offset; nothing was appended.
    Conflict,
    /// The log refused the append; nothing was appended.
    Refused,
    /// The record may be in the log already, or may still get there.
    Unknown,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server carried out the order. A release may return a handover token for the next holder.
    Done(Option<sync::Arc<str>>),
    /// The server has seen a higher fence.
    Refused,
    /// No response arrived; the connection was reset.
    Unanswered,
    /// The connection could not be opened.
    Unsent,
    /// The grant was not sent: no connection leads to a process that is known to be the right one.
    Withheld,
    /// A different server responded at the address: the intended one has ended.
    Replaced,
    /// The response says that the server does not support the order, as one of an unsharded service
    /// responds.
    Rejected,
}

impl OrderOutcome {
    /// Returns the value of the outcome's metric label.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Unsent => "unsent",
            Self::Withheld => "withheld",
            Self::Replaced => "replaced",
            Self::Rejected => "rejected",
        }
    }

    pub(crate) const fn arrival(&self) -> hold_expiry::OrderArrival {
        match self {
            Self::Done(_) | Self::Refused | Self::Replaced | Self::Rejected => {
                hold_expiry::OrderArrival::Answered
            }
            Self::Unanswered => hold_expiry::OrderArrival::Possible,
            Self::Unsent => hold_expiry::OrderArrival::Unsent,
            Self::Withheld => hold_expiry::OrderArrival::Withheld,
        }
    }
}
