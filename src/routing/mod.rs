//! Which service a request goes to: routes by host and path, and weighted splits among services.

pub mod specification;
pub mod split;
