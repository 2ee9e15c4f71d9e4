//! Control service between nodes, and for operators' tools.

use serde::{Deserialize, Serialize};

use super::Epoch;
use crate::plan::Version;

/// Control service of one node.
#[tarpc::service]
pub trait Control {
    /// What the node has in force and in hand.
    async fn status() -> Status;
}

/// What one node has in force and in hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Announcement in force.
    pub epoch: Epoch,
    /// Service of its backend server.
    pub service: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Plan in force; zero when it has none.
    pub plan_version: Version,
    /// Instances it knows of.
    pub instances: u32,
    /// State of its gate.
    pub condition: Condition,
}

/// State of the gate of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Step of the gate's life cycle.
    pub gate: String,
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls admitted at the same time.
    pub limit: u32,
}
