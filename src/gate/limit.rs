//! Adaptive concurrency limit based on service times.
//!
//! Responses much slower than the baseline shrink the limit by a factor, at most once per service
//! time. Responses near the baseline grow the limit while it is fully used.

use std::time::Duration;

use crate::clock::Time;

use super::Settings;

const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.2;
const BASELINE_FALL_WEIGHT: f64 = 0.2;
const BASELINE_RISE_WEIGHT: f64 = 0.01;
/// Samples are capped at this multiple of the baseline, so that a slow period does not become the
/// baseline at once.
const BASELINE_SAMPLE_MAX_RATIO: f64 = 2.0;
const SHRINK_FACTOR: f64 = 0.8;

/// Concurrency limit between one and the number of slots.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    slow_ratio: f64,
    service_time_us: f64,
    baseline_us: f64,
    has_sample: bool,
    last_shrink_at: Time,
}

impl ConcurrencyLimit {
    pub(super) fn new(settings: &Settings, now: Time) -> Self {
        let micros = micros(settings.initial_service_time);
        Self {
            limit: f64::from(settings.slots.max(1)),
            slow_ratio: settings.slow_ratio,
            service_time_us: micros,
            baseline_us: micros,
            has_sample: false,
            last_shrink_at: now,
        }
    }

    /// Maximum number of running calls.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Bounded by the slots.
    pub(super) fn current(&self, slots: u32) -> u32 {
        (self.limit as u32).clamp(1, slots.max(1))
    }

    /// Ratio of `service_time` to the baseline.
    pub(super) fn slowdown_of(&self, service_time: Duration) -> f64 {
        micros(service_time) / self.baseline_us.max(1.0)
    }

    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_us / 1e6)
    }

    pub(super) fn on_answer(
        &mut self,
        now: Time,
        service_time: Duration,
        in_hand: u32,
        slots: u32,
    ) {
        let sample = micros(service_time);
        self.add_sample(sample);
        if self.service_time_us > self.baseline_us * self.slow_ratio {
            self.shrink(now);
        } else if f64::from(in_hand) + 1.0 >= self.limit.floor() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(slots.max(1)));
        }
    }

    /// Shrinks the limit unless it shrank within the last service time.
    pub(super) fn shrink(&mut self, now: Time) {
        if now.since(self.last_shrink_at) < self.service_time() {
            return;
        }
        self.last_shrink_at = now;
        self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
    }

    /// Discards a limit that was learned under other settings.
    pub(super) fn reset(&mut self, slots: u32) {
        self.limit = f64::from(slots.max(1));
    }

    fn add_sample(&mut self, sample: f64) {
        if !self.has_sample {
            self.has_sample = true;
            self.service_time_us = sample;
            self.baseline_us = sample;
            return;
        }
        self.service_time_us += (sample - self.service_time_us) * SERVICE_TIME_SAMPLE_WEIGHT;
        let weight = if sample < self.baseline_us {
            BASELINE_FALL_WEIGHT
        } else {
            BASELINE_RISE_WEIGHT
        };
        let capped = sample.min(self.baseline_us * BASELINE_SAMPLE_MAX_RATIO);
        self.baseline_us += (capped - self.baseline_us) * weight;
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
