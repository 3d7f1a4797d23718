//! The HTTP client of traffic threads: one exchange with the owner of a key, or with the owner's
//! gate.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;

use actix_web::body;
use actix_web::http;
use actix_web::web;

use crate::contract;
use crate::edge::reservation;
use crate::final_response;
use crate::gate;
use crate::names;
use crate::outcome;
use crate::table;

/// The largest response body that a host returns to a caller, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// The time-out of connecting to a server or a gate, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 250;
/// How long an idle connection is kept, in seconds.
pub const KEEP_ALIVE_S: u64 = 10;

/// The body of a request to an owner.
pub enum WorkBody {
    /// A body in memory, which a retry can send again.
    Buffered(web::Bytes),
    /// A body that is streamed from the caller, with its length in bytes. It can be sent once.
    Stream(u64, web::Payload),
}

/// The header of a request that was forwarded to the gate of its owner, with the gate's host name.
/// A request with this header is not forwarded again.
pub const FORWARDED_HEADER: &str = "zinnia-forwarded";
/// The most connections that one traffic thread opens to a gate.
pub const GATE_CONNECTIONS: usize = 256;

/// The destination of a request.
#[derive(Clone, Copy)]
pub enum WorkTarget<'a> {
    /// The owner of the shard, under the route's fence.
    Owner(&'a table::ShardRoute, &'a names::ShardId),
    /// The gate of the owner: the host whose queue all requests to that server go through.
    Gate(&'a gate::GateHost),
}

impl WorkTarget<'_> {
    fn address(&self) -> net::SocketAddr {
        match self {
            Self::Owner(route, _) => route.server.address,
            Self::Gate(gate) => gate.address,
        }
    }

    fn path_prefix(&self) -> &'static str {
        match self {
            Self::Owner(..) => "/work",
            Self::Gate(_) => "",
        }
    }

    fn connections(&self, hosts: usize, threads: usize) -> usize {
        match self {
            Self::Owner(route, _) => route.server.connections as usize / hosts.max(1) / threads,
            Self::Gate(_) => GATE_CONNECTIONS,
        }
    }
}

/// A request to an owner or its gate.
pub struct WorkRequest<'a> {
    /// The destination.
    pub target: WorkTarget<'a>,
    /// The request's id.
    pub id: &'a names::RequestId,
    /// The caller's method, path and headers.
    pub head: &'a actix_web::HttpRequest,
    /// The time until the request's deadline.
    pub time_left: time::Duration,
}

/// A complete response of an owner or its gate.
pub struct WorkResponse {
    /// The status.
    pub status: http::StatusCode,
    /// The end-to-end headers.
    pub headers: Vec<(http::header::HeaderName, http::header::HeaderValue)>,
    /// The body.
    pub body: web::Bytes,
}

/// Why there is no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkFailure {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The owner states that it did not run the request.
    Refused(contract::ServerRefusal),
    /// The request may have been sent, and no complete response came.
    Broken(String),
}

/// The connections of one traffic thread to servers and gates.
#[derive(Clone)]
pub struct OwnerClient {
    clients: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, awc::Client>>>,
    threads: usize,
}

impl OwnerClient {
    /// Creates the client of one of `threads` traffic threads.
    #[must_use]
    pub fn new(threads: usize) -> Self {
        Self {
            clients: rc::Rc::default(),
            threads: threads.max(1),
        }
    }

    fn client(&self, target: &WorkTarget<'_>, hosts: usize) -> awc::Client {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(target.address()).or_insert_with(|| {
            let connections = target.connections(hosts, self.threads);
            let connector = awc::Connector::new()
                .limit(connections.max(1))
                .timeout(time::Duration::from_millis(CONNECT_TIMEOUT_MS))
                .conn_keep_alive(time::Duration::from_secs(KEEP_ALIVE_S));
            awc::Client::builder()
                .connector(connector)
                .disable_redirects()
                .disable_timeout()
                .no_default_headers()
                .finish()
        });
        client.clone()
    }

    // Discards the pooled connections to a target. After a response that does not match its request,
    // bytes left on a connection could be taken for the response to the next request. After a refusal,
    // a late copy of it could be taken for the response to the retry, which has the same id.
    fn drop_connections(&self, target: &WorkTarget<'_>) {
        self.clients.borrow_mut().remove(&target.address());
    }

    /// Sends a request and waits for the complete response. `hosts` is the number of hosts that
    /// share the server's connections.
    ///
    /// # Errors
    /// Fails when no complete response with this request's id came.
    pub async fn send(
        &self,
        request: &WorkRequest<'_>,
        hosts: usize,
        content: WorkBody,
    ) -> Result<WorkResponse, WorkFailure> {
        let target = request.target;
        let client = self.client(&target, hosts);
        let builder = build_request(&client, request);
        let sent = match content {
            WorkBody::Buffered(bytes) => builder.send_body(bytes).await,
            WorkBody::Stream(length, payload) => {
                let payload = reservation::watch_payload(request.head, length, payload);
                let sized = body::SizedStream::new(length, Box::pin(payload));
                builder.send_body(sized).await
            }
        };
        let mut response = sent.map_err(|e| classify_send_error(&e))?;
        if !final_response::is_final_status(response.status().as_u16()) {
            self.drop_connections(&target);
            return Err(WorkFailure::Broken("status is not a final one".into()));
        }
        if !echoes_request_id(response.headers(), request.id) {
            self.drop_connections(&target);
            return Err(WorkFailure::Broken(
                "response does not carry the request's id".into(),
            ));
        }
        let from_owner = matches!(target, WorkTarget::Owner(..));
        if from_owner && is_not_run(response.headers()) {
            self.drop_connections(&target);
            let refusal = parse_refusal(response.headers());
            let unknown = || WorkFailure::Broken("refusal with an unknown reason".into());
            return Err(refusal.map_or_else(unknown, WorkFailure::Refused));
        }
        let status = response.status();
        let headers = copy_headers(response.headers());
        let declared_bytes = declared_length(request.head.method(), status, response.headers());
        let held_bytes = declared_bytes.unwrap_or(MAX_RESPONSE_BYTES);
        if reservation::hold_response(request.head, held_bytes.min(MAX_RESPONSE_BYTES)).is_err() {
            self.drop_connections(&target);
            return Err(WorkFailure::Broken("no memory for the response".into()));
        }
        let received = response.body().limit(MAX_RESPONSE_BYTES).await;
        let received = received.map_err(|e| WorkFailure::Broken(e.to_string()))?;
        if declared_bytes != Some(received.len()) {
            self.drop_connections(&target);
            return Err(WorkFailure::Broken(
                "response body not of the length in content-length".into(),
            ));
        }
        Ok(WorkResponse {
            status,
            headers,
            body: received,
        })
    }
}

fn build_request(client: &awc::Client, request: &WorkRequest<'_>) -> awc::ClientRequest {
    let head = request.head;
    let path = head.uri().path_and_query();
    let path = path.map_or("/", http::uri::PathAndQuery::as_str);
    let (address, prefix) = (request.target.address(), request.target.path_prefix());
    let mut builder = client
        .request(
            head.method().clone(),
            format!("http://{address}{prefix}{path}"),
        )
        .no_decompress();
    for (name, value) in head.headers() {
        if is_copied(name) {
            builder = builder.append_header((name.clone(), value.clone()));
        }
    }
    let left_ms = request.time_left.as_millis().to_string();
    let builder = builder
        .insert_header((contract::REQUEST_ID_HEADER, request.id.as_str()))
        .insert_header((contract::DEADLINE_HEADER, left_ms));
    match request.target {
        WorkTarget::Owner(route, shard) => builder
            .insert_header((contract::FENCE_HEADER, route.fence.to_string()))
            .insert_header((contract::SHARD_HEADER, shard.to_string())),
        WorkTarget::Gate(gate) => builder.insert_header((FORWARDED_HEADER, gate.host.as_str())),
    }
}

// Reports whether a header is copied between the caller and the server: neither hop-by-hop headers
// are, nor those that this host sets itself.
fn is_copied(name: &http::header::HeaderName) -> bool {
    let set_by_host = [
        FORWARDED_HEADER,
        contract::FENCE_HEADER,
        contract::SHARD_HEADER,
        contract::REQUEST_ID_HEADER,
        contract::DEADLINE_HEADER,
    ];
    let hop_by_hop = [
        http::header::CONNECTION,
        http::header::HOST,
        http::header::CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
        http::header::TE,
        http::header::TRAILER,
        http::header::UPGRADE,
        http::header::EXPECT,
    ];
    !set_by_host.contains(&name.as_str())
        && !hop_by_hop.contains(name)
        && name.as_str() != "keep-alive"
}

fn copy_headers(
    headers: &http::header::HeaderMap,
) -> Vec<(http::header::HeaderName, http::header::HeaderValue)> {
    let copied = headers.iter().filter(|(name, _)| is_copied(name));
    copied.map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn echoes_request_id(headers: &http::header::HeaderMap, id: &names::RequestId) -> bool {
    let echo = headers.get(contract::REQUEST_ID_HEADER);
    echo.is_some_and(|value| value.as_bytes() == id.as_str().as_bytes())
}

// Returns the length that the response declares, in bytes. `awc` reports a body that ended early as
// complete, also with chunked encoding, so only a body with a declared length is known to be
// complete.
fn declared_length(
    method: &http::Method,
    status: http::StatusCode,
    headers: &http::header::HeaderMap,
) -> Option<usize> {
    let bodiless = [http::StatusCode::NO_CONTENT, http::StatusCode::NOT_MODIFIED];
    if *method == http::Method::HEAD || bodiless.contains(&status) {
        return Some(0);
    }
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn is_not_run(headers: &http::header::HeaderMap) -> bool {
    let outcome = headers.get(contract::OUTCOME_HEADER);
    let not_run = outcome::RequestOutcome::NotRun.as_str();
    outcome.is_some_and(|value| value.as_bytes() == not_run.as_bytes())
}

fn parse_refusal(headers: &http::header::HeaderMap) -> Option<contract::ServerRefusal> {
    let reason = headers.get(contract::REASON_HEADER)?.to_str().ok()?;
    let mut known = contract::ServerRefusal::ALL.into_iter();
    known.find(|refusal| refusal.as_str() == reason)
}

// Only a connection that was never established proves that nothing was sent: `awc` also reports a
// connection that was closed before the response as a connect error.
fn classify_send_error(error: &awc::error::SendRequestError) -> WorkFailure {
    let awc::error::SendRequestError::Connect(connect) = error else {
        return WorkFailure::Broken(error.to_string());
    };
    let unsent = match connect {
        awc::error::ConnectError::Timeout => true,
        awc::error::ConnectError::Io(e) => matches!(
            e.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        ),
        _ => false,
    };
    if unsent {
        return WorkFailure::NotConnected;
    }
    WorkFailure::Broken(error.to_string())
}
