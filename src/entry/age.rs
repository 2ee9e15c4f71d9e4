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
const SPAN: Duration = Duration::from_secs(10);
/// Share of the largest time left from which on a call counts as new.
const NEW: f64 = 0.82;
/// Share of the largest time left that new calls have in the mean.
const USUAL: f64 = 0.92;
/// Share of new calls from which on the others count as come back.
const NEW_SHARE_MIN: f64 = 0.2;
/// Weight of one more call.
const SMOOTHING: f64 = 0.02;
/// Routes remembered.
const ROUTES_MAX: usize = 1_024;

/// What is known of the times that callers give, by route.
#[derive(Debug, Default)]
pub(super) struct Ages {
    routes: BTreeMap<String, Known>,
}

#[derive(Debug)]
struct Known {
    since: Time,
    largest: Duration,
    largest_before: Duration,
    new_share: f64,
}

impl Ages {
    /// Age of a call of `route` that has `left`, as far as can be told.
    pub(super) fn age(&mut self, now: Time, route: &str, left: Duration) -> Duration {
        if let Some(known) = self.routes.get_mut(route) {
            return known.age(now, left);
        }
        if self.routes.len() < ROUTES_MAX {
            let known = Known {
                since: now,
                largest: left,
                largest_before: Duration::ZERO,
                new_share: 1.0,
            };
            self.routes.insert(route.to_owned(), known);
        }
        Duration::ZERO
    }
}

impl Known {
    fn age(&mut self, now: Time, left: Duration) -> Duration {
        if now.since(self.since) >= SPAN {
            self.since = now;
            self.largest_before = self.largest;
            self.largest = Duration::ZERO;
        }
        self.largest = self.largest.max(left);
        let full = self.largest.max(self.largest_before);
        let is_new = left >= full.mul_f64(NEW);
        self.new_share += (f64::from(u8::from(is_new)) - self.new_share) * SMOOTHING;
        if is_new || self.new_share < NEW_SHARE_MIN {
            Duration::ZERO
        } else {
            full.mul_f64(USUAL).saturating_sub(left)
        }
    }
}
