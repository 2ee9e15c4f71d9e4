//! Record that a node keeps in the store about itself.

use serde::{Deserialize, Serialize};

use super::Instance;

/// The record of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The node and its backend server.
    pub instance: Instance,
    /// Last backend server process whose departure this node has acknowledged. It is stored so
    /// that the acknowledgement still holds after a restart of the node.
    pub departed: Option<DepartedProcess>,
}

/// One process of a backend server that has left.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DepartedProcess {
    /// Name of the process.
    pub process: String,
    /// Start time in milliseconds since the Unix epoch, if the process reported it.
    pub born_ms: Option<u64>,
}
