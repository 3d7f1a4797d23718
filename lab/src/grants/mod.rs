//! A simulation in virtual time of granting on the users' platform: hosts, store, servers and injected
//! faults, and the ownership gaps that result.

mod faults;
pub mod key_server;
pub mod ownership_gaps;
pub mod simulation;
