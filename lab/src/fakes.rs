//! In-process fakes of the router's ports, on the same states as the HTTP stand-ins of
//! [`http`].

use std::net;

use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::control;
use zinniastack::edge::ports;
use zinniastack::peer;
use zinniastack::platform;
use zinniastack::record;

use crate::host_list;
use crate::http;
use crate::log_state;
use crate::server_state;

fn unavailable(step: &'static str) -> ports::PortError {
    ports::PortError {
        step,
        peer: "fake".into(),
        fault: "unavailable".into(),
    }
}

/// A fake of the platform's log.
#[derive(Clone)]
pub struct FakeLog {
    /// The log's state.
    pub state: http::Shared<log_state::LogState>,
}

impl ports::PlatformLog for FakeLog {
    async fn read(&self, from: u64) -> Result<platform::LogPage, ports::PortError> {
        let page = http::lock(&self.state).read(from);
        page.ok_or_else(|| unavailable("read-log"))
    }

    async fn append(
        &self,
        record: &record::LogRecord,
    ) -> Result<platform::AppendReply, ports::PortError> {
        let reply = http::lock(&self.state).append(record.encode());
        reply.ok_or_else(|| unavailable("append-log"))
    }
}

/// A fake of the platform's host list, which lags.
#[derive(Clone)]
pub struct FakeHostList {
    /// The list's state.
    pub state: http::Shared<host_list::HostListState>,
    /// The list's clock.
    pub clock: clock::SystemClock,
}

impl ports::HostList for FakeHostList {
    async fn list(&self) -> Result<platform::HostListing, ports::PortError> {
        Ok(http::lock(&self.state).list(self.clock.now()))
    }
}

/// A fake of one backend server.
#[derive(Clone)]
pub struct FakeServer {
    /// The server's state.
    pub state: http::Shared<server_state::ServerState>,
    /// The server's clock.
    pub clock: clock::SystemClock,
}

impl ports::ServerPort for FakeServer {
    async fn claim(
        &self,
        _: &configuration::ServerSpec,
        order: &contract::ClaimOrder,
    ) -> Result<contract::ClaimReply, ports::PortError> {
        Ok(http::lock(&self.state).claim(order, self.clock.now()))
    }

    async fn lease(
        &self,
        _: &configuration::ServerSpec,
        order: &contract::LeaseOrder,
    ) -> Result<contract::LeaseReply, ports::PortError> {
        Ok(http::lock(&self.state).lease(order, self.clock.now()))
    }
}

/// A fake of another entry host.
#[derive(Clone)]
pub struct FakePeer {
    /// The host's state.
    pub state: http::Shared<control::ControlState>,
    /// The host's clock.
    pub clock: clock::SystemClock,
}

impl ports::PeerPort for FakePeer {
    async fn exchange(
        &self,
        _: net::SocketAddr,
        request: &peer::ExchangeRequest,
    ) -> Result<peer::ExchangeReply, ports::PortError> {
        Ok(http::lock(&self.state).on_exchange(request, self.clock.now()))
    }
}
