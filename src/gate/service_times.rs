//! Moving averages of the service time per class of calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CallClass;

/// Weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum number of classes.
const CLASSES_MAX: usize = 256;
/// Share of the mean service time that a call must have left. Calls of one class vary.
const MIN_SERVICE_TIME_SHARE: f64 = 0.8;

/// Mean service time by class, in microseconds.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    mean_us: BTreeMap<CallClass, f64>,
}

impl ServiceTimes {
    /// Records that a call of `class` ran for `time` on a machine of usual speed.
    pub(super) fn add_sample(&mut self, class: CallClass, time: Duration) {
        if class == CallClass::UNKNOWN {
            return;
        }
        let micros = time.as_secs_f64() * 1e6;
        if let Some(mean) = self.mean_us.get_mut(&class) {
            *mean += (micros - *mean) * SAMPLE_WEIGHT;
        } else if self.mean_us.len() < CLASSES_MAX {
            self.mean_us.insert(class, micros);
        }
    }

    /// Mean service time of `class`; zero if unknown.
    pub(super) fn mean(&self, class: CallClass) -> Duration {
        let micros = self.mean_us.get(&class).copied().unwrap_or_default();
        Duration::from_secs_f64(micros / 1e6)
    }

    /// Shortest expected service time of `class`; zero if unknown.
    pub(super) fn minimum(&self, class: CallClass) -> Duration {
        self.mean(class).mul_f64(MIN_SERVICE_TIME_SHARE)
    }
}
