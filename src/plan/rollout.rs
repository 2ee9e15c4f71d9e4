//! Orders to move a service to another version.

use std::time::Duration;

/// Order of an operator to move the calls of a service to backend servers of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Service whose calls move.
    pub service: String,
    /// Version of the backend servers that take over.
    pub target_version: String,
    /// Time within which the roll-out should be done.
    pub period: Duration,
}
