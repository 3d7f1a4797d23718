//! Request serving: the known servers, and the scheduling, delivery and refusal of requests.

pub mod ages;
pub mod desk;
pub mod directory;
pub mod knowledge;
pub mod measure;
pub mod news;
pub mod report;
pub mod verdict;
pub mod view;
