//! Which server holds which keys: the book of grants, the host that writes it, and its plans.
//!
//! The book is one record in the platform's log, replaced whole by appends that name the offset at
//! which the log must end. Every change is in the log before an order is sent, so that whoever has
//! read the log knows every holder that there can be.

pub mod arrival;
pub mod assignment;
pub mod election;
pub mod former_granters;
pub mod granter;
pub mod key_load;
pub mod order;
pub mod plan;
mod range_run;
