//! What each role costs, as slopes over its size, from real processes.

pub mod control;
pub mod data;
mod fit;
#[cfg(test)]
mod tests;
mod usage;

pub use fit::{Fit, Point};
pub use usage::Usage;
