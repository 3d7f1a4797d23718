//! Stand-ins for the users' platform, written from its documentation: the store, the workers and the
//! operator, in memory and over HTTP, with faults that can be switched on.

pub mod settings;
pub mod site;
pub mod store;
pub mod worker;
