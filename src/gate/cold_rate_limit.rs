//! Rate limit for a cold backend server, using a sliding window log.
//!
//! The log begins with the process. What the one before it admitted is not known, so the window in
//! which that may have been counts as used up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Admission times within the last window, whether the server was cold or not.
#[derive(Debug)]
pub(super) struct ColdRateLimit {
    admitted_at: VecDeque<Time>,
    /// End of the window in which a process before this one may have admitted calls.
    unknown_until: Time,
}

impl ColdRateLimit {
    /// A log that begins now.
    pub(super) fn new(now: Time) -> Self {
        Self {
            admitted_at: VecDeque::new(),
            unknown_until: now + WINDOW,
        }
    }

    /// Records one admission.
    pub(super) fn record(&mut self, now: Time) {
        self.drop_expired(now);
        self.admitted_at.push_back(now);
    }

    /// Time at which one more call may be admitted without exceeding `calls_per_s`.
    pub(super) fn next_permitted_at(&self, now: Time, calls_per_s: u32) -> Time {
        let bound = usize::try_from(calls_per_s.max(1)).unwrap_or(usize::MAX);
        let known = self.unknown_until.max(now);
        match self.admitted_at.len().checked_sub(bound) {
            Some(oldest) => known.max(self.admitted_at[oldest] + WINDOW),
            None => known,
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
