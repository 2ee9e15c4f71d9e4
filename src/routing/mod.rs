//! Client-side load balancing: selects the backend server for each call.
//!
//! The code does no I/O. It takes the current time, snapshots of plan and membership view, load
//! reports and call outcomes, and returns a [`Choice`]. A [`Router`] keeps a load estimate, the
//! health and the retry budgets of the backend servers it knows. For each call it samples a few
//! candidates at random, preferring near ones, and selects the one with the lowest expected
//! completion time (power of two choices). Load estimates may be stale: the gate of the selected
//! backend server makes the final decision, and a wrong selection costs one cheap refusal that
//! is known not to have run.

mod arena;
pub mod baseline;
mod budget;
mod candidates;
mod chooser;
mod directory;
mod estimate;
mod health;
pub mod key;
mod member;
mod pool;
mod router;
mod settings;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::gate::LoadReport;
use crate::membership::Epoch;
use crate::plan::{self, Regions};
use crate::reason::Reason;

pub use chooser::Chooser;
pub use router::Router;
pub use settings::Settings;

/// Instance, region and availability zone of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Name of the instance.
    pub instance: String,
    /// Region of the instance.
    pub region: String,
    /// Availability zone of the instance.
    pub zone: String,
}

/// Properties of one call that the selection of a backend server depends on.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest {
    /// Service called.
    pub service: plan::key::Service,
    /// Regions that the call may be sent to.
    pub regions: Regions,
    /// Worth of a response, as the sheet states it.
    pub worth: u32,
    /// Time after which a response is useless.
    pub deadline: Time,
    /// Time until which a response has its full worth, if the plan sets an objective.
    pub objective: Option<Time>,
    /// Size of the request in bytes, charged if it is sent to another region.
    pub bytes: u64,
    /// Backend servers that this call was already sent to.
    pub tried: TriedBackends,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// The backend servers that one call was most recently sent to, in a ring buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TriedBackends {
    backends: [Option<key::Backend>; TriedBackends::CAPACITY],
    next: usize,
}

impl TriedBackends {
    /// Maximum number of backend servers kept.
    pub const CAPACITY: usize = 4;

    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            backends: [None; Self::CAPACITY],
            next: 0,
        }
    }

    /// Adds `backend` and overwrites the oldest entry if the list is full.
    pub fn insert(&mut self, backend: key::Backend) {
        self.backends[self.next] = Some(backend);
        self.next = (self.next + 1) % Self::CAPACITY;
    }

    /// Removes `backend`.
    pub fn remove(&mut self, backend: key::Backend) {
        for slot in &mut self.backends {
            if *slot == Some(backend) {
                *slot = None;
            }
        }
    }

    /// Returns whether `backend` is in the list.
    #[must_use]
    pub fn contains(&self, backend: key::Backend) -> bool {
        self.backends.contains(&Some(backend))
    }
}

/// Backend server selected for one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key for [`Router::observe`].
    pub backend: key::Backend,
    /// Name of the instance.
    pub instance: String,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
    /// Whether it is this node's own backend server.
    pub local: bool,
    /// Time after which a call that is still queued should be recalled and sent elsewhere.
    pub recall_after: Option<Duration>,
    /// Longest time that the call may queue at the gate before another backend server becomes
    /// the better choice; `None` if there is no other candidate.
    pub queue_timeout: Option<Duration>,
    /// Expected total time of the call: round trip, queueing and service time.
    pub expected: Duration,
    /// Whether the call is expected to queue at the gate.
    pub expects_queueing: bool,
    /// Age of the load report behind the estimate; `None` without a report.
    pub load_age: Option<Duration>,
}

/// Gate whose load reports a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Followed {
    /// Announcement that the address comes from.
    pub epoch: Epoch,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
}

/// Outcome of a call, or a load report.
///
/// The outcome of a call must be observed before the load report that came with the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The gate sent a load report.
    Report(LoadReport),
    /// The backend server responded.
    Answered {
        /// Time since the selection.
        elapsed: Duration,
        /// Size of the response in bytes.
        bytes: u64,
    },
    /// The call was refused and did not run.
    Refused(Reason),
    /// The call failed, or its outcome is unknown.
    Failed,
    /// The caller cancelled the call.
    Cancelled,
}
