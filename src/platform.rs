//! The platform's services as decisions see them: the log and the list of hosts.

use crate::names;
use crate::peer;

/// A stretch of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogPage {
    /// The offset of the oldest record that the log still keeps.
    pub earliest: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records from the asked offset on.
    pub records: Vec<peer::RelayedRecord>,
}

/// Where an append went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AppendReply {
    /// The record's offset.
    pub offset: u64,
}

/// What the platform says of a machine that backend servers run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It is in service.
    Live,
    /// It is being withdrawn.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListedServer {
    /// The server.
    pub name: names::ServerName,
    /// Its state, as of some time ago.
    pub state: ListedState,
}

/// The platform's list, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostListing {
    /// The servers.
    pub servers: Vec<ListedServer>,
}
