//! The exchange of news between entry hosts over `tarpc`.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use crate::edge::ports;
use crate::edge::rpc;
use crate::serving::status;

/// How long a host may take to answer, in milliseconds.
pub const STATUS_EXCHANGE_TIMEOUT_MS: u64 = 400;
/// The largest message between hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// What an entry host answers to others.
#[tarpc::service]
pub trait StatusExchangeService {
    /// Takes a host's news and returns this host's.
    async fn exchange(news: status::HostStatusUpdate) -> Option<status::HostStatusUpdate>;
}

/// A question of another host, for the control thread.
#[derive(Debug)]
pub struct StatusExchangeRequest {
    /// The other host's news.
    pub news: status::HostStatusUpdate,
    /// Where this host's news go.
    pub reply: tokio::sync::oneshot::Sender<status::HostStatusUpdate>,
}

/// Passes questions on to the control thread.
#[derive(Clone)]
pub struct StatusExchangeServer {
    questions: tokio::sync::mpsc::UnboundedSender<StatusExchangeRequest>,
}

impl StatusExchangeServer {
    /// Creates a responder.
    #[must_use]
    pub const fn new(questions: tokio::sync::mpsc::UnboundedSender<StatusExchangeRequest>) -> Self {
        Self { questions }
    }

    /// Takes other hosts' connections until the process ends.
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
        news: status::HostStatusUpdate,
    ) -> Option<status::HostStatusUpdate> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        let question = StatusExchangeRequest { news, reply };
        self.questions.send(question).ok()?;
        answer.await.ok()
    }
}

/// Asks other hosts, over one kept connection each.
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

    /// Exchanges news with a host.
    ///
    /// # Errors
    /// Fails when it cannot be reached or does not answer in time.
    pub async fn exchange(
        &self,
        peer: net::SocketAddr,
        news: status::HostStatusUpdate,
    ) -> Result<status::HostStatusUpdate, ports::PortError> {
        let client = self.connect(peer).await?;
        let limit = time::Duration::from_millis(STATUS_EXCHANGE_TIMEOUT_MS);
        let mut context = tarpc::context::current();
        context.deadline = time::Instant::now() + limit;
        let answer = tokio::time::timeout(limit, client.exchange(context, news)).await;
        let fault = match answer {
            Ok(Ok(Some(news))) => return Ok(news),
            Ok(Ok(None)) => "the host is stopping".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        self.connections.borrow_mut().remove(&peer);
        Err(rpc::port_error("ask-peer", peer, fault))
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
