//! What an answer says of a request: whether it ran, and why it was refused.

use crate::contract;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The owner ran it and this is its answer.
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
        /// Why a request was not answered by its owner.
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

            /// Returns the HTTP status of the answer.
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
    /// The feature is retired.
    FeatureRetired = "feature-retired" 410,
    /// No such feature is configured for the service.
    FeatureUnknown = "feature-unknown" 410,
    /// The body is larger than the service takes.
    BodyTooLarge = "body-too-large" 413,
    /// The host has no configuration yet.
    Starting = "starting" 503,
    /// The host is stopping.
    Stopping = "stopping" 503,
    /// The host is out of contact, and the feature's work is then held.
    FeatureHeld = "feature-held" 503,
    /// The key's shard has no owner.
    NoOwner = "no-owner" 503,
    /// The owner does not check fences, and this host may not send to it now.
    NoTableLease = "no-table-lease" 503,
    /// The queue is full.
    QueueFull = "queue-full" 503,
    /// The queue is too long for the deadline.
    QueueHopeless = "queue-hopeless" 503,
    /// Too many requests were sent again already.
    RetryBudget = "retry-budget" 503,
    /// No connection to the owner could be made.
    Unreachable = "unreachable" 503,
    /// The owner refused the fence.
    WrongFence = "wrong-fence" 503,
    /// The owner's lease has lapsed.
    LeaseLapsed = "lease-lapsed" 503,
    /// The owner sheds load.
    ServerShed = "server-shed" 503,
    /// The owner received it after its deadline.
    ServerLate = "server-late" 504,
    /// The exchange with the owner broke off.
    ExchangeBroken = "exchange-broken" 502,
    /// The deadline passed before the request was sent.
    DeadlineQueued = "deadline-queued" 504,
    /// The deadline passed while the owner had the request.
    DeadlineSent = "deadline-sent" 504,
}

impl RefusalReason {
    /// Reports whether a caller may expect better of another try soon.
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

/// The body of an answer that the owner did not give.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RefusalBody {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// The step at which it ended.
    pub step: String,
    /// The server it was meant for, where one was known.
    pub peer: Option<String>,
    /// The request's id, where it had one.
    pub request_id: Option<String>,
}
