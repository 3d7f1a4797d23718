//! The status exchange between entry hosts over `tarpc`.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use crate::edge::controller;
use crate::edge::ports;
use crate::edge::rpc;
use crate::peer;

/// The time-out of connecting to another entry host, and of one exchange with it, in milliseconds.
pub const EXCHANGE_TIMEOUT_MS: u64 = 500;
/// The largest message between entry hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The remote calls that an entry host serves to others.
#[tarpc::service]
pub trait PeerService {
    /// Returns what the calling host does not know yet; `None` if this host's control thread has
    /// ended.
    async fn exchange(request: peer::ExchangeRequest) -> Option<peer::ExchangeReply>;
}

/// Serves other entry hosts' calls from the control thread.
#[derive(Clone)]
pub struct PeerResponder {
    control: controller::ControlHandle,
}

impl PeerResponder {
    /// Creates a responder.
    #[must_use]
    pub const fn new(control: controller::ControlHandle) -> Self {
        Self { control }
    }

    /// Accepts connections of other entry hosts until the process ends.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn listen(self, address: net::SocketAddr) -> Result<(), ports::PortError> {
        rpc::listen(address, MAX_FRAME_BYTES, self.serve()).await
    }
}

impl PeerService for PeerResponder {
    async fn exchange(
        self,
        _: tarpc::context::Context,
        request: peer::ExchangeRequest,
    ) -> Option<peer::ExchangeReply> {
        self.control.exchange(request).await
    }
}

/// Calls other entry hosts, over one persistent connection to each.
#[derive(Clone, Default)]
pub struct PeerClient {
    connections: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, PeerServiceClient>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    async fn connect(&self, peer: net::SocketAddr) -> Result<PeerServiceClient, ports::PortError> {
        let known = self.connections.borrow().get(&peer).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let limit = time::Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        let transport = rpc::connect(peer, MAX_FRAME_BYTES, limit).await?;
        let config = tarpc::client::Config::default();
        let client = PeerServiceClient::new(config, transport).spawn();
        self.connections.borrow_mut().insert(peer, client.clone());
        Ok(client)
    }
}

impl ports::PeerPort for PeerClient {
    async fn exchange(
        &self,
        peer: net::SocketAddr,
        request: &peer::ExchangeRequest,
    ) -> Result<peer::ExchangeReply, ports::PortError> {
        let client = self.connect(peer).await?;
        let mut context = tarpc::context::current();
        let limit = time::Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        context.deadline = time::Instant::now() + limit;
        let response = client.exchange(context, request.clone()).await;
        let fault = match response {
            Ok(Some(reply)) => return Ok(reply),
            Ok(None) => "the host is stopping".to_owned(),
            Err(e) => e.to_string(),
        };
        self.connections.borrow_mut().remove(&peer);
        Err(rpc::port_error("ask-peer", peer, fault))
    }
}
