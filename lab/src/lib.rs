//! Stand-ins for the systems around zinniastack: the platform's log and host list, and backend
//! servers.
//!
//! Their states do no I/O and read no clock, so that simulations can run them on virtual time.
//! [`http`] serves the same states over HTTP.

pub mod caller;
pub mod capacity;
pub mod checker;
pub mod cmd;
pub mod event_queue;
pub mod fakes;
pub mod faults;
pub mod fixtures;
pub mod flood;
pub mod fronts;
pub mod grants;
pub mod host_list;
pub mod host_simulation;
pub mod http;
pub mod log_state;
pub mod platform_site;
pub mod scenario;
pub mod scripted_server;
pub mod server_state;
pub mod simulation;
mod simulation_faults;
mod simulation_layout;
pub mod site;
pub mod stop_caller;
pub mod walk;
