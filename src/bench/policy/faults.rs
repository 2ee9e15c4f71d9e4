//! What goes wrong with one backend server, and when.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;

use super::scenario::{COLD_TIME, Scenario, Span, WARM_UP};

/// Times slower a backend server is during noise or when a cold start is overrun.
const SLOWDOWN: u32 = 10;
/// Shortest and longest time of noise, in milliseconds.
const NOISE_MS: (f64, f64) = (5.0, 50.0);
/// Share of the time that one backend server has noise.
const NOISE_SHARE: f64 = 0.05;

/// Faults of one backend server in one block.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    noise: Vec<Span>,
    failing: Option<Span>,
    restart: Option<Time>,
    pub(super) zone_out: Option<Span>,
}

impl Faults {
    /// Faults of the backend server number `server`.
    pub(super) fn draw(scenario: Scenario, seconds: u32, server: usize, seed: u64) -> Self {
        let span = scenario.fault(seconds);
        let first = server == 0;
        let mut faults = Self::default();
        match scenario {
            Scenario::Noise => faults.noise = noise(seconds, server, seed),
            Scenario::FailingFast if first => faults.failing = Some(span),
            Scenario::ColdReturn if first => faults.restart = Some(span.start),
            Scenario::ZoneOut if first => faults.zone_out = Some(span),
            _ => {}
        }
        faults
    }

    pub(super) fn is_failing(&self, at: Time) -> bool {
        self.failing.is_some_and(|span| span.contains(at))
    }

    pub(super) fn is_cold(&self, at: Time) -> bool {
        self.restart
            .is_some_and(|start| start <= at && at < start + COLD_TIME)
    }

    /// Number of starts so far.
    pub(super) fn boot(&self, at: Time) -> u64 {
        u64::from(self.restart.is_some_and(|start| start <= at))
    }

    /// When the process dies under calls begun at `at`.
    pub(super) fn death_after(&self, at: Time) -> Option<Time> {
        self.restart.filter(|&start| at < start)
    }

    /// When work begun at `start` ends, given all noise to come.
    pub(super) fn finish(&self, start: Time, work: Duration) -> Time {
        let mut now = start;
        let mut left = work;
        for span in self.noise.iter().filter(|span| span.end > start) {
            let quiet = span.start.since(now);
            if left <= quiet {
                return now + left;
            }
            left -= quiet;
            now = now.max(span.start);
            let done = span.end.since(now) / SLOWDOWN;
            if left <= done {
                return now + left * SLOWDOWN;
            }
            left -= done;
            now = span.end;
        }
        now + left
    }

    /// Work on a cold backend server that holds more than it can bear.
    pub(super) fn overrun(work: Duration) -> Duration {
        work * SLOWDOWN
    }
}

fn noise(seconds: u32, server: usize, seed: u64) -> Vec<Span> {
    let server = u64::try_from(server).unwrap_or(u64::MAX);
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1_000 + server));
    let end = Time::ZERO + WARM_UP + Duration::from_secs((seconds + 1).into());
    let mean_noise_ms = f64::midpoint(NOISE_MS.0, NOISE_MS.1);
    let mean_quiet_ms = mean_noise_ms * (1.0 - NOISE_SHARE) / NOISE_SHARE;
    let mut spans = Vec::new();
    let mut now = Time::ZERO;
    while now < end {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let start = now + millis(-uniform.ln() * mean_quiet_ms);
        let stop = start + millis(random.random_range(NOISE_MS.0..NOISE_MS.1));
        spans.push(Span { start, end: stop });
        now = stop;
    }
    spans
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1e3)
}
