//! How requests are served: the servers there are, who waits for them, who is refused.

pub mod ages;
pub mod cluster;
pub mod delivery;
pub mod directory;
pub mod estimate;
pub mod report;
pub mod scheduler;
pub mod status;
pub mod view;
