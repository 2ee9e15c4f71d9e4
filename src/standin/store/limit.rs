//! Rate limit of the stand-in.

use crate::clock::Time;

/// A token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    rate: f64,
    tokens: f64,
    filled: Time,
}

impl Limit {
    pub(super) const fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            filled: Time::ZERO,
        }
    }

    /// Takes one token if there is one.
    pub(super) fn take(&mut self, now: Time) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * self.rate;
        self.filled = now;
        self.tokens = (self.tokens + gained).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
