//! Token buckets that limit the extra load of one service from retries and hedged requests.
//!
//! Each call adds a fraction of a token at its node. All nodes together therefore stay within
//! the same share of all calls without coordination.

use crate::clock::Time;
use crate::token_bucket::TokenBucket;

use super::Settings;

/// Budgets of one service for retries and hedged requests.
#[derive(Debug)]
pub(super) struct Budget {
    pub(super) retries: TokenBucket,
    pub(super) hedges: TokenBucket,
}

impl Budget {
    pub(super) const fn new(settings: &Settings, now: Time) -> Self {
        Self {
            retries: TokenBucket::new_full(settings.retry_burst, settings.retry_floor_per_s, now),
            hedges: TokenBucket::new_full(settings.hedge_burst, 0.0, now),
        }
    }

    /// Adds the share of one new call to both budgets.
    pub(super) fn on_call(&mut self, settings: &Settings) {
        self.retries.add(settings.retry_ratio);
        self.hedges.add(settings.hedge_ratio);
    }
}
