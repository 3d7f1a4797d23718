//! The exchange of status updates between entry hosts over `tarpc`.

use std::cell;
use std::collections;
use std::future;
use std::net;
use std::rc;
use std::time;

use crate::edge::ports;
use crate::edge::rpc;
use crate::serving::status;

/// Time-out of connecting to a host and of a call to it, in milliseconds: a round trip over a link
/// on which packets wait for up to half a second in each direction.
pub const STATUS_EXCHANGE_TIMEOUT_MS: u64 = 1_100;
/// Time-out of a request for store records, in milliseconds: a round trip, and several hundred
/// kilobytes over the slowest links.
pub const RECORDS_TIMEOUT_MS: u64 = 2_000;
/// The largest message between hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The remote calls of an entry host.
#[tarpc::service]
pub trait StatusExchangeService {
    /// Delivers a host's status update and returns this host's. Returns `None` when this host is
    /// stopping.
    async fn exchange(news: status::HostStatusUpdate) -> Option<status::HostStatusUpdate>;

    /// Returns the store records that the calling host lacks. Returns `None` when this host is
    /// stopping.
    async fn records(request: status::RecordRequest) -> Option<status::StoreRelay>;
}

/// A call of another host, for the control thread to handle.
#[derive(Debug)]
pub enum HostCall {
    /// An exchange of status updates.
    Status {
        /// The other host's status update.
        status: Box<status::HostStatusUpdate>,
        /// Receives this host's status update.
        reply: tokio::sync::oneshot::Sender<status::HostStatusUpdate>,
    },
    /// A request for store records.
    Records {
        /// The records that the other host has.
        request: status::RecordRequest,
        /// Receives the records that it lacks.
        reply: tokio::sync::oneshot::Sender<status::StoreRelay>,
    },
}

/// Serves the status exchange by handing the calls to the control thread.
#[derive(Clone)]
pub struct StatusExchangeServer {
    calls: tokio::sync::mpsc::UnboundedSender<HostCall>,
}

impl StatusExchangeServer {
    /// Creates a server that sends the calls to `calls`.
    #[must_use]
    pub const fn new(calls: tokio::sync::mpsc::UnboundedSender<HostCall>) -> Self {
        Self { calls }
    }

    /// Serves other hosts' connections until the process ends.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn listen(self, address: net::SocketAddr) -> Result<(), ports::PortError> {
        rpc::listen(address, MAX_FRAME_BYTES, self.serve()).await
    }
}

impl StatusExchangeService for StatusExchangeServer {
    async fn exchange(
        self,
        _: tarpc::context::Context,
        status: status::HostStatusUpdate,
    ) -> Option<status::HostStatusUpdate> {
        let (reply, response) = tokio::sync::oneshot::channel();
        let status = Box::new(status);
        self.calls.send(HostCall::Status { status, reply }).ok()?;
        response.await.ok()
    }

    async fn records(
        self,
        _: tarpc::context::Context,
        request: status::RecordRequest,
    ) -> Option<status::StoreRelay> {
        let (reply, response) = tokio::sync::oneshot::channel();
        self.calls.send(HostCall::Records { request, reply }).ok()?;
        response.await.ok()
    }
}

/// Client of the status exchange, with one persistent connection for each host.
#[derive(Clone, Default)]
pub struct StatusExchangeClient {
    connections:
        rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, StatusExchangeServiceClient>>>,
}

impl StatusExchangeClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Exchanges status updates with a host. After a failure the next call connects anew.
    ///
    /// # Errors
    /// Fails when the host cannot be reached or does not respond in time.
    pub async fn exchange(
        &self,
        peer: net::SocketAddr,
        status: status::HostStatusUpdate,
    ) -> Result<status::HostStatusUpdate, ports::PortError> {
        let client = self.connect(peer).await?;
        let limit = time::Duration::from_millis(STATUS_EXCHANGE_TIMEOUT_MS);
        let response = client.exchange(context(limit), status);
        self.finish_call("ask-peer", peer, limit, response).await
    }

    /// Requests the store records that this host lacks. After a failure the next call connects
    /// anew.
    ///
    /// # Errors
    /// Fails when the host cannot be reached or does not respond in time.
    pub async fn records(
        &self,
        peer: net::SocketAddr,
        request: status::RecordRequest,
    ) -> Result<status::StoreRelay, ports::PortError> {
        let client = self.connect(peer).await?;
        let limit = time::Duration::from_millis(RECORDS_TIMEOUT_MS);
        let response = client.records(context(limit), request);
        self.finish_call("request-records", peer, limit, response)
            .await
    }

    // Waits for the response of a call until `limit`; drops the connection after a failure.
    async fn finish_call<T>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        limit: time::Duration,
        response: impl future::Future<Output = Result<Option<T>, tarpc::client::RpcError>>,
    ) -> Result<T, ports::PortError> {
        let error = match tokio::time::timeout(limit, response).await {
            Ok(Ok(Some(response))) => return Ok(response),
            Ok(Ok(None)) => "the host is stopping".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        self.connections.borrow_mut().remove(&peer);
        Err(rpc::port_error(step, peer, error))
    }

    async fn connect(
        &self,
        peer: net::SocketAddr,
    ) -> Result<StatusExchangeServiceClient, ports::PortError> {
        let known = self.connections.borrow().get(&peer).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let limit = time::Duration::from_millis(STATUS_EXCHANGE_TIMEOUT_MS);
        let transport = rpc::connect(peer, MAX_FRAME_BYTES, limit).await?;
        let config = tarpc::client::Config::default();
        let client = StatusExchangeServiceClient::new(config, transport).spawn();
        self.connections.borrow_mut().insert(peer, client.clone());
        Ok(client)
    }
}

// The context of a call that ends after `limit`.
fn context(limit: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + limit;
    context
}
