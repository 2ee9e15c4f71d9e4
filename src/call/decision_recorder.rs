//! Follows one call at its entry, to tell at its end what was decided and why.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;

use crate::clock::{Clock, Time};
use crate::membership::ClusterSnapshot;
use crate::plan::key;
use crate::routing::Choice;

use super::{AttemptRecord, CallOutcome, Decision, Observer, Role, Trace};

/// Tries of one call; told to the observer when it ends, as cancelled if dropped.
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

/// One attempt.
struct OpenAttempt {
    record: AttemptRecord,
    started_at: Time,
}

/// Which attempt of a story.
#[derive(Clone, Copy, Debug)]
pub struct AttemptIndex(usize);

impl DecisionRecorder {
    /// Begins to follow a call, when anyone wants to know.
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

    /// An attempt begins.
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

    /// An attempt ended.
    pub fn finish_attempt(&mut self, attempt: AttemptIndex, outcome: CallOutcome) {
        let now = self.clock.now();
        if let Some(open) = self.attempts.get_mut(attempt.0) {
            open.record.outcome = outcome;
            open.record.elapsed = now.since(open.started_at);
        }
    }

    /// The call ended.
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

/// The id that the caller gave, else that of the trace.
#[must_use]
pub fn request_id(id: Option<&HeaderValue>, trace: Trace) -> String {
    let caller_id = id.and_then(|id| id.to_str().ok());
    caller_id.map_or_else(|| format!("{:032x}", trace.id), str::to_owned)
}
