//! Drives and measures real processes on loopback.

pub mod policy;
