//! Control service between nodes, and for operators' tools.

use serde::{Deserialize, Serialize};

use super::Epoch;
use super::message::{Heartbeat, News};
use super::roster::Entry;
use super::text::{TextId, Update};
use crate::plan::Version;

/// Control service of one node.
#[tarpc::service]
pub trait Control {
    /// Exchanges a heartbeat for one.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Takes in changes of plan and view.
    async fn news(news: News);
    /// Returns the entries of the buckets whose digests differ.
    async fn pull(buckets: Vec<u64>) -> Vec<Entry>;
    /// Returns what leads from the text that the caller has to the newest.
    async fn fetch(have: TextId) -> Update;
    /// What the node has in force and in hand.
    async fn status() -> Status;
}

/// What one node has in force and in hand.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
    /// When that plan came into force, in microseconds of Unix time.
    pub in_force_since_us: u64,
    /// Instances it knows of.
    pub instances: u32,
    /// When the snapshot last changed, in microseconds of Unix time.
    pub changed_us: u64,
    /// Digest of what it knows of instances.
    pub roster: u64,
    /// Whether it relays for its zone.
    pub relay: bool,
    /// What its control service has sent and received.
    pub traffic: Traffic,
    /// State of its gate.
    pub condition: GateStatus,
}

/// Control traffic of one node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Traffic {
    /// Calls made and answered.
    pub messages: u64,
    /// Bytes received on connections between nodes.
    pub bytes_in: u64,
    /// Bytes sent on connections between nodes.
    pub bytes_out: u64,
}

/// State of the gate of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GateStatus {
    /// Step of the gate's life cycle.
    pub gate: String,
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls admitted at the same time.
    pub limit: u32,
}
