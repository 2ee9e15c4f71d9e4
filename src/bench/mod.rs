//! Drives and measures real processes on loopback.

pub mod policy;
pub mod fleet;
pub mod http;
pub mod process;
