//! Exponential backoff after consecutive failures or a refused connection.

use std::time::Duration;

use crate::clock::Time;

use super::Settings;

/// Stops admission for an increasing time, then permits one trial call.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Option<Time>,
    duration: Duration,
    unreachable: bool,
}

impl Backoff {
    /// Whether admission is stopped now.
    pub(super) fn is_active(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether at most one trial call is admitted.
    pub(super) const fn is_trial_only(&self) -> bool {
        self.until.is_some()
    }

    pub(super) const fn until(&self) -> Option<Time> {
        self.until
    }

    /// Records that no connection could be established.
    pub(super) const fn set_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Handles a successful connection. Ends a backoff that started because the server was
    /// unreachable.
    pub(super) fn on_connected(&mut self) {
        if self.unreachable {
            self.reset();
        }
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. Returns whether a backoff starts.
    pub(super) fn on_failure(&mut self, now: Time, settings: &Settings) -> bool {
        self.failures += 1;
        if self.is_active(now) {
            return false;
        }
        if self.until.is_none() && self.failures < settings.failure_threshold {
            return false;
        }
        self.start(now, settings);
        true
    }

    /// Starts a backoff twice as long as the previous one.
    pub(super) fn start(&mut self, now: Time, settings: &Settings) {
        self.duration = (self.duration * 2).clamp(settings.backoff_min, settings.backoff_max);
        self.until = Some(now + self.duration);
    }
}
