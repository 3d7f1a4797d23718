//! A caller of the entry hosts.

use std::net;
use std::time;

use zinniastack::contract;
use zinniastack::names;

/// How long a caller waits for an answer, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 10_000;

/// A request as a caller makes it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The request's id.
    pub id: String,
    /// The feature whose work it is.
    pub feature: Option<names::FeatureName>,
    /// The body; a request with one is a POST, which is not idempotent.
    pub body: Option<Vec<u8>>,
    /// The time that the caller gives, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl CallerRequest {
    /// Creates a lookup.
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

    /// Makes the request the work of a feature.
    #[must_use]
    pub fn with_feature(mut self, feature: names::FeatureName) -> Self {
        self.feature = Some(feature);
        self
    }

    /// Gives the request a body.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = Some(body);
        self
    }

    /// Gives the request a deadline.
    #[must_use]
    pub const fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The reason header, empty for the owner's own answer.
    pub reason: String,
    /// The id header.
    pub id: String,
    /// The body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// Reports whether the owner ran the request.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.outcome == "ran"
    }
}

/// A caller with its connections.
#[derive(Clone)]
pub struct CallerClient {
    client: awc::Client,
}

impl CallerClient {
    /// Creates a caller.
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
    /// Fails when the host gives no whole answer.
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
