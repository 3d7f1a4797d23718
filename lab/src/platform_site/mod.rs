//! Stand-ins for the users' platform, written from its documentation: the store, the workers and the
//! operator, in memory and over HTTP, with faults that can be switched on. `case` runs them with the
//! processes of real hosts.

pub mod case;
pub mod connection;
pub mod ledger;
pub mod settings;
pub mod site;
pub mod store;
pub mod worker;
