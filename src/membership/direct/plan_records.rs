//! Copies of the operators' records that nodes exchange by gossip.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::plan::Version;
use crate::store::Record;

/// Versioned copy of the operators' records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRecords {
    /// Plan version of the records: revision of their newest change.
    pub version: Version,
    /// The records; `None` if the receiver already has this version or a newer one.
    pub records: Option<Vec<Record>>,
}

/// Passes bulletins between nodes.
pub trait GossipTransport: Send + Sync + 'static {
    /// Gives `records` to the node at `address` and returns what that node
    /// knows; nothing when it does not say in time.
    fn exchange(
        &self,
        address: SocketAddr,
        records: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>>;
}
