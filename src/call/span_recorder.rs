//! Records the span of one hop of a call.

use std::sync::Arc;

use crate::clock::{Clock, Time};
use crate::membership::ClusterSnapshot;
use crate::plan::key;

use super::{CallOutcome, Event, Observer, Role, Span, Trace};

/// Reports a span to the observer when dropped, as cancelled unless an outcome was set.
pub struct SpanRecorder {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started_at: Time,
    snapshot: Arc<ClusterSnapshot>,
    route: key::Route,
    trace: Trace,
    role: Role,
    outcome: CallOutcome,
}

impl SpanRecorder {
    /// Starts the span of a call of `route`.
    #[must_use]
    pub fn begin(
        observer: &Arc<dyn Observer>,
        clock: Clock,
        snapshot: &Arc<ClusterSnapshot>,
        route: key::Route,
        trace: Trace,
        role: Role,
    ) -> Self {
        Self {
            observer: Arc::clone(observer),
            clock,
            started_at: clock.now(),
            snapshot: Arc::clone(snapshot),
            route,
            trace,
            role,
            outcome: CallOutcome::Cancelled,
        }
    }

    /// Ends the span with `outcome`.
    pub fn end(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }

    fn emit_event(&self) {
        let event = match (self.role, self.outcome) {
            (Role::Entry, CallOutcome::Cancelled) => Event::Cancelled,
            (Role::Entry | Role::Gate, CallOutcome::NotRun(reason)) => Event::Refused(reason),
            (Role::Entry | Role::Gate, CallOutcome::Unknown(loss)) => Event::OutcomeUnknown(loss),
            _ => return,
        };
        self.observer.event(event);
    }
}

impl Drop for SpanRecorder {
    fn drop(&mut self) {
        self.emit_event();
        let plan = &self.snapshot.plan;
        let route = plan.route(self.route);
        self.observer.span(&Span {
            trace: self.trace,
            role: self.role,
            service: &plan.service(route.service).name,
            route: &route.name,
            elapsed: self.clock.now().since(self.started_at),
            outcome: self.outcome,
        });
    }
}
