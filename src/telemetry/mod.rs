//! What a node tells of itself: counters first, spans on demand, and log lines
//! for changes of state only.

pub mod log;
pub mod metric;
pub mod trace;
