//! One line for each decision that touches a request.
//!
//! Failures always have a line. Of calls that go as they should, one in
//! [`SAMPLED`] has, and says so. No line holds anything of a request but its id.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use serde::Serialize;

use super::journal::{Importance, Journal};
use super::log::Identity;
use crate::call::{Decision, Duty, End, Try};

/// Successes for each that has a line.
pub const SAMPLED: u64 = 32;

/// Writes decisions.
#[derive(Debug)]
pub struct Decisions {
    journal: Journal,
    identity: Identity,
    successes: AtomicU64,
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    instance: &'a str,
    zone: &'a str,
    plan: u64,
    decision: &'static str,
    request: &'a str,
    service: &'a str,
    route: &'a str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    elapsed_ms: f64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tries: Vec<Attempt<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    gate: Option<Gate>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sampled: Option<u64>,
}

#[derive(Serialize)]
struct Attempt<'a> {
    to: &'a str,
    expected_ms: f64,
    waits: bool,
    load_age_ms: Option<f64>,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    elapsed_ms: f64,
}

#[derive(Serialize)]
struct Gate {
    in_hand: u32,
    queued: u32,
    limit: u32,
    service_ms: f64,
    accepting: bool,
}

impl Decisions {
    /// Writes to `journal`.
    #[must_use]
    pub const fn new(journal: Journal, identity: Identity) -> Self {
        Self {
            journal,
            identity,
            successes: AtomicU64::new(0),
        }
    }

    /// Writes one decision, unless it is a success that is left out.
    pub fn write(&self, decision: &Decision<'_>) {
        let success = matches!(decision.end, End::Answered(status) if !status.is_server_error());
        let importance = if success {
            Importance::Success
        } else {
            Importance::Failure
        };
        if success {
            let count = self.successes.fetch_add(1, Ordering::Relaxed);
            if !count.is_multiple_of(SAMPLED) {
                return;
            }
        }
        let line = self.line(decision, success.then_some(SAMPLED));
        // A line of names and numbers is always JSON.
        if let Ok(mut text) = serde_json::to_string(&line) {
            text.push('\n');
            self.journal.push(importance, text);
        }
    }

    fn line<'a>(&'a self, decision: &'a Decision<'_>, sampled: Option<u64>) -> Line<'a> {
        Line {
            time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            instance: &self.identity.instance,
            zone: &self.identity.zone,
            plan: decision.plan.0,
            decision: duty(decision.duty),
            request: decision.request,
            service: decision.service,
            route: decision.route,
            outcome: outcome(decision.end),
            reason: reason(decision.end),
            status: status(decision.end),
            elapsed_ms: millis(decision.elapsed),
            tries: decision.tries.iter().map(attempt).collect(),
            gate: decision.load.map(|load| Gate {
                in_hand: load.in_hand,
                queued: load.queued,
                limit: load.limit,
                service_ms: millis(load.service_time),
                accepting: load.accepting,
            }),
            sampled,
        }
    }
}

fn attempt(one: &Try) -> Attempt<'_> {
    Attempt {
        to: &one.instance,
        expected_ms: millis(one.expected),
        waits: one.waits,
        load_age_ms: one.load_age.map(millis),
        outcome: outcome(one.end),
        reason: reason(one.end),
        elapsed_ms: millis(one.elapsed),
    }
}

const fn duty(duty: Duty) -> &'static str {
    match duty {
        Duty::Entry => "entry",
        Duty::Attempt => "attempt",
        Duty::Gate => "gate",
        Duty::BackendServer => "backend-server",
    }
}

/// Word for how a call or an attempt ended.
const fn outcome(end: End) -> &'static str {
    match end {
        End::Answered(_) => "answered",
        End::NotRun(_) => "not-run",
        End::Unknown(_) => "unknown",
        End::Cancelled => "cancelled",
    }
}

const fn reason(end: End) -> Option<&'static str> {
    match end {
        End::NotRun(reason) => Some(reason.as_str()),
        End::Unknown(loss) => Some(loss.as_str()),
        End::Answered(_) | End::Cancelled => None,
    }
}

fn status(end: End) -> Option<u16> {
    match end {
        End::Answered(status) => Some(status.as_u16()),
        End::NotRun(_) | End::Unknown(_) | End::Cancelled => None,
    }
}

/// Milliseconds with three digits.
fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}
