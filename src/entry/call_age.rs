//! Estimates how long a caller has been waiting when its call arrives. Pure: does no I/O.
//!
//! A caller whose call was refused retries with the time that it has left, while its own response
//! time keeps running. Most calls of one route start with the same time left, so a call with less
//! has been waiting for about the difference. Where initial times vary from caller to caller, no
//! estimate is possible and every call counts as new.
//!
//! Input is the time left of each call; the result is its estimated age. The state per route is
//! the largest time left over a sliding window and a moving average of the share of new calls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Length of a window for the largest time left. The current and the previous window count.
const WINDOW: Duration = Duration::from_secs(10);
/// A call counts as new if its time left is at least this share of the largest one.
const NEW_CALL_MIN_TIME_SHARE: f64 = 0.82;
/// Mean time left of new calls, as a share of the largest one.
const NEW_CALL_MEAN_TIME_SHARE: f64 = 0.92;
/// Least share of new calls for an estimate. With fewer, initial times vary too much.
const MIN_NEW_CALL_FRACTION: f64 = 0.2;
/// Weight of the latest call in the moving average of the share of new calls.
const SMOOTHING_FACTOR: f64 = 0.02;
/// Largest number of routes with a history; calls of further routes count as new.
const MAX_ROUTES: usize = 1_024;

/// Estimates the age of calls from the times left on each route.
#[derive(Debug, Default)]
pub(super) struct CallAgeEstimator {
    routes: BTreeMap<String, RouteHistory>,
}

#[derive(Debug)]
struct RouteHistory {
    window_started_at: Time,
    max_time_left: Duration,
    previous_max_time_left: Duration,
    new_call_fraction: f64,
}

impl CallAgeEstimator {
    /// Estimated age of a call of `route` that has `time_left`; zero for a new call.
    pub(super) fn estimate(&mut self, now: Time, route: &str, time_left: Duration) -> Duration {
        if let Some(history) = self.routes.get_mut(route) {
            return history.estimate(now, time_left);
        }
        if self.routes.len() < MAX_ROUTES {
            let history = RouteHistory {
                window_started_at: now,
                max_time_left: time_left,
                previous_max_time_left: Duration::ZERO,
                new_call_fraction: 1.0,
            };
            self.routes.insert(route.to_owned(), history);
        }
        Duration::ZERO
    }
}

impl RouteHistory {
    fn estimate(&mut self, now: Time, time_left: Duration) -> Duration {
        if now.since(self.window_started_at) >= WINDOW {
            self.window_started_at = now;
            self.previous_max_time_left = self.max_time_left;
            self.max_time_left = Duration::ZERO;
        }
        self.max_time_left = self.max_time_left.max(time_left);
        let initial_time = self.max_time_left.max(self.previous_max_time_left);
        let is_new = time_left >= initial_time.mul_f64(NEW_CALL_MIN_TIME_SHARE);
        self.new_call_fraction +=
            (f64::from(u8::from(is_new)) - self.new_call_fraction) * SMOOTHING_FACTOR;
        if is_new || self.new_call_fraction < MIN_NEW_CALL_FRACTION {
            Duration::ZERO
        } else {
            initial_time
                .mul_f64(NEW_CALL_MEAN_TIME_SHARE)
                .saturating_sub(time_left)
        }
    }
}
