//! The commands of the program `zinnia-lab`, one file each.

pub mod hosts;
pub mod load;
pub mod log;
pub mod measure;
pub mod server;
pub mod try_site;
pub mod walk;
