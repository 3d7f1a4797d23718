//! The front end for platforms: HTTP to callers and servers, the platform's store, and the other
//! entry hosts.

pub mod admin;
pub mod body;
pub mod connection_pool;
pub mod control;
pub mod exchange;
pub mod front;
pub mod grant_relay;
pub mod host;
pub mod http_client;
pub mod local_response;
pub mod log_budget;
pub mod metrics;
pub mod ports;
pub mod request_stream;
pub mod shutdown_watch;
pub mod slots;
pub mod status_exchange;
pub mod store_reader;
pub mod traffic;
