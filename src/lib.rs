//! A router for servers that own keys exclusively.
//!
//! Modules at this level make decisions without I/O: they take events and the current time, and
//! return typed actions. All I/O is in [`edge`]; the command line is in [`cmd`].

pub mod admission;
pub mod append_queue;
pub mod authority;
pub mod chart;
pub mod clock;
pub mod cmd;
pub mod configuration;
pub mod contract;
pub mod control;
pub mod domain;
pub mod edge;
pub mod fence;
pub mod final_response;
pub mod flow;
pub mod gate;
pub mod grant;
pub mod lease;
pub mod lifecycle;
pub mod limit;
pub mod load;
pub mod membership;
pub mod memory;
pub mod names;
pub mod outcome;
pub mod ownership;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod queue;
pub mod record;
pub mod replay;
pub mod report;
pub mod retry;
pub mod routing;
pub mod serving;
pub mod settings;
pub mod shard;
pub mod table;
pub mod timing;
