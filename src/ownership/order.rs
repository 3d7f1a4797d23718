//! What the granter wants done, and how that ends.

use std::net;
use std::sync;
use std::time;

use crate::names;
use crate::ownership::arrival;
use crate::ownership::assignment;

/// How long an order may take, in milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 500;
/// How long after an order without an answer the next one is sent, in milliseconds.
pub const ORDER_RETRY_MS: u64 = 150;
/// How long a release may take, in milliseconds: it waits for the work under way.
pub const RELEASE_TIMEOUT_MS: u64 = 1_500;

/// Which range an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RangeId {
    /// The service.
    pub service: names::ServiceName,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fence.
    pub fence: u64,
}

/// An order to a server to hold keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// The range.
    pub range: RangeId,
    /// The server's life.
    pub life: assignment::ServerIncarnation,
    /// Where it is.
    pub address: net::SocketAddr,
    /// How long it holds them, from the order's arrival.
    pub hold: time::Duration,
    /// What the last holder handed over.
    pub handover: Option<sync::Arc<str>>,
}

/// An order to a server to let keys go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The range.
    pub range: RangeId,
    /// The server's life.
    pub life: assignment::ServerIncarnation,
    /// Where it is.
    pub address: net::SocketAddr,
}

/// What the granter wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GranterAction {
    /// Append a book where the log ends at `at`.
    Append {
        /// The book.
        table: assignment::AssignmentTable,
        /// Where the log must end.
        at: u64,
    },
    /// Send an order.
    Grant(GrantOrder),
    /// Send a release.
    Release(ReleaseOrder),
    /// Leave the duty to another host for a while.
    Yield,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It is in the log, which ends at `end` with it.
    Appended {
        /// The end.
        end: u64,
    },
    /// The log ended elsewhere; nothing was appended.
    Conflict,
    /// Nothing was appended.
    Refused,
    /// It may be in the log, or get there later.
    Unknown,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server did it; a release may yield a token for the next holder.
    Done(Option<sync::Arc<str>>),
    /// The server has seen a higher fence.
    Refused,
    /// No answer came; the connection was reset.
    Unanswered,
    /// No connection was made.
    Unsent,
    /// Another server answers at the address: the one that was meant has ended.
    Replaced,
    /// The answer says that the order makes no sense there, as a server without keys does.
    Rejected,
}

impl OrderOutcome {
    /// Returns the outcome's name in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Unsent => "unsent",
            Self::Replaced => "replaced",
            Self::Rejected => "rejected",
        }
    }

    pub(crate) const fn arrival(&self) -> arrival::OrderArrival {
        match self {
            Self::Done(_) | Self::Refused | Self::Replaced | Self::Rejected => {
                arrival::OrderArrival::Answered
            }
            Self::Unanswered => arrival::OrderArrival::Possible,
            Self::Unsent => arrival::OrderArrival::Unsent,
        }
    }
}
