//! Whether a backend server is worth a call at all.

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::Settings;

/// Failures seen by this entry and refusals of the gate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejected_until: Option<Time>,
    ejection: Duration,
    closed: Option<Closed>,
}

#[derive(Clone, Copy, Debug)]
struct Closed {
    until: Time,
    time: Duration,
    reason: Reason,
}

impl Health {
    /// The reason a gate gave for taking no work, while it is recent.
    pub(super) fn closed(&self, now: Time) -> Option<Reason> {
        self.closed
            .filter(|closed| now < closed.until)
            .map(|closed| closed.reason)
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether one call at a time is allowed, to see how it is now.
    pub(super) const fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some() || self.closed.is_some()
    }

    /// Failures in a row.
    pub(super) const fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    pub(super) fn opened(&mut self) {
        self.closed = None;
    }

    /// Keeps new calls away, twice as long as the last time in a row. Refusals
    /// of calls that were under way already do not count again.
    pub(super) fn close(&mut self, now: Time, reason: Reason, settings: &Settings) {
        if self.closed(now).is_some() {
            return;
        }
        let before = self.closed.map_or(Duration::ZERO, |closed| closed.time);
        let time = (before * 2).clamp(settings.closed_min, settings.closed_max);
        self.closed = Some(Closed {
            until: now + time,
            time,
            reason,
        });
    }

    /// Counts a failure. Tells whether it is time for an ejection.
    pub(super) fn failed(&mut self, settings: &Settings) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= settings.failure_streak
    }

    pub(super) fn eject(&mut self, now: Time, settings: &Settings) {
        self.ejection = (self.ejection * 2).clamp(settings.ejection_min, settings.ejection_max);
        self.ejected_until = Some(now + self.ejection);
    }
}
