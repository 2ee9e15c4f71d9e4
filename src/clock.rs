//! Time for the decision code.
//!
//! The gate, the router and the membership code never read a clock. Their callers pass a
//! [`Time`], so that tests can use virtual time.

use std::ops::{Add, Sub};
use std::time::Duration;

use tokio::time::Instant;

/// Microseconds since an arbitrary origin that is fixed within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// The time `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero when `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Time> for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

/// A monotonic clock whose origin is its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
