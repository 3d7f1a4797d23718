//! The exchange of status updates between entry hosts over `tarpc`.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use crate::edge::ports;
use crate::edge::rpc;
use crate::serving::status;

/// Time-out of connecting to a host and of a call to it, in milliseconds.
pub const STATUS_EXCHANGE_TIMEOUT_MS: u64 = 400;
/// The largest message between hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The remote calls of an entry host.
#[tarpc::service]
pub trait StatusExchangeService {
    /// Delivers a host's status update and returns this host's. Returns `None` when this host is
    /// stopping.
    async fn exchange(news: status::HostStatusUpdate) -> Option<status::HostStatusUpdate>;
}

/// A status update of another host, for the control thread to apply and respond to.
#[derive(Debug)]
pub struct StatusExchangeRequest {
    /// The other host's status update.
    pub status: status::HostStatusUpdate,
    /// Receives this host's status update.
    pub reply: tokio::sync::oneshot::Sender<status::HostStatusUpdate>,
}

/// Serves the status exchange by handing the calls to the control thread.
#[derive(Clone)]
pub struct StatusExchangeServer {
    requests: tokio::sync::mpsc::UnboundedSender<StatusExchangeRequest>,
}

impl StatusExchangeServer {
    /// Creates a server that sends the calls to `requests`.
    #[must_use]
    pub const fn new(requests: tokio::sync::mpsc::UnboundedSender<StatusExchangeRequest>) -> Self {
        Self { requests }
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
        let request = StatusExchangeRequest { status, reply };
        self.requests.send(request).ok()?;
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
        let mut context = tarpc::context::current();
        context.deadline = time::Instant::now() + limit;
        let response = tokio::time::timeout(limit, client.exchange(context, status)).await;
        let error = match response {
            Ok(Ok(Some(status))) => return Ok(status),
            Ok(Ok(None)) => "the host is stopping".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        self.connections.borrow_mut().remove(&peer);
        Err(rpc::port_error("ask-peer", peer, error))
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
