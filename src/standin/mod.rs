//! Small stand-ins for what surrounds the nodes, for tests and measurements.

pub mod store;
