//! Which instances exist, and how plan and view spread between nodes.

mod instance;
mod view;

use std::sync::Arc;

use crate::plan::Plan;

pub use instance::{Epoch, Instance, State};
pub use view::View;

/// Plan in force and instances known, as one consistent snapshot.
#[derive(Clone, Debug, Default)]
pub struct Situation {
    /// Plan in force; version zero when none has been learned.
    pub plan: Arc<Plan>,
    /// Instances known.
    pub view: Arc<View>,
}
