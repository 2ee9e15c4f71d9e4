//! Tells that a backend server has become cold without a word.
//!
//! A server that answers far slower than usual although it has little to do,
//! and does so for longer than noise lasts, has lost its warmth.

use std::time::Duration;

use crate::clock::Time;

/// Times slower than usual that an answer must be.
const SLOW_ANSWER_RATIO: f64 = 8.0;
/// Time without any faster answer.
const COLLAPSE_DURATION_MIN: Duration = Duration::from_millis(200);
/// Answers in that time.
const SLOW_ANSWERS_MIN: u32 = 5;

/// Whether an answer is too slow to be a good sign.
pub(super) fn is_slow(slowdown: f64) -> bool {
    slowdown >= SLOW_ANSWER_RATIO
}

/// Slow answers in a row at low load.
#[derive(Debug, Default)]
pub(super) struct LatencyCollapse {
    slow_since: Option<Time>,
    slow_answers: u32,
}

impl LatencyCollapse {
    /// Takes in one answer. Tells whether the backend server counts as cold now.
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
