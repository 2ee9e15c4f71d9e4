//! Tells that a backend server has become cold without a word.
//!
//! A server that answers far slower than usual although it has little to do,
//! and does so for longer than noise lasts, has lost its warmth.

use std::time::Duration;

use crate::clock::Time;

/// Times slower than usual that an answer must be.
const SLOW_RATIO: f64 = 8.0;
/// Time without any faster answer.
const COLLAPSE_TIME: Duration = Duration::from_millis(200);
/// Answers in that time.
const ANSWERS_MIN: u32 = 5;

/// Whether an answer is too slow to be a good sign.
pub(super) fn is_slow(slowness: f64) -> bool {
    slowness >= SLOW_RATIO
}

/// Slow answers in a row at low load.
#[derive(Debug, Default)]
pub(super) struct Collapse {
    since: Option<Time>,
    answers: u32,
}

impl Collapse {
    /// Takes in one answer. Tells whether the backend server counts as cold now.
    pub(super) fn answered(&mut self, now: Time, slowness: f64, is_low: bool) -> bool {
        if !is_slow(slowness) || !is_low {
            *self = Self::default();
            return false;
        }
        self.answers += 1;
        let since = *self.since.get_or_insert(now);
        let collapsed = self.answers >= ANSWERS_MIN && now.since(since) >= COLLAPSE_TIME;
        if collapsed {
            *self = Self::default();
        }
        collapsed
    }
}
