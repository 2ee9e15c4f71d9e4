//! How slow a backend server's machine is now, and for how long.
//!
//! Machines are shared, and their speed changes many times a second. A slow
//! spell that has just begun is likely to be short; one that has lasted is
//! likely to last as long again.

use std::time::Duration;

use crate::clock::Time;

/// Least slowness that is believed.
const MIN: f64 = 0.1;
/// Slowness from which on a spell counts as slow.
const SLOW: f64 = 1.5;
/// Length that is expected of a spell that has just begun. Neighbours on shared
/// hosts change about as often.
const SPELL: Duration = Duration::from_millis(150);

/// Slowness of one machine.
#[derive(Debug)]
pub(super) struct Slowness {
    factor: f64,
    slow_since: Option<Time>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            slow_since: None,
        }
    }
}

impl Slowness {
    /// Work takes this many hundredths of its usual time now.
    pub(super) fn told(&mut self, now: Time, hundredths: u32) {
        self.factor = (f64::from(hundredths) / 100.0).max(MIN);
        if self.factor < SLOW {
            self.slow_since = None;
        } else {
            self.slow_since.get_or_insert(now);
        }
    }

    /// Times slower than usual.
    pub(super) const fn factor(&self) -> f64 {
        self.factor
    }

    /// Time that work of `usual` length is expected to take from now on.
    pub(super) fn expect(&self, now: Time, usual: Duration) -> Duration {
        let Some(since) = self.slow_since else {
            return usual.mul_f64(self.factor.min(1.0));
        };
        let spell = now.since(since).max(SPELL);
        let lost = spell.mul_f64(1.0 - 1.0 / self.factor);
        usual + lost.min(usual.mul_f64(self.factor - 1.0))
    }
}
