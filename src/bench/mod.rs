//! Drives and measures real processes on loopback.

pub mod demo;
pub mod explain;
pub mod fleet;
pub mod http;
pub mod load;
pub mod monitor;
pub mod operator;
pub mod overhead;
pub mod policy;
pub mod process;
pub mod promises;
pub mod report;
pub mod slopes;
pub mod soak;
#[cfg(test)]
mod tests;
pub mod traffic;
