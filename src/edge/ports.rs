//! The interfaces to the outside, used as generics.

use std::future;
use std::net;

use crate::configuration;
use crate::contract;
use crate::peer;
use crate::platform;
use crate::record;

/// The steps at which calls to the outside fail.
pub const STEPS: [&str; 7] = [
    "read-log",
    "append-log",
    "read-hosts",
    "claim-term",
    "renew-lease",
    "connect-peer",
    "ask-peer",
];

/// A call to the outside failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step={step} peer={peer} fault=\"{fault}\""))]
#[snafu(visibility(pub))]
pub struct PortError {
    /// The step that failed.
    pub step: &'static str,
    /// Whom it was addressed to.
    pub peer: String,
    /// What went wrong.
    pub fault: String,
}

/// The platform's append-only log.
pub trait PlatformLog: Clone + 'static {
    /// Reads records from an offset on.
    fn read(&self, from: u64)
    -> impl future::Future<Output = Result<platform::LogPage, PortError>>;

    /// Appends a record.
    fn append(
        &self,
        record: &record::LogRecord,
    ) -> impl future::Future<Output = Result<platform::AppendReply, PortError>>;
}

/// The platform's list of hosts.
pub trait HostList: Clone + 'static {
    /// Reads the list.
    fn list(&self) -> impl future::Future<Output = Result<platform::HostListing, PortError>>;
}

/// The backend servers' side for granters.
pub trait ServerPort: Clone + 'static {
    /// Asks a server to promise a term.
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
    /// Asks a host for its news.
    fn exchange(
        &self,
        peer: net::SocketAddr,
        request: &peer::ExchangeRequest,
    ) -> impl future::Future<Output = Result<peer::ExchangeReply, PortError>>;
}
