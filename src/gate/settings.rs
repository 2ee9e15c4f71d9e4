//! Settings of one gate.

use std::time::Duration;

use crate::plan;

/// How a gate admits calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Concurrent calls the backend server can hold at most.
    pub slots: u32,
    /// How much work the backend server may take while it is cold.
    pub cold: plan::Cold,
    /// Calls a second that the backend server may take while it is cold, beside
    /// the bound on concurrent calls.
    pub cold_calls_per_s: Option<u32>,
    /// Share of the slots that is used. Backend servers that slow down when they
    /// are nearly full do more with less.
    pub max_utilization: f64,
    /// Calls that may wait.
    pub queue_capacity: usize,
    /// Service time assumed before the first answer.
    pub initial_service_time: Duration,
    /// Longest time that calls queued before a departure may still be admitted.
    pub drain_queue_timeout: Duration,
    /// Longest wait of a call that is past its objective; it goes behind all that
    /// can be in time.
    pub late_queue_timeout: Duration,
    /// Age at which the backend server is asked for its speed once more before a
    /// call is begun. Speeds that nobody tells are not asked for.
    pub slowdown_max_age: Duration,
    /// Questions a second for the speed.
    pub load_queries_per_s: f64,
    /// Failures in a row after which the gate stops admitting for a while.
    pub failure_threshold: u32,
    /// Answers this many times slower than usual shrink the limit.
    pub slow_ratio: f64,
    /// First pause after a failure streak or a refused connection.
    pub backoff_min: Duration,
    /// Longest pause.
    pub backoff_max: Duration,
}

impl Settings {
    /// Slots that are used, at least one.
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
