//! Decisions and books of a backend server, in virtual time.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Checks, Control, Executions, Settings};
use crate::clock::Time;

/// Time between the first sign of an unannounced cold start and its check.
const SIGN_GRACE: Duration = Duration::from_millis(250);
/// How much longer a request takes when a cold start collapses.
const COLLAPSE_SLOWDOWN: u32 = 40;

/// State of the life cycle, as answers report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Bears little.
    Cold,
    /// Bears its slots.
    Serving,
    /// Takes nothing new.
    Draining,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cold => "cold",
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival<'a> {
    /// Request id, empty when it has none.
    pub id: &'a str,
    /// Comma-separated home regions.
    pub home: Option<&'a str>,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Refused as not run.
    Shed,
    /// Run for that long once a slot is free.
    Run(Duration),
    /// Run and failed.
    Fail(Duration),
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    settings: Settings,
    rng: ChaCha8Rng,
    boots: u64,
    in_hand: u32,
    cold_until: Time,
    /// From when work above the allowance counts; none until a sign was given.
    cold_checked_from: Option<Time>,
    zone_out_from: Option<Time>,
    draining_from: Option<Time>,
    faults: Control,
    checks: Checks,
    executions: Executions,
}

impl Server {
    /// A server that starts cold at `now`.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            boots: 1,
            in_hand: 0,
            cold_until: now + settings.cold_time,
            cold_checked_from: Some(now),
            zone_out_from: None,
            draining_from: None,
            faults: Control::default(),
            checks: Checks::default(),
            executions: Executions::default(),
            settings,
        }
    }

    /// Decides on a request. Everything but [`Verdict::Shed`] must be followed
    /// by [`Server::finish`].
    pub fn take(&mut self, now: Time, arrival: Arrival<'_>) -> Verdict {
        self.check(now, arrival);
        let full = self.in_hand >= self.settings.slots + self.settings.backlog;
        if self.draining_from.is_some() || self.faults.shed == Some(true) || full {
            self.checks.shed += 1;
            return Verdict::Shed;
        }
        self.in_hand += 1;
        self.checks.executed += 1;
        if !arrival.id.is_empty() {
            self.executions.count(arrival.id);
        }
        self.verdict(now)
    }

    /// Ends a request that was run.
    pub fn finish(&mut self) {
        self.in_hand = self.in_hand.saturating_sub(1);
    }

    /// Counts a request whose body was cut off by its sender.
    pub fn count_cut(&mut self) {
        self.checks.cut += 1;
    }

    /// Counts a request that its sender no longer waits for.
    pub fn count_abandoned(&mut self) {
        self.checks.abandoned += 1;
    }

    /// State on an answer. An unannounced cold start becomes known by it.
    pub fn sign(&mut self, now: Time) -> State {
        let state = self.state(now);
        if state == State::Cold {
            self.cold_checked_from.get_or_insert(now + SIGN_GRACE);
        }
        state
    }

    /// State on the health endpoint, which may mislead.
    pub fn health(&mut self, now: Time) -> String {
        self.checks.measured += 1;
        match self.faults.health.clone() {
            Some(state) if !state.is_empty() => state,
            _ => self.sign(now).to_string(),
        }
    }

    /// Requests in hand on the load endpoint, which may mislead.
    pub fn load(&mut self) -> u32 {
        self.checks.measured += 1;
        self.faults.load.unwrap_or(self.in_hand)
    }

    /// Changes with every start.
    #[must_use]
    pub fn boot(&self) -> String {
        format!("{:x}-{}", self.settings.seed, self.boots)
    }

    /// Slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.settings.slots
    }

    /// Region it runs in.
    #[must_use]
    pub fn region(&self) -> &str {
        &self.settings.region
    }

    /// The books.
    #[must_use]
    pub fn checks(&self) -> &Checks {
        &self.checks
    }

    /// Executions per request id.
    #[must_use]
    pub fn executions(&self) -> &Executions {
        &self.executions
    }

    /// Follows an order or a fault.
    pub fn control(&mut self, now: Time, control: Control) {
        if let Some(ms) = control.zone_out_after_ms {
            self.checks.zone_outs += 1;
            self.zone_out_from = Some(now + Duration::from_millis(ms));
        }
        if control.zone_in {
            self.zone_out_from = None;
        }
        if let Some(ms) = control.drain_grace_ms {
            self.checks.drains += 1;
            self.draining_from = Some(now + Duration::from_millis(ms));
        }
        if control.restart {
            self.restart(now);
        }
        self.faults.shed = control.shed.or(self.faults.shed);
        self.faults.fail = control.fail.or(self.faults.fail);
        self.faults.slowdown = control.slowdown.or(self.faults.slowdown);
        self.faults.health = control.health.or(self.faults.health.take());
        self.faults.load = control.load.or(self.faults.load);
    }

    fn restart(&mut self, now: Time) {
        self.boots += 1;
        self.cold_until = now + self.settings.cold_time;
        self.cold_checked_from = None;
        self.draining_from = None;
    }

    fn state(&self, now: Time) -> State {
        if self.draining_from.is_some() {
            State::Draining
        } else if now < self.cold_until {
            State::Cold
        } else {
            State::Serving
        }
    }

    fn check(&mut self, now: Time, arrival: Arrival<'_>) {
        let checks = &mut self.checks;
        checks.received += 1;
        if let Some(from) = self.zone_out_from {
            *side(
                now >= from,
                &mut checks.zone_out_late,
                &mut checks.zone_out_within,
            ) += 1;
        }
        if let Some(from) = self.draining_from {
            *side(
                now >= from,
                &mut checks.leaving_late,
                &mut checks.leaving_within,
            ) += 1;
        }
        if let Some(home) = arrival.home {
            checks.homed += 1;
            let at_home = home
                .split(',')
                .any(|region| region.trim() == self.settings.region);
            checks.abroad += u64::from(!at_home);
        }
        if now < self.cold_until {
            checks.cold_received += 1;
            let over = self.in_hand >= self.settings.cold_allowance;
            let known = self.cold_checked_from.is_some_and(|from| now >= from);
            checks.cold_over += u64::from(over && known);
        }
    }

    fn verdict(&mut self, now: Time) -> Verdict {
        let time = self.service_time();
        if self.faults.fail == Some(true) {
            return Verdict::Fail(Duration::ZERO);
        }
        if now < self.cold_until && self.in_hand > self.settings.cold_allowance {
            return Verdict::Fail(time * COLLAPSE_SLOWDOWN);
        }
        Verdict::Run(time * self.faults.slowdown.unwrap_or(1))
    }

    fn service_time(&mut self) -> Duration {
        let spread = self.settings.noise.clamp(0.0, 1.0);
        let factor = 1.0 + spread * self.rng.random_range(-1.0..1.0);
        self.settings.service_time.mul_f64(factor)
    }
}

fn side<'a>(late: bool, if_late: &'a mut u64, if_within: &'a mut u64) -> &'a mut u64 {
    if late { if_late } else { if_within }
}
