//! A router for servers that own keys exclusively.
//!
//! Modules at this level decide: they take events and the time, and return typed actions.
//! Everything that performs I/O lives under [`edge`]; [`cmd`] holds the command line.

pub mod chart;
pub mod clock;
pub mod configuration;
pub mod contract;
pub mod fence;
pub mod fold;
pub mod names;
pub mod record;
pub mod shard;
pub mod table;
