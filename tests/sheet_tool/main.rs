//! Whole sessions of the operators' tool, as a real process.

#[path = "../../src/cases.rs"]
#[macro_use]
mod cases;

mod fleet;
mod offline;
mod session;
mod store;
