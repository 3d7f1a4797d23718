//! Request routing: selects a service by host name and path, with weighted splits among services.

pub mod specification;
pub mod split;
