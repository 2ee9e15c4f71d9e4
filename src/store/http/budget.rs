//! Bounds the calls that one node makes.

use tokio::time::Instant;

/// A token bucket.
#[derive(Debug)]
pub(super) struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl Budget {
    pub(super) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: Instant::now(),
        }
    }

    /// Takes one token if there is one.
    pub(super) fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.filled = now;
        self.tokens = (self.tokens + gained).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
