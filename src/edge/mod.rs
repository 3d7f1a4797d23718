//! All I/O: network calls, message encoding, timers and threads.
//!
//! Decisions are made by the modules outside `edge`, which perform no I/O.

pub mod body_meter;
pub mod caller_connection;
pub mod caller_listener;
pub mod callers;
pub mod controller;
pub mod dispatcher;
pub mod exchange;
pub mod host;
pub mod listen;
pub mod machine;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod ports;
pub mod pressure_metrics;
mod request_driver;
pub mod reservation;
pub mod response_body;
pub mod router;
pub mod rpc;
pub mod servers;
pub mod url;
