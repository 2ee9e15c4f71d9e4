//! One line for each decision that touches a request.
//!
//! Failures always have a line. Of calls that go as they should, one in
//! [`SAMPLED`] has, and says so. No line holds anything of a request but its id.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use serde::Serialize;

use super::journal::{Importance, Journal};
use super::log::Identity;
use crate::call::{AttemptRecord, CallOutcome, Decision, Role};

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
        let success =
            matches!(decision.outcome, CallOutcome::Answered(status) if !status.is_server_error());
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
            decision: role(decision.role),
            request: decision.request,
            service: decision.service,
            route: decision.route,
            outcome: outcome(decision.outcome),
            reason: reason(decision.outcome),
            status: status(decision.outcome),
            elapsed_ms: millis(decision.elapsed),
            tries: decision.attempts.iter().map(attempt).collect(),
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

fn attempt(one: &AttemptRecord) -> Attempt<'_> {
    Attempt {
        to: &one.instance,
        expected_ms: millis(one.expected),
        waits: one.expects_queueing,
        load_age_ms: one.load_age.map(millis),
        outcome: outcome(one.outcome),
        reason: reason(one.outcome),
        elapsed_ms: millis(one.elapsed),
    }
}

const fn role(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Attempt => "attempt",
        Role::Gate => "gate",
        Role::BackendServer => "backend-server",
    }
}

/// Word for how a call or an attempt ended.
const fn outcome(end: CallOutcome) -> &'static str {
    match end {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::NotRun(_) => "not-run",
        CallOutcome::Unknown(_) => "unknown",
        CallOutcome::Cancelled => "cancelled",
    }
}

const fn reason(end: CallOutcome) -> Option<&'static str> {
    match end {
        CallOutcome::NotRun(reason) => Some(reason.as_str()),
        CallOutcome::Unknown(loss) => Some(loss.as_str()),
        CallOutcome::Answered(_) | CallOutcome::Cancelled => None,
    }
}

fn status(end: CallOutcome) -> Option<u16> {
    match end {
        CallOutcome::Answered(status) => Some(status.as_u16()),
        CallOutcome::NotRun(_) | CallOutcome::Unknown(_) | CallOutcome::Cancelled => None,
    }
}

/// Milliseconds with three digits.
fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}
