//! Settings of one gate.

use std::time::Duration;

use crate::plan;

/// Limits, timeouts and rates of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of concurrent calls of the backend server.
    pub slots: u32,
    /// Concurrency and warm-up steps while the backend server is cold.
    pub cold: plan::Cold,
    /// Maximum calls per second while the backend server is cold, in addition to the concurrency
    /// limit.
    pub cold_calls_per_s: Option<u32>,
    /// Time for which the backend server is cold after its start, if it is known.
    pub cold_time: Option<Duration>,
    /// Share of the slots that is used. Backend servers that slow down when they are nearly full
    /// complete more calls with fewer slots in use.
    pub max_utilization: f64,
    /// Maximum number of queued calls.
    pub queue_capacity: usize,
    /// Service time assumed before the first response.
    pub initial_service_time: Duration,
    /// Longest time for which calls queued before a drain may still be admitted.
    pub drain_queue_timeout: Duration,
    /// Longest queue time of a call past its objective. Such a call goes behind all calls that can
    /// still meet theirs.
    pub late_queue_timeout: Duration,
    /// Age of the last slowdown reading from which the gate sends a load query before it starts a
    /// call. No load query is sent to servers that never report a slowdown.
    pub slowdown_max_age: Duration,
    /// Maximum load queries per second.
    pub load_queries_per_s: f64,
    /// Consecutive failures that start a backoff.
    pub failure_threshold: u32,
    /// Ratio to the baseline service time from which responses shrink the concurrency limit.
    pub slow_ratio: f64,
    /// First backoff after consecutive failures or a refused connection.
    pub backoff_min: Duration,
    /// Longest backoff.
    pub backoff_max: Duration,
}

impl Settings {
    /// Number of slots used, at least one.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Bounded by the slots.
    pub fn usable_slots(&self) -> u32 {
        let usable = f64::from(self.slots) * self.max_utilization.clamp(0.0, 1.0);
        (usable as u32).max(1)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            cold: plan::Cold {
                allowance: 1,
                steps: 4,
                step_time: Duration::from_secs(1),
            },
            cold_calls_per_s: None,
            cold_time: None,
            max_utilization: 1.0,
            queue_capacity: 32,
            initial_service_time: Duration::from_millis(10),
            drain_queue_timeout: Duration::from_secs(1),
            late_queue_timeout: Duration::ZERO,
            slowdown_max_age: Duration::from_millis(10),
            load_queries_per_s: 30.0,
            failure_threshold: 3,
            slow_ratio: 5.0,
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
        }
    }
}
