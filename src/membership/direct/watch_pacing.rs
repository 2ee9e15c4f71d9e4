//! Pauses between watches, so that a wave of changes takes few calls. Pure.
//!
//! Every announcement wakes every node, which in a large fleet is the greatest
//! part of all calls. The first change is told at once; while more keep coming,
//! they are gathered for longer and longer.

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

    /// The pause after a watch that took `waited` to return.
    pub fn next_pause(&mut self, waited: Duration) -> Duration {
        if waited >= self.max {
            self.current = self.min;
        }
        let pause = self.current;
        self.current = (pause * 2).min(self.max);
        pause
    }
}
