//! Which instances exist, and how plan and view spread between nodes.
//!
//! [`core`] decides, without I/O. Around it, the driver performs what it
//! decides, the follower watches the store when this node is to, and the
//! announcer keeps this node's announcement there. The design is described in
//! docs/design/membership.md.

mod announcer;
pub mod control;
pub mod core;
pub mod delta;
pub mod direct;
mod driver;
mod follower;
mod handle;
mod id;
mod instance;
mod keys;
mod links;
mod member;
pub mod message;
pub mod roster;
mod server;
mod settings;
mod snapshot_source;
#[cfg(test)]
mod tests;
pub mod text;
pub mod topology;
mod view;

use std::sync::Arc;

use crate::plan::Plan;

pub use control::{GateStatus, Status, Traffic};
pub use handle::Handle;
pub use id::InstanceId;
pub use instance::{Epoch, Instance, State};
pub use keys::INSTANCE_PREFIX;
pub use links::connect;
pub use member::{Membership, start};
pub use settings::{Compile, Settings};
pub use snapshot_source::{FixedSnapshotSource, SnapshotSource};
pub use view::View;

/// Plan in force and instances known, as one consistent snapshot.
#[derive(Clone, Debug, Default)]
pub struct ClusterSnapshot {
    /// Plan in force; version zero when none has been learned.
    pub plan: Arc<Plan>,
    /// Instances that take new work, as far as this node knows.
    pub view: Arc<View>,
}
