//! How long calls of each kind usually run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Kind;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Kinds remembered.
const KINDS_MAX: usize = 256;
/// Share of the usual time that a call must be given. Calls of one kind differ.
const MIN_SERVICE_TIME_SHARE: f64 = 0.8;

/// Usual times of calls by kind, in microseconds.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    mean_us: BTreeMap<Kind, f64>,
}

impl ServiceTimes {
    /// A call of `kind` ran for `time` on a machine of usual speed.
    pub(super) fn add_sample(&mut self, kind: Kind, time: Duration) {
        if kind == Kind::UNTOLD {
            return;
        }
        let micros = time.as_secs_f64() * 1e6;
        if let Some(mean) = self.mean_us.get_mut(&kind) {
            *mean += (micros - *mean) * SAMPLE_WEIGHT;
        } else if self.mean_us.len() < KINDS_MAX {
            self.mean_us.insert(kind, micros);
        }
    }

    /// Time that a call of `kind` usually runs; zero when unknown.
    pub(super) fn mean(&self, kind: Kind) -> Duration {
        let micros = self.mean_us.get(&kind).copied().unwrap_or_default();
        Duration::from_secs_f64(micros / 1e6)
    }

    /// Least time that a call of `kind` is expected to run; zero when unknown.
    pub(super) fn minimum(&self, kind: Kind) -> Duration {
        self.mean(kind).mul_f64(MIN_SERVICE_TIME_SHARE)
    }
}
