//! What the calls of one service may add to its load.
//!
//! Each node saves up a share of the calls that it makes, so that all nodes
//! together stay within the sum without agreeing on any call.

use crate::clock::Time;
use crate::token_bucket::TokenBucket;

use super::Settings;

/// Retries and second copies of one service.
#[derive(Debug)]
pub(super) struct Budget {
    pub(super) retries: TokenBucket,
    pub(super) copies: TokenBucket,
}

impl Budget {
    pub(super) const fn new(settings: &Settings, now: Time) -> Self {
        Self {
            retries: TokenBucket::new_full(settings.retry_burst, settings.retry_floor_per_s, now),
            copies: TokenBucket::new_full(settings.copy_burst, 0.0, now),
        }
    }

    /// A call of a caller pays into both.
    pub(super) fn call_made(&mut self, settings: &Settings) {
        self.retries.add(settings.retry_ratio);
        self.copies.add(settings.copy_ratio);
    }
}
