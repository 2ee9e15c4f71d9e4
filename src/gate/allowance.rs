//! Bounds the calls a second that a cold backend server gets.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Span over which admissions are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Admissions of the last second, whether the backend server was cold or not.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    admitted: VecDeque<Time>,
}

impl Allowance {
    /// Counts one admission.
    pub(super) fn note(&mut self, now: Time) {
        self.forget(now);
        self.admitted.push_back(now);
    }

    /// When one more call may be admitted without exceeding `per_s`.
    pub(super) fn next(&self, now: Time, per_s: u32) -> Time {
        let bound = usize::try_from(per_s.max(1)).unwrap_or(usize::MAX);
        match self.admitted.len().checked_sub(bound) {
            Some(over) => now.max(self.admitted[over] + SPAN),
            None => now,
        }
    }

    fn forget(&mut self, now: Time) {
        while self.admitted.front().is_some_and(|&at| at + SPAN < now) {
            self.admitted.pop_front();
        }
    }
}
