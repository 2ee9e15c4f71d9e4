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
pub struct Comeback {
    /// Why the call was refused.
    pub reason: Reason,
    /// Time until a backend server has room; nothing while none takes work.
    pub room: Option<Duration>,
    /// Drawn evenly from zero to one.
    pub draw: f64,
}

impl Comeback {
    /// Time that the caller is told to wait.
    #[must_use]
    pub fn after(&self, settings: &Settings) -> Duration {
        let spread = 1.0 + settings.retry_spread * (2.0 * self.draw - 1.0);
        self.wait(settings).mul_f64(spread.max(0.0))
    }

    fn wait(&self, settings: &Settings) -> Duration {
        match (self.reason, self.room) {
            (Reason::Shed, Some(Duration::ZERO)) => settings.retry_after_min,
            (_, Some(room)) => {
                let most = settings.retry_after.max(settings.retry_after_max);
                room.clamp(settings.retry_after, most)
            }
            (_, None) => settings.retry_after,
        }
    }
}
