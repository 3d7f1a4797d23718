//! Granting on the users' platform on virtual time: hosts, store and servers, what befalls them, and
//! for how long keys are without a holder.

mod faults;
pub mod key_server;
pub mod ownership_gaps;
pub mod simulation;
