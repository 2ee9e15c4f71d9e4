//! Drives and measures real processes on loopback.

pub mod fleet;
pub mod http;
pub mod policy;
pub mod process;
