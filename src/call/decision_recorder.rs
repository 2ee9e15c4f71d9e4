//! Records the attempts of one call at its entry and reports the decision when the call ends.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;

use crate::clock::{Clock, Time};
use crate::membership::ClusterSnapshot;
use crate::plan::key;
use crate::routing::Choice;

use super::{AttemptRecord, CallOutcome, Decision, Observer, Role, Trace};

/// Attempts of one call; reported to the observer when dropped, as cancelled unless an outcome
/// was set.
pub struct DecisionRecorder {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started_at: Time,
    snapshot: Arc<ClusterSnapshot>,
    route: key::Route,
    request: String,
    attempts: Vec<OpenAttempt>,
    outcome: CallOutcome,
}

/// An attempt and its start time.
struct OpenAttempt {
    record: AttemptRecord,
    started_at: Time,
}

/// Which attempt of a story.
#[derive(Clone, Copy, Debug)]
pub struct AttemptIndex(usize);

impl DecisionRecorder {
    /// Starts recording a call; `None` if the observer wants no decisions.
    #[must_use]
    pub fn begin(
        observer: &Arc<dyn Observer>,
        clock: Clock,
        snapshot: &Arc<ClusterSnapshot>,
        route: key::Route,
        id: Option<&HeaderValue>,
        trace: Trace,
    ) -> Option<Self> {
        observer.wants_decisions().then(|| Self {
            observer: Arc::clone(observer),
            clock,
            started_at: clock.now(),
            snapshot: Arc::clone(snapshot),
            route,
            request: request_id(id, trace),
            attempts: Vec::new(),
            outcome: CallOutcome::Cancelled,
        })
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, choice: &Choice) -> AttemptIndex {
        self.attempts.push(OpenAttempt {
            record: AttemptRecord {
                instance: choice.instance.clone(),
                expected: choice.expected,
                expects_queueing: choice.expects_queueing,
                load_age: choice.load_age,
                elapsed: Duration::ZERO,
                outcome: CallOutcome::Cancelled,
            },
            started_at: self.clock.now(),
        });
        AttemptIndex(self.attempts.len() - 1)
    }

    /// Records the end of an attempt.
    pub fn finish_attempt(&mut self, attempt: AttemptIndex, outcome: CallOutcome) {
        let now = self.clock.now();
        if let Some(open) = self.attempts.get_mut(attempt.0) {
            open.record.outcome = outcome;
            open.record.elapsed = now.since(open.started_at);
        }
    }

    /// Ends the recording with `outcome`.
    pub fn end(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for DecisionRecorder {
    fn drop(&mut self) {
        let plan = &self.snapshot.plan;
        let route = plan.route(self.route);
        let attempts: Vec<AttemptRecord> =
            self.attempts.drain(..).map(|open| open.record).collect();
        self.observer.decision(&Decision {
            role: Role::Entry,
            request: &self.request,
            service: &plan.service(route.service).name,
            route: &route.name,
            plan: plan.version,
            attempts: &attempts,
            load: None,
            elapsed: self.clock.now().since(self.started_at),
            outcome: self.outcome,
        });
    }
}

/// Returns the caller's request ID, or the trace ID if there is none.
#[must_use]
pub fn request_id(id: Option<&HeaderValue>, trace: Trace) -> String {
    let caller_id = id.and_then(|id| id.to_str().ok());
    caller_id.map_or_else(|| format!("{:032x}", trace.id), str::to_owned)
}
