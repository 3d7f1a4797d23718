//! Grants that the control thread has the traffic thread send over its connections to servers.
//!
//! A grant may go only over a connection to the right process of the server. The traffic thread has more
//! connections than the control thread, older ones among them, and a server that has run a request over one has
//! shown that its process held the key.

use std::rc;
use std::sync;
use std::time;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::router::body;
use crate::edge::router::connection_pool;
use crate::edge::router::http_client;

/// The largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024;

/// A grant as it is sent to a server.
pub struct RelayedGrant {
    /// Which connections may carry it.
    pub rule: connection_pool::ConnectionRule,
    /// When its connection is reset if no response has arrived.
    pub deadline: clock::MonoTime,
    /// The request.
    pub request: hyper::Request<bytes::Bytes>,
    /// Whether the response shows that the connection may carry another grant.
    pub is_reusable: fn(&hyper::http::response::Parts) -> bool,
}

type RelayOutcome = Result<hyper::http::response::Parts, http_client::HttpError>;

struct RelayCall {
    grant: RelayedGrant,
    reply: tokio::sync::oneshot::Sender<RelayOutcome>,
}

/// The control thread's end of the relay.
#[derive(Clone)]
pub struct RelaySender(tokio::sync::mpsc::UnboundedSender<RelayCall>);

/// The traffic threads' end of the relay; each call goes to one of them.
#[derive(Clone)]
pub struct RelayReceiver(
    sync::Arc<tokio::sync::Mutex<tokio::sync::mpsc::UnboundedReceiver<RelayCall>>>,
);

/// Creates both ends of a relay.
#[must_use]
pub fn new_relay() -> (RelaySender, RelayReceiver) {
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let receiver = sync::Arc::new(tokio::sync::Mutex::new(receiver));
    (RelaySender(sender), RelayReceiver(receiver))
}

impl RelaySender {
    /// Sends a grant and waits for the head of the response. On an error the connection has been reset.
    ///
    /// # Errors
    /// Fails with `NotUsable` where no connection may carry the grant or the traffic thread has ended, and
    /// with `Broken` where no complete response arrives by the deadline.
    pub async fn send(&self, grant: RelayedGrant) -> RelayOutcome {
        let peer = grant.rule.peer;
        let (reply, outcome) = tokio::sync::oneshot::channel();
        // The traffic thread may have ended; then the reply is dropped with the call.
        let _ = self.0.send(RelayCall { grant, reply });
        let ended = http_client::HttpError::NotUsable { peer };
        outcome.await.unwrap_or(Err(ended))
    }
}

/// The connections of a traffic thread that grants may be sent over.
pub struct RelayThread {
    clock: clock::SystemClock,
    requests: http_client::HttpClient,
    // Those that have carried grants carry no requests any more: a second copy of a grant's response has no
    // id that would tell it from a request's.
    grants: http_client::HttpClient,
}

impl RelayThread {
    /// Creates the relay of a traffic thread whose requests go over `requests`.
    #[must_use]
    pub fn new(clock: clock::SystemClock, requests: http_client::HttpClient) -> Self {
        Self {
            clock,
            requests,
            grants: http_client::HttpClient::for_grants(clock),
        }
    }

    /// Sends the grants that arrive, until the control thread has ended.
    pub async fn run(self, receiver: RelayReceiver) {
        let relay = rc::Rc::new(self);
        loop {
            let call = receiver.0.lock().await.recv().await;
            let Some(RelayCall { grant, reply }) = call else {
                return;
            };
            let relay = rc::Rc::clone(&relay);
            actix::spawn(async move {
                // The control thread may have ended.
                let _ = reply.send(relay.send(grant).await);
            });
        }
    }

    async fn send(&self, grant: RelayedGrant) -> RelayOutcome {
        let peer = grant.rule.peer;
        let left = grant.deadline.since(self.clock.now());
        if left == time::Duration::ZERO {
            return Err(http_client::HttpError::NotUsable { peer });
        }
        let exchange = tokio::time::timeout(left, self.exchange(grant));
        exchange.await.unwrap_or_else(|_| {
            Err(http_client::HttpError::Broken {
                step: "relay",
                peer,
                error: "timeout".to_owned(),
            })
        })
    }

    async fn exchange(&self, grant: RelayedGrant) -> RelayOutcome {
        self.grants.close_idle();
        let request = grant.request.map(body::RequestBody::new);
        let peer = grant.rule.peer;
        let take = || {
            let known = self.grants.take_allowed(&grant.rule);
            known.or_else(|| self.requests.take_allowed(&grant.rule))
        };
        let sent = http_client::send_idle(peer, request, take).await;
        let mut response = sent.map_err(|error| error.or_not_usable(peer))?;
        response.body.read_whole(MAX_RESPONSE_BYTES).await?;
        if (grant.is_reusable)(&response.head) {
            self.grants.recycle(response.body);
        }
        Ok(response.head)
    }
}
