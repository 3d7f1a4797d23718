//! What a response states of its request: whether it ran, and why it was refused.

use crate::contract;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The owner ran it, and this is its response.
    Ran,
    /// No part of it ran.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $variant:ident = $word:literal $status:literal),* $(,)?) => {
        /// Why a response does not come from the owner.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum RefusalReason {
            $($(#[$doc])* $variant),*
        }

        impl RefusalReason {
            /// Every reason.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the value of the reason header.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $word),* }
            }

            /// Returns the HTTP status code of the response.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status),* }
            }
        }
    };
}

refusal_reasons! {
    /// A header is missing or malformed.
    Malformed = "malformed" 400,
    /// The body ended before its stated length.
    BodyIncomplete = "body-incomplete" 400,
    /// No such service is configured.
    UnknownService = "unknown-service" 404,
    /// The feature was retired.
    FeatureRetired = "feature-retired" 410,
    /// The feature is not configured for the service.
    FeatureUnknown = "feature-unknown" 410,
    /// The body is larger than the service allows.
    BodyTooLarge = "body-too-large" 413,
    /// The host has no configuration yet.
    Starting = "starting" 503,
    /// The host is stopping.
    Stopping = "stopping" 503,
    /// A response before the request closes the connection, so the request counts as not read.
    Unread = "unread" 503,
    /// The host's memory is used up, or the request gave way to others.
    HostFull = "host-full" 503,
    /// The host is out of contact, and the feature's requests are held meanwhile.
    FeatureHeld = "feature-held" 503,
    /// The key's shard has no owner.
    NoOwner = "no-owner" 503,
    /// The owner does not check fences, and this host has no table lease for its domain.
    NoTableLease = "no-table-lease" 503,
    /// The queue is full.
    QueueFull = "queue-full" 503,
    /// The expected wait in the queue exceeds the deadline.
    QueueHopeless = "queue-hopeless" 503,
    /// The retry budget is used up.
    RetryBudget = "retry-budget" 503,
    /// No connection to the owner could be made.
    Unreachable = "unreachable" 503,
    /// The owner does not hold the shard under this fence.
    WrongFence = "wrong-fence" 503,
    /// The owner's lease has lapsed.
    LeaseLapsed = "lease-lapsed" 503,
    /// The owner shed the request: all its slots were taken.
    ServerShed = "server-shed" 503,
    /// The owner received the request after its deadline.
    ServerLate = "server-late" 504,
    /// The connection to the owner broke during the exchange.
    ExchangeBroken = "exchange-broken" 502,
    /// The deadline passed before the request was sent.
    DeadlineQueued = "deadline-queued" 504,
    /// The deadline passed after the request was sent.
    DeadlineSent = "deadline-sent" 504,
}

impl RefusalReason {
    /// Returns the reason to state with an outcome. A status of 503 tells a caller that its request did not
    /// run, so it is not stated of a request that may have run in an earlier attempt.
    #[must_use]
    pub const fn with_outcome(self, outcome: RequestOutcome) -> Self {
        if matches!(outcome, RequestOutcome::Unknown) && self.status() == 503 {
            return Self::ExchangeBroken;
        }
        self
    }

    /// Reports whether a retry by the caller may succeed soon.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        self.status() == 503
    }
}

impl From<contract::ServerRefusal> for RefusalReason {
    fn from(refusal: contract::ServerRefusal) -> Self {
        match refusal {
            contract::ServerRefusal::WrongFence => Self::WrongFence,
            contract::ServerRefusal::LeaseLapsed => Self::LeaseLapsed,
            contract::ServerRefusal::Shed => Self::ServerShed,
            contract::ServerRefusal::Late => Self::ServerLate,
        }
    }
}

/// The body of a response that does not come from the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RefusalBody {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// The step at which the request ended.
    pub step: String,
    /// The server that the request was for, if known.
    pub peer: Option<String>,
    /// The request's id, if it had one.
    pub request_id: Option<String>,
}
