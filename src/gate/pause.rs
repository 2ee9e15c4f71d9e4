//! Pause after a failure streak or a refused connection.

use std::time::Duration;

use crate::clock::Time;

use super::Settings;

/// Stops admission for a growing time, then lets one trial call through.
#[derive(Debug, Default)]
pub(super) struct Pause {
    failures: u32,
    until: Option<Time>,
    length: Duration,
    unreachable: bool,
}

impl Pause {
    /// Whether nothing is admitted now.
    pub(super) fn is_closed(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether at most one trial call is admitted.
    pub(super) const fn is_on_trial(&self) -> bool {
        self.until.is_some()
    }

    pub(super) const fn until(&self) -> Option<Time> {
        self.until
    }

    /// No connection could be made.
    pub(super) const fn lost(&mut self) {
        self.unreachable = true;
    }

    /// A connection was made; ends a pause that began for want of one.
    pub(super) fn reached(&mut self) {
        if self.unreachable {
            self.succeeded();
        }
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure. Tells whether a pause begins.
    pub(super) fn failed(&mut self, now: Time, settings: &Settings) -> bool {
        self.failures += 1;
        if self.is_closed(now) {
            return false;
        }
        if self.until.is_none() && self.failures < settings.failure_streak {
            return false;
        }
        self.begin(now, settings);
        true
    }

    /// Begins a pause, twice as long as the one before.
    pub(super) fn begin(&mut self, now: Time, settings: &Settings) {
        self.length = (self.length * 2).clamp(settings.pause_min, settings.pause_max);
        self.until = Some(now + self.length);
    }
}
