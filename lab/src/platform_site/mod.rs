//! Stand-ins for the users' platform, written from its pages: the store, workers and the operator, in
//! memory and over HTTP, with the faults of the pages as switches.

pub mod settings;
pub mod site;
pub mod store;
pub mod worker;
