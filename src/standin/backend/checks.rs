//! The books of one backend server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What arrived, and what should not have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Checks {
    /// Requests received, shed ones included.
    pub received: u64,
    /// Requests that were run.
    pub executed: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Requests received during cold starts.
    pub cold_received: u64,
    /// Of these, received above the allowance.
    pub cold_over: u64,
    /// Orders to expect no work for the zone.
    pub zone_outs: u64,
    /// Requests received while the zone was out, within the time allowed.
    pub zone_out_within: u64,
    /// Requests received while the zone was out, later than allowed.
    pub zone_out_late: u64,
    /// Orders to drain.
    pub drains: u64,
    /// Requests received while draining, within the time allowed.
    pub leaving_within: u64,
    /// Requests received while draining, later than allowed.
    pub leaving_late: u64,
    /// Requests that named home regions.
    pub homed: u64,
    /// Of these, received outside their home regions.
    pub abroad: u64,
    /// Requests whose sender vanished before the body was whole.
    pub cut: u64,
    /// Requests whose sender vanished while they ran.
    pub abandoned: u64,
    /// Calls of the health and load endpoints.
    pub measured: u64,
}

/// Number of executions per request id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Executions(pub BTreeMap<String, u32>);

impl Executions {
    /// Counts one execution of `id`.
    pub fn count(&mut self, id: &str) {
        *self.0.entry(id.to_owned()).or_default() += 1;
    }

    /// Adds what another backend server executed.
    pub fn merge(&mut self, other: &Self) {
        for (id, count) in &other.0 {
            *self.0.entry(id.clone()).or_default() += count;
        }
    }

    /// Executions of `id`.
    #[must_use]
    pub fn of(&self, id: &str) -> u32 {
        self.0.get(id).copied().unwrap_or_default()
    }
}
