//! Tracks the current slowdown of a backend server's machine and predicts how long it lasts.
//!
//! Machines are shared, and their speed changes many times a second. A call runs at the speed of
//! the machine at its start, so a short wait for the end of a slow period can save a multiple of
//! that wait.
//!
//! A slow period is a level of slowdown above another level, so a slow machine can become slower
//! still. The length of past slow periods predicts the next one. A neighbour on the machine may
//! keep its demand for a further period. A slow period that has lasted for several has another
//! cause and is expected to last as long again.

use std::time::Duration;

use crate::clock::Time;

/// Smallest slowdown factor that is accepted.
const SLOWDOWN_MIN: f64 = 0.1;
/// Increase of the factor that starts a slow period.
const SLOW_PERIOD_START_RATIO: f64 = 1.5;
/// A slow period has ended when its factor exceeds the current one by this ratio.
const SLOW_PERIOD_END_RATIO: f64 = 1.25;
/// Expected length of a slow period before the first one has ended. The load of neighbours on
/// shared hosts changes about this often.
const INITIAL_SLOW_PERIOD: Duration = Duration::from_millis(150);
/// Longer slow periods do not come from a neighbour and say nothing about the length of the next
/// one.
const LEARNED_SLOW_PERIOD_MAX: Duration = Duration::from_secs(1);
/// Number of expected lengths after which a slow period is not caused by a neighbour.
const NEIGHBOUR_PERIODS_MAX: f64 = 3.0;
/// Smallest length that is learned.
const SLOW_PERIOD_MIN_S: f64 = 0.01;
/// Weight of a slow period that was shorter than expected.
const SHORTER_PERIOD_WEIGHT: f64 = 0.2;
/// Weight of a slow period that was longer than expected; it may have been several in a row.
const LONGER_PERIOD_WEIGHT: f64 = 0.02;
/// Maximum number of levels: usual, cold, slow and one more.
const LEVELS_MAX: usize = 4;

/// Slowdown of one machine.
#[derive(Debug)]
pub(super) struct Slowdown {
    /// The usual level, then each slower level that started above the previous one.
    levels: Vec<Level>,
    last_report_at: Option<Time>,
    slow_period_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    factor: f64,
    since: Time,
}

/// Estimate for a call that starts now or at the end of the slow period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartEstimate {
    /// Time until the best start.
    pub(super) delay: Duration,
    /// Service time with that start.
    pub(super) service_time: Duration,
}

impl StartEstimate {
    /// Time until the call ends.
    pub(super) fn total(&self) -> Duration {
        self.delay + self.service_time
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        let usual = Level {
            factor: 1.0,
            since: Time::ZERO,
        };
        Self {
            levels: vec![usual],
            last_report_at: None,
            slow_period_s: INITIAL_SLOW_PERIOD.as_secs_f64(),
        }
    }
}

impl Slowdown {
    /// Records a reading: work started now takes `percent` of its usual service time.
    pub(super) fn on_report(&mut self, now: Time, percent: u32) {
        let factor = (f64::from(percent) / 100.0).max(SLOWDOWN_MIN);
        self.last_report_at = Some(now);
        while self.levels.len() > 1 && self.current_level().factor > factor * SLOW_PERIOD_END_RATIO
        {
            self.end_slow_period(now);
        }
        let current = self.current_level().factor;
        if factor >= current * SLOW_PERIOD_START_RATIO && self.levels.len() < LEVELS_MAX {
            self.levels.push(Level { factor, since: now });
        } else if let Some(current) = self.levels.last_mut() {
            current.factor = factor;
        }
    }

    /// Ratio of the current service time to the usual one.
    pub(super) fn factor(&self) -> f64 {
        self.current_level().factor
    }

    /// Time of the last reading; `None` if the server reports none.
    pub(super) const fn reported_at(&self) -> Option<Time> {
        self.last_report_at
    }

    /// Estimate for work with the service time `usual`, started at the best moment.
    pub(super) fn best_start(&self, now: Time, usual: Duration) -> StartEstimate {
        let start_now = StartEstimate {
            delay: Duration::ZERO,
            service_time: usual.mul_f64(self.factor()),
        };
        let Some(below) = self.levels.len().checked_sub(2) else {
            return start_now;
        };
        let start_later = StartEstimate {
            delay: self.remaining_slow_period(now),
            service_time: usual.mul_f64(self.levels[below].factor),
        };
        if start_later.total() < start_now.total() {
            start_later
        } else {
            start_now
        }
    }

    /// Expected time until the slow period ends; zero outside of a slow period.
    pub(super) fn remaining_slow_period(&self, now: Time) -> Duration {
        if self.levels.len() == 1 {
            return Duration::ZERO;
        }
        let age = now.since(self.current_level().since).as_secs_f64();
        let remaining_s = if age < self.slow_period_s * NEIGHBOUR_PERIODS_MAX {
            self.slow_period_s - age % self.slow_period_s
        } else {
            age
        };
        Duration::from_secs_f64(remaining_s)
    }

    fn end_slow_period(&mut self, now: Time) {
        let Some(ended) = self.levels.pop() else {
            return;
        };
        let length = now.since(ended.since);
        if length <= LEARNED_SLOW_PERIOD_MAX {
            let difference = length.as_secs_f64() - self.slow_period_s;
            let weight = if difference < 0.0 {
                SHORTER_PERIOD_WEIGHT
            } else {
                LONGER_PERIOD_WEIGHT
            };
            self.slow_period_s = (self.slow_period_s + difference * weight).max(SLOW_PERIOD_MIN_S);
        }
    }

    /// The levels always contain the usual one.
    fn current_level(&self) -> Level {
        let usual = Level {
            factor: 1.0,
            since: Time::ZERO,
        };
        self.levels.last().copied().unwrap_or(usual)
    }
}
