//! What a platform's adapter provides, used as generics: the store, orders to servers, and the
//! headers of requests.

use std::future;
use std::net;
use std::sync;
use std::time;

use crate::names;
use crate::ownership::order;
use crate::routing::specification;
use crate::serving::directory;

/// What the store keeps, apart from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// The operators' newest set of routes.
    Routes,
    /// The servers' entries.
    Servers,
    /// The entry hosts.
    Hosts,
    /// The book of grants.
    Book,
}

impl StoreTopic {
    /// Every topic.
    pub const ALL: [Self; 4] = [Self::Routes, Self::Servers, Self::Hosts, Self::Book];

    /// Returns the topic's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Servers => "servers",
            Self::Hosts => "hosts",
            Self::Book => "book",
        }
    }
}

/// A record with a key; without a value it removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: sync::Arc<str>,
    /// The value.
    pub value: Option<bytes::Bytes>,
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Where reading goes on.
    pub end: u64,
}

/// Records in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreBatch {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Where reading goes on.
    pub next: u64,
}

/// A call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// The records are not kept any longer.
    #[snafu(display("step={step} peer={peer} fault=\"the records are gone\""))]
    Gone {
        /// The step.
        step: &'static str,
        /// The store.
        peer: net::SocketAddr,
    },
    /// The store refused the call; nothing was done.
    #[snafu(display("step={step} peer={peer} status={status}"))]
    Refused {
        /// The step.
        step: &'static str,
        /// The store.
        peer: net::SocketAddr,
        /// The status.
        status: u16,
    },
    /// No answer came, or none that can be read.
    #[snafu(display("step={step} peer={peer} fault=\"{fault}\""))]
    Lost {
        /// The step.
        step: &'static str,
        /// The store.
        peer: net::SocketAddr,
        /// What went wrong.
        fault: String,
    },
}

/// The platform's store.
pub trait StorePort: Clone + 'static {
    /// Reads the newest record of each key.
    fn newest(
        &self,
        topic: StoreTopic,
    ) -> impl future::Future<Output = Result<StoreSnapshot, StoreError>>;

    /// Reads records from an offset on; waits up to `wait` for the first.
    fn read(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<StoreBatch, StoreError>>;

    /// Appends a record, where the topic ends at `at` if that is given.
    fn append(
        &self,
        topic: StoreTopic,
        record: &KeyedRecord,
        at: Option<u64>,
    ) -> impl future::Future<Output = order::AppendOutcome>;

    /// Joins the hosts that may grant, or stays among them; tells whether it is this host's turn.
    fn join(&self) -> impl future::Future<Output = Result<bool, StoreError>>;

    /// Leaves the hosts that may grant.
    fn leave(&self) -> impl future::Future<Output = Result<(), StoreError>>;
}

/// A record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step=decode peer={source_key} fault=\"{fault}\""))]
pub struct DecodeError {
    /// The record's key.
    pub source_key: String,
    /// What is wrong.
    pub fault: String,
}

/// Reads what operators and servers write.
pub trait RecordDecoder: Clone + 'static {
    /// Reads a set of routes; none where the record is another one.
    ///
    /// # Errors
    /// Fails when the record cannot be read or does not pass the checks.
    fn routes(&self, record: &KeyedRecord) -> Result<Option<specification::RouteSet>, DecodeError>;

    /// Reads a server's entry.
    ///
    /// # Errors
    /// Fails when the record cannot be read.
    fn server(&self, record: &KeyedRecord) -> Result<directory::ServerRecord, DecodeError>;
}

/// Orders to servers.
pub trait OrderPort: Clone + 'static {
    /// Orders a server to hold keys.
    fn grant(&self, order: &order::GrantOrder)
    -> impl future::Future<Output = order::OrderOutcome>;

    /// Orders a server to let keys go.
    fn release(
        &self,
        order: &order::ReleaseOrder,
    ) -> impl future::Future<Output = order::OrderOutcome>;
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The request's id.
    pub id: Option<sync::Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
    /// The key.
    pub key: Option<u16>,
}

/// What a server's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Whether it is the answer to this request.
    pub matches_request: bool,
    /// Whether the server vouches for the answer.
    pub is_signed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
}

/// The headers of requests and answers.
pub trait HeaderCodec: Clone + 'static {
    /// Reads a caller's headers.
    fn read_request(&self, headers: &actix_web::http::header::HeaderMap) -> CallerHeaders;

    /// Reports whether a caller's header is replaced by one of this host's own.
    fn is_replaced(&self, name: &str) -> bool;

    /// Adds what this host tells a server: the time left, and whom it takes the server for.
    fn write_request(
        &self,
        headers: &mut hyper::HeaderMap,
        left: time::Duration,
        server: &names::ServerName,
    );

    /// Reads a server's headers.
    fn read_response(&self, headers: &hyper::HeaderMap, id: Option<&str>) -> ResponseHeaders;

    /// Returns the path at which the platform asks whether this host is ready.
    fn ready_path(&self) -> &'static str;
}
