//! How long callers have been waiting for an answer already. Pure.
//!
//! A caller that was refused comes back with the time that it has left, and its
//! stopwatch goes on. Calls of one route mostly start with the same time, so one
//! that has less is that much older. Where times differ from caller to caller,
//! nothing can be told and calls count as new.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Time over which the largest time left is remembered.
const WINDOW: Duration = Duration::from_secs(10);
/// Share of the largest time left from which on a call counts as new.
const NEW_CALL_MIN_TIME_SHARE: f64 = 0.82;
/// Share of the largest time left that new calls have in the mean.
const NEW_CALL_MEAN_TIME_SHARE: f64 = 0.92;
/// Share of new calls from which on the others count as come back.
const MIN_NEW_CALL_FRACTION: f64 = 0.2;
/// Weight of one more call.
const SMOOTHING_FACTOR: f64 = 0.02;
/// Routes remembered.
const MAX_ROUTES: usize = 1_024;

/// What is known of the times that callers give, by route.
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
    /// Age of a call of `route` that has `left`, as far as can be told.
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
