//! Key ownership: the assignment table, the granter that writes it, and its plans.
//!
//! The assignment table is kept in the platform's log. An append holds the parts that changed and is
//! conditional on the offset at which the log ends. A change is in the log before any order is
//! sent for it, so a host that has read the log knows every server that may hold a key.

pub mod assignment;
pub mod election;
pub mod evacuation;
pub mod fencing;
pub mod former_granters;
pub mod granter;
pub mod hold_expiry;
pub mod key_load;
pub mod lost_grants;
pub mod order;
pub mod plan;
pub mod table_records;
mod tracked_range;
