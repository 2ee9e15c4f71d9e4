//! Estimates the load of one backend server and forecasts the time of one more call.
//!
//! The calls in flight from this entry are known exactly. Those of other entries come from the
//! last load report. As the report ages, their number decays exponentially towards the mean of
//! the service, because an old report says little about the current load.

use std::time::Duration;

use crate::clock::Time;
use crate::gate::LoadReport;

use super::Settings;

/// Exponential moving averages over the backend servers of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMean {
    /// Calls of other entries divided by the concurrency limit.
    pub(super) occupancy: f64,
    /// Service time in microseconds.
    pub(super) service_us: f64,
    has_samples: bool,
}

/// Weight of a new sample in the moving averages.
const MEAN_SMOOTHING_FACTOR: f64 = 0.05;

impl ServiceMean {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            occupancy: 0.0,
            service_us: micros(settings.initial_service_time),
            has_samples: false,
        }
    }

    fn sample(&mut self, occupancy: f64, service_us: f64) {
        if !self.has_samples {
            self.has_samples = true;
            self.service_us = service_us;
        }
        self.occupancy += (occupancy - self.occupancy) * MEAN_SMOOTHING_FACTOR;
        self.service_us += (service_us - self.service_us) * MEAN_SMOOTHING_FACTOR;
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: Time,
    other_calls: f64,
    limit: f64,
    service_us: f64,
    /// When the gate starts calls again after a slow period.
    resumes_at: Time,
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadEstimate {
    report: Option<Report>,
    initial_limit: u32,
    in_flight: u32,
    last_event_at: Time,
}

impl LoadEstimate {
    /// Creates the estimate of a backend server without a load report. `limit` is a number of
    /// concurrent calls that is certainly safe.
    pub(super) const fn unknown(limit: u32, now: Time) -> Self {
        Self {
            report: None,
            initial_limit: limit,
            in_flight: 0,
            last_event_at: now,
        }
    }

    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn on_dispatch(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.last_event_at = now;
        }
        self.in_flight += 1;
    }

    pub(super) fn on_end(&mut self, now: Time) {
        self.last_event_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn on_report(&mut self, now: Time, load: &LoadReport, mean: &mut ServiceMean) {
        let total = f64::from(load.in_hand) + f64::from(load.queued);
        let other_calls = (total - f64::from(self.in_flight)).max(0.0);
        let limit = f64::from(load.limit.max(1));
        let service_us = micros(load.service_time).max(1.0);
        mean.sample(other_calls / limit, service_us);
        self.report = Some(Report {
            received_at: now,
            other_calls,
            limit,
            service_us,
            resumes_at: now + load.delay,
        });
    }

    /// Marks the backend server as full because its gate refused a call for overload.
    pub(super) fn on_overload_refusal(&mut self, now: Time) {
        if let Some(report) = &mut self.report {
            report.other_calls = report.other_calls.max(report.limit + 1.0);
            report.received_at = now;
        }
    }

    /// Returns the age of the last load report.
    pub(super) fn age(&self, now: Time) -> Option<Duration> {
        self.report.map(|report| now.since(report.received_at))
    }

    /// Returns whether there is no load report younger than `lifetime`.
    pub(super) fn is_stale(&self, now: Time, lifetime: Duration) -> bool {
        self.report
            .is_none_or(|report| now.since(report.received_at) > lifetime)
    }

    /// Forecasts queueing time, service time and occupancy for one more call.
    pub(super) fn forecast(
        &self,
        now: Time,
        mean: &ServiceMean,
        settings: &Settings,
    ) -> CallForecast {
        let (other_calls, limit, reported_us) = self.decayed(now, mean, settings);
        let service_us = reported_us.max(self.stall_us(now, reported_us * settings.stall_min));
        let total = other_calls + f64::from(self.in_flight);
        let excess = (total + 1.0 - limit).max(0.0);
        let delay_us = self
            .report
            .map_or(0.0, |report| micros(report.resumes_at.since(now)));
        CallForecast {
            wait_us: delay_us + excess * service_us / limit,
            service_us,
            occupancy: (total / limit).min(1.0),
        }
    }

    fn decayed(&self, now: Time, mean: &ServiceMean, settings: &Settings) -> (f64, f64, f64) {
        let Some(report) = self.report else {
            let limit = f64::from(self.initial_limit.max(1));
            return (mean.occupancy * limit, limit, mean.service_us);
        };
        let age_us = micros(now.since(report.received_at));
        let load_share = remaining_share(age_us, settings.load_half_life * mean.service_us);
        let mean_calls = mean.occupancy * report.limit;
        let other_calls = mean_calls + (report.other_calls - mean_calls) * load_share;
        let service_time_share = remaining_share(age_us, micros(settings.service_time_half_life));
        let service_us =
            mean.service_us + (report.service_us - mean.service_us) * service_time_share;
        (other_calls, report.limit, service_us)
    }

    /// Returns the time since the last event in microseconds if calls are in flight and it is
    /// at least `min_us`, else zero.
    fn stall_us(&self, now: Time, min_us: f64) -> f64 {
        let stall_us = micros(now.since(self.last_event_at));
        if self.in_flight == 0 || stall_us < min_us {
            0.0
        } else {
            stall_us
        }
    }
}

/// Forecast for one more call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallForecast {
    /// Queueing time at the gate in microseconds.
    pub(super) wait_us: f64,
    /// Service time in microseconds.
    pub(super) service_us: f64,
    /// Share of the concurrency limit in use, 0 to 1.
    pub(super) occupancy: f64,
}

/// Returns the share of a deviation that remains after `age_us`.
fn remaining_share(age_us: f64, half_life_us: f64) -> f64 {
    0.5_f64.powf(age_us / half_life_us.max(1.0))
}

pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
