//! Whole calls through nodes that run in this process, with backend servers
//! that break on demand.

mod ages;
mod bodies;
mod claims;
mod comebacks;
mod depth;
mod drain;
mod hostile;
mod rows;
pub mod test_cluster;
