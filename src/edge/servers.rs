//! The client for control messages to backend servers, over HTTP with JSON.

use std::time;

use crate::configuration;
use crate::contract;
use crate::edge::platform;
use crate::edge::ports;

/// The time-out of a control message to a server, in milliseconds.
pub const CONTROL_TIMEOUT_MS: u64 = 300;

/// Sends claims and lease renewals to servers.
#[derive(Clone)]
pub struct ServerClient {
    client: awc::Client,
}

impl ServerClient {
    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        let timeout = time::Duration::from_millis(CONTROL_TIMEOUT_MS);
        Self {
            client: awc::Client::builder().timeout(timeout).finish(),
        }
    }
}

impl Default for ServerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl ports::ServerPort for ServerClient {
    async fn claim(
        &self,
        server: &configuration::ServerSpec,
        order: &contract::ClaimOrder,
    ) -> Result<contract::ClaimReply, ports::PortError> {
        let request = self.client.post(format!("http://{}/claim", server.address));
        platform::call(request, Some(order), "claim-term", server.address).await
    }

    async fn lease(
        &self,
        server: &configuration::ServerSpec,
        order: &contract::LeaseOrder,
    ) -> Result<contract::LeaseReply, ports::PortError> {
        let request = self.client.post(format!("http://{}/lease", server.address));
        platform::call(request, Some(order), "renew-lease", server.address).await
    }
}
