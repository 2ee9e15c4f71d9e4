//! Choice among backend servers. Pure: given time and events, returns a choice.
//!
//! A [`Router`] draws a few candidates at random, near ones first, and takes
//! the one that is expected to finish first. Its belief may be stale; the gate
//! of the chosen backend server decides, and a wrong choice costs one cheap,
//! truthful refusal.

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
use crate::plan::{self, Regions};
use crate::reason::Reason;

pub use chooser::Chooser;
pub use router::Router;
pub use settings::Settings;

/// Where a router runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Name of the instance.
    pub instance: String,
    /// Region of the instance.
    pub region: String,
    /// Availability zone of the instance.
    pub zone: String,
}

/// A call that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Service called.
    pub service: plan::key::Service,
    /// Regions the call may go to.
    pub regions: Regions,
    /// Stated worth of an answer.
    pub worth: u32,
    /// When the answer is of no use any more.
    pub deadline: Time,
    /// Until when an answer has its full worth, where the plan says so.
    pub objective: Option<Time>,
    /// Bytes that would cross to another region.
    pub bytes: u64,
    /// Backend servers that were tried already.
    pub avoid: Avoid,
}

/// The last few backend servers that one call was refused by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Avoid {
    backends: [Option<key::Backend>; Avoid::CAPACITY],
    next: usize,
}

impl Avoid {
    /// Backend servers remembered.
    pub const CAPACITY: usize = 4;

    /// Nobody was tried yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            backends: [None; Self::CAPACITY],
            next: 0,
        }
    }

    /// Adds `backend` in place of the oldest one.
    pub fn insert(&mut self, backend: key::Backend) {
        self.backends[self.next] = Some(backend);
        self.next = (self.next + 1) % Self::CAPACITY;
    }

    /// Takes `backend` out again.
    pub fn remove(&mut self, backend: key::Backend) {
        for known in &mut self.backends {
            if *known == Some(backend) {
                *known = None;
            }
        }
    }

    /// Whether `backend` was tried.
    #[must_use]
    pub fn contains(&self, backend: key::Backend) -> bool {
        self.backends.contains(&Some(backend))
    }
}

/// Backend server chosen for one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key for [`Router::observe`].
    pub backend: key::Backend,
    /// Name of the instance.
    pub instance: String,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
    /// Whether it is the backend server beside this node.
    pub local: bool,
    /// Time after which a call that is still queued is worth taking back.
    pub recall_after: Option<Duration>,
    /// Time within which its turn at the gate must come, or another backend
    /// server is better; none when there is no other.
    pub patience: Option<Duration>,
    /// Time that the call is expected to take, all told.
    pub expected: Duration,
    /// Whether the call is expected to wait at the gate.
    pub waits: bool,
    /// Age of the load report that this was expected from, if there was one.
    pub load_age: Option<Duration>,
}

/// What became of a call, or a report that came with it.
///
/// The end of a call is to be observed before the report it brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Load report of the gate.
    Report(LoadReport),
    /// The call was answered.
    Answered {
        /// Time since the choice.
        elapsed: Duration,
        /// Bytes of the answer.
        bytes: u64,
    },
    /// The call was not run.
    Refused(Reason),
    /// The call failed, or its outcome is unknown.
    Failed,
    /// The caller withdrew.
    Abandoned,
}
