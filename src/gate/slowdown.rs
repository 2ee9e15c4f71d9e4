//! How slow a backend server's machine is now, and for how long.
//!
//! Machines are shared, and their speed changes many times a second. A call runs
//! at the speed at which it was begun, so the speed matters at that moment: a
//! short wait for the end of a slow spell may save a multiple of it.
//!
//! A spell is a level of slowness above another one, so a slow machine may turn
//! slower still. Spells that have ended tell how long one lasts. A neighbour may
//! keep its demand for another turn; a spell that has lasted for several has
//! another cause, and is likely to last as long again.

use std::time::Duration;

use crate::clock::Time;

/// Least slowness that is believed.
const SLOWDOWN_MIN: f64 = 0.1;
/// Times slower than before that begin a spell.
const SLOW_PERIOD_START_RATIO: f64 = 1.5;
/// Times slower than now that a level must be to count as left.
const SLOW_PERIOD_END_RATIO: f64 = 1.25;
/// Length that is expected of a spell before one has ended. Neighbours on shared
/// hosts change about as often.
const INITIAL_SLOW_PERIOD: Duration = Duration::from_millis(150);
/// Spells that last longer come from other causes than a neighbour, and tell
/// nothing of the length of the next one.
const LEARNED_SLOW_PERIOD_MAX: Duration = Duration::from_secs(1);
/// Turns after which a spell is not a neighbour's.
const NEIGHBOUR_PERIODS_MAX: f64 = 3.0;
/// Least length that is learned.
const SLOW_PERIOD_MIN_S: f64 = 0.01;
/// Weight of a spell that was shorter than expected.
const SHORTER_PERIOD_WEIGHT: f64 = 0.2;
/// Weight of one that was longer, which may have been several turns.
const LONGER_PERIOD_WEIGHT: f64 = 0.02;
/// Levels at the same time: usual, cold, slow, and one more.
const LEVELS_MAX: usize = 4;

/// Slowness of one machine.
#[derive(Debug)]
pub(super) struct Slowdown {
    /// The usual level, then each slower one that has begun above it.
    levels: Vec<Level>,
    last_report_at: Option<Time>,
    slow_period_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    factor: f64,
    since: Time,
}

/// What becomes of work that is begun now, or when the spell has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartEstimate {
    /// Time until the work is best begun.
    pub(super) delay: Duration,
    /// Time that it takes then.
    pub(super) service_time: Duration,
}

impl StartEstimate {
    /// Time until the work has ended.
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
    /// Work that is begun now takes this many hundredths of its usual time.
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

    /// Times slower than usual.
    pub(super) fn factor(&self) -> f64 {
        self.current_level().factor
    }

    /// When it was last told; never where nobody tells it.
    pub(super) const fn reported_at(&self) -> Option<Time> {
        self.last_report_at
    }

    /// Work that usually takes `usual`, begun at the best moment.
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

    /// Time until the spell is expected to end; zero outside of one.
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

    /// There is always the usual level.
    fn current_level(&self) -> Level {
        let usual = Level {
            factor: 1.0,
            since: Time::ZERO,
        };
        self.levels.last().copied().unwrap_or(usual)
    }
}
