//! The operators' records as nodes pass them on to each other.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::plan::Version;
use crate::store::Record;

/// What a node knows of the operators' records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRecords {
    /// Version that the records make.
    pub version: Version,
    /// The records, unless the other node has them or newer ones.
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
