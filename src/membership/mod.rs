//! Which instances exist, and how plan and view spread between nodes.

pub mod control;
mod handle;
mod head;
mod instance;
mod member;
mod server;
mod settings;
#[cfg(test)]
mod tests;
mod view;

use std::sync::Arc;

use crate::plan::Plan;

pub use control::{Condition, Status};
pub use handle::Handle;
pub use head::{HEAD_KEY, Head, INSTANCE_PREFIX};
pub use instance::{Epoch, Instance, State};
pub use member::{Member, start};
pub use server::connect;
pub use settings::{Compile, Settings};
pub use view::View;

/// Plan in force and instances known, as one consistent snapshot.
#[derive(Clone, Debug, Default)]
pub struct Situation {
    /// Plan in force; version zero when none has been learned.
    pub plan: Arc<Plan>,
    /// Instances known.
    pub view: Arc<View>,
}
