//! The client of the platform's log and host list, over HTTP with JSON.

use std::net;
use std::time;

use crate::edge::ports;
use crate::platform;
use crate::record;

/// The time-out of a call to the platform, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_000;
/// The largest response body that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a request with a JSON body, if there is one, and decodes the JSON response.
///
/// # Errors
/// Fails when no response comes, its status is not 2xx, or its body is not the expected JSON.
pub(crate) async fn call<Req, Resp>(
    request: awc::ClientRequest,
    body: Option<&Req>,
    step: &'static str,
    peer: net::SocketAddr,
) -> Result<Resp, ports::PortError>
where
    Req: serde::Serialize,
    Resp: serde::de::DeserializeOwned,
{
    let fail = |fault: String| ports::PortError {
        step,
        peer: peer.to_string(),
        fault,
    };
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|e| fail(e.to_string()))?;
    if !response.status().is_success() {
        return Err(fail(format!("status {}", response.status().as_u16())));
    }
    let decoded = response.json().limit(MAX_RESPONSE_BYTES).await;
    decoded.map_err(|e| fail(e.to_string()))
}

/// A client of the platform's log and, if it has one, its host list.
#[derive(Clone)]
pub struct PlatformClient {
    client: awc::Client,
    log: net::SocketAddr,
    hosts: Option<net::SocketAddr>,
}

impl PlatformClient {
    /// Creates a client of the log at an address.
    #[must_use]
    pub fn new(log: net::SocketAddr) -> Self {
        let timeout = time::Duration::from_millis(CALL_TIMEOUT_MS);
        Self {
            client: awc::Client::builder().timeout(timeout).finish(),
            log,
            hosts: None,
        }
    }

    /// Sets the address of the host list. Without one, the list is empty.
    #[must_use]
    pub const fn with_hosts(mut self, hosts: Option<net::SocketAddr>) -> Self {
        self.hosts = hosts;
        self
    }
}

impl ports::PlatformLog for PlatformClient {
    async fn read(&self, from: u64) -> Result<platform::LogPage, ports::PortError> {
        let request = self
            .client
            .get(format!("http://{}/records?from={from}", self.log));
        call::<(), _>(request, None, "read-log", self.log).await
    }

    async fn append(
        &self,
        record: &record::LogRecord,
    ) -> Result<platform::AppendReply, ports::PortError> {
        let request = self.client.post(format!("http://{}/records", self.log));
        call(request, Some(record), "append-log", self.log).await
    }
}

impl ports::HostList for PlatformClient {
    async fn list(&self) -> Result<platform::HostListing, ports::PortError> {
        let Some(hosts) = self.hosts else {
            return Ok(platform::HostListing::default());
        };
        let request = self.client.get(format!("http://{hosts}/hosts"));
        call::<(), _>(request, None, "read-hosts", hosts).await
    }
}
