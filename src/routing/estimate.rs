//! What an entry believes of one backend server's load.
//!
//! The own calls in flight are known exactly. Those of other entries come from
//! the last report; as it ages, their number moves towards the mean of the
//! service, since old news says little.

use std::time::Duration;

use crate::clock::Time;
use crate::gate::LoadReport;

use super::Settings;

/// Means over the backend servers of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mean {
    /// Calls of others per admitted call.
    pub(super) occupancy: f64,
    /// Microseconds.
    pub(super) service_us: f64,
    sampled: bool,
}

const MEAN_SMOOTHING: f64 = 0.05;

impl Mean {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            occupancy: 0.0,
            service_us: micros(settings.initial_service_time),
            sampled: false,
        }
    }

    fn sample(&mut self, occupancy: f64, service_us: f64) {
        if !self.sampled {
            self.sampled = true;
            self.service_us = service_us;
        }
        self.occupancy += (occupancy - self.occupancy) * MEAN_SMOOTHING;
        self.service_us += (service_us - self.service_us) * MEAN_SMOOTHING;
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    others: f64,
    limit: f64,
    service_us: f64,
    /// When the gate begins calls again.
    begins: Time,
}

/// Load report of one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    report: Option<Report>,
    fresh_limit: u32,
    in_flight: u32,
    last_event: Time,
}

impl Estimate {
    /// Of a backend server that no report has come from. `limit` is what it can
    /// certainly bear.
    pub(super) const fn unknown(limit: u32, now: Time) -> Self {
        Self {
            report: None,
            fresh_limit: limit,
            in_flight: 0,
            last_event: now,
        }
    }

    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn dispatched(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.last_event = now;
        }
        self.in_flight += 1;
    }

    pub(super) fn ended(&mut self, now: Time) {
        self.last_event = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn reported(&mut self, now: Time, load: &LoadReport, mean: &mut Mean) {
        let total = f64::from(load.in_hand) + f64::from(load.queued);
        let others = (total - f64::from(self.in_flight)).max(0.0);
        let limit = f64::from(load.limit.max(1));
        let service_us = micros(load.service_time).max(1.0);
        mean.sample(others / limit, service_us);
        self.report = Some(Report {
            at: now,
            others,
            limit,
            service_us,
            begins: now + load.delay,
        });
    }

    /// A gate refused for want of room.
    pub(super) fn refused_full(&mut self, now: Time) {
        if let Some(report) = &mut self.report {
            report.others = report.others.max(report.limit + 1.0);
            report.at = now;
        }
    }

    /// Age of the last report.
    pub(super) fn age(&self, now: Time) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Whether no report is younger than `lifetime`.
    pub(super) fn is_stale(&self, now: Time, lifetime: Duration) -> bool {
        self.report
            .is_none_or(|report| now.since(report.at) > lifetime)
    }

    /// Expected microseconds of waiting and of service for one more call.
    pub(super) fn expect(&self, now: Time, mean: &Mean, settings: &Settings) -> Expected {
        let (others, limit, reported_us) = self.aged(now, mean, settings);
        let service_us = reported_us.max(self.silence_us(now, reported_us * settings.silence_min));
        let total = others + f64::from(self.in_flight);
        let over = (total + 1.0 - limit).max(0.0);
        let delay_us = self
            .report
            .map_or(0.0, |report| micros(report.begins.since(now)));
        Expected {
            wait_us: delay_us + over * service_us / limit,
            service_us,
            occupancy: (total / limit).min(1.0),
        }
    }

    fn aged(&self, now: Time, mean: &Mean, settings: &Settings) -> (f64, f64, f64) {
        let Some(report) = self.report else {
            let limit = f64::from(self.fresh_limit.max(1));
            return (mean.occupancy * limit, limit, mean.service_us);
        };
        let age_us = micros(now.since(report.at));
        let kept_calls = kept(age_us, settings.calls_half_life * mean.service_us);
        let usual = mean.occupancy * report.limit;
        let others = usual + (report.others - usual) * kept_calls;
        let kept_time = kept(age_us, micros(settings.service_time_half_life));
        let service_us = mean.service_us + (report.service_us - mean.service_us) * kept_time;
        (others, report.limit, service_us)
    }

    /// Time without any answer while calls are in flight, when it is unusual.
    fn silence_us(&self, now: Time, least_us: f64) -> f64 {
        let silence_us = micros(now.since(self.last_event));
        if self.in_flight == 0 || silence_us < least_us {
            0.0
        } else {
            silence_us
        }
    }
}

/// Expected course of one more call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// Microseconds in the gate's queue.
    pub(super) wait_us: f64,
    /// Microseconds in the backend server.
    pub(super) service_us: f64,
    /// Share of the limit that is in use.
    pub(super) occupancy: f64,
}

/// Share of a deviation that is left after `age_us`.
fn kept(age_us: f64, half_life_us: f64) -> f64 {
    0.5_f64.powf(age_us / half_life_us.max(1.0))
}

pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
