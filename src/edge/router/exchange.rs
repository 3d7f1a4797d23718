//! One attempt at sending a request to a server: builds the request, and classifies the response.

use std::net;

use crate::edge::router::body;
use crate::edge::router::connection_pool;
use crate::edge::router::http_client;
use crate::edge::router::ports;
use crate::final_response;
use crate::names;
use crate::serving::delivery;
use crate::serving::estimate;

/// Response bodies up to this size are buffered before the response is forwarded, in bytes, so that
/// one that is cut short can still be replaced by a retry.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1_024;

/// The most of a response that is buffered where the caller's version of HTTP has no way to tell that a
/// body without a length was cut short, in bytes.
pub const MAX_UNFRAMED_RESPONSE_BYTES: usize = 8 << 20;
/// Statuses that tell a caller that its request did not run and never will.
pub const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Hop-by-hop headers, which are not forwarded.
pub const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A server's response that is to be forwarded.
pub struct ServerResponse {
    /// The status and the headers.
    pub head: hyper::http::response::Parts,
    /// The buffered start of the body.
    pub prefix: bytes::Bytes,
    /// The unread part of the body, where it is longer than what is buffered.
    pub remainder: Option<http_client::ResponseBody>,
    /// Whether another request may be sent on the connection once the body has been read.
    pub is_reusable: bool,
}

/// How an attempt is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOptions {
    /// The connection to the server.
    pub connection: ConnectionChoice,
    /// Up to which size a response is buffered, in bytes.
    pub buffered_bytes: usize,
    /// The key of the request, where its service is sharded.
    pub key: Option<connection_pool::ServiceKey>,
}

impl AttemptOptions {
    /// Creates the options of an attempt over this connection.
    #[must_use]
    pub const fn new(connection: ConnectionChoice) -> Self {
        Self {
            connection,
            buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            key: None,
        }
    }

    /// Sets up to which size a response is buffered, in bytes.
    #[must_use]
    pub const fn with_buffered_bytes(mut self, bytes: usize) -> Self {
        self.buffered_bytes = bytes;
        self
    }

    /// Sets the key of the request.
    #[must_use]
    pub fn with_key(self, key: Option<connection_pool::ServiceKey>) -> Self {
        Self { key, ..self }
    }
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection, where there is one.
    Pooled,
    /// A new connection: no copy of a response to an earlier attempt can arrive on it.
    New,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The server responded with a status other than 5xx.
    Answered(ServerResponse),
    /// The server responded with a 5xx status.
    Failed(ServerResponse),
    /// The server reported that it did not run the request.
    NotRun {
        /// The status of the response.
        status: u16,
    },
    /// The exchange broke off, or the response is not valid; the request may have run.
    Broken(String),
    /// Nothing of the request was sent.
    Unsent(String),
}

impl AttemptEnd {
    /// Returns the matching event of the chart `delivery`.
    #[must_use]
    pub const fn event(&self) -> delivery::DeliveryEvent {
        match self {
            Self::Answered(_) => delivery::DeliveryEvent::Answered,
            Self::Failed(_) => delivery::DeliveryEvent::Failed,
            Self::NotRun { .. } => delivery::DeliveryEvent::NotRun,
            Self::Broken(_) => delivery::DeliveryEvent::Broken,
            Self::Unsent(_) => delivery::DeliveryEvent::Unsent,
        }
    }

    /// Returns the outcome for the estimates of the server.
    #[must_use]
    pub const fn exchange_end(&self) -> estimate::ExchangeEnd {
        match self {
            Self::Answered(_) => estimate::ExchangeEnd::Answered,
            Self::Failed(_) => estimate::ExchangeEnd::Failed,
            Self::NotRun { status: 421 } => estimate::ExchangeEnd::WrongServer,
            Self::NotRun { .. } => estimate::ExchangeEnd::Full,
            Self::Broken(_) => estimate::ExchangeEnd::Broken,
            Self::Unsent(_) => estimate::ExchangeEnd::Unsent,
        }
    }

    /// Returns the end's name in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun { .. } => "not-run",
            Self::Broken(_) => "broken",
            Self::Unsent(_) => "unsent",
        }
    }

    /// Returns the status or the error, for logs.
    #[must_use]
    pub fn error_text(&self) -> String {
        match self {
            Self::Answered(response) | Self::Failed(response) => response.head.status.to_string(),
            Self::NotRun { status } => format!("not run, status {status}"),
            Self::Broken(error) | Self::Unsent(error) => error.clone(),
        }
    }
}

/// Sends a request to a server and classifies the response. A response counts as valid when it
/// belongs to the request, is signed where it reports success, and has no content encoding; as a
/// refusal only when the server states that it did not run the request. A connection is used again
/// only after a response with the request's id, since a server may send a response twice.
pub async fn attempt<C: ports::HeaderCodec>(
    codec: &C,
    client: &http_client::HttpClient,
    peer: net::SocketAddr,
    options: AttemptOptions,
    request: hyper::Request<body::RequestBody>,
    id: Option<&str>,
) -> AttemptEnd {
    let sent = match options.connection {
        ConnectionChoice::Pooled => client.send(peer, request).await,
        ConnectionChoice::New => client.send_anew(peer, request).await,
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_unsent() => return AttemptEnd::Unsent(error.to_string()),
        Err(error) => return AttemptEnd::Broken(error.to_string()),
    };
    let http_client::HttpResponse { head, mut body } = response;
    let headers = codec.read_response(&head.headers, id);
    let status = head.status;
    if !final_response::is_final_status(status.as_u16()) {
        return AttemptEnd::Broken(format!(
            "step=check-response peer={peer} fault=\"status {} is not a final one\"",
            status.as_u16()
        ));
    }
    if headers.not_run {
        if headers.id_match == ports::IdMatch::Same {
            drain_body(client, body).await;
        }
        return AttemptEnd::NotRun {
            status: status.as_u16(),
        };
    }
    if headers.id_match == ports::IdMatch::Different {
        return AttemptEnd::Broken(format!(
            "step=check-response peer={peer} fault=\"response to another request\""
        ));
    }
    if REFUSAL_STATUSES.contains(&status.as_u16()) {
        return AttemptEnd::Broken(format!(
            "step=check-response peer={peer} fault=\"status {status} without a statement that nothing ran\""
        ));
    }
    if status.is_success() && !headers.is_signed {
        return AttemptEnd::Broken(format!(
            "step=check-response peer={peer} fault=\"missing signature\""
        ));
    }
    if head.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        return AttemptEnd::Broken(format!(
            "step=check-response peer={peer} fault=\"unexpected content encoding\""
        ));
    }
    if let Some(key) = options.key.filter(|_| status.is_success()) {
        body.note_run(key);
    }
    let (prefix, is_complete) = match read_prefix(&mut body, options.buffered_bytes).await {
        Ok(prefix) => prefix,
        Err(error) => return AttemptEnd::Broken(error.to_string()),
    };
    let is_reusable = headers.id_match == ports::IdMatch::Same;
    let remainder = if is_complete {
        if is_reusable {
            client.recycle(body);
        }
        None
    } else {
        Some(body)
    };
    let response = ServerResponse {
        head,
        prefix,
        remainder,
        is_reusable,
    };
    if status.is_server_error() {
        return AttemptEnd::Failed(response);
    }
    AttemptEnd::Answered(response)
}

// Reads a body up to `limit` bytes. Returns what was read and whether it is the
// whole body.
async fn read_prefix(
    body: &mut http_client::ResponseBody,
    limit: usize,
) -> Result<(bytes::Bytes, bool), http_client::HttpError> {
    let mut prefix = bytes::BytesMut::new();
    while prefix.len() < limit {
        let Some(chunk) = body.next_chunk().await? else {
            return Ok((prefix.freeze(), true));
        };
        prefix.extend_from_slice(&chunk);
    }
    Ok((prefix.freeze(), false))
}

// Reads a short body to its end, so that the connection can be reused.
async fn drain_body(client: &http_client::HttpClient, body: http_client::ResponseBody) {
    let mut body = body;
    if read_prefix(&mut body, MAX_BUFFERED_RESPONSE_BYTES)
        .await
        .is_ok_and(|(_, is_complete)| is_complete)
    {
        client.recycle(body);
    }
}

/// Builds the request to a server from a caller's request.
///
/// # Errors
/// Fails when the caller's method, target or headers are not valid in the forwarded request.
pub fn build_request<C: ports::HeaderCodec>(
    codec: &C,
    caller: &actix_web::HttpRequest,
    time_left: std::time::Duration,
    server: &names::ServerName,
    body: body::RequestBody,
) -> Result<hyper::Request<body::RequestBody>, String> {
    let to_text = |e: hyper::http::Error| e.to_string();
    let target = caller
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let builder = hyper::Request::builder()
        .method(caller.method().as_str())
        .uri(target);
    let mut request = builder.body(body).map_err(to_text)?;
    let headers = request.headers_mut();
    let hop_by_hop = connection_options(caller.headers());
    for (name, value) in caller.headers() {
        let name = name.as_str();
        let is_hop_by_hop =
            CONNECTION_HEADERS.contains(&name) || hop_by_hop.iter().any(|n| n == name);
        if is_hop_by_hop || codec.is_replaced(name) || name == "content-length" || name == "expect"
        {
            continue;
        }
        let name =
            hyper::header::HeaderName::from_bytes(name.as_bytes()).map_err(|e| e.to_string())?;
        let value = hyper::header::HeaderValue::from_bytes(value.as_bytes());
        headers.append(name, value.map_err(|e| e.to_string())?);
    }
    codec.write_request(headers, time_left, server);
    if let Some(length) = content_length(caller) {
        headers.insert(
            hyper::header::CONTENT_LENGTH,
            hyper::header::HeaderValue::from(length),
        );
    }
    Ok(request)
}

/// Returns the length of the body that a caller's `Content-Length` states.
#[must_use]
pub fn content_length(caller: &actix_web::HttpRequest) -> Option<u64> {
    let value = caller.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

// The headers that the message's `Connection` header lists as hop-by-hop.
fn connection_options(headers: &actix_web::http::header::HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
