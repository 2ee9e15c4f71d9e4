//! What a node tells of itself: counters first, spans on demand, and log lines
//! for changes of state and, on a platform, for decisions that touch a request.

pub mod decision;
pub mod journal;
pub mod log;
pub mod metric;
pub mod trace;
