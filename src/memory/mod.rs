//! How many bytes and connections one process may hold, and what gives way when they are used up.
//!
//! The load that this answers is a crowd of clients that send bodies without ending them, or read
//! responses slowly. Decisions are made here without I/O, for both front ends; `edge::reservation`
//! carries them out.

pub mod account;
pub mod limits;
