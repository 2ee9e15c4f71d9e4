//! What a node keeps in the store of itself.

use serde::{Deserialize, Serialize};

use super::Instance;

/// The record of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The node and its backend server.
    pub instance: Instance,
    /// Last backend server whose leaving this node has acknowledged, so that the
    /// node keeps its word after a restart.
    pub departed: Option<DepartedProcess>,
}

/// One process of a backend server that has left.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DepartedProcess {
    /// Name of the process.
    pub process: String,
    /// When it was started, in milliseconds since 1970, where it said so.
    pub born_ms: Option<u64>,
}
