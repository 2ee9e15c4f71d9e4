//! Faults and announcements told to a backend server from outside.

use serde::{Deserialize, Serialize};

/// Changes to a running backend server; absent fields change nothing.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Work that arrives later than this is work after the zone went out.
    pub zone_out_after_ms: Option<u64>,
    /// The zone is back: work may arrive.
    pub zone_in: bool,
    /// Drain: refuse new work; work later than this is work while leaving.
    pub drain_grace_ms: Option<u64>,
    /// Fall back into cold start under a new boot id.
    pub restart: bool,
    /// Refuse all work as not run.
    pub shed: Option<bool>,
    /// Answer all work at once with an error.
    pub fail: Option<bool>,
    /// Run every request this many times slower.
    pub slowdown: Option<u32>,
    /// State the health endpoint reports instead of the true one; empty ends it.
    pub health: Option<String>,
    /// Requests in hand the load endpoint reports instead of the true number.
    pub load: Option<u32>,
}
