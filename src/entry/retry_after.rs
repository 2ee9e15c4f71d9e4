//! Computes the Retry-After delay of a refusal. Pure: does no I/O.
//!
//! Input is the reason, the time until a backend server has capacity and a random number; the
//! result is a delay with jitter. If all gates are full, the caller should wait until the first one
//! has capacity. If a backend server shed the call while others have capacity, a retry may succeed
//! at once. Jitter keeps callers that were refused together from retrying together.

use std::time::Duration;

use crate::call::Reason;

use super::Settings;

/// A refusal, with what its Retry-After delay depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdvice {
    /// Why the call was refused.
    pub reason: Reason,
    /// Time until a backend server has capacity; `None` while none accepts calls.
    pub time_until_capacity: Option<Duration>,
    /// Uniform random number from 0 to 1.
    pub jitter: f64,
}

impl RetryAdvice {
    /// Delay after which the caller may retry, with jitter.
    #[must_use]
    pub fn retry_after(&self, settings: &Settings) -> Duration {
        let jitter_factor = 1.0 + settings.retry_jitter_share * (2.0 * self.jitter - 1.0);
        self.base_delay(settings).mul_f64(jitter_factor.max(0.0))
    }

    fn base_delay(&self, settings: &Settings) -> Duration {
        match (self.reason, self.time_until_capacity) {
            (Reason::Shed, Some(Duration::ZERO)) => settings.retry_after_min,
            (_, Some(time_until_capacity)) => {
                let max_delay = settings.retry_after.max(settings.retry_after_max);
                time_until_capacity.clamp(settings.retry_after, max_delay)
            }
            (_, None) => settings.retry_after,
        }
    }
}
