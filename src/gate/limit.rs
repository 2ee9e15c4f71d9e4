//! Concurrency limit that follows what the backend server can bear.
//!
//! Answers much slower than the baseline shrink the limit by a ratio, at most
//! once in a service time; answers near the baseline grow it while it is used.

use std::time::Duration;

use crate::clock::Time;

use super::Settings;

const SMOOTHING: f64 = 0.2;
const BASELINE_FALL: f64 = 0.2;
const BASELINE_RISE: f64 = 0.01;
/// Times the baseline at which samples are cut, so that a slow spell is not usual at once.
const BASELINE_CUT: f64 = 2.0;
const SHRINK: f64 = 0.8;

/// Limit between one and the slots.
#[derive(Debug)]
pub(super) struct Limit {
    allowed: f64,
    slow_ratio: f64,
    smoothed_us: f64,
    baseline_us: f64,
    sampled: bool,
    last_shrink: Time,
}

impl Limit {
    pub(super) fn new(settings: &Settings, now: Time) -> Self {
        let micros = micros(settings.initial_service_time);
        Self {
            allowed: f64::from(settings.slots.max(1)),
            slow_ratio: settings.slow_ratio,
            smoothed_us: micros,
            baseline_us: micros,
            sampled: false,
            last_shrink: now,
        }
    }

    /// Calls that may be in hand.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Bounded by the slots.
    pub(super) fn get(&self, slots: u32) -> u32 {
        (self.allowed as u32).clamp(1, slots.max(1))
    }

    /// How many times slower than usual `service_time` is.
    pub(super) fn slowness(&self, service_time: Duration) -> f64 {
        micros(service_time) / self.baseline_us.max(1.0)
    }

    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.smoothed_us / 1e6)
    }

    pub(super) fn answered(&mut self, now: Time, service_time: Duration, in_hand: u32, slots: u32) {
        let sample = micros(service_time);
        self.sample(sample);
        if self.smoothed_us > self.baseline_us * self.slow_ratio {
            self.shrink(now);
        } else if f64::from(in_hand) + 1.0 >= self.allowed.floor() {
            self.allowed = (self.allowed + 1.0 / self.allowed).min(f64::from(slots.max(1)));
        }
    }

    /// Shrinks the limit unless it was shrunk within the last service time.
    pub(super) fn shrink(&mut self, now: Time) {
        if now.since(self.last_shrink) < self.service_time() {
            return;
        }
        self.last_shrink = now;
        self.allowed = (self.allowed * SHRINK).max(1.0);
    }

    /// Forgets a limit learned under other conditions.
    pub(super) fn reset(&mut self, slots: u32) {
        self.allowed = f64::from(slots.max(1));
    }

    fn sample(&mut self, sample: f64) {
        if !self.sampled {
            self.sampled = true;
            self.smoothed_us = sample;
            self.baseline_us = sample;
            return;
        }
        self.smoothed_us += (sample - self.smoothed_us) * SMOOTHING;
        let rate = if sample < self.baseline_us {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        let counted = sample.min(self.baseline_us * BASELINE_CUT);
        self.baseline_us += (counted - self.baseline_us) * rate;
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
