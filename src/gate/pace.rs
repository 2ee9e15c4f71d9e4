//! Tells that a backend server has slowed down before any answer says so.
//!
//! The mean age of the running calls is compared with its own usual value and
//! deviation, so no service time distribution is assumed. An age far above the
//! usual, together with a time without any end of a call, is a stall.

use std::time::Duration;

use crate::clock::Time;

/// Weight of one sample in the usual age and its deviation.
const SMOOTHING: f64 = 1.0 / 128.0;
/// Running calls below which their age says little.
const RUNNING_MIN: u32 = 3;
/// Samples before which nothing counts as unusual.
const SAMPLES_MIN: u32 = 64;
/// Mean times between two ends after which silence is unusual.
const SILENCE_MIN: f64 = 2.0;
/// Service times of silence after which a stall is no news any more.
const SILENCE_MAX: f64 = 10.0;

/// Ages of the running calls.
#[derive(Debug)]
pub(super) struct Pace {
    deviations: f64,
    starts_us: u64,
    running: u32,
    usual_us: f64,
    deviation_us: f64,
    samples: u32,
    last_end: Time,
}

impl Pace {
    /// Nothing is running. A stall is `deviations` above the usual age.
    pub(super) fn new(deviations: f64) -> Self {
        Self {
            deviations,
            starts_us: 0,
            running: 0,
            usual_us: 0.0,
            deviation_us: 0.0,
            samples: 0,
            last_end: Time::ZERO,
        }
    }

    pub(super) fn started(&mut self, now: Time) {
        if self.running == 0 {
            self.last_end = now;
        }
        self.running += 1;
        self.starts_us += now.as_micros();
    }

    pub(super) fn ended(&mut self, now: Time, start: Time) {
        self.running -= 1;
        self.starts_us -= start.as_micros();
        self.last_end = now;
    }

    /// Takes a sample. Unusual ages are cut, so that a stall does not become
    /// usual at once, but a lasting change does.
    pub(super) fn sample(&mut self, now: Time) {
        if self.running < RUNNING_MIN {
            return;
        }
        let cut = self.samples >= SAMPLES_MIN;
        let age_us = self.age_us(now);
        let sample_us = if cut {
            age_us.min(self.threshold_us())
        } else {
            age_us
        };
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        let distance_us = sample_us - self.usual_us;
        self.usual_us += distance_us * weight;
        self.deviation_us += (distance_us.abs() - self.deviation_us) * weight;
    }

    /// The mean age of the running calls, while the backend server is stalled.
    pub(super) fn stall(&self, now: Time, service_time: Duration) -> Option<Duration> {
        if self.running < RUNNING_MIN || self.samples < SAMPLES_MIN {
            return None;
        }
        let silence_us = micros(now.since(self.last_end));
        let service_us = micros(service_time);
        let usual_silence_us = service_us / f64::from(self.running);
        let age_us = self.age_us(now);
        let stalled = age_us > self.threshold_us()
            && silence_us > usual_silence_us * SILENCE_MIN
            && silence_us < service_us * SILENCE_MAX;
        stalled.then(|| Duration::from_secs_f64(age_us / 1e6))
    }

    fn threshold_us(&self) -> f64 {
        self.usual_us + self.deviation_us * self.deviations
    }

    #[allow(clippy::cast_precision_loss)] // Times of one process stay below 2^52 us.
    fn age_us(&self, now: Time) -> f64 {
        now.as_micros() as f64 - self.starts_us as f64 / f64::from(self.running.max(1))
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
