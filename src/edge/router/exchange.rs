//! One attempt of a request at one server: what is sent, and what the answer is worth.

use std::net;

use crate::edge::router::body;
use crate::edge::router::http_client;
use crate::edge::router::ports;
use crate::names;
use crate::serving::delivery;
use crate::serving::estimate;

/// Answers up to this size are read whole before the caller sees any of them, in bytes, so that one
/// that breaks off can be replaced.
pub const HELD_ANSWER_BYTES: usize = 64 * 1_024;

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
pub struct ServerResponse {
    /// The head.
    pub head: hyper::http::response::Parts,
    /// What was read of the body.
    pub first: bytes::Bytes,
    /// The rest, where there is more.
    pub body: Option<http_client::ResponseBody>,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The server answered.
    Answered(ServerResponse),
    /// The server answered with a failure of its own.
    Failed(ServerResponse),
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
    pub const fn event(&self) -> delivery::DeliveryEvent {
        match self {
            Self::Answered(_) => delivery::DeliveryEvent::Answered,
            Self::Failed(_) => delivery::DeliveryEvent::Failed,
            Self::NotRun { .. } => delivery::DeliveryEvent::NotRun,
            Self::Broken(_) => delivery::DeliveryEvent::Broken,
            Self::Unsent(_) => delivery::DeliveryEvent::Unsent,
        }
    }

    /// Returns what it says of the server.
    #[must_use]
    pub const fn measure(&self) -> estimate::ExchangeEnd {
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

    /// Returns what went wrong, for logs.
    #[must_use]
    pub fn fault(&self) -> String {
        match self {
            Self::Answered(answer) | Self::Failed(answer) => answer.head.status.to_string(),
            Self::NotRun { status } => format!("not run, status {status}"),
            Self::Broken(fault) | Self::Unsent(fault) => fault.clone(),
        }
    }
}

/// Sends a request to a server and judges the answer.
pub async fn attempt<C: ports::HeaderCodec>(
    codec: &C,
    client: &http_client::HttpClient,
    peer: net::SocketAddr,
    request: hyper::Request<body::RequestBody>,
    id: Option<&str>,
) -> AttemptEnd {
    let answer = match client.send(peer, request).await {
        Ok(answer) => answer,
        Err(fault) if fault.is_unsent() => return AttemptEnd::Unsent(fault.to_string()),
        Err(fault) => return AttemptEnd::Broken(fault.to_string()),
    };
    let http_client::HttpResponse { head, mut body } = answer;
    let facts = codec.read_response(&head.headers, id);
    let status = head.status;
    if facts.not_run {
        drain(client, body).await;
        return AttemptEnd::NotRun {
            status: status.as_u16(),
        };
    }
    if !facts.matches_request {
        return AttemptEnd::Broken(format!(
            "step=judge peer={peer} fault=\"another request's answer\""
        ));
    }
    if status.is_success() && !facts.is_signed {
        return AttemptEnd::Broken(format!("step=judge peer={peer} fault=\"no signature\""));
    }
    if head.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        return AttemptEnd::Broken(format!("step=judge peer={peer} fault=\"an encoded body\""));
    }
    let (first, whole) = match read_first(&mut body).await {
        Ok(read) => read,
        Err(fault) => return AttemptEnd::Broken(fault.to_string()),
    };
    let body = if whole {
        client.keep(body);
        None
    } else {
        Some(body)
    };
    let passed = ServerResponse { head, first, body };
    if status.is_server_error() {
        return AttemptEnd::Failed(passed);
    }
    AttemptEnd::Answered(passed)
}

// Reads a body up to the size that is held; tells whether that was all of it.
async fn read_first(
    body: &mut http_client::ResponseBody,
) -> Result<(bytes::Bytes, bool), http_client::HttpError> {
    let mut first = bytes::BytesMut::new();
    while first.len() < HELD_ANSWER_BYTES {
        let Some(part) = body.next_part().await? else {
            return Ok((first.freeze(), true));
        };
        first.extend_from_slice(&part);
    }
    Ok((first.freeze(), false))
}

// Reads what is left of a short answer, so that its connection can be used again.
async fn drain(client: &http_client::HttpClient, body: http_client::ResponseBody) {
    let mut body = body;
    if read_first(&mut body).await.is_ok_and(|(_, whole)| whole) {
        client.keep(body);
    }
}

/// Builds the request that a server gets.
///
/// # Errors
/// Fails when the caller's method, target or headers cannot be passed on.
pub fn build_request<C: ports::HeaderCodec>(
    codec: &C,
    caller: &actix_web::HttpRequest,
    left: std::time::Duration,
    server: &names::ServerName,
    body: body::RequestBody,
) -> Result<hyper::Request<body::RequestBody>, String> {
    let fail = |e: hyper::http::Error| e.to_string();
    let target = caller
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let builder = hyper::Request::builder()
        .method(caller.method().as_str())
        .uri(target);
    let mut request = builder.body(body).map_err(fail)?;
    let headers = request.headers_mut();
    let named = connection_names(caller.headers());
    for (name, value) in caller.headers() {
        let name = name.as_str();
        let dropped = CONNECTION_HEADERS.contains(&name) || named.iter().any(|n| n == name);
        if dropped || codec.is_replaced(name) || name == "content-length" || name == "expect" {
            continue;
        }
        let name =
            hyper::header::HeaderName::from_bytes(name.as_bytes()).map_err(|e| e.to_string())?;
        let value = hyper::header::HeaderValue::from_bytes(value.as_bytes());
        headers.append(name, value.map_err(|e| e.to_string())?);
    }
    codec.write_request(headers, left, server);
    if let Some(length) = stated_length(caller) {
        headers.insert(
            hyper::header::CONTENT_LENGTH,
            hyper::header::HeaderValue::from(length),
        );
    }
    Ok(request)
}

/// Returns the length that a caller states of its body.
#[must_use]
pub fn stated_length(caller: &actix_web::HttpRequest) -> Option<u64> {
    let value = caller.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

// The headers that a message's own `Connection` header names.
fn connection_names(headers: &actix_web::http::header::HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
