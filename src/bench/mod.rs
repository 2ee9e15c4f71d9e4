//! Drives and measures real processes on loopback.

pub mod fleet;
pub mod http;
pub mod process;
pub mod promises;
pub mod report;
#[cfg(test)]
mod tests;
pub mod traffic;
