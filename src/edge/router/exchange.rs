//! One attempt of a request at one server: what is sent, and what the answer is worth.

use std::net;

use crate::edge::router::body;
use crate::edge::router::ports;
use crate::edge::router::wire;
use crate::names;
use crate::serving::measure;
use crate::serving::verdict;

/// Answers up to this size are read whole before the caller sees any of them, in bytes, so that one
/// that breaks off can be replaced.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1_024;

/// Headers that concern one connection.
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

/// A server's answer, on its way to the caller.
pub struct ServerAnswer {
    /// The head.
    pub head: hyper::http::response::Parts,
    /// What was read of the body.
    pub prefix: bytes::Bytes,
    /// The rest, where there is more.
    pub remainder: Option<wire::WireRest>,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The server answered.
    Answered(ServerAnswer),
    /// The server answered with a failure of its own.
    Failed(ServerAnswer),
    /// The server did not run the request.
    NotRun {
        /// Its status.
        status: u16,
    },
    /// The exchange broke off, or the answer was none.
    Broken(String),
    /// Nothing was sent.
    Unsent(String),
}

impl AttemptEnd {
    /// Returns the chart's event.
    #[must_use]
    pub const fn event(&self) -> verdict::DeliveryEvent {
        match self {
            Self::Answered(_) => verdict::DeliveryEvent::Answered,
            Self::Failed(_) => verdict::DeliveryEvent::Failed,
            Self::NotRun { .. } => verdict::DeliveryEvent::NotRun,
            Self::Broken(_) => verdict::DeliveryEvent::Broken,
            Self::Unsent(_) => verdict::DeliveryEvent::Unsent,
        }
    }

    /// Returns what it says of the server.
    #[must_use]
    pub const fn exchange_end(&self) -> measure::ExchangeEnd {
        match self {
            Self::Answered(_) => measure::ExchangeEnd::Answered,
            Self::Failed(_) => measure::ExchangeEnd::Failed,
            Self::NotRun { status: 421 } => measure::ExchangeEnd::Misplaced,
            Self::NotRun { .. } => measure::ExchangeEnd::Full,
            Self::Broken(_) => measure::ExchangeEnd::Broken,
            Self::Unsent(_) => measure::ExchangeEnd::Unsent,
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

    /// Returns what went wrong, for logs.
    #[must_use]
    pub fn error_text(&self) -> String {
        match self {
            Self::Answered(response) | Self::Failed(response) => response.head.status.to_string(),
            Self::NotRun { status } => format!("not run, status {status}"),
            Self::Broken(error) | Self::Unsent(error) => error.clone(),
        }
    }
}

/// Sends a request to a server and judges the answer.
pub async fn attempt<C: ports::HeaderCodec>(
    codec: &C,
    client: &wire::WireClient,
    peer: net::SocketAddr,
    request: hyper::Request<body::RequestBody>,
    id: Option<&str>,
) -> AttemptEnd {
    let response = match client.send(peer, request).await {
        Ok(response) => response,
        Err(error) if error.is_unsent() => return AttemptEnd::Unsent(error.to_string()),
        Err(error) => return AttemptEnd::Broken(error.to_string()),
    };
    let wire::WireAnswer { head, mut rest } = response;
    let headers = codec.read_answer(&head.headers, id);
    let status = head.status;
    if headers.not_run {
        drain_body(client, rest).await;
        return AttemptEnd::NotRun {
            status: status.as_u16(),
        };
    }
    if !headers.is_ours {
        return AttemptEnd::Broken(format!(
            "step=judge peer={peer} fault=\"another request's answer\""
        ));
    }
    if status.is_success() && !headers.is_signed {
        return AttemptEnd::Broken(format!("step=judge peer={peer} fault=\"no signature\""));
    }
    if head.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        return AttemptEnd::Broken(format!("step=judge peer={peer} fault=\"an encoded body\""));
    }
    let (prefix, is_complete) = match read_prefix(&mut rest).await {
        Ok(prefix) => prefix,
        Err(error) => return AttemptEnd::Broken(error.to_string()),
    };
    let remainder = if is_complete {
        client.recycle(rest);
        None
    } else {
        Some(rest)
    };
    let response = ServerAnswer {
        head,
        prefix,
        remainder,
    };
    if status.is_server_error() {
        return AttemptEnd::Failed(response);
    }
    AttemptEnd::Answered(response)
}

// Reads a body up to the size that is held; tells whether that was all of it.
async fn read_prefix(rest: &mut wire::WireRest) -> Result<(bytes::Bytes, bool), wire::WireFault> {
    let mut prefix = bytes::BytesMut::new();
    while prefix.len() < MAX_BUFFERED_RESPONSE_BYTES {
        let Some(chunk) = rest.next_chunk().await? else {
            return Ok((prefix.freeze(), true));
        };
        prefix.extend_from_slice(&chunk);
    }
    Ok((prefix.freeze(), false))
}

// Reads what is left of a short answer, so that its connection can be used again.
async fn drain_body(client: &wire::WireClient, rest: wire::WireRest) {
    let mut rest = rest;
    if read_prefix(&mut rest)
        .await
        .is_ok_and(|(_, is_complete)| is_complete)
    {
        client.recycle(rest);
    }
}

/// Builds the request that a server gets.
///
/// # Errors
/// Fails when the caller's method, target or headers cannot be passed on.
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

/// Returns the length that a caller states of its body.
#[must_use]
pub fn content_length(caller: &actix_web::HttpRequest) -> Option<u64> {
    let value = caller.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

// The headers that a message's own `Connection` header names.
fn connection_options(headers: &actix_web::http::header::HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
