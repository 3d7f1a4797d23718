//! The traits through which the control thread calls the platform, servers and other entry hosts.
//!
//! They are used as generic parameters, so that tests can supply implementations of their own.

use std::future;
use std::net;

use crate::configuration;
use crate::contract;
use crate::peer;
use crate::platform;
use crate::record;

/// The calls that can fail, as the label `step` of the metric `calls_failed` names them.
pub const STEPS: [&str; 7] = [
    "read-log",
    "append-log",
    "read-hosts",
    "claim-term",
    "renew-lease",
    "connect-peer",
    "ask-peer",
];

/// A call to the platform, a server or another host failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step={step} peer={peer} fault=\"{fault}\""))]
#[snafu(visibility(pub))]
pub struct PortError {
    /// The step that failed.
    pub step: &'static str,
    /// The address that was called.
    pub peer: String,
    /// The cause.
    pub fault: String,
}

/// The platform's append-only log.
pub trait PlatformLog: Clone + 'static {
    /// Reads the records from an offset on.
    fn read(&self, from: u64)
    -> impl future::Future<Output = Result<platform::LogPage, PortError>>;

    /// Appends a record.
    fn append(
        &self,
        record: &record::LogRecord,
    ) -> impl future::Future<Output = Result<platform::AppendReply, PortError>>;
}

/// The platform's host list.
pub trait HostList: Clone + 'static {
    /// Reads the list.
    fn list(&self) -> impl future::Future<Output = Result<platform::HostListing, PortError>>;
}

/// The calls of granters to backend servers.
pub trait ServerPort: Clone + 'static {
    /// Asks a server to promise a term, or only for its state if the order is a probe.
    fn claim(
        &self,
        server: &configuration::ServerSpec,
        order: &contract::ClaimOrder,
    ) -> impl future::Future<Output = Result<contract::ClaimReply, PortError>>;

    /// Renews a server's lease.
    fn lease(
        &self,
        server: &configuration::ServerSpec,
        order: &contract::LeaseOrder,
    ) -> impl future::Future<Output = Result<contract::LeaseReply, PortError>>;
}

/// The other entry hosts.
pub trait PeerPort: Clone + 'static {
    /// Asks a host for what this one does not know yet, and reports what this one knows.
    fn exchange(
        &self,
        peer: net::SocketAddr,
        request: &peer::ExchangeRequest,
    ) -> impl future::Future<Output = Result<peer::ExchangeReply, PortError>>;
}
