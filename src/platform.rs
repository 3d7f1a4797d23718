//! Messages of the platform's services: the log and the list of servers.

use crate::names;
use crate::peer;

/// Consecutive records of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogPage {
    /// The offset of the oldest record that the log retains.
    pub earliest: u64,
    /// The offset of the next append.
    pub next: u64,
    /// The records from the requested offset on.
    pub records: Vec<peer::RelayedRecord>,
}

/// The response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AppendReply {
    /// The record's offset.
    pub offset: u64,
}

/// The state of a server in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The server is in service.
    Live,
    /// The server is being taken out of service.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListedServer {
    /// The server.
    pub name: names::ServerName,
    /// Its state. It may be out of date.
    pub state: ListedState,
}

/// The platform's list of servers. It lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostListing {
    /// The servers.
    pub servers: Vec<ListedServer>,
}
