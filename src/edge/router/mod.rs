//! The front end for platforms: HTTP to callers and servers, the platform's store, and the other
//! entry hosts.

pub mod answer;
pub mod body;
pub mod control;
pub mod exchange;
pub mod front;
pub mod gossip;
pub mod host;
pub mod log_budget;
pub mod metrics;
pub mod ports;
pub mod questions;
pub mod slots;
pub mod store_reader;
pub mod traffic;
pub mod wire;
