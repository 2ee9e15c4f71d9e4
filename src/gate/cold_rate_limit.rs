//! Rate limit for a cold backend server, using a sliding window log.
//!
//! The log begins with the process. What the one before it admitted is not known, so the window in
//! which that may have been counts as used up. A server that became cold only when that one had
//! ended got nothing from it while it was cold, as after a loss of power.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);
/// Shortest time from the end of a process to the start of the next one.
const RESTART_TIME_MIN: Duration = Duration::from_millis(250);

/// Admission times within the last window, whether the server was cold or not.
#[derive(Debug)]
pub(super) struct ColdRateLimit {
    admitted_at: VecDeque<Time>,
    started_at: Time,
    /// End of the window in which a process before this one may have admitted calls.
    unknown_until: Time,
}

impl ColdRateLimit {
    /// A log that begins now.
    pub(super) fn new(now: Time) -> Self {
        Self {
            admitted_at: VecDeque::new(),
            started_at: now,
            unknown_until: now + WINDOW,
        }
    }

    /// Takes in that the server is cold for `left` more of `cold_time`.
    pub(super) fn on_cold(&mut self, now: Time, left: Duration, cold_time: Duration) {
        let Some(cold_since) = cold_time.checked_sub(left) else {
            // It became cold for another reason than its start.
            return;
        };
        let running_since = now.since(self.started_at) + RESTART_TIME_MIN;
        if !left.is_zero() && cold_since <= running_since {
            self.unknown_until = self.unknown_until.min(now);
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
