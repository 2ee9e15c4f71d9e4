//! Load report that a gate sends to entries with every response and refusal.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of one backend server at the time of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Running calls.
    pub in_hand: u32,
    /// Calls queued at the gate.
    pub queued: u32,
    /// Maximum number of running calls at the gate.
    pub limit: u32,
    /// Smoothed service time of the backend server, sent in microseconds.
    #[serde(with = "micros")]
    pub service_time: Duration,
    /// Whether new calls are accepted.
    pub accepting: bool,
    /// Time until calls start again while the gate waits for the end of a slow period, sent in
    /// microseconds.
    #[serde(with = "micros")]
    pub delay: Duration,
}

/// Relative change of the expected service time that makes a report outdated.
const SERVICE_TIME_CHANGE_SHARE: f64 = 0.25;
/// Change in the number of calls that makes a report outdated.
const CALLS_CHANGE_MIN: u32 = 2;

impl LoadReport {
    /// Whether an entry with this report would choose differently with `now`.
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

/// Serialises durations as whole microseconds: a report goes with every response, and this takes
/// half the bytes.
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
