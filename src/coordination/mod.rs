//! What the nodes of a fleet agree on while they serve, by reports to one of them.
//!
//! Each node reports to the coordinator, the node that ranks highest by rendezvous hashing, and
//! receives directives in reply. The coordinator is no special role: any node answers reports, and
//! a node whose coordinator does not answer reports to the next one in rank. What a coordinator
//! knows comes from reports, but for the status of roll-outs, which the store keeps. Each
//! directive holds for a short time, after which nodes do what is safe without one.
//!
//! Reports are made only while the plan asks for something to be coordinated.

mod coordinator;
mod local;
mod rank;
mod record;
mod status;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::quota::{Restriction, Standing, TenantUsage};
use crate::rollout;

pub use coordinator::{Coordinator, Settings};
pub use local::Local;
pub use rank::ranked;
pub use record::Record;
pub use status::{Saved, StatusFormat, StatusStore, StoreStatus, StoredStatus};

/// What a node reports.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name of the node.
    pub instance: String,
    /// Answers of its backend server, while its service is rolled out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<rollout::VersionReport>,
    /// Calls of tenants with a rate limit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<TenantUsage>,
    /// Time in which these calls came, in milliseconds.
    #[serde(default)]
    pub usage_ms: u64,
    /// Tenants whose demand is beyond their rate limit, as this node was told last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub standings: Vec<Standing>,
}

/// What a node is told.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Directives {
    /// One for each service that is rolled out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<rollout::Directive>,
    /// Tenants whose demand is beyond their rate limit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restrictions: Vec<Restriction>,
}

/// Answers the reports of other nodes.
pub trait Handler: Send + Sync + 'static {
    /// Takes in a report and returns the directives for its node.
    fn on_report(&self, report: Report) -> Directives;
}

/// A handler for a node that coordinates nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoHandler;

impl Handler for NoHandler {
    fn on_report(&self, _report: Report) -> Directives {
        Directives::default()
    }
}

/// Passes reports to other nodes.
pub trait Transport: Send + Sync + 'static {
    /// Reports to the node at `address`; returns nothing when it does not reply in time.
    fn report(&self, address: SocketAddr, report: Report) -> BoxFuture<'_, Option<Directives>>;
}
