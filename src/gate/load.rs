//! What a gate tells entries of its backend server, on every answer and refusal.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of one backend server at the moment the report was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting at the gate.
    pub queued: u32,
    /// Calls the gate admits at the same time.
    pub limit: u32,
    /// Smoothed time one call spends in the backend server.
    pub service_time: Duration,
    /// Whether new work is taken at all.
    pub accepting: bool,
}
