//! An HTTP client that sends requests to entry hosts as callers do.

use std::net;
use std::time;

use zinniastack::contract;
use zinniastack::names;

/// The time-out of a request, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 10_000;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The name of the service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The request's id.
    pub id: String,
    /// The feature that the request is made for.
    pub feature: Option<names::FeatureName>,
    /// The body. A request with a body is sent as a POST, which is not idempotent, and one without
    /// a body as a GET.
    pub body: Option<Vec<u8>>,
    /// The deadline that the caller states, in milliseconds from when the request is sent.
    pub deadline_ms: Option<u64>,
}

impl CallerRequest {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(service: &str, key: &str, id: &str) -> Self {
        Self {
            service: service.into(),
            key: key.into(),
            id: id.into(),
            feature: None,
            body: None,
            deadline_ms: None,
        }
    }

    /// Sets the feature that the request is made for.
    #[must_use]
    pub fn with_feature(mut self, feature: names::FeatureName) -> Self {
        self.feature = Some(feature);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = Some(body);
        self
    }

    /// Sets the deadline, in milliseconds from when the request is sent.
    #[must_use]
    pub const fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }
}

/// The response that a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the outcome header, empty if missing.
    pub outcome: String,
    /// The value of the reason header, empty if missing, as in a response of the shard's owner.
    pub reason: String,
    /// The value of the request id header, empty if missing.
    pub id: String,
    /// The body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// Reports whether the owner of the shard ran the request.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.outcome == "ran"
    }
}

/// A client with a connection pool.
#[derive(Clone)]
pub struct CallerClient {
    client: awc::Client,
}

impl CallerClient {
    /// Creates a client with the time-out [`CALL_TIMEOUT_MS`].
    #[must_use]
    pub fn new() -> Self {
        let timeout = time::Duration::from_millis(CALL_TIMEOUT_MS);
        Self {
            client: awc::Client::builder().timeout(timeout).finish(),
        }
    }

    /// Sends a request to an entry host.
    ///
    /// # Errors
    /// Fails if no complete response arrives within the time-out.
    pub async fn send(
        &self,
        host: net::SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerResponse, String> {
        let address = format!("http://{host}/{}/{}", request.service, request.key);
        let mut call = match request.body {
            Some(_) => self.client.post(address),
            None => self.client.get(address),
        };
        call = call.insert_header((contract::REQUEST_ID_HEADER, request.id.as_str()));
        if let Some(feature) = &request.feature {
            call = call.insert_header((contract::FEATURE_HEADER, feature.as_str()));
        }
        if let Some(ms) = request.deadline_ms {
            call = call.insert_header((contract::DEADLINE_HEADER, ms.to_string()));
        }
        let sent = match &request.body {
            Some(body) => call.send_body(body.clone()).await,
            None => call.send().await,
        };
        let mut response = sent.map_err(|e| e.to_string())?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        let head = CallerResponse {
            status: response.status().as_u16(),
            outcome: header(contract::OUTCOME_HEADER),
            reason: header(contract::REASON_HEADER),
            id: header(contract::REQUEST_ID_HEADER),
            body: Vec::new(),
        };
        let body = response.body().await.map_err(|e| e.to_string())?;
        Ok(CallerResponse {
            body: body.to_vec(),
            ..head
        })
    }
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new()
    }
}
