//! How requests are served: the servers there are, who waits for them, who is refused.

pub mod ages;
pub mod desk;
pub mod directory;
pub mod knowledge;
pub mod measure;
pub mod news;
pub mod report;
pub mod verdict;
pub mod view;
