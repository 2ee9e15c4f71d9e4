//! Detects a backend server that became cold without reporting it.
//!
//! A server that responds far slower than usual at low load, for longer than noise lasts, has lost
//! its caches.

use std::time::Duration;

use crate::clock::Time;

/// Ratio to the usual service time from which a response counts as slow.
const SLOW_ANSWER_RATIO: f64 = 8.0;
/// Minimum time without a faster response.
const COLLAPSE_DURATION_MIN: Duration = Duration::from_millis(200);
/// Minimum number of responses in that time.
const SLOW_ANSWERS_MIN: u32 = 5;

/// Whether a response is too slow to count as good.
pub(super) fn is_slow(slowdown: f64) -> bool {
    slowdown >= SLOW_ANSWER_RATIO
}

/// Consecutive slow responses at low load.
#[derive(Debug, Default)]
pub(super) struct LatencyCollapse {
    slow_since: Option<Time>,
    slow_answers: u32,
}

impl LatencyCollapse {
    /// Records one response. Returns whether the backend server must now be treated as cold.
    pub(super) fn on_answer(&mut self, now: Time, slowdown: f64, is_load_low: bool) -> bool {
        if !is_slow(slowdown) || !is_load_low {
            *self = Self::default();
            return false;
        }
        self.slow_answers += 1;
        let slow_since = *self.slow_since.get_or_insert(now);
        let collapsed =
            self.slow_answers >= SLOW_ANSWERS_MIN && now.since(slow_since) >= COLLAPSE_DURATION_MIN;
        if collapsed {
            *self = Self::default();
        }
        collapsed
    }
}
