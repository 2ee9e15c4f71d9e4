//! Rate limit for a cold backend server, using a sliding window log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Admission times within the last window, whether the server was cold or not.
#[derive(Debug, Default)]
pub(super) struct ColdRateLimit {
    admitted_at: VecDeque<Time>,
}

impl ColdRateLimit {
    /// Records one admission.
    pub(super) fn record(&mut self, now: Time) {
        self.drop_expired(now);
        self.admitted_at.push_back(now);
    }

    /// Time at which one more call may be admitted without exceeding `calls_per_s`.
    pub(super) fn next_permitted_at(&self, now: Time, calls_per_s: u32) -> Time {
        let bound = usize::try_from(calls_per_s.max(1)).unwrap_or(usize::MAX);
        match self.admitted_at.len().checked_sub(bound) {
            Some(oldest) => now.max(self.admitted_at[oldest] + WINDOW),
            None => now,
        }
    }

    fn drop_expired(&mut self, now: Time) {
        while self
            .admitted_at
            .front()
            .is_some_and(|&at| at + WINDOW < now)
        {
            self.admitted_at.pop_front();
        }
    }
}
