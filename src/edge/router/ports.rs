//! The interfaces that a platform's adapter implements: the store, orders to servers, and the
//! headers of requests. They are used through generics.

use std::future;
use std::net;
use std::sync;
use std::time;

use crate::names;
use crate::ownership::order;
use crate::routing::specification;
use crate::serving::directory;
use crate::serving::evacuation;
use crate::serving::topic;

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// The era of the store in which they were read.
    pub era: u64,
    /// The records.
    pub records: Vec<topic::LogRecord>,
    /// The offset at which reading continues.
    pub end: u64,
}

/// Consecutive records of a topic, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreBatch {
    /// The era of the store in which they were read.
    pub era: u64,
    /// The offset from which they were read.
    pub from: u64,
    /// The records. Malformed ones are left out.
    pub records: Vec<topic::LogRecord>,
    /// The offset at which reading continues.
    pub next: u64,
}

/// A call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// The store no longer keeps the requested records.
    #[snafu(display("step={step} peer={peer} fault=\"the records are no longer kept\""))]
    Gone {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: net::SocketAddr,
    },
    /// The store refused the call and did nothing.
    #[snafu(display("step={step} peer={peer} status={status}"))]
    Refused {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: net::SocketAddr,
        /// The status of the response.
        status: u16,
    },
    /// No response was received, or it could not be decoded; the call may have taken effect.
    #[snafu(display("step={step} peer={peer} fault=\"{error}\""))]
    Lost {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: net::SocketAddr,
        /// The cause.
        error: String,
    },
}

/// The platform's store.
pub trait StorePort: Clone + 'static {
    /// Returns the highest era of the store that any of its responses has stated, 0 before the first.
    fn era(&self) -> tokio::sync::watch::Receiver<u64>;

    /// Reads the newest record of each key.
    fn newest(
        &self,
        topic: topic::StoreTopic,
    ) -> impl future::Future<Output = Result<StoreSnapshot, StoreError>>;

    /// Reads the records from an offset on. Where there are none, waits up to `wait` for the first.
    fn read(
        &self,
        topic: topic::StoreTopic,
        from: u64,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<StoreBatch, StoreError>>;

    /// Appends records, all or none. Where `at` is given, only if the topic ends at that offset.
    fn append(
        &self,
        topic: topic::StoreTopic,
        records: &[topic::KeyedRecord],
        at: Option<u64>,
    ) -> impl future::Future<Output = order::AppendOutcome>;

    /// Joins the group of hosts that may grant, or renews the membership. Returns whether this host
    /// is the one that may claim the granter role.
    fn join(&self) -> impl future::Future<Output = Result<bool, StoreError>>;

    /// Leaves the group of hosts that may grant.
    fn leave(&self) -> impl future::Future<Output = Result<(), StoreError>>;
}

/// A record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step=decode peer={source_key} fault=\"{error}\""))]
pub struct DecodeError {
    /// The record's key.
    pub source_key: String,
    /// The cause.
    pub error: String,
}

/// Decodes the records that operators and servers write.
pub trait RecordDecoder: Clone + 'static {
    /// Decodes a set of routes. Returns `None` for a record that is not one.
    ///
    /// # Errors
    /// Fails when the record cannot be decoded or the routes are not valid.
    fn routes(
        &self,
        record: &topic::KeyedRecord,
    ) -> Result<Option<specification::RouteSet>, DecodeError>;

    /// Decodes an operator's record about the evacuation of a failure domain. Returns `None` for a record
    /// that is not one.
    ///
    /// # Errors
    /// Fails when the record names no domain, or its value is not the one of a request.
    fn evacuation(
        &self,
        record: &topic::KeyedRecord,
    ) -> Result<Option<evacuation::EvacuationRecord>, DecodeError>;

    /// Decodes a server's registration.
    ///
    /// # Errors
    /// Fails when the record cannot be decoded.
    fn server(&self, record: &topic::KeyedRecord) -> Result<directory::ServerRecord, DecodeError>;
}

/// Sends orders to servers.
pub trait OrderPort: Clone + 'static {
    /// Orders a server to hold a range of keys.
    fn grant(&self, order: &order::GrantOrder)
    -> impl future::Future<Output = order::OrderOutcome>;

    /// Orders a server to release a range of keys.
    fn release(
        &self,
        order: &order::ReleaseOrder,
    ) -> impl future::Future<Output = order::OrderOutcome>;

    /// Orders a server to release all keys that it has lost. The response is never that of another order.
    fn fence(&self, order: &order::FenceOrder)
    -> impl future::Future<Output = order::OrderOutcome>;
}

/// The parsed headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The request's id.
    pub id: Option<sync::Arc<str>>,
    /// How long the caller waits for a response.
    pub timeout: Option<time::Duration>,
    /// The key, where the request names one.
    pub key: Option<u16>,
}

/// How the id of a response compares with that of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdMatch {
    /// The response carries the request's id, so a copy of it cannot be taken for the response to another
    /// request.
    Same,
    /// Neither carries one.
    BothMissing,
    /// Only one carries an id, or the ids differ.
    #[default]
    Different,
}

/// The parsed headers of a server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Whether the response belongs to the request that was sent.
    pub id_match: IdMatch,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
    /// Whether the server reports that it did not run the request. A response with the id of another
    /// request does not report that.
    pub not_run: bool,
}

/// Reads and writes the platform's headers of requests and responses.
pub trait HeaderCodec: Clone + 'static {
    /// Parses a caller's headers.
    fn read_request(&self, headers: &actix_web::http::header::HeaderMap) -> CallerHeaders;

    /// Reports whether a caller's header is not forwarded, because `write_request` sets it.
    fn is_replaced(&self, name: &str) -> bool;

    /// Sets the headers that a server gets from this host: the time left, and the server instance
    /// that is expected at the address.
    fn write_request(
        &self,
        headers: &mut hyper::HeaderMap,
        left: time::Duration,
        server: &names::ServerName,
    );

    /// Parses a server's headers; `id` is the id of the request that was sent.
    fn read_response(&self, headers: &hyper::HeaderMap, id: Option<&str>) -> ResponseHeaders;

    /// Returns the path of the platform's readiness check.
    fn ready_path(&self) -> &'static str;
}
