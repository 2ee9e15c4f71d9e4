//! Pauses between watches, so that a burst of changes takes few calls of the store. No I/O.
//!
//! Every announcement wakes every node, which in a large fleet causes most of all calls. The first
//! change is fetched after the minimum pause; while changes keep coming, the pause doubles so that
//! more of them arrive in one batch.

use std::time::Duration;

/// Pauses between the watches of one prefix.
#[derive(Debug)]
pub struct WatchPacing {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl WatchPacing {
    /// Pauses from `min`, doubling up to `max`.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            current: min,
        }
    }

    /// No pauses.
    #[must_use]
    pub const fn disabled() -> Self {
        Self::new(Duration::ZERO, Duration::ZERO)
    }

    /// Returns the pause after a watch that returned after `waited`, and doubles the next one.
    pub fn next_pause(&mut self, waited: Duration) -> Duration {
        if waited >= self.max {
            self.current = self.min;
        }
        let pause = self.current;
        self.current = (pause * 2).min(self.max);
        pause
    }
}
