//! Waits between attempts.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    attempts_left: u32,
    bound: Duration,
    limit: Duration,
}

impl Backoff {
    pub(super) fn new(attempts: u32, base: Duration, limit: Duration) -> Self {
        Self {
            attempts_left: attempts.saturating_sub(1),
            bound: base.min(limit),
            limit,
        }
    }

    /// The next wait; none when the attempts are used up.
    pub(super) fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<Duration> {
        self.attempts_left = self.attempts_left.checked_sub(1)?;
        let pause = self.bound.mul_f64(rng.random_range(0.0..=1.0));
        self.bound = (self.bound * 2).min(self.limit);
        Some(pause)
    }
}
