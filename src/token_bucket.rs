//! Token bucket.

use crate::clock::Time;

/// Tokens refilled over time and by events, up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    per_s: f64,
    refilled: Time,
}

impl TokenBucket {
    pub(crate) const fn new_full(capacity: f64, per_s: f64, now: Time) -> Self {
        Self {
            tokens: capacity,
            capacity,
            per_s,
            refilled: now,
        }
    }

    pub(crate) fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    pub(crate) fn refill_and_check(&mut self, now: Time, tokens: f64) -> bool {
        let passed = now.since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.add(passed.as_secs_f64() * self.per_s);
        self.tokens >= tokens
    }

    pub(crate) fn try_take(&mut self, now: Time, tokens: f64) -> bool {
        let enough = self.refill_and_check(now, tokens);
        if enough {
            self.tokens -= tokens;
        }
        enough
    }
}
