//! Whole calls through nodes that run in this process, with backend servers
//! that break on demand.

mod rows;
mod world;
