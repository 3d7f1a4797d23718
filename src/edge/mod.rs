//! Everything that performs I/O: it encodes, decodes and waits, and leaves decisions to the rest.

pub mod callers;
pub mod controller;
pub mod dispatcher;
pub mod exchange;
pub mod host;
pub mod listen;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod ports;
mod request_driver;
pub mod router;
pub mod rpc;
pub mod servers;
