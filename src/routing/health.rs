//! Tracks failures and refusals of one backend server: exponential backoff after its gate stops
//! accepting calls, and outlier ejection after consecutive failures.

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::Settings;

/// Consecutive failures, ejection and backoff as seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejected_until: Option<Time>,
    ejection_time: Duration,
    backoff: Option<Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Time,
    duration: Duration,
    reason: Reason,
}

impl Health {
    /// Returns the reason of the current backoff; `None` if calls may be sent.
    pub(super) fn backoff_reason(&self, now: Time) -> Option<Reason> {
        self.backoff
            .filter(|backoff| now < backoff.until)
            .map(|backoff| backoff.reason)
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether only one trial call at a time is allowed, as in a half-open circuit
    /// breaker.
    pub(super) const fn needs_trial(&self) -> bool {
        self.ejected_until.is_some() || self.backoff.is_some()
    }

    /// Returns the number of consecutive failures.
    pub(super) const fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn on_success(&mut self) {
        *self = Self::default();
    }

    pub(super) fn clear_backoff(&mut self) {
        self.backoff = None;
    }

    /// Keeps new calls away, twice as long as the last duration in a row. Refusals
    /// of calls that were under way already do not count again.
    pub(super) fn back_off(&mut self, now: Time, reason: Reason, settings: &Settings) {
        if self.backoff_reason(now).is_some() {
            return;
        }
        let previous = self
            .backoff
            .map_or(Duration::ZERO, |backoff| backoff.duration);
        let duration = (previous * 2).clamp(settings.backoff_min, settings.backoff_max);
        self.backoff = Some(Backoff {
            until: now + duration,
            duration,
            reason,
        });
    }

    /// Counts a failure. Returns whether the backend server should be ejected.
    pub(super) fn on_failure(&mut self, settings: &Settings) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= settings.consecutive_failures
    }

    pub(super) fn eject(&mut self, now: Time, settings: &Settings) {
        self.ejection_time =
            (self.ejection_time * 2).clamp(settings.ejection_min, settings.ejection_max);
        self.ejected_until = Some(now + self.ejection_time);
    }
}
