//! What a gate tells entries of its backend server, on every answer and refusal.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load report of one backend server at the moment the report was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting at the gate.
    pub queued: u32,
    /// Calls the gate admits at the same time.
    pub limit: u32,
    /// Smoothed time one call spends in the backend server, sent in microseconds.
    #[serde(with = "micros")]
    pub service_time: Duration,
    /// Whether new work is taken at all.
    pub accepting: bool,
    /// Time until calls are begun again, while the gate waits for the end of a
    /// slow spell; sent in microseconds.
    #[serde(with = "micros")]
    pub delay: Duration,
}

/// Share by which the expected time of a call must change to be told.
const SERVICE_TIME_CHANGE_SHARE: f64 = 0.25;
/// Calls by which the load must change to be told.
const CALLS_CHANGE_MIN: u32 = 2;

impl LoadReport {
    /// Whether an entry that knows this load would choose otherwise by `now`.
    #[must_use]
    pub fn is_outdated_by(&self, now: &Self) -> bool {
        let before = self.service_time.as_secs_f64();
        let change = (now.service_time.as_secs_f64() - before).abs();
        let calls = self.in_hand + self.queued;
        let calls_now = now.in_hand + now.queued;
        self.accepting != now.accepting
            || self.limit != now.limit
            || self.delay.is_zero() != now.delay.is_zero()
            || calls.abs_diff(calls_now) >= CALLS_CHANGE_MIN
            || change > before * SERVICE_TIME_CHANGE_SHARE
    }
}

/// A report goes with every answer; whole microseconds take half the bytes.
mod micros {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u32(u32::try_from(time.as_micros()).unwrap_or(u32::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u32::deserialize(from).map(|micros| Duration::from_micros(micros.into()))
    }
}
