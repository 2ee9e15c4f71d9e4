//! When a caller whose call was refused may come back. Pure.
//!
//! Where all gates are full, it is worth waiting for the first one to have room.
//! Where a backend server refused beside free ones, another try may succeed at
//! once. Callers refused together must not come back together.

use std::time::Duration;

use crate::call::Reason;

use super::Settings;

/// A refusal, and what is known of the backend servers then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdvice {
    /// Why the call was refused.
    pub reason: Reason,
    /// Time until a backend server has room; nothing while none takes work.
    pub time_until_capacity: Option<Duration>,
    /// Drawn evenly from zero to one.
    pub jitter: f64,
}

impl RetryAdvice {
    /// Time that the caller is told to wait.
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
