//! Request serving: the known servers, and the scheduling, delivery and refusal of requests.

pub mod ages;
pub mod catch_up;
pub mod cluster;
pub mod cold;
pub mod confirmation;
pub mod delivery;
pub mod demand;
pub mod directory;
pub mod estimate;
pub mod evacuation;
pub mod link_load;
pub mod replica;
pub mod report;
pub mod responses;
pub mod scheduler;
pub mod shutdown;
pub mod status;
pub mod topic;
pub mod upstream;
pub mod view;
